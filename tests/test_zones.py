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

ZONE_SETTINGS = ZoneSettings(own_zone="a", tier_by_zone={"b": 1, "c": 2}, distance_factor=2.0)
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


def members(zones: str = "aaaabbbbcccc") -> list[ZoneMember]:
    return [ZoneMember(f"{zone}{number}", zone, number) for number, zone in enumerate(zones)]


def make_health(zones: str = "aaaabbbbcccc", zone_settings: ZoneSettings = ZONE_SETTINGS) -> ZoneHealth:
    health = ZoneHealth(zone_settings, 1, 0)
    health.apply_endpoint_list(0, members(zones))
    return health


def end_attempts(health: ZoneHealth, now_us: int, zone_name: str, contact: Contact, count: int = 1) -> None:
    for member in health.members.values():
        if member.zone == zone_name:
            for number in range(count):
                health.record_attempt(now_us, member.name, f"{member.name}.{now_us}.{number}")
                health.record_outcome(
                    now_us, member.name, f"{member.name}.{now_us}.{number}", contact, 20_000
                )


def answer_everywhere(health: ZoneHealth, now_us: int) -> None:
    for zone in health.zones:
        end_attempts(health, now_us, zone, Contact.ANSWERED)


def test_a_zone_whose_endpoints_all_break_is_down_and_its_evidence_is_reported() -> None:
    health = make_health()
    answer_everywhere(health, 0)
    end_attempts(health, MICROSECONDS_PER_S, "b", Contact.BROKEN, 2)
    assert [health.state(zone_name) for zone_name in "abc"] == [
        ZoneState.HEALTHY,
        ZoneState.DOWN,
        ZoneState.HEALTHY,
    ]
    (transition,) = health.take_transitions()
    assert transition.zone == "b" and "of 4 servers down" in transition.evidence


@pytest.mark.parametrize("down", [1, 2])
def test_one_or_two_dead_endpoints_mark_no_zone_down(down: int) -> None:
    health = make_health()
    answer_everywhere(health, 0)
    for number in range(4, 4 + down):
        for attempt_number in range(50):
            health.record_outcome(
                MICROSECONDS_PER_S + attempt_number * 1000,
                f"b{number}",
                f"{number}.{attempt_number}",
                Contact.BROKEN,
            )
    health.tick(MICROSECONDS_PER_S * 2)
    assert not [transition for transition in health.take_transitions() if transition.state is ZoneState.DOWN]
    assert health.state("b") is (
        ZoneState.HEALTHY if down == 1 else ZoneState.DEGRADED
    )  # two of four endpoints down are no longer outliers


def test_one_broken_connection_to_each_endpoint_marks_no_zone_down() -> None:
    health = make_health()
    end_attempts(health, 0, "b", Contact.BROKEN, 1)
    assert health.state("b") is ZoneState.HEALTHY


def test_zone_with_silent_endpoints_is_down_after_the_timeout() -> None:
    health = make_health()
    answer_everywhere(health, 0)
    for member in health.members.values():
        if member.zone == "b":
            health.record_attempt(MICROSECONDS_PER_S, member.name, member.name)
            health.record_attempt(MICROSECONDS_PER_S, member.name, f"{member.name} too")
    for now_us in range(MICROSECONDS_PER_S, 3 * MICROSECONDS_PER_S, 100_000):
        health.tick(now_us)
        if health.state("b") is ZoneState.DOWN:
            break
    assert (
        MICROSECONDS_PER_S + ZONE_SETTINGS.silence_timeout_us
        < now_us
        <= MICROSECONDS_PER_S + ZONE_SETTINGS.silence_timeout_us + 200_000
    )


def test_an_answer_clears_an_endpoints_failures() -> None:
    health = make_health()
    answer_everywhere(health, 0)
    end_attempts(health, MICROSECONDS_PER_S, "b", Contact.BROKEN, 1)
    end_attempts(health, MICROSECONDS_PER_S + 1, "b", Contact.ANSWERED, 1)
    end_attempts(health, MICROSECONDS_PER_S + 2, "b", Contact.BROKEN, 1)
    assert health.state("b") is ZoneState.HEALTHY


def test_draining_endpoints_are_no_evidence_of_their_zone() -> None:
    health = make_health()
    answer_everywhere(health, 0)
    health.apply_endpoint_list(
        1,
        [
            member
            if member.zone != "b"
            else ZoneMember(member.name, "b", member.shard, EndpointStatus.DRAINING)
            for member in members()
        ],
    )
    end_attempts(health, MICROSECONDS_PER_S, "b", Contact.BROKEN, 3)
    assert health.state("b") is ZoneState.HEALTHY


