"""A pytest plugin that passes over the tests listed in KNOWN-RED.txt, and over no others.

Each line of the file at the root names a test that fails for a real fault: `node id | cause | issue`. A
listed test still runs; its failure is reported as an expected one, and its success is a failure, so that its
line goes with the fault. Without the file, or with an empty one, nothing is passed over.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

FILE_NAME = "KNOWN-RED.txt"
MOST_LINES = 3
SEPARATOR = " | "


class KnownRedError(ValueError):
    """The list of known failures cannot be used."""


@dataclass(frozen=True)
class KnownRed:
    """A test that is known to fail."""

    node_id: str
    cause: str
    issue: str


def read_known_red(path: Path) -> list[KnownRed]:
    """The tests that a file lists; KnownRedError names the line that is at fault."""
    if not path.exists():
        return []
    lines = [line.strip() for line in path.read_text().splitlines() if line.strip()]
    if len(lines) > MOST_LINES:
        raise KnownRedError(f"{path.name}: {len(lines)} tests are listed, {MOST_LINES} at most may be")
    known = [_read_line(path.name, line) for line in lines]
    node_ids = [entry.node_id for entry in known]
    if len(set(node_ids)) < len(node_ids):
        raise KnownRedError(f"{path.name}: a test is listed twice")
    return known


def _read_line(file_name: str, line: str) -> KnownRed:
    fields = [field.strip() for field in line.rsplit(SEPARATOR, 2)]
    if len(fields) != 3 or not all(fields):
        raise KnownRedError(f"{file_name}: a line is 'node id | cause | issue', not {line!r}")
    return KnownRed(*fields)


KNOWN_RED = pytest.StashKey[list[KnownRed]]()


def pytest_configure(config: pytest.Config) -> None:
    """Reads the list once."""
    try:
        config.stash[KNOWN_RED] = read_known_red(config.rootpath / FILE_NAME)
    except KnownRedError as error:
        raise pytest.UsageError(str(error)) from error


@pytest.hookimpl(tryfirst=True)  # xdist adds its groups to the node ids in the same hook
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Expects the listed tests to fail; one that passes is a failure."""
    known = {entry.node_id: entry for entry in config.stash[KNOWN_RED]}
    for item in items:
        if (entry := known.get(item.nodeid)) is not None:
            item.add_marker(pytest.mark.xfail(reason=f"{entry.cause} ({entry.issue})", strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Prints what the list names."""
    for entry in config.stash[KNOWN_RED]:
        terminalreporter.write_line(f"known red: {entry.node_id}: {entry.cause} ({entry.issue})")
