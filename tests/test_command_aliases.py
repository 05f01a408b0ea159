"""Earlier names of commands run the same command and are left out of the help."""

from __future__ import annotations

import pytest
from click.testing import CliRunner

from eiderfield.cli import main


@pytest.mark.parametrize(
    ("group", "name", "earlier_name"),
    [
        (["lab", "fleet"], "durable-requests", "custody"),
        (["lab"], "durable-requests", "custody"),
    ],
    ids=["lab-fleet", "lab"],
)
def test_command_earlier_name_runs_the_same_command_and_is_hidden(group, name, earlier_name):
    def output_of(*words):
        result = CliRunner().invoke(main, [*group, *words, "--help"])
        assert result.exit_code == 0
        return result.output.partition("\n\n")[2]  # the usage line names the command as it was called

    assert output_of(earlier_name) == output_of(name)
    listed = [line.split()[0] for line in output_of().splitlines() if line.startswith("  ")]
    assert name in listed
    assert earlier_name not in listed
