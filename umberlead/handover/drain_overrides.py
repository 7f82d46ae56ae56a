"""Manual drains of endpoints: one file each, which all processes of a front see."""

import os
import time
from pathlib import Path
from urllib.parse import quote, unquote


class DrainOverrides:
    """The endpoints that operators drained by hand; without a folder this process alone knows them.

    Attributes:
        folder: where the files are; None where there is none.
    """

    def __init__(self, folder: Path | None) -> None:
        """Store them in `folder`."""
        self.folder = folder
        self._known: dict[str, int] = {}

    def read(self) -> dict[str, int]:
        """Return the drained endpoints, and when each was drained in microseconds of Unix time.

        What can't be read now is as it was: a manual drain holds until it is taken back.
        """
        if self.folder is None:
            return dict(self._known)
        try:
            file_names = os.listdir(self.folder)
        except FileNotFoundError:
            file_names = []
        except OSError:
            return dict(self._known)
        found = {}
        for file_name in file_names:
            endpoint = unquote(file_name)
            try:
                found[endpoint] = os.stat(self.folder / file_name).st_mtime_ns // 1000
            except FileNotFoundError:  # it was taken back meanwhile
                continue
            except OSError:
                found[endpoint] = self._known.get(endpoint, time.time_ns() // 1000)
        self._known = found
        return dict(found)

    def set(self, endpoint: str, is_drained: bool) -> None:
        """Drain an endpoint, or take that back.

        Raises:
            OSError: it can't be stored; nothing has changed then.
        """
        if self.folder is None:
            if is_drained:
                self._known.setdefault(endpoint, time.time_ns() // 1000)
            else:
                self._known.pop(endpoint, None)
            return
        path = self.folder / quote(endpoint, safe="")
        if not is_drained:
            path.unlink(missing_ok=True)
        elif not path.exists():
            os.close(os.open(path, os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC, 0o644))
