"""One front: the parts of a process, wired together from its configuration to its last answer."""

import asyncio
import gc
import os
import signal
import time
from collections.abc import Callable
from dataclasses import replace
from itertools import pairwise
from typing import Any

import uvloop

from umberlead import configuration
from umberlead.common.counters import Counters
from umberlead.common.timer_wheel import TimerWheel
from umberlead.frontends.admin_api import AdminApi
from umberlead.frontends.platform import PlatformFrontend
from umberlead.handover.descriptor_quota import DescriptorQuota
from umberlead.handover.shared_state import SharedState
from umberlead.net.client_connections import ClientGroup
from umberlead.net.discovery import DiscoveryWatch
from umberlead.net.endpoint_pool import IDLE_KEEPALIVE_RATIO, EndpointPool
from umberlead.net.listener import Listener
from umberlead.net.server_connection import RequestHandler
from umberlead.plugins import PluginHooks
from umberlead.recovery.start_times import STEP_US, StartTimes
from umberlead.requests.lifecycle import RequestLifecycle
from umberlead.resource_limits import (
    MAX_BODY_BYTES,
    RESERVED_DESCRIPTORS_COUNT,
    ReservedDescriptor,
    descriptors_and_memory_in_use,
    descriptors_to_come,
    divide_resources,
    granted_descriptors,
    with_surplus,
)
from umberlead.scheduling.events import Endpoint, EndpointList, EndpointStatus
from umberlead.telemetry import SyslogWriter, make_logger

ACCEPT_AFTER_SIGTERM_US = 550_000  # us after SIGTERM in which new connections are still taken
# SIGKILL follows SIGTERM by the longest deadline, counted as 3 s at most, plus 0.7 s. So long before that, as
# much of it as is not needed here, connections that stand are served on, and what is open is answered.
MAX_KILL_DELAY_US, KILL_DELAY_MARGIN_US = 3_000_000, 700_000
DRAIN_BEFORE_KILL_US, FINISH_BEFORE_KILL_US = 400_000, 200_000
FIRST_LIST_TIMEOUT_SECONDS = (
    0.4  # s a start waits for the list; longer, and discovery is down: the known one must do
)
SWEEP_INTERVAL_US = 100_000
QUOTA_UPDATE_INTERVAL_US = 20_000  # between looks at what another process leaves of the descriptors
FIRST_QUOTA_TIMEOUT_US = 200_000  # us a start waits for its part of them; longer, and the other process hangs
REPORT_INTERVAL_US = 10_000_000  # us between the counters' lines


