"""Lists that withdraw too many endpoints at once stay pending until an operator confirms them."""

from dataclasses import dataclass

from umberlead.membership.checks import format_shards
from umberlead.membership.errors import MembershipError
from umberlead.membership.model import CheckedList, FilePosition, ListDelta, ListProblem

# The fewest hex digits of the digest with which an operator may confirm a list.
MIN_DIGEST_PREFIX_SIZE = 8
SHOWN_DIGEST_SIZE = 16


class NoPendingListError(MembershipError):
    """No list is pending, or the digest is that of another list."""


@dataclass(frozen=True, slots=True)
class PendingList:
    """A checked list that needs an operator's confirmation.

    Attributes:
        checked_list: The list.
        delta: The difference from the list in force to this one.
        problems: Why the list needs to be confirmed.
        since_us: When the list was first loaded.
    """

    checked_list: CheckedList
    delta: ListDelta
    problems: tuple[ListProblem, ...]
    since_us: int

    def check_digest(self, digest: str) -> None:
        """Check that a digest is that of this list.

        Args:
            digest: The first digits of the list's digest, at least `MIN_DIGEST_PREFIX_SIZE`.

        Raises:
            NoPendingListError: The digest is that of another list, or has too few digits.
        """
        own_digest = self.checked_list.digest
        if len(digest) < MIN_DIGEST_PREFIX_SIZE or not own_digest.startswith(digest):
            raise NoPendingListError(f"the list that is held is {own_digest[:SHOWN_DIGEST_SIZE]}")


def confirmation_problems(
    checked_list: CheckedList, delta: ListDelta, max_withdrawn_ratio: float
) -> tuple[ListProblem, ...]:
    """Return why a list needs to be confirmed; an empty tuple if it does not.

    Args:
        checked_list: The list.
        delta: The difference from the list in force to this one.
        max_withdrawn_ratio: The largest part of the ready endpoints that may be withdrawn without
            confirmation; one endpoint always may.
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
