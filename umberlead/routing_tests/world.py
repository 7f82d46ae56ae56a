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
RESULT_BY_OUTCOME = {
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
        self.wheel = TimerWheel(lambda: loop.now, self._start_alarm, TIMER_TICK_US)
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
        self._current_servers: dict[str, EndpointSpec] = dict(listing.endpoints)
        self._list_version = 0
        if explain:
            self.lifecycle.decision_loop.action_observer = self._observe
        self._candidate_notes: dict[str, str] = {}

    def _start_alarm(self, delay_us: int, callback: Callable[[], None]) -> Alarm:
        alarm = Alarm(callback)
        self.loop.at(self.loop.now + delay_us, alarm)
        return alarm

    def _log(self, event: str, **fields: Any) -> None:
        if event == "module_error":
            self.errors.append(str(fields.get("trace", event)))

    # Membership

    def apply_membership(self, change: MembershipChange) -> None:
        """Applies a membership change to the lifecycle and records the names of added servers."""
        apply_change(change, self.lifecycle, self)  # type: ignore[arg-type]
        for member in change.added:
            self.names[member.id] = member.endpoint.name

    def close_unlisted(self, addresses: set[Any]) -> None:
        """Does nothing: a pool would close its idle connections to unlisted addresses."""

    def replace_list(self, servers: dict[str, EndpointSpec]) -> None:
        """Puts a new list of servers in force; confirms it if it is held back."""
        self._list_version += 1
        self._current_servers = servers
        listing = CheckedList(self._list_version, f"{self._list_version:064d}", dict(servers))
        old_endpoints = self.membership.file_list.endpoints if self.membership.file_list else {}
        delta = diff_endpoints(old_endpoints, listing.endpoints)
        change = self.membership.apply_files(self.loop.now, listing, delta, "")
        if self.membership.pending is not None:  # expectations check routing, not whether a list is accepted
            change = self.membership.confirm(self.loop.now, listing.digest)
        self.apply_membership(change)

    def happen(self, happening: Happening, lists: dict[str, CheckedList]) -> None:
        """Applies a change of a scenario.

        Raises:
            UnlistedServerError: A changed server is not in the list at that time.
        """
        if happening.kind == "list":
            return self.replace_list(dict(lists[happening.label].endpoints))
        servers = dict(self._current_servers)
        for name in happening.servers:
            model = self.models.setdefault(name, ServerModel())
            if name not in servers and (happening.kind != "back" or name not in self._initial_servers):
                raise UnlistedServerError(
                    f"{happening.place}: {happening.kind} at {happening.at_us / 1e6:g} s:"
                    f" no server {name} is listed then"
                )
            if happening.kind == "drain":
                servers[name] = replace(servers[name], status=EndpointStatus.DRAINING)
            elif happening.kind == "back":
                model.alive = True
                model.slow = 1.0
                model.mix = {}
                servers[name] = replace(
                    servers.get(name) or self._initial_servers[name], status=EndpointStatus.UP
                )
            elif happening.kind == "leave":
                servers.pop(name, None)
            elif happening.kind == "cold":
                servers[name] = replace(servers[name], status=EndpointStatus.UP, started_us=self.loop.now)
            elif happening.kind == "slow":
                model.slow = happening.value
            elif happening.kind == "outcome":
                model.mix[happening.label] = happening.value
            elif happening.kind == "over":
                model.slow = 1.0 if happening.label == "slow" else model.slow
                model.mix.pop(happening.label, None)
            else:
                self.apply_membership(
                    self.membership.set_manual_drain(
                        self.loop.now, name, happening.kind == "out", self.loop.now
                    )
                )
        if servers != self._current_servers:
            self.replace_list(servers)

    # Requests

    def take(
        self, collection: Collection, volume: str, load: Load, shard: int, number: int, key: str
    ) -> RequestTrace:
        """Passes one request to the lifecycle; returns its trace, which later events are added to."""
        request_class = next(c for c in self.settings.classes if c.name == load.class_name)
        now = self.loop.now
        trace = RequestTrace(
            f"{collection.name}/{number}",
            now - START_US,
            collection.name,
            load.class_name,
            collection.plan,
            shard,
            load.units,
            load.new,
        )
        trace.steps.append(TraceStep(now - START_US, "taken"))
        self.traces.append(trace)
        request = IncomingRequest(
            load.class_name,
            collection.plan,
            volume,
            key,
            shard,
            load.units,
            now + request_class.timeout_us,
            trace,
            collection.hosts,
        )
        self.lifecycle.accept(request, lambda answer: self._answered(trace, answer))
        return trace

    def _answered(self, trace: RequestTrace, answer: Answer) -> None:
        note = "" if answer.kind.value == "served" else self._candidate_notes.get(trace.id, "")
        trace.steps.append(TraceStep(self.loop.now - START_US, "answered", "", answer.kind.value, note))

    def _observe(self, now: int, actions: list[Action]) -> None:
        """Records the state of the candidate servers for each request that is sent, refused or failed."""
        for action in actions:
            if isinstance(action, Send | Reject | Fail):
                pending = self.lifecycle.open_requests.find(action.request_id)
                if pending is not None and isinstance(pending.incoming.payload, RequestTrace):
                    self._candidate_notes[pending.incoming.payload.id] = self._describe_candidates(
                        pending.incoming.shard, pending.incoming.units
                    )

    def _describe_candidates(self, shard: int, units: float) -> str:
        scheduler = self.lifecycle.scheduler
        now = self.loop.now
        descriptions = []
        for endpoint_id, state in list(scheduler.directory.endpoints.items()):
            if shard >= 0 and state.endpoint.shard != shard:
                continue
            reasons = []
            if endpoint_id in scheduler.directory.manual_drains:
                reasons.append("manually drained")
            if state.endpoint.status is not EndpointStatus.UP:
                reasons.append(state.endpoint.status.value)
            if shard < 0 and state.endpoint.weight == 0:
                reasons.append("weight 0")
            if state.ejected_until_us > now:
                reasons.append(f"rests {(state.ejected_until_us - now) / 1000:.0f} ms")
            if state.units_in_flight and state.units_in_flight + units > min(
                state.concurrency_limit_units, state.max_concurrency_units()
            ):
                bound_units = min(state.concurrency_limit_units, state.max_concurrency_units())
                reasons.append(f"{state.units_in_flight:g} units in flight, limit {bound_units:.1f}")
            if state.slow_start_cost_us(now, units) and state.ready_at_us(now, units) > now:
                reasons.append("warming up")
            descriptions.append(f"{endpoint_id}: {', '.join(reasons) or 'free'}")
        return "; ".join(descriptions[:6]) or f"no server of shard {shard} is listed"

    # Transport

    def start(self, attempt: Attempt) -> None:
        """Sends an attempt to the modelled server."""
        trace: RequestTrace = attempt.request.incoming.payload
        name = self.names.get(attempt.endpoint, attempt.endpoint)
        note = self._candidate_notes.get(trace.id, "")
        trace.steps.append(TraceStep(self.loop.now - START_US, "sent", name, str(attempt.number), note))
        model = self.models.setdefault(name, ServerModel())
        attempt.transport_state = model
        result = self._draw_result(model)
        if result in (AttemptResult.CONNECT_FAILED, AttemptResult.REJECTED, AttemptResult.NOT_SENT):
            attempt.misdirected = result is AttemptResult.NOT_SENT
            return self.loop.at(self.loop.now + ROUND_TRIP_US, lambda: self._end_attempt(attempt, result))
        if result is AttemptResult.TIMEOUT:
            return None  # no answer: the lifecycle stops the attempt at its time-out
        begin_work = lambda: self.loop.at(  # noqa: E731
            self.loop.now
            + int(WORK_PER_UNIT_US * model.slow * attempt.request.incoming.units)
            + ROUND_TRIP_US,
            lambda: self._finish_work(attempt, model, result),
        )
        if model.busy < CORE_COUNT:
            model.busy += 1
            begin_work()
        elif len(model.waiting) < QUEUE_LIMIT:
            model.waiting.append(begin_work)
        else:
            self.loop.at(
                self.loop.now + ROUND_TRIP_US, lambda: self._end_attempt(attempt, AttemptResult.REJECTED)
            )

    def _draw_result(self, model: ServerModel) -> AttemptResult:
        draw = self.rng.random()
        for outcome, share in model.mix.items():
            if draw < share:
                return RESULT_BY_OUTCOME[outcome]
            draw -= share
        return AttemptResult.OK

    def _finish_work(self, attempt: Attempt, model: ServerModel, result: AttemptResult) -> None:
        """Ends the work on a request. Cancelling an attempt does not stop its work on the server."""
        if model.waiting:
            model.waiting.popleft()()
        else:
            model.busy -= 1
        self._end_attempt(attempt, result)

    def _end_attempt(self, attempt: Attempt, result: AttemptResult) -> None:
        if attempt.request.attempt is attempt:
            trace: RequestTrace = attempt.request.incoming.payload
            name = self.names.get(attempt.endpoint, attempt.endpoint)
            outcome = "astray" if attempt.misdirected else result.value
            trace.steps.append(TraceStep(self.loop.now - START_US, "ended", name, outcome))
            self.lifecycle.attempt_ended(attempt, result)

    def stop(self, attempt: Attempt, result: AttemptResult) -> None:
        """Ends an attempt early, on behalf of the lifecycle."""
        self.loop.soon(lambda: self._end_attempt(attempt, result))

    def cancel_if_unsent(self, attempt: Attempt) -> bool:
        """Always false: an attempt is sent at once, so it is never still unsent."""
        return False

    # Scenario

    _initial_servers: dict[str, EndpointSpec] = {}

    def play(
        self, scenario: Scenario, collections: dict[str, Collection], lists: dict[str, CheckedList]
    ) -> list[RequestTrace]:
        """Plays a scenario up to `SETTLING_US` after its last load or change; returns all traces."""
        self._initial_servers = dict(self.membership.file_list.endpoints) if self.membership.file_list else {}
        for happening in scenario.happenings:
            self.loop.at(START_US + happening.at_us, partial(self.happen, happening, lists))
            if happening.until_us:
                label = happening.label or happening.kind
                reversal = replace(happening, at_us=happening.until_us, kind="over", label=label)
                self.loop.at(START_US + reversal.at_us, partial(self.happen, reversal, lists))
        last_us = 0
        number = count()
        for load in scenario.loads:
            collection = collections[load.collection]
            at_us = float(load.begin_us)
            last_us = max(last_us, load.end_us)
            while (at_us := at_us + self.rng.expovariate(load.requests_per_second) * 1e6) < load.end_us:
                volume = f"{collection.name}.{self.rng.randrange(collection.volumes)}"
                shard = -1 if load.new else self.rng.choice(collection.shards)
                key = f"{self.rng.getrandbits(64):016x}"
                take = partial(self.take, collection, volume, load, shard, next(number), key)
                self.loop.at(START_US + int(at_us), take)
        last_us = max([last_us, *(h.at_us for h in scenario.happenings)])
        self.loop.run(START_US + last_us + SETTLING_US)
        return self.traces
