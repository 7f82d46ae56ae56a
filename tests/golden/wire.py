"""What the simulator's wire is told: the replies to a recorded input, and a line for each action."""

import io
from collections.abc import Callable
from contextlib import redirect_stderr
from pathlib import Path

from tests.golden.stored import HERE, lines
from umberlead.scheduling.actions import (
    Action,
    Cancel,
    EndReason,
    Fail,
    HealthCheck,
    LogNote,
    Reject,
    Send,
    SetTimer,
    WatchEndpoints,
)
from umberlead.simulator_adapter.parsing import format_action
from umberlead.simulator_adapter.session import run


def actions(_: Path) -> bytes:
    """A line of the wire for each action, those that no recorded input brings too."""
    rows: list[Action] = [
        Send("t/a", "10.0.0.1:80"),
        Reject("t/a", 5),
        Reject("t/a", 0, EndReason.OVERLOAD),
        Fail("t/a", EndReason.OBJECTIVE_PASSED),
        Cancel("t/a", 2),
        SetTimer(7, "x"),
        HealthCheck("10.0.0.1:80"),
        WatchEndpoints(),
        LogNote("a b"),
    ]
    return lines([format_action(row) for row in rows])


def wire(_: Path) -> bytes:
    """The replies to the recorded input."""
    sink, said = io.StringIO(), io.StringIO()
    with redirect_stderr(said):
        code = run(io.StringIO((HERE / "wire.in").read_text()), sink)
    return f"{sink.getvalue()}{said.getvalue()}exit {code}\n".encode()


FILES: dict[str, Callable[[Path], bytes]] = {
    "actions.json": actions,
    "wire.out": wire,
}
