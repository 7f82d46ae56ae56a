"""The scheduler's rules at their boundaries, for one front alone, and regression tests."""

from typing import Any

import pytest

from tests.helpers import (
    T0,
    endpoint_list,
    handle_events,
    new_outcome,
    new_request,
    new_scheduler,
    run_until,
    sent_request_ids,
    settings,
    up_endpoint,
)
from umberlead.scheduling.actions import Cancel, Fail, Reject, Send
from umberlead.scheduling.events import (
    AttemptResult,
    ClientDisconnected,
    Endpoint,
    EndpointStatus,
    TimerExpired,
)
from umberlead.scheduling.scheduler import Scheduler
from umberlead.scheduling.settings import Plan, RequestClass, Settings, validate_settings
from umberlead.scheduling.slow_start import SERVED_IN_TIME_RATIO

DRAINING_STATUS = EndpointStatus.DRAINING


def final_answers(actions: list[Any]) -> list[tuple[str, str]]:
    return [
        (type(action).__name__, action.request_id) for action in actions if isinstance(action, Reject | Fail)
    ]


def test_waiting_request_is_rejected_at_its_objective_with_retry_advice() -> None:
    scheduler = new_scheduler(T0, up_endpoint("other", shard=5), max_retry_after_us=700_000)
    log = run_until(scheduler, handle_events(scheduler, T0, new_request("r")), T0, T0 + 2_000_000)
    answers = [(now_us, action) for now_us, action in log if isinstance(action, Reject | Fail)]
    assert answers == [(T0 + 300_000, Reject("r", 700_000))]


def test_timeout_at_the_deadline_is_answered_at_once() -> None:
    scheduler = new_scheduler()
    handle_events(scheduler, T0, new_request("r"))
    assert final_answers(
        handle_events(scheduler, T0 + 2_000_000, new_outcome("r", AttemptResult.TIMEOUT))
    ) == [("Reject", "r")]
    scheduler = new_scheduler()
    handle_events(scheduler, T0, new_request("w", cls="write"))
    assert final_answers(
        handle_events(scheduler, T0 + 2_000_000, new_outcome("w", AttemptResult.TIMEOUT))
    ) == [("Fail", "w")]


def test_at_most_once_request_that_may_have_run_is_neither_retried_nor_rejected() -> None:
    for result in (AttemptResult.ERROR, AttemptResult.RESET, AttemptResult.TIMEOUT, AttemptResult.CANCELLED):
        scheduler = new_scheduler()
        handle_events(scheduler, T0, new_request("r", cls="once"))
        actions = handle_events(scheduler, T0 + 1000, new_outcome("r", result))
        assert final_answers(actions) == [("Fail", "r")] and sent_request_ids(actions) == []


def test_request_with_idempotency_key_is_retried_only_within_its_window() -> None:
    """A front may be held up for 0.15 s until the retry is written: it is not retried in the last 0.15 s."""
    for wait_us, expected in ((849_999, ["w"]), (850_000, [])):
        scheduler = new_scheduler(
            T0,
            up_endpoint(),
            classes=(
                settings()
                .classes[1]
                .__class__(
                    "write", 1_900_000, 2_000_000, settings().classes[1].repeatability, "cell", 1_000_000
                ),
            ),
        )
        handle_events(scheduler, T0, new_request("w", cls="write"))
        assert (
            sent_request_ids(
                handle_events(scheduler, T0 + wait_us, new_outcome("w", AttemptResult.RESET, elapsed_us=1000))
            )
            == expected
        )


def test_new_object_is_retried_only_on_the_shard_that_may_hold_it() -> None:
    scheduler = new_scheduler(T0, up_endpoint("n0", 0), up_endpoint("n1", 1))
    first = [
        action
        for action in handle_events(scheduler, T0, new_request("w", cls="write", shard=-1))
        if isinstance(action, Send)
    ][0]
    retries = [
        action
        for action in handle_events(
            scheduler, T0 + 1000, new_outcome("w", AttemptResult.RESET, endpoint=first.endpoint)
        )
        if isinstance(action, Send)
    ]
    assert [action.endpoint for action in retries] == [first.endpoint]


