"""The limits that the operators set for the decision module."""

from pathlib import Path

import eiderfield.decide

LINES = Path(eiderfield.decide.__file__).read_text().splitlines()


def test_size():
    assert len([line for line in LINES if line.strip()]) <= 750


def test_line_length():
    assert max(map(len, LINES)) <= 110


def test_names_the_interface_in_its_opening_lines():
    assert any("eiderfield/interface.py" in line for line in LINES[:4])


def test_reads_no_clock_and_does_no_io():
    text = "\n".join(LINES)
    for word in ("import time", "datetime", "import os", "import sys", "open(", "print(", "socket"):
        assert word not in text
