"""`umberlead rehearse`: runs a script's scenarios with emulated servers, in virtual time or on sockets."""

import sys
from pathlib import Path
from typing import Any

import click

from umberlead.common.errors import UmberleadError

FILE = click.Path(dir_okay=False, exists=True, path_type=Path)


class MissingGroupError(UmberleadError, ValueError):
    """An option needs packages of an optional group that are not installed."""


def format_result(result: Any) -> str:
    """Return a result as text for people."""
    rows = result.rows
    lines = [
        f"{result.scenario}, seed {result.seed}, {result.driver}: service {rows['service']:.1%}",
        f"  whole {rows['whole']:.1%}   worst 10 s {rows['worst_10s']:.1%}   worst class "
        f"{rows['worst_class']:.1%}   wasted work {rows['waste']:.1%}",
    ]
    for kind in ("class", "plan"):
        parts = [
            f"{key.partition('.')[2]} {value:.1%}"
            for key, value in rows.items()
            if key.startswith(f"{kind}.")
        ]
        lines.append(f"  by {kind}: " + "   ".join(parts))
    counts = [
        f"{key.partition('.')[2]} {value:.0f}" for key, value in rows.items() if key.startswith("count.")
    ]
    lines.append("  first tries: " + "   ".join(counts))
    for name in [key.split(".")[1] for key in rows if key.startswith("latency.") and key.endswith(".p50")]:
        parts = [f"p{p} {rows[f'latency.{name}.p{p}']:.0f}" for p in ("50", "90", "99", "99.9")]
        lines.append(f"  {name}, latency in ms from the scheduled time: " + "   ".join(parts))
    if rows["held_back"]:
        lines.append(
            f"  refused or failed after half of their timeout, without an attempt: {rows['held_back']:.0f}"
        )
    for text, outcome, why in result.verdicts:
        lines.append(
            f"  {outcome.upper() if outcome != 'held' else 'held'}: {text}" + (f" ({why})" if why else "")
        )
    if result.breaches:
        lines.append(
            "  RULES BROKEN: " + ", ".join(f"{rule} {count}" for rule, count in result.breaches.items())
        )
        lines += [f"    {words}" for words in result.shown[:8]]
    else:
        lines.append("  no rule broken")
    lines += [f"  FAULT: {fault}" for fault in result.faults]
    if result.late > 0.25:
        lines.append(
            f"  this machine fell up to {result.late:.2f} s behind schedule, which affects the figures"
        )
    return "\n".join(lines)


@click.command()
@click.argument("script", type=FILE)
@click.option("--scenario", "name", help="Run only this scenario of the script.")
@click.option("--seed", type=int, help="Seed that overrides the script's.")
@click.option("--sockets", is_flag=True, help="Run fronts as processes on loopback, in real time.")
@click.option("--figures", type=FILE, help="File of figures that replaces the operators' published ones.")
@click.option(
    "--out", type=click.Path(dir_okay=False, path_type=Path), help="Write the results to this file (JSON)."
)
@click.option(
    "--records",
    type=click.Path(file_okay=False, path_type=Path),
    help="Write every event to this folder (Parquet).",
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
    """Run SCRIPT with emulated servers, check that the fronts keep the rules, and rate their service.

    Exit code 1: a rule was broken, an expectation failed, or a front had a fault.
    """
    from umberlead.commands.progress import Bar
    from umberlead.emulator import rehearsal
    from umberlead.emulator.figures import PUBLISHED, FigureError, Figures
    from umberlead.emulator.plan import ScriptError

    results = []
    try:
        scenarios = [candidate for candidate in rehearsal.read(script) if name in (None, candidate.name)]
        if not scenarios:
            click.echo(f"{script}: there is no scenario {name} with a fleet", err=True)
            sys.exit(2)
        for scenario in scenarios:
            keep = None
            if records is not None:
                try:
                    from umberlead.experiments.dataset import keeper
                except ModuleNotFoundError as error:
                    raise MissingGroupError(
                        f"--records: packages of the group experiments are missing ({error.name})"
                    ) from None
                keep = keeper(records / scenario.name)
            with Bar(scenario.name) as bar:
                results.append(
                    rehearsal.rehearse(
                        scenario,
                        Figures(figures or PUBLISHED),
                        sockets=sockets,
                        seed=seed,
                        progress=bar,
                        keep=keep,
                    )
                )
            click.echo(format_result(results[-1]))
    except (ScriptError, FigureError, ValueError, RuntimeError, OSError) as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    if out is not None:
        out.write_text("".join(result.text() for result in results))
    sys.exit(0 if all(result.held for result in results) else 1)
