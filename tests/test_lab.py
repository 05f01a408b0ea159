"""The laboratory's processes, few and short; its figures are measured by commands and not here."""

import json

import pytest
from click.testing import CliRunner

from eiderfield.cli import main
from eiderfield.lab.experiment import Experiment
from eiderfield.lab.idle_clients import sources
from eiderfield.lab.idle_commands import (
    CommandError,
    Connect,
    ConnectSilently,
    Count,
    HangUp,
    Trickle,
    Wake,
    decode_command,
    encode_command,
)
from eiderfield.lab.processes import LabError, wait_for
from eiderfield.lab.report import show_idle
from eiderfield.lab.stream import StreamReport, histogram
from eiderfield.lab.usage import usage


@pytest.mark.real_time
def test_idle_clients_are_served_parked_woken_and_counted(tmp_path):
    with Experiment(tmp_path) as experiment:
        workers = experiment.start_workers(2)
        config = {"connections": {"park_after_ms": 10}}
        dispatcher = experiment.start_dispatcher("h", config, workers)
        clients = experiment.start_idle_clients(dispatcher.listen, 0, addresses=4)
        report = clients.run(Connect(20))
        assert report.open == 20
        assert report.statuses["200"] == 20
        wait_for("all are parked", lambda: dispatcher.connections("parked") == 20)
        report = clients.run(Wake(5, seconds=0.05))
        assert report.statuses == {"200": 5}
        assert report.histogram().get_total_count() == 5
        assert clients.run(ConnectSilently(2, seconds=0.1)).connected == 2
        report = clients.run(Trickle(2, interval=0.02, seconds=0.2, part="body"))
        assert report.statuses == {"still open": 2}
        stream = experiment.start_stream(dispatcher.listen, 200.0, 0.2, "s").report()
        assert stream.sent == 40
        assert stream.statuses == {"200": 40, "none": 0}
        assert stream.lateness_histogram().get_total_count() == 40
        assert clients.run(HangUp(20)).open == 0
        wait_for("they have left", lambda: dispatcher.connections("open") <= 4)
        assert usage(dispatcher.pid).descriptors > 10
        assert dispatcher.connections("woken") >= 5
        pid = dispatcher.pid
    with pytest.raises(OSError, match="No such"):
        usage(pid)


@pytest.mark.parametrize(
    "command",
    [Connect(1), Wake(2, 0.5), Trickle(1, 0.1, 2.0, "head"), ConnectSilently(3, 1.0), HangUp(4), Count()],
)
def test_a_command_to_idle_clients_is_the_same_after_its_line(command):
    assert decode_command(encode_command(command)) == command


def test_a_line_that_is_no_command_to_idle_clients_is_an_error():
    with pytest.raises(CommandError, match="Explode"):
        decode_command('{"command": "Explode", "arguments": {}}')


def test_idle_clients_stay_on_loopback_addresses():
    assert sources("127.10.0.255", 2) == ["127.10.0.255", "127.10.1.0"]
    with pytest.raises(Exception, match="loopback"):
        sources("127.255.255.255", 2)


def test_a_process_that_does_not_start_is_an_error_and_not_a_hang(tmp_path):
    with Experiment(tmp_path) as experiment, pytest.raises(LabError, match="ended at its start"):
        experiment.start_dispatcher("h", {"limits": {"sockets": 1}}, ["127.0.0.1:1"])
    with pytest.raises(LabError, match="not within 0 s: this"):
        wait_for("this", lambda: False, timeout=0.0)


@pytest.mark.parametrize(
    ("words", "text"),
    [
        (["--connections", "50000"], "a process holds 20000 descriptors"),
        (["--connections", "0"], "--connections"),
        (["--rate", "none"], "--rate"),
        (["--phones"], "No such option"),
    ],
)
def test_a_faulty_command_is_named_and_starts_nothing(words, text):
    result = CliRunner().invoke(main, ["lab", "idle", *words])
    assert result.exit_code in (1, 2)
    assert text in result.output


def test_a_result_is_shown_as_a_table(capsys):
    found = histogram()
    found.record_value(1500)
    one = {"p50": 1.5, "p99": 2.0, "p99.9": 2.5, "max": 3.0}
    latency = {"calm": one, "crowded": one, "ratio": dict.fromkeys(one, 1.0)}
    row = {
        "connections": 9000,
        "bytes each": 28.4,
        "kernel bytes each, both ends": 9000.0,
        "processor at rest": {"calm": 0.0, "crowded": 0.01},
        "latency": latency,
    }
    told = {
        "rate": 300.0,
        "control": latency,
        "steps": [row],
        "wake": {
            "woken": 9,
            "statuses": {"woken": {}, "stream": {}},
            "latency": one,
            "latency of the stream": one,
        },
        "expire": {"expired": 9, "rounds": 1, "seconds": 1.0, "statuses": {}, **latency},
    }
    show_idle(json.loads(json.dumps(told)))
    text = capsys.readouterr().out
    assert "9,000" in text
    assert "28" in text
    assert "1.5 / 2.0 / 2.5" in text
    text = found.encode().decode()
    assert StreamReport(1, {}, text, text).latency_histogram().get_value_at_percentile(50) == 1500
