"""What a process of a front publishes to those beside it: descriptors it may hold, and its use of them."""

from dataclasses import dataclass

VERSION = "v1"


@dataclass(frozen=True, slots=True)
class ConnectionUse:
    """One kind of connection in one process. All figures are descriptors."""

    quota: int  # the cap: how many the process may hold
    open_connections: int  # how many it holds
    required: int  # how many of them it can't close for another's sake
    max_required: (
        int  # a bound on what it will ever need: as many as there are, as long as it takes new clients
    )

    def claimed(self) -> int:
        """More than the cap where that came down, until what stands over it is closed."""
        return max(self.quota, self.open_connections)

    def wanted_headroom(self) -> int:
        """How many more it may come to need."""
        return max(self.max_required - self.required, 0)


@dataclass(frozen=True, slots=True)
class DescriptorClaim:
    """All descriptors that one process may hold."""

    fixed_descriptors: int  # for what is no connection
    connection_uses: tuple[
        ConnectionUse, ...
    ]  # by kind, in an order that all processes of a front have in common

    def total(self) -> int:
        """All descriptors that the process may hold."""
        return self.fixed_descriptors + sum(use.claimed() for use in self.connection_uses)

    def to_text(self) -> str:
        """The form for a file: `v1 FIXED PLACES/STANDING/NEEDED/MAY_NEED ...`, a group of figures a kind."""
        kinds = (
            f"{use.quota}/{use.open_connections}/{use.required}/{use.max_required}"
            for use in self.connection_uses
        )
        return " ".join([VERSION, str(self.fixed_descriptors), *kinds])


def parse_claim(text: str) -> DescriptorClaim | None:
    """None for what no process of this version has published whole."""
    version, *fields = text.split() or [""]
    if version != VERSION or not fields:
        return None
    try:
        figures = [tuple(map(_figure, field.split("/"))) for field in fields]
        (fixed,), *kinds = figures
        return DescriptorClaim(fixed, tuple(ConnectionUse(*kind) for kind in kinds))
    except (TypeError, ValueError):
        return None


def _figure(text: str) -> int:
    """ValueError for anything but a plain whole number: `int` alone takes signs and underscores too."""
    if not (text.isascii() and text.isdigit()):
        raise ValueError(text)
    return int(text)
