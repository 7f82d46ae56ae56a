"""`umberlead rehearse`: a script's scenarios over emulated servers, in virtual time or on sockets."""

import sys
from pathlib import Path
from typing import Any

import click

from umberlead.common.errors import UmberleadError

FILE = click.Path(dir_okay=False, exists=True, path_type=Path)


class MissingGroupError(UmberleadError, ValueError):
    """An option needs packages of a group that isn't installed."""


def told(result: Any) -> str:
    """A result as a person reads it."""
    rows = result.rows
    lines = [
        f"{result.scenario}, seed {result.seed}, {result.driver}: service {rows['service']:.1%}",
        f"  whole {rows['whole']:.1%}   worst 10 s {rows['worst_10s']:.1%}   worst class "
        f"{rows['worst_class']:.1%}   wasted work {rows['waste']:.1%}",
    ]
    for kind in ("class", "plan"):
        parts = [f"{k.partition('.')[2]} {v:.1%}" for k, v in rows.items() if k.startswith(f"{kind}.")]
        lines.append(f"  by {kind}: " + "   ".join(parts))
    counts = [f"{k.partition('.')[2]} {v:.0f}" for k, v in rows.items() if k.startswith("count.")]
    lines.append("  first tries: " + "   ".join(counts))
    for name in [k.split(".")[1] for k in rows if k.startswith("latency.") and k.endswith(".p50")]:
        parts = [f"p{p} {rows[f'latency.{name}.p{p}']:.0f}" for p in ("50", "90", "99", "99.9")]
        lines.append(f"  {name}, ms from when it was due: " + "   ".join(parts))
    if rows["held_back"]:
        lines.append(
            f"  refused or failed after half of their time, with no attempt: {rows['held_back']:.0f}"
        )
    for text, outcome, why in result.verdicts:
        lines.append(
            f"  {outcome.upper() if outcome != 'held' else 'held'}: {text}" + (f" ({why})" if why else "")
        )
    if result.breaches:
        lines.append("  RULES BROKEN: " + ", ".join(f"{n} {c}" for n, c in result.breaches.items()))
        lines += [f"    {words}" for words in result.shown[:8]]
    else:
        lines.append("  no rule broken")
    lines += [f"  FAULT: {fault}" for fault in result.faults]
    if result.late > 0.25:
        lines.append(
            f"  this machine was {result.late:.2f} s behind at worst: the figures are the machine's too"
        )
    return "\n".join(lines)


@click.command()
@click.argument("script", type=FILE)
@click.option("--scenario", "name", help="Only this one of the script.")
@click.option("--seed", type=int, help="In place of the script's.")
@click.option("--sockets", is_flag=True, help="Fronts as processes on loopback, in real time.")
@click.option("--figures", type=FILE, help="Figures in place of the operators' published ones.")
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path), help="Write the results here (JSON).")
@click.option(
    "--records", type=click.Path(file_okay=False, path_type=Path), help="Write every event here (Parquet)."
)
def rehearse(
    script: Path,
    name: str | None,
    seed: int | None,
    sockets: bool,
    figures: Path | None,
    out: Path | None,
    records: Path | None,
) -> None:
    """Play SCRIPT over emulated servers, judge the fronts by the rules, and price their service.

    Exit code 1: a rule was broken, an expectation failed, or a front erred.
    """
    from umberlead.commands.progress import Bar
    from umberlead.emulator import rehearsal
    from umberlead.emulator.figures import PUBLISHED, FigureError, Figures
    from umberlead.emulator.plan import ScriptError

    made = []
    try:
        scenarios = [s for s in rehearsal.read(script) if name in (None, s.name)]
        if not scenarios:
            click.echo(f"{script}: there is no scenario {name} with a fleet", err=True)
            sys.exit(2)
        for of in scenarios:
            keep = None
            if records is not None:
                try:
                    from umberlead.experiments.dataset import keeper
                except ModuleNotFoundError as fault:
                    raise MissingGroupError(f"--records needs the group experiments ({fault.name})") from None
                keep = keeper(records / of.name)
            with Bar(of.name) as bar:
                made.append(
                    rehearsal.rehearse(
                        of, Figures(figures or PUBLISHED), sockets=sockets, seed=seed, progress=bar, keep=keep
                    )
                )
            click.echo(told(made[-1]))
    except (ScriptError, FigureError, ValueError, RuntimeError, OSError) as fault:
        click.echo(str(fault), err=True)
        sys.exit(2)
    if out is not None:
        out.write_text("".join(r.text() for r in made))
    sys.exit(0 if all(r.held for r in made) else 1)
