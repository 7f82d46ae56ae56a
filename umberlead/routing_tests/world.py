"""Plays a scenario in virtual time: the program's request lifecycle and membership with modelled servers.

The lifecycle and the membership are the program's own code; this module supplies the clock, the event loop
and the transport. A modelled server has `CORE_COUNT` cores, takes `WORK_PER_UNIT_US` for a unit and serves
requests in order of arrival. The result of an attempt tells whether the request may have run, by the rules of
the platform's protocol as in `net/endpoint_connection.py`: a request whose connection was refused or that
met a full queue never ran.
"""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from itertools import count
from typing import Any

from umberlead.common.counters import Counters
from umberlead.common.errors import UmberleadError
from umberlead.common.timer_wheel import TimerWheel
from umberlead.emulator.loop import START_US, Alarm, Loop
from umberlead.membership.flap_damping import FlapDampingSettings
from umberlead.membership.integration import apply_change
from umberlead.membership.list_merge import Membership, MembershipSettings
from umberlead.membership.model import CheckedList, EndpointSpec, MembershipChange, diff_endpoints
from umberlead.requests.lifecycle import RequestLifecycle
from umberlead.requests.types import Answer, Attempt, IncomingRequest
from umberlead.routing_tests.model import Collection, Happening, Load, RequestTrace, Scenario, TraceStep
from umberlead.scheduling.actions import Action, Fail, Reject, Send
from umberlead.scheduling.events import AttemptResult, EndpointStatus
from umberlead.scheduling.settings import Settings

WORK_PER_UNIT_US = 20_000
CORE_COUNT = 2
QUEUE_LIMIT = 100
ROUND_TRIP_US = 500  # network time to a server and back
SETTLING_US = 10_000_000  # time after the last load in which all requests must be answered
TIMER_TICK_US = 2000
RESULTS = {
    "error": AttemptResult.ERROR,
    "full": AttemptResult.REJECTED,
    "timeout": AttemptResult.TIMEOUT,
    "no-link": AttemptResult.CONNECT_FAILED,
    "reset": AttemptResult.RESET,
    "astray": AttemptResult.NOT_SENT,
    "half": AttemptResult.RESET,
    "spoilt": AttemptResult.ERROR,
    "surplus": AttemptResult.OK,
    "early": AttemptResult.CONNECT_FAILED,
    "silence": AttemptResult.TIMEOUT,
}


class UnlistedServerError(UmberleadError, ValueError):
    """A scenario changes a server that is not in the list at that time; the message names both."""


@dataclass(slots=True)
class ServerModel:
    """State of a modelled server that is not part of the list."""

    slow: float = 1.0  # factor on the work time
    mix: dict[str, float] = field(default_factory=dict)  # outcome: share of the attempts that end so
    alive: bool = True
    busy: int = 0
    waiting: deque[Callable[[], None]] = field(default_factory=deque)


