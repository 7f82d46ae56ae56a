"""Time and memory that the shared table of call ids takes, alone and beside a sibling that reserves ids too.

`make bench-call-ids`; on a quiet machine, a few seconds. Prints figures, writes nothing.
"""

import resource
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from umberlead.handover.shared_call_ids import SharedCallIds
from umberlead.requests.call_ids import RecentCallIds, Reservation

ROUNDS_COUNT = 7
RESERVATIONS_PER_ROUND_COUNT = 5_000
PAUSE_SECONDS = 0.0005
OPEN_US = 3_000_000
SIBLING = """
import itertools, sys, time
from pathlib import Path
from umberlead.handover.shared_call_ids import SharedCallIds
ids = SharedCallIds(Path(sys.argv[1]))
ids.open()
for number in itertools.count():
    ids.reserve(b"sibling %d" % number, 0)
    time.sleep(float(sys.argv[2]))
"""


class Unshared:
    """A table that shares nothing, to measure what the rest of a reservation takes."""

    def reserve_call_id(self, call_id: bytes, open_for_us: int) -> Reservation:
        """Reserve every id."""
        return Reservation.RESERVED


class Shared:
    """The table as `SharedState` passes it on."""

    def __init__(self, folder: Path) -> None:
        """Open the table in `folder`."""
        self.call_ids = SharedCallIds(folder)
        self.call_ids.open()
        self.results = dict.fromkeys(Reservation, 0)

    def reserve_call_id(self, call_id: bytes, open_for_us: int) -> Reservation:
        """Reserve an id, and count the results."""
        result = self.call_ids.reserve(call_id, open_for_us)
        self.results[result] += 1
        return Reservation.RESERVED


def microseconds_per_reservation(shared: Shared | Unshared) -> float:
    """Return the median of the rounds."""
    call_ids = RecentCallIds(lambda: time.monotonic_ns() // 1000)
    call_ids.shared = shared
    took = []
    for number in range(ROUNDS_COUNT):
        names = [f"{number:08x}{k:08x}".encode() for k in range(RESERVATIONS_PER_ROUND_COUNT)]
        began = time.perf_counter()
        for name in names:
            call_ids.reserve(name, False, 0, is_idempotent=True)
        took.append((time.perf_counter() - began) / RESERVATIONS_PER_ROUND_COUNT * 1e6)
    return statistics.median(took)


def main() -> None:
    """Print the figures."""
    print(f"without the table: {microseconds_per_reservation(Unshared()):.2f} us a reservation")
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        shared = Shared(folder)
        print(f"with it, alone: {microseconds_per_reservation(shared):.2f} us")
        grown_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before_kb
        sizes = [(path.stat().st_size, path.stat().st_blocks * 512) for path in folder.iterdir()]
        print(
            f"file: {sizes[0][0]} bytes, {sizes[0][1]} allocated; the process's peak memory: +{grown_kb} KiB"
        )
        children = [
            subprocess.Popen([sys.executable, "-c", SIBLING, name, str(PAUSE_SECONDS)]) for _ in range(2)
        ]
        try:
            time.sleep(1)
            beside = Shared(folder)
            print(f"with it, beside two siblings: {microseconds_per_reservation(beside):.2f} us")
            print({result.value: count for result, count in beside.results.items()})
        finally:
            for child in children:
                child.kill()
                child.wait()


if __name__ == "__main__":
    main()
