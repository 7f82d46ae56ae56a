"""The command line, built on click. Each command imports the modules that it needs only when it runs.

Exit codes: 0 for success; 1 for a negative result (a list with problems, lists that differ); 2 if the command
can't be carried out. Results go to standard output, errors to standard error.
"""

import os
from pathlib import Path

import click

from umberlead.commands.expect import expect
from umberlead.commands.experiment import experiment, report
from umberlead.commands.lists import lists
from umberlead.commands.play import demo, standin
from umberlead.commands.rehearse import rehearse


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def command() -> None:
    """umberlead: a front for storage nodes."""


@command.command()
@click.argument("config", required=False, type=click.Path(dir_okay=False, path_type=Path))
def run(config: Path | None) -> None:
    """Run one front, configured by the TOML file CONFIG or, as `python -m umberlead`, by the environment."""
    from umberlead.start import main

    if config is not None:
        os.environ["UMBERLEAD_CONFIG"] = str(config)
    main()


command.add_command(lists, "list")
command.add_command(expect)
command.add_command(standin)
command.add_command(demo)
command.add_command(rehearse)
command.add_command(experiment)
command.add_command(report)
