"""Limits that the operators set for each module of the policy: size, line length, no clock and no I/O."""

from pathlib import Path

import pytest

import eiderfield.policy

FILES = sorted(Path(eiderfield.policy.__file__).parent.glob("**/*.py"))
DISPATCHER = Path(eiderfield.policy.__file__).with_name("dispatcher.py")


@pytest.fixture(params=FILES, ids=lambda path: path.name)
def lines(request):
    return request.param.read_text().splitlines()


def test_every_module_of_the_package_is_checked():
    assert len(FILES) >= 18


def test_module_has_at_most_500_lines(lines):
    assert len([line for line in lines if line.strip()]) <= 500


def test_lines_have_at_most_110_characters(lines):
    assert max(map(len, lines)) <= 110


def test_dispatcher_module_names_the_interface_in_its_first_lines():
    assert any("eiderfield/interface.py" in line for line in DISPATCHER.read_text().splitlines()[:4])


def test_module_reads_no_clock_and_does_no_io(lines):
    text = "\n".join(lines)
    for word in ("import time", "datetime", "import os", "import sys", "open(", "print(", "socket"):
        assert word not in text
