"""Zones: when a front marks a zone as down or degraded, what spills over, and how a zone recovers."""

import math
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from umberlead.requests.types import IncomingRequest
from umberlead.scheduling.events import AttemptResult, Endpoint, EndpointList, EndpointStatus
from umberlead.scheduling.settings import Plan, Repeatability, RequestClass, Settings
from umberlead.zones.evidence import (
    ContactRecord,
    SlidingStatistics,
    is_zone_down,
    log_odds_down,
    why_degraded,
)
from umberlead.zones.model import (
    MICROSECONDS_PER_S,
    Contact,
    ZoneMember,
    ZoneSettings,
    ZoneState,
    tier_of_zone,
)
from umberlead.zones.router import ZoneAdmission, ZoneRejection, ZoneRouter
from umberlead.zones.spillover import SpilloverBudget
from umberlead.zones.zone_health import ZoneHealth

RULES = ZoneSettings(own_zone="a", tier_by_zone={"b": 1, "c": 2}, distance_factor=2.0)
SETTINGS = Settings(
    classes=(
        RequestClass("read", 300_000, 2_000_000, Repeatability.IDEMPOTENT),
        RequestClass("upload", 600_000, 3_000_000, Repeatability.AT_MOST_ONCE),
    ),
    plans=(
        Plan("basic", usual_units_per_second=5.0),
        Plan("priority", usual_units_per_second=10.0, reserved_units_per_second=12.0),
    ),
    front_count=4,
    mean_request_units=2.0,
    max_request_units=6.0,
    shard_count=4,
    slow_start_units=70.0,
    initial_capacity_ratio=0.17,
    slow_start_overload_factor=4.0,
    slow_start_window_us=3 * MICROSECONDS_PER_S,
    warm_up_us=16 * MICROSECONDS_PER_S,
    max_attempts=3,
)


def members(rooms: str = "aaaabbbbcccc") -> list[ZoneMember]:
    return [ZoneMember(f"{r}{k}", r, k) for k, r in enumerate(rooms)]


def machine(rooms: str = "aaaabbbbcccc", rules: ZoneSettings = RULES) -> ZoneHealth:
    made = ZoneHealth(rules, 1, 0)
    made.apply_endpoint_list(0, members(rooms))
    return made


def attempts(of: ZoneHealth, now: int, room: str, met: Contact, times: int = 1) -> None:
    for m in of.members.values():
        if m.zone == room:
            for k in range(times):
                of.record_attempt(now, m.name, f"{m.name}.{now}.{k}")
                of.record_outcome(now, m.name, f"{m.name}.{now}.{k}", met, 20_000)


def settle(of: ZoneHealth, now: int) -> None:
    for room in of.zones:
        attempts(of, now, room, Contact.ANSWERED)


def test_a_zone_whose_endpoints_all_break_is_down_and_its_evidence_is_reported() -> None:
    of = machine()
    settle(of, 0)
    attempts(of, MICROSECONDS_PER_S, "b", Contact.BROKEN, 2)
    assert [of.state(r) for r in "abc"] == [ZoneState.HEALTHY, ZoneState.DOWN, ZoneState.HEALTHY]
    (verdict,) = of.take_transitions()
    assert verdict.zone == "b" and "of 4 servers down" in verdict.evidence


@pytest.mark.parametrize("down", [1, 2])
def test_one_or_two_dead_endpoints_mark_no_zone_down(down: int) -> None:
    of = machine()
    settle(of, 0)
    for k in range(4, 4 + down):
        for n in range(50):
            of.record_outcome(MICROSECONDS_PER_S + n * 1000, f"b{k}", f"{k}.{n}", Contact.BROKEN)
    of.tick(MICROSECONDS_PER_S * 2)
    assert not [v for v in of.take_transitions() if v.state is ZoneState.DOWN]
    assert of.state("b") is (
        ZoneState.HEALTHY if down == 1 else ZoneState.DEGRADED
    )  # two of four endpoints down are no longer outliers


def test_one_broken_connection_to_each_endpoint_marks_no_zone_down() -> None:
    of = machine()
    attempts(of, 0, "b", Contact.BROKEN, 1)
    assert of.state("b") is ZoneState.HEALTHY


