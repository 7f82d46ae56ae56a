"""What the operating system holds of a connection, asked for now: uvloop tells of it a turn later."""

import asyncio
import contextlib
import fcntl
import select
import socket
import struct
import sys
import termios
from collections.abc import Iterator

# The peer ended its sending, closed or reset the connection.
DISCONNECT_POLL_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR

# Of `struct tcp_info` in linux/tcp.h: the state, and `tcpi_last_data_recv`.
TCP_INFO_BYTES, TCP_INFO_STATE_OFFSET, LAST_DATA_RECEIVED_OFFSET = 56, 0, 52
LAST_DATA_RECEIVED_STRUCT = struct.Struct("=I")

RESET_LINGER_OPTION = struct.pack("ii", 1, 0)  # SO_LINGER of no time


class SocketState:
    """Looks at the socket of one transport."""

    def __init__(self, transport: asyncio.Transport) -> None:
        """Look at the socket of `transport`, if it has one."""
        self._transport = transport
        self._poll: select.poll | None = None

    def pending_events(self) -> int:
        """Return the poll(2) events that were not taken yet: POLLIN for unread bytes, DISCONNECT_EVENTS.

        0 on a transport that is closing or has no socket.
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
        """Return how long ago the peer's latest bytes came, within some ms; None where it is not told."""
        sock = self._transport.get_extra_info("socket")
        if sock is None:
            return None
        try:
            info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        except OSError:
            return None
        if len(info) < TCP_INFO_BYTES or not info[TCP_INFO_STATE_OFFSET]:
            return None
        return LAST_DATA_RECEIVED_STRUCT.unpack_from(info, LAST_DATA_RECEIVED_OFFSET)[0] * 1000

    def unsent_bytes(self) -> int:
        """Return how many bytes wait here or with the system for the peer to take them."""
        unsent = self._transport.get_write_buffer_size()
        if (sock := self._transport.get_extra_info("socket")) is not None:
            queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0" * 4)
            unsent += int.from_bytes(queued, sys.byteorder)
        return unsent

    def reset_on_close(self) -> None:
        """Make the close of the connection a reset."""
        sock = self._transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER_OPTION)

    def was_reset(self) -> bool:
        """Tell a break from an end: libuv reports an end where a break came with the last bytes.

        A reset, or the system's own word that the peer can't be reached any more (ETIMEDOUT, EHOSTUNREACH).
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
        """Keep the rest of what is partly written from following.

        uvloop closes an aborted connection a turn later, and may find room for all of it in between. It would
        run, and count as proven not to have.
        """
        with self._duplicate() as sock, contextlib.suppress(OSError):  # it has ended already
            sock.shutdown(socket.SHUT_WR)

    @contextlib.contextmanager
    def _duplicate(self) -> Iterator[socket.socket]:
        """Within, the socket can be used past the transport; it takes no descriptor more."""
        descriptor = self._transport.get_extra_info("socket").fileno()
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=descriptor)
        try:
            yield sock
        finally:
            sock.detach()
