"""The rule by which the processes of a front divide its file descriptors while more than one runs.

Each process applies the rule to its own claim and to the claims that its siblings published, in a critical
section in which no sibling can publish. It may lower its quotas at any time, and raises them only by
descriptors that no claim covers, so that the claims never add up to more than the front's descriptors. The
one exception is a process that starts: it adds the minimum that it needs.
"""

from collections.abc import Sequence

from umberlead.handover.process_claims import ConnectionUse, DescriptorClaim

MIN_QUOTA = 2  # of each kind: one connection, and a surplus one to reject
IDLE_HEADROOM_DIVISOR = 8  # idle connections leave 1/8 of a kind's descriptors to siblings

Quotas = tuple[int, ...]  # descriptors by kind of connection
SiblingClaims = Sequence[
    DescriptorClaim | None
]  # None for a process without a claim, such as an older version


def divide_quota(
    descriptors: int, single_quota: Sequence[int], own_claim: DescriptorClaim, siblings: SiblingClaims
) -> Quotas:
    """Return the quotas that this process has from now on.

    Args:
        descriptors: the number of file descriptors of the front.
        single_quota: by kind, the quota of a process without siblings.
        own_claim: this process's current claim.
        siblings: the claims of the siblings.
    """
    siblings = _started_siblings(siblings)
    equal_share = descriptors // (1 + len(siblings))
    claimed = sum(equal_share if claim is None else claim.total() for claim in siblings)
    unclaimed = descriptors - own_claim.total() - claimed
    minimums = [max(use.claimed(), MIN_QUOTA) for use in own_claim.connection_uses]
    unclaimed -= sum(minimums) - sum(use.claimed() for use in own_claim.connection_uses)
    quotas = []
    for minimum, target in zip(
        minimums, target_quota(descriptors, single_quota, own_claim, siblings), strict=True
    ):
        quota = min(target, minimum + max(unclaimed, 0))
        unclaimed -= max(quota - minimum, 0)
        quotas.append(quota)
    return tuple(quotas)


def target_quota(
    descriptors: int, single_quota: Sequence[int], own_claim: DescriptorClaim, siblings: SiblingClaims
) -> Quotas:
    """Return the quotas that this process should have once its siblings have lowered theirs."""
    siblings = _started_siblings(siblings)
    if not siblings:
        return tuple(single_quota)
    kinds = len(own_claim.connection_uses)
    published = [claim for claim in siblings if claim is not None and len(claim.connection_uses) == kinds]
    if len(published) < len(siblings):  # a sibling of another version gets an equal share
        equal_share = descriptors // (1 + len(siblings))
        totals = _totals_by_kind(equal_share - own_claim.fixed_descriptors, single_quota)
        return tuple(max(total, MIN_QUOTA) for total in totals)
    fixed = own_claim.fixed_descriptors + sum(claim.fixed_descriptors for claim in published)
    totals = _totals_by_kind(descriptors - fixed, single_quota)
    sibling_uses = zip(*(claim.connection_uses for claim in published), strict=True)
    return tuple(
        _target_of_kind(*kind) for kind in zip(totals, own_claim.connection_uses, sibling_uses, strict=True)
    )


def has_fair_quota(
    descriptors: int, single_quota: Sequence[int], own_claim: DescriptorClaim, siblings: SiblingClaims
) -> bool:
    """Return whether this process has the quotas that it needs to start serving clients."""
    targets = target_quota(descriptors, single_quota, own_claim, siblings)
    needed = (
        min(target, total // IDLE_HEADROOM_DIVISOR)
        for target, total in zip(targets, single_quota, strict=True)
    )
    return all(use.quota >= count for use, count in zip(own_claim.connection_uses, needed, strict=True))


def _started_siblings(siblings: SiblingClaims) -> list[DescriptorClaim | None]:
    """Leave out siblings that just registered, whose claims have no kinds until their first division."""
    return [claim for claim in siblings if claim is None or claim.connection_uses]


def _totals_by_kind(descriptors: int, single_quota: Sequence[int]) -> list[int]:
    """Divide descriptors among the kinds in the same proportions as for a process without siblings."""
    return [max(descriptors, 0) * quota // max(sum(single_quota), 1) for quota in single_quota]


def _target_of_kind(total: int, own_use: ConnectionUse, siblings: Sequence[ConnectionUse]) -> int:
    """Return the quota of one kind: the required descriptors and a share of those that no process requires.

    The share is limited to what the process may still come to require, and includes part of what siblings
    don't need of theirs. One more equal share is left unclaimed, for the first process with a shortage. Idle
    connections that are open beyond that are kept as long as siblings have headroom.
    """
    unrequired = max(total - own_use.required - sum(use.required for use in siblings), 0)
    equal_share = unrequired // (2 + len(siblings))
    left_over = sum(max(equal_share - use.wanted_headroom(), 0) for use in siblings)
    fair_quota = own_use.required + min(equal_share + left_over // len(siblings), own_use.wanted_headroom())
    in_use = sum(max(use.open_connections, use.required) for use in siblings)
    idle_limit = total - in_use - total // IDLE_HEADROOM_DIVISOR
    return max(fair_quota, min(own_use.open_connections, own_use.max_required, idle_limit), MIN_QUOTA)
