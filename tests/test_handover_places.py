"""How the processes of a front divide its descriptors: the rule over drawn events, what they publish,
and two whole processes under open requests."""

import asyncio
import contextlib
import random
import signal
import time
from collections import deque
from pathlib import Path
from unittest import mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.test_descriptors import (
    ENTRY,
    TEXT,
    Process,
    Servers,
    _call,
    _read,
    _run,
    _until,
    _watched,
)
from umberlead.handover.descriptor_quota import SHORTAGE_REFRESH_INTERVAL_US, UNBOUNDED_COUNT
from umberlead.handover.process_claims import ConnectionUse, DescriptorClaim, parse_claim
from umberlead.handover.process_registry import SPARE_FILES_COUNT
from umberlead.handover.quota_division import MIN_QUOTA_COUNT, divide_quota, has_fair_quota
from umberlead.handover.shared_state import SharedState
from umberlead.resource_limits import (
    RESERVED_DESCRIPTORS_COUNT,
    connections_within,
    divide_resources,
    surplus_connections,
    with_surplus,
)

HELD = 15  # descriptors of a process at its start
DESCRIPTORS = 384


@given(st.integers(2, 100_000))
def test_connections_and_their_surplus_are_the_most_that_the_places_hold(places: int) -> None:
    most = connections_within(places)
    assert most + surplus_connections(most) <= places < with_surplus(most + 1)


# What is published

FIGURES = st.integers(0, 1_000_000)
CLAIMS = st.builds(
    DescriptorClaim,
    FIGURES,
    st.lists(st.builds(ConnectionUse, FIGURES, FIGURES, FIGURES, FIGURES), max_size=4).map(tuple),
)


@given(CLAIMS)
def test_a_claim_is_read_as_it_was_written(claim: DescriptorClaim) -> None:
    assert parse_claim(claim.to_text()) == parse_claim(claim.to_text().ljust(256)) == claim


@pytest.mark.parametrize(
    "text", ["", " ", "v1", "v2 5", "v1 x", "v1 -5", "v1 5 1/2/3", "v1 5 1/2/3/4/5", "v1 5 1/2/3/", "v1 5/6"]
)
def test_what_is_no_claim_counts_as_nothing_published(text: str) -> None:
    assert parse_claim(text) is None


def test_processes_see_each_other_s_claims_and_a_dead_one_s_no_longer(tmp_path: Path) -> None:
    first, second, seen = SharedState(tmp_path), SharedState(tmp_path), list[list[DescriptorClaim | None]]()
    claim = DescriptorClaim(26, (ConnectionUse(170, 9, 3, 384),))

    def decide(others: list[DescriptorClaim | None]) -> DescriptorClaim:
        seen.append(others)
        return claim

    assert first.publish(decide) and second.publish(decide) and first.publish(decide)
    name = next(n for n in second._registry.siblings) if second._registry else ""
    (tmp_path / "claims" / name).write_text("")
    assert second.publish(decide)
    (tmp_path / "claims" / name).unlink()
    assert second.publish(decide)
    first.deregister()
    assert second.publish(decide)
    assert seen == [[DescriptorClaim(0, ())], [claim], [claim], [None], [None], []]
    second.deregister()
    spares = [sorted(path.name for path in (tmp_path / kind).iterdir()) for kind in ("fronts", "claims")]
    assert spares[0] == spares[1] and len(spares[0]) == SPARE_FILES_COUNT and name not in spares[0]
    third = SharedState(tmp_path)
    assert third.count_siblings() == 0 and third.publish(decide) and seen[-1] == []
    third.deregister()


def test_where_another_decides_or_no_descriptor_is_left_nothing_is_published(tmp_path: Path) -> None:
    first, second = SharedState(tmp_path), SharedState(tmp_path)
    claim = DescriptorClaim(26, (ConnectionUse(170, 9, 3, 384),))

    def decide(_: list[DescriptorClaim | None]) -> DescriptorClaim:
        assert not second.publish(lambda _: pytest.fail("both decide"))
        return claim

    assert first.publish(decide)
    with mock.patch("os.open", side_effect=OSError(24, "")):
        assert not second.publish(lambda _: pytest.fail("it can't look"))
    first.deregister()
    second.deregister()


