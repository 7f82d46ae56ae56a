"""Logging: writes structlog events as RFC 5424 lines to standard error or to a collector.

A separate thread writes the lines from a bounded queue, so that neither a full pipe nor a slow collector
delays the event loop. Lines that don't fit in the queue are dropped and counted.
"""

import errno
import os
import signal
import socket
import sys
import threading
import time
from collections import deque
from collections.abc import Callable, MutableMapping
from datetime import UTC, datetime
from typing import Any

from umberlead.common.counters import Counters
from umberlead.common.hidden_module import hidden_module

with hidden_module("greenlet"):  # structlog loads it where it is installed; most fronts don't need it
    import structlog

SEVERITY_BY_LEVEL = {"critical": 2, "error": 3, "warning": 4, "info": 6, "debug": 7}
DEFAULT_SEVERITY = SEVERITY_BY_LEVEL["info"]
FACILITY_LOCAL0 = 16
PRIORITY_FACILITY_MULTIPLIER = 8
STRUCTURED_DATA_ID = "umberlead@32473"  # the enterprise number that RFC 5612 reserves for documentation
APPLICATION_NAME = "umberlead"
MAX_HOST_NAME_SIZE = 255
MAX_APPLICATION_NAME_SIZE = 48
MAX_MESSAGE_ID_SIZE = 32
MAX_FIELD_NAME_SIZE = 32
DEFAULT_QUEUED_LINES_LIMIT = 2000
RECONNECT_PAUSE_SECONDS = 1.0
COLLECTOR_TIMEOUT_SECONDS = 2.0


def _printable(text: str, max_length: int) -> str:
    return "".join(char if "!" <= char <= "~" else "_" for char in text)[:max_length] or "-"


def _field_name(text: str) -> str:
    allowed = (char if "!" <= char <= "~" and char not in '="]' else "_" for char in text)
    return "".join(allowed)[:MAX_FIELD_NAME_SIZE] or "_"


def _field_text(value: object) -> str:
    """Return a field's value as text; an object whose text can't be built must not lose the line."""
    try:
        return str(value)
    except Exception as error:
        return f"<{type(value).__name__}: {type(error).__name__}>"


