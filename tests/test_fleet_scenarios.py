"""Runs of many processes: their scenarios, the rules on planted breaches, and runs with faults."""

from __future__ import annotations

import json
import signal
from dataclasses import replace

import pytest
from click.testing import CliRunner
from support.processes import ROOT

from eiderfield.cli import main
from eiderfield.lab.fleet import commands
from eiderfield.lab.fleet.addresses import AddressPool
from eiderfield.lab.fleet.event_log import EventLogReader, EventLogWriter, read_events
from eiderfield.lab.fleet.fleet import Fleet, play
from eiderfield.lab.fleet.rules import FinalState, InjectedFault, check_rules
from eiderfield.lab.fleet.run_report import write_events, write_page
from eiderfield.lab.fleet.scenario import FAULTS, RESOURCE_FAULTS, Fault, Scenario, ScenarioError
from eiderfield.lab.fleet.scenario_draw import draw_jobs, draw_scenario
from eiderfield.lab.fleet.scenario_file import parse_scenario, validated
from eiderfield.lab.processes import call_console

SCENARIO = Scenario()


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("jobs = -1", "jobs"),
        ("jobs = true", "jobs"),
        ("zones = 0", "zones"),
        ('source = "zookeeper"', "source"),
        ("wrokers = 3", "wrokers"),
        ("settings = 3", "settings"),
        ("name = 3", "name"),
        ("x = [", "not TOML"),
        ("fault = 3", "fault"),
        ('[[fault]]\nwhat = "kill"\nat = 1', "fault.0.who"),
        ('[[fault]]\nwhat = "kill"\nwho = "n9"\nat = 1', "fault.0.who"),
        ('[[fault]]\nwhat = "kill"\nwho = "x"\nat = 1', "fault.0.who"),
        ('[[fault]]\nwhat = "drain"\nwho = "n0"\nat = 1', "fault.0.what"),
        ('[[fault]]\nwhat = "cut"\nwho = "n0>n1>w2"\nat = 1', "fault.0.who"),
        ('[[fault]]\nwhat = "kill"\nwho = "n0"', "fault.0 needs"),
        ('[[fault]]\nwhat = "kill"\nwho = "n0"\nat = 1\non = "begun:1"', "fault.0 needs"),
        ('[[fault]]\nwhat = "kill"\nwho = "n0"\non = "ended:1"', "fault.0.on"),
        ('[[fault]]\nwhat = "kill"\nwho = "n0"\non = "begun:n7:1"', "fault.0.on"),
        ('[[fault]]\nwhat = "reset"\nwho = "n0>w0"\nat = 1\nlasts = 2', "fault.0.lasts"),
        ('[[fault]]\nwhat = "cut"\nwho = "n0>w0"\nat = 1\nway = "up"', "fault.0.way"),
        ('[[fault]]\nwhat = "kill"\nwho = "n0"\nat = -1', "fault.0"),
        ('[[fault]]\nwhat = "kill"\nwho = 3\nat = 1', "fault.0.who"),
    ],
)
def test_a_faulty_scenario_is_refused_by_the_name_of_its_key(text, key):
    with pytest.raises(ScenarioError) as error:
        parse_scenario(text)
    assert str(error.value).startswith(key)


def test_a_seed_draws_the_same_scenario_and_jobs_for_ever():
    drawn = [draw_scenario(seed) for seed in range(40)]
    assert drawn == [draw_scenario(seed) for seed in range(40)]
    assert {fault.what for seed in range(400) for fault in draw_scenario(seed).faults} >= {
        what for faults in FAULTS.values() for what in faults if what not in RESOURCE_FAULTS
    }
    assert draw_jobs(SCENARIO) == draw_jobs(SCENARIO) != draw_jobs(replace(SCENARIO, seed=2))


def came(t, id_="a", worker="w0", by="n0", **more):
    event = {"t": t, "what": "came", "id": id_, "job": "j", "worker": worker, "by": by}
    return {**event, "run": 100.0, "share": 1.0, **more}


def began(t, id_="a", kind="lookup", worker="w0", group=0):
    return {
        "t": t,
        "what": "began",
        "id": id_,
        "job": "j",
        "kind": kind,
        "worker": worker,
        "by": "n0",
        "group": group,
        "key": "",
    }