def test_silence_is_evidence_without_any_event() -> None:
    of = machine()
    settle(of, 0)
    for m in of.members.values():
        if m.zone == "b":
            of.record_attempt(MICROSECONDS_PER_S, m.name, m.name)
            of.record_attempt(MICROSECONDS_PER_S, m.name, f"{m.name} too")
    for at in range(MICROSECONDS_PER_S, 3 * MICROSECONDS_PER_S, 100_000):
        of.tick(at)
        if of.state("b") is ZoneState.DOWN:
            break
    assert (
        MICROSECONDS_PER_S + RULES.silence_timeout_us
        < at
        <= MICROSECONDS_PER_S + RULES.silence_timeout_us + 200_000
    )


def test_an_answer_clears_an_endpoints_failures() -> None:
    of = machine()
    settle(of, 0)
    attempts(of, MICROSECONDS_PER_S, "b", Contact.BROKEN, 1)
    attempts(of, MICROSECONDS_PER_S + 1, "b", Contact.ANSWERED, 1)
    attempts(of, MICROSECONDS_PER_S + 2, "b", Contact.BROKEN, 1)
    assert of.state("b") is ZoneState.HEALTHY


def test_draining_endpoints_are_no_evidence_of_their_zone() -> None:
    of = machine()
    settle(of, 0)
    of.apply_endpoint_list(
        1,
        [
            m if m.zone != "b" else ZoneMember(m.name, "b", m.shard, EndpointStatus.DRAINING)
            for m in members()
        ],
    )
    attempts(of, MICROSECONDS_PER_S, "b", Contact.BROKEN, 3)
    assert of.state("b") is ZoneState.HEALTHY


def test_a_small_zone_needs_all_of_its_endpoints_and_two_at_least() -> None:
    assert is_zone_down(["down", "down"], RULES)
    assert not is_zone_down(["down", "up"], RULES)
    assert not is_zone_down(["down"], RULES)
    assert not is_zone_down(["", "", "", ""], RULES)
    assert is_zone_down(["down"] * 4, RULES) and is_zone_down(["down"] * 5 + [""], RULES)
    assert not is_zone_down(["down"] * 3 + ["up"] * 2, RULES)
    assert is_zone_down(["mute"] * 4, RULES) and not is_zone_down(["mute"] * 3 + [""], RULES)
    assert not is_zone_down(["mute"] * 2, RULES) and not is_zone_down(["down", "mute", ""], RULES)


@given(st.lists(st.sampled_from(["down", "mute", "up", ""]), min_size=1, max_size=12), st.data())
def test_more_endpoints_down_never_make_down_less_likely(words: list[str], data: st.DataObject) -> None:
    k = data.draw(st.integers(0, len(words) - 1))
    worse = words[:k] + ["down"] + words[k + 1 :]
    assert log_odds_down(worse, RULES) >= log_odds_down(words, RULES)
    if is_zone_down(words, RULES):
        assert is_zone_down(worse, RULES)


def test_a_front_that_no_endpoint_answers_is_isolated() -> None:
    of = machine()
    settle(of, 0)
    for room in "abc":
        attempts(of, MICROSECONDS_PER_S, room, Contact.BROKEN, 2)
    of.tick(MICROSECONDS_PER_S + 1)
    assert of.isolated
    assert all(of.state(r) is ZoneState.HEALTHY for r in "abc")
    assert "this front is isolated" in of.take_transitions()[-1].evidence
    settle(of, 2 * MICROSECONDS_PER_S)
    of.tick(4 * MICROSECONDS_PER_S)
    assert not of.isolated


def test_half_broken_links_degrade_a_zone_and_do_not_mark_it_down() -> None:
    of, chance = machine(), random.Random(3)
    for n in range(400):
        at = n * 10_000
        for m in of.members.values():
            broke = m.zone == "b" and chance.random() < 0.4
            of.record_outcome(
                at, m.name, f"{m.name}.{n}", Contact.BROKEN if broke else Contact.ANSWERED, 20_000
            )
            if n % 10 == 0:
                of.tick(at)
            if of.state("b") is ZoneState.DOWN:
                pytest.fail("zone b is down although most of its attempts are answered")
    assert of.state("b") is ZoneState.DEGRADED
    assert "attempts broke" in of.take_transitions()[0].evidence
    for n in range(400, 1200):
        for m in of.members.values():
            of.record_outcome(n * 10_000, m.name, f"{m.name}.{n}", Contact.ANSWERED, 20_000)
        of.tick(n * 10_000)
    assert of.state("b") is ZoneState.HEALTHY


