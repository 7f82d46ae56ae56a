"""Evidence from a front's own attempts that a zone is down or degraded. No health checks are sent for it.

For this front an endpoint is down after broken attempts, or after silence with attempts in flight, that no
answer has followed. The odds that a zone is down are the product of its prior odds and one likelihood ratio
per endpoint. Each ratio is bounded by how often an endpoint is down on its own, so that one broken
connection, or one dead endpoint, never marks a zone as down. Times are in us.
"""

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from umberlead.zones.model import Contact, Reachability, ZoneSettings

# How much more likely an unanswered request is if the zone is down than if the endpoint only pauses.
SILENT_LIKELIHOOD_RATIO = 15.0
MAX_UNANSWERED_COUNT = 16  # cancelled attempts that are remembered for each endpoint
BREAKS_TO_DOWN_COUNT = 2  # broken attempts in a row that mark an endpoint as down
SLICES_PER_WINDOW_COUNT = 8
# Added to the failures and attempts of other zones: 1 in 20 is assumed to fail where there is nothing to
# compare with.
ASSUMED_FAILURE_COUNT = 1
ASSUMED_ATTEMPT_COUNT = 20


class AttemptTotals(NamedTuple):
    """Sums over attempts."""

    attempts: float
    failures: float
    answers: float
    latency_sum_us: float


@dataclass(slots=True)
class StatisticsSlice:
    """The attempts of one slice of a window."""

    start_us: int
    attempts: int = 0
    failures: int = 0
    answers: int = 0
    latency_sum_us: float = 0.0


