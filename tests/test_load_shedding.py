"""Overload: which requests are rejected, and how retries are distinguished from short timeouts."""

from typing import Any

import pytest

from tests.helpers import (
    T0,
    handle_events,
    new_outcome,
    new_request,
    new_scheduler,
    sent_request_ids,
    up_endpoint,
)
from umberlead.resource_limits import divide_resources
from umberlead.scheduling.actions import Action, EndReason, Reject
from umberlead.scheduling.client_retries import MIN_OBSERVED_REJECTIONS, RETRY_WINDOW_US, ClientRetries
from umberlead.scheduling.events import OpenRequestLimit

REQUEST_COUNT = 200


def rejected_ids(actions: list[Action], reason: EndReason) -> list[str]:
    return [action.request_id for action in actions if isinstance(action, Reject) and action.reason is reason]


def test_over_the_limit_the_latest_request_of_lowest_priority_is_rejected() -> None:
    scheduler = new_scheduler(T0, up_endpoint("n0", 0))
    actions = handle_events(
        scheduler, T0, OpenRequestLimit(12), *(new_request(f"a{n}", plan="gold") for n in range(10))
    )
    assert len(sent_request_ids(actions)) == 8 and not rejected_ids(actions, EndReason.OVERLOAD)
    plain = [new_request(f"p{n}", cls="once", volume="w", plan="plain") for n in range(4)]
    actions = handle_events(scheduler, T0 + 1, *plain)
    assert rejected_ids(actions, EndReason.OVERLOAD) == ["p3", "p2"] and scheduler.open_request_count == 12
    actions = handle_events(scheduler, T0 + 2, new_request("g0"), new_request("g1"), new_request("g2"))
    assert rejected_ids(actions, EndReason.OVERLOAD) == ["p1", "p0", "g2"]


def test_request_that_can_be_sent_at_once_is_not_shed() -> None:
    """All open requests are in flight at one endpoint. A request for another endpoint is sent although the
    limit of open requests is exceeded."""
    scheduler = new_scheduler(T0, up_endpoint("n0", 0), up_endpoint("n1", 1))
    actions = handle_events(scheduler, T0, OpenRequestLimit(1), new_request("a"))
    assert sent_request_ids(actions) == ["a"]
    actions = handle_events(scheduler, T0 + 1, new_request("b", shard=1))
    assert sent_request_ids(actions) == ["b"] and not rejected_ids(actions, EndReason.OVERLOAD)


def test_answer_frees_a_place_and_without_a_limit_all_requests_wait() -> None:
    scheduler = new_scheduler(T0, up_endpoint("n0", 0))
    actions = handle_events(scheduler, T0, *(new_request(f"a{n}") for n in range(REQUEST_COUNT)))
    assert not rejected_ids(actions, EndReason.OVERLOAD) and scheduler.open_request_count == REQUEST_COUNT
    first = sent_request_ids(actions)[0]
    handle_events(scheduler, T0 + 1000, new_outcome(first))
    assert scheduler.open_request_count == REQUEST_COUNT - 1
    actions = handle_events(scheduler, T0 + 1001, OpenRequestLimit(50))
    assert (
        len(rejected_ids(actions, EndReason.OVERLOAD)) == REQUEST_COUNT - 1 - 50
        and scheduler.open_request_count == 50
    )


@pytest.mark.parametrize("sockets", [32, 128, 384, 1024])
def test_open_request_limit_is_below_the_client_connections(sockets: int) -> None:
    limits = divide_resources(sockets, 64 << 20, 9, 0)
    assert limits.open_requests <= max(sockets // 3, 8)
    assert divide_resources(sockets // 2, 32 << 20, 9, 0).open_requests <= max(limits.open_requests // 2, 8)


class TestClientRetries:
    def observe(self, retried: int, not_retried: int) -> ClientRetries:
        client_retries, now_us = ClientRetries(), T0
        for number in range(retried + not_retried):
            client_retries.record_rejection(("v", str(number), "read"), now_us)
            if number < retried:
                assert client_retries.record_arrival(("v", str(number), "read"), now_us + 100_000)
            now_us += RETRY_WINDOW_US
            client_retries.record_arrival(("other", None, "read"), now_us)
        return client_retries

    def test_clients_are_assumed_to_retry_until_observed_otherwise(self) -> None:
        assert not self.observe(0, MIN_OBSERVED_REJECTIONS - 1).are_rare()
        assert self.observe(0, MIN_OBSERVED_REJECTIONS + 2).are_rare()
        assert not self.observe(4, MIN_OBSERVED_REJECTIONS).are_rare()
        assert not self.observe(20, 0).are_rare()

    def test_request_without_a_recent_rejection_is_a_first_try(self) -> None:
        client_retries = ClientRetries()
        assert not client_retries.record_arrival(("v", "b", "read"), T0)
        client_retries.record_rejection(("v", "b", "read"), T0)
        assert not client_retries.record_arrival(("v", "b", "write"), T0 + 1)
        assert not client_retries.record_arrival(("v", "b", "read"), T0 + RETRY_WINDOW_US)
        assert not client_retries.record_arrival(("v", "b", "read"), T0 + RETRY_WINDOW_US + 1)


def run_short_timeouts(clients_retry: bool) -> tuple[list[str], list[str]]:
    """Have many requests with a short timeout rejected, then send one more; return the ids of that batch that
    were sent and that were rejected."""
    scheduler = new_scheduler(T0, up_endpoint("n0", 0))
    long_request: dict[str, Any] = {"deadline_us": T0 + 2_000_000, "volume": "w", "key": "x"}
    handle_events(scheduler, T0, new_request("long", **long_request))
    now_us = T0 + 1_000_000
    handle_events(scheduler, now_us, new_outcome("long", elapsed_us=5_000))
    for number in range(2 * MIN_OBSERVED_REJECTIONS):
        scheduler.handle(
            now_us, [new_request(f"r{number}", now_us, deadline_us=now_us + 250_000, key=f"k{number}")]
        )
        scheduler.handle(now_us + 20_000, [])
        if clients_retry:
            scheduler.handle(
                now_us + 200_000,
                [new_request(f"s{number}", now_us, deadline_us=now_us + 400_000, key=f"k{number}")],
            )
            scheduler.handle(now_us + 220_000, [])
        now_us += RETRY_WINDOW_US
    actions = scheduler.handle(now_us, [new_request("last", now_us, deadline_us=now_us + 250_000, key="y")])
    actions += scheduler.handle(now_us + 1, [])
    return sent_request_ids(actions), [action.request_id for action in actions if isinstance(action, Reject)]


def test_first_try_with_a_short_timeout_is_served_if_clients_do_not_retry() -> None:
    """If clients don't retry, a short timeout must not be taken for a late retry and rejected on arrival."""
    assert run_short_timeouts(clients_retry=False)[0] == ["last"]
    assert run_short_timeouts(clients_retry=True) == ([], ["last"])