# The rule


class Model:
    """A process: how many connections of clients and to chunk servers it has, with and without a request."""

    def __init__(self, descriptors: int, held: int) -> None:
        of = divide_resources(descriptors, 64 << 20, held, 0)
        self.descriptors, self.fixed = descriptors, held + RESERVED_DESCRIPTORS_COUNT
        self.alone = (
            with_surplus(of.admin_connections),
            with_surplus(of.client_connections),
            of.endpoint_connections,
        )
        self.places, self.busy, self.resting = [0] * 3, [0] * 3, [0] * 3
        self.closed = False
        self.published = DescriptorClaim(0, ())

    def standing(self, kind: int) -> int:
        return self.busy[kind] + self.resting[kind]

    def caps(self) -> list[int]:
        """Connections that may stand, without the surplus that is only told that there is no room."""
        return [connections_within(self.places[0]), connections_within(self.places[1]), self.places[2]]

    def claim(self) -> DescriptorClaim:
        uses = []
        for kind, places in enumerate(self.places):
            needed = self.busy[kind] if kind == 2 else with_surplus(self.busy[kind])
            bound = UNBOUNDED_COUNT
            if self.closed and kind:
                bound = max(self.standing(1), needed)
            uses.append(ConnectionUse(places, self.standing(kind), needed, bound))
        return DescriptorClaim(self.fixed, tuple(uses))

    def look(self, others: list["Model"]) -> None:
        claims: list[DescriptorClaim | None] = [other.published for other in others]
        new = divide_quota(self.descriptors, self.alone, self.claim(), claims)
        self.places = list(map(min, new, self.places))
        for kind, most in enumerate(self.caps()):
            over = max(self.standing(kind) - most, 0)
            self.resting[kind] -= min(over, self.resting[kind])
        self.places = list(new)
        self.published = self.claim()

    def settled(self, others: list["Model"]) -> bool:
        claims: list[DescriptorClaim | None] = [other.published for other in others]
        return has_fair_quota(self.descriptors, self.alone, self.claim(), claims)

    def holds(self) -> int:
        return self.fixed + sum(map(self.standing, range(3)))

    def connect(self, kind: int, busy: bool) -> bool:
        """False where there is no place for it."""
        if self.standing(kind) >= self.caps()[kind]:
            if not self.resting[kind]:
                return False
            self.resting[kind] -= 1
        (self.busy if busy else self.resting)[kind] += 1
        return True

    def end(self, kind: int, keep: bool) -> None:
        if self.busy[kind]:
            self.busy[kind] -= 1
            self.resting[kind] += keep

    def leave(self, kind: int) -> None:
        self.resting[kind] = max(self.resting[kind] - 1, 0)


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["look", "look", "connect", "connect", "end", "leave", "close", "kill", "start"]),
        st.integers(0, 2),
        st.integers(0, 2),
        st.booleans(),
        st.integers(1, 60),
    ),
    max_size=120,
)


@settings(max_examples=300)
@given(st.integers(64, 1000), EVENTS)
def test_claims_never_pass_the_sum_whatever_crosses(
    descriptors: int, events: list[tuple[str, int, int, bool, int]]
) -> None:
    """Only a start adds: what a process holds to begin with, until the others have looked."""
    models = [Model(descriptors, HELD)]
    models[0].look([])
    before = sum(m.published.total() for m in models)
    assert before <= descriptors
    for event, at, kind, flag, times in events:
        model = models[at % len(models)]
        if event == "look":
            model.look([m for m in models if m is not model])
        elif event == "close":
            model.closed = True
        elif event == "start" and len(models) < 3:
            models.append(Model(descriptors, HELD + at))
            models[-1].look(models[:-1])
            before += models[-1].fixed + 3 * MIN_QUOTA_COUNT
        elif event == "kill" and len(models) > 1:
            models.remove(model)
        for _ in range(times):
            if event == "connect":
                model.connect(kind, flag)
            elif event == "end":
                model.end(kind, flag)
            elif event == "leave":
                model.leave(kind)
        now = sum(m.published.total() for m in models)
        assert now <= max(descriptors, before), event
        assert all(m.holds() <= m.published.total() for m in models), event
        before = now


