"""Chunk servers that operators took out of service by hand: a file each, seen by all processes of a front."""

import os
import time
from pathlib import Path
from urllib.parse import quote, unquote


class DrainOverrides:
    """The chunk servers that are out by hand; without a folder they are known to this process alone."""

    def __init__(self, folder: Path | None) -> None:
        """Keep them in `folder`."""
        self.folder = folder
        self._known: dict[str, int] = {}

    def read(self) -> dict[str, int]:
        """Return them, and when each was taken out in microseconds of Unix time.

        What can't be looked at now is what it was: an operator's word holds until it is taken back.
        """
        if self.folder is None:
            return dict(self._known)
        try:
            names = os.listdir(self.folder)
        except FileNotFoundError:
            names = []
        except OSError:
            return dict(self._known)
        found = {}
        for name in names:
            node = unquote(name)
            try:
                found[node] = os.stat(self.folder / name).st_mtime_ns // 1000
            except FileNotFoundError:  # put back in between
                continue
            except OSError:
                found[node] = self._known.get(node, time.time_ns() // 1000)
        self._known = found
        return dict(found)

    def set(self, node: str, out: bool) -> None:
        """Take a chunk server out, or put it back.

        Raises:
            OSError: it can't be kept; nothing has changed then.
        """
        if self.folder is None:
            if out:
                self._known.setdefault(node, time.time_ns() // 1000)
            else:
                self._known.pop(node, None)
            return
        path = self.folder / quote(node, safe="")
        if not out:
            path.unlink(missing_ok=True)
        elif not path.exists():
            os.close(os.open(path, os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC, 0o644))