def asked(t=1.0, id_="a", kind="lookup"):
    return {"t": t, "what": "asked", "id": id_, "job": "j", "kind": kind, "at": "n0", "left": 5.0}


def answered(t=2.0, status=200, result="w0:1:j", kind="lookup"):
    return {
        "t": t,
        "what": "answered",
        "id": "a",
        "job": "j",
        "kind": kind,
        "at": "n0",
        "status": status,
        "result": result,
    }


ENDED = {"t": 1.9, "what": "ended", "id": "a", "job": "j", "worker": "w0", "by": "n0", "result": "w0:1:j"}
TOLD = {"t": 0.0, "what": "told", "to": "n0", "workers": {"w0": "DRAINING"}}
MENDED = {"t": 0.0, "what": "mended", "fault": "restart", "worker": "w0"}
WELL = FinalState("n0", 0, 0, 20, 12, 0)
PLANTED = {
    "answered": ([], [asked()], [], []),
    "answered, broke": (
        [],
        [asked(), {**asked(2.0), "what": "broke"}],
        [InjectedFault("kill", "n1", 0.0)],
        [],
    ),
    "made": ([ENDED], [asked(), answered(result="w0:2:j")], [], []),
    "made for another": ([{**ENDED, "job": "k"}], [asked(), answered()], [], []),
    "once": ([began(1.0, kind="confirm"), began(1.5, kind="confirm")], [], [], []),
    "once, groups": ([began(1.0, kind="report"), began(1.5, kind="report", group=1)], [], [], []),
    "copies": ([came(1.0), came(1.1, worker="w1")], [], [], []),
    "declined": ([began(1.0, kind="confirm")], [asked(), answered(status=503, kind="confirm")], [], []),
    "drain": ([TOLD, came(1.0)], [], [], []),
    "cold": ([MENDED, *[came(1.0 + n / 1000, id_=str(n), share=0.3) for n in range(40)]], [], [], []),
    "rest": ([], [], [], [replace(WELL, inflight=1)]),
    "rest, descriptors": ([], [], [], [replace(WELL, descriptors=90)]),
    "ends": ([], [], [], [replace(WELL, code=-9)]),
}


@pytest.mark.parametrize("planted", PLANTED)
def test_each_rule_finds_what_breaks_it_and_nothing_else(planted):
    found = check_rules(SCENARIO, *PLANTED[planted])
    assert {finding.rule for finding in found} == {planted.partition(",")[0].split()[0]}


@pytest.mark.parametrize(
    ("workers", "clients", "faults", "rest"),
    [
        ([came(1.0), began(1.1), ENDED], [asked(), answered()], [], [WELL]),
        ([], [asked(), {**asked(2.0), "what": "broke"}], [InjectedFault("kill", "n0", 1.5)], []),
        ([], [asked(), {**asked(6.0), "what": "left"}], [InjectedFault("cut", "c>n0", 0.5, 4.0)], []),
        ([came(1.0), {**ENDED, "what": "dropped", "t": 1.05}, came(1.1, worker="w1")], [], [], []),
        ([came(1.0), came(1.1, worker="w1"), {**ENDED, "what": "parted", "t": 1.15}], [], [], []),
        ([came(1.0), came(1.1, worker="w1")], [], [InjectedFault("cut", "n0>w0", 0.9, 2.0)], []),
        ([TOLD, came(0.4)], [], [], []),
        ([TOLD, came(1.0)], [], [InjectedFault("cut", "n0>source", 0.0, 2.0)], []),
        ([TOLD, {**TOLD, "t": 0.5, "workers": {"w0": "SERVING"}}, came(1.0)], [], [], []),
        ([began(1.0)], [asked(), answered(status=503)], [], []),
        ([MENDED, came(1.0, share=0.3)], [], [], []),
        ([], [], [InjectedFault("kill", "n0", 1.0)], [replace(WELL, code=-9)]),
    ],
)
def test_what_is_allowed_or_excused_is_no_finding(workers, clients, faults, rest):
    assert check_rules(SCENARIO, workers, clients, faults, rest) == []