def test_answers_far_slower_than_elsewhere_degrade_a_zone() -> None:
    of = machine()
    for n in range(40):
        for m in of.members.values():
            of.record_outcome(
                n * 10_000, m.name, f"{n}", Contact.ANSWERED, 200_000 if m.zone == "c" else 30_000
            )
    of.tick(400_000)
    assert [of.state(r) for r in "abc"] == [ZoneState.HEALTHY, ZoneState.HEALTHY, ZoneState.DEGRADED]
    assert "answers take 200 ms, elsewhere 30 ms" in of.take_transitions()[0].evidence


def test_nothing_is_degraded_by_few_attempts_or_small_differences() -> None:
    ratio, other = SlidingStatistics(RULES.evidence_window_us), SlidingStatistics(RULES.evidence_window_us)
    for n in range(29):
        ratio.add(n, True)
        other.add(n, False, 10.0)
    assert not why_degraded([ratio, ratio], [other], 30, RULES)
    even = SlidingStatistics(RULES.evidence_window_us)
    for n in range(100):
        even.add(n, n % 10 == 0, 30.0)
        other.add(n, n % 12 == 0, 10.0)
    assert not why_degraded([even, even], [other], 100, RULES)


def test_statistics_forget_what_is_older_than_its_window() -> None:
    of = SlidingStatistics(1000)
    of.add(0, True)
    of.add(900, False, 5.0)
    assert of.sums(950) == (2, 1, 1, 5.0)
    assert of.sums(1500) == (1, 0, 1, 5.0)
    assert of.sums(3000) == (0, 0, 0, 0.0)


@settings(max_examples=40)
@given(st.integers(0, 1 << 30))
def test_a_healthy_fleet_with_dead_endpoints_and_errors_is_never_down(seed: int) -> None:
    """20 s with 100 attempts per second: a tenth of the servers is dead, and one attempt in fifty breaks."""
    chance, of = random.Random(seed), machine("aaaaabbbbbccccc")
    dead = {m for m in of.members if chance.random() < 0.07}
    if any(sum(m[0] == r for m in dead) > 2 for r in "abc"):
        return
    for n in range(2000):
        name = chance.choice(sorted(of.members))
        broke = name in dead or chance.random() < 0.02
        of.record_outcome(n * 10_000, name, str(n), Contact.BROKEN if broke else Contact.ANSWERED, 30_000)
        if n % 10 == 0:
            of.tick(n * 10_000)
    assert not [v for v in of.take_transitions() if v.state is ZoneState.DOWN]


# Recovery


def lose(of: ZoneHealth, at: int, room: str = "b") -> None:
    settle(of, at - MICROSECONDS_PER_S)
    attempts(of, at, room, Contact.BROKEN, 2)
    assert of.state(room) is ZoneState.DOWN


def tried(of: ZoneHealth, now: int, met: Contact) -> int:
    """Run all trials of zone b that are due now with this outcome, and return their number."""
    count = 0
    for m in list(of.members.values()):
        if m.zone == "b" and of.state("b") is ZoneState.DOWN and of.try_start_trial(now, m.name):
            of.record_attempt(now, m.name, f"t{now}{m.name}")
            of.record_outcome(now, m.name, f"t{now}{m.name}", met, 20_000)
            count += 1
    return count


