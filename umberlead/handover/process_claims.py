"""Claims, which a process publishes to its siblings: the file descriptors that it may use and does use."""

from dataclasses import dataclass

from umberlead.common.errors import UmberleadError

FORMAT_VERSION = "v1"


class InvalidClaimError(UmberleadError, ValueError):
    """A published claim is malformed."""


@dataclass(frozen=True, slots=True)
class ConnectionUse:
    """The use of one kind of connection in one process; all values are numbers of descriptors.

    Attributes:
        quota: how many connections the process may have open.
        open_connections: how many it has open.
        required: how many of them it can't close in favor of a sibling.
        max_required: an upper bound of `required` from now on; unbounded while it accepts new clients.
    """

    quota: int
    open_connections: int
    required: int
    max_required: int

    def claimed(self) -> int:
        """Return how many descriptors siblings can't use: the quota, or the open connections if more."""
        return max(self.quota, self.open_connections)

    def wanted_headroom(self) -> int:
        """Return by how much `required` may still rise."""
        return max(self.max_required - self.required, 0)


@dataclass(frozen=True, slots=True)
class DescriptorClaim:
    """All descriptors that one process may use.

    Attributes:
        fixed_descriptors: the number of descriptors that are not connections.
        connection_uses: the use of each kind, in the same order in all processes of a front.
    """

    fixed_descriptors: int
    connection_uses: tuple[ConnectionUse, ...]

    def total(self) -> int:
        """Return the number of all descriptors that the process may use."""
        return self.fixed_descriptors + sum(use.claimed() for use in self.connection_uses)

    def to_text(self) -> str:
        """Return the stored form: `v1 FIXED QUOTA/OPEN/REQUIRED/MAX_REQUIRED ...`, with a group per kind."""
        groups = (
            f"{use.quota}/{use.open_connections}/{use.required}/{use.max_required}"
            for use in self.connection_uses
        )
        return " ".join([FORMAT_VERSION, str(self.fixed_descriptors), *groups])


def parse_claim(text: str) -> DescriptorClaim | None:
    """Parse the stored form of a claim; return None if it is incomplete, malformed or of another version."""
    version, *fields = text.split() or [""]
    if version != FORMAT_VERSION or not fields:
        return None
    try:
        numbers = [tuple(map(_parse_number, field.split("/"))) for field in fields]
        (fixed_descriptors,), *kinds = numbers
        return DescriptorClaim(fixed_descriptors, tuple(ConnectionUse(*kind) for kind in kinds))
    except (TypeError, ValueError):
        return None


def _parse_number(text: str) -> int:
    """Parse a plain decimal number; `int` also accepts signs and underscores."""
    if not (text.isascii() and text.isdigit()):
        raise InvalidClaimError(f"not a decimal number in a process's claim: {text!r}")
    return int(text)