class World:
    """One front with its modelled servers; acts as the transport of the request lifecycle."""

    def __init__(self, settings: Settings, listing: CheckedList, seed: int, explain: bool = False) -> None:
        """Sets up a front with the servers of `listing`.

        Args:
            settings: Settings of the scheduler.
            listing: The list in force at the start.
            seed: Seed of the scheduler and of all random draws.
            explain: Whether to record, at each send or refusal, the state of the candidate servers.
        """
        self.settings = settings
        self.loop = Loop()
        self.rng = random.Random(seed)
        loop = self.loop
        self.wheel = TimerWheel(lambda: loop.now, self._alarm, TIMER_TICK_US)
        self.lifecycle = RequestLifecycle(
            settings, seed, lambda: loop.now, self.wheel, loop.soon, Counters(), self._log
        )
        self.lifecycle.transport = self
        self.addresses: dict[str, Any] = {}  # the pool's attribute that `apply_change` writes
        self.endpoint_counts: set[Any] | None = None
        self.models: dict[str, ServerModel] = {}
        self.names: dict[str, str] = {}  # server name by endpoint id
        self.traces: list[RequestTrace] = []
        self._life: dict[int, RequestTrace] = {}  # by slot of the open ticket's payload
        self.errors: list[str] = []
        self.membership = Membership(MembershipSettings(1.0, 10**12, FlapDampingSettings(1, 7000.0, 1000.0)))
        self.apply_membership(self.membership.apply_files(loop.now, listing))
        self._now: dict[str, EndpointSpec] = dict(listing.endpoints)
        self._lists = 0
        if explain:
            self.lifecycle.decision_loop.action_observer = self._observe
        self._notes: dict[str, str] = {}

    def _alarm(self, delay: int, what: Callable[[], None]) -> Alarm:
        made = Alarm(what)
        self.loop.at(self.loop.now + delay, made)
        return made

    def _log(self, event: str, **pairs: Any) -> None:
        if event == "module_error":
            self.errors.append(str(pairs.get("trace", event)))

    # Membership

    def apply_membership(self, change: MembershipChange) -> None:
        """Applies a membership change to the lifecycle and records the names of added servers."""
        apply_change(change, self.lifecycle, self)  # type: ignore[arg-type]
        for member in change.added:
            self.names[member.id] = member.endpoint.name

    def close_unlisted(self, addresses: set[Any]) -> None:
        """Does nothing: a pool would close its idle connections to unlisted addresses."""

    def relist(self, servers: dict[str, EndpointSpec]) -> None:
        """Puts a new list of servers in force; confirms it if it is held back."""
        self._lists += 1
        self._now = servers
        listing = CheckedList(self._lists, f"{self._lists:064d}", dict(servers))
        old = self.membership.file_list.endpoints if self.membership.file_list else {}
        delta = diff_endpoints(old, listing.endpoints)
        change = self.membership.apply_files(self.loop.now, listing, delta, "")
        if self.membership.pending is not None:  # expectations check routing, not whether a list is accepted
            change = self.membership.confirm(self.loop.now, listing.digest)
        self.apply_membership(change)

    def happen(self, of: Happening, lists: dict[str, CheckedList]) -> None:
        """Applies a change of a scenario.

        Raises:
            UnlistedServerError: A changed server is not in the list at that time.
        """
        if of.kind == "list":
            return self.relist(dict(lists[of.label].endpoints))
        servers = dict(self._now)
        for name in of.servers:
            model = self.models.setdefault(name, ServerModel())
            if name not in servers and (of.kind != "back" or name not in self._first):
                raise UnlistedServerError(
                    f"{of.place}: {of.kind} at {of.at_us / 1e6:g} s: no server {name} is listed then"
                )
            if of.kind == "drain":
                servers[name] = replace(servers[name], status=EndpointStatus.DRAINING)
            elif of.kind == "back":
                model.alive = True
                model.slow = 1.0
                model.mix = {}
                servers[name] = replace(servers.get(name) or self._first[name], status=EndpointStatus.UP)
            elif of.kind == "leave":
                servers.pop(name, None)
            elif of.kind == "cold":
                servers[name] = replace(servers[name], status=EndpointStatus.UP, started_us=self.loop.now)
            elif of.kind == "slow":
                model.slow = of.value
            elif of.kind == "outcome":
                model.mix[of.label] = of.value
            elif of.kind == "over":
                model.slow = 1.0 if of.label == "slow" else model.slow
                model.mix.pop(of.label, None)
            else:
                self.apply_membership(
                    self.membership.set_manual_drain(self.loop.now, name, of.kind == "out", self.loop.now)
                )
        if servers != self._now:
            self.relist(servers)

    # Requests

    def take(
        self, collection: Collection, volume: str, load: Load, shard: int, name: int, key: str
    ) -> RequestTrace:
        """Passes one request to the lifecycle; returns its trace, which later events are added to."""
        cls = next(c for c in self.settings.classes if c.name == load.class_name)
        now = self.loop.now
        life = RequestTrace(
            f"{collection.name}/{name}",
            now - START_US,
            collection.name,
            load.class_name,
            collection.plan,
            shard,
            load.units,
            load.new,
        )
        life.steps.append(TraceStep(now - START_US, "taken"))
        self.traces.append(life)
        ask = IncomingRequest(
            load.class_name,
            collection.plan,
            volume,
            key,
            shard,
            load.units,
            now + cls.timeout_us,
            life,
            collection.hosts,
        )
        self.lifecycle.accept(ask, lambda answer: self._answered(life, answer))
        return life

    def _answered(self, life: RequestTrace, answer: Answer) -> None:
        note = "" if answer.kind.value == "served" else self._notes.get(life.id, "")
        life.steps.append(TraceStep(self.loop.now - START_US, "answered", "", answer.kind.value, note))

    def _observe(self, now: int, acts: list[Action]) -> None:
        """Records the state of the candidate servers for each request that is sent, refused or failed."""
        for act in acts:
            if isinstance(act, Send | Reject | Fail):
                pending = self.lifecycle.open_requests.find(act.request_id)
                if pending is not None and isinstance(pending.incoming.payload, RequestTrace):
                    self._notes[pending.incoming.payload.id] = self._saw(
                        pending.incoming.shard, pending.incoming.units
                    )

    def _saw(self, shard: int, units: float) -> str:
        head = self.lifecycle.scheduler
        now = self.loop.now
        made = []
        for node, view in list(head.directory.endpoints.items()):
            if shard >= 0 and view.endpoint.shard != shard:
                continue
            why = []
            if node in head.directory.manual_drains:
                why.append("manually drained")
            if view.endpoint.status is not EndpointStatus.UP:
                why.append(view.endpoint.status.value)
            if shard < 0 and view.endpoint.weight == 0:
                why.append("weight 0")
            if view.ejected_until_us > now:
                why.append(f"rests {(view.ejected_until_us - now) / 1000:.0f} ms")
            if view.units_in_flight and view.units_in_flight + units > min(
                view.concurrency_limit_units, view.max_concurrency_units()
            ):
                bound_units = min(view.concurrency_limit_units, view.max_concurrency_units())
                why.append(f"{view.units_in_flight:g} units in flight, limit {bound_units:.1f}")
            if view.slow_start_cost_us(now, units) and view.ready_at_us(now, units) > now:
                why.append("warming up")
            made.append(f"{node}: {', '.join(why) or 'free'}")
        return "; ".join(made[:6]) or f"no server of shard {shard} is listed"

    # Transport

    def start(self, attempt: Attempt) -> None:
        """Sends an attempt to the modelled server."""
        life: RequestTrace = attempt.request.incoming.payload
        name = self.names.get(attempt.endpoint, attempt.endpoint)
        note = self._notes.get(life.id, "")
        life.steps.append(TraceStep(self.loop.now - START_US, "sent", name, str(attempt.number), note))
        model = self.models.setdefault(name, ServerModel())
        attempt.transport_state = model
        end = self._drawn(model)
        if end in (AttemptResult.CONNECT_FAILED, AttemptResult.REJECTED, AttemptResult.NOT_SENT):
            attempt.misdirected = end is AttemptResult.NOT_SENT
            return self.loop.at(self.loop.now + ROUND_TRIP_US, lambda: self._end(attempt, end))
        if end is AttemptResult.TIMEOUT:
            return None  # no answer: the lifecycle stops the attempt at its time-out
        job = lambda: self.loop.at(  # noqa: E731
            self.loop.now
            + int(WORK_PER_UNIT_US * model.slow * attempt.request.incoming.units)
            + ROUND_TRIP_US,
            lambda: self._worked(attempt, model, end),
        )
        if model.busy < CORE_COUNT:
            model.busy += 1
            job()
        elif len(model.waiting) < QUEUE_LIMIT:
            model.waiting.append(job)
        else:
            self.loop.at(self.loop.now + ROUND_TRIP_US, lambda: self._end(attempt, AttemptResult.REJECTED))

    def _drawn(self, model: ServerModel) -> AttemptResult:
        draw = self.rng.random()
        for word, part in model.mix.items():
            if draw < part:
                return RESULTS[word]
            draw -= part
        return AttemptResult.OK

    def _worked(self, attempt: Attempt, model: ServerModel, end: AttemptResult) -> None:
        """Ends the work on a request. Cancelling an attempt does not stop its work on the server."""
        if model.waiting:
            model.waiting.popleft()()
        else:
            model.busy -= 1
        self._end(attempt, end)

    def _end(self, attempt: Attempt, result: AttemptResult) -> None:
        if attempt.request.attempt is attempt:
            life: RequestTrace = attempt.request.incoming.payload
            name = self.names.get(attempt.endpoint, attempt.endpoint)
            word = "astray" if attempt.misdirected else result.value
            life.steps.append(TraceStep(self.loop.now - START_US, "ended", name, word))
            self.lifecycle.attempt_ended(attempt, result)

    def stop(self, attempt: Attempt, why: AttemptResult) -> None:
        """Ends an attempt early."""
        self.loop.soon(lambda: self._end(attempt, why))

    def cancel_if_unsent(self, attempt: Attempt) -> bool:
        """Always false: an attempt is sent at once, so it is never still unsent."""
        return False

    # Scenario

    _first: dict[str, EndpointSpec] = {}

    def play(
        self, of: Scenario, collections: dict[str, Collection], lists: dict[str, CheckedList]
    ) -> list[RequestTrace]:
        """Plays a scenario up to `SETTLING_US` after its last load or change; returns all traces."""
        self._first = dict(self.membership.file_list.endpoints) if self.membership.file_list else {}
        for happening in of.happenings:
            self.loop.at(START_US + happening.at_us, partial(self.happen, happening, lists))
            if happening.until_us:
                word = happening.label or happening.kind
                over = replace(happening, at_us=happening.until_us, kind="over", label=word)
                self.loop.at(START_US + over.at_us, partial(self.happen, over, lists))
        last = 0
        number = count()
        for load in of.loads:
            collection = collections[load.collection]
            at = float(load.begin_us)
            last = max(last, load.end_us)
            while (at := at + self.rng.expovariate(load.requests_per_second) * 1e6) < load.end_us:
                volume = f"{collection.name}.{self.rng.randrange(collection.volumes)}"
                shard = -1 if load.new else self.rng.choice(collection.shards)
                key = f"{self.rng.getrandbits(64):016x}"
                call = partial(self.take, collection, volume, load, shard, next(number), key)
                self.loop.at(START_US + int(at), call)
        last = max([last, *(h.at_us for h in of.happenings)])
        self.loop.run(START_US + last + SETTLING_US)
        return self.traces