def test_small_zone_is_down_only_if_all_of_at_least_two_endpoints_are() -> None:
    assert is_zone_down(["down", "down"], ZONE_SETTINGS)
    assert not is_zone_down(["down", "up"], ZONE_SETTINGS)
    assert not is_zone_down(["down"], ZONE_SETTINGS)
    assert not is_zone_down(["", "", "", ""], ZONE_SETTINGS)
    assert is_zone_down(["down"] * 4, ZONE_SETTINGS) and is_zone_down(["down"] * 5 + [""], ZONE_SETTINGS)
    assert not is_zone_down(["down"] * 3 + ["up"] * 2, ZONE_SETTINGS)
    assert is_zone_down(["mute"] * 4, ZONE_SETTINGS) and not is_zone_down(["mute"] * 3 + [""], ZONE_SETTINGS)
    assert not is_zone_down(["mute"] * 2, ZONE_SETTINGS) and not is_zone_down(
        ["down", "mute", ""], ZONE_SETTINGS
    )


@given(st.lists(st.sampled_from(["down", "mute", "up", ""]), min_size=1, max_size=12), st.data())
def test_more_endpoints_down_never_make_down_less_likely(
    reachabilities: list[str], data: st.DataObject
) -> None:
    index = data.draw(st.integers(0, len(reachabilities) - 1))
    worse_reachabilities = reachabilities[:index] + ["down"] + reachabilities[index + 1 :]
    assert log_odds_down(worse_reachabilities, ZONE_SETTINGS) >= log_odds_down(reachabilities, ZONE_SETTINGS)
    if is_zone_down(reachabilities, ZONE_SETTINGS):
        assert is_zone_down(worse_reachabilities, ZONE_SETTINGS)


def test_a_front_that_no_endpoint_answers_is_isolated() -> None:
    health = make_health()
    answer_everywhere(health, 0)
    for zone in "abc":
        end_attempts(health, MICROSECONDS_PER_S, zone, Contact.BROKEN, 2)
    health.tick(MICROSECONDS_PER_S + 1)
    assert health.isolated
    assert all(health.state(zone_name) is ZoneState.HEALTHY for zone_name in "abc")
    assert "this front is isolated" in health.take_transitions()[-1].evidence
    answer_everywhere(health, 2 * MICROSECONDS_PER_S)
    health.tick(4 * MICROSECONDS_PER_S)
    assert not health.isolated


def test_half_broken_links_degrade_a_zone_and_do_not_mark_it_down() -> None:
    health, rng = make_health(), random.Random(3)
    for round_number in range(400):
        now_us = round_number * 10_000
        for member in health.members.values():
            is_broken = member.zone == "b" and rng.random() < 0.4
            health.record_outcome(
                now_us,
                member.name,
                f"{member.name}.{round_number}",
                Contact.BROKEN if is_broken else Contact.ANSWERED,
                20_000,
            )
            if round_number % 10 == 0:
                health.tick(now_us)
            if health.state("b") is ZoneState.DOWN:
                pytest.fail("zone b is down although most of its attempts are answered")
    assert health.state("b") is ZoneState.DEGRADED
    assert "attempts broke" in health.take_transitions()[0].evidence
    for round_number in range(400, 1200):
        for member in health.members.values():
            health.record_outcome(
                round_number * 10_000, member.name, f"{member.name}.{round_number}", Contact.ANSWERED, 20_000
            )
        health.tick(round_number * 10_000)
    assert health.state("b") is ZoneState.HEALTHY


def test_answers_far_slower_than_elsewhere_degrade_a_zone() -> None:
    health = make_health()
    for number in range(40):
        for member in health.members.values():
            health.record_outcome(
                number * 10_000,
                member.name,
                f"{number}",
                Contact.ANSWERED,
                200_000 if member.zone == "c" else 30_000,
            )
    health.tick(400_000)
    assert [health.state(zone_name) for zone_name in "abc"] == [
        ZoneState.HEALTHY,
        ZoneState.HEALTHY,
        ZoneState.DEGRADED,
    ]
    assert "answers take 200 ms, elsewhere 30 ms" in health.take_transitions()[0].evidence


