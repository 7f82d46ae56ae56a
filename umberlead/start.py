"""The start of a front's process, from its environment to its exit code. `__main__` and the command line both
begin here; little is imported before the signals are held."""

import gc
import os
import signal
import sys
import time


def main() -> int:
    """The front that the environment describes: 0 at its end, 2 where it can't start."""
    began = time.monotonic_ns() // 1000
    # What is loaded stays: looking for garbage in it costs time. `Front.run` sets its own threshold.
    gc.set_threshold(100_000)
    # With io_uring, libuv has the kernel poll a queue that nothing here uses, in a thread counted as ours:
    # 4 s of the core's share in the first seconds of a front.
    os.environ["UV_USE_IO_URING"] = "0"
    # Until the front can take them: SIGHUP's default ends the process, and one that crosses the reading of
    # the configuration must not be lost; a SIGTERM finds nothing taken yet.
    early: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: early.append(number))
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    from umberlead import config, front
    from umberlead.front import serve

    front.EARLY_RELOAD_SIGNALS = early
    front.START_STAGES_US["began"] = began
    front.record_stage("imports")

    try:
        conf = config.load()
        front.record_stage("configuration")
        serve(conf)
    except config.ConfigError as fault:
        print(f"umberlead: {fault}", file=sys.stderr)
        return 2
    except OSError as fault:
        print(f"umberlead: listen: {fault}", file=sys.stderr)
        return 2
    return 0
