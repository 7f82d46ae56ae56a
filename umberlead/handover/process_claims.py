"""What a process of a front publishes to its siblings: the descriptors that it may use, and their use."""

from dataclasses import dataclass

from umberlead.common.errors import UmberleadError

FORMAT_VERSION = "v1"


class InvalidClaimError(UmberleadError, ValueError):
    """A published claim can't be read."""


@dataclass(frozen=True, slots=True)
class ConnectionUse:
    """One kind of connection in one process; all numbers are descriptors.

    Attributes:
        quota: how many the process may have open.
        open_connections: how many it has open.
        required: how many of them it can't close in favor of a sibling.
        max_required: a bound on what it will ever require; unbounded while it accepts new clients.
    """

    quota: int
    open_connections: int
    required: int
    max_required: int

    def claimed(self) -> int:
        """Return what siblings must leave: after the quota fell, what is still open above it too."""
        return max(self.quota, self.open_connections)

    def wanted_headroom(self) -> int:
        """Return how many more the process may come to require."""
        return max(self.max_required - self.required, 0)


@dataclass(frozen=True, slots=True)
class DescriptorClaim:
    """All descriptors that one process may use.

    Attributes:
        fixed_descriptors: those that are no connections.
        connection_uses: by kind, in an order that all processes of a front have in common.
    """

    fixed_descriptors: int
    connection_uses: tuple[ConnectionUse, ...]

    def total(self) -> int:
        """Return all descriptors that the process may use."""
        return self.fixed_descriptors + sum(use.claimed() for use in self.connection_uses)

    def to_text(self) -> str:
        """Return the stored form: `v1 FIXED QUOTA/OPEN/REQUIRED/MAX_REQUIRED ...`, a group for each kind."""
        groups = (
            f"{use.quota}/{use.open_connections}/{use.required}/{use.max_required}"
            for use in self.connection_uses
        )
        return " ".join([FORMAT_VERSION, str(self.fixed_descriptors), *groups])


def parse_claim(text: str) -> DescriptorClaim | None:
    """Read a claim's stored form; None where it is partial or of another version."""
    version, *fields = text.split() or [""]
    if version != FORMAT_VERSION or not fields:
        return None
    try:
        numbers = [tuple(map(_parse_number, field.split("/"))) for field in fields]
        (fixed,), *kinds = numbers
        return DescriptorClaim(fixed, tuple(ConnectionUse(*kind) for kind in kinds))
    except (TypeError, ValueError):
        return None


def _parse_number(text: str) -> int:
    """Read a plain decimal number; `int` alone takes signs and underscores too."""
    if not (text.isascii() and text.isdigit()):
        raise InvalidClaimError(f"not a decimal number in a process's claim: {text!r}")
    return int(text)