def _field_value(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("]", "\\]").replace("\n", " ")


def format_rfc5424(
    level: str, when: datetime, host: str, application: str, pid: int, event: str, fields: dict[str, Any]
) -> str:
    """Return one syslog line, without a line end.

    Args:
        level: the level's name in structlog.
        when: the time of the event.
        host: the host's name.
        application: the program's name.
        pid: the id of the process.
        event: used as both MSGID and MSG.
        fields: written as structured data.
    """
    timestamp = when.astimezone(UTC).strftime("%Y-%m-%dT%H:%M:%S.%fZ")
    data = "".join(
        f' {_field_name(name)}="{_field_value(_field_text(value))}"' for name, value in fields.items()
    )
    structured_data = f"[{STRUCTURED_DATA_ID}{data}]" if data else "-"
    severity = SEVERITY_BY_LEVEL.get(level, DEFAULT_SEVERITY)
    priority = FACILITY_LOCAL0 * PRIORITY_FACILITY_MULTIPLIER + severity
    host_name = _printable(host, MAX_HOST_NAME_SIZE)
    application_name = _printable(application, MAX_APPLICATION_NAME_SIZE)
    message_id = _printable(event, MAX_MESSAGE_ID_SIZE)
    header = f"<{priority}>1 {timestamp} {host_name} {application_name} {pid} {message_id}"
    return f"{header} {structured_data} {event}"


class SyslogWriter:
    """A queue of lines and the thread that writes them.

    Attributes:
        max_queued_lines: maximum length of the queue.
    """

    def __init__(self, collector: str, counters: Counters) -> None:
        """Start the thread.

        Args:
            collector: `unix://PATH` or `tcp://HOST:PORT`; empty for standard error.
            counters: counters of dropped lines and failed writes.
        """
        self._collector = collector
        self._counters = counters
        self.max_queued_lines = DEFAULT_QUEUED_LINES_LIMIT
        self._lines: deque[str] = deque()
        self._work_available = threading.Event()
        self._stop_requested = False
        self._socket: socket.socket | None = None
        self._start_thread()

    def _start_thread(self) -> None:
        self._thread = threading.Thread(target=self._run, daemon=True, name="syslog")
        self._thread.start()

    def enqueue(self, line: str) -> None:
        """Queue a line, or drop it if the queue is full."""
        if not self._thread.is_alive() and not self._stop_requested:
            self._counters.add("log_thread_restarts")
            self._start_thread()
        if len(self._lines) >= self.max_queued_lines:
            self._counters.add("log_lines_dropped")
            return
        self._lines.append(line)
        self._work_available.set()

    def close(self, timeout_seconds: float = 0.5) -> None:
        """Stop the thread when the queue is empty or a write fails; wait for it up to a timeout."""
        self._stop_requested = True
        self._work_available.set()
        self._thread.join(timeout_seconds)

    def _run(self) -> None:
        # Signals must go to the event loop's thread: in this thread, a signal would run its default action.
        signal.pthread_sigmask(signal.SIG_BLOCK, signal.valid_signals())
        while True:
            self._work_available.wait()
            self._work_available.clear()
            while self._lines:
                if self._write(self._lines[0]):
                    self._lines.popleft()
                elif self._stop_requested:
                    return
                else:
                    time.sleep(RECONNECT_PAUSE_SECONDS)
            if self._stop_requested:
                return

    def _write(self, line: str) -> bool:
        """Write a line; return False if it has to be written again."""
        try:
            # File names and data of clients may contain what UTF-8 can't encode.
            content = line.encode("utf-8", "backslashreplace")
            if not self._collector:
                if sys.stderr is None:  # It was closed when the process started.
                    raise OSError(errno.EBADF, os.strerror(errno.EBADF))
                self._write_fully(sys.stderr.fileno(), content + b"\n")
                return True
            if self._socket is None:
                self._socket = self._connect()
            self._socket.sendall(b"%d %s" % (len(content), content))  # octet counting, RFC 6587
            return True
        except (OSError, ValueError):  # ValueError: standard error is closed, or the address can't be used
            self._counters.add("log_writes_failed")
            if self._socket is not None:
                self._socket.close()
                self._socket = None
            return not self._collector  # there is no other place to write to if standard error fails

    @staticmethod
    def _write_fully(descriptor: int, content: bytes) -> None:
        """Write all of the content, with as many system calls as that takes."""
        while content:
            content = content[os.write(descriptor, content) :]

    def _connect(self) -> socket.socket:
        if self._collector.startswith("unix://"):
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            sock.settimeout(COLLECTOR_TIMEOUT_SECONDS)
            sock.connect(self._collector.removeprefix("unix://"))
            return sock
        host, _, port = self._collector.removeprefix("tcp://").rpartition(":")
        return socket.create_connection((host, int(port)), timeout=COLLECTOR_TIMEOUT_SECONDS)


class _LineSink:
    """The logger that structlog passes rendered lines to, at any level."""

    def __init__(self, writer: SyslogWriter) -> None:
        self._writer = writer

    def msg(self, line: str) -> None:
        """Queue a line."""
        self._writer.enqueue(line)

    debug = info = warning = error = critical = msg


def make_logger(front_name: str, level: Callable[[], str], writer: SyslogWriter) -> Any:
    """Return a structlog logger that passes its events to a writer.

    Args:
        front_name: added to each event as a field.
        level: returns the lowest level that is written at present; it may change.
        writer: queues the lines.
    """
    host = socket.gethostname()
    pid = os.getpid()

    def render(_logger: Any, method: str, event: MutableMapping[str, Any]) -> str:
        """Return an event as a line, or drop it if its level is too low."""
        if SEVERITY_BY_LEVEL.get(method, DEFAULT_SEVERITY) > SEVERITY_BY_LEVEL[level()]:
            raise structlog.DropEvent
        text = str(event.pop("event"))
        fields = {"front": front_name, **event}
        return format_rfc5424(method, datetime.now(UTC), host, APPLICATION_NAME, pid, text, fields)

    return structlog.wrap_logger(_LineSink(writer), processors=[render], wrapper_class=structlog.BoundLogger)
