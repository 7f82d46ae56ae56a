"""The graceful shutdown of a process: it answers all accepted requests before SIGKILL."""

from collections.abc import Callable

from umberlead.daemon.assembly import ProcessComponents
from umberlead.daemon.gossip_start import GossipStart
from umberlead.daemon.shared_state_sync import SharedStateSync

ACCEPT_AFTER_SIGTERM_US = 550_000  # new connections are still accepted during this time
# SIGKILL follows SIGTERM after the longest timeout of a request class, limited to 3 s, plus 0.7 s.
MAX_KILL_DELAY_US = 3_000_000
KILL_DELAY_MARGIN_US = 700_000
# How long before SIGKILL connections are drained and open requests are answered.
DRAIN_BEFORE_KILL_US = 400_000
FINISH_BEFORE_KILL_US = 200_000
LAST_WRITES_US = 50_000  # time for the last answers; bounds clients that never read or never disconnect
# This leaves 0.15 s for the process to exit, which is how long a busy machine may delay it.


class GracefulShutdown:
    """Runs the steps between SIGTERM and the exit of the process.

    Attributes:
        stop_requested: Whether SIGTERM was received.
        is_draining: Whether connections are closed as soon as they are idle.
    """

    def __init__(
        self, components: ProcessComponents, state_sync: SharedStateSync, gossip_start: GossipStart
    ) -> None:
        """Start with no shutdown requested."""
        self._components = components
        self._state_sync = state_sync
        self._gossip_start = gossip_start
        self.stop_requested = False
        self.is_draining = False

    def start(self) -> None:
        """Begin the shutdown (SIGTERM).

        New connections are accepted for `ACCEPT_AFTER_SIGTERM_US`, connections are served while there is time
        to answer their requests, and all accepted requests are answered.
        """
        if self.stop_requested:
            return
        components = self._components
        self.stop_requested = True
        self._schedule_steps()
        components.pool.buffers_responses = True
        components.log.info("stopping", open=len(components.lifecycle.open_requests))
        steps: list[Callable[[], None]] = [components.shared_state.announce_leaving, self._gossip_start.close]
        if components.listeners:  # from now on its share of the volumes' limits is smaller
            steps.append(self._state_sync.sync)
        steps += [listener.disable_deferred_accept for listener in components.listeners]
        for step in steps:
            components.supervisor.call("shutdown_start", step)
        for clients in components.client_groups:
            # A client whose connection is closed here reconnects to the other process.
            clients.close_after_response = components.process_count > 1
            clients.stopping = True

    def _schedule_steps(self) -> None:
        """Schedule the later steps, whose times count from SIGTERM."""
        components = self._components
        max_timeout_us = max(request_class.timeout_us for request_class in components.config.settings.classes)
        kill_delay_us = min(max_timeout_us, MAX_KILL_DELAY_US) + KILL_DELAY_MARGIN_US
        drain_delay_us = max(kill_delay_us - DRAIN_BEFORE_KILL_US, ACCEPT_AFTER_SIGTERM_US)
        components.wheel.call_after(ACCEPT_AFTER_SIGTERM_US, self.stop_accepting)
        components.wheel.call_after(drain_delay_us, self.drain_connections)
        components.wheel.call_after(kill_delay_us - FINISH_BEFORE_KILL_US, self.answer_open_requests)

    def stop_accepting(self) -> None:
        """Close the listeners of clients."""
        for listener in self._components.listeners:
            if listener.is_open:
                self._components.counters.add("listeners_closed")
                listener.close()

    def drain_connections(self) -> None:
        """Close idle connections now, and the other connections after their responses."""
        self.stop_accepting()
        self.is_draining = True
        for clients in self._components.client_groups:
            clients.drain()

    def answer_open_requests(self) -> None:
        """Answer all requests that are still open, because their clients would otherwise get no answer."""
        try:
            for clients in self._components.client_groups:
                clients.reject_new_requests()
            self._components.lifecycle.shut_down()
        finally:  # the process has to end before SIGKILL
            self._components.wheel.call_after(LAST_WRITES_US, self._components.done.set)

    def end_if_idle(self) -> None:
        """End the process if it no longer accepts clients and has no clients and no open requests."""
        components = self._components
        is_accepting = any(listener.is_open or listener.accepting_count for listener in components.listeners)
        if is_accepting and not self.is_draining:
            return
        if not len(components.lifecycle.open_requests) and not any(
            len(clients.slots) for clients in components.client_groups
        ):
            components.done.set()
