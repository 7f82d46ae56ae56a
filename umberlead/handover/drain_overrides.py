"""Manual drains of endpoints, stored as one file each in a folder that all processes of a front share."""

import os
import time
from pathlib import Path
from urllib.parse import quote, unquote


class DrainOverrides:
    """The endpoints that operators drained manually; without a folder they are kept in this process only.

    Attributes:
        folder: the folder of the files; None if there is none.
    """

    def __init__(self, folder: Path | None) -> None:
        """Store the drains in `folder`."""
        self.folder = folder
        self._known: dict[str, int] = {}

    def read(self) -> dict[str, int]:
        """Return the drained endpoints with the times of their drains, in microseconds of Unix time.

        If the folder or a file can't be read now, the previous state is returned: a manual drain holds until
        an operator ends it.
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
            except FileNotFoundError:  # the drain was ended meanwhile
                continue
            except OSError:
                found[endpoint] = self._known.get(endpoint, time.time_ns() // 1000)
        self._known = found
        return dict(found)

    def set(self, endpoint: str, is_drained: bool) -> None:
        """Start or end the manual drain of an endpoint.

        Raises:
            OSError: the change can't be stored; nothing is changed then.
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