def test_draining_endpoint_gets_no_requests_and_its_successor_does() -> None:
    scheduler = new_scheduler()
    handle_events(scheduler, T0, endpoint_list(Endpoint("n0", DRAINING_STATUS, 0), complete=False))
    assert sent_request_ids(handle_events(scheduler, T0 + 1, new_request("r"))) == []
    actions = handle_events(scheduler, T0 + 1000, endpoint_list(up_endpoint("n1"), complete=False))
    assert [action.endpoint for action in actions if isinstance(action, Send)] == ["n1"]
    handle_events(
        scheduler, T0 + 2000, endpoint_list(up_endpoint("n9", shard=3))
    )  # a complete list without n1, which is gone
    assert sent_request_ids(handle_events(scheduler, T0 + 2001, new_request("s"))) == []


def cold_scheduler(now_us: int, **overrides: Any) -> Scheduler:
    base = {
        "slow_start_units": 16.0,
        "initial_capacity_ratio": 0.2,
        "slow_start_overload_factor": 2.0,
        "slow_start_window_us": 1_500_000,
    }
    return new_scheduler(
        T0,
        up_endpoint("n0", started_us=now_us - 1),
        warm_up_us=15_000_000,
        front_count=2,
        **(base | overrides),
    )


def test_rejected_request_stays_charged_to_a_cold_endpoint() -> None:
    """Half of 16 units in 1.5 s, at twice the cost while not served (overload factor 2): by the load that the
    endpoint can take, 4 units pause sending for 1.5 s, and for longer by the load that it serves in time."""
    now_us = T0 + 3_000_000
    scheduler = cold_scheduler(now_us)
    assert sent_request_ids(handle_events(scheduler, now_us, new_request("a", now_us, units=4.0))) == ["a"]
    handle_events(
        scheduler, now_us + 1000, new_outcome("a", AttemptResult.REJECTED)
    )  # rejected requests stay charged
    for k in range(6):
        assert (
            sent_request_ids(
                handle_events(
                    scheduler, now_us + 400_000 + k, new_request(f"b{k}", now_us + 400_000, units=2.0)
                )
            )
            == []
        )
    later_us = now_us + int(1_500_000 / SERVED_IN_TIME_RATIO)
    assert sent_request_ids(handle_events(scheduler, later_us - 100, new_request("c", later_us - 100))) == []
    assert sent_request_ids(handle_events(scheduler, later_us + 100)) == ["c"]


@pytest.mark.parametrize("served", [True, False])
def test_many_fronts_with_shares_below_a_request_do_not_overload_a_cold_endpoint(served: bool) -> None:
    """75 fronts have a share of a fifth of a unit each, less than one request, and requests at all times.
    Together they must not exceed the allowed load, nor leave the endpoint idle for most of its warm-up."""
    start_us, window_us, sent = T0 + 3_000_000, 1_500_000, list[int]()
    schedulers = [
        Scheduler(
            settings(
                front_count=75,
                slow_start_units=14.0,
                initial_capacity_ratio=0.2,
                slow_start_overload_factor=3.0,
                slow_start_window_us=window_us,
                warm_up_us=18_000_000,
            ),
            k,
            T0,
        )
        for k in range(75)
    ]
    for scheduler in schedulers:
        handle_events(scheduler, start_us, endpoint_list(up_endpoint("n0", started_us=start_us)))
    for now_us in range(start_us, start_us + 6_000_000, 100_000):
        for k, scheduler in enumerate(schedulers):
            sent_ids = sent_request_ids(
                handle_events(
                    scheduler, now_us, new_request(f"{k}-{now_us}", now_us, deadline_us=now_us + 300_000)
                )
            )
            while sent_ids:  # requests that an answer makes room for count too
                sent.append(now_us)
                sent_ids += sent_request_ids(
                    handle_events(
                        scheduler,
                        now_us + 1000,
                        new_outcome(sent_ids.pop(), AttemptResult.OK if served else AttemptResult.REJECTED),
                    )
                )
    window_units = [
        2 * sum(1 for sent_us in sent if now_us <= sent_us < now_us + window_us)
        for now_us in range(start_us, now_us, window_us)
    ]
    growth = 1 + 4 * 6 / 18
    assert max(window_units) <= 14.0 * growth * (3 if served else 1)
    assert sum(window_units) >= 14.0


