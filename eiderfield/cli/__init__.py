"""The command line `eiderfield`. It imports what a command needs when that command runs."""

from __future__ import annotations

import click

from eiderfield.cli.jobs import jobs
from eiderfield.cli.lab import lab
from eiderfield.cli.rollout import rollout


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """A dispatcher of jobs to workers: its tools and its laboratory.

    The dispatcher itself starts with `python -m eiderfield`.
    """


main.add_command(jobs)
main.add_command(lab)
main.add_command(rollout)
