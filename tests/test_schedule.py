"""Tests that are marked `real_time` run in a few sequences when the suite is spread over processes."""

import os
import subprocess
import sys

from support.processes import ROOT
from support.schedule import REAL_TIME_SEQUENCES

TESTS = """
import os, pathlib, pytest

@pytest.mark.real_time
@pytest.mark.parametrize("number", range(12))
def test_records_its_process(number):
    pathlib.Path(f"process-{number}").write_text(os.environ["PYTEST_XDIST_WORKER"])
"""


# Regression: with pytest 9.2 xdist ignored groups, six fleets ran at once, and dispatchers were starved.
def test_real_time_tests_run_on_no_more_processes_than_there_are_sequences(tmp_path):
    (tmp_path / "test_some.py").write_text(TESTS)
    (tmp_path / "pytest.ini").write_text("[pytest]\nmarkers =\n    real_time:\n    long:\n")
    command = [sys.executable, "-m", "pytest", "-q", "-p", "support.schedule", "-p", "no:cacheprovider"]
    environment = {**os.environ, "PYTHONPATH": f"{ROOT}/tests:{ROOT}"}
    done = subprocess.run(
        [*command, "-n", "6", "--dist", "loadgroup"],
        cwd=tmp_path,
        env=environment,
        capture_output=True,
        text=True,
    )
    assert done.returncode == 0, done.stdout + done.stderr
    processes = {path.read_text() for path in tmp_path.glob("process-*")}
    assert 1 <= len(processes) <= REAL_TIME_SEQUENCES