def test_served_units_leave_pacing_and_stay_in_the_send_window() -> None:
    """One of two fronts, with N = 8 requests of 2 units. Pacing alone allows 4 units if none is served. If
    requests are served, it allows all 18 units in 0.15 s, more than half of what both fronts may send (31.3
    units in 1.5 s). A cold endpoint fails by the sum of both, so the send window has to stop them."""
    start_us, sent = T0 + 3_000_000, list[tuple[int, float]]()
    scheduler = cold_scheduler(start_us)
    for k in range(6):
        now_us = start_us + 30_000 * k
        sent_ids = sent_request_ids(handle_events(scheduler, now_us, new_request(f"a{k}", now_us, units=3.0)))
        sent += [(now_us, 3.0)] * len(sent_ids)
        for request_id in sent_ids:
            handle_events(scheduler, now_us + 20_000, new_outcome(request_id))
    assert [now_us for now_us, _ in sent] == [start_us + 30_000 * k for k in range(4)]
    window_end_us = start_us + 1_500_000
    assert (
        sent_request_ids(
            handle_events(scheduler, window_end_us - 1, new_request("b", window_end_us - 1, units=3.0))
        )
        == []
    )
    assert sent_request_ids(handle_events(scheduler, window_end_us)) == ["b"]


def test_restarted_front_waits_a_window_before_sending_to_a_cold_endpoint() -> None:
    scheduler = cold_scheduler(T0)
    assert sent_request_ids(handle_events(scheduler, T0 + 1, new_request("a"))) == []
    now_us = T0 + 1_500_000
    assert sent_request_ids(handle_events(scheduler, now_us, new_request("b", now_us))) == ["b"]


def test_ordered_requests_of_a_key_run_in_turn_with_a_pause_after_uncertain_ones() -> None:
    scheduler = new_scheduler(T0, up_endpoint(), ordering_pause_us=100_000)
    assert sent_request_ids(
        handle_events(
            scheduler,
            T0,
            new_request("a", cls="turn", key="k"),
            new_request("b", cls="turn", key="k", volume="u"),
        )
    ) == ["a"]
    assert sent_request_ids(handle_events(scheduler, T0 + 1000, new_outcome("a"))) == ["b"]
    scheduler = new_scheduler(T0, up_endpoint(), ordering_pause_us=100_000, max_attempts=1)
    handle_events(scheduler, T0, new_request("a", cls="turn", key="k"), new_request("b", cls="turn", key="k"))
    assert (
        sent_request_ids(handle_events(scheduler, T0 + 50_000, new_outcome("a", AttemptResult.TIMEOUT))) == []
    )
    assert sent_request_ids(handle_events(scheduler, T0 + 149_999)) == []
    assert sent_request_ids(handle_events(scheduler, T0 + 150_000)) == ["b"]


def test_retry_budget_counts_a_sliding_window() -> None:
    scheduler = new_scheduler(
        T0,
        up_endpoint(),
        retry_budget_window_us=5_000_000,
        retry_budget_min_retries=1,
        retry_budget_ratio=0.0,
    )
    handle_events(scheduler, T0, new_request("a"), new_request("b"))
    assert sent_request_ids(handle_events(scheduler, T0 + 1000, new_outcome("a", AttemptResult.RESET))) == [
        "a"
    ]
    actions = handle_events(scheduler, T0 + 1001, new_outcome("b", AttemptResult.RESET))
    assert sent_request_ids(actions) == [] and final_answers(actions) == [("Reject", "b")]
    now_us = T0 + 5_001_000
    handle_events(scheduler, now_us, new_request("c", now_us))
    assert sent_request_ids(handle_events(scheduler, now_us + 1, new_outcome("c", AttemptResult.RESET))) == [
        "c"
    ]


