"""The measurements of durable requests run, and show that a stopped process blocks no other process."""

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


def test_stopped_process_blocks_the_writers_of_one_store_but_not_of_separate_stores(tmp_path):
    rows = {row.way: row for row in ways((3,), 6.0, tmp_path)}
    rows_with_stop = {way: row for way, row in rows.items() if "stopped" in way}
    separate_stores, one_store = (
        rows_with_stop[f"{way}, one stopped within a commit"] for way in ("a store each", "one store")
    )
    assert separate_stores.commits_per_s > 0
    assert one_store.gap > 5.0 * separate_stores.gap


def test_successor_takes_over_all_open_requests(tmp_path):
    recovered = recovery(600, 20.0, tmp_path)
    assert recovered.adopted == 600
    assert 0.0 < recovered.read <= recovered.first
    assert commits(0.2, tmp_path) > 0.0


def test_commands_print_a_line_for_each_measurement():
    arguments = ["--dispatchers", "2", "--rate", "30", "--seconds", "1", "--rounds", "1"]
    result = CliRunner().invoke(main, ["lab", "durable-requests", "cost", *arguments])
    assert result.exit_code == 0
    assert result.output.count("served") == 2
    assert "B a kept job" in result.output
    result = CliRunner().invoke(
        main, ["lab", "durable-requests", "recovery", "--records", "300", "--seconds", "1"]
    )
    assert result.exit_code == 0
    assert "300 records" in result.output


def test_dispatcher_imports_no_module_of_durable_requests_unless_configured():
    code = "import sys, eiderfield.__main__; print(*sys.modules)"
    result = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    package = "eiderfield.durable_requests"
    imported = [
        module
        for module in result.stdout.split()
        if module.startswith(package) or module in ("sqlite3", "click", "numpy")
    ]
    assert "eiderfield.exchange" in result.stdout
    assert imported == []


def test_example_configuration_makes_its_second_class_durable():
    config = read_text((ROOT / "deploy" / "durable-requests-example.toml").read_text())
    assert config.durable_requests is not None
    assert config.durable_requests.classes == {1}
    assert config.durable_requests.lease_ms == 3000.0
    assert config.client_connections + config.worker_connections == 1024 - 40 - 16 - 32
