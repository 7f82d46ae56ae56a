"""Connection limits of a process, recomputed whenever a sibling process changes its claim."""

import asyncio
from collections.abc import Callable, Sequence

from umberlead.handover.process_claims import ConnectionUse, DescriptorClaim
from umberlead.handover.quota_division import Quotas, SiblingClaims, divide_quota, has_fair_quota
from umberlead.handover.shared_state import SharedState
from umberlead.net.client_connections import ClientGroup
from umberlead.net.endpoint_pool import EndpointPool
from umberlead.net.listener import Listener
from umberlead.resource_limits import connections_within, with_surplus

SHORTAGE_REFRESH_INTERVAL_US = 5_000  # minimum between updates on a shortage of connections
UNBOUNDED = 1_000_000  # more than the descriptors of any front


class DescriptorQuota:
    """The quota of each kind of connection: of each admin listener, of each client listener, to endpoints.

    Attributes:
        shared: the state that the front's processes share.
        pool: the connections to endpoints.
        client_groups: the client connections, a group for each client listener.
        admin_listeners: the admin API's listeners, each with the group of its connections.
        listeners: the client listeners.
        clock: returns microseconds.
        quota_available: set once siblings have released the descriptors that this process needs to start.
        has_siblings: whether other processes of the front ran at the latest update.
    """

    def __init__(
        self,
        shared: SharedState,
        pool: EndpointPool,
        client_groups: Sequence[ClientGroup],
        admin_listeners: Sequence[tuple[Listener, ClientGroup]],
        listeners: Sequence[Listener],
        clock: Callable[[], int],
        request_update: Callable[[], None],
    ) -> None:
        """Start with no quota; `request_update` has to cause a call of `update`."""
        self.shared = shared
        self.pool = pool
        self.client_groups = client_groups
        self.admin_listeners = admin_listeners
        self.listeners = listeners
        self.clock = clock
        self.quota_available = asyncio.Event()
        self.has_siblings = True
        self._request_update = request_update
        self._updated_us = 0
        self._quotas: Quotas = ()
        pool.on_capacity_shortage = self.connection_refused_for_quota

    def connection_refused_for_quota(self) -> None:
        """Request an update after a connection was refused: there may be unclaimed descriptors."""
        elapsed_us = self.clock() - self._updated_us
        if self.has_siblings and elapsed_us >= SHORTAGE_REFRESH_INTERVAL_US:
            self._request_update()

    def update(
        self, descriptors: int, fixed_descriptors: int, single_quota: Sequence[int], open_requests: int
    ) -> None:
        """Recompute the quotas; none is raised if the siblings' claims can't be read now.

        Args:
            descriptors: the number of file descriptors of the front.
            fixed_descriptors: the number of this process's descriptors that are not connections.
            single_quota: by kind, the quota of a process without siblings.
            open_requests: the number of open requests of this process.
        """
        if len(self._quotas) != len(single_quota):
            self._quotas = (0,) * len(single_quota)
        quotas = self._quotas
        self._updated_us = self.clock()

        def decide(siblings: list[DescriptorClaim | None]) -> DescriptorClaim:
            """Apply the quotas that decrease, and return the claim of this process from now on."""
            nonlocal quotas
            self.has_siblings = bool(siblings)
            claim = self._divide(descriptors, fixed_descriptors, single_quota, open_requests, siblings)
            quotas = tuple(use.quota for use in claim.connection_uses)
            if has_fair_quota(descriptors, single_quota, claim, siblings):
                self.quota_available.set()
            return claim

        if self.shared.publish(decide):
            self._apply(quotas)

    def _divide(
        self,
        descriptors: int,
        fixed_descriptors: int,
        single_quota: Sequence[int],
        open_requests: int,
        siblings: SiblingClaims,
    ) -> DescriptorClaim:
        """Apply the quotas that decrease, and return this process's new claim."""
        own_claim = self._claim(fixed_descriptors, self._quotas, open_requests)
        quotas = divide_quota(descriptors, single_quota, own_claim, siblings)
        lowered = tuple(map(min, quotas, self._quotas))
        if lowered != self._quotas:
            self._apply(lowered)
            # Idle connections above the quota are closed now.
            own_claim = self._claim(fixed_descriptors, quotas, open_requests)
        uses = (
            ConnectionUse(quota, use.open_connections, use.required, use.max_required)
            for quota, use in zip(quotas, own_claim.connection_uses, strict=True)
        )
        return DescriptorClaim(fixed_descriptors, tuple(uses))

    def _all_groups(self) -> list[ClientGroup]:
        return [*(group for _, group in self.admin_listeners), *self.client_groups]

    def _claim(self, fixed_descriptors: int, quotas: Sequence[int], open_requests: int) -> DescriptorClaim:
        *group_quotas, endpoint_quota = quotas
        uses = [self._use_of_group(*kind) for kind in zip(self._all_groups(), group_quotas, strict=True)]
        active = self.pool.active_count()
        max_required = max(active, open_requests) if self._has_stopped_accepting() else UNBOUNDED
        uses.append(ConnectionUse(endpoint_quota, len(self.pool.slots), active, max_required))
        return DescriptorClaim(fixed_descriptors, tuple(uses))

    def _use_of_group(self, group: ClientGroup, quota: int) -> ConnectionUse:
        listeners = [*self.listeners, *(listener for listener, _ in self.admin_listeners)]
        pending = sum(listener.pending_count() for listener in listeners if listener.clients is group)
        open_connections = len(group.slots) + pending
        required = with_surplus(group.active_count())
        accepts_no_more = self._has_stopped_accepting() and group in self.client_groups
        max_required = max(open_connections, required) if accepts_no_more else UNBOUNDED
        return ConnectionUse(quota, open_connections, required, max_required)

    def _has_stopped_accepting(self) -> bool:
        """Return whether this process no longer accepts client connections."""
        accepts = any(listener.is_open or listener.accepting_count for listener in self.listeners)
        return bool(self.listeners) and not accepts

    def _apply(self, quotas: Quotas) -> None:
        if quotas == self._quotas:
            return
        self._quotas = quotas
        *group_quotas, self.pool.max_connections = quotas
        for group, quota in zip(self._all_groups(), group_quotas, strict=True):
            group.max_connections = connections_within(quota)
            group.evict_excess()
        self.pool.evict_excess()
        for listener in self.listeners:
            listener.resume()
