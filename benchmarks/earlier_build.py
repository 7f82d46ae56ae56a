"""The program of an earlier commit, in a folder of its own."""

import contextlib
import subprocess
import tempfile
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


@contextlib.contextmanager
def earlier_build(revision: str) -> Iterator[Path]:
    """Provide a folder with the package of `revision`."""
    with tempfile.TemporaryDirectory() as folder:
        archive = subprocess.run(
            ["git", "archive", revision, "umberlead"], cwd=ROOT, capture_output=True, check=True
        )
        subprocess.run(["tar", "-x", "-C", folder], input=archive.stdout, check=True)
        yield Path(folder)