@given(st.integers(128, 1000), st.integers(0, 1000), st.integers(0, 1000))
def test_once_the_first_has_looked_the_sum_holds_beside_a_newcomer(
    descriptors: int, busy: int, resting: int
) -> None:
    """As long as its clients hold at most a third of the descriptors for requests."""
    first, second = Model(descriptors, HELD), Model(descriptors, HELD)
    first.look([])
    for number, flag in ((min(busy, descriptors // 3), True), (resting, False)):
        for _ in range(min(number, first.caps()[1] - first.standing(1))):
            first.connect(1, flag)
    second.look([first])
    first.look([second])
    assert first.published.total() + second.published.total() <= descriptors
    for _ in range(3):
        second.look([first])
        first.look([second])
    assert first.published.total() + second.published.total() <= descriptors
    assert second.settled([first])


def test_a_killed_process_s_places_come_back_at_the_next_look() -> None:
    first, second = Model(DESCRIPTORS, HELD), Model(DESCRIPTORS, HELD)
    first.look([])
    for _ in range(3):
        second.look([first])
        first.look([second])
    assert first.places != list(first.alone)
    first.look([])
    assert first.places == list(first.alone)


def test_beside_a_process_that_publishes_nothing_each_has_half() -> None:
    first = Model(DESCRIPTORS, HELD)
    first.look([])
    new = divide_quota(DESCRIPTORS, first.alone, first.claim(), [None])
    assert DESCRIPTORS // 2 - 3 <= first.fixed + sum(new) <= DESCRIPTORS // 2


INTERVAL = 20  # ms between looks
SOONEST = SHORTAGE_REFRESH_INTERVAL_US // 1000  # where a place is missing
RATE = 0.15  # new connections a ms at each process that takes them
ACCEPTS = 550  # ms after SIGTERM


@settings(max_examples=100, deadline=None)
@given(st.integers(0, 1 << 32), st.integers(0, INTERVAL - 1), st.integers(0, INTERVAL - 1))
def test_requests_that_pass_over_one_by_one_are_never_refused(
    seed: int, first_phase: int, second_phase: int
) -> None:
    """A third of the descriptors holds requests, each on a connection of its own; after one that ended comes
    another on a new connection, at either process while both take them: 150 a second at each, in drawn
    intervals. Looks are 20 ms apart, and sooner where a place is missing. A connection that
    ended stands for up to 300 ms more."""
    rng, total = random.Random(seed), DESCRIPTORS // 3
    first, second = Model(DESCRIPTORS, HELD), Model(DESCRIPTORS, HELD)
    first.look([])
    for _ in range(total):
        assert first.connect(1, True)
    lingering, short = list[tuple[int, Model]](), dict[Model, int]()
    begun, stop = -1, 500
    for now in range(3000):
        if now % INTERVAL == first_phase:
            first.look([second])
        if now % INTERVAL == second_phase:
            second.look([first])
            if begun < 0 and second.settled([first]):
                begun = now
        first.closed = now > stop + ACCEPTS
        open_ones = [
            m for m in (first, second) if (m is first and not first.closed) or (m is second and begun >= 0)
        ]
        for model in open_ones:
            if rng.random() >= RATE:
                continue
            ends = rng.choice([first] * first.busy[1] + [second] * second.busy[1])
            ends.end(1, True)
            lingering.append((now + rng.randrange(300), ends))
            if model.caps()[1] <= model.standing(1) and now >= short.get(model, -SOONEST) + SOONEST:
                short[model] = now
                model.look([m for m in (first, second) if m is not model])
            assert model.connect(1, True), (now, first.claim(), second.claim())
        for _, model in [pair for pair in lingering if pair[0] <= now]:
            model.leave(1)
        lingering = [pair for pair in lingering if pair[0] > now]
        assert first.published.total() + second.published.total() <= DESCRIPTORS or now < 2 * INTERVAL
    assert 0 <= begun <= 3 * INTERVAL
    assert second.busy[1] > total / 2


# Whole processes


class OneByOne(Servers):
    """A chunk server that holds every request until told to answer the oldest."""

    def __init__(self) -> None:
        super().__init__()
        self.waiting = deque[asyncio.Event]()

    async def node(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            self.held += 1
            self.waiting.append(may_answer := asyncio.Event())
            await may_answer.wait()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx")
        writer.close()


PASSING = 300  # requests a second at most, both processes together
OPEN = 120  # requests, all the time: below a third of the descriptors


class PassingOver:
    """A front of one process with OPEN requests, and the process that replaces it.

    Each client asks its next request, on a connection of its own, once the one before it was answered.
    """

    def __init__(self, root: Path, node: int) -> None:
        for name in ("old", "new"):
            (root / name).mkdir()
        endpoints = ",".join(ENTRY % (n, node) for n in range(40))
        self.root, self.text = root, TEXT.format(sockets=DESCRIPTORS, discovery="", endpoints=endpoints)
        self.servers: OneByOne
        self.old = Process(root / "old", self.text, DESCRIPTORS)
        self.new: Process | None = None
        self.ends, self.seen = list[bytes](), list[int]()
        self.tasks = list[asyncio.Task[None]]()

    async def fill(self, servers: OneByOne) -> None:
        """All requests are open at the old process, and the new one stands beside it."""
        self.servers = servers
        await self.old.until("limits")
        address = self.old.address("listening")
        self.tasks = [asyncio.create_task(self._asks(address, client)) for client in range(OPEN)]
        await _until(lambda: servers.held == OPEN, self.old.log.read_text)
        text = self.text.replace("127.0.0.1:0", f"127.0.0.1:{address[1]}", 1)
        self.new = Process(self.root / "new", text, DESCRIPTORS)
        await self.new.until("limits")

    async def _asks(self, address: tuple[str, int], client: int) -> None:
        for number in range(1_000_000):
            self.ends.append(await _call(address, *_read(f"r{client}-{number}")))
            if not self.ends[-1].startswith(b"HTTP/1.1 200"):
                return

    async def pass_over(self) -> int:
        """The old process stops, and requests are answered one by one; how many were."""
        assert self.new is not None
        watch = asyncio.create_task(_watched(self.seen, self.old, self.new))
        self.old.of.send_signal(signal.SIGTERM)
        due, passed = time.monotonic(), 0
        while self.old.of.poll() is None or passed < 3 * OPEN:
            due = max(due + 1 / PASSING, time.monotonic())
            await asyncio.sleep(due - time.monotonic())
            self.servers.waiting.popleft().set()
            passed += 1
            await _until(lambda: self._goes_on(passed), self.new.log.read_text)  # noqa: B023
            assert not _refused(self.ends), (passed, _refused(self.ends), await self.new.counters())
            if self.old.of.poll() is not None:
                watch.cancel()  # there is nothing more to be counted
        watch.cancel()
        return passed

    def _goes_on(self, passed: int) -> bool:
        return self.servers.held >= OPEN + passed or bool(_refused(self.ends))

    def end(self) -> None:
        for may_answer in self.servers.waiting:
            may_answer.set()
        for task in self.tasks:
            task.cancel()
        for process in (self.old, self.new):
            if process is not None:
                process.of.kill()
                process.of.wait()


def test_open_requests_pass_to_the_new_process_and_none_ends_at_the_door(tmp_path: Path) -> None:
    """Each had half of the places whatever was in use, and the new one refused what came over."""

    async def test() -> None:
        servers = OneByOne()
        async with servers.listen() as (node, _):
            front = PassingOver(tmp_path, node)
            try:
                await front.fill(servers)
                assert await front.pass_over() >= 3 * OPEN
                assert front.new is not None
                assert front.seen and max(front.seen) <= DESCRIPTORS
                for counters in (front.old.told("counters")[-1], await front.new.counters()):
                    assert "bad_requests_503" not in counters  # nor was any closed on: all had their answers
            finally:
                front.end()

    _run(test())


def _refused(ends: list[bytes]) -> list[bytes]:
    return [end for end in ends if not end.startswith(b"HTTP/1.1 200")]