def test_few_attempts_or_small_differences_degrade_no_zone() -> None:
    few_attempts, other_zone = (
        SlidingStatistics(ZONE_SETTINGS.evidence_window_us),
        SlidingStatistics(ZONE_SETTINGS.evidence_window_us),
    )
    for now_us in range(29):
        few_attempts.add(now_us, True)
        other_zone.add(now_us, False, 10.0)
    assert not why_degraded([few_attempts, few_attempts], [other_zone], 30, ZONE_SETTINGS)
    slightly_worse = SlidingStatistics(ZONE_SETTINGS.evidence_window_us)
    for now_us in range(100):
        slightly_worse.add(now_us, now_us % 10 == 0, 30.0)
        other_zone.add(now_us, now_us % 12 == 0, 10.0)
    assert not why_degraded([slightly_worse, slightly_worse], [other_zone], 100, ZONE_SETTINGS)


def test_statistics_drop_attempts_older_than_the_window() -> None:
    statistics = SlidingStatistics(1000)
    statistics.add(0, True)
    statistics.add(900, False, 5.0)
    assert statistics.sums(950) == (2, 1, 1, 5.0)
    assert statistics.sums(1500) == (1, 0, 1, 5.0)
    assert statistics.sums(3000) == (0, 0, 0, 0.0)


@settings(max_examples=40)
@given(st.integers(0, 1 << 30))
def test_a_healthy_fleet_with_dead_endpoints_and_errors_is_never_down(seed: int) -> None:
    """20 s with 100 attempts per second: a tenth of the servers is dead, and one attempt in fifty breaks."""
    rng, health = random.Random(seed), make_health("aaaaabbbbbccccc")
    dead = {member_name for member_name in health.members if rng.random() < 0.07}
    if any(sum(member_name[0] == zone for member_name in dead) > 2 for zone in "abc"):
        return
    for attempt_number in range(2000):
        name = rng.choice(sorted(health.members))
        is_broken = name in dead or rng.random() < 0.02
        health.record_outcome(
            attempt_number * 10_000,
            name,
            str(attempt_number),
            Contact.BROKEN if is_broken else Contact.ANSWERED,
            30_000,
        )
        if attempt_number % 10 == 0:
            health.tick(attempt_number * 10_000)
    assert not [transition for transition in health.take_transitions() if transition.state is ZoneState.DOWN]


# Recovery


def fail_zone(health: ZoneHealth, now_us: int, zone: str = "b") -> None:
    answer_everywhere(health, now_us - MICROSECONDS_PER_S)
    end_attempts(health, now_us, zone, Contact.BROKEN, 2)
    assert health.state(zone) is ZoneState.DOWN


def run_trials(health: ZoneHealth, now_us: int, contact: Contact) -> int:
    """Run all trials of zone b that are due now with this outcome, and return their number."""
    count = 0
    for member in list(health.members.values()):
        if (
            member.zone == "b"
            and health.state("b") is ZoneState.DOWN
            and health.try_start_trial(now_us, member.name)
        ):
            health.record_attempt(now_us, member.name, f"t{now_us}{member.name}")
            health.record_outcome(now_us, member.name, f"t{now_us}{member.name}", contact, 20_000)
            count += 1
    return count


def test_a_down_zone_gets_few_trials_and_recovers_after_answers() -> None:
    health = make_health()
    fail_zone(health, 10 * MICROSECONDS_PER_S)
    early_trials = sum(
        run_trials(health, 10 * MICROSECONDS_PER_S + number * 50_000, Contact.BROKEN) for number in range(20)
    )
    assert early_trials == 0  # no trials at first
    late_trials = sum(
        run_trials(health, 13 * MICROSECONDS_PER_S + number * 50_000, Contact.BROKEN) for number in range(100)
    )
    assert 3 <= late_trials <= 10  # about one per second
    now_us = 20 * MICROSECONDS_PER_S
    while health.state("b") is ZoneState.DOWN:
        run_trials(health, now_us, Contact.ANSWERED)
        now_us += 50_000
    assert health.state("b") is ZoneState.RECOVERING and now_us < 24 * MICROSECONDS_PER_S
    assert all(
        member.name in health.recovered_at_us for member in health.members.values() if member.zone == "b"
    )
    for number in range(200):
        answer_everywhere(health, now_us + number * 100_000)
        health.tick(now_us + number * 100_000)
    assert health.state("b") is ZoneState.HEALTHY


