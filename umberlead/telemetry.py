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

SEVERITY = {"critical": 2, "error": 3, "warning": 4, "info": 6, "debug": 7}
FACILITY = 16  # local0
SD_ID = "umberlead@32473"  # the enterprise number that RFC 5612 keeps for documentation
PAUSE = 1.0  # s between tries to reach a collector


def _printable(text: str, most: int) -> str:
    return "".join(c if "!" <= c <= "~" else "_" for c in text)[:most] or "-"


def _sd_name(text: str) -> str:
    return "".join(c if "!" <= c <= "~" and c not in '="]' else "_" for c in text)[:32] or "_"


def _sd_value(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("]", "\\]").replace("\n", " ")


def rfc5424(
    level: str, when: datetime, host: str, app: str, pid: int, event: str, pairs: dict[str, Any]
) -> str:
    """One syslog line: MSGID and MSG are the event, its values are structured data."""
    stamp = when.astimezone(UTC).strftime("%Y-%m-%dT%H:%M:%S.%fZ")
    data = "".join(f' {_sd_name(k)}="{_sd_value(str(v))}"' for k, v in pairs.items())
    structured = f"[{SD_ID}{data}]" if data else "-"
    head = f"<{FACILITY * 8 + SEVERITY.get(level, 6)}>1 {stamp} {_printable(host, 255)} {_printable(app, 48)}"
    return f"{head} {pid} {_printable(event, 32)} {structured} {event}"


class Syslog:
    """A queue and the thread that empties it."""

    def __init__(self, collector: str, counters: Counters) -> None:
        self._collector, self._counters = collector, counters
        self.most = 2000  # lines waiting, until the limits are dealt
        self._lines: deque[str] = deque()
        self._more, self._stop = threading.Event(), False
        self._sock: socket.socket | None = None
        self._thread = threading.Thread(target=self._run, daemon=True, name="syslog")
        self._thread.start()

    def put(self, line: str) -> None:
        if len(self._lines) >= self.most:
            self._counters.add("log_lines_dropped")
            return
        self._lines.append(line)
        self._more.set()

    def close(self, wait: float = 0.5) -> None:
        self._stop = True
        self._more.set()
        self._thread.join(wait)

    def _run(self) -> None:
        # Signals are the loop's: one that this thread took as the process ends would meet its default.
        signal.pthread_sigmask(signal.SIG_BLOCK, signal.valid_signals())
        while True:
            self._more.wait()
            self._more.clear()
            while self._lines:
                if self._write(self._lines[0]):
                    self._lines.popleft()
                elif self._stop:
                    return
                else:
                    time.sleep(PAUSE)
            if self._stop:
                return

    def _write(self, line: str) -> bool:
        try:
            if not self._collector:
                self._write_whole(sys.stderr.fileno(), line.encode() + b"\n")
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
    def _write_whole(descriptor: int, octets: bytes) -> None:
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


def logger(name: str, level: Callable[[], str], syslog: Syslog) -> Any:
    """A structlog logger whose events end in `syslog`; `level` may change while it runs."""
    host, pid = socket.gethostname(), os.getpid()

    def render(_: Any, method: str, event: MutableMapping[str, Any]) -> str:
        if SEVERITY.get(method, 6) > SEVERITY[level()]:
            raise structlog.DropEvent
        text = str(event.pop("event"))
        return rfc5424(method, datetime.now(UTC), host, "umberlead", pid, text, {"front": name, **event})

    class Sink:
        def msg(self, line: str) -> None:
            syslog.put(line)

        debug = info = warning = error = critical = msg

    return structlog.wrap_logger(Sink(), processors=[render], wrapper_class=structlog.BoundLogger)
