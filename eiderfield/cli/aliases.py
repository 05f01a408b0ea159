"""Earlier names of commands. They still work and are left out of the help."""

from __future__ import annotations

import copy

import click


def add_hidden_alias(group: click.Group, command: click.Command, earlier_name: str) -> None:
    """Register `command` in `group` a second time, under its earlier name and hidden from the help."""
    alias = copy.copy(command)
    alias.hidden = True
    group.add_command(alias, earlier_name)
