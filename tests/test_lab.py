"""The laboratory's processes, few and short; its figures are measured by commands and not here."""

import json

import pytest
from click.testing import CliRunner

from eiderfield.cli import main
from eiderfield.lab.phones import sources
from eiderfield.lab.report import show_idle
from eiderfield.lab.rig import Rig, RigError, decode, wait_for
from eiderfield.lab.stream import histogram
from eiderfield.lab.usage import usage


@pytest.mark.real_time
def test_phones_are_served_parked_woken_and_counted(tmp_path):
    with Rig(tmp_path) as rig:
        workers = rig.workers(2)
        house = rig.dispatcher("h", {"connections": {"park_after_ms": 10}}, workers)
        phones = rig.phones(house.listen, 0, addresses=4)
        told = phones.ask("open", count=20)
        assert told["open"] == 20 and told["statuses"]["200"] == 20
        wait_for("all are parked", lambda: house.figures()["connections"]["parked"] == 20)
        told = phones.ask("wake", count=5, seconds=0.05)
        assert told["statuses"] == {"200": 5} and decode(told["latencies"]).get_total_count() == 5
        assert phones.ask("silent", count=2, seconds=0.1)["connected"] == 2
        told = phones.ask("trickle", count=2, gap=0.02, seconds=0.2, part="body")
        assert told["statuses"] == {"still open": 2}
        stream = rig.stream(house.listen, 200.0, 0.2, "s").result()
        assert stream["sent"] == 40 and stream["statuses"] == {"200": 40, "none": 0}
        assert decode(stream["lateness"]).get_total_count() == 40
        assert phones.ask("hang-up", count=20)["open"] == 0
        wait_for("they have left", lambda: house.figures()["connections"]["open"] <= 4)
        assert usage(house.pid).descriptors > 10
        assert house.figures()["connections"]["woken"] >= 5
        pid = house.pid
    with pytest.raises(OSError):
        usage(pid)


def test_phones_stay_on_loopback_addresses():
    assert sources("127.10.0.255", 2) == ["127.10.0.255", "127.10.1.0"]
    with pytest.raises(Exception, match="loopback"):
        sources("127.255.255.255", 2)


def test_a_process_that_does_not_start_is_an_error_and_not_a_hang(tmp_path):
    with Rig(tmp_path) as rig, pytest.raises(RigError, match="ended at its start"):
        rig.dispatcher("h", {"limits": {"sockets": 1}}, ["127.0.0.1:1"])
    with pytest.raises(RigError, match="not within 0 s: this"):
        wait_for("this", lambda: False, patience=0.0)


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
    assert result.exit_code in (1, 2) and text in result.output


def test_a_result_is_shown_as_a_table(capsys):
    found = histogram()
    found.record_value(1500)
    one = {"p50": 1.5, "p99": 2.0, "p99.9": 2.5, "max": 3.0}
    latency = {"calm": one, "crowded": one, "ratio": dict.fromkeys(one, 1.0)}
    row = {"connections": 9000, "bytes each": 28.4, "kernel bytes each, both ends": 9000.0,
           "processor at rest": {"calm": 0.0, "crowded": 0.01}, "latency": latency}  # fmt: skip
    told = {
        "rate": 300.0, "control": latency, "steps": [row],
        "wake": {"woken": 9, "statuses": {"woken": {}, "stream": {}}, "latency": one,
                 "latency of the stream": one},
        "expire": {"expired": 9, "rounds": 1, "seconds": 1.0, "statuses": {}, **latency},
    }  # fmt: skip
    show_idle(json.loads(json.dumps(told)))
    text = capsys.readouterr().out
    assert "9,000" in text and "28" in text and "1.5 / 2.0 / 2.5" in text
    assert decode(found.encode().decode()).get_value_at_percentile(50) == 1500