def test_rate_limit_is_divided_by_the_front_count_and_starts_empty() -> None:
    plans = (Plan("gold", 2.0), Plan("plain", 1.0, limit_units_per_second=40.0, limit_burst_units=40.0))
    scheduler = new_scheduler(T0, up_endpoint(), plans=plans)
    actions = handle_events(scheduler, T0, new_request("a", plan="plain", volume_front_count=2, units=4.0))
    assert sent_request_ids(actions) == []
    log = run_until(scheduler, actions, T0, T0 + 300_000)
    sent_us = [now_us for now_us, action in log if isinstance(action, Send)]
    assert len(sent_us) == 1 and T0 + 200_000 <= sent_us[0] <= T0 + 200_002


def test_request_is_never_answered_twice() -> None:
    scheduler = new_scheduler()
    handle_events(scheduler, T0, new_request("r"))
    handle_events(scheduler, T0 + 10, new_outcome("r"))
    assert handle_events(scheduler, T0 + 20, new_outcome("r")) == []
    handle_events(scheduler, T0 + 30, new_request("s"))
    actions = handle_events(
        scheduler, T0 + 40, ClientDisconnected("s"), new_outcome("s", AttemptResult.TIMEOUT)
    )
    assert final_answers(actions) == []


# Regression tests for failures under load


def test_request_that_would_be_late_is_rejected_instead_of_sent() -> None:
    """If requests that can no longer be in time are sent, a fifth of all answers come late."""
    scheduler = new_scheduler()
    for k in range(12):
        handle_events(scheduler, T0 + k, new_request(f"w{k}", T0 + k))
        handle_events(scheduler, T0 + 150_000 + k, new_outcome(f"w{k}", elapsed_us=150_000))
    now_us = T0 + 400_000
    handle_events(scheduler, now_us, new_request("big", now_us, units=16.0))
    handle_events(scheduler, now_us, new_request("r", now_us))
    actions = handle_events(scheduler, now_us + 200_000, new_outcome("big", elapsed_us=100_000))
    assert sent_request_ids(actions) == [] and final_answers(actions) == [("Reject", "r")]


def test_fronts_start_with_their_share_of_the_concurrency_limit() -> None:
    """No front may start with the full limit of eight requests of mean size if it is not the only one."""
    scheduler = new_scheduler(T0, up_endpoint(), front_count=8)
    assert (
        len(sent_request_ids(handle_events(scheduler, T0, *[new_request(f"r{k}") for k in range(10)]))) == 1
    )
    scheduler = new_scheduler(T0, up_endpoint(), front_count=1)
    assert (
        len(sent_request_ids(handle_events(scheduler, T0, *[new_request(f"r{k}") for k in range(10)]))) == 8
    )


BUSY_SETTINGS = {
    "plans": (
        Plan("gold", 2.0, usual_units_per_second=1.0, reserved_units_per_second=1.0),
        Plan("plain", 1.0),
    ),
    "within_share_factor": 0.3,
}


def feed_late_answers(scheduler: Scheduler, answer_count: int, **overrides: Any) -> int:
    """Feed `answer_count` answers of 240 ms, twice the target latency, from `n0`; return the time of the
    last."""
    now_us = T0
    for k in range(answer_count):
        handle_events(scheduler, now_us, new_request(f"l{k}", now_us, volume=f"l{k}", **overrides))
        now_us += 240_000
        handle_events(scheduler, now_us, new_outcome(f"l{k}", elapsed_us=240_000))
    return now_us


