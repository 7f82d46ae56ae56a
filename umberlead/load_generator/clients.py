"""Clients, free of I/O: when each asks, whether it asks again, and how long it waits.

A retry comes to the same front under a new name and belongs to its first try: its time is what the first
left.
"""

from dataclasses import dataclass

from umberlead.load_generator.day import Day, Request

HARMLESS = ("refused",)
MIN_RETRY_TIME_US = 20_000  # us: with less left, nobody asks again


@dataclass(frozen=True, slots=True)
class Try:
    """One request on the wire."""

    of: Request
    number: int  # 0: the first
    at: int
    until: int

    @property
    def id(self) -> str:
        """The identifier of the request and of this try."""
        return f"{self.of.number:014x}{self.number:02x}"


class Clients:
    """All clients of a day."""

    def __init__(self, day: Day) -> None:
        """Clients that send the requests of `day`."""
        self.day = day
        self.kinds = {k.name: k for k in day.kinds}

    def first(self, of: Request) -> Try:
        """The first try of a request."""
        return Try(of, 0, of.at, of.at + self.kinds[of.class_name].timeout_us)

    def again(self, of: Try, kind: str, now: int) -> Try | None:
        """The next try after an answer other than served, or after none.

        What may have run is sent again only where that does no harm.
        """
        cls = self.kinds[of.of.class_name]
        harmless = kind in HARMLESS or cls.effect != "at_most_once"
        at = now + self.day.retry_wait
        if (
            kind == "served"
            or not harmless
            or of.number >= self.day.retries
            or at + MIN_RETRY_TIME_US > of.until
        ):
            return None
        return Try(of.of, of.number + 1, at, of.until)