def test_a_down_zone_gets_few_trials_and_recovers_after_answers() -> None:
    of = machine()
    lose(of, 10 * MICROSECONDS_PER_S)
    early = sum(tried(of, 10 * MICROSECONDS_PER_S + k * 50_000, Contact.BROKEN) for k in range(20))
    assert early == 0  # no trials at first
    late = sum(tried(of, 13 * MICROSECONDS_PER_S + k * 50_000, Contact.BROKEN) for k in range(100))
    assert 3 <= late <= 10  # about one per second
    at = 20 * MICROSECONDS_PER_S
    while of.state("b") is ZoneState.DOWN:
        tried(of, at, Contact.ANSWERED)
        at += 50_000
    assert of.state("b") is ZoneState.RECOVERING and at < 24 * MICROSECONDS_PER_S
    assert all(m.name in of.recovered_at_us for m in of.members.values() if m.zone == "b")
    for k in range(200):
        settle(of, at + k * 100_000)
        of.tick(at + k * 100_000)
    assert of.state("b") is ZoneState.HEALTHY


def test_one_answered_trial_in_between_recovers_nothing() -> None:
    of = machine()
    lose(of, 10 * MICROSECONDS_PER_S)
    for k in range(200):
        met = Contact.ANSWERED if k % 2 else Contact.BROKEN
        for m in of.members.values():
            if m.zone == "b":
                of.record_outcome(15 * MICROSECONDS_PER_S + k * 50_000, m.name, f"{k}", met)
    assert of.state("b") is ZoneState.DOWN


def test_each_failure_soon_after_a_recovery_lasts_longer() -> None:
    of, held = machine(), []
    at = 10 * MICROSECONDS_PER_S
    for _ in range(4):
        lose(of, at)
        held.append(of.zones["b"].down_until_us - at)
        at = of.zones["b"].down_until_us
        while of.state("b") is ZoneState.DOWN:
            tried(of, at, Contact.ANSWERED)
            at += 100_000
        at += 2 * MICROSECONDS_PER_S
    assert all(b > 1.2 * a for a, b in zip(held, held[1:], strict=False))
    assert held[-1] <= 1.25 * RULES.max_down_us


def test_a_zone_that_fails_while_recovering_is_down() -> None:
    of = machine()
    lose(of, 10 * MICROSECONDS_PER_S)
    at = of.zones["b"].down_until_us
    while of.state("b") is ZoneState.DOWN:
        tried(of, at, Contact.ANSWERED)
        at += 100_000
    attempts(of, at + MICROSECONDS_PER_S, "b", Contact.BROKEN, 2)
    assert of.state("b") is ZoneState.DOWN and not of.recovered_at_us


