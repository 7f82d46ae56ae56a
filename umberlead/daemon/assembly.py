"""Creates the components of a process from its configuration, without starting them."""

import asyncio
import time
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from umberlead import configuration
from umberlead.common.counters import Counters
from umberlead.common.loop_alarm import call_after_us
from umberlead.common.sampled_log import SampledLog
from umberlead.common.supervision import Supervisor
from umberlead.common.timer_wheel import TimerWheel
from umberlead.handover.shared_state import SharedState
from umberlead.net.client_connections import ClientGroup
from umberlead.net.discovery import DiscoveryWatch
from umberlead.net.endpoint_pool import EndpointPool
from umberlead.net.listener import Listener
from umberlead.net.server_connection import RequestHandler
from umberlead.plugins import PluginHooks
from umberlead.recovery.start_times import STEP_US, StartTimes
from umberlead.requests.lifecycle import RequestLifecycle
from umberlead.resource_limits import ReservedDescriptor, descriptors_and_memory_in_use, descriptors_to_come
from umberlead.telemetry import SyslogWriter, make_logger

if TYPE_CHECKING:  # at run time imported only by fronts whose configuration enables them
    from umberlead.gossip.udp_transport import GossipService
    from umberlead.membership.service import WatchedListService
    from umberlead.zones.integration import ZoneIntegration

DEFAULT_CONNECT_TIMEOUT_US = 250_000
PLUGIN_MEMORY_DIVISOR = 4  # the part of the memory limit by which the process may grow in a call of a script
ENDPOINT_HOST = "service.internal"  # the Host header of requests to endpoints


def unix_anchored_clock() -> Callable[[], int]:
    """Return a monotonic clock that counts whole microseconds.

    Its offset is set once, to Unix time, so that it can be compared with the timestamps in endpoint lists.
    """
    anchor_ns = time.time_ns() - time.monotonic_ns()
    return lambda: (time.monotonic_ns() + anchor_ns) // 1000


class ProcessComponents:
    """The components of one process, shared by the tasks of the process.

    Attributes:
        config: The configuration in force; a reload replaces it.
        descriptors_in_use: File descriptors used for anything but connections, including those that are not
            open yet.
        memory_in_use_bytes: The memory in use before the first connection.
        trace: Logs individual decisions; None unless the log level is debug.
        event_log: Logs frequent events, of each at most a few lines per second.
        error_log: The same for errors of the program, which may occur at each request.
        supervisor: Runs the work that lasts as long as the process, and reports its failures.
        zones: The zone routing; None if the configuration has no zones.
        listeners: The listeners for clients, in the order of `client_groups` once all of them listen.
        client_groups: One group of client connections for each frontend.
        handlers: The request handlers of the frontends.
        admin_listeners: The listeners of the admin API with their clients; they stay open until the process
            exits.
        process_count: The number of running processes of this front, including this one.
        discovery_watch: The connection to discovery; None if the configuration has no discovery.
        watched_lists: The service of watched endpoint lists; None if the configuration has none.
        gossip: The gossip with other fronts; None if the configuration has none.
        done: Set when the process must exit.
    """

    def __init__(self, config: configuration.Config, loop: asyncio.AbstractEventLoop) -> None:
        """Assemble the components.

        Raises:
            ConfigError: A plugin cannot be used.
        """
        self.config = config
        self.loop = loop
        self.reserved_descriptor = ReservedDescriptor()
        descriptors, self.memory_in_use_bytes = descriptors_and_memory_in_use()
        self.descriptors_in_use = descriptors + descriptors_to_come(config)
        self.counters = Counters()
        self.syslog = SyslogWriter(config.log_collector, self.counters)
        self.log = make_logger(config.name, lambda: self.config.log_level, self.syslog)
        self.trace = self.log.debug if config.log_level == "debug" else None
        self.clock = unix_anchored_clock()
        self.event_log = SampledLog(self.log.info, self.clock)
        self.error_log = SampledLog(self.log.error, self.clock)
        self.supervisor = Supervisor(loop, self.clock, self.counters, self.log)
        self.wheel = TimerWheel(self.clock, partial(call_after_us, loop), config.tick_us)
        self.lifecycle = self._new_lifecycle()
        self.pool = self._new_pool()
        self.zones = self._new_zones()
        self.listeners: list[Listener] = []
        self.client_groups: list[ClientGroup] = []
        self.handlers: list[RequestHandler] = []
        self.admin_listeners: list[tuple[Listener, ClientGroup]] = []
        self.shared_state = SharedState(config.state_folder, shares_call_ids=True)
        self.lifecycle.open_requests.call_ids.shared = self.shared_state
        self.process_count = 1
        self.start_times = self._new_start_times()
        if self.shared_state.error:
            self.log.warning("state_folder_unusable", why=self.shared_state.error)
        self.discovery_watch: DiscoveryWatch | None = None
        self.watched_lists: WatchedListService | None = None
        self.gossip: GossipService | None = None
        self.done = asyncio.Event()

    def _new_lifecycle(self) -> RequestLifecycle:
        config = self.config
        settings = config.settings
        if config.zones is not None:
            from umberlead.zones.integration import with_retry_budget

            settings = with_retry_budget(settings, config.zones.retry_budget_ratio)
        hooks = PluginHooks(
            config.plugin_paths,
            config.plugin_timeout_us,
            self.counters,
            self.log.warning,
            self.trace,
            config.memory_limit_bytes // PLUGIN_MEMORY_DIVISOR,
        )
        lifecycle = RequestLifecycle(
            settings,
            config.seed,
            self.clock,
            self.wheel,
            self.loop.call_soon,
            self.counters,
            self.error_log,
            hooks if hooks.plugins or self.trace else None,
        )
        lifecycle.log_lines.trace = self.trace
        lifecycle.log_lines.events = self.event_log
        return lifecycle

    def _new_pool(self) -> EndpointPool:
        config = self.config
        pool = EndpointPool(
            self.lifecycle,
            self.loop,
            self.wheel,
            self.clock,
            self.counters,
            0,
            config.settings.connect_timeout_us or DEFAULT_CONNECT_TIMEOUT_US,
            config.keepalive_us,
            ENDPOINT_HOST,
            self.event_log,
        )
        self.lifecycle.transport = pool
        pool.write_denial = self.lifecycle.guard.may_write
        pool.on_write = self.lifecycle.invariants.check_written
        return pool

    def _new_zones(self) -> "ZoneIntegration | None":
        config = self.config
        if config.zones is None:
            return None
        from umberlead.zones.integration import integrate_zones

        return integrate_zones(config.zones, self.lifecycle, config.seed, self.clock, self.log.warning)

    def _new_start_times(self) -> StartTimes:
        """Return the start times of endpoints, converted with the clock offsets stored by this front."""
        anchor_us = self.clock() - time.monotonic_ns() // 1000
        clock_anchors = self.shared_state.clock_anchors
        anchors_us = clock_anchors.read()
        if all(abs(other_us - anchor_us) >= STEP_US for other_us in anchors_us):
            clock_anchors.add(anchor_us)
        return StartTimes([other_us - anchor_us for other_us in anchors_us])