def test_single_answered_trials_between_failures_recover_no_zone() -> None:
    health = make_health()
    fail_zone(health, 10 * MICROSECONDS_PER_S)
    for number in range(200):
        contact = Contact.ANSWERED if number % 2 else Contact.BROKEN
        for member in health.members.values():
            if member.zone == "b":
                health.record_outcome(
                    15 * MICROSECONDS_PER_S + number * 50_000, member.name, f"{number}", contact
                )
    assert health.state("b") is ZoneState.DOWN


def test_each_failure_soon_after_a_recovery_extends_the_time_without_trials() -> None:
    health, down_times_us = make_health(), []
    now_us = 10 * MICROSECONDS_PER_S
    for _ in range(4):
        fail_zone(health, now_us)
        down_times_us.append(health.zones["b"].down_until_us - now_us)
        now_us = health.zones["b"].down_until_us
        while health.state("b") is ZoneState.DOWN:
            run_trials(health, now_us, Contact.ANSWERED)
            now_us += 100_000
        now_us += 2 * MICROSECONDS_PER_S
    assert all(
        longer_us > 1.2 * shorter_us
        for shorter_us, longer_us in zip(down_times_us, down_times_us[1:], strict=False)
    )
    assert down_times_us[-1] <= 1.25 * ZONE_SETTINGS.max_down_us


def test_a_zone_that_fails_while_recovering_is_down() -> None:
    health = make_health()
    fail_zone(health, 10 * MICROSECONDS_PER_S)
    now_us = health.zones["b"].down_until_us
    while health.state("b") is ZoneState.DOWN:
        run_trials(health, now_us, Contact.ANSWERED)
        now_us += 100_000
    end_attempts(health, now_us + MICROSECONDS_PER_S, "b", Contact.BROKEN, 2)
    assert health.state("b") is ZoneState.DOWN and not health.recovered_at_us


