"""Division of a front's descriptors among its processes: published claims, and the rule itself."""

import random
from pathlib import Path
from unittest import mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from umberlead.handover.descriptor_quota import SHORTAGE_REFRESH_INTERVAL_US, UNBOUNDED
from umberlead.handover.process_claims import ConnectionUse, DescriptorClaim, parse_claim
from umberlead.handover.process_registry import SPARE_ENTRY_COUNT
from umberlead.handover.quota_division import MIN_QUOTA, divide_quota, has_fair_quota
from umberlead.handover.shared_state import SharedState
from umberlead.resource_limits import (
    RESERVED_DESCRIPTORS_COUNT,
    connections_within,
    divide_resources,
    surplus_connections,
    with_surplus,
)

DESCRIPTORS_IN_USE = 15  # by a process at its start
MAX_DESCRIPTORS = 384


@given(st.integers(2, 100_000))
def test_connections_and_their_surplus_use_up_the_quota(quota: int) -> None:
    count = connections_within(quota)
    assert count + surplus_connections(count) <= quota < with_surplus(count + 1)


# Published claims

NUMBERS = st.integers(0, 1_000_000)
CLAIMS = st.builds(
    DescriptorClaim,
    NUMBERS,
    st.lists(st.builds(ConnectionUse, NUMBERS, NUMBERS, NUMBERS, NUMBERS), max_size=4).map(tuple),
)


@given(CLAIMS)
def test_a_claim_is_parsed_as_it_was_written(claim: DescriptorClaim) -> None:
    assert parse_claim(claim.to_text()) == parse_claim(claim.to_text().ljust(256)) == claim


@pytest.mark.parametrize(
    "text", ["", " ", "v1", "v2 5", "v1 x", "v1 -5", "v1 5 1/2/3", "v1 5 1/2/3/4/5", "v1 5 1/2/3/", "v1 5/6"]
)
def test_a_malformed_claim_counts_as_not_published(text: str) -> None:
    assert parse_claim(text) is None


def test_processes_read_the_claims_of_running_siblings_only(tmp_path: Path) -> None:
    first, second, calls = SharedState(tmp_path), SharedState(tmp_path), list[list[DescriptorClaim | None]]()
    claim = DescriptorClaim(26, (ConnectionUse(170, 9, 3, 384),))

    def decide(siblings: list[DescriptorClaim | None]) -> DescriptorClaim:
        calls.append(siblings)
        return claim

    assert first.publish(decide) and second.publish(decide) and first.publish(decide)
    name = next(n for n in second._registry.siblings) if second._registry else ""
    (tmp_path / "claims" / name).write_text("")
    assert second.publish(decide)
    (tmp_path / "claims" / name).unlink()
    assert second.publish(decide)
    first.deregister()
    assert second.publish(decide)
    assert calls == [[DescriptorClaim(0, ())], [claim], [claim], [None], [None], []]
    second.deregister()
    spares = [sorted(path.name for path in (tmp_path / kind).iterdir()) for kind in ("fronts", "claims")]
    assert spares[0] == spares[1] and len(spares[0]) == SPARE_ENTRY_COUNT and name not in spares[0]
    third = SharedState(tmp_path)
    assert third.count_siblings() == 0 and third.publish(decide) and calls[-1] == []
    third.deregister()


def test_nothing_is_published_while_a_sibling_publishes_or_without_a_descriptor(tmp_path: Path) -> None:
    first, second = SharedState(tmp_path), SharedState(tmp_path)
    claim = DescriptorClaim(26, (ConnectionUse(170, 9, 3, 384),))

    def decide(_: list[DescriptorClaim | None]) -> DescriptorClaim:
        assert not second.publish(lambda _: pytest.fail("two processes decide at once"))
        return claim

    assert first.publish(decide)
    with mock.patch("os.open", side_effect=OSError(24, "")):
        assert not second.publish(lambda _: pytest.fail("decide was called without a free descriptor"))
    first.deregister()
    second.deregister()


# The rule