def test_a_kept_job_that_nobody_answers_or_two_ways_is_a_finding():
    scenario = replace(SCENARIO, custody={"lease_ms": 900})
    broke = {**asked(), "t": 2.0, "what": "broke", "why": "x"}
    killed = [InjectedFault("kill", "n0", 1.5)]
    assert [f.rule for f in check_rules(scenario, [], [asked(), broke], killed, [])] == ["lost"]
    assert check_rules(SCENARIO, [], [asked(), broke], killed, []) == [], (
        "nothing is promised without custody"
    )
    left = {**asked(), "t": 7.0, "what": "left", "why": "x"}
    assert check_rules(scenario, [], [asked(), left], [InjectedFault("stop", "n0", 1.5, 8.0)], []) == []
    where = {"job": "j", "worker": "w0", "by": "n0", "id": "a"}
    ends = [{"t": 1.5, "what": "ended", "result": f"w0:{n}:j", **where} for n in (1, 2)]
    twice = [asked(), *[{**answered(2.0 + n, 200, f"w0:{n}:j"), "try": str(n)} for n in (1, 2)]]
    assert [f.rule for f in check_rules(scenario, ends, twice, killed, [])] == ["one"]


def test_an_event_log_is_read_while_it_is_written_and_no_half_line(tmp_path):
    path = tmp_path / "b.jsonl"
    reader = EventLogReader(path)
    assert reader.read_new() == []
    log = EventLogWriter(path)
    log.write("one")
    with path.open("a") as file:
        file.write('{"t": 1, "what"')
    assert [event["what"] for event in reader.read_new()] == ["one"]
    assert reader.read_new() == []
    with path.open("a") as file:
        file.write(': "two"}\n')
    assert [event["what"] for event in reader.read_new()] == ["two"]
    assert len(read_events(path)) == 2


def test_runs_that_are_played_at_once_have_hosts_of_their_own(monkeypatch):
    """Nine runs of one process and the first of the next one came to the same host: a port was taken."""
    monkeypatch.setattr("eiderfield.lab.fleet.addresses.os.getpid", lambda: 77)
    monkeypatch.setattr("eiderfield.lab.fleet.addresses._pool_numbers", iter([8, 8, 0, 8]))
    ports = [AddressPool() for _ in range(3)]
    assert len({each.host for each in ports}) == 3
    for each in ports:
        each.close()
    again = AddressPool()
    assert again.host == ports[0].host
    again.close()


SMALL = Scenario(dispatchers=2, workers=4, cell=2, jobs=60, rate=40.0, notice=0.3)
RUNS = {
    "killed at its fifth leg": (Fault("kill", "n0", on="begun:n0:5"),),
    "stopped with legs out": (Fault("stop", "n1", on="begun:10", lasts=1.5),),
    "cut off from half of the workers": (
        Fault("cut", "n0>w0", at=0.3, lasts=1.0),
        Fault("cut", "n0>w1", at=0.3, lasts=1.0),
    ),
    "a worker restarts while one dispatcher is told to end": (
        Fault("restart", "w1", on="begun:8", lasts=0.3),
        Fault("term", "n1", on="begun:15", lasts=0.5),
    ),
    "every leg's connection broken at once, and discovery silent": (
        Fault("reset", "n*>w*", on="begun:20"),
        Fault("silent", "source", at=0.1, lasts=1.0),
    ),
    "no line of a log can be written while two workers are silent": (
        Fault("disk", "n0", on="begun:5", lasts=3.0),
        Fault("silent", "w0", on="begun:8", lasts=2.0),
        Fault("silent", "w1", on="begun:8", lasts=2.0),
    ),
    "memory used up": (Fault("memory", "n0", on="begun:5", lasts=1.5),),
    "a drain, a restart and silence told by consul": (
        Fault("drain", "w1", on="begun:10", lasts=1.0),
        Fault("restart", "w2", on="begun:20", lasts=0.3),
        Fault("silent", "source", at=0.8, lasts=0.5),
    ),
}


