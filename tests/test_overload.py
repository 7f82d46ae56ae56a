"""More requests than places for their clients: which are refused, and how impatience is told apart."""

from typing import Any

import pytest

from tests.helpers import T0, ask, end, feed, head, sends, up
from umberlead.resource_limits import deal
from umberlead.scheduling.client_retries import MIN_REFUSALS, WINDOW_US, ClientRetries
from umberlead.scheduling.interface import Action, OpenLimit, Reason, Refuse

MANY = 200


def refused(acts: list[Action], reason: Reason) -> list[str]:
    return [act.request for act in acts if isinstance(act, Refuse) and act.reason is reason]


def test_of_what_waits_beyond_the_bound_the_least_valuable_goes_and_of_those_the_latest() -> None:
    h = head(T0, up("n0", 0))
    acts = feed(h, T0, OpenLimit(12), *(ask(f"a{n}", plan="gold") for n in range(10)))
    assert len(sends(acts)) == 8 and not refused(acts, Reason.OVERLOAD)
    plain = [ask(f"p{n}", cls="once", volume="w", plan="plain") for n in range(4)]
    acts = feed(h, T0 + 1, *plain)
    assert refused(acts, Reason.OVERLOAD) == ["p3", "p2"] and h.open_requests == 12
    acts = feed(h, T0 + 2, ask("g0"), ask("g1"), ask("g2"))
    assert refused(acts, Reason.OVERLOAD) == ["p1", "p0", "g2"]


def test_what_can_go_at_once_is_never_refused_for_want_of_places() -> None:
    """All that is open is out at a server: the next one goes to another, however low the bound is."""
    h = head(T0, up("n0", 0), up("n1", 1))
    acts = feed(h, T0, OpenLimit(1), ask("a"))
    assert sends(acts) == ["a"]
    acts = feed(h, T0 + 1, ask("b", shard=1))
    assert sends(acts) == ["b"] and not refused(acts, Reason.OVERLOAD)


def test_an_answer_makes_room_and_without_a_bound_all_wait() -> None:
    h = head(T0, up("n0", 0))
    acts = feed(h, T0, *(ask(f"a{n}") for n in range(MANY)))
    assert not refused(acts, Reason.OVERLOAD) and h.open_requests == MANY
    first = sends(acts)[0]
    feed(h, T0 + 1000, end(first))
    assert h.open_requests == MANY - 1
    acts = feed(h, T0 + 1001, OpenLimit(50))
    assert len(refused(acts, Reason.OVERLOAD)) == MANY - 1 - 50 and h.open_requests == 50


@pytest.mark.parametrize("sockets", [32, 128, 384, 1024])
def test_the_bound_lies_below_the_places_that_clients_may_hold(sockets: int) -> None:
    of = deal(sockets, 64 << 20, 9, 0)
    assert of.requests <= max(sockets // 3, 8)
    assert deal(sockets // 2, 32 << 20, 9, 0).requests <= max(of.requests // 2, 8)


class TestClientRetries:
    def learnt(self, came_again: int, stayed_away: int) -> ClientRetries:
        made, now = ClientRetries(), T0
        for number in range(came_again + stayed_away):
            made.refused(("v", str(number), "read"), now)
            if number < came_again:
                assert made.arrived(("v", str(number), "read"), now + 100_000)
            now += WINDOW_US
            made.arrived(("other", None, "read"), now)
        return made

    def test_clients_are_thought_to_come_again_until_they_are_seen_not_to(self) -> None:
        assert not self.learnt(0, MIN_REFUSALS - 1).rare()
        assert self.learnt(0, MIN_REFUSALS + 2).rare()
        assert not self.learnt(4, MIN_REFUSALS).rare()
        assert not self.learnt(20, 0).rare()

    def test_a_request_that_was_not_refused_or_long_ago_is_a_first_try(self) -> None:
        made = ClientRetries()
        assert not made.arrived(("v", "b", "read"), T0)
        made.refused(("v", "b", "read"), T0)
        assert not made.arrived(("v", "b", "write"), T0 + 1)
        assert not made.arrived(("v", "b", "read"), T0 + WINDOW_US)
        assert not made.arrived(("v", "b", "read"), T0 + WINDOW_US + 1)


def play_impatient(again: bool) -> tuple[list[str], list[str]]:
    """Many requests of little time, each refused; then one more: what was sent, and what refused of that."""
    h = head(T0, up("n0", 0))
    long_: dict[str, Any] = {"give_up": T0 + 2_000_000, "volume": "w", "key": "x"}
    feed(h, T0, ask("long", **long_))
    now = T0 + 1_000_000
    feed(h, now, end("long", elapsed=5_000))
    for number in range(2 * MIN_REFUSALS):
        h.handle(now, [ask(f"r{number}", now, give_up=now + 250_000, key=f"k{number}")])
        h.handle(now + 20_000, [])
        if again:
            h.handle(now + 200_000, [ask(f"s{number}", now, give_up=now + 400_000, key=f"k{number}")])
            h.handle(now + 220_000, [])
        now += WINDOW_US
    acts = h.handle(now, [ask("last", now, give_up=now + 250_000, key="y")])
    acts += h.handle(now + 1, [])
    return sends(acts), [act.request for act in acts if isinstance(act, Refuse)]


def test_an_impatient_client_s_first_try_is_served_where_nobody_comes_again() -> None:
    """It looked like a further try that was late already, and was refused as it came."""
    assert play_impatient(again=False)[0] == ["last"]
    assert play_impatient(again=True) == ([], ["last"])
