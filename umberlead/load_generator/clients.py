"""Client behaviour without I/O: when a request is sent, whether it is retried, and its timeout.

A retry goes to the same front under a new call id. It keeps the deadline of the first try, so all tries of a
request share one timeout.
"""

from dataclasses import dataclass

from umberlead.load_generator.day import Day, Request

NOT_EXECUTED_OUTCOMES = ("refused",)
MIN_RETRY_TIME_US = 20_000  # a client does not retry with less time than this before its deadline


@dataclass(frozen=True, slots=True)
class Try:
    """One try of a request, as sent to a front; times in us after the start of the day."""

    of: Request
    number: int  # 0 for the first try
    at: int
    until: int

    @property
    def id(self) -> str:
        """The identifier of the request and of this try."""
        return f"{self.of.number:014x}{self.number:02x}"


class Clients:
    """The clients that send the requests of a day."""

    def __init__(self, day: Day) -> None:
        """Create the clients of `day`."""
        self.day = day
        self.kinds = {k.name: k for k in day.kinds}

    def first(self, of: Request) -> Try:
        """Return the first try of a request."""
        return Try(of, 0, of.at, of.at + self.kinds[of.class_name].timeout_us)

    def again(self, of: Try, kind: str, now: int) -> Try | None:
        """Return the retry of a try that ended as `kind` at `now`, or None where the client does not retry.

        A request that may have been executed is retried only if its class is not `at_most_once`.
        """
        request_class = self.kinds[of.of.class_name]
        retry_allowed = kind in NOT_EXECUTED_OUTCOMES or request_class.effect != "at_most_once"
        retry_at = now + self.day.retry_wait
        if (
            kind == "served"
            or not retry_allowed
            or of.number >= self.day.retries
            or retry_at + MIN_RETRY_TIME_US > of.until
        ):
            return None
        return Try(of.of, of.number + 1, retry_at, of.until)
