"""One process of a front: start, periodic work, reload and exit."""

import asyncio
import gc
import signal
from collections.abc import Callable, Sequence
from dataclasses import replace
from functools import partial

import uvloop

from umberlead import configuration
from umberlead.daemon.assembly import ProcessComponents
from umberlead.daemon.endpoint_list_sync import EndpointListSync
from umberlead.daemon.frontends import FrontendAssembly
from umberlead.daemon.gossip_start import GossipStart
from umberlead.daemon.limits import QUOTA_UPDATE_INTERVAL_US, LimitControl
from umberlead.daemon.reporting import REPORT_INTERVAL_US, SWEEP_INTERVAL_US, Reporting
from umberlead.daemon.shared_state_sync import SharedStateSync
from umberlead.daemon.shutdown import GracefulShutdown
from umberlead.daemon.start_stages import StartStages, monotonic_us
from umberlead.net.discovery import DiscoveryWatch
from umberlead.resource_limits import LOCAL_RESOURCE_ERRNOS

# How long a starting process waits for the first endpoint list from discovery. After that, discovery is
# assumed to be down and the configured list is used.
FIRST_LIST_TIMEOUT_US = 400_000
LISTEN_RETRY_SECONDS = 0.05
LISTEN_RETRIES_COUNT = 100
# Threshold for collecting Python's youngest garbage collection generation: one allocated object for each of
# this many bytes of free memory, within the two bounds below.
BYTES_PER_COLLECTION_THRESHOLD_UNITS = 4096
MIN_COLLECTION_THRESHOLD = 700
MAX_COLLECTION_THRESHOLD = 10_000


class ListenError(OSError):
    """A listener can't be opened."""


