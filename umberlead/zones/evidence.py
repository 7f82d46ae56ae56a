"""What a front's own attempts tell of the servers of a room. Passive: nothing is sent to learn it.

A server is down in this front's eyes after breaks, or silence with work out, that no answer has followed. A
room's odds of being lost multiply its servers' ratios, each bounded by how often a server is down by itself:
one broken link, or one dead server, never makes a room."""

import math
from collections import deque
from dataclasses import dataclass, field

from umberlead.zones.model import Contact, ZoneSettings

SILENT_LIKELIHOOD_RATIO = (
    15.0  # a server that leaves one request without a word: its room is lost, against a pause
)
MAX_UNANSWERED_COUNT = 16  # given-up sendings that are remembered
BREAKS_TO_DOWN_COUNT = 2  # in a row, with no answer in between, that make a server down
BAD, GOOD = 1, 0


@dataclass(slots=True)
class ContactRecord:
    """What is known of one server."""

    answered_us: int = -1  # when it answered last
    broke_us: int = -1  # when an attempt there broke last
    breaks: int = 0  # since it answered
    in_flight: dict[str, int] = field(default_factory=dict)  # attempts under way, and when they were sent
    unanswered_us: list[int] = field(
        default_factory=list
    )  # when those were sent that were given up before any word came
    silent: bool = False
    statistics: "SlidingStatistics" = field(default_factory=lambda: SlidingStatistics(0))

    def record_attempt(self, now_us: int, request: str) -> None:
        self.in_flight[request] = now_us

    def record_outcome(self, now_us: int, request: str, contact: Contact) -> None:
        started_us = self.in_flight.pop(request, None)
        if contact is Contact.ANSWERED:
            self.answered_us, self.breaks, self.silent = now_us, 0, False
            self.unanswered_us.clear()
        elif (
            contact is Contact.INCONCLUSIVE
            and started_us is not None
            and started_us > self.answered_us
            and len(self.unanswered_us) < MAX_UNANSWERED_COUNT
        ):
            self.unanswered_us.append(
                started_us
            )  # withdrawn by this front itself: the silence before that still tells
        elif contact is Contact.BROKEN:
            self.broke_us, self.breaks = now_us, self.breaks + 1

    def detect_silence(self, now_us: int, silence_timeout_us: int) -> bool:
        """Whether it has just fallen silent: work is out, and for long no word came of any of it."""
        silent_since_us = now_us - silence_timeout_us
        if (
            self.silent
            or len(self.in_flight) + len(self.unanswered_us) < BREAKS_TO_DOWN_COUNT
            or self.answered_us >= silent_since_us
        ):
            return False
        # One that is never answered is that request's own misfortune; two, and nothing else came in between.
        unanswered_count = sum(
            self.answered_us < started_us < silent_since_us
            for started_us in (*self.in_flight.values(), *self.unanswered_us)
        )
        self.silent = unanswered_count >= BREAKS_TO_DOWN_COUNT
        if self.silent:
            self.broke_us, self.breaks = now_us, self.breaks + 1
        return self.silent

    def observation(self, now_us: int, window_us: int, silence_timeout_us: int) -> str:
        """What is known of it lately: down, mute (a request is out for long, and no word came since), up, or
        nothing."""
        if self.breaks >= BREAKS_TO_DOWN_COUNT or self.silent:
            return "down" if now_us - self.broke_us <= window_us else ""
        if any(
            max(self.answered_us, now_us - window_us) < started_us < now_us - silence_timeout_us
            for started_us in self.in_flight.values()
        ):
            return "mute"
        return "up" if self.answered_us >= 0 and now_us - self.answered_us <= window_us else ""