def test_late_answers_defer_requests_of_low_priority() -> None:
    """While answers are late, units beyond the entitlement and low classes wait, and units within the
    entitlement do not. Otherwise, each of 165 fronts has one request in flight at an endpoint, and all are
    late whatever their priority."""
    scheduler = new_scheduler(T0, up_endpoint(), front_count=100, beyond_share_factor=0.08, **BUSY_SETTINGS)
    now_us = feed_late_answers(scheduler, 5)
    assert sent_request_ids(handle_events(scheduler, now_us, new_request("due", now_us))) == ["due"]
    handle_events(scheduler, now_us + 1, new_outcome("due", elapsed_us=240_000))
    assert sent_request_ids(handle_events(scheduler, now_us + 2, new_request("spare", now_us + 2))) == []
    actions = run_until(scheduler, [], now_us + 2, now_us + 2) + run_until(
        scheduler, handle_events(scheduler, now_us + 30_002), now_us + 30_002, now_us + 400_000
    )
    assert [action for _, action in actions if isinstance(action, Send | Reject)] == [Reject("spare")]


@pytest.mark.parametrize("marked", [True, False])
def test_first_try_with_a_short_timeout_is_not_taken_for_a_retry(marked: bool) -> None:
    """If the timeouts of a plan's clients are shorter than the latency objective, their first tries must not
    be taken for retries. Otherwise, a fleet with little load rejects 70% of them."""
    scheduler = new_scheduler(T0, up_endpoint(), clients_mark_retries=marked)
    handle_events(scheduler, T0, new_request("patient"), new_outcome("patient"))
    assert sent_request_ids(
        handle_events(scheduler, T0 + 1, new_request("hasty", deadline_us=T0 + 150_000))
    ) == (["hasty"] if marked else [])
    handle_events(scheduler, T0 + 2, new_outcome("hasty"))
    assert (
        sent_request_ids(
            handle_events(
                scheduler, T0 + 3, new_request("again", deadline_us=T0 + 150_000, is_client_retry=True)
            )
        )
        == []
    )


def test_old_latency_samples_fade_while_nothing_is_sent() -> None:
    """While nothing is sent, there are no new latency samples, so old late answers must stop counting."""
    scheduler = new_scheduler(T0, up_endpoint(), front_count=100, beyond_share_factor=0.08, **BUSY_SETTINGS)
    now_us = feed_late_answers(scheduler, 5)
    handle_events(scheduler, now_us, new_request("due", now_us))
    handle_events(scheduler, now_us + 1, new_outcome("due", elapsed_us=240_000))
    for later_us, expected in ((2, []), (10_000_000, ["spare10000000"])):
        spare = new_request(f"spare{later_us}", now_us + later_us, cls="once", volume="l4", units=8.0)
        assert sent_request_ids(handle_events(scheduler, now_us + later_us, spare)) == expected


def test_late_answers_of_one_endpoint_do_not_defer_requests_at_others() -> None:
    scheduler = new_scheduler(
        T0,
        up_endpoint(),
        up_endpoint("n1", shard=1),
        front_count=100,
        beyond_share_factor=0.08,
        **BUSY_SETTINGS,
    )
    now_us = feed_late_answers(scheduler, 1)
    for k in range(30):
        now_us += 10_000
        handle_events(scheduler, now_us, new_request(f"c{k}", now_us, shard=1, volume=f"c{k}"))
        handle_events(scheduler, now_us, new_outcome(f"c{k}", endpoint="n1", elapsed_us=10_000))
    spare = new_request("spare", now_us, cls="once", shard=1, volume="c29", units=8.0)
    assert sent_request_ids(handle_events(scheduler, now_us, spare)) == ["spare"]


def test_rate_limit_fills_from_the_start_with_half_of_the_slack() -> None:
    """If the bucket started empty at the volume's first request, the first request of every volume at every
    front would wait past its objective."""
    plans = (
        Plan("gold", 2.0),
        Plan("plain", 1.0, limit_units_per_second=4.0, limit_burst_units=40.0, limit_slack_units=8.0),
    )
    scheduler = new_scheduler(T0, up_endpoint(), plans=plans)
    now_us = T0 + 1_000_000
    requests = [
        new_request(name, now_us, plan="plain", volume=name, units=request_units, volume_front_count=2)
        for name, request_units in (("a", 4.0), ("b", 4.1))
    ]
    # The bucket holds 2 units for the second since the start, and half of this front's slack of 4.
    assert sent_request_ids(handle_events(scheduler, now_us, *requests)) == ["a"]


