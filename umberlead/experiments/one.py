"""One cell of an experiment, in a process of its own: a JSON order on standard input, results on standard
output. It runs under any version's tree."""

import json
import sys
from pathlib import Path
from typing import Any


def figures_with(changes: dict[str, Any]) -> Any:
    """The published figures, some of them replaced: `group.key`, a class's or plan's as `class.NAME.key`."""
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
    """In place; ValueError names a key whose table there is none of."""
    for key, value in changes.items():
        *path, last = key.split(".")
        at: Any = told
        if key == "gossip":
            told["gossip"] = value
            continue
        if path == ["rooms"]:  # a table of its own in an operator's file; there is none before
            told.setdefault("rooms", {})
        for part in path:
            at = at[int(part)] if isinstance(at, list) and part.isdigit() else at.get(part)
            if not isinstance(at, dict | list):
                raise ValueError(f"configuration.settings.{key}: there is no {part}")
        at[last] = value


def play(order: dict[str, Any]) -> list[dict[str, Any]]:
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
    order = json.loads(sys.stdin.read())
    try:
        print(json.dumps(play(order)))
    except Exception as fault:  # its text is the cell's result
        print(f"{type(fault).__name__}: {fault}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
