#!/usr/bin/env bash
# Builds what the cases 6 to 10 start beside the build of the deploy file: the libraries of watched lists, which
# requirements-more.txt declares (docs/watched-lists.md). The stand-ins are Python and need nothing further.
set -eu
cd "$(dirname "$0")/.."
make -s .run-venv/requirements.done
.run-venv/bin/python -c "import lark, netaddr, watchdog, msgspec"
