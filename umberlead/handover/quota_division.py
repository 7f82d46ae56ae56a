"""The rule by which the processes of a front divide its descriptors while more than one runs.

Each process applies it to its own claim and to those that its siblings published, while it alone may publish.
It lowers its quotas at any time and raises them only by what no claim covers, so that the claims never add up
to more than the front's descriptors. Only a process that starts adds the minimum that it can't do without.
"""

from collections.abc import Sequence

from umberlead.handover.process_claims import ConnectionUse, DescriptorClaim

MIN_QUOTA_COUNT = 2  # of a kind: one connection, and a surplus one that is rejected
IDLE_HEADROOM_DIVISOR_COUNT = 8  # idle connections leave siblings this fraction of a kind's descriptors

Quotas = tuple[int, ...]  # descriptors by kind of connection
SiblingClaims = Sequence[DescriptorClaim | None]  # None where a process published none, as older versions


def divide_quota(
    descriptors: int, single_quota: Sequence[int], own: DescriptorClaim, siblings: SiblingClaims
) -> Quotas:
    """Return the quotas that this process has from now on.

    Args:
        descriptors: of the front.
        single_quota: by kind, the quota of a process without siblings.
        own: this process's claim as it is.
        siblings: their claims.
    """
    siblings = _started(siblings)
    equal_share = descriptors // (1 + len(siblings))
    claimed = sum(equal_share if claim is None else claim.total() for claim in siblings)
    unclaimed = descriptors - own.total() - claimed
    minimums = [max(use.claimed(), MIN_QUOTA_COUNT) for use in own.connection_uses]
    unclaimed -= sum(minimums) - sum(use.claimed() for use in own.connection_uses)
    quotas = []
    for minimum, target in zip(minimums, target_quota(descriptors, single_quota, own, siblings), strict=True):
        quota = min(target, minimum + max(unclaimed, 0))
        unclaimed -= max(quota - minimum, 0)
        quotas.append(quota)
    return tuple(quotas)


def target_quota(
    descriptors: int, single_quota: Sequence[int], own: DescriptorClaim, siblings: SiblingClaims
) -> Quotas:
    """Return the quotas that this process should have once its siblings released theirs."""
    siblings = _started(siblings)
    if not siblings:
        return tuple(single_quota)
    kinds = len(own.connection_uses)
    published = [claim for claim in siblings if claim is not None and len(claim.connection_uses) == kinds]
    if len(published) < len(siblings):  # one of another version takes an equal share, whatever is claimed
        equal_share = descriptors // (1 + len(siblings))
        totals = _totals_by_kind(equal_share - own.fixed_descriptors, single_quota)
        return tuple(max(total, MIN_QUOTA_COUNT) for total in totals)
    fixed = own.fixed_descriptors + sum(claim.fixed_descriptors for claim in published)
    totals = _totals_by_kind(descriptors - fixed, single_quota)
    sibling_uses = zip(*(claim.connection_uses for claim in published), strict=True)
    return tuple(_target(*kind) for kind in zip(totals, own.connection_uses, sibling_uses, strict=True))


def has_fair_quota(
    descriptors: int, single_quota: Sequence[int], own: DescriptorClaim, siblings: SiblingClaims
) -> bool:
    """Tell whether siblings released what this process needs to start serving clients."""
    targets = target_quota(descriptors, single_quota, own, siblings)
    needed = (
        min(target, total // IDLE_HEADROOM_DIVISOR_COUNT)
        for target, total in zip(targets, single_quota, strict=True)
    )
    return all(use.quota >= count for use, count in zip(own.connection_uses, needed, strict=True))


def _started(siblings: SiblingClaims) -> list[DescriptorClaim | None]:
    """Leave out siblings that just registered: a claim without kinds precedes a process's first division."""
    return [claim for claim in siblings if claim is None or claim.connection_uses]


def _totals_by_kind(descriptors: int, single_quota: Sequence[int]) -> list[int]:
    """Divide descriptors among the kinds, in the proportions of a process without siblings."""
    return [max(descriptors, 0) * quota // max(sum(single_quota), 1) for quota in single_quota]


def _target(total: int, own: ConnectionUse, siblings: Sequence[ConnectionUse]) -> int:
    """Return one kind's quota: what is required and a share of what nobody requires, as far as it is wanted.

    One more such share is left unclaimed: whichever process is short first takes of it at once. Idle
    connections stay open beyond that as long as siblings have headroom.
    """
    free = max(total - own.required - sum(use.required for use in siblings), 0)
    equal_share = free // (2 + len(siblings))
    left_over = sum(max(equal_share - use.wanted_headroom(), 0) for use in siblings)
    fair = own.required + min(equal_share + left_over // len(siblings), own.wanted_headroom())
    in_use = sum(max(use.open_connections, use.required) for use in siblings)
    idle_limit = total - in_use - total // IDLE_HEADROOM_DIVISOR_COUNT
    return max(fair, min(own.open_connections, own.max_required, idle_limit), MIN_QUOTA_COUNT)