def test_fronts_start_trials_of_a_down_zone_at_different_times() -> None:
    trial_slots = set()
    for seed in range(50):
        health = ZoneHealth(ZONE_SETTINGS, seed, 0)
        health.apply_endpoint_list(0, members())
        fail_zone(health, 10 * MICROSECONDS_PER_S)
        now_us = 10 * MICROSECONDS_PER_S
        while not health.try_start_trial(now_us, "b4"):
            now_us += 1000
        trial_slots.add(now_us // 100_000)
    assert len(trial_slots) > 10


# Overrides by operators, and reports of peers


def test_an_evacuated_zone_gets_nothing_whatever_the_evidence() -> None:
    health = make_health()
    answer_everywhere(health, 0)
    assert (
        health.set_override(1, "b", "evacuate")
        and not health.set_override(1, "x", "evacuate")
        and not health.set_override(1, "b", "no")
    )
    assert health.state("b") is ZoneState.DOWN and not health.try_start_trial(100 * MICROSECONDS_PER_S, "b4")
    assert health.set_override(2, "b", "")
    assert health.state("b") is ZoneState.HEALTHY


def test_reports_of_peers_alone_never_mark_a_zone_down() -> None:
    health = make_health()
    answer_everywhere(health, 0)
    for peer_number in range(9):
        health.record_peer_state(MICROSECONDS_PER_S, f"p{peer_number}", "b", ZoneState.DOWN)
    health.tick(MICROSECONDS_PER_S)
    assert health.state("b") is ZoneState.HEALTHY  # this front's own evidence contradicts the peers
    for attempt_number in range(2):
        health.record_outcome(MICROSECONDS_PER_S, "b4", f"{attempt_number}", Contact.BROKEN)
        health.record_outcome(MICROSECONDS_PER_S, "b5", f"{attempt_number}", Contact.BROKEN)
    assert health.state("b") is ZoneState.HEALTHY  # two endpoints of four are down, and two are up
    for attempt_number in range(2):
        health.record_outcome(MICROSECONDS_PER_S + 1, "b6", f"{attempt_number}", Contact.BROKEN)
        health.record_outcome(MICROSECONDS_PER_S + 1, "b7", f"{attempt_number}", Contact.BROKEN)
    assert health.state("b") is ZoneState.DOWN


def test_agreeing_peers_lower_the_evidence_needed() -> None:
    def endpoints_needed(peer_count: int) -> int:
        health = make_health("aaaaabbbbbccccc")
        for number in range(peer_count):
            health.record_peer_state(0, f"p{number}", "b", ZoneState.DOWN)
        for number, name in enumerate([name for name in health.members if name[0] == "b"], 1):
            for attempt_number in range(2):
                health.record_outcome(1000, name, f"{name}.{attempt_number}", Contact.BROKEN)
            if health.state("b") is ZoneState.DOWN:
                return number
        return 99

    assert endpoints_needed(3) < endpoints_needed(0)
    assert endpoints_needed(1) <= endpoints_needed(0)


# Spillover


def test_reserved_units_have_priority_in_the_spillover_budget() -> None:
    budget, admitted = SpilloverBudget(SETTINGS, 20.0, 0), {"reserve": 0, "share": 0, "spare": 0}
    requested = dict(admitted)
    rng = random.Random(1)
    for number in range(4000):
        now_us = number * 5_000
        volume, plan = rng.choice([("r", "priority"), ("s", "basic"), ("t", "basic"), ("u", "basic")])
        units_before = {key: bucket.available_units for key, bucket in budget._volume_buckets.items()}
        rejected_before = budget.rejected_count
        is_admitted = budget.try_admit(now_us, volume, plan, 1, 2.0)
        del units_before
        tier = "reserve" if plan == "priority" else "share"
        requested[tier] += 1
        admitted[tier] += is_admitted
        assert (budget.rejected_count > rejected_before) != is_admitted
    assert admitted["reserve"] / requested["reserve"] > 1.5 * admitted["share"] / requested["share"]


def test_budget_grows_while_answers_are_in_time_and_shrinks_otherwise() -> None:
    budget = SpilloverBudget(SETTINGS, 10.0, 0)
    for number in range(400):
        if budget.try_admit(number * 50_000, "v", "basic", 1, 1.0):
            budget.record_answer(number * 50_000, True)
    grown_rate = budget.units_per_second
    assert grown_rate > 12.0
    for number in range(400, 800):
        budget.try_admit(number * 50_000, "v", "basic", 1, 1.0)
        budget.record_answer(number * 50_000, False)
    assert budget.units_per_second < grown_rate / 3


def test_budget_without_demand_does_not_grow() -> None:
    budget = SpilloverBudget(SETTINGS, 10.0, 0)
    for number in range(100):
        budget.record_answer(number * 100_000, True)
    assert budget.units_per_second == 10.0


@given(st.lists(st.tuples(st.integers(1, 500_000), st.booleans(), st.floats(0.5, 6)), max_size=200))
def test_budget_never_admits_more_than_its_rate_and_burst(
    rows: list[tuple[int, bool, float]],
) -> None:
    budget, now_us, admitted_units, max_rate = SpilloverBudget(SETTINGS, 10.0, 0), 0, 0.0, 10.0
    for wait_us, in_time, units in rows:
        now_us += wait_us
        budget.record_answer(now_us, in_time)
        if budget.try_admit(now_us, "v", "basic", 1, units):
            admitted_units += units
        max_rate = max(max_rate, budget.units_per_second)
    assert admitted_units <= max_rate * (now_us / MICROSECONDS_PER_S) + max_rate + 1e-6


# The router


def make_router(
    zones: str = "aabbcc", shard_count: int = 2, zone_settings: ZoneSettings = ZONE_SETTINGS
) -> ZoneRouter:
    """Return a router with the endpoints a0 a1 b0 b1 c0 c1: each zone has an endpoint of each shard."""
    router = ZoneRouter(zone_settings, SETTINGS, 1, 0)
    names = [f"{zone_name}{number % shard_count}" for number, zone_name in enumerate(zones)]
    endpoints = tuple(Endpoint(name, EndpointStatus.UP, int(name[1:]), zone=name[0]) for name in names)
    endpoint_list = router.apply_endpoint_list(0, EndpointList(True, endpoints))
    assert endpoint_list.complete
    for name in names:
        router.record_outcome(0, "x", name, AttemptResult.OK, 1000)
    return router


def break_zone(router: ZoneRouter, now_us: int, zone: str) -> None:
    for name in list(router.listed_endpoints):
        if name[0] == zone:
            for number in range(2):
                router.record_attempt(now_us, f"{name}.{number}", name)
                router.record_outcome(now_us, f"{name}.{number}", name, AttemptResult.CONNECT_FAILED, 250_000)


def decide(
    router: ZoneRouter, now_us: int, class_name: str = "read", shard: int = 0, request_id: str = "q"
) -> ZoneRejection | ZoneAdmission:
    return router.admit(
        now_us, request_id, IncomingRequest(class_name, "priority", "v", request_id, shard, 2.0, now_us, None)
    )


def test_distance_tiers_follow_the_settings() -> None:
    assert [tier_of_zone(ZONE_SETTINGS, zone) for zone in ("a", "b", "c", "else")] == [0, 1, 2, 3]
    assert {tier_of_zone(ZoneSettings(), zone) for zone in "abc"} == {0}
    router = make_router()
    assert {name: endpoint.distance_factor for name, endpoint in router.scheduler_endpoints.items()} == {
        "a0": 1,
        "a1": 1,
        "b0": 2,
        "b1": 2,
        "c0": 4,
        "c1": 4,
    }


def test_endpoints_of_a_down_zone_are_draining_and_its_requests_spill_over() -> None:
    router = make_router()
    assert decide(router, 0) == ZoneAdmission()
    break_zone(router, MICROSECONDS_PER_S, "a")
    changed = router.changed_endpoints(MICROSECONDS_PER_S)
    assert changed is not None and {(endpoint.name, endpoint.status) for endpoint in changed.endpoints} == {
        ("a0", EndpointStatus.DRAINING),
        ("a1", EndpointStatus.DRAINING),
    }
    assert decide(router, MICROSECONDS_PER_S) == ZoneAdmission(is_spillover=True)
    break_zone(router, MICROSECONDS_PER_S + 1, "b")
    router.changed_endpoints(MICROSECONDS_PER_S + 1)
    assert decide(router, MICROSECONDS_PER_S + 2) == ZoneAdmission(is_spillover=True)  # two tiers away


def test_request_for_a_shard_only_in_a_down_zone_is_rejected_with_retry_after() -> None:
    router = make_router("aabc", 2)  # shard 0 in zones a and b, shard 1 in a and c until c1 is gone
    router.apply_endpoint_list(0, EndpointList(False, (Endpoint("c1", EndpointStatus.GONE, 1),)))
    break_zone(router, MICROSECONDS_PER_S, "a")
    router.changed_endpoints(MICROSECONDS_PER_S)
    decision = decide(router, MICROSECONDS_PER_S, shard=1)
    assert isinstance(decision, ZoneRejection) and decision.reason == "room a is lost"
    assert (
        ZONE_SETTINGS.retry_after_us
        <= decision.retry_after_us
        <= 2
        * max(
            ZONE_SETTINGS.min_down_us * 1.25 + ZONE_SETTINGS.trial_interval_us, ZONE_SETTINGS.retry_after_us
        )
    )
    assert router.is_shard_down(1) and not router.is_shard_down(0)


def test_a_trial_opens_one_endpoint_for_one_idempotent_request() -> None:
    router = make_router("aab")
    break_zone(router, MICROSECONDS_PER_S, "a")
    router.apply_endpoint_list(
        MICROSECONDS_PER_S, EndpointList(False, (Endpoint("b0", EndpointStatus.GONE, 0),))
    )
    router.changed_endpoints(MICROSECONDS_PER_S)
    now_us = 20 * MICROSECONDS_PER_S
    assert isinstance(decide(router, now_us, "upload"), ZoneRejection)  # never an upload
    decision = decide(router, now_us)
    assert isinstance(decision, ZoneAdmission) and decision.trial_endpoint == "a0"
    changed = router.changed_endpoints(now_us)
    assert changed is not None and [(endpoint.name, endpoint.status) for endpoint in changed.endpoints] == [
        ("a0", EndpointStatus.UP)
    ]
    assert isinstance(decide(router, now_us), ZoneRejection)
    router.record_attempt(now_us, "q", "a0")
    changed = router.changed_endpoints(now_us)
    assert changed is not None and [(endpoint.name, endpoint.status) for endpoint in changed.endpoints] == [
        ("a0", EndpointStatus.DRAINING)
    ]


def test_a_recovering_endpoint_counts_as_just_started() -> None:
    router = make_router()
    break_zone(router, MICROSECONDS_PER_S, "a")
    router.changed_endpoints(MICROSECONDS_PER_S)
    now_us = 20 * MICROSECONDS_PER_S
    while router.zone_health.state("a") is ZoneState.DOWN:
        for name in ("a0", "a1"):
            router.record_outcome(now_us, f"t{now_us}", name, AttemptResult.OK, 1000)
        now_us += 100_000
    changed = router.changed_endpoints(now_us)
    assert changed is not None
    assert all(
        endpoint.status is EndpointStatus.UP and endpoint.started_us >= 20 * MICROSECONDS_PER_S
        for endpoint in changed.endpoints
    )
    changed_later = router.changed_endpoints(now_us + ZONE_SETTINGS.recovery_us + MICROSECONDS_PER_S)
    assert changed_later is not None and all(endpoint.started_us == 0 for endpoint in changed_later.endpoints)


def test_spillover_over_budget_is_rejected_and_late_answers_shrink_the_budget() -> None:
    router = make_router(
        zone_settings=ZoneSettings(own_zone="a", tier_by_zone={"b": 1}, spillover_rate_factor=0.8)
    )
    break_zone(router, MICROSECONDS_PER_S, "a")
    router.changed_endpoints(MICROSECONDS_PER_S)
    decisions = [decide(router, MICROSECONDS_PER_S, request_id=f"q{number}") for number in range(40)]
    rejections = [decision for decision in decisions if isinstance(decision, ZoneRejection)]
    assert rejections and all(0 < decision.retry_after_us < 2 * MICROSECONDS_PER_S for decision in rejections)
    rate_before = router.spillover_budget.units_per_second
    admitted_ids = [
        f"q{number}" for number, decision in enumerate(decisions) if isinstance(decision, ZoneAdmission)
    ]
    assert len(admitted_ids) >= 4
    for request_id in admitted_ids:
        router.record_answer(MICROSECONDS_PER_S + 2_000_000, request_id, MICROSECONDS_PER_S, True, "read")
    router.tick(4 * MICROSECONDS_PER_S)
    assert router.spillover_budget.units_per_second < rate_before


def test_forbidden_zones_get_no_weight_and_evacuated_zones_are_draining() -> None:
    router = make_router()
    router.zone_health.set_override(1, "b", "forbid")
    router.zone_health.set_override(1, "c", "evacuate")
    changed = router.changed_endpoints(1)
    assert changed is not None
    assert {(endpoint.name, endpoint.weight, endpoint.status.value) for endpoint in changed.endpoints} == {
        ("b0", 0.0, "up"),
        ("b1", 0.0, "up"),
        ("c0", 0.0, "draining"),
        ("c1", 0.0, "draining"),
    }


def test_status_and_start_in_the_endpoint_list_take_precedence_over_zones() -> None:
    """Endpoints that are gone or draining in the list stay so.

    The start time of an endpoint is the later one of its start in the list and its recovery.
    """
    router = make_router()
    changed = router.apply_endpoint_list(1, EndpointList(False, (Endpoint("a0", EndpointStatus.GONE, 0),)))
    assert [(endpoint.name, endpoint.status) for endpoint in changed.endpoints] == [
        ("a0", EndpointStatus.GONE)
    ]
    changed = router.apply_endpoint_list(
        2, EndpointList(False, (Endpoint("a1", EndpointStatus.DRAINING, 1, zone="a"),))
    )
    assert [(endpoint.name, endpoint.status) for endpoint in changed.endpoints] == [
        ("a1", EndpointStatus.DRAINING)
    ]
    assert "a0" not in router.scheduler_endpoints
    router.zone_health.recovered_at_us["b0"] = 5 * MICROSECONDS_PER_S
    restarted = Endpoint("b0", EndpointStatus.UP, 0, 4 * MICROSECONDS_PER_S, zone="b")
    changed = router.apply_endpoint_list(6 * MICROSECONDS_PER_S, EndpointList(False, (restarted,)))
    assert [endpoint.started_us for endpoint in changed.endpoints if endpoint.name == "b0"] == [
        5 * MICROSECONDS_PER_S
    ]


def test_a_contact_record_counts_silence_once() -> None:
    record = ContactRecord()
    record.record_attempt(0, "a")
    assert not record.detect_silence(
        800_000, 700_000
    )  # a single unanswered attempt may be the request's fault
    record.record_attempt(1, "b")
    assert not record.detect_silence(600_000, 700_000)
    assert record.detect_silence(800_000, 700_000) and not record.detect_silence(900_000, 700_000)
    assert record.reachability(900_000, MICROSECONDS_PER_S, 700_000) == "down"
    record.record_outcome(950_000, "a", Contact.ANSWERED)
    assert record.reachability(960_000, MICROSECONDS_PER_S, 700_000) == "up"
    assert math.isfinite(log_odds_down(["up"] * 100, ZONE_SETTINGS))
