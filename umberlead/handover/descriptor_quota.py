"""A process's caps of connections: looked at anew as the processes beside it change theirs."""

import asyncio
from collections.abc import Callable, Sequence

from umberlead.handover.process_claims import ConnectionUse, DescriptorClaim
from umberlead.handover.quota_division import divide_quota, has_fair_quota
from umberlead.handover.shared_state import SharedState
from umberlead.net.client_connections import ClientGroup
from umberlead.net.endpoint_pool import EndpointPool
from umberlead.net.listener import Listener
from umberlead.resource_limits import connections_within, with_surplus

SHORTAGE_LOOK_INTERVAL_US = 5_000  # between looks of a process that is short of places
UNBOUNDED_COUNT = 1_000_000  # more than any front's descriptors


class DescriptorQuota:
    """The kinds are operators' connections, those of each listener's clients, and those to chunk servers."""

    def __init__(
        self,
        shared: SharedState,
        pool: EndpointPool,
        groups: Sequence[ClientGroup],
        doors: Sequence[tuple[Listener, ClientGroup]],
        listeners: Sequence[Listener],
        clock: Callable[[], int],
        divide_now: Callable[[], None],
    ) -> None:
        """Begin without places; `clock` tells microseconds, and `divide_now` is to call `look`."""
        self.shared, self.pool = shared, pool
        self.client_groups, self.admin_listeners, self.listeners = groups, doors, listeners
        self.settled = asyncio.Event()  # the others have let go of what this process needs to begin
        self._places: tuple[int, ...] = ()
        self.clock, self._divide_now = clock, divide_now
        self.has_siblings, self._looked = (
            True,
            0,
        )  # whether others may stand, and when that was looked at last
        pool.on_capacity_shortage = self.connection_refused_for_quota

    def connection_refused_for_quota(self) -> None:
        """A connection is due and finds no place: what no process claims is there at once."""
        if self.has_siblings and self.clock() - self._looked >= SHORTAGE_LOOK_INTERVAL_US:
            self._divide_now()

    def update(self, descriptors: int, fixed: int, alone: Sequence[int], open_requests: int) -> None:
        """Divide anew. Where the others can't be looked at now, no cap is raised.

        Args:
            descriptors: of the front.
            fixed: those of this process that are no connections.
            alone: the places, by kind, of a process that nobody stands beside.
            open_requests: of this process.
        """
        if len(self._places) != len(alone):
            self._places = (0,) * len(alone)
        places, self._looked = self._places, self.clock()

        def decide(others: list[DescriptorClaim | None]) -> DescriptorClaim:
            nonlocal places
            self.has_siblings = bool(others)
            own = self._claim(fixed, self._places, open_requests)
            places = divide_quota(descriptors, alone, own, others)
            lowered = tuple(map(min, places, self._places))
            if lowered != self._places:
                self._apply(lowered)
                own = self._claim(fixed, places, open_requests)  # what could go is gone
            uses = (
                ConnectionUse(most, use.open_connections, use.required, use.max_required)
                for most, use in zip(places, own.connection_uses, strict=True)
            )
            claim = DescriptorClaim(fixed, tuple(uses))
            if has_fair_quota(descriptors, alone, claim, others):
                self.settled.set()
            return claim

        if self.shared.publish(decide):
            self._apply(places)

    def _all_clients(self) -> list[ClientGroup]:
        return [*(group for _, group in self.admin_listeners), *self.client_groups]

    def _claim(self, fixed: int, places: Sequence[int], open_requests: int) -> DescriptorClaim:
        *of_clients, of_nodes = places
        uses = [self._use_of(*kind) for kind in zip(self._all_clients(), of_clients, strict=True)]
        busy = self.pool.active_count()
        bound = max(busy, open_requests) if self._closed() else UNBOUNDED_COUNT
        uses.append(ConnectionUse(of_nodes, len(self.pool.slots), busy, bound))
        return DescriptorClaim(fixed, tuple(uses))

    def _use_of(self, clients: ClientGroup, places: int) -> ConnectionUse:
        listeners = [*self.listeners, *(door for door, _ in self.admin_listeners)]
        standing = len(clients.slots) + sum(
            one.pending_count() for one in listeners if one.clients is clients
        )
        needed = with_surplus(clients.active_count())
        closed = self._closed() and clients in self.client_groups
        return ConnectionUse(places, standing, needed, max(standing, needed) if closed else UNBOUNDED_COUNT)

    def _closed(self) -> bool:
        """No new clients are taken any more."""
        return bool(self.listeners) and not any(one.is_open or one.accepting_count for one in self.listeners)

    def _apply(self, places: tuple[int, ...]) -> None:
        before, self._places = self._places, places
        if places == before:
            return
        *of_clients, self.pool.max_connections = places
        for clients, most in zip(self._all_clients(), of_clients, strict=True):
            clients.max_connections = connections_within(most)
            clients.evict_excess()
        self.pool.evict_excess()
        for listener in self.listeners:
            listener.resume()
