"""The rule by which the processes of a front divide its descriptors while more than one stands.

Each process applies it to its own claim and to those that the others published, while it alone may publish.
It lowers its caps at any time and raises them only by what no claim covers, so the claims never add up to
more than the front's descriptors. Only a process that arrives adds what it can't do without.
"""

from collections.abc import Sequence

from umberlead.handover.process_claims import ConnectionUse, DescriptorClaim

MIN_QUOTA_COUNT = 2  # of a kind: one connection, and one beside it to be told that there is no room
IDLE_HEADROOM_DIVISOR_COUNT = (
    8  # this part of a kind's places is left to the others before a connection at rest is kept
)


def divide_quota(
    descriptors: int, alone: Sequence[int], own: DescriptorClaim, others: Sequence[DescriptorClaim | None]
) -> tuple[int, ...]:
    """The places of each kind that this process may hold from now on.

    `descriptors` are the front's, `alone` the places of each kind in a front of one process, and `others` the
    claims beside this one; None where a process has published nothing, as one of an older version.
    """
    others = _begun(others)
    even = descriptors // (1 + len(others))
    room = descriptors - own.total() - sum(even if claim is None else claim.total() for claim in others)
    floors = [max(use.claimed(), MIN_QUOTA_COUNT) for use in own.connection_uses]
    room -= sum(floors) - sum(use.claimed() for use in own.connection_uses)
    places = []
    for floor, wanted in zip(floors, target_quota(descriptors, alone, own, others), strict=True):
        given = min(wanted, floor + max(room, 0))
        room -= max(given - floor, 0)
        places.append(given)
    return tuple(places)


def target_quota(
    descriptors: int, alone: Sequence[int], own: DescriptorClaim, others: Sequence[DescriptorClaim | None]
) -> tuple[int, ...]:
    """The places of each kind that this process should have, once the others have let go of them."""
    others = _begun(others)
    if not others:
        return tuple(alone)
    published = [
        claim
        for claim in others
        if claim is not None and len(claim.connection_uses) == len(own.connection_uses)
    ]
    if len(published) < len(others):  # somebody takes an even part, whatever stands beside it
        pots = _pots(descriptors // (1 + len(others)) - own.fixed_descriptors, alone)
        return tuple(max(pot, MIN_QUOTA_COUNT) for pot in pots)
    pots = _pots(
        descriptors - own.fixed_descriptors - sum(claim.fixed_descriptors for claim in published), alone
    )
    beside = zip(*(claim.connection_uses for claim in published), strict=True)
    return tuple(_target(*kind) for kind in zip(pots, own.connection_uses, beside, strict=True))


def has_fair_quota(
    descriptors: int, alone: Sequence[int], own: DescriptorClaim, others: Sequence[DescriptorClaim | None]
) -> bool:
    """Whether this process has a fair beginning: the others have let go of what it needs to serve clients."""
    wanted = target_quota(descriptors, alone, own, others)
    least = (
        min(target, pot // IDLE_HEADROOM_DIVISOR_COUNT) for target, pot in zip(wanted, alone, strict=True)
    )
    return all(use.quota >= part for use, part in zip(own.connection_uses, least, strict=True))


def _begun(others: Sequence[DescriptorClaim | None]) -> list[DescriptorClaim | None]:
    """Without those that only just stand: a claim of no kinds comes before a process's first look."""
    return [claim for claim in others if claim is None or claim.connection_uses]


def _pots(descriptors: int, alone: Sequence[int]) -> list[int]:
    """What there is of each kind, in the proportions of a front of one process."""
    return [max(descriptors, 0) * places // max(sum(alone), 1) for places in alone]


def _target(pot: int, own: ConnectionUse, others: Sequence[ConnectionUse]) -> int:
    """What it needs and an even part of what nobody needs, less where it has no use for that.

    One more such part is claimed by nobody: whoever is short first takes of it at once. Connections at rest
    are kept beyond that as long as the others have room to grow.
    """
    free = max(pot - own.required - sum(use.required for use in others), 0)
    even = free // (2 + len(others))
    left_over = sum(max(even - use.wanted_headroom(), 0) for use in others)
    fair = own.required + min(even + left_over // len(others), own.wanted_headroom())
    kept = (
        pot
        - sum(max(use.open_connections, use.required) for use in others)
        - pot // IDLE_HEADROOM_DIVISOR_COUNT
    )
    return max(fair, min(own.open_connections, own.max_required, kept), MIN_QUOTA_COUNT)
