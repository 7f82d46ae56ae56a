"""One process of a front, from its assembly to its last answer."""

import asyncio
import gc
import os
import signal
from collections.abc import Callable, Sequence
from dataclasses import replace
from functools import partial

import uvloop

from umberlead import configuration
from umberlead.daemon.assembly import ProcessComponents
from umberlead.daemon.endpoint_list_sync import EndpointListSync
from umberlead.daemon.frontends import FrontendAssembly
from umberlead.daemon.limits import QUOTA_UPDATE_INTERVAL_US, LimitControl
from umberlead.daemon.reporting import REPORT_INTERVAL_US, Reporting
from umberlead.daemon.shared_state_sync import SharedStateSync
from umberlead.daemon.shutdown import GracefulShutdown
from umberlead.daemon.start_stages import StartStages, monotonic_us
from umberlead.net.discovery import DiscoveryWatch
from umberlead.resource_limits import LOCAL_RESOURCE_ERRNOS

# How long a start waits for discovery's list; after that discovery is taken for down, and the configured list
# used.
FIRST_LIST_TIMEOUT_US = 400_000
SWEEP_INTERVAL_US = 100_000
LISTEN_RETRY_SECONDS = 0.05
LISTEN_RETRIES_COUNT = 100
# Garbage collections of the first generation: one for so many bytes of free memory, within these bounds.
BYTES_PER_COLLECTION_THRESHOLD_UNITS = 4096
MIN_COLLECTION_THRESHOLD = 700
MAX_COLLECTION_THRESHOLD = 10_000