class ProcessModel:
    """A model of a process: its active and idle connections of admin calls, of clients and to endpoints."""

    def __init__(self, descriptors: int, in_use: int) -> None:
        limits = divide_resources(descriptors, 64 << 20, in_use, 0)
        self.descriptors, self.fixed = descriptors, in_use + RESERVED_DESCRIPTORS_COUNT
        self.single_quota = (
            with_surplus(limits.admin_connections),
            with_surplus(limits.client_connections),
            limits.endpoint_connections,
        )
        self.quotas, self.active, self.idle = [0] * 3, [0] * 3, [0] * 3
        self.closed = False
        self.published = DescriptorClaim(0, ())

    def open_connections(self, kind: int) -> int:
        return self.active[kind] + self.idle[kind]

    def max_connections(self) -> list[int]:
        """Return the limits by kind, without the surplus connections, which are only rejected."""
        return [connections_within(self.quotas[0]), connections_within(self.quotas[1]), self.quotas[2]]

    def claim(self) -> DescriptorClaim:
        uses = []
        for kind, quota in enumerate(self.quotas):
            required = self.active[kind] if kind == 2 else with_surplus(self.active[kind])
            max_required = UNBOUNDED
            if self.closed and kind:
                max_required = max(self.open_connections(1), required)
            uses.append(ConnectionUse(quota, self.open_connections(kind), required, max_required))
        return DescriptorClaim(self.fixed, tuple(uses))

    def update(self, siblings: list["ProcessModel"]) -> None:
        claims: list[DescriptorClaim | None] = [other.published for other in siblings]
        new_quotas = divide_quota(self.descriptors, self.single_quota, self.claim(), claims)
        self.quotas = list(map(min, new_quotas, self.quotas))
        for kind, count in enumerate(self.max_connections()):
            excess = max(self.open_connections(kind) - count, 0)
            self.idle[kind] -= min(excess, self.idle[kind])
        self.quotas = list(new_quotas)
        self.published = self.claim()

    def has_fair_quota_beside(self, siblings: list["ProcessModel"]) -> bool:
        claims: list[DescriptorClaim | None] = [other.published for other in siblings]
        return has_fair_quota(self.descriptors, self.single_quota, self.claim(), claims)

    def open_descriptors(self) -> int:
        return self.fixed + sum(map(self.open_connections, range(3)))

    def connect(self, kind: int, is_active: bool) -> bool:
        """Open a connection, closing an idle one if needed; return False if the quota is used up."""
        if self.open_connections(kind) >= self.max_connections()[kind]:
            if not self.idle[kind]:
                return False
            self.idle[kind] -= 1
        (self.active if is_active else self.idle)[kind] += 1
        return True

    def end(self, kind: int, keep_open: bool) -> None:
        if self.active[kind]:
            self.active[kind] -= 1
            self.idle[kind] += keep_open

    def disconnect(self, kind: int) -> None:
        self.idle[kind] = max(self.idle[kind] - 1, 0)


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            ["update", "update", "connect", "connect", "end", "disconnect", "close", "kill", "start"]
        ),
        st.integers(0, 2),
        st.integers(0, 2),
        st.booleans(),
        st.integers(1, 60),
    ),
    max_size=120,
)


@settings(max_examples=300)
@given(st.integers(64, 1000), EVENTS)
def test_claims_never_exceed_the_descriptors_in_any_order_of_events(
    descriptors: int, events: list[tuple[str, int, int, bool, int]]
) -> None:
    """Except at a start: a new process opens descriptors before its siblings update their claims."""
    models = [ProcessModel(descriptors, DESCRIPTORS_IN_USE)]
    models[0].update([])
    previous_total = sum(m.published.total() for m in models)
    assert previous_total <= descriptors
    for event, index, kind, is_set, repetitions in events:
        model = models[index % len(models)]
        if event == "update":
            model.update([m for m in models if m is not model])
        elif event == "close":
            model.closed = True
        elif event == "start" and len(models) < 3:
            models.append(ProcessModel(descriptors, DESCRIPTORS_IN_USE + index))
            models[-1].update(models[:-1])
            previous_total += models[-1].fixed + 3 * MIN_QUOTA
        elif event == "kill" and len(models) > 1:
            models.remove(model)
        for _ in range(repetitions):
            if event == "connect":
                model.connect(kind, is_set)
            elif event == "end":
                model.end(kind, is_set)
            elif event == "disconnect":
                model.disconnect(kind)
        total_claims = sum(m.published.total() for m in models)
        assert total_claims <= max(descriptors, previous_total), event
        assert all(m.open_descriptors() <= m.published.total() for m in models), event
        previous_total = total_claims


