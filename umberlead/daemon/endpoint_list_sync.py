"""Passes endpoint lists from discovery to the scheduler and the connection pool, or to the watched lists."""

import time
from dataclasses import replace

from umberlead import configuration
from umberlead.daemon.assembly import ProcessComponents
from umberlead.scheduling.events import EndpointList, EndpointStatus


class EndpointListSync:
    """Applies the endpoint lists of discovery to the components of a process."""

    def __init__(self, components: ProcessComponents) -> None:
        """Start without endpoints."""
        self._components = components

    def start_watched_lists(self) -> None:
        """Start the watched lists, which replace those of discovery, if the configuration has any."""
        list_config = self._components.config.watched_lists
        if list_config is not None:
            from umberlead.membership.integration import start_watched_lists

            self._components.watched_lists = start_watched_lists(list_config, self._components)

    def apply_discovery_message(self, message: configuration.DiscoveryMessage, is_new: bool = True) -> None:
        """Apply a complete endpoint list or a list of changes.

        Args:
            message: The list or the changes.
            is_new: False for the endpoints that the configuration itself lists.
        """
        components = self._components
        message = self._with_local_start_times(message)
        if is_new:
            components.start_times.record_list()
        if components.watched_lists is not None:
            from umberlead.membership.integration import endpoint_from_discovery

            endpoints = [endpoint_from_discovery(listed) for listed in message.endpoints]
            components.watched_lists.apply_discovery(message.complete, endpoints)
            return
        addresses = components.pool.addresses
        if message.complete:
            addresses.clear()
        for listed in message.endpoints:
            name = listed.endpoint.name
            if listed.endpoint.status is EndpointStatus.GONE:
                # Otherwise addresses would accumulate when lists repeatedly replace all endpoints.
                addresses.pop(name, None)
            elif listed.address is not None:
                addresses[name] = listed.address
        endpoints_in_list = tuple(listed.endpoint for listed in message.endpoints)
        components.lifecycle.apply_endpoint_list(EndpointList(message.complete, endpoints_in_list))

    def _with_local_start_times(
        self, message: configuration.DiscoveryMessage
    ) -> configuration.DiscoveryMessage:
        """Return the message with start times on this process's clock, because the wall clock may step."""
        self.observe_wall_clock()
        return replace(message, endpoints=tuple(map(self._with_local_start_time, message.endpoints)))

    def _with_local_start_time(self, listed: configuration.ListedEndpoint) -> configuration.ListedEndpoint:
        endpoint = listed.endpoint
        if not endpoint.started_us:
            return listed
        now_us = self._components.clock()
        started_us = self._components.start_times.to_local_clock(endpoint.name, endpoint.started_us, now_us)
        return replace(listed, endpoint=replace(endpoint, started_us=started_us))

    def observe_wall_clock(self) -> None:
        """Check whether the wall clock has stepped; if so, store the new clock offset and log it."""
        components = self._components
        if components.start_times.observe(components.clock(), time.time_ns() // 1000):
            components.shared_state.clock_anchors.add(time.time_ns() // 1000 - time.monotonic_ns() // 1000)
            components.counters.add("wall_clock_steps")
            components.log.warning("wall_clock_stepped")

    def knows_endpoint(self, endpoint: str) -> bool:
        """Return whether the current endpoint list has an endpoint of that name."""
        components = self._components
        if components.watched_lists is not None:
            return components.watched_lists.membership.knows_endpoint(endpoint)
        return components.lifecycle.knows_endpoint(endpoint)