@pytest.mark.real_time
@pytest.mark.parametrize("name", RUNS)
def test_the_rules_hold_while_processes_fail(name, tmp_path):
    source = "consul" if "consul" in name else "platform"
    scenario = validated(replace(SMALL, name=name, faults=RUNS[name], source=source))
    result = play(scenario, tmp_path / "run")
    assert result.findings == []
    assert result.counts["jobs"] == SMALL.jobs
    assert len(result.faults) >= sum(fault.what != "disk" for fault in RUNS[name])
    log = (tmp_path / "run" / "n0.log").read_text()
    assert "request unanswered at its deadline" not in log, (
        "a turn's actions were lost with a line of its log"
    )
    if "stopped" in name:
        assert result.counts["begun_twice"] == 0, "it judged by its own absence"


@pytest.mark.real_time
@pytest.mark.parametrize("bytes_", [0, 10])
def test_a_ban_that_cannot_be_written_down_says_so_and_those_on_file_stay_whole(bytes_, tmp_path):
    full = Fault("disk", "n0", at=0.0, value=float(bytes_))
    with Fleet(replace(SMALL, dispatchers=1), tmp_path / "run") as fleet:
        [n0] = fleet.dispatchers.values()
        assert call_console(n0.console, "/-/workers/w1/disable", "POST")[0] == 200
        fleet.inject(full)
        assert call_console(n0.console, "/-/workers/w2/disable", "POST")[0] == 500
        assert n0.figures()["hosts_banned"] == ["w1", "w2"]  # in force, but not written down
        n0.signal(signal.SIGKILL)
        n0.wait()
        n0.start()
        assert n0.figures()["hosts_banned"] == ["w1"]


@pytest.mark.real_time
def test_a_run_leaves_its_events_and_a_page(tmp_path):
    import pyarrow.parquet as parquet

    folder = tmp_path / "run"
    play(replace(SMALL, jobs=10, faults=(Fault("kill", "n0", on="begun:2"),)), folder)
    table = parquet.read_table(write_events(folder))
    assert table.num_rows > 20
    assert set(table.column("book").to_pylist()) == {"workers", "clients"}
    page = write_page(folder).read_text()
    assert "<svg" in page
    assert "kill n0" in page
    assert "<script" not in page
    assert "<link" not in page
    assert json.loads((folder / "result.json").read_text())["counts"]["jobs"] == 10


def test_the_command_says_what_is_wrong_with_a_scenario(tmp_path):
    path = tmp_path / "s.toml"
    path.write_text("jobs = 0")
    told_ = CliRunner().invoke(main, ["lab", "fleet", "run", str(path)])
    assert told_.exit_code == 2
    assert "jobs is not from 1" in told_.output
    assert CliRunner().invoke(main, ["lab", "fleet", "run"]).exit_code == 2
    assert CliRunner().invoke(main, ["lab", "fleet", "run", "--seeds", "x"]).exit_code == 2
    assert json.loads(CliRunner().invoke(main, ["lab", "fleet", "draw", "4"]).output)["seed"] == 4


def test_the_example_is_a_scenario():
    scenario = parse_scenario((ROOT / "deploy" / "fleet-stopped.toml").read_text())
    assert scenario.faults == (Fault("stop", "n1", on="begun:60", lasts=4.0),)


COMMANDS = [
    commands.OpenBackends(
        commands.WorkerSettings(3, 8, 3, 1, 4000.0, 4000.0, 0.3, 300.0),
        "platform",
        ["w0"],
        {"n0": {"w0": "127.64.1.1:10001"}},
        {"n0": {"w0": "127.64.1.1:10002"}},
        {"n0": "127.64.1.1:10003"},
    ),
    commands.SetBackendFault("slow", "w0", True, 4.0),
    commands.OpenLinks({"n0>w0": ("127.64.1.1:10002", "127.64.1.1:10001")}),
    commands.SetLinkFault("cut", ["n0>w0"], True, "both", 0.0),
    commands.StartClients(draw_jobs(replace(SCENARIO, jobs=2)), 1.5, 2, {"n0": ("h", 1)}, False, True),
    commands.SetHealthyDispatchers(["n0"]),
    commands.StopClients(),
]


@pytest.mark.parametrize("command", COMMANDS, ids=lambda command: type(command).__name__)
def test_a_command_is_the_same_after_its_line(command):
    assert commands.decode(commands.encode(command)) == command


def test_a_line_that_is_no_command_is_an_error():
    with pytest.raises(commands.CommandError, match="Explode"):
        commands.decode('{"command": "Explode", "arguments": {}}')