@given(st.integers(128, 1000), st.integers(0, 1000), st.integers(0, 1000))
def test_claims_stay_within_the_descriptors_after_the_older_process_s_update(
    descriptors: int, active: int, idle: int
) -> None:
    """This holds as long as clients use at most a third of the descriptors for requests."""
    first, second = (
        ProcessModel(descriptors, DESCRIPTORS_IN_USE),
        ProcessModel(descriptors, DESCRIPTORS_IN_USE),
    )
    first.update([])
    for number, is_active in ((min(active, descriptors // 3), True), (idle, False)):
        for _ in range(min(number, first.max_connections()[1] - first.open_connections(1))):
            first.connect(1, is_active)
    second.update([first])
    first.update([second])
    assert first.published.total() + second.published.total() <= descriptors
    for _ in range(3):
        second.update([first])
        first.update([second])
    assert first.published.total() + second.published.total() <= descriptors
    assert second.has_fair_quota_beside([first])


def test_the_quota_of_a_killed_process_is_released_at_the_next_update() -> None:
    first, second = (
        ProcessModel(MAX_DESCRIPTORS, DESCRIPTORS_IN_USE),
        ProcessModel(MAX_DESCRIPTORS, DESCRIPTORS_IN_USE),
    )
    first.update([])
    for _ in range(3):
        second.update([first])
        first.update([second])
    assert first.quotas != list(first.single_quota)
    first.update([])
    assert first.quotas == list(first.single_quota)


def test_a_process_takes_half_beside_a_sibling_without_a_claim() -> None:
    first = ProcessModel(MAX_DESCRIPTORS, DESCRIPTORS_IN_USE)
    first.update([])
    quotas = divide_quota(MAX_DESCRIPTORS, first.single_quota, first.claim(), [None])
    assert MAX_DESCRIPTORS // 2 - 3 <= first.fixed + sum(quotas) <= MAX_DESCRIPTORS // 2


UPDATE_INTERVAL_MS = 20
MIN_UPDATE_INTERVAL_MS = SHORTAGE_REFRESH_INTERVAL_US // 1000  # when the quota is used up
NEW_CONNECTIONS_PER_MS = 0.15  # at each process that accepts connections
ACCEPTS_FOR_MS = 550  # after SIGTERM


@settings(max_examples=100, deadline=None)
@given(
    st.integers(0, 1 << 32), st.integers(0, UPDATE_INTERVAL_MS - 1), st.integers(0, UPDATE_INTERVAL_MS - 1)
)
def test_no_request_is_rejected_during_a_handover_under_load(
    seed: int, first_phase: int, second_phase: int
) -> None:
    """A handover under constant load: requests use a third of the descriptors, each on its own connection.

    When a request ends, the next one opens a new connection, at either process while both accept connections:
    150 per second at each process, at random intervals. Quotas are updated every 20 ms, and sooner if one is
    used up. The connection of an ended request stays open, idle, for up to 300 ms.
    """
    rng, request_count = random.Random(seed), MAX_DESCRIPTORS // 3
    first, second = (
        ProcessModel(MAX_DESCRIPTORS, DESCRIPTORS_IN_USE),
        ProcessModel(MAX_DESCRIPTORS, DESCRIPTORS_IN_USE),
    )
    first.update([])
    for _ in range(request_count):
        assert first.connect(1, True)
    lingering, last_shortage = list[tuple[int, ProcessModel]](), dict[ProcessModel, int]()
    started_at, stopped_at = -1, 500
    for now_ms in range(3000):
        if now_ms % UPDATE_INTERVAL_MS == first_phase:
            first.update([second])
        if now_ms % UPDATE_INTERVAL_MS == second_phase:
            second.update([first])
            if started_at < 0 and second.has_fair_quota_beside([first]):
                started_at = now_ms
        first.closed = now_ms > stopped_at + ACCEPTS_FOR_MS
        accepting = [
            m
            for m in (first, second)
            if (m is first and not first.closed) or (m is second and started_at >= 0)
        ]
        for model in accepting:
            if rng.random() >= NEW_CONNECTIONS_PER_MS:
                continue
            ending = rng.choice([first] * first.active[1] + [second] * second.active[1])
            ending.end(1, True)
            lingering.append((now_ms + rng.randrange(300), ending))
            if (
                model.max_connections()[1] <= model.open_connections(1)
                and now_ms >= last_shortage.get(model, -MIN_UPDATE_INTERVAL_MS) + MIN_UPDATE_INTERVAL_MS
            ):
                last_shortage[model] = now_ms
                model.update([m for m in (first, second) if m is not model])
            assert model.connect(1, True), (now_ms, first.claim(), second.claim())
        for _, model in [pair for pair in lingering if pair[0] <= now_ms]:
            model.disconnect(1)
        lingering = [pair for pair in lingering if pair[0] > now_ms]
        assert (
            first.published.total() + second.published.total() <= MAX_DESCRIPTORS
            or now_ms < 2 * UPDATE_INTERVAL_MS
        )
    assert 0 <= started_at <= 3 * UPDATE_INTERVAL_MS
    assert second.active[1] > request_count / 2
