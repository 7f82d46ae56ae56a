"""Plays a rehearsal in virtual time: the fronts' engines with emulated nodes and clients."""

from collections.abc import Callable, Iterator
from functools import partial

from umberlead.emulator.loop import START_US, Loop
from umberlead.emulator.node import FOREVER_US, Job, Node
from umberlead.emulator.outcomes import KEEPS_CONNECTION, RESULT_AFTER_RUN, RESULT_WITHOUT_RUN
from umberlead.emulator.plan import RUN_ON_US, ManualDrain, Plan, StateChange, parsed_settings
from umberlead.emulator.records import Records
from umberlead.emulator.virtual_front import AttemptUnderWay, Front
from umberlead.emulator.virtual_gossip import GossipNetwork
from umberlead.emulator.world import ScenarioState
from umberlead.load_generator.clients import Try
from umberlead.load_generator.day import Request
from umberlead.requests.types import Answer, Reply
from umberlead.scheduling.events import AttemptResult, Endpoint, EndpointList, EndpointStatus

SWEEP_INTERVAL_US = 1_000_000
ZONE_TICK_US = 100_000  # between ticks of zone routing and gossip


class VirtualScenario:
    """One scenario in virtual time.

    Attributes:
        plan: the rehearsal's plan.
        loop: virtual time.
        state: the nodes, the clients and the records.
        faults: errors of the fronts' engines.
        fronts: the fronts, by number.
    """

    def __init__(self, plan: Plan) -> None:
        """Create the fronts of `plan`."""
        self.plan = plan
        self.loop = Loop()
        self.state = ScenarioState(plan)
        self.faults: list[str] = []
        self._timer_due: dict[str, int] = {}
        self.gossip: GossipNetwork | None = None
        settings = parsed_settings(plan)
        self.fronts = [Front(n, self, settings) for n in range(plan.fleet.fronts)]

    @property
    def now(self) -> int:
        """Return the time since the scenario's start."""
        return self.loop.now - START_US

    def play(self, progress: Callable[[float], None] | None = None) -> Records:
        """Play to the end; `progress` is called with the fraction that is played."""
        self._start_nodes()
        self._schedule_changes()
        self._schedule_next_request(iter(self.plan.day.requests))
        self._start_zones()
        end = self.plan.length_us + RUN_ON_US
        for second in range(0, end, SWEEP_INTERVAL_US):
            self.loop.run(START_US + second)
            for front in self.fronts:
                front.sweep()
            if progress is not None:
                progress(second / end)
        self.loop.run(START_US + end)
        self.state.records.sort()
        return self.state.records

    def _start_nodes(self) -> None:
        """Start the nodes of the first list and give the fronts that list; schedule the other nodes."""
        for start in self.plan.node_starts:
            if start.at_us:
                self.loop.at(START_US + start.at_us, partial(self.state.start_node, start))
            else:
                self.state.start_node(start)
        first = tuple(
            Endpoint(start.name, EndpointStatus.UP, start.shard, zone=str(start.zone))
            for start in self.plan.node_starts
            if not start.at_us
        )
        for front in self.fronts:
            front.engine.apply_endpoint_list(EndpointList(True, first))
            for node in first:
                self.state.record_notice(0, front.number, node.name, "up")

    def _schedule_changes(self) -> None:
        plan = self.plan
        loop = self.loop
        for change in plan.state_changes:
            loop.at(START_US + change.at, partial(self._change_state, change))
        for notice in plan.notices:
            loop.at(START_US + notice.at, partial(self.fronts[notice.front].told, notice, notice.since))
        for drain in plan.manual_drains:
            loop.at(START_US + drain.at, partial(self._apply_manual_drain, drain))

    def _start_zones(self) -> None:
        front_settings = self.plan.front_settings
        if "gossip" in front_settings and "rooms" in front_settings:
            self.gossip = GossipNetwork(self, str(front_settings["gossip"]))
        if any(front.zones for front in self.fronts):
            self._tick()

    def _tick(self) -> None:
        for front in self.fronts:
            front.zones.tick()
        if self.gossip is not None:
            self.gossip.tick()
        self.loop.at(self.loop.now + ZONE_TICK_US, self._tick)

    # Clients

    def _schedule_next_request(self, requests: Iterator[Request]) -> None:
        """Schedule the next request only, so that a long day does not fill the loop's heap."""
        request = next(requests, None)
        if request is not None:
            self.loop.at(START_US + request.at, partial(self._send_first_try, request, requests))

    def _send_first_try(self, request: Request, requests: Iterator[Request]) -> None:
        self._send_try(self.state.clients.first(request))
        self._schedule_next_request(requests)

    def _send_try(self, of: Try) -> None:
        block, shard = self.state.record_request(self.now, of)
        front = self.fronts[of.of.front]
        self.loop.at(self.loop.now + self.plan.client_delay_us, lambda: front.take(of, block, shard))

    def answered(self, of: Try, answer: Answer) -> None:
        """Deliver a front's answer to the client after the network delay."""
        body = answer.reply.body.decode() if answer.reply is not None else ""
        kind = answer.kind.value
        self.loop.at(self.loop.now + self.plan.client_delay_us, lambda: self._deliver_answer(of, kind, body))

    def _deliver_answer(self, of: Try, kind: str, body: str) -> None:
        self._schedule_retry(self.state.answer(self.now, of, kind, body))

    def left(self, of: Try) -> None:
        """Record that a client gave up; schedule its retry, if it makes one."""
        self._schedule_retry(self.state.leave(self.now, of))

    def _schedule_retry(self, of: Try | None) -> None:
        if of is not None:
            self.loop.at(START_US + of.at, lambda: self._send_try(of))

    # Servers

    def _change_state(self, change: StateChange) -> None:
        for job in self.state.change_state(self.now, change):
            self._reset_attempt(job)

    def _apply_manual_drain(self, drain: ManualDrain) -> None:
        for front in self.fronts:
            front.engine.set_manual_drain(drain.server, drain.drained, self.loop.now)

    def _reset_attempt(self, job: Job) -> None:
        front, out = job.token
        way = self.plan.one_way_delay_us(job.front, int(out.node.zone))
        if not self._is_partitioned(front, out.node):
            self.loop.at(self.loop.now + way, lambda: front.end(out, AttemptResult.RESET, None, False))

    def _is_partitioned(self, front: Front, node: Node) -> bool:
        return self.plan.is_partitioned(self.now, front.number, int(node.zone))

    def arrived(self, front: Front, out: AttemptUnderWay, way: int) -> None:
        """Offer a request that its node has received, even if the front has closed the connection."""
        ask = out.attempt.request.incoming
        of, block = ask.payload
        node = out.node
        word, job = self.state.record_arrival(
            self.now,
            node,
            front.number,
            of.id,
            ask.class_name,
            block,
            ask.shard,
            block if of.of.write else "",
        )
        job.token = (front, out)
        out.arrived = True
        if out.left:
            self.state.record_leave(self.now, node, of.id)
        if word == "taken":
            return self._set_timer(node)
        if word == "fallen":
            for lost in self.state.drop_jobs(self.now, node):
                self._reset_attempt(lost)
        if self._is_partitioned(front, node):
            return
        if word == "astray":
            out.attempt.misdirected = True
        result = RESULT_WITHOUT_RUN[word]
        keep = word in KEEPS_CONNECTION
        self.loop.at(
            self.loop.now + way, lambda: front.end(out, result, self._build_reply(node, job, ""), keep)
        )

    def _set_timer(self, node: Node) -> None:
        due = node.due()
        if due < self._timer_due.get(node.name, FOREVER_US):
            self._timer_due[node.name] = due
            self.loop.at(START_US + due, lambda: self._advance(node))

    def _advance(self, node: Node) -> None:
        self._timer_due[node.name] = FOREVER_US
        for job in node.advance(self.now):
            self._finish_job(node, job)
        self._set_timer(node)

    def _finish_job(self, node: Node, job: Job) -> None:
        front, out = job.token
        body = f"{node.name}:{job.id}"
        self.state.record_end(node, job, body)
        result = RESULT_AFTER_RUN[job.end]
        if result is None or self._is_partitioned(front, node):
            return
        reply = self._build_reply(node, job, body if result is AttemptResult.OK else "")
        way = self.plan.one_way_delay_us(front.number, int(node.zone))
        at = max(START_US + job.answer_at_us, self.loop.now) + way
        self.loop.at(at, lambda: front.end(out, result, reply, job.end in KEEPS_CONNECTION))

    def _build_reply(self, node: Node, job: Job, body: str) -> Reply:
        """Build a reply: always with the load report, and with the meter's figures if a body was served."""
        reply = Reply(200 if body else 503, body.encode(), node.report(self.now))
        if body and job.volume:
            reply.used_rate_percent = self.state.meter.percent(self.now, job.volume) + 1
            reply.units_elsewhere = node.elsewhere(job.volume, job.front, job.units)
        return reply


def play(plan: Plan, progress: Callable[[float], None] | None = None) -> tuple[Records, list[str]]:
    """Return the records of a rehearsal, and the errors of the fronts' engines."""
    world = VirtualScenario(plan)
    return world.play(progress), world.faults