def test_fronts_start_trials_of_a_down_zone_at_different_times() -> None:
    times = set()
    for seed in range(50):
        of = ZoneHealth(RULES, seed, 0)
        of.apply_endpoint_list(0, members())
        lose(of, 10 * MICROSECONDS_PER_S)
        at = 10 * MICROSECONDS_PER_S
        while not of.try_start_trial(at, "b4"):
            at += 1000
        times.add(at // 100_000)
    assert len(times) > 10


# Overrides by operators, and reports of peers


def test_an_evacuated_zone_gets_nothing_whatever_the_evidence() -> None:
    of = machine()
    settle(of, 0)
    assert (
        of.set_override(1, "b", "evacuate")
        and not of.set_override(1, "x", "evacuate")
        and not of.set_override(1, "b", "no")
    )
    assert of.state("b") is ZoneState.DOWN and not of.try_start_trial(100 * MICROSECONDS_PER_S, "b4")
    assert of.set_override(2, "b", "")
    assert of.state("b") is ZoneState.HEALTHY


def test_peers_never_decide_alone_and_false_states_of_a_few_change_nothing() -> None:
    of = machine()
    settle(of, 0)
    for k in range(9):
        of.record_peer_state(MICROSECONDS_PER_S, f"p{k}", "b", ZoneState.DOWN)
    of.tick(MICROSECONDS_PER_S)
    assert of.state("b") is ZoneState.HEALTHY  # this front's own evidence contradicts the peers
    for n in range(2):
        of.record_outcome(MICROSECONDS_PER_S, "b4", f"{n}", Contact.BROKEN)
        of.record_outcome(MICROSECONDS_PER_S, "b5", f"{n}", Contact.BROKEN)
    assert of.state("b") is ZoneState.HEALTHY  # two endpoints of four are down, and two are up
    for n in range(2):
        of.record_outcome(MICROSECONDS_PER_S + 1, "b6", f"{n}", Contact.BROKEN)
        of.record_outcome(MICROSECONDS_PER_S + 1, "b7", f"{n}", Contact.BROKEN)
    assert of.state("b") is ZoneState.DOWN


def test_peers_that_agree_make_it_sooner() -> None:
    def needed(peers: int) -> int:
        of = machine("aaaaabbbbbccccc")
        for k in range(peers):
            of.record_peer_state(0, f"p{k}", "b", ZoneState.DOWN)
        for k, m in enumerate([m for m in of.members if m[0] == "b"], 1):
            for n in range(2):
                of.record_outcome(1000, m, f"{m}.{n}", Contact.BROKEN)
            if of.state("b") is ZoneState.DOWN:
                return k
        return 99

    assert needed(3) < needed(0)
    assert needed(1) <= needed(0)


# Spillover


def test_reserves_go_before_shares_and_shares_before_spare() -> None:
    of, passed = SpilloverBudget(SETTINGS, 20.0, 0), {"reserve": 0, "share": 0, "spare": 0}
    asked = dict(passed)
    chance = random.Random(1)
    for n in range(4000):
        now = n * 5_000
        volume, plan = chance.choice([("r", "priority"), ("s", "basic"), ("t", "basic"), ("u", "basic")])
        before = {k: s.available_units for k, s in of._volume_buckets.items()}
        tier_have = of.rejected_count
        good = of.try_admit(now, volume, plan, 1, 2.0)
        del before
        kind = "reserve" if plan == "priority" else "share"
        asked[kind] += 1
        passed[kind] += good
        assert (of.rejected_count > tier_have) != good
    assert passed["reserve"] / asked["reserve"] > 1.5 * passed["share"] / asked["share"]


def test_a_budget_grows_while_answers_come_in_time_and_shrinks_when_they_do_not() -> None:
    of = SpilloverBudget(SETTINGS, 10.0, 0)
    for n in range(400):
        if of.try_admit(n * 50_000, "v", "basic", 1, 1.0):
            of.record_answer(n * 50_000, True)
    grown = of.units_per_second
    assert grown > 12.0
    for n in range(400, 800):
        of.try_admit(n * 50_000, "v", "basic", 1, 1.0)
        of.record_answer(n * 50_000, False)
    assert of.units_per_second < grown / 3


def test_a_budget_does_not_grow_where_nothing_asks_for_it() -> None:
    of = SpilloverBudget(SETTINGS, 10.0, 0)
    for n in range(100):
        of.record_answer(n * 100_000, True)
    assert of.units_per_second == 10.0


@given(st.lists(st.tuples(st.integers(1, 500_000), st.booleans(), st.floats(0.5, 6)), max_size=200))
def test_a_budget_never_gives_more_than_its_rate_and_what_it_saved(
    rows: list[tuple[int, bool, float]],
) -> None:
    of, now, given_, most = SpilloverBudget(SETTINGS, 10.0, 0), 0, 0.0, 10.0
    for wait, good, units in rows:
        now += wait
        of.record_answer(now, good)
        if of.try_admit(now, "v", "basic", 1, units):
            given_ += units
        most = max(most, of.units_per_second)
    assert given_ <= most * (now / MICROSECONDS_PER_S) + most + 1e-6


# The router


def director(rooms: str = "aabbcc", shards: int = 2, rules: ZoneSettings = RULES) -> ZoneRouter:
    """Return a router with the endpoints a0 a1 b0 b1 c0 c1: each zone has an endpoint of each shard."""
    made = ZoneRouter(rules, SETTINGS, 1, 0)
    names = [f"{r}{k % shards}" for k, r in enumerate(rooms)]
    nodes = tuple(Endpoint(n, EndpointStatus.UP, int(n[1:]), zone=n[0]) for n in names)
    news = made.apply_endpoint_list(0, EndpointList(True, nodes))
    assert news.complete
    for n in names:
        made.record_outcome(0, "x", n, AttemptResult.OK, 1000)
    return made


def broken(of: ZoneRouter, now: int, room: str) -> None:
    for name in list(of.listed_endpoints):
        if name[0] == room:
            for n in range(2):
                of.record_attempt(now, f"{name}.{n}", name)
                of.record_outcome(now, f"{name}.{n}", name, AttemptResult.CONNECT_FAILED, 250_000)


def ask(
    of: ZoneRouter, now: int, cls: str = "read", shard: int = 0, name: str = "q"
) -> ZoneRejection | ZoneAdmission:
    return of.admit(now, name, IncomingRequest(cls, "priority", "v", name, shard, 2.0, now, None))


def test_tiers_follow_the_zones_and_no_own_zone_means_none() -> None:
    assert [tier_of_zone(RULES, r) for r in ("a", "b", "c", "else")] == [0, 1, 2, 3]
    assert {tier_of_zone(ZoneSettings(), r) for r in "abc"} == {0}
    of = director()
    assert {n: t.distance_factor for n, t in of.scheduler_endpoints.items()} == {
        "a0": 1,
        "a1": 1,
        "b0": 2,
        "b1": 2,
        "c0": 4,
        "c1": 4,
    }


def test_endpoints_of_a_down_zone_are_draining_and_its_work_spills_over() -> None:
    of = director()
    assert ask(of, 0) == ZoneAdmission()
    broken(of, MICROSECONDS_PER_S, "a")
    news = of.changed_endpoints(MICROSECONDS_PER_S)
    assert news is not None and {(n.name, n.status) for n in news.endpoints} == {
        ("a0", EndpointStatus.DRAINING),
        ("a1", EndpointStatus.DRAINING),
    }
    assert ask(of, MICROSECONDS_PER_S) == ZoneAdmission(is_spillover=True)
    broken(of, MICROSECONDS_PER_S + 1, "b")
    of.changed_endpoints(MICROSECONDS_PER_S + 1)
    assert ask(of, MICROSECONDS_PER_S + 2) == ZoneAdmission(is_spillover=True)  # two tiers away


def test_a_shard_of_a_down_zone_alone_is_rejected_at_once_with_retry_after() -> None:
    of = director("aabc", 2)  # shard 0 in zones a and b, shard 1 in a and c until c1 is gone
    of.apply_endpoint_list(0, EndpointList(False, (Endpoint("c1", EndpointStatus.GONE, 1),)))
    broken(of, MICROSECONDS_PER_S, "a")
    of.changed_endpoints(MICROSECONDS_PER_S)
    got = ask(of, MICROSECONDS_PER_S, shard=1)
    assert isinstance(got, ZoneRejection) and got.reason == "room a is lost"
    assert (
        RULES.retry_after_us
        <= got.retry_after_us
        <= 2 * max(RULES.min_down_us * 1.25 + RULES.trial_interval_us, RULES.retry_after_us)
    )
    assert of.is_shard_down(1) and not of.is_shard_down(0)


def test_a_trial_opens_one_endpoint_for_one_idempotent_request() -> None:
    of = director("aab")
    broken(of, MICROSECONDS_PER_S, "a")
    of.apply_endpoint_list(MICROSECONDS_PER_S, EndpointList(False, (Endpoint("b0", EndpointStatus.GONE, 0),)))
    of.changed_endpoints(MICROSECONDS_PER_S)
    at = 20 * MICROSECONDS_PER_S
    assert isinstance(ask(of, at, "upload"), ZoneRejection)  # never an upload
    got = ask(of, at)
    assert isinstance(got, ZoneAdmission) and got.trial_endpoint == "a0"
    news = of.changed_endpoints(at)
    assert news is not None and [(n.name, n.status) for n in news.endpoints] == [("a0", EndpointStatus.UP)]
    assert isinstance(ask(of, at), ZoneRejection)
    of.record_attempt(at, "q", "a0")
    news = of.changed_endpoints(at)
    assert news is not None and [(n.name, n.status) for n in news.endpoints] == [
        ("a0", EndpointStatus.DRAINING)
    ]


def test_a_recovering_endpoint_counts_as_just_started() -> None:
    of = director()
    broken(of, MICROSECONDS_PER_S, "a")
    of.changed_endpoints(MICROSECONDS_PER_S)
    at = 20 * MICROSECONDS_PER_S
    while of.zone_health.state("a") is ZoneState.DOWN:
        for name in ("a0", "a1"):
            of.record_outcome(at, f"t{at}", name, AttemptResult.OK, 1000)
        at += 100_000
    news = of.changed_endpoints(at)
    assert news is not None
    assert all(
        n.status is EndpointStatus.UP and n.started_us >= 20 * MICROSECONDS_PER_S for n in news.endpoints
    )
    later = of.changed_endpoints(at + RULES.recovery_us + MICROSECONDS_PER_S)
    assert later is not None and all(n.started_us == 0 for n in later.endpoints)


def test_spillover_without_budget_is_rejected_and_learns_from_outcomes() -> None:
    of = director(rules=ZoneSettings(own_zone="a", tier_by_zone={"b": 1}, spillover_rate_factor=0.8))
    broken(of, MICROSECONDS_PER_S, "a")
    of.changed_endpoints(MICROSECONDS_PER_S)
    got = [ask(of, MICROSECONDS_PER_S, name=f"q{n}") for n in range(40)]
    refused = [g for g in got if isinstance(g, ZoneRejection)]
    assert refused and all(0 < g.retry_after_us < 2 * MICROSECONDS_PER_S for g in refused)
    before = of.spillover_budget.units_per_second
    passed = [f"q{n}" for n, g in enumerate(got) if isinstance(g, ZoneAdmission)]
    assert len(passed) >= 4
    for name in passed:
        of.record_answer(MICROSECONDS_PER_S + 2_000_000, name, MICROSECONDS_PER_S, True, "read")
    of.tick(4 * MICROSECONDS_PER_S)
    assert of.spillover_budget.units_per_second < before


def test_forbidden_zones_get_no_new_objects_and_evacuated_ones_nothing() -> None:
    of = director()
    of.zone_health.set_override(1, "b", "forbid")
    of.zone_health.set_override(1, "c", "evacuate")
    news = of.changed_endpoints(1)
    assert news is not None
    assert {(n.name, n.weight, n.status.value) for n in news.endpoints} == {
        ("b0", 0.0, "up"),
        ("b1", 0.0, "up"),
        ("c0", 0.0, "draining"),
        ("c1", 0.0, "draining"),
    }


def test_the_endpoint_list_goes_before_zones() -> None:
    """Endpoints that are gone or draining in the list stay so.

    The start time of an endpoint is the later one of its start in the list and its recovery.
    """
    of = director()
    news = of.apply_endpoint_list(1, EndpointList(False, (Endpoint("a0", EndpointStatus.GONE, 0),)))
    assert [(n.name, n.status) for n in news.endpoints] == [("a0", EndpointStatus.GONE)]
    news = of.apply_endpoint_list(
        2, EndpointList(False, (Endpoint("a1", EndpointStatus.DRAINING, 1, zone="a"),))
    )
    assert [(n.name, n.status) for n in news.endpoints] == [("a1", EndpointStatus.DRAINING)]
    assert "a0" not in of.scheduler_endpoints
    of.zone_health.recovered_at_us["b0"] = 5 * MICROSECONDS_PER_S
    again = Endpoint("b0", EndpointStatus.UP, 0, 4 * MICROSECONDS_PER_S, zone="b")
    news = of.apply_endpoint_list(6 * MICROSECONDS_PER_S, EndpointList(False, (again,)))
    assert [n.started_us for n in news.endpoints if n.name == "b0"] == [5 * MICROSECONDS_PER_S]


def test_a_contact_record_counts_silence_once() -> None:
    of = ContactRecord()
    of.record_attempt(0, "a")
    assert not of.detect_silence(800_000, 700_000)  # a single unanswered attempt may be the request's fault
    of.record_attempt(1, "b")
    assert not of.detect_silence(600_000, 700_000)
    assert of.detect_silence(800_000, 700_000) and not of.detect_silence(900_000, 700_000)
    assert of.reachability(900_000, MICROSECONDS_PER_S, 700_000) == "down"
    of.record_outcome(950_000, "a", Contact.ANSWERED)
    assert of.reachability(960_000, MICROSECONDS_PER_S, 700_000) == "up"
    assert math.isfinite(log_odds_down(["up"] * 100, RULES))