@dataclass(slots=True)
class SlidingStatistics:
    """Attempts and breaks, and how long answers took, over a window; in eight slices, so that nothing is
    kept of each attempt."""

    window_us: int
    slices: deque[list[float]] = field(default_factory=deque)  # begin, attempts, breaks, answers, their time

    def add(self, now_us: int, broke: bool, latency_us: float = 0.0) -> None:
        slice_us = max(self.window_us // 8, 1)
        slice_start_us = now_us - now_us % slice_us
        if not self.slices or self.slices[-1][0] != slice_start_us:
            self.slices.append([slice_start_us, 0, 0, 0, 0.0])
        current = self.slices[-1]
        current[1] += 1
        current[2] += broke
        if not broke:
            current[3] += 1
            current[4] += latency_us

    def sums(self, now_us: int) -> tuple[float, float, float, float]:
        """Attempts, breaks, answers and the time of these."""
        while self.slices and self.slices[0][0] < now_us - self.window_us:
            self.slices.popleft()
        totals = [sum(item[column] for item in self.slices) for column in range(1, 5)]
        return totals[0], totals[1], totals[2], totals[3]


def log_odds_down(observations: list[str], settings: ZoneSettings) -> float:
    """That a room is lost, from its servers' words: the prior, and a bounded ratio a server."""
    odds, down_probability = (
        math.log(settings.prior_probability / (1 - settings.prior_probability)),
        settings.endpoint_down_probability,
    )
    for observation in observations:
        if observation == "down":
            odds += math.log((1 - down_probability) / down_probability)
        elif observation == "mute":
            odds += math.log(SILENT_LIKELIHOOD_RATIO)
        elif observation == "up":
            odds += math.log(down_probability / (1 - down_probability))
    return odds


def is_zone_down(observations: list[str], settings: ZoneSettings) -> bool:
    """A room of few servers can't reach the odds: there all must be down, and two at least."""
    conclusive = [observation for observation in observations if observation]
    if log_odds_down(observations, settings) >= math.log(settings.down_odds_threshold):
        return True
    max_log_odds = log_odds_down(["down"] * len(observations), settings)
    return (
        max_log_odds < math.log(settings.down_odds_threshold)
        and len(observations) >= 2
        and conclusive == ["down"] * len(observations)
    )


def sum_statistics(statistics: list[SlidingStatistics], now_us: int) -> tuple[float, float, float, float]:
    rows = [row.sums(now_us) for row in statistics]
    return (
        sum(row[0] for row in rows),
        sum(row[1] for row in rows),
        sum(row[2] for row in rows),
        sum(row[3] for row in rows),
    )


def without_worst_quarter(statistics: list[SlidingStatistics], now_us: int) -> list[SlidingStatistics]:
    """Without the worst quarter of its servers, rounded up: what one or two do is their own."""
    from_best = sorted(statistics, key=lambda r: (r.sums(now_us)[1], r.sums(now_us)[3]))
    return from_best[: len(from_best) - math.ceil(len(from_best) / 4)]


def why_degraded(
    own: list[SlidingStatistics], other_zones: list[SlidingStatistics], now_us: int, settings: ZoneSettings
) -> str:
    """Why a room, a ratio a server, is grey against the others; empty where it is not: more breaks than
    chance explains (three sigma), or answers that take far longer."""
    attempts, failures, answers, latency_sum_us = sum_statistics(without_worst_quarter(own, now_us), now_us)
    if attempts < settings.degraded_min_attempts:
        return ""
    other_attempts, other_failures, other_answers, other_latency_sum_us = sum_statistics(other_zones, now_us)
    usual = (other_failures + 1) / (other_attempts + 20)  # with nobody to compare, 1 in 20 is usual
    sigma = math.sqrt(max(usual * (1 - usual), 1e-9) / attempts)
    failure_ratio = failures / attempts
    if failure_ratio >= usual + settings.degraded_failure_ratio and failure_ratio > usual + 3 * sigma:
        return f"{failures:.0f} of {attempts:.0f} attempts broke, elsewhere {usual:.1%}"
    if answers >= settings.degraded_min_attempts and other_answers >= settings.degraded_min_attempts:
        mean, usual = latency_sum_us / answers, other_latency_sum_us / other_answers
        if mean > settings.degraded_latency_factor * usual:
            return f"answers take {mean / 1000:.0f} ms, elsewhere {usual / 1000:.0f} ms"
    return ""
