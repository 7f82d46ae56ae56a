"""The rule by which the processes of a front divide its descriptors while more than one stands.

Each process applies it to its own claim and to those that the others published, while it alone may publish.
It lowers its caps at any time and raises them only by what no claim covers, so the claims never add up to
more than the front's descriptors. Only a process that arrives adds what it can't do without.
"""

from collections.abc import Sequence

from umberlead.handover.process_claims import Claim, Use

LEAST_PLACES = 2  # of a kind: one connection, and one beside it to be told that there is no room
KEPT_FREE = 8  # this part of a kind's places is left to the others before a connection at rest is kept


def divide(
    descriptors: int, alone: Sequence[int], own: Claim, others: Sequence[Claim | None]
) -> tuple[int, ...]:
    """The places of each kind that this process may hold from now on.

    `descriptors` are the front's, `alone` the places of each kind in a front of one process, and `others` the
    claims beside this one; None where a process has published nothing, as one of an older version.
    """
    others = _begun(others)
    even = descriptors // (1 + len(others))
    room = descriptors - own.total() - sum(even if claim is None else claim.total() for claim in others)
    floors = [max(use.claimed(), LEAST_PLACES) for use in own.uses]
    room -= sum(floors) - sum(use.claimed() for use in own.uses)
    places = []
    for floor, wanted in zip(floors, targets(descriptors, alone, own, others), strict=True):
        given = min(wanted, floor + max(room, 0))
        room -= max(given - floor, 0)
        places.append(given)
    return tuple(places)


def targets(
    descriptors: int, alone: Sequence[int], own: Claim, others: Sequence[Claim | None]
) -> tuple[int, ...]:
    """The places of each kind that this process should have, once the others have let go of them."""
    others = _begun(others)
    if not others:
        return tuple(alone)
    published = [claim for claim in others if claim is not None and len(claim.uses) == len(own.uses)]
    if len(published) < len(others):  # somebody takes an even part, whatever stands beside it
        pots = _pots(descriptors // (1 + len(others)) - own.fixed, alone)
        return tuple(max(pot, LEAST_PLACES) for pot in pots)
    pots = _pots(descriptors - own.fixed - sum(claim.fixed for claim in published), alone)
    beside = zip(*(claim.uses for claim in published), strict=True)
    return tuple(_target(*kind) for kind in zip(pots, own.uses, beside, strict=True))


def settled(descriptors: int, alone: Sequence[int], own: Claim, others: Sequence[Claim | None]) -> bool:
    """Whether this process has a fair beginning: the others have let go of what it needs to serve clients."""
    wanted = targets(descriptors, alone, own, others)
    least = (min(target, pot // KEPT_FREE) for target, pot in zip(wanted, alone, strict=True))
    return all(use.places >= part for use, part in zip(own.uses, least, strict=True))


def _begun(others: Sequence[Claim | None]) -> list[Claim | None]:
    """Without those that only just stand: a claim of no kinds comes before a process's first look."""
    return [claim for claim in others if claim is None or claim.uses]


def _pots(descriptors: int, alone: Sequence[int]) -> list[int]:
    """What there is of each kind, in the proportions of a front of one process."""
    return [max(descriptors, 0) * places // max(sum(alone), 1) for places in alone]


def _target(pot: int, own: Use, others: Sequence[Use]) -> int:
    """What it needs and an even part of what nobody needs, less where it has no use for that.

    One more such part is claimed by nobody: whoever is short first takes of it at once. Connections at rest
    are kept beyond that as long as the others have room to grow.
    """
    free = max(pot - own.needed - sum(use.needed for use in others), 0)
    even = free // (2 + len(others))
    left_over = sum(max(even - use.headroom_wanted(), 0) for use in others)
    fair = own.needed + min(even + left_over // len(others), own.headroom_wanted())
    kept = pot - sum(max(use.standing, use.needed) for use in others) - pot // KEPT_FREE
    return max(fair, min(own.standing, own.may_need, kept), LEAST_PLACES)