def test_fronts_respect_a_rate_limit_when_all_restart() -> None:
    """A front's buckets never hold more than its share of the burst, and a restart adds half of its share of
    the slack. Forty fronts use up the full bucket, restart twice and go on sending."""
    plans = (
        Plan("gold", 2.0),
        Plan("plain", 1.0, limit_units_per_second=20.0, limit_burst_units=640.0, limit_slack_units=64.0),
    )
    bucket_units = 640.0
    for start_us, send_us in ((T0, T0 + 40_000_000), (T0 + 40_000_001,) * 2, (T0 + 40_000_002,) * 2):
        for scheduler in [
            new_scheduler(start_us, up_endpoint(), plans=plans, front_count=40, max_request_units=8.0)
            for _ in range(40)
        ]:
            for k in range(35):
                request = new_request(f"r{k}", send_us, plan="plain", units=0.5, volume_front_count=40)
                bucket_units -= 0.5 * len(
                    sent_request_ids(handle_events(scheduler, send_us, request, new_outcome(f"r{k}")))
                )
                handle_events(scheduler, send_us, new_outcome(f"r{k}"))
        assert bucket_units <= 0.0, "the first fronts use up the whole bucket"
        assert bucket_units >= -64.0


def test_lost_attempt_is_written_off_and_retried() -> None:
    """If one answer in six never comes, the units of those requests fill every concurrency limit for
    seconds."""
    scheduler = new_scheduler()
    handle_events(scheduler, T0, new_request("lost"), new_request("b"))
    handle_events(scheduler, T0 + 5_000, new_outcome("b"))
    handle_events(scheduler, T0 + 6_000, new_request("c", T0 + 6_000))
    handle_events(scheduler, T0 + 30_000, new_outcome("c"))
    actions = handle_events(scheduler, T0 + 120_000)
    assert Cancel("lost", 0) in actions
    assert sent_request_ids(
        handle_events(scheduler, T0 + 121_000, new_outcome("lost", AttemptResult.CANCELLED))
    ) == ["lost"]
    assert scheduler.directory.endpoints["n0"].units_in_flight == 2.0


def test_overdue_attempt_is_not_cancelled_without_retry_budget() -> None:
    """Writes that are cancelled while the retry budget is used up end as failed."""
    scheduler = new_scheduler(T0, up_endpoint(), retry_budget_window_us=5_000_000)
    handle_events(scheduler, T0, new_request("lost"), new_request("b"))
    handle_events(scheduler, T0 + 5_000, new_outcome("b"))
    handle_events(scheduler, T0 + 6_000, new_request("c", T0 + 6_000))
    handle_events(scheduler, T0 + 30_000, new_outcome("c"))
    assert not [action for action in handle_events(scheduler, T0 + 120_000) if isinstance(action, Cancel)]
    assert scheduler.directory.endpoints["n0"].units_in_flight == 0.0


def test_stalled_endpoint_is_not_taken_for_lost_answers() -> None:
    scheduler = new_scheduler()
    handle_events(scheduler, T0, new_request("a"), new_request("b"))
    assert not [action for action in handle_events(scheduler, T0 + 250_000) if isinstance(action, Cancel)]
    assert scheduler.directory.endpoints["n0"].units_in_flight == 4.0


def test_reserved_rate_is_served_before_a_surge() -> None:
    """Requests within the reserved rate must not wait behind requests beyond it."""
    plans = (Plan("gold", 2.0, reserved_units_per_second=4.0), Plan("plain", 1.0))
    scheduler = new_scheduler(T0, up_endpoint(), plans=plans, front_count=8)
    handle_events(scheduler, T0, new_request("first", volume="x", plan="plain"))
    handle_events(
        scheduler,
        T0,
        *[new_request(f"p{k}", volume="x", plan="plain") for k in range(4)],
        new_request("g", volume="y", plan="gold"),
    )
    assert sent_request_ids(handle_events(scheduler, T0 + 1000, new_outcome("first")))[0] == "g"