EARLY_RELOAD_SIGNALS: list[int] = []  # SIGHUP before a front could take it
# When the start began and when each of its stages ended, in monotonic us, in their order.
START_STAGES_US = {"began": time.monotonic_ns() // 1000}


def record_stage(stage: str) -> None:
    START_STAGES_US[stage] = time.monotonic_ns() // 1000


def stage_durations() -> dict[str, int]:
    """The us that each stage of the start took, and when the first began, for the log."""
    stage_ends_us = list(START_STAGES_US.values())
    return dict(
        zip(START_STAGES_US, stage_ends_us[:1] + [b - a for a, b in pairwise(stage_ends_us)], strict=True)
    )


def unix_anchored_clock() -> Callable[[], int]:
    """Whole microseconds that only move forward, anchored once to Unix time: discovery's times compare."""
    anchor_us = time.time_ns() - time.monotonic_ns()
    return lambda: (time.monotonic_ns() + anchor_us) // 1000


class FrontProcess:
    """The parts of one process, wired together."""

    def __init__(self, conf: configuration.Config, loop: asyncio.AbstractEventLoop) -> None:
        self.config, self.loop, self.reserved_descriptor = conf, loop, ReservedDescriptor()
        descriptors, memory = descriptors_and_memory_in_use()
        self.resources_in_use = descriptors + descriptors_to_come(conf), memory
        self.counters = Counters()
        self.syslog = SyslogWriter(conf.log_collector, self.counters)
        self.log = make_logger(conf.name, lambda: self.config.log_level, self.syslog)
        self.clock = unix_anchored_clock()
        self.wheel = TimerWheel(self.clock, lambda delay, fn: loop.call_later(delay / 1e6, fn), conf.tick_us)
        trace = self.trace = self.log.debug if conf.log_level == "debug" else None
        settings = conf.settings
        if conf.zones is not None:
            from umberlead.zones.integration import with_retry_budget

            settings = with_retry_budget(settings, conf.zones.retry_budget_ratio)
        hooks = PluginHooks(conf.plugin_paths, conf.plugin_timeout_us, self.counters, self.log.warning, trace)
        self.lifecycle = RequestLifecycle(
            settings,
            conf.seed,
            self.clock,
            self.wheel,
            loop.call_soon,
            self.counters,
            self.log.error,
            hooks if hooks.plugins or trace else None,
        )
        self.pool = EndpointPool(
            self.lifecycle,
            loop,
            self.wheel,
            self.clock,
            self.counters,
            0,
            conf.settings.connect_timeout_us or 250_000,
            conf.keepalive_us,
            "service.internal",
            self.log.info,
        )
        self.lifecycle.transport, self.lifecycle.trace_log = self.pool, trace
        self.pool.write_denial = self.lifecycle.guard.may_write
        self.pool.on_write = self.lifecycle.invariants.written
        self.zones: Any = None  # what decides by rooms, where the configuration has them
        if conf.zones is not None:
            from umberlead.zones.integration import integrate_zones

            self.zones = integrate_zones(conf.zones, self.lifecycle, conf.seed, self.clock, self.log.warning)
        self.listeners: list[Listener] = []
        self.client_groups: list[ClientGroup] = []
        self.handlers: list[RequestHandler] = []
        self.admin_listeners: list[tuple[Listener, ClientGroup]] = []  # the operators'; open to the end
        self.shared_state, self.process_count = SharedState(conf.state_folder), 1
        self.anchor_us = self.clock() - time.monotonic_ns() // 1000
        anchors = self.shared_state.clock_anchors.read()
        self.start_times = StartTimes([anchor - self.anchor_us for anchor in anchors])
        if all(abs(anchor - self.anchor_us) >= STEP_US for anchor in anchors):
            self.shared_state.clock_anchors.add(self.anchor_us)
        self.descriptor_quota = DescriptorQuota(
            self.shared_state,
            self.pool,
            self.client_groups,
            self.admin_listeners,
            self.listeners,
            self.clock,
            self.update_quota,
        )
        self.process_share = 0.0  # of what this front may send for a volume; none was told yet
        if self.shared_state.error:
            self.log.warning("nothing_shared", why=self.shared_state.error)
        self.manual_drains: dict[str, int] = {}  # chunk servers out by hand
        self.discovery_watch: DiscoveryWatch | None = None
        self.gossip: Any = None  # the gossip's socket and its ticks
        self.watched_lists: Any = None  # the watched lists' service, where the configuration has them
        self.done = asyncio.Event()
        self.stop_requested = self.stopping = False

    def apply_discovery_message(self, message: configuration.DiscoveryMessage, is_new: bool = True) -> None:
        """A list, or a change of it; `news` unless it is what the configuration knew."""
        message = self._by_own_clock(message)
        if is_new:
            self.start_times.record_list()
        if self.watched_lists is not None:
            from umberlead.membership.integration import endpoint_from_discovery

            self.watched_lists.apply_discovery(
                message.complete, [endpoint_from_discovery(listed) for listed in message.endpoints]
            )
            return
        addresses = self.pool.addresses
        if message.complete:
            addresses.clear()
        for endpoint in message.endpoints:
            if endpoint.endpoint.status is EndpointStatus.GONE:
                addresses.pop(
                    endpoint.endpoint.name, None
                )  # on days that replace all again and again they add up
            elif endpoint.address is not None:
                addresses[endpoint.endpoint.name] = endpoint.address
        self.lifecycle.apply_endpoint_list(
            EndpointList(message.complete, tuple(listed.endpoint for listed in message.endpoints))
        )

    def _by_own_clock(self, message: configuration.DiscoveryMessage) -> configuration.DiscoveryMessage:
        """The list with chunk servers' starts by this process's clock: the wall clock may step."""
        self._observe_wall_clock()
        endpoints = tuple(
            replace(
                endpoint, endpoint=replace(endpoint.endpoint, started_us=self._local_start(endpoint.endpoint))
            )
            if endpoint.endpoint.started_us
            else endpoint
            for endpoint in message.endpoints
        )
        return replace(message, endpoints=endpoints)

    def _local_start(self, endpoint: Endpoint) -> int:
        return self.start_times.to_local_clock(endpoint.name, endpoint.started_us, self.clock())

    def _observe_wall_clock(self) -> None:
        if self.start_times.observe(self.clock(), time.time_ns() // 1000):
            self.shared_state.clock_anchors.add(time.time_ns() // 1000 - time.monotonic_ns() // 1000)
            self.counters.add("wall_clock_steps")
            self.log.warning("wall_clock_stepped")

    def start_watched_lists(self, list_config: configuration.WatchedListConfig) -> None:
        """The list in force comes from watched files: what only that needs is loaded only for it."""
        from umberlead.membership.integration import start_watched_lists

        self.watched_lists = start_watched_lists(list_config, self)

    def knows_endpoint(self, endpoint: str) -> bool:
        return (
            self.watched_lists.membership.knows_endpoint(endpoint)
            if self.watched_lists is not None
            else self.lifecycle.knows_endpoint(endpoint)
        )

    def apply_limits(self) -> None:
        """The caps that follow from the configuration, at the start and with each reload."""
        conf = self.config
        # Two processes of a front have one front's limits between them: of memory each has an even part.
        max_descriptors, memory_limit_bytes = (
            granted_descriptors(conf.max_descriptors) // self.process_count,
            conf.memory_limit_bytes // self.process_count,
        )
        limits = divide_resources(
            max_descriptors, memory_limit_bytes, *self.resources_in_use, max(len(self.client_groups), 1)
        )
        pool = self.pool
        pool.buffer_limit_bytes = limits.response_bytes
        pool.max_header_bytes, pool.max_response_bytes = limits.max_header_bytes, limits.max_response_bytes
        pool.idle_timeout_us = int(conf.keepalive_us * IDLE_KEEPALIVE_RATIO)
        self.lifecycle.open_requests.call_ids.max_remembered, self.syslog.max_queued_lines = (
            limits.remembered_call_ids,
            limits.queued_log_lines,
        )
        if conf.object_api is None:  # whose clients have several requests open on one connection
            self.lifecycle.set_open_limit(limits.open_requests)
        for group in self.client_groups:
            group.idle_timeout_us = conf.client_idle_timeout_us
            group.buffer_limit_bytes, group.max_header_bytes = (
                limits.request_body_bytes // len(self.client_groups),
                limits.max_header_bytes,
            )
        for _, group in self.admin_listeners:
            group.buffer_limit_bytes = MAX_BODY_BYTES
            group.max_header_bytes = limits.max_header_bytes
        if conf.object_api is not None:  # the operator's own cap holds below that
            objects = self.client_groups[-1]
            objects.buffer_limit_bytes = min(objects.buffer_limit_bytes, conf.object_api.memory_bytes)
        for handler in self.handlers:
            handler.retry_after_us = self.config.retry_after_us
        self.update_quota()

    def update_quota(self) -> None:
        """Caps of connections: by use, while another process of this front stands."""
        max_descriptors = granted_descriptors(self.config.max_descriptors)
        limits = divide_resources(max_descriptors, 0, *self.resources_in_use, max(len(self.client_groups), 1))
        clients = [with_surplus(limits.admin_connections)] * len(self.admin_listeners) + [
            with_surplus(limits.client_connections)
        ] * len(self.client_groups)
        self.descriptor_quota.update(
            max_descriptors,
            self.resources_in_use[0] + RESERVED_DESCRIPTORS_COUNT,
            [*clients, limits.endpoint_connections],
            len(self.lifecycle.open_requests),
        )

    def update_quota_periodically(self) -> None:
        """Divide anew while another process stands, or where one came or went."""
        if self.descriptor_quota.has_siblings or self.shared_state.changed():
            self.update_quota()
        self.wheel.call_after(QUOTA_UPDATE_INTERVAL_US, self.update_quota_periodically)

    def sync_shared_state(self) -> None:
        """What other processes of this front, and calls at their doors, have changed."""
        process_count, manual_drains = (
            1 + self.shared_state.count_siblings(),
            self.shared_state.drain_overrides(),
        )
        if process_count != self.process_count:
            self.log.info("processes", now=process_count, before=self.process_count)
            self.process_count = process_count
            self.apply_limits()
        if (share := self.shared_state.share()) != self.process_share:
            self.process_share = share
            self.lifecycle.set_process_share(share)
        for endpoint in [name for name in manual_drains if name not in self.manual_drains] + [
            name for name in self.manual_drains if name not in manual_drains
        ]:
            self.log.warning(
                "by_hand", node=endpoint, state="offline" if endpoint in manual_drains else "online"
            )
            set_manual_drain = (
                self.lifecycle.set_manual_drain
                if self.watched_lists is None
                else self.watched_lists.set_manual_drain
            )
            set_manual_drain(
                endpoint,
                endpoint in manual_drains,
                self.start_times.to_local_clock(
                    f"out {endpoint}", manual_drains.get(endpoint, 0), self.clock()
                ),
            )
        self.manual_drains = manual_drains

    def set_manual_drain(self, endpoint: str, is_drained: bool) -> None:
        """An operator's call: it holds once it is answered."""
        with self.reserved_descriptor.lent():  # what was answered must hold
            self.shared_state.set_drain_override(endpoint, is_drained)
            self.sync_shared_state()

    def new_client_group(self) -> ClientGroup:
        clients = ClientGroup(
            0, self.clock, self.counters, self.config.client_idle_timeout_us, 0, self.log.error
        )
        clients.on_capacity_shortage = self.descriptor_quota.connection_refused_for_quota
        clients.on_close = self._client_closed
        self.client_groups.append(clients)
        return clients

    def _client_closed(self, owed: bool, reason: str, calls: str) -> None:
        self.lifecycle.invariants.closed(owed, reason, calls)
        if self.trace is not None:
            self.trace("client_closed", reason=reason, calls=calls)

    def listen(self, handler: RequestHandler, clients: ClientGroup, address: configuration.Address) -> None:
        self.lifecycle.invariants.listening(clients.max_connections > 0 and self.pool.max_connections > 0)
        share = (
            self.config.state_folder is not None
        )  # also where that can't be written now: another may stand there
        listener = Listener(handler, clients, address, self.loop, share)
        self.listeners.append(listener)
        self.log.info("listening", address=":".join(map(str, listener.address)))

    async def run(self) -> None:
        conf = self.config
        self.loop.add_signal_handler(signal.SIGTERM, self.stop)
        self.loop.add_signal_handler(signal.SIGINT, self.stop)
        self.loop.add_signal_handler(signal.SIGUSR1, self.log_counters)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        if EARLY_RELOAD_SIGNALS:  # it came once the configuration was read, or while it was
            self.loop.call_soon(self.reload)
        if conf.watched_lists is not None:
            self.start_watched_lists(conf.watched_lists)
        self.apply_discovery_message(conf.known_endpoints, is_new=False)
        if conf.discovery is not None:
            self.discovery_watch = DiscoveryWatch(
                conf.discovery,
                conf.known_endpoints,
                self.loop,
                self.wheel,
                self.clock,
                self.counters,
                self.log.warning,
                self.apply_discovery_message,
                conf.settings.front_count,
                not conf.settings.polls_endpoint_list,
                self.shared_state.agent_seen_before(),
                self.shared_state.record_agent,
            )
            self.discovery_watch.start()
        ready: list[tuple[RequestHandler, ClientGroup, configuration.Address]] = []
        if conf.listen is not None:
            platform = PlatformFrontend(self.lifecycle, conf.retry_after_us, conf.answer_margin_us)
            ready.append((platform, self.new_client_group(), conf.listen))
        if conf.object_api is not None:
            # A front that is back sooner is missed less: what only this one needs is loaded only for it.
            from umberlead.frontends.object_api.handler import ObjectApi
            from umberlead.frontends.object_api.uploads import UploadRegistry

            clients = self.new_client_group()
            object_config = conf.object_api
            ledger = UploadRegistry(
                conf.name,
                self.clock,
                object_config.max_uploads,
                object_config.max_parts,
                object_config.upload_idle_us,
            )
            objects = ObjectApi(object_config, self.lifecycle, ledger, clients, conf.retry_after_us, self.log)
            ready.append((objects, clients, object_config.listen))
        self.handlers = [handler for handler, _, _ in ready]
        if conf.admin_listen is not None:
            admin_clients = ClientGroup(
                0, self.clock, self.counters, conf.client_idle_timeout_us, 0, self.log.error
            )
            control = AdminApi(
                self.lifecycle,
                lambda: bool(self.listeners) and not self.stop_requested,
                self.set_manual_drain,
                self.knows_endpoint,
            )
            control.watched_lists, control.zones = self.watched_lists, self.zones
            listener = Listener(control, admin_clients, conf.admin_listen, self.loop)
            self.admin_listeners.append((listener, admin_clients))
            self.log.info("door", address=":".join(map(str, listener.address)))
        if conf.zones is not None and conf.zones.gossip is not None:
            await self.start_gossip(conf.zones.gossip)
        self.sync_shared_state()
        self.apply_limits()
        self.wheel.call_after(QUOTA_UPDATE_INTERVAL_US, self.update_quota_periodically)
        record_stage("parts")
        if self.discovery_watch is not None and self.discovery_watch.expects_agent:
            # What the agent has counts as told from a process's first moment, and `known` may be old.
            # The wait's end is on the wheel, as all deadlines are.
            timeout = self.wheel.call_after(
                int(FIRST_LIST_TIMEOUT_SECONDS * 1e6), self.discovery_watch.first_list_received.set
            )
            await self.discovery_watch.first_list_received.wait()
            timeout.cancel()
        record_stage("list")
        await self.wait_for_quota()
        if self.stop_requested:  # before anything was taken
            return
        for handler, clients, address in ready:
            self.listen(handler, clients, address)
        limit_counts = {
            "descriptors": granted_descriptors(conf.max_descriptors),
            "nodes": self.pool.max_connections,
        }
        limit_counts["clients"] = sum(clients.max_connections for clients in self.client_groups)
        self.log.info("limits", cores=conf.cores, memory_mb=conf.memory_limit_bytes >> 20, **limit_counts)
        self.sweep()
        self.wheel.call_after(REPORT_INTERVAL_US, self.log_counters_periodically)
        # Most of what a request leaves is freed by count: cycles are few, and looked for less often the more
        # memory there is for them.
        gc.set_threshold(
            max(700, min(10_000, (conf.memory_limit_bytes - self.resources_in_use[1]) // 4096)), 20, 20
        )
        gc.collect()
        gc.freeze()  # what the start made stays: later collections pass it by
        record_stage("listeners")
        self.log.info("started", cpu=time.process_time_ns() // 1000, **stage_durations())
        await self.done.wait()

    async def wait_for_quota(self) -> None:
        """Beside another process: until that has let go of places. Clients taken sooner would find none."""
        timeout = self.wheel.call_after(FIRST_QUOTA_TIMEOUT_US, self.descriptor_quota.settled.set)
        await self.descriptor_quota.settled.wait()
        timeout.cancel()

    async def start_gossip(self, gossip_config: configuration.GossipConfig) -> None:
        """What is held of rooms goes to other fronts, and theirs comes here: only where it is configured."""
        from umberlead.gossip.messages import GossipKeysError
        from umberlead.gossip.udp_transport import start_gossip

        try:
            self.gossip = await start_gossip(
                gossip_config, self.config.name, self.config.seed ^ os.getpid(), self.zones, self.clock
            )
        except GossipKeysError as error:
            raise configuration.ConfigError("rooms.peers.keys", str(error)) from None
        self.log.info("peers", address=self.gossip[0].gossip.address)

    def sweep(self) -> None:
        self._observe_wall_clock()
        self.sync_shared_state()
        if self.zones is not None:
            self.zones.tick()
        self.pool.close_expired()
        for clients in [*self.client_groups, *(admin_clients for _, admin_clients in self.admin_listeners)]:
            clients.close_expired()
        for listener in [*self.listeners, *(listener for listener, _ in self.admin_listeners)]:
            listener.resume()
        is_leaving = self.stopping or not any(
            listener.is_open or listener.accepting_count for listener in self.listeners
        )
        if (
            is_leaving
            and not len(self.lifecycle.open_requests)
            and not any(len(clients.slots) for clients in self.client_groups)
        ):
            self.done.set()
        self.wheel.call_after(SWEEP_INTERVAL_US, self.sweep)

    def reload(self) -> None:
        """SIGHUP: the file is read and checked whole. What can't be used leaves all as it was. It is taken
        while the front stops, too: what it still sends must know who drains."""
        self.counters.add("reloads")
        try:
            with self.reserved_descriptor.lent():  # an operator's word is not lost for want of a descriptor
                new_config = configuration.load()
        except configuration.ConfigError as error:
            self.counters.add("reloads_refused")
            self.log.error("reload_refused", key=error.key, why=str(error))
            return
        applied, at_next_start = configuration.changed_fields(self.config, new_config)
        self.config = replace(self.config, **{name: getattr(new_config, name) for name in applied})
        self.apply_limits()
        if self.watched_lists is not None:
            self.watched_lists.request_load()
        if self.discovery_watch is not None and new_config.discovery is not None:
            self.discovery_watch.change_address(new_config.discovery)
        elif "discovery" in applied:
            at_next_start.append("discovery")
        self.log.info("reloaded", applied=",".join(applied), at_next_start=",".join(at_next_start))

    def stop(self) -> None:
        """SIGTERM: clients keep coming for a moment, those that are here are served on for as long as the
        time to answer them allows, and all that is taken is answered."""
        if self.stop_requested:
            return
        self.stop_requested = True
        self.log.info("stopping", open=len(self.lifecycle.open_requests))
        self.shared_state.announce_leaving()
        if self.listeners:  # it has less of what the volumes may have from here on
            self.sync_shared_state()
        for listener in self.listeners:
            listener.disable_deferred_accept()
        for clients in self.client_groups:
            # What is closed here comes back to the other process.
            clients.close_after_response = self.process_count > 1
            clients.stopping = True
        max_timeout_us = max(request_class.timeout_us for request_class in self.config.settings.classes)
        kill_delay_us = min(max_timeout_us, MAX_KILL_DELAY_US) + KILL_DELAY_MARGIN_US
        self.wheel.call_after(ACCEPT_AFTER_SIGTERM_US, self.stop_accepting)
        self.wheel.call_after(
            max(kill_delay_us - DRAIN_BEFORE_KILL_US, ACCEPT_AFTER_SIGTERM_US), self.drain_connections
        )
        self.wheel.call_after(kill_delay_us - FINISH_BEFORE_KILL_US, self.answer_open_requests)

    def stop_accepting(self) -> None:
        for listener in self.listeners:
            if listener.is_open:
                self.counters.add("listeners_closed")
                listener.close()

    def drain_connections(self) -> None:
        self.stop_accepting()
        self.stopping = True
        for clients in self.client_groups:
            clients.drain()

    def answer_open_requests(self) -> None:
        """Nobody waits for us any longer: what is still open is answered now."""
        for clients in self.client_groups:
            clients.reject_new_requests()
        self.lifecycle.finish()
        self.wheel.call_after(SWEEP_INTERVAL_US, self.done.set)  # clients that never read or leave

    def log_counters(self) -> None:
        self.log.info("counters", open=len(self.lifecycle.open_requests), **self.counters.report())

    def log_counters_periodically(self) -> None:
        self.log_counters()
        self.wheel.call_after(REPORT_INTERVAL_US, self.log_counters_periodically)

    def release_resources(self) -> None:
        if self.discovery_watch is not None:
            self.discovery_watch.close()
        if self.watched_lists is not None:
            self.watched_lists.close()
        if self.gossip is not None:
            self.gossip[1].cancel()
            if self.gossip[0].transport is not None:
                self.gossip[0].transport.close()
        self.pool.close()
        for clients in self.client_groups:
            clients.close()
        for listener, _ in self.admin_listeners:
            listener.close()
        self.shared_state.deregister()
        self.reserved_descriptor.close()
        self.log_counters()
        self.syslog.close()


def serve(conf: configuration.Config) -> None:
    """Run a front to its end. ConfigError where its files can't be used, OSError where it can't listen."""

    async def run() -> None:
        front = FrontProcess(conf, asyncio.get_running_loop())
        front.loop.set_exception_handler(lambda _, told: _unexpected(front, told))
        try:
            await front.run()
        finally:
            front.release_resources()
            # A signal that crosses the end must not turn it into a crash: blocked while defaults come back.
            signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM, signal.SIGUSR1))

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())


def _unexpected(front: FrontProcess, context: dict[str, Any]) -> None:
    front.counters.add("unexpected_errors")
    error = context.get("exception")
    front.log.error("unexpected_error", what=str(context.get("message")), why=repr(error), pid=os.getpid())
