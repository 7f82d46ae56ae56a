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

    figures = Figures()
    for key, value in changes.items():
        group_path, _, name = key.rpartition(".")
        kind, _, row_name = group_path.partition(".")
        rows = {"class": figures.classes, "plan": figures.plans}.get(kind)
        group: Any = (
            getattr(figures, group_path, None)
            if rows is None
            else next((g for g in rows if g.name == row_name), None)
        )
        if not isinstance(group, Group) or name not in group.got:
            raise FigureError(f"configuration.figures.{key}: there is no such figure")
        group.got = dict(group.got) | {name: {"is": value, "source": "the experiment"}}
    return figures


def settings_with(settings: dict[str, Any], changes: dict[str, Any]) -> None:
    """Apply `changes`, by dotted keys, to `settings` in place.

    Raises:
        ValueError: The settings have no table of a key; the text names both.
    """
    for key, value in changes.items():
        *path, last = key.split(".")
        table: Any = settings
        if key == "gossip":
            settings["gossip"] = value
            continue
        if path == ["rooms"]:  # an optional table, absent from the settings unless it is added here
            settings.setdefault("rooms", {})
        for part in path:
            table = table[int(part)] if isinstance(table, list) and part.isdigit() else table.get(part)
            if not isinstance(table, dict | list):
                raise ValueError(f"configuration.settings.{key}: there is no {part}")
        table[last] = value


def play(order: dict[str, Any]) -> list[dict[str, Any]]:
    """Run all scenarios of the order's script and return a result for each."""
    from umberlead.emulator import rehearsal

    figures, results = figures_with(order["figures"]), []
    for scenario in rehearsal.read(Path(order["script"])):
        result = rehearsal.rehearse(
            scenario,
            figures,
            sockets=order["driver"] == "sockets",
            seed=order["seed"],
            root=Path(order["root"]),
            alter=lambda settings: settings_with(settings, order["settings"]),
        )
        results.append(json.loads(result.text()) | {"late": result.late})
    return results


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