def test_failed_connection_ejects_the_endpoint_and_then_one_request_is_sent() -> None:
    scheduler = new_scheduler(T0, up_endpoint())
    handle_events(scheduler, T0, new_request("a"))
    assert (
        sent_request_ids(handle_events(scheduler, T0 + 1000, new_outcome("a", AttemptResult.CONNECT_FAILED)))
        == []
    )
    now_us = T0 + 600_000
    assert (
        len(
            sent_request_ids(
                handle_events(scheduler, now_us, *[new_request(f"b{k}", now_us) for k in range(4)])
            )
        )
        == 1
    )


@pytest.mark.parametrize(
    "invalid",
    [
        {"classes": ()},
        {"plans": ()},
        {"plans": (Plan("x", 0.0),)},
        {"front_count": 0},
        {"mean_request_units": 0.0},
    ],
)
def test_invalid_settings_raise_an_error(invalid: dict[str, Any]) -> None:
    with pytest.raises(ValueError, match="must|need"):
        Scheduler(settings(**invalid), 1, T0)


def test_default_settings_are_valid() -> None:
    validate_settings(Settings(classes=settings().classes, plans=settings().plans))


@pytest.mark.parametrize("shard", [0, -1])
def test_endpoint_that_fails_fast_does_not_attract_requests(shard: int) -> None:
    """An error must not count as fast service, neither for reads of a shard nor for new objects by weight.
    Otherwise, fronts send more requests to endpoints that answer 500 in 3 ms where others serve in 100 ms:
    for seven such endpoints, 1,419 errors, 535 of them uploads that can't be retried (scenario zone+vast,
    seed 861618780334)."""
    scheduler = new_scheduler(
        T0,
        Endpoint("n0", EndpointStatus.UP, 0, 0, weight=1.0),
        Endpoint("n1", EndpointStatus.UP, 0, 0, weight=1.0),
    )
    faulty_count, now_us = 0, T0
    for k in range(20):
        now_us += 50_000
        actions = handle_events(scheduler, now_us, new_request(f"r{k}", now_us, shard=shard, volume=f"v{k}"))
        attempt = 0
        while sent_actions := [action for action in actions if isinstance(action, Send)]:
            target = sent_actions[0].endpoint
            faulty_count += target == "n0"
            result, elapsed_us = (
                (AttemptResult.ERROR, 3_000) if target == "n0" else (AttemptResult.OK, 100_000)
            )
            actions = handle_events(
                scheduler, now_us + elapsed_us, new_outcome(f"r{k}", result, attempt, target, elapsed_us)
            )
            attempt += 1
    assert faulty_count <= 3


def test_read_that_only_a_failing_endpoint_can_serve_is_retried_at_once() -> None:
    """If four in five answers of a faulty endpoint are errors after 3 ms, three attempts serve half of the
    reads. If the endpoint is ejected after each error, there is one attempt and the reads are rejected. In
    scenario zone+vast, 1,255 of 2,327 rejections were then for lack of time, 444 of them at endpoints that
    reported to be idle."""
    scheduler = new_scheduler(T0, Endpoint("n0", EndpointStatus.UP, 0, 0))
    actions = handle_events(scheduler, T0 + 1000, new_request("r", T0 + 1000, shard=0))
    assert sent_endpoints(actions) == ["n0"]
    actions = handle_events(scheduler, T0 + 4000, new_outcome("r", AttemptResult.ERROR, 0, "n0", 3000))
    assert sent_endpoints(actions) == ["n0"]
    actions = handle_events(scheduler, T0 + 7000, new_outcome("r", AttemptResult.OK, 1, "n0", 3000))
    assert not sent_endpoints(actions)


