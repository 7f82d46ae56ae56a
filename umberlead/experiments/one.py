"""Runs one cell of an experiment in its own process.

It reads the order as JSON from standard input and writes the results as JSON to standard output. It must run
in the source tree of any version.
"""

import json
import sys
from pathlib import Path
from typing import Any


def figures_with(changes: dict[str, Any]) -> Any:
    """Return the published figures with `changes` applied.

    A key is `group.key`; for a request class or a plan it is `class.NAME.key` or `plan.NAME.key`.

    Raises:
        FigureError: There is no figure of that key.
    """
    from umberlead.emulator.figures import FigureError, Figures, Group

    made = Figures()
    for key, value in changes.items():
        of, _, name = key.rpartition(".")
        head, _, rest = of.partition(".")
        rows = {"class": made.classes, "plan": made.plans}.get(head)
        group: Any = (
            getattr(made, of, None) if rows is None else next((g for g in rows if g.name == rest), None)
        )
        if not isinstance(group, Group) or name not in group.got:
            raise FigureError(f"configuration.figures.{key}: there is no such figure")
        group.got = dict(group.got) | {name: {"is": value, "source": "the experiment"}}
    return made


def settings_with(told: dict[str, Any], changes: dict[str, Any]) -> None:
    """Apply `changes`, by dotted keys, to the settings `told` in place.

    Raises:
        ValueError: The settings have no table of a key; the text names both.
    """
    for key, value in changes.items():
        *path, last = key.split(".")
        at: Any = told
        if key == "gossip":
            told["gossip"] = value
            continue
        if path == ["rooms"]:  # an optional table, absent from the settings unless it is added here
            told.setdefault("rooms", {})
        for part in path:
            at = at[int(part)] if isinstance(at, list) and part.isdigit() else at.get(part)
            if not isinstance(at, dict | list):
                raise ValueError(f"configuration.settings.{key}: there is no {part}")
        at[last] = value


def play(order: dict[str, Any]) -> list[dict[str, Any]]:
    """Run all scenarios of the order's script and return a result for each."""
    from umberlead.emulator import rehearsal

    figures, made = figures_with(order["figures"]), []
    for of in rehearsal.read(Path(order["script"])):
        result = rehearsal.rehearse(
            of,
            figures,
            sockets=order["driver"] == "sockets",
            seed=order["seed"],
            root=Path(order["root"]),
            alter=lambda told: settings_with(told, order["settings"]),
        )
        made.append(json.loads(result.text()) | {"late": result.late})
    return made


def main() -> int:
    """Run the order from standard input; return 1 and write the error to standard error if it fails."""
    order = json.loads(sys.stdin.read())
    try:
        print(json.dumps(play(order)))
    except Exception as fault:  # the parent process reports the text as the cell's fault
        print(f"{type(fault).__name__}: {fault}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
