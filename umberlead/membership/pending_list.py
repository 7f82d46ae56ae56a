"""A list that withdraws too much at once waits for an operator to confirm it."""

from dataclasses import dataclass

from umberlead.membership.checks import format_shards
from umberlead.membership.errors import MembershipError
from umberlead.membership.model import CheckedList, FilePosition, ListDelta, ListProblem

# The hex digits of a digest by which a list may be confirmed.
MIN_DIGEST_PREFIX_SIZE = 8
SHOWN_DIGEST_SIZE = 16


class NoPendingListError(MembershipError):
    """There is no such list to confirm."""


@dataclass(frozen=True, slots=True)
class PendingList:
    """A checked list that withdraws too much to be taken unconfirmed.

    Attributes:
        checked_list: The list.
        delta: Its difference from the list in force.
        problems: Why it needs to be confirmed.
        since_us: When it was found.
    """

    checked_list: CheckedList
    delta: ListDelta
    problems: tuple[ListProblem, ...]
    since_us: int

    def check_digest(self, digest: str) -> None:
        """Check that a digest names this list.

        Args:
            digest: The first digits of the list's digest, at least `MIN_DIGEST_PREFIX_SIZE`.

        Raises:
            NoPendingListError: It names another list, or too few digits are given.
        """
        own_digest = self.checked_list.digest
        if len(digest) < MIN_DIGEST_PREFIX_SIZE or not own_digest.startswith(digest):
            raise NoPendingListError(f"the list that is held is {own_digest[:SHOWN_DIGEST_SIZE]}")


def confirmation_problems(
    checked_list: CheckedList, delta: ListDelta, max_withdrawn_ratio: float
) -> tuple[ListProblem, ...]:
    """Return why a list must be confirmed before it is taken; nothing where it needn't.

    Args:
        checked_list: The list.
        delta: Its difference from the list in force.
        max_withdrawn_ratio: The share of the ready endpoints that may be withdrawn; one may be in any case.
    """
    position = FilePosition(checked_list.files[0] if checked_list.files else "")
    problems = []
    if delta.withdrawn_count > max(int(delta.ready_count * max_withdrawn_ratio), 1):
        message = f"{delta.withdrawn_count} of {delta.ready_count} ready servers are withdrawn at once"
        problems.append(ListProblem("L301", position, message))
    if delta.unserved_shards:
        message = f"no ready server is left for shard {format_shards(delta.unserved_shards)}"
        problems.append(ListProblem("L302", position, message))
    return tuple(problems)
