"""Start of a front's process, from its environment to its exit code.

`__main__` and the command line both start here. Little is imported before the signal handlers are set.
"""

import gc
import os
import signal
import sys
import time


def main() -> int:
    """Run the front that the environment describes; return 0 at its end, or 2 where it can't start."""
    started_us = time.monotonic_ns() // 1000
    # Loaded modules stay: collecting garbage among them costs time. The front sets its own threshold later.
    gc.set_threshold(100_000)
    # With io_uring, libuv has the kernel poll a queue that nothing here uses, in a thread whose CPU time
    # counts as this process's.
    os.environ["UV_USE_IO_URING"] = "0"
    # Until the front handles signals itself: SIGHUP's default action would end the process, and one that
    # comes while the configuration is read must not be lost. At a SIGTERM no request was accepted yet.
    early_reload_signals: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: early_reload_signals.append(number))
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    from umberlead import configuration
    from umberlead.daemon.process import serve
    from umberlead.daemon.start_stages import StartStages

    stages = StartStages(started_us)
    stages.record("imports")

    try:
        conf = configuration.load()
        stages.record("configuration")
        serve(conf, stages, early_reload_signals)
    except configuration.ConfigError as error:
        print(f"umberlead: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"umberlead: listen: {error}", file=sys.stderr)
        return 2
    return 0
