"""`umberlead standin` and `umberlead demo`: emulated chunk servers, and a front that uses them."""

import sys
from pathlib import Path

import click

FILE = click.Path(dir_okay=False, exists=True, path_type=Path)


@click.command()
@click.argument("path", type=FILE)
@click.option("--seed", default=1, show_default=True)
@click.option("--unit-ms", default=2.0, show_default=True, help="Mean processing time of a unit of work.")
@click.option(
    "--errors", default=0.0, help="Fraction of requests that are executed and answered with status 500."
)
@click.option(
    "--resets", default=0.0, help="Fraction of requests that are executed and whose connection breaks."
)
@click.option("--synthetic", is_flag=True, help="Answer reads of unknown blocks with a synthetic body.")
@click.option(
    "--record",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Write a record of each request to this file.",
)
@click.option("--emulated", is_flag=True, help="Emulate the servers by the operators' published figures.")
@click.option("--quiet", is_flag=True)
def standin(
    path: Path,
    seed: int,
    unit_ms: float,
    errors: float,
    resets: float,
    synthetic: bool,
    record: Path | None,
    emulated: bool,
    quiet: bool,
) -> None:
    """Emulate every chunk server of the list PATH on loopback."""
    from umberlead.commands.lists import checked_list_or_exit
    from umberlead.testing import fleet
    from umberlead.testing.chunkserver import Model

    servers = list(checked_list_or_exit(path, resolve_names=True).endpoints.values())
    model = Model(unit=unit_ms / 1000, errors=errors, resets=resets, synthetic=synthetic)
    try:
        fleet.main(servers, model, record, seed, quiet, emulated)
    except (OSError, fleet.NotLoopbackError) as error:
        click.echo(f"standin: {error}", err=True)
        sys.exit(2)


@click.command()
@click.argument("config", type=FILE)
@click.option("--seconds", type=float, help="Duration in seconds [default: until Ctrl-C].")
@click.option(
    "--rate", default=12.0, show_default=True, help="Objects written or read per second; 0 for none."
)
@click.option("--seed", default=1, show_default=True)
def demo(config: Path, seconds: float | None, rate: float, seed: int) -> None:
    """Run the front of CONFIG with an emulated node for each server of its list, and write and read objects.

    Every object that is read is compared byte for byte with the object that was stored. Exit code 1: an
    object differed, or the front did not end cleanly.
    """
    from umberlead import configuration
    from umberlead.commands.lists import checked_list_or_exit
    from umberlead.load_generator import showing

    try:
        conf = configuration.load_operator_file(str(config))
    except configuration.ConfigError as error:
        click.echo(f"{config}: {error}", err=True)
        sys.exit(2)
    if conf.watched_lists is None or conf.object_api is None:
        key = "membership" if conf.watched_lists is None else "objects"
        click.echo(f"{config}: {key}: the demo needs a watched list and an object API", err=True)
        sys.exit(2)
    servers = list(checked_list_or_exit(conf.watched_lists.main_path, resolve_names=True).endpoints.values())
    try:
        succeeded = showing.main(config, servers, sorted(conf.object_api.plan_by_bucket), seconds, rate, seed)
    except (OSError, showing.FrontStartError) as error:
        click.echo(f"demo: {error}", err=True)
        sys.exit(2)
    sys.exit(0 if succeeded else 1)
