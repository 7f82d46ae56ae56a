"""The kernel's current state of a connection, which uvloop reports one event-loop iteration later."""

import asyncio
import contextlib
import fcntl
import select
import socket
import struct
import sys
import termios
from collections.abc import Iterator

# The peer half-closed, closed or reset the connection.
DISCONNECT_POLL_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR

# Layout of `struct tcp_info` in linux/tcp.h: `tcpi_state` and `tcpi_last_data_recv`.
TCP_INFO_BYTES = 56
TCP_INFO_STATE_OFFSET_BYTES = 0
LAST_DATA_RECEIVED_OFFSET_BYTES = 52
LAST_DATA_RECEIVED_STRUCT = struct.Struct("=I")

RESET_LINGER_OPTION = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of 0


class SocketState:
    """Queries the socket of one transport."""

    def __init__(self, transport: asyncio.Transport) -> None:
        """Create queries of the socket of `transport`, if it has one."""
        self._transport = transport
        self._poll: select.poll | None = None

    def pending_events(self) -> int:
        """Return pending poll(2) events: POLLIN for unread bytes, DISCONNECT_POLL_EVENTS.

        0 for a transport that is closing or has no socket.
        """
        if self._poll is None:
            sock = self._transport.get_extra_info("socket")
            descriptor = sock.fileno() if sock is not None else -1
            if not isinstance(descriptor, int) or descriptor < 0:
                return 0
            self._poll = select.poll()
            self._poll.register(descriptor, select.POLLIN | select.POLLRDHUP)
        if self._transport.is_closing():
            return 0
        return sum(events for _, events in self._poll.poll(0))

    def last_data_age_us(self) -> int | None:
        """Return how long ago the peer's latest bytes arrived, to a few milliseconds; None if unknown."""
        sock = self._transport.get_extra_info("socket")
        if sock is None:
            return None
        try:
            info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        except OSError:
            return None
        if len(info) < TCP_INFO_BYTES or not info[TCP_INFO_STATE_OFFSET_BYTES]:
            return None
        return LAST_DATA_RECEIVED_STRUCT.unpack_from(info, LAST_DATA_RECEIVED_OFFSET_BYTES)[0] * 1000

    def unsent_bytes(self) -> int:
        """Return how many bytes are in the transport's write buffer and in the socket's send buffer."""
        unsent = self._transport.get_write_buffer_size()
        if (sock := self._transport.get_extra_info("socket")) is not None:
            queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0" * 4)
            unsent += int.from_bytes(queued, sys.byteorder)
        return unsent

    def reset_on_close(self) -> None:
        """Make closing the connection send a reset."""
        sock = self._transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER_OPTION)

    def was_reset(self) -> bool:
        """Return whether the connection broke, which libuv may report as an end of file.

        A reset that arrives together with the last bytes looks like an end of file. An error that reports an
        unreachable peer (ETIMEDOUT, EHOSTUNREACH) counts too.
        """
        with self._duplicate() as sock:
            try:
                sock.recv(1, socket.MSG_DONTWAIT)
            except BlockingIOError:
                return False
            except OSError:
                return True
        return False

    def stop_sending(self) -> None:
        """Keep the remainder of a partially written request from being sent.

        uvloop closes an aborted connection one event-loop iteration later, and may write the remainder in
        between. The endpoint would then execute a request that counts as not sent.
        """
        with self._duplicate() as sock, contextlib.suppress(OSError):  # the connection is closed already
            sock.shutdown(socket.SHUT_WR)

    @contextlib.contextmanager
    def _duplicate(self) -> Iterator[socket.socket]:
        """Provide a second socket object for the transport's descriptor, which is not duplicated."""
        descriptor = self._transport.get_extra_info("socket").fileno()
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=descriptor)
        try:
            yield sock
        finally:
            sock.detach()
