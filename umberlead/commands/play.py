"""`umberlead standin` and `umberlead demo`: chunk servers that stand in, and a front beside them."""

import subprocess
import sys
from pathlib import Path

import click

FILE = click.Path(dir_okay=False, exists=True, path_type=Path)


@click.command()
@click.argument("path", type=FILE)
@click.option("--seed", default=1, show_default=True)
@click.option("--unit-ms", default=2.0, show_default=True, help="Mean work of a unit.")
@click.option("--errors", default=0.0, help="Part of requests that run and end in 500.")
@click.option("--resets", default=0.0, help="Part of requests that run and whose connection breaks.")
@click.option("--synthetic", is_flag=True, help="Answer reads of unknown blocks with a body.")
@click.option("--record", type=click.Path(dir_okay=False, path_type=Path), help="Write each request here.")
@click.option("--quiet", is_flag=True)
def standin(
    path: Path,
    seed: int,
    unit_ms: float,
    errors: float,
    resets: float,
    synthetic: bool,
    record: Path | None,
    quiet: bool,
) -> None:
    """Stand in for every chunk server of the list PATH, on loopback."""
    from umberlead.commands.lists import _good
    from umberlead.standins import fleet
    from umberlead.standins.chunkserver import Model

    servers = list(_good(path, names=True).servers.values())
    model = Model(unit=unit_ms / 1000, errors=errors, resets=resets, synthetic=synthetic)
    try:
        fleet.main(servers, model, record, seed, quiet)
    except (OSError, fleet.NotLoopback) as fault:
        click.echo(f"standin: {fault}", err=True)
        sys.exit(2)


@click.command()
@click.argument("config", type=FILE)
def demo(config: Path) -> None:
    """Run the front of CONFIG beside stand-ins for every chunk server of its watched list."""
    from umberlead import config as read

    try:
        lists = read.operator(str(config)).lists
    except read.ConfigError as fault:
        click.echo(f"{config}: {fault}", err=True)
        sys.exit(2)
    if lists is None:
        click.echo(f"{config}: membership: the front watches no list", err=True)
        sys.exit(2)
    program = [sys.executable, "-m", "umberlead"]
    beside = subprocess.Popen([*program, "standin", str(lists.main)])
    front = subprocess.Popen([*program, "run", str(config)])
    status = 130
    try:
        status = front.wait()
    except KeyboardInterrupt:
        status = front.wait()
    finally:
        beside.terminate()
        beside.wait()
    sys.exit(status)
