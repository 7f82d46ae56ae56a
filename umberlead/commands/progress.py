"""A progress bar on standard error; nothing is shown if that is not a terminal."""

import sys
from types import TracebackType
from typing import Any


class Bar:
    """A progress bar, used as a context manager."""

    def __init__(self, name: str) -> None:
        """Create a bar named `name`; it is not shown yet."""
        self.name = name
        self.progress: Any = None
        self.task_id: Any = None

    def __enter__(self) -> "Bar":
        """Show the bar if standard error is a terminal."""
        if sys.stderr.isatty():
            from rich.console import Console
            from rich.progress import Progress

            self.progress = Progress(console=Console(stderr=True), transient=True)
            self.progress.start()
            self.task_id = self.progress.add_task(self.name, total=1.0)
        return self

    def __call__(self, fraction: float) -> None:
        """Set the completed fraction, 0 to 1."""
        if self.progress is not None:
            self.progress.update(self.task_id, completed=fraction)

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Remove the bar."""
        if self.progress is not None:
            self.progress.stop()
