"""`python -m umberlead`: one front from its environment; with words behind it, the command line."""

import os
import signal
import sys


def main() -> int:
    """The front that the environment describes: 0 at its end, 2 where it can't start."""
    # With io_uring, libuv has the kernel poll a queue that nothing here uses, in a thread counted as ours:
    # 4 s of the core's share in the first seconds of a front.
    os.environ["UV_USE_IO_URING"] = "0"
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the front can reload: the default ends the process
    from umberlead import config
    from umberlead.front import serve

    try:
        serve(config.load())
    except config.ConfigError as fault:
        print(f"umberlead: {fault}", file=sys.stderr)
        return 2
    except OSError as fault:
        print(f"umberlead: listen: {fault}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    if len(sys.argv) > 1:
        from umberlead.commands import command

        command(prog_name="umberlead")
    sys.exit(main())
