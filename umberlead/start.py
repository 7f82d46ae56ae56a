"""Starts the process of a front; `__main__` and the command line both call `main`.

Few modules are imported before the signal handlers are set.
"""

import gc
import os
import signal
import sys
import time


def main() -> None:
    """Run the front that the environment describes, and exit with 0, with 2 if it can't start, or with 1.

    The process does not wait for its threads: one may hang in the resolver or in a file system for long.
    """
    try:
        exit_code = _run()
    except Exception:
        sys.excepthook(*sys.exc_info())
        exit_code = 1
    import contextlib  # not before the garbage collector's threshold is set

    for stream in (sys.stdout, sys.stderr):
        with contextlib.suppress(AttributeError, OSError, ValueError):  # closed, or nobody reads it
            stream.flush()
    os._exit(exit_code)


def _run() -> int:
    """Run the front; return the exit code."""
    started_us = time.monotonic_ns() // 1000
    # Objects of imported modules live as long as the process: garbage collections during the imports cost
    # time and free nothing. The front sets its own threshold later.
    gc.set_threshold(100_000)
    # With io_uring, libuv starts a kernel thread that polls a queue. Nothing here uses the queue, and the
    # thread's CPU time counts as this process's.
    os.environ["UV_USE_IO_URING"] = "0"
    # These handlers apply until the front sets its own. The default action of SIGHUP would end the process,
    # and a SIGHUP that arrives while the configuration is read must not be lost. On SIGTERM the process can
    # exit at once, because it has not accepted any request yet.
    early_reload_signals: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: early_reload_signals.append(number))
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    from umberlead import configuration
    from umberlead.daemon.process import ListenError, serve
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
    except ListenError as error:
        print(f"umberlead: listen: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"umberlead: the front can't start: {error}", file=sys.stderr)
        return 2
    return 0