class FrontProcess(ProcessComponents):
    """The components of one process and the tasks that run them.

    Attributes:
        limits: Applies the limits on descriptors, connections and memory.
        state_sync: Applies changes made by sibling processes and by operators.
        endpoint_list_sync: Applies the endpoint lists of discovery.
        frontends: Creates the frontends and opens their listeners.
        gossip_start: Starts and ends gossip.
        shutdown: The graceful shutdown.
        reporting: Logs the counters.
    """

    def __init__(
        self,
        config: configuration.Config,
        loop: asyncio.AbstractEventLoop,
        stages: StartStages | None = None,
        early_reload_signals: Sequence[int] = (),
    ) -> None:
        """Create the components without starting them.

        Args:
            config: The configuration.
            loop: The event loop of the process.
            stages: The stages of the start so far; None begins them now.
            early_reload_signals: The SIGHUP signals received before this process installed its handler.

        Raises:
            ConfigError: A file named in the configuration cannot be used.
        """
        super().__init__(config, loop)
        self.limits = LimitControl(self)
        self.state_sync = SharedStateSync(self, self.limits)
        self.endpoint_list_sync = EndpointListSync(self)
        self.frontends = FrontendAssembly(self, self.limits)
        self.gossip_start = GossipStart(self)
        self.shutdown = GracefulShutdown(self, self.state_sync, self.gossip_start)
        self.reporting = Reporting(self)
        self._sweep_parts: dict[str, Callable[[], None]] = {}
        self._stages = stages or StartStages(monotonic_us())
        self._early_reload_signals = early_reload_signals

    # Start

    async def run(self) -> None:
        """Start all components and run until the graceful shutdown has ended.

        Raises:
            ConfigError: A file named in the configuration cannot be used.
            ListenError: A listener cannot be opened.
        """
        self._handle_signals()
        self._start_endpoint_lists()
        frontends = self.frontends.create_all()
        await self._listen_when_possible(
            partial(
                self.frontends.listen_admin_api,
                self._is_ready,
                self.state_sync.set_manual_drain,
                self.endpoint_list_sync.knows_endpoint,
            )
        )
        await self.gossip_start.start()
        self.state_sync.sync()
        self.limits.apply()
        self.supervisor.call_periodically(
            self.wheel, QUOTA_UPDATE_INTERVAL_US, "quota_update", self.limits.update_quota_if_shared
        )
        self._stages.record("parts")
        await self._wait_for_first_list()
        self._stages.record("list")
        await self.limits.wait_for_quota()
        if self.shutdown.stop_requested:  # before any client was accepted
            return
        for frontend in frontends:
            await self._listen_when_possible(partial(self.frontends.listen, frontend))
        if not self.listeners:  # SIGTERM was received while the listeners were opened
            return
        self.reporting.log_limits()
        self._sweep_parts = self._new_sweep_parts()
        self.sweep()
        self.supervisor.call_periodically(self.wheel, SWEEP_INTERVAL_US, "sweep", self.sweep)
        self.supervisor.call_periodically(
            self.wheel, REPORT_INTERVAL_US, "counters_report", self.reporting.log_counters
        )
        self._set_up_garbage_collection()
        self._stages.record("listeners")
        self.reporting.log_start(self._stages)
        await self.done.wait()

    async def _listen_when_possible(self, listen: Callable[[], None]) -> None:
        """Open a listener, and retry while the system lacks a resource for it and no shutdown has begun.

        Raises:
            ListenError: The listener cannot be opened, or the resource is still missing at the last retry.
        """
        for retries_left in reversed(range(LISTEN_RETRIES_COUNT + 1)):
            if self.shutdown.stop_requested:
                return
            try:
                listen()
                return
            except OSError as error:
                if error.errno not in LOCAL_RESOURCE_ERRNOS or not retries_left:
                    raise ListenError(*error.args) from error
                self.counters.add("listens_failed")
            await asyncio.sleep(LISTEN_RETRY_SECONDS)

    def _handle_signals(self) -> None:
        self.loop.add_signal_handler(signal.SIGTERM, self.shutdown.start)
        self.loop.add_signal_handler(signal.SIGINT, self.shutdown.start)
        self.loop.add_signal_handler(signal.SIGUSR1, self.reporting.log_counters)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        if self._early_reload_signals:  # received while the configuration was read or later
            self.loop.call_soon(self.reload)

    def _start_endpoint_lists(self) -> None:
        config = self.config
        self.endpoint_list_sync.start_watched_lists()
        self.endpoint_list_sync.apply_discovery_message(config.known_endpoints, is_new=False)
        if config.discovery is None:
            return
        self.discovery_watch = DiscoveryWatch(
            config.discovery,
            config.known_endpoints,
            self.loop,
            self.wheel,
            self.clock,
            self.counters,
            self.log.warning,
            self.endpoint_list_sync.apply_discovery_message,
            config.settings.front_count,
            not config.settings.polls_endpoint_list,
            self.shared_state.found_agent_before(),
            self.shared_state.record_agent,
        )
        self.discovery_watch.start()

    def _is_ready(self) -> bool:
        return bool(self.listeners) and not self.shutdown.stop_requested

    async def _wait_for_first_list(self) -> None:
        """Wait for the endpoint list of a discovery agent, so that it applies to the first request."""
        if self.discovery_watch is None or not self.discovery_watch.expects_agent:
            return
        received = self.discovery_watch.first_list_received
        timeout = self.wheel.call_after(FIRST_LIST_TIMEOUT_US, received.set)
        await received.wait()
        timeout.cancel()

    def _set_up_garbage_collection(self) -> None:
        """Collect reference cycles less often the more memory is free: requests leave few cycles."""
        free_bytes = self.config.memory_limit_bytes - self.memory_in_use_bytes
        threshold = min(MAX_COLLECTION_THRESHOLD, free_bytes // BYTES_PER_COLLECTION_THRESHOLD_UNITS)
        gc.set_threshold(max(MIN_COLLECTION_THRESHOLD, threshold), 20, 20)
        gc.collect()
        gc.freeze()  # objects created so far live as long as the process: later collections skip them

    # Run

    def sweep(self) -> None:
        """Do one round of the periodic work; each part is done even if another one fails."""
        self.reporting.sweep_lateness.record_call(self.clock())
        for name, part in self._sweep_parts.items():
            self.supervisor.call(name, part)

    def _new_sweep_parts(self) -> dict[str, Callable[[], None]]:
        """Return the parts of the periodic work by the names under which their failures are counted."""
        parts = {"wall_clock": self.endpoint_list_sync.observe_wall_clock, "state_sync": self.state_sync.sync}
        if self.watched_lists is not None:
            parts["list_progress"] = self.watched_lists.check_progress
        if self.discovery_watch is not None:
            parts["discovery_watch"] = self.discovery_watch.restore_timers
        if self.zones is not None:
            parts["zone_health"] = self.zones.tick
        parts["endpoint_connections"] = self.pool.close_expired
        parts["client_connections"] = self._close_expired_clients
        parts["listeners"] = self._resume_listeners
        parts["shutdown"] = self.shutdown.end_if_idle
        return parts

    def _close_expired_clients(self) -> None:
        for clients in [*self.client_groups, *(admin_clients for _, admin_clients in self.admin_listeners)]:
            clients.close_expired()

    def _resume_listeners(self) -> None:
        for listener in [*self.listeners, *(admin_listener for admin_listener, _ in self.admin_listeners)]:
            listener.resume()

    def reload(self) -> None:
        """Reload the configuration (SIGHUP); a configuration with an error changes nothing.

        A reload is also done during the shutdown: requests that are still being sent must respect the current
        drains.
        """
        self.counters.add("reloads")
        if self.watched_lists is not None:
            self.watched_lists.request_load()  # also if the configuration can't be used
        try:
            with self.reserved_descriptor.lent():  # a reload must not fail because no descriptor is free
                new_config = configuration.load()
        except configuration.ConfigError as error:
            self.counters.add("reloads_refused")
            self.log.error("reload_rejected", key=error.key, why=str(error))
            return
        applied, at_next_start = configuration.changed_fields(self.config, new_config)
        self.config = replace(self.config, **{name: getattr(new_config, name) for name in applied})
        self.limits.apply()
        if self.discovery_watch is not None and new_config.discovery is not None:
            self.discovery_watch.change_address(new_config.discovery)
        elif "discovery" in applied:
            at_next_start.append("discovery")
        self.log.info("reloaded", applied=",".join(applied), at_next_start=",".join(at_next_start))

    # End

    def release_resources(self) -> None:
        """Close all connections, listeners and files, and log the counters a last time.

        No step depends on the success of another.
        """
        steps: list[Callable[[], None]] = []
        if self.discovery_watch is not None:
            steps.append(self.discovery_watch.close)
        if self.watched_lists is not None:
            steps.append(self.watched_lists.close)
        steps += [self.gossip_start.close, self.pool.close]
        steps += [clients.close for clients in self.client_groups]
        steps += [listener.close for listener, _ in self.admin_listeners]
        steps += [self.shared_state.deregister, self.reserved_descriptor.close, self.reporting.log_counters]
        for step in steps:
            self.supervisor.call("release_resources", step)
        self.syslog.close()


def serve(config: configuration.Config, stages: StartStages, early_reload_signals: Sequence[int]) -> None:
    """Run a process of a front until it exits.

    Raises:
        ConfigError: A file named in the configuration cannot be used.
        ListenError: A listener cannot be opened.
    """

    async def run() -> None:
        front = FrontProcess(config, asyncio.get_running_loop(), stages, early_reload_signals)
        front.supervisor.report_failed_threads()
        front.loop.set_exception_handler(lambda _, context: front.reporting.log_unexpected_error(context))
        try:
            await front.run()
        finally:
            front.release_resources()
            # Closing the event loop restores the default signal handlers. Signals are blocked before that, so
            # that a late signal does not end the process as if it had crashed.
            signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM, signal.SIGUSR1))

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())
