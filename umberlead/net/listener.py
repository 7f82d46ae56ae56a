"""Accepting clients' connections on one address while there is capacity."""

import asyncio
import select
import socket
from collections.abc import Iterator
from typing import Any

from umberlead.configuration import Address
from umberlead.net.client_connections import ClientConnection, ClientGroup
from umberlead.net.server_connection import RequestHandler, ServerConnection
from umberlead.resource_limits import LOCAL_RESOURCE_ERRNOS, surplus_connections

ACCEPT_BATCH_SIZE = 16  # per event-loop iteration, so that a flood does not delay established connections
ACCEPT_RETRY_SECONDS = 0.02  # until a failed accept is retried
LISTEN_BACKLOG_SIZE = 1024


class Listener:
    """A listening socket that accepts connections while there is capacity.

    Other connections wait in the kernel's backlog, where they use no descriptor. With TCP_DEFER_ACCEPT,
    connections that send nothing stay there for a second.

    Attributes:
        handler: serves the requests.
        clients: the accepted connections.
        address: the host and port it listens on.
        is_open: whether it accepts connections.
        paused: whether accepting is paused for lack of capacity.
        accepting_count: number of accepted connections that have no slot yet.
        accept_tasks: the tasks that set these connections up.
    """

    def __init__(
        self,
        handler: RequestHandler,
        clients: ClientGroup,
        address: Address,
        loop: asyncio.AbstractEventLoop,
        reuse_port: bool = False,
    ) -> None:
        """Open the socket and listen on `address`.

        Args:
            handler: serves the requests.
            clients: the group that accepted connections join.
            address: host and port.
            loop: the event loop.
            reuse_port: whether to share the port with the process that this one replaces.

        Raises:
            OSError: the address can't be listened on.
        """
        self.handler = handler
        self.clients = clients
        self.loop = loop
        self.is_open = True
        self.paused = False
        self.accepting_count = 0
        self._backlog_since_us = 0  # since when a backlog has remained between iterations; 0 without one
        self.accept_tasks: dict[asyncio.Task[Any], ServerConnection] = {}
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self.socket = socket.socket(family, socket.SOCK_STREAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if reuse_port:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.socket.bind(address)
        self._defer_accept(1)
        self.socket.listen(LISTEN_BACKLOG_SIZE)
        self.socket.setblocking(False)
        self.address: Address = self.socket.getsockname()[:2]
        self._poll = select.poll()
        self._poll.register(self.socket, select.POLLIN)
        loop.add_reader(self.socket, self._accept_batch)

    def _defer_accept(self, seconds: int) -> None:
        if hasattr(socket, "TCP_DEFER_ACCEPT"):
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_DEFER_ACCEPT, seconds)

    def pending_count(self) -> int:
        """Count the connections that were accepted and have no slot yet."""
        return sum(conn.slot < 0 for conn in self.accept_tasks.values())

    def _excess_count(self) -> int:
        """Return the connections above the limit, counting those being accepted but not evicted ones."""
        return self.clients.count + self.pending_count() - self.clients.max_connections

    def _accept_batch(self) -> None:
        """Accept one batch from the backlog; after an unexpected error, accepting is paused for a moment."""
        try:
            self._accept_available()
        except Exception as error:
            self._report(error, "connections could not be accepted")
            self.loop.call_later(ACCEPT_RETRY_SECONDS, self.resume)
            self._pause()

    def _report(self, error: BaseException, message: str) -> None:
        """Report an unexpected error, which doesn't end the listener."""
        self.loop.call_exception_handler({"message": message, "exception": error})

    def _accept_available(self) -> None:
        """Accept one batch from the backlog; established connections are read between batches."""
        clients = self.clients
        if self._excess_count() >= 0:
            clients.on_capacity_shortage()
        evictable = clients.evictable()
        excess = self._excess_count()
        # Connections above the limit that are accepted only to be rejected at once.
        max_excess = surplus_connections(clients.max_connections)
        for accepted in range(min(max_excess, ACCEPT_BATCH_SIZE)):
            # The descriptor of an evicted connection is closed one iteration later.
            if excess + clients.evicted_slot_count >= max_excess:
                if excess >= max_excess and not clients.evict(evictable):
                    self._pause()
                return
            try:
                sock, _ = self.socket.accept()
            except OSError as error:
                # Without free descriptors, accept fails even if the backlog is empty.
                return self._accept_failed(error, evictable, first=not accepted)
            self._connect(sock)
            excess += 1
            if excess > 0 and clients.evict(evictable):
                excess -= 1
        if self._poll.poll(0):  # more wait than one batch
            self._record_backlog()
        else:
            self._backlog_since_us = 0

    def _accept_failed(self, error: OSError, evictable: Iterator[ClientConnection], first: bool) -> None:
        """End a batch: the backlog is empty, the next iteration continues, or accepting is paused."""
        if isinstance(error, BlockingIOError):
            self._backlog_since_us = 0
            return
        self._record_backlog()
        if not first or isinstance(error, InterruptedError | ConnectionAbortedError):
            return
        clients = self.clients
        clients.counters.add("accepts_failed")
        clients.log("accept_failed", reason=str(error))
        if error.errno in LOCAL_RESOURCE_ERRNOS:  # free a descriptor
            clients.evict(evictable)
        self.loop.call_later(ACCEPT_RETRY_SECONDS, self.resume)
        self._pause()

    def _connect(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.accepting_count += 1
        conn = ServerConnection(self.handler, self.clients)
        conn.backlog_since_us = self._backlog_since_us
        task = self.loop.create_task(self.loop.connect_accepted_socket(lambda: conn, sock))
        self.accept_tasks[task] = conn
        task.add_done_callback(self._connected)

    def _connected(self, task: "asyncio.Task[Any]") -> None:
        del self.accept_tasks[task]
        self.accepting_count -= 1
        if task.cancelled() or (error := task.exception()) is None:
            return
        self.clients.counters.add("accepts_failed")
        if not isinstance(error, OSError):  # else the client has disconnected already
            self._report(error, "a connection could not be set up")

    def _record_backlog(self) -> None:
        self._backlog_since_us = self._backlog_since_us or self.clients.clock()

    def _pause(self) -> None:
        self._record_backlog()
        self.paused = True
        self.loop.remove_reader(self.socket)

    def resume(self) -> None:
        """Accept again after a pause for lack of capacity."""
        if self.paused and self.is_open:
            self.paused = False
            self.loop.add_reader(self.socket, self._accept_batch)

    def disable_deferred_accept(self) -> None:
        """Accept connections that have sent nothing, too: closing the listener would reset them."""
        self._defer_accept(0)

    def close(self) -> None:
        """Accept the connections in the backlog, then close the socket."""
        if self.is_open:
            self.is_open = False
            if not self.paused:
                self.loop.remove_reader(self.socket)
            self._accept_backlog()

    def _accept_backlog(self) -> None:
        """Accept the connections in the backlog, which closing the socket would reset.

        Without capacity now, the accept is retried, since connections close after their responses. If no
        slot is freed, the surplus connections are rejected.
        """
        clients = self.clients
        evictable = clients.evictable()
        excess = self._excess_count()
        max_excess = surplus_connections(clients.max_connections)
        limit = 0 if excess < 0 else max_excess
        try:
            while excess < limit and excess + clients.evicted_slot_count < max_excess:
                self._connect(self.socket.accept()[0])
                excess += 1
        except BlockingIOError:
            return self.socket.close()
        except OSError:
            clients.counters.add("accepts_failed")
        for _ in range(excess):
            clients.evict(evictable)
        self.accepting_count += 1  # keeps the process from exiting before the retry
        self.loop.call_later(ACCEPT_RETRY_SECONDS, self._retry_backlog)

    def _retry_backlog(self) -> None:
        self.accepting_count -= 1
        try:
            self._accept_backlog()
        except Exception as error:
            self._report(error, "the backlog could not be accepted")
            self.socket.close()
