"""What a front's own attempts tell of the servers of a room. Passive: nothing is sent to learn it.

A server is down in this front's eyes after breaks, or silence with work out, that no answer has followed. A
room's odds of being lost multiply its servers' ratios, each bounded by how often a server is down by itself:
one broken link, or one dead server, never makes a room."""

import math
from collections import deque
from dataclasses import dataclass, field

from umberlead.zones.model import Met, Rules

MUTE_RATIO = 15.0  # a server that leaves one request without a word: its room is lost, against a pause
MUTE = 16  # given-up sendings that are remembered
BREAKS = 2  # in a row, with no answer in between, that make a server down
BAD, GOOD = 1, 0


@dataclass(slots=True)
class Track:
    """What is known of one server."""

    heard: int = -1  # when it answered last
    broke: int = -1  # when an attempt there broke last
    breaks: int = 0  # since it answered
    out: dict[str, int] = field(default_factory=dict)  # attempts under way, and when they were sent
    mute: list[int] = field(
        default_factory=list
    )  # when those were sent that were given up before any word came
    silent: bool = False
    ratio: "Ratio" = field(default_factory=lambda: Ratio(0))

    def sent(self, now: int, request: str) -> None:
        self.out[request] = now

    def ended(self, now: int, request: str, met: Met) -> None:
        at = self.out.pop(request, None)
        if met is Met.ANSWERED:
            self.heard, self.breaks, self.silent = now, 0, False
            self.mute.clear()
        elif met is Met.NOTHING and at is not None and at > self.heard and len(self.mute) < MUTE:
            self.mute.append(at)  # withdrawn by this front itself: the silence before that still tells
        elif met is Met.BROKEN:
            self.broke, self.breaks = now, self.breaks + 1

    def look(self, now: int, quiet: int) -> bool:
        """Whether it has just fallen silent: work is out, and for long no word came of any of it."""
        since = now - quiet
        if self.silent or len(self.out) + len(self.mute) < BREAKS or self.heard >= since:
            return False
        # One that is never answered is that request's own misfortune; two, and nothing else came in between.
        lost = sum(self.heard < at < since for at in (*self.out.values(), *self.mute))
        self.silent = lost >= BREAKS
        if self.silent:
            self.broke, self.breaks = now, self.breaks + 1
        return self.silent

    def word(self, now: int, window: int, quiet: int) -> str:
        """What is known of it lately: down, mute (a request is out for long, and no word came since), up, or
        nothing."""
        if self.breaks >= BREAKS or self.silent:
            return "down" if now - self.broke <= window else ""
        if any(max(self.heard, now - window) < at < now - quiet for at in self.out.values()):
            return "mute"
        return "up" if self.heard >= 0 and now - self.heard <= window else ""


@dataclass(slots=True)
class Ratio:
    """Attempts and breaks, and how long answers took, over a window; in eight slices, so that nothing is
    kept of each attempt."""

    window: int
    slices: deque[list[float]] = field(default_factory=deque)  # begin, attempts, breaks, answers, their time

    def add(self, now: int, broke: bool, took: float = 0.0) -> None:
        step = max(self.window // 8, 1)
        begin = now - now % step
        if not self.slices or self.slices[-1][0] != begin:
            self.slices.append([begin, 0, 0, 0, 0.0])
        last = self.slices[-1]
        last[1] += 1
        last[2] += broke
        if not broke:
            last[3] += 1
            last[4] += took

    def sums(self, now: int) -> tuple[float, float, float, float]:
        """Attempts, breaks, answers and the time of these."""
        while self.slices and self.slices[0][0] < now - self.window:
            self.slices.popleft()
        made = [sum(s[k] for s in self.slices) for k in range(1, 5)]
        return made[0], made[1], made[2], made[3]


def log_odds(words: list[str], rules: Rules) -> float:
    """That a room is lost, from its servers' words: the prior, and a bounded ratio a server."""
    made, down = math.log(rules.prior / (1 - rules.prior)), rules.server_down
    for word in words:
        if word == "down":
            made += math.log((1 - down) / down)
        elif word == "mute":
            made += math.log(MUTE_RATIO)
        elif word == "up":
            made += math.log(down / (1 - down))
    return made


def lost(words: list[str], rules: Rules) -> bool:
    """A room of few servers can't reach the odds: there all must be down, and two at least."""
    known = [w for w in words if w]
    if log_odds(words, rules) >= math.log(rules.sure):
        return True
    most = log_odds(["down"] * len(words), rules)
    return most < math.log(rules.sure) and len(words) >= 2 and known == ["down"] * len(words)


def summed(ratios: list[Ratio], now: int) -> tuple[float, float, float, float]:
    rows = [r.sums(now) for r in ratios]
    return (
        sum(r[0] for r in rows), sum(r[1] for r in rows), sum(r[2] for r in rows), sum(r[3] for r in rows)
    )  # fmt: skip


def spared(ratios: list[Ratio], now: int) -> list[Ratio]:
    """Without the worst quarter of its servers, rounded up: what one or two do is their own."""
    order = sorted(ratios, key=lambda r: (r.sums(now)[1], r.sums(now)[3]))
    return order[: len(order) - math.ceil(len(order) / 4)]


def grey(own: list[Ratio], others: list[Ratio], now: int, rules: Rules) -> str:
    """Why a room, a ratio a server, is grey against the others; empty where it is not: more breaks than
    chance explains (three sigma), or answers that take far longer."""
    tried, broke, answers, took = summed(spared(own, now), now)
    if tried < rules.grey_least:
        return ""
    n, bad, there, theirs = summed(others, now)
    usual = (bad + 1) / (n + 20)  # with nobody to compare, 1 in 20 is usual
    sigma = math.sqrt(max(usual * (1 - usual), 1e-9) / tried)
    part = broke / tried
    if part >= usual + rules.grey_part and part > usual + 3 * sigma:
        return f"{broke:.0f} of {tried:.0f} attempts broke, elsewhere {usual:.1%}"
    if answers >= rules.grey_least and there >= rules.grey_least:
        mean, usual = took / answers, theirs / there
        if mean > rules.grey_slow * usual:
            return f"answers take {mean / 1000:.0f} ms, elsewhere {usual / 1000:.0f} ms"
    return ""
