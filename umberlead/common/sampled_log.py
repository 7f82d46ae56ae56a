"""Logging of frequent events: a few lines of each event per interval, and how many were left out."""

from collections.abc import Callable
from typing import Any

SAMPLE_INTERVAL_US = 1_000_000
MAX_LINES_PER_INTERVAL_COUNT = 10  # of one event


class _EventSample:
    """The lines of one event in the present interval."""

    __slots__ = ("began_us", "line_count", "suppressed_count")

    def __init__(self, began_us: int) -> None:
        self.began_us = began_us
        self.line_count = 0
        self.suppressed_count = 0


class SampledLog:
    """Passes at most `MAX_LINES_PER_INTERVAL_COUNT` lines of each event per interval to a log.

    The event names must come from the program, as each one is remembered.
    """

    def __init__(self, log: Callable[..., Any], clock: Callable[[], int]) -> None:
        """Pass lines to `log`, which takes an event's name and its fields; `clock` returns microseconds."""
        self._log = log
        self._clock = clock
        self._samples: dict[str, _EventSample] = {}

    def __call__(self, event: str, **fields: Any) -> None:
        """Log an event, or count it as suppressed.

        The first line of an interval says how many lines of the event were suppressed before it.
        """
        now_us = self._clock()
        sample = self._samples.get(event)
        if sample is None:
            sample = self._samples[event] = _EventSample(now_us)
        elif now_us - sample.began_us >= SAMPLE_INTERVAL_US:
            sample.began_us = now_us
            sample.line_count = 0
        if sample.line_count >= MAX_LINES_PER_INTERVAL_COUNT:
            sample.suppressed_count += 1
            return
        sample.line_count += 1
        if sample.suppressed_count:
            fields["suppressed"] = sample.suppressed_count
            sample.suppressed_count = 0
        self._log(event, **fields)