def test_recovered_endpoint_gets_new_objects_once_its_errors_have_faded() -> None:
    listed = [
        Endpoint("n0", EndpointStatus.UP, 0, 0, weight=1.0),
        Endpoint("n1", EndpointStatus.UP, 1, 0, weight=1.0),
    ]
    scheduler, now_us = new_scheduler(T0, *listed), T0
    targets: list[str] = []
    for k in range(60):
        now_us += 200_000
        actions = handle_events(scheduler, now_us, new_request(f"r{k}", now_us, shard=-1, volume=f"v{k}"))
        targets += (new_targets := sent_endpoints(actions))
        for target in new_targets:
            result = AttemptResult.ERROR if target == "n0" and k < 10 else AttemptResult.OK
            actions = handle_events(scheduler, now_us + 3000, new_outcome(f"r{k}", result, 0, target, 3000))
            for retry_target in sent_endpoints(actions):
                handle_events(
                    scheduler, now_us + 9000, new_outcome(f"r{k}", AttemptResult.OK, 1, retry_target, 3000)
                )
    assert targets[:12].count("n0") <= 4 and targets[-20:].count("n0") >= 8


def sent_endpoints(actions: list[Any]) -> list[str]:
    return [action.endpoint for action in actions if isinstance(action, Send)]


def test_deferrable_request_waits_at_a_busy_endpoint_but_is_sent_in_time() -> None:
    """Bulk reads, with an objective of 20 target latencies, must not make reads late that have three.
    Otherwise, bulk reads get 1.09 times the service due to them and image reads 0.70 times (scenario
    join+vast)."""
    quick = RequestClass("quick", 300_000, 2_000_000)
    bulk = RequestClass("bulk", 3_000_000, 6_000_000)
    now_us = T0
    scheduler = Scheduler(settings(classes=(quick, bulk)), 1, now_us)
    handle_events(scheduler, now_us, endpoint_list(up_endpoint()))
    target_us = scheduler.directory.endpoints["n0"].target_latency_us
    for k in range(30):  # the endpoint answers in 0.8 of the target latency
        now_us += target_us
        handle_events(scheduler, now_us, new_request(f"w{k}", now_us, cls="quick", shard=0))
        handle_events(
            scheduler,
            now_us + target_us * 4 // 5,
            new_outcome(f"w{k}", AttemptResult.OK, 0, "n0", target_us * 4 // 5),
        )
    now_us += target_us
    actions = handle_events(
        scheduler,
        now_us,
        new_request("b", now_us, cls="bulk", shard=0, deadline_us=now_us + 6_000_000, volume="v2"),
    )
    actions += handle_events(scheduler, now_us, new_request("q", now_us, cls="quick", shard=0, volume="v3"))
    assert [action.request_id for action in actions if isinstance(action, Send)] == ["q"]
    is_sent, arrived_us, later_us = False, now_us, now_us
    while not is_sent and later_us < arrived_us + 3_000_000:
        later_us += target_us // 4
        if later_us - arrived_us < target_us * 3:
            handle_events(
                scheduler,
                later_us,
                new_outcome("q", AttemptResult.OK, 0, "n0", later_us - arrived_us)
                if later_us - arrived_us == target_us // 2
                else TimerExpired("due"),
            )
        if (later_us - arrived_us) % target_us == 0:  # the endpoint stays as busy as before
            handle_events(
                scheduler, later_us, new_request(f"x{later_us}", later_us, cls="quick", shard=0, volume="v3")
            )
            handle_events(
                scheduler,
                later_us,
                new_outcome(f"x{later_us}", AttemptResult.OK, 0, "n0", target_us * 4 // 5),
            )
        is_sent = any(
            isinstance(action, Send) and action.request_id == "b"
            for action in handle_events(scheduler, later_us, TimerExpired("due"))
        )
    assert is_sent and later_us - arrived_us < 3_000_000 - 3 * target_us  # well before its objective
    idle_scheduler = Scheduler(settings(classes=(quick, bulk)), 1, T0)
    handle_events(idle_scheduler, T0, endpoint_list(up_endpoint()))
    actions = handle_events(
        idle_scheduler, T0, new_request("b", T0, cls="bulk", shard=0, deadline_us=T0 + 6_000_000)
    )
    assert sent_endpoints(actions) == ["n0"]  # an idle endpoint takes it at once
