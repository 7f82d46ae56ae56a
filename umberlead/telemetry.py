"""Logging: structlog events become RFC 5424 lines on standard error or at a collector.

A thread of its own writes them from a bounded queue, so neither a full pipe nor a slow collector ever holds
up the sockets; what does not fit is dropped and counted."""

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

import structlog

from umberlead.common.counters import Counters

SEVERITY_BY_LEVEL = {"critical": 2, "error": 3, "warning": 4, "info": 6, "debug": 7}
FACILITY_LOCAL0 = 16  # local0
STRUCTURED_DATA_ID = "umberlead@32473"  # the enterprise number that RFC 5612 keeps for documentation
RECONNECT_PAUSE_SECONDS = 1.0  # s between tries to reach a collector


def _printable(text: str, max_length: int) -> str:
    return "".join(c if "!" <= c <= "~" else "_" for c in text)[:max_length] or "-"


def _sd_name(text: str) -> str:
    return "".join(c if "!" <= c <= "~" and c not in '="]' else "_" for c in text)[:32] or "_"


def _sd_value(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("]", "\\]").replace("\n", " ")


def format_rfc5424(
    level: str, when: datetime, host: str, app: str, pid: int, event: str, pairs: dict[str, Any]
) -> str:
    """One syslog line: MSGID and MSG are the event, its values are structured data."""
    stamp = when.astimezone(UTC).strftime("%Y-%m-%dT%H:%M:%S.%fZ")
    data = "".join(f' {_sd_name(k)}="{_sd_value(str(v))}"' for k, v in pairs.items())
    structured = f"[{STRUCTURED_DATA_ID}{data}]" if data else "-"
    head = f"<{FACILITY_LOCAL0 * 8 + SEVERITY_BY_LEVEL.get(level, 6)}>1 {stamp} {_printable(host, 255)} {_printable(app, 48)}"
    return f"{head} {pid} {_printable(event, 32)} {structured} {event}"


class SyslogWriter:
    """A queue and the thread that empties it."""

    def __init__(self, collector: str, counters: Counters) -> None:
        self._collector, self._counters = collector, counters
        self.max_queued_lines = 2000  # lines waiting, until the limits are dealt
        self._lines: deque[str] = deque()
        self._work_available, self._stop_requested = threading.Event(), False
        self._sock: socket.socket | None = None
        self._thread = threading.Thread(target=self._run, daemon=True, name="syslog")
        self._thread.start()

    def enqueue(self, line: str) -> None:
        if len(self._lines) >= self.max_queued_lines:
            self._counters.add("log_lines_dropped")
            return
        self._lines.append(line)
        self._work_available.set()

    def close(self, timeout_seconds: float = 0.5) -> None:
        self._stop_requested = True
        self._work_available.set()
        self._thread.join(timeout_seconds)

    def _run(self) -> None:
        # Signals are the loop's: one that this thread took as the process ends would meet its default.
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
        try:
            if not self._collector:
                self._write_fully(sys.stderr.fileno(), line.encode() + b"\n")
                return True
            if self._sock is None:
                self._sock = self._connect()
            octets = line.encode()
            self._sock.sendall(b"%d %s" % (len(octets), octets))  # octet counting, RFC 6587
            return True
        except OSError:
            self._counters.add("log_writes_failed")
            if self._sock is not None:
                self._sock.close()
                self._sock = None
            return not self._collector  # without standard error there is nowhere left to write

    @staticmethod
    def _write_fully(descriptor: int, octets: bytes) -> None:
        """To its end, however little of it the system takes at once."""
        while octets:
            octets = octets[os.write(descriptor, octets) :]

    def _connect(self) -> socket.socket:
        if self._collector.startswith("unix://"):
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            sock.settimeout(2.0)
            sock.connect(self._collector.removeprefix("unix://"))
            return sock
        host, _, port = self._collector.removeprefix("tcp://").rpartition(":")
        return socket.create_connection((host, int(port)), timeout=2.0)


def make_logger(front_name: str, level: Callable[[], str], syslog: SyslogWriter) -> Any:
    """A structlog logger whose events end in `syslog`; `level` may change while it runs."""
    host, pid = socket.gethostname(), os.getpid()

    def render(_: Any, method: str, event: MutableMapping[str, Any]) -> str:
        if SEVERITY_BY_LEVEL.get(method, 6) > SEVERITY_BY_LEVEL[level()]:
            raise structlog.DropEvent
        text = str(event.pop("event"))
        return format_rfc5424(
            method, datetime.now(UTC), host, "umberlead", pid, text, {"front": front_name, **event}
        )

    class Sink:
        def msg(self, line: str) -> None:
            syslog.enqueue(line)

        debug = info = warning = error = critical = msg

    return structlog.wrap_logger(Sink(), processors=[render], wrapper_class=structlog.BoundLogger)
