"""What a process of a front publishes to those beside it: descriptors it may hold, and its use of them."""

from dataclasses import dataclass

VERSION = "v1"


@dataclass(frozen=True, slots=True)
class Use:
    """One kind of connection in one process. All figures are descriptors."""

    places: int  # the cap: how many the process may hold
    standing: int  # how many it holds
    needed: int  # how many of them it can't close for another's sake
    may_need: int  # a bound on what it will ever need: as many as there are, as long as it takes new clients

    def claimed(self) -> int:
        """More than the cap where that came down, until what stands over it is closed."""
        return max(self.places, self.standing)

    def headroom_wanted(self) -> int:
        """How many more it may come to need."""
        return max(self.may_need - self.needed, 0)


@dataclass(frozen=True, slots=True)
class Claim:
    """All descriptors that one process may hold."""

    fixed: int  # for what is no connection
    uses: tuple[Use, ...]  # by kind, in an order that all processes of a front have in common

    def total(self) -> int:
        """All descriptors that the process may hold."""
        return self.fixed + sum(use.claimed() for use in self.uses)

    def text(self) -> str:
        """The form for a file: `v1 FIXED PLACES/STANDING/NEEDED/MAY_NEED ...`, a group of figures a kind."""
        kinds = (f"{use.places}/{use.standing}/{use.needed}/{use.may_need}" for use in self.uses)
        return " ".join([VERSION, str(self.fixed), *kinds])


def parse(text: str) -> Claim | None:
    """None for what no process of this version has published whole."""
    version, *fields = text.split() or [""]
    if version != VERSION or not fields:
        return None
    try:
        figures = [tuple(map(_figure, field.split("/"))) for field in fields]
        (fixed,), *kinds = figures
        return Claim(fixed, tuple(Use(*kind) for kind in kinds))
    except (TypeError, ValueError):
        return None


def _figure(text: str) -> int:
    """ValueError for anything but a plain whole number: `int` alone takes signs and underscores too."""
    if not (text.isascii() and text.isdigit()):
        raise ValueError(text)
    return int(text)