class FrontProcess(ProcessComponents):
    """The components of one process with the tasks that run them.

    Attributes:
        limits: Applies limits of descriptors, connections and memory.
        state_sync: Applies what sibling processes and operators change.
        endpoint_list_sync: Applies what discovery says.
        frontends: Creates the frontends.
        shutdown: The graceful shutdown.
        reporting: Logs the counters.
    """

    def __init__(
        self,
        conf: configuration.Config,
        loop: asyncio.AbstractEventLoop,
        stages: StartStages | None = None,
        early_reload_signals: Sequence[int] = (),
    ) -> None:
        """Assemble a process that does not run yet.

        Args:
            conf: The configuration.
            loop: The event loop that it will run in.
            stages: The stages of the start so far.
            early_reload_signals: SIGHUPs that were received before this process could handle them.

        Raises:
            ConfigError: A file that the configuration names can't be used.
        """
        super().__init__(conf, loop)
        self.limits = LimitControl(self)
        self.state_sync = SharedStateSync(self, self.limits)
        self.endpoint_list_sync = EndpointListSync(self)
        self.frontends = FrontendAssembly(self, self.limits)
        self.shutdown = GracefulShutdown(self, self.state_sync)
        self.reporting = Reporting(self)
        self._stages = stages or StartStages(monotonic_us())
        self._early_reload_signals = early_reload_signals

    # Start

    async def run(self) -> None:
        """Start all components and run until the shutdown is over.

        Raises:
            ConfigError: A file that the configuration names can't be used.
            OSError: An address can't be listened at.
        """
        self._handle_signals()
        self._start_endpoint_lists()
        frontends = self.frontends.create_all()
        await self._listen_when_possible(
            partial(
                self.frontends.listen_for_admins,
                self._is_ready,
                self.state_sync.set_manual_drain,
                self.endpoint_list_sync.knows_endpoint,
            )
        )
        await self._start_gossip()
        self.state_sync.sync()
        self.limits.apply()
        self.wheel.call_after(QUOTA_UPDATE_INTERVAL_US, self.limits.update_quota_periodically)
        self._stages.record("parts")
        await self._wait_for_first_list()
        self._stages.record("list")
        await self.limits.wait_for_quota()
        if self.shutdown.stop_requested:  # before any client was accepted
            return
        for frontend in frontends:
            await self._listen_when_possible(partial(self.frontends.listen, frontend))
        if not self.listeners:  # told to end meanwhile
            return
        self.reporting.log_limits()
        self.sweep()
        self.wheel.call_after(REPORT_INTERVAL_US, self.reporting.log_counters_periodically)
        self._set_up_garbage_collection()
        self._stages.record("listeners")
        self.reporting.log_start(self._stages)
        await self.done.wait()

    async def _listen_when_possible(self, listen: Callable[[], None]) -> None:
        """Listen; where the system lacks a resource for it now, try again, until the process is to end.

        Raises:
            OSError: An address can't be listened at, or the lack lasts.
        """
        for _ in range(LISTEN_RETRIES_COUNT):
            if self.shutdown.stop_requested:
                return
            try:
                listen()
                return
            except OSError as error:
                if error.errno not in LOCAL_RESOURCE_ERRNOS:
                    raise
                self.counters.add("listens_failed")
            await asyncio.sleep(LISTEN_RETRY_SECONDS)
        listen()

    def _handle_signals(self) -> None:
        self.loop.add_signal_handler(signal.SIGTERM, self.shutdown.start)
        self.loop.add_signal_handler(signal.SIGINT, self.shutdown.start)
        self.loop.add_signal_handler(signal.SIGUSR1, self.reporting.log_counters)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        if self._early_reload_signals:  # received while the configuration was read, or after that
            self.loop.call_soon(self.reload)

    def _start_endpoint_lists(self) -> None:
        conf = self.config
        self.endpoint_list_sync.start_watched_lists()
        self.endpoint_list_sync.apply_discovery_message(conf.known_endpoints, is_new=False)
        if conf.discovery is None:
            return
        self.discovery_watch = DiscoveryWatch(
            conf.discovery,
            conf.known_endpoints,
            self.loop,
            self.wheel,
            self.clock,
            self.counters,
            self.log.warning,
            self.endpoint_list_sync.apply_discovery_message,
            conf.settings.front_count,
            not conf.settings.polls_endpoint_list,
            self.shared_state.found_agent_before(),
            self.shared_state.record_agent,
        )
        self.discovery_watch.start()

    def _is_ready(self) -> bool:
        return bool(self.listeners) and not self.shutdown.stop_requested

    async def _start_gossip(self) -> None:
        """Exchange what is known of zones with other fronts, where the configuration has gossip."""
        if self.zones is None or self.config.zones is None or self.config.zones.gossip is None:
            return
        from umberlead.gossip.messages import GossipKeysError
        from umberlead.gossip.udp_transport import start_gossip

        seed = self.config.seed ^ os.getpid()
        try:
            self.gossip = await start_gossip(
                self.config.zones.gossip,
                self.config.name,
                seed,
                self.zones.router.zone_health,
                self.clock,
            )
        except GossipKeysError as error:
            raise configuration.ConfigError("rooms.peers.keys", str(error)) from None
        self.log.info("gossip_started", address=self.gossip.address)

    async def _wait_for_first_list(self) -> None:
        """Wait for the list of a discovery agent: what that knows applies from a process's first moment."""
        if self.discovery_watch is None or not self.discovery_watch.expects_agent:
            return
        received = self.discovery_watch.first_list_received
        timeout = self.wheel.call_after(FIRST_LIST_TIMEOUT_US, received.set)
        await received.wait()
        timeout.cancel()

    def _set_up_garbage_collection(self) -> None:
        """Collect cycles the less often, the more memory is free: requests leave few of them."""
        free_bytes = self.config.memory_limit_bytes - self.memory_in_use_bytes
        threshold = min(MAX_COLLECTION_THRESHOLD, free_bytes // BYTES_PER_COLLECTION_THRESHOLD_UNITS)
        gc.set_threshold(max(MIN_COLLECTION_THRESHOLD, threshold), 20, 20)
        gc.collect()
        gc.freeze()  # the objects of the start stay: later collections pass them by

    # Run

    def sweep(self) -> None:
        """Do what is due periodically, each `SWEEP_INTERVAL_US`."""
        self.endpoint_list_sync.observe_wall_clock()
        self.state_sync.sync()
        if self.zones is not None:
            self.zones.tick()
        self.pool.close_expired()
        for clients in [*self.client_groups, *(admin_clients for _, admin_clients in self.admin_listeners)]:
            clients.close_expired()
        for listener in [*self.listeners, *(admin_listener for admin_listener, _ in self.admin_listeners)]:
            listener.resume()
        self.shutdown.end_if_idle()
        self.wheel.call_after(SWEEP_INTERVAL_US, self.sweep)

    def reload(self) -> None:
        """Read the configuration anew (SIGHUP); one that can't be used leaves all as it was.

        That is done during the shutdown, too: requests that are still sent must go by current drains.
        """
        self.counters.add("reloads")
        try:
            with self.reserved_descriptor.lent():  # a reload must not fail for want of a descriptor
                new_config = configuration.load()
        except configuration.ConfigError as error:
            self.counters.add("reloads_refused")
            self.log.error("reload_rejected", key=error.key, why=str(error))
            return
        applied, at_next_start = configuration.changed_fields(self.config, new_config)
        self.config = replace(self.config, **{name: getattr(new_config, name) for name in applied})
        self.limits.apply()
        if self.watched_lists is not None:
            self.watched_lists.request_load()
        if self.discovery_watch is not None and new_config.discovery is not None:
            self.discovery_watch.change_address(new_config.discovery)
        elif "discovery" in applied:
            at_next_start.append("discovery")
        self.log.info("reloaded", applied=",".join(applied), at_next_start=",".join(at_next_start))

    # End

    def release_resources(self) -> None:
        """Close all that is open, and log the counters a last time."""
        if self.discovery_watch is not None:
            self.discovery_watch.close()
        if self.watched_lists is not None:
            self.watched_lists.close()
        if self.gossip is not None:
            self.gossip.close()
        self.pool.close()
        for clients in self.client_groups:
            clients.close()
        for listener, _ in self.admin_listeners:
            listener.close()
        self.shared_state.deregister()
        self.reserved_descriptor.close()
        self.reporting.log_counters()
        self.syslog.close()


def serve(conf: configuration.Config, stages: StartStages, early_reload_signals: Sequence[int]) -> None:
    """Run a front's process to its end.

    Raises:
        ConfigError: A file that the configuration names can't be used.
        OSError: An address can't be listened at.
    """

    async def run() -> None:
        front = FrontProcess(conf, asyncio.get_running_loop(), stages, early_reload_signals)
        front.loop.set_exception_handler(lambda _, context: front.reporting.log_unexpected_error(context))
        try:
            await front.run()
        finally:
            front.release_resources()
            # A signal at the very end must not end the process as if it crashed: blocked while defaults come
            # back.
            signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM, signal.SIGUSR1))

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())
