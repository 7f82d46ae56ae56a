"""Overload: which requests are rejected, and how retries are distinguished from short timeouts."""

from typing import Any

import pytest

from tests.helpers import T0, ask, end, feed, head, sends, up
from umberlead.resource_limits import divide_resources
from umberlead.scheduling.actions import Action, EndReason, Reject
from umberlead.scheduling.client_retries import MIN_OBSERVED_REJECTIONS, RETRY_WINDOW_US, ClientRetries
from umberlead.scheduling.events import OpenRequestLimit

MANY = 200


def refused(acts: list[Action], reason: EndReason) -> list[str]:
    return [act.request_id for act in acts if isinstance(act, Reject) and act.reason is reason]


def test_of_what_waits_beyond_the_bound_the_least_valuable_goes_and_of_those_the_latest() -> None:
    h = head(T0, up("n0", 0))
    acts = feed(h, T0, OpenRequestLimit(12), *(ask(f"a{n}", plan="gold") for n in range(10)))
    assert len(sends(acts)) == 8 and not refused(acts, EndReason.OVERLOAD)
    plain = [ask(f"p{n}", cls="once", volume="w", plan="plain") for n in range(4)]
    acts = feed(h, T0 + 1, *plain)
    assert refused(acts, EndReason.OVERLOAD) == ["p3", "p2"] and h.open_request_count == 12
    acts = feed(h, T0 + 2, ask("g0"), ask("g1"), ask("g2"))
    assert refused(acts, EndReason.OVERLOAD) == ["p1", "p0", "g2"]


def test_what_can_go_at_once_is_never_refused_for_want_of_places() -> None:
    """All open requests are in flight at one endpoint. A request for another endpoint is sent although the
    limit of open requests is exceeded."""
    h = head(T0, up("n0", 0), up("n1", 1))
    acts = feed(h, T0, OpenRequestLimit(1), ask("a"))
    assert sends(acts) == ["a"]
    acts = feed(h, T0 + 1, ask("b", shard=1))
    assert sends(acts) == ["b"] and not refused(acts, EndReason.OVERLOAD)


def test_an_answer_makes_room_and_without_a_bound_all_wait() -> None:
    h = head(T0, up("n0", 0))
    acts = feed(h, T0, *(ask(f"a{n}") for n in range(MANY)))
    assert not refused(acts, EndReason.OVERLOAD) and h.open_request_count == MANY
    first = sends(acts)[0]
    feed(h, T0 + 1000, end(first))
    assert h.open_request_count == MANY - 1
    acts = feed(h, T0 + 1001, OpenRequestLimit(50))
    assert len(refused(acts, EndReason.OVERLOAD)) == MANY - 1 - 50 and h.open_request_count == 50


@pytest.mark.parametrize("sockets", [32, 128, 384, 1024])
def test_the_bound_lies_below_the_places_that_clients_may_hold(sockets: int) -> None:
    of = divide_resources(sockets, 64 << 20, 9, 0)
    assert of.open_requests <= max(sockets // 3, 8)
    assert divide_resources(sockets // 2, 32 << 20, 9, 0).open_requests <= max(of.open_requests // 2, 8)


class TestClientRetries:
    def learnt(self, came_again: int, stayed_away: int) -> ClientRetries:
        made, now = ClientRetries(), T0
        for number in range(came_again + stayed_away):
            made.record_rejection(("v", str(number), "read"), now)
            if number < came_again:
                assert made.record_arrival(("v", str(number), "read"), now + 100_000)
            now += RETRY_WINDOW_US
            made.record_arrival(("other", None, "read"), now)
        return made

    def test_clients_are_thought_to_come_again_until_they_are_seen_not_to(self) -> None:
        assert not self.learnt(0, MIN_OBSERVED_REJECTIONS - 1).are_rare()
        assert self.learnt(0, MIN_OBSERVED_REJECTIONS + 2).are_rare()
        assert not self.learnt(4, MIN_OBSERVED_REJECTIONS).are_rare()
        assert not self.learnt(20, 0).are_rare()

    def test_a_request_that_was_not_refused_or_long_ago_is_a_first_try(self) -> None:
        made = ClientRetries()
        assert not made.record_arrival(("v", "b", "read"), T0)
        made.record_rejection(("v", "b", "read"), T0)
        assert not made.record_arrival(("v", "b", "write"), T0 + 1)
        assert not made.record_arrival(("v", "b", "read"), T0 + RETRY_WINDOW_US)
        assert not made.record_arrival(("v", "b", "read"), T0 + RETRY_WINDOW_US + 1)


def play_impatient(again: bool) -> tuple[list[str], list[str]]:
    """Have many requests with a short timeout rejected, then send one more; return which of that were sent
    and which were rejected."""
    h = head(T0, up("n0", 0))
    long_: dict[str, Any] = {"deadline_us": T0 + 2_000_000, "volume": "w", "key": "x"}
    feed(h, T0, ask("long", **long_))
    now = T0 + 1_000_000
    feed(h, now, end("long", elapsed=5_000))
    for number in range(2 * MIN_OBSERVED_REJECTIONS):
        h.handle(now, [ask(f"r{number}", now, deadline_us=now + 250_000, key=f"k{number}")])
        h.handle(now + 20_000, [])
        if again:
            h.handle(now + 200_000, [ask(f"s{number}", now, deadline_us=now + 400_000, key=f"k{number}")])
            h.handle(now + 220_000, [])
        now += RETRY_WINDOW_US
    acts = h.handle(now, [ask("last", now, deadline_us=now + 250_000, key="y")])
    acts += h.handle(now + 1, [])
    return sends(acts), [act.request_id for act in acts if isinstance(act, Reject)]


def test_an_impatient_client_s_first_try_is_served_where_nobody_comes_again() -> None:
    """A first try with a short timeout looked like a late retry and was rejected on arrival."""
    assert play_impatient(again=False)[0] == ["last"]
    assert play_impatient(again=True) == ([], ["last"])
