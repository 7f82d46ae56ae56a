"""The simulator adapter's entry point, `python -m umberlead.wirehost`; see `umberlead.simulator_adapter`."""

import sys

from umberlead.simulator_adapter.session import run

if __name__ == "__main__":
    sys.exit(run(sys.stdin, sys.stdout))
