"""Limits descriptors, connections and memory by the configuration and the number of processes."""

from umberlead.daemon.assembly import ProcessComponents
from umberlead.handover.descriptor_quota import DescriptorQuota
from umberlead.net.endpoint_pool import IDLE_KEEPALIVE_RATIO
from umberlead.resource_limits import (
    MAX_BODY_BYTES,
    RESERVED_DESCRIPTORS_COUNT,
    Limits,
    divide_resources,
    granted_descriptors,
    with_surplus,
)

# Interval of the checks for other processes of this front, and of quota updates while one of them runs.
QUOTA_UPDATE_INTERVAL_US = 20_000
# How long a starting process waits for its quota; after that, the other process is assumed to hang.
FIRST_QUOTA_TIMEOUT_US = 200_000


class LimitControl:
    """Applies the limits to the components of a process."""

    def __init__(self, components: ProcessComponents) -> None:
        """Start with no connections allowed."""
        self._components = components
        self.descriptor_quota = DescriptorQuota(
            components.shared_state,
            components.pool,
            components.client_groups,
            components.admin_listeners,
            components.listeners,
            components.clock,
            self.update_quota,
        )

    def apply(self) -> None:
        """Apply all limits: at the start, on each reload, and when the number of processes changes."""
        components = self._components
        config = components.config
        # The processes of a front share its limits: each gets an equal part of descriptors and memory.
        limits = divide_resources(
            granted_descriptors(config.max_descriptors) // components.process_count,
            config.memory_limit_bytes // components.process_count,
            components.descriptors_in_use,
            components.memory_in_use_bytes,
            max(len(components.client_groups), 1),
        )
        components.pool.buffer_limit_bytes = limits.response_bytes
        components.pool.max_header_bytes = limits.max_header_bytes
        components.pool.max_response_bytes = limits.max_response_bytes
        components.pool.idle_timeout_us = int(config.keepalive_us * IDLE_KEEPALIVE_RATIO)
        components.lifecycle.open_requests.call_ids.max_ids_per_span = limits.remembered_call_ids
        components.syslog.max_queued_lines = limits.queued_log_lines
        if config.object_api is None:  # the object API opens several requests for one client connection
            components.lifecycle.set_open_limit(limits.open_requests)
        self._limit_clients(limits)
        for handler in components.handlers:
            handler.retry_after_us = config.retry_after_us
        self.update_quota()

    def _limit_clients(self, limits: Limits) -> None:
        components = self._components
        config = components.config
        for clients in components.client_groups:
            clients.idle_timeout_us = config.client_idle_timeout_us
            clients.buffer_limit_bytes = limits.request_body_bytes // len(components.client_groups)
            clients.max_header_bytes = limits.max_header_bytes
        for _, admin_clients in components.admin_listeners:
            admin_clients.buffer_limit_bytes = MAX_BODY_BYTES
            admin_clients.max_header_bytes = limits.max_header_bytes
        if config.object_api is not None:  # the configured limit applies if it is lower
            object_clients = components.client_groups[-1]
            object_clients.buffer_limit_bytes = min(
                object_clients.buffer_limit_bytes, config.object_api.memory_bytes
            )

    def update_quota(self) -> None:
        """Apply the connection limits.

        While another process of this front runs, the connections are divided by how many each process uses.
        """
        components = self._components
        max_descriptors = granted_descriptors(components.config.max_descriptors)
        limits = divide_resources(
            max_descriptors,
            0,
            components.descriptors_in_use,
            components.memory_in_use_bytes,
            max(len(components.client_groups), 1),
        )
        admin_quotas = [with_surplus(limits.admin_connections)] * len(components.admin_listeners)
        client_quotas = [with_surplus(limits.client_connections)] * len(components.client_groups)
        self.descriptor_quota.update(
            max_descriptors,
            components.descriptors_in_use + RESERVED_DESCRIPTORS_COUNT,
            [*admin_quotas, *client_quotas, limits.endpoint_connections],
            len(components.lifecycle.open_requests),
        )

    def update_quota_if_shared(self) -> None:
        """Update the quota while another process runs, and when one has started or ended."""
        if self.descriptor_quota.has_siblings or self._components.shared_state.has_changed():
            self.update_quota()

    async def wait_for_quota(self) -> None:
        """Wait until the other process of this front has released this process's part of the descriptors.

        Clients that are accepted earlier would find no capacity.
        """
        settled = self.descriptor_quota.quota_available
        timeout = self._components.wheel.call_after(FIRST_QUOTA_TIMEOUT_US, settled.set)
        await settled.wait()
        timeout.cancel()