@dataclass(slots=True)
class SlidingStatistics:
    """Sums of attempts, failures and latencies over a sliding window, kept per slice instead of per attempt.

    Attributes:
        window_us: The length of the window.
        slices: The slices that are not empty, the oldest first.
    """

    window_us: int
    slices: deque[StatisticsSlice] = field(default_factory=deque)

    def add(self, now_us: int, is_broken: bool, latency_us: float = 0.0) -> None:
        """Count an attempt that ended now; its latency matters only where it did not break."""
        slice_us = max(self.window_us // SLICES_PER_WINDOW_COUNT, 1)
        start_us = now_us - now_us % slice_us
        if not self.slices or self.slices[-1].start_us != start_us:
            self.slices.append(StatisticsSlice(start_us))
        current = self.slices[-1]
        current.attempts += 1
        if is_broken:
            current.failures += 1
        else:
            current.answers += 1
            current.latency_sum_us += latency_us

    def sums(self, now_us: int) -> AttemptTotals:
        """Return the sums over the window that ends now."""
        while self.slices and self.slices[0].start_us < now_us - self.window_us:
            self.slices.popleft()
        return AttemptTotals(
            sum(item.attempts for item in self.slices),
            sum(item.failures for item in self.slices),
            sum(item.answers for item in self.slices),
            sum(item.latency_sum_us for item in self.slices),
        )


@dataclass(slots=True)
class ContactRecord:
    """What the attempts sent to one endpoint have shown about it.

    Attributes:
        last_answered_us: When it last answered; -1 if never.
        last_broken_us: When an attempt last broke, or the endpoint was last found silent; -1 if never.
        broken_count: The number of broken attempts since it last answered.
        in_flight: When each attempt in flight was sent, by the id of its request.
        unanswered_us: When each attempt was sent that was cancelled, with no answer from the endpoint since.
        is_silent: Whether it has been found silent, and has not answered since.
        statistics: Statistics of its attempts over the evidence window.
    """

    last_answered_us: int = -1
    last_broken_us: int = -1
    broken_count: int = 0
    in_flight: dict[str, int] = field(default_factory=dict)
    unanswered_us: list[int] = field(default_factory=list)
    is_silent: bool = False
    statistics: SlidingStatistics = field(default_factory=lambda: SlidingStatistics(0))

    def record_attempt(self, now_us: int, request: str) -> None:
        """Record an attempt that is sent now."""
        self.in_flight[request] = now_us

    def record_outcome(self, now_us: int, request: str, contact: Contact) -> None:
        """Record the end of an attempt."""
        started_us = self.in_flight.pop(request, None)
        if contact is Contact.ANSWERED:
            self.last_answered_us = now_us
            self.broken_count = 0
            self.is_silent = False
            self.unanswered_us.clear()
        elif contact is Contact.BROKEN:
            self.last_broken_us = now_us
            self.broken_count += 1
        elif started_us is not None and started_us > self.last_answered_us:
            # This front cancelled it: the endpoint's silence before that still counts.
            if len(self.unanswered_us) < MAX_UNANSWERED_COUNT:
                self.unanswered_us.append(started_us)

    def detect_silence(self, now_us: int, silence_timeout_us: int) -> bool:
        """Return whether the endpoint is newly found silent: two attempts are unanswered for too long."""
        silent_since_us = now_us - silence_timeout_us
        if self.is_silent or self.last_answered_us >= silent_since_us:
            return False
        if len(self.in_flight) + len(self.unanswered_us) < BREAKS_TO_DOWN_COUNT:
            return False
        # One request without an answer may be the fault of that request. Two, with nothing received since
        # they were sent, are the fault of the endpoint.
        unanswered_count = sum(
            self.last_answered_us < started_us < silent_since_us
            for started_us in (*self.in_flight.values(), *self.unanswered_us)
        )
        self.is_silent = unanswered_count >= BREAKS_TO_DOWN_COUNT
        if self.is_silent:
            self.last_broken_us = now_us
            self.broken_count += 1
        return self.is_silent

    def reachability(self, now_us: int, window_us: int, silence_timeout_us: int) -> Reachability:
        """Return the reachability of the endpoint by its attempts within the window."""
        if self.broken_count >= BREAKS_TO_DOWN_COUNT or self.is_silent:
            return Reachability.DOWN if now_us - self.last_broken_us <= window_us else Reachability.UNKNOWN
        since_us = max(self.last_answered_us, now_us - window_us)
        until_us = now_us - silence_timeout_us
        if any(since_us < started_us < until_us for started_us in self.in_flight.values()):
            return Reachability.SILENT
        if self.last_answered_us >= 0 and now_us - self.last_answered_us <= window_us:
            return Reachability.UP
        return Reachability.UNKNOWN


def log_odds_down(reachabilities: Sequence[str], settings: ZoneSettings) -> float:
    """Return the log odds that a zone is down: the prior, and one bounded likelihood ratio per endpoint."""
    down_probability = settings.endpoint_down_probability
    log_odds = math.log(settings.prior_probability / (1 - settings.prior_probability))
    for reachability in reachabilities:
        if reachability == Reachability.DOWN:
            log_odds += math.log((1 - down_probability) / down_probability)
        elif reachability == Reachability.SILENT:
            log_odds += math.log(SILENT_LIKELIHOOD_RATIO)
        elif reachability == Reachability.UP:
            log_odds += math.log(down_probability / (1 - down_probability))
    return log_odds


def is_zone_down(reachabilities: Sequence[str], settings: ZoneSettings) -> bool:
    """Return whether the odds that a zone is down have reached the threshold.

    A zone of few endpoints can't reach the threshold: it is down if it has at least two endpoints and all of
    them are down.
    """
    threshold = math.log(settings.down_odds_threshold)
    if log_odds_down(reachabilities, settings) >= threshold:
        return True
    all_down = [Reachability.DOWN] * len(reachabilities)
    return (
        log_odds_down(all_down, settings) < threshold
        and len(reachabilities) >= 2
        and list(reachabilities) == all_down
    )


def sum_statistics(statistics: Sequence[SlidingStatistics], now_us: int) -> AttemptTotals:
    """Return the sums over several endpoints."""
    totals = [item.sums(now_us) for item in statistics]
    return AttemptTotals(
        sum(total.attempts for total in totals),
        sum(total.failures for total in totals),
        sum(total.answers for total in totals),
        sum(total.latency_sum_us for total in totals),
    )


def without_worst_quarter(statistics: Sequence[SlidingStatistics], now_us: int) -> list[SlidingStatistics]:
    """Return all but the worst quarter of endpoints, rounded up: few outliers do not degrade a zone."""
    totals = {id(item): item.sums(now_us) for item in statistics}
    best_first = sorted(
        statistics, key=lambda item: (totals[id(item)].failures, totals[id(item)].latency_sum_us)
    )
    return best_first[: len(best_first) - math.ceil(len(best_first) / 4)]


def why_degraded(
    own: Sequence[SlidingStatistics],
    others: Sequence[SlidingStatistics],
    now_us: int,
    settings: ZoneSettings,
) -> str | None:
    """Return why a zone is degraded in comparison with other zones, or None if it is not.

    It is degraded if more attempts fail than random variation explains (three sigma), or if answers take far
    longer.

    Args:
        own: The statistics of the zone's endpoints.
        others: The statistics of the endpoints of the other zones.
        now_us: The time.
        settings: The thresholds.
    """
    zone = sum_statistics(without_worst_quarter(own, now_us), now_us)
    if zone.attempts < settings.degraded_min_attempts:
        return None
    other = sum_statistics(others, now_us)
    other_failure_ratio = (other.failures + ASSUMED_FAILURE_COUNT) / (other.attempts + ASSUMED_ATTEMPT_COUNT)
    sigma = math.sqrt(max(other_failure_ratio * (1 - other_failure_ratio), 1e-9) / zone.attempts)
    failure_ratio = zone.failures / zone.attempts
    if (
        failure_ratio >= other_failure_ratio + settings.degraded_failure_ratio
        and failure_ratio > other_failure_ratio + 3 * sigma
    ):
        return (
            f"{zone.failures:.0f} of {zone.attempts:.0f} attempts broke, elsewhere {other_failure_ratio:.1%}"
        )
    if min(zone.answers, other.answers) < settings.degraded_min_attempts:
        return None
    mean_us = zone.latency_sum_us / zone.answers
    other_mean_us = other.latency_sum_us / other.answers
    if mean_us > settings.degraded_latency_factor * other_mean_us:
        return f"answers take {mean_us / 1000:.0f} ms, elsewhere {other_mean_us / 1000:.0f} ms"
    return None
