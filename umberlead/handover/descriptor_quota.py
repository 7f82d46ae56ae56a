"""A process's caps of connections: looked at anew as the processes beside it change theirs."""

import asyncio
from collections.abc import Callable, Sequence

from umberlead.handover.process_claims import Claim, Use
from umberlead.handover.quota_division import divide, settled
from umberlead.handover.shared_state import SharedState
from umberlead.net.client_connections import Clients
from umberlead.net.listener import Listener
from umberlead.net.node_pool import Pool
from umberlead.resource_limits import connections, with_surplus

SHORTAGE_LOOK_INTERVAL_US = 5_000  # between looks of a process that is short of places
UNBOUNDED = 1_000_000  # more than any front's descriptors


class Places:
    """The kinds are operators' connections, those of each listener's clients, and those to chunk servers."""

    def __init__(
        self,
        shared: SharedState,
        pool: Pool,
        groups: Sequence[Clients],
        doors: Sequence[tuple[Listener, Clients]],
        listeners: Sequence[Listener],
        clock: Callable[[], int],
        divide_now: Callable[[], None],
    ) -> None:
        """Begin without places; `clock` tells microseconds, and `divide_now` is to call `look`."""
        self.shared, self.pool = shared, pool
        self.groups, self.doors, self.listeners = groups, doors, listeners
        self.settled = asyncio.Event()  # the others have let go of what this process needs to begin
        self._places: tuple[int, ...] = ()
        self.clock, self._divide_now = clock, divide_now
        self.beside, self._looked = True, 0  # whether others may stand, and when that was looked at last
        pool.on_shortage = self.short

    def short(self) -> None:
        """A connection is due and finds no place: what no process claims is there at once."""
        if self.beside and self.clock() - self._looked >= SHORTAGE_LOOK_INTERVAL_US:
            self._divide_now()

    def look(self, descriptors: int, fixed: int, alone: Sequence[int], open_requests: int) -> None:
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

        def decide(others: list[Claim | None]) -> Claim:
            nonlocal places
            self.beside = bool(others)
            own = self._claim(fixed, self._places, open_requests)
            places = divide(descriptors, alone, own, others)
            lowered = tuple(map(min, places, self._places))
            if lowered != self._places:
                self._apply(lowered)
                own = self._claim(fixed, places, open_requests)  # what could go is gone
            uses = (
                Use(most, use.standing, use.needed, use.may_need)
                for most, use in zip(places, own.uses, strict=True)
            )
            claim = Claim(fixed, tuple(uses))
            if settled(descriptors, alone, claim, others):
                self.settled.set()
            return claim

        if self.shared.publish(decide):
            self._apply(places)

    def _all_clients(self) -> list[Clients]:
        return [*(group for _, group in self.doors), *self.groups]

    def _claim(self, fixed: int, places: Sequence[int], open_requests: int) -> Claim:
        *of_clients, of_nodes = places
        uses = [self._use_of(*kind) for kind in zip(self._all_clients(), of_clients, strict=True)]
        busy = self.pool.busy_count()
        bound = max(busy, open_requests) if self._closed() else UNBOUNDED
        uses.append(Use(of_nodes, len(self.pool.slots), busy, bound))
        return Claim(fixed, tuple(uses))

    def _use_of(self, clients: Clients, places: int) -> Use:
        listeners = [*self.listeners, *(door for door, _ in self.doors)]
        standing = len(clients.slots) + sum(
            one.pending_count() for one in listeners if one.clients is clients
        )
        needed = with_surplus(clients.busy_count())
        closed = self._closed() and clients in self.groups
        return Use(places, standing, needed, max(standing, needed) if closed else UNBOUNDED)

    def _closed(self) -> bool:
        """No new clients are taken any more."""
        return bool(self.listeners) and not any(one.is_open or one.accepting for one in self.listeners)

    def _apply(self, places: tuple[int, ...]) -> None:
        before, self._places = self._places, places
        if places == before:
            return
        *of_clients, self.pool.max_connections = places
        for clients, most in zip(self._all_clients(), of_clients, strict=True):
            clients.max_connections = connections(most)
            clients.enforce_limit()
        self.pool.enforce_limit()
        for listener in self.listeners:
            listener.resume()
