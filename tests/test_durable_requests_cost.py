"""The measurements of durable requests run, and show that no process waits for one that is stopped."""

from __future__ import annotations

import subprocess
import sys

import pytest
from click.testing import CliRunner
from support.processes import ROOT

from eiderfield.cli import main
from eiderfield.config.loader import read_text
from eiderfield.lab.durable_requests.store_writes import ways
from eiderfield.lab.durable_requests.throughput import commits, recovery

pytestmark = pytest.mark.real_time


def test_one_store_stops_with_the_process_that_holds_it_and_stores_of_their_own_do_not(tmp_path):
    rows = {row.way: row for row in ways((3,), 6.0, tmp_path)}
    stopped = {way: row for way, row in rows.items() if "stopped" in way}
    own, one = (stopped[f"{way}, one stopped within a commit"] for way in ("a store each", "one store"))
    assert own.commits_per_s > 0
    assert one.gap > 5.0 * own.gap


def test_an_heir_takes_over_all_that_was_left(tmp_path):
    found = recovery(600, 20.0, tmp_path)
    assert found.adopted == 600
    assert 0.0 < found.read <= found.first
    assert commits(0.2, tmp_path) > 0.0


def test_the_commands_print_a_line_for_each_part():
    words = ["--dispatchers", "2", "--rate", "30", "--seconds", "1", "--rounds", "1"]
    told = CliRunner().invoke(main, ["lab", "durable-requests", "cost", *words])
    assert told.exit_code == 0
    assert told.output.count("served") == 2
    assert "B a kept job" in told.output
    told = CliRunner().invoke(
        main, ["lab", "durable-requests", "recovery", "--records", "300", "--seconds", "1"]
    )
    assert told.exit_code == 0
    assert "300 records" in told.output


def test_the_dispatcher_imports_nothing_of_it_where_it_is_off():
    code = "import sys, eiderfield.__main__; print(*sys.modules)"
    told = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    package = "eiderfield.durable_requests"
    found = [m for m in told.stdout.split() if m.startswith(package) or m in ("sqlite3", "click", "numpy")]
    assert "eiderfield.exchange" in told.stdout
    assert found == []


def test_the_example_keeps_the_class_that_must_not_be_lost():
    config = read_text((ROOT / "deploy" / "durable-requests-example.toml").read_text())
    assert config.durable_requests is not None
    assert config.durable_requests.classes == {1}
    assert config.durable_requests.lease_ms == 3000.0
    assert config.client_connections + config.worker_connections == 1024 - 40 - 16 - 32
