"""Fleet scenarios: their files, the rules on synthetic event logs, and runs of real processes with faults."""

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
def test_scenario_invalid_error_starts_with_key(text, key):
    with pytest.raises(ScenarioError) as error:
        parse_scenario(text)
    assert str(error.value).startswith(key)


def test_draw_same_seed_gives_same_scenario_and_jobs():
    drawn = [draw_scenario(seed) for seed in range(40)]
    assert drawn == [draw_scenario(seed) for seed in range(40)]
    assert {fault.what for seed in range(400) for fault in draw_scenario(seed).faults} >= {
        what for faults in FAULTS.values() for what in faults if what not in RESOURCE_FAULTS
    }
    assert draw_jobs(SCENARIO) == draw_jobs(SCENARIO) != draw_jobs(replace(SCENARIO, seed=2))


def attempt_arrived(t, id_="a", worker="w0", by="n0", **more):
    event = {"t": t, "what": "came", "id": id_, "job": "j", "worker": worker, "by": by}
    return {**event, "run": 100.0, "share": 1.0, **more}


def attempt_began(t, id_="a", kind="lookup", worker="w0", group=0):
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


def request_sent(t=1.0, id_="a", kind="lookup"):
    return {"t": t, "what": "asked", "id": id_, "job": "j", "kind": kind, "at": "n0", "left": 5.0}


def request_answered(t=2.0, status=200, result="w0:1:j", kind="lookup"):
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


ATTEMPT_ENDED = {
    "t": 1.9,
    "what": "ended",
    "id": "a",
    "job": "j",
    "worker": "w0",
    "by": "n0",
    "result": "w0:1:j",
}
DRAIN_ANNOUNCED = {"t": 0.0, "what": "told", "to": "n0", "workers": {"w0": "DRAINING"}}
WORKER_RESTARTED = {"t": 0.0, "what": "mended", "fault": "restart", "worker": "w0"}
RELEASED = FinalState("n0", 0, 0, 20, 12, 0)
BREACHES = {
    "answered": ([], [request_sent()], [], []),
    "answered, broke": (
        [],
        [request_sent(), {**request_sent(2.0), "what": "broke"}],
        [InjectedFault("kill", "n1", 0.0)],
        [],
    ),
    "made": ([ATTEMPT_ENDED], [request_sent(), request_answered(result="w0:2:j")], [], []),
    "made, for another job": ([{**ATTEMPT_ENDED, "job": "k"}], [request_sent(), request_answered()], [], []),
    "once": ([attempt_began(1.0, kind="confirm"), attempt_began(1.5, kind="confirm")], [], [], []),
    "once, groups": (
        [attempt_began(1.0, kind="report"), attempt_began(1.5, kind="report", group=1)],
        [],
        [],
        [],
    ),
    "copies": ([attempt_arrived(1.0), attempt_arrived(1.1, worker="w1")], [], [], []),
    "declined": (
        [attempt_began(1.0, kind="confirm")],
        [request_sent(), request_answered(status=503, kind="confirm")],
        [],
        [],
    ),
    "drain": ([DRAIN_ANNOUNCED, attempt_arrived(1.0)], [], [], []),
    "cold": (
        [WORKER_RESTARTED, *[attempt_arrived(1.0 + n / 1000, id_=str(n), share=0.3) for n in range(40)]],
        [],
        [],
        [],
    ),
    "rest": ([], [], [], [replace(RELEASED, inflight=1)]),
    "rest, descriptors": ([], [], [], [replace(RELEASED, descriptors=90)]),
    "ends": ([], [], [], [replace(RELEASED, code=-9)]),
}


@pytest.mark.parametrize("breach", BREACHES)
def test_check_rules_breach_reports_only_its_rule(breach):
    findings = check_rules(SCENARIO, *BREACHES[breach])
    assert {finding.rule for finding in findings} == {breach.partition(",")[0].split()[0]}


@pytest.mark.parametrize(
    ("workers", "clients", "faults", "final_states"),
    [
        (
            [attempt_arrived(1.0), attempt_began(1.1), ATTEMPT_ENDED],
            [request_sent(), request_answered()],
            [],
            [RELEASED],
        ),
        (
            [],
            [request_sent(), {**request_sent(2.0), "what": "broke"}],
            [InjectedFault("kill", "n0", 1.5)],
            [],
        ),
        (
            [],
            [request_sent(), {**request_sent(6.0), "what": "left"}],
            [InjectedFault("cut", "c>n0", 0.5, 4.0)],
            [],
        ),
        (
            [
                attempt_arrived(1.0),
                {**ATTEMPT_ENDED, "what": "dropped", "t": 1.05},
                attempt_arrived(1.1, worker="w1"),
            ],
            [],
            [],
            [],
        ),
        (
            [
                attempt_arrived(1.0),
                attempt_arrived(1.1, worker="w1"),
                {**ATTEMPT_ENDED, "what": "parted", "t": 1.15},
            ],
            [],
            [],
            [],
        ),
        (
            [attempt_arrived(1.0), attempt_arrived(1.1, worker="w1")],
            [],
            [InjectedFault("cut", "n0>w0", 0.9, 2.0)],
            [],
        ),
        ([DRAIN_ANNOUNCED, attempt_arrived(0.4)], [], [], []),
        ([DRAIN_ANNOUNCED, attempt_arrived(1.0)], [], [InjectedFault("cut", "n0>source", 0.0, 2.0)], []),
        (
            [
                DRAIN_ANNOUNCED,
                {**DRAIN_ANNOUNCED, "t": 0.5, "workers": {"w0": "SERVING"}},
                attempt_arrived(1.0),
            ],
            [],
            [],
            [],
        ),
        ([attempt_began(1.0)], [request_sent(), request_answered(status=503)], [], []),
        ([WORKER_RESTARTED, attempt_arrived(1.0, share=0.3)], [], [], []),
        ([], [], [InjectedFault("kill", "n0", 1.0)], [replace(RELEASED, code=-9)]),
    ],
)
def test_check_rules_allowed_or_excused_events_report_nothing(workers, clients, faults, final_states):
    assert check_rules(SCENARIO, workers, clients, faults, final_states) == []


def test_check_rules_custody_job_without_answer_or_with_two_results_is_reported():
    scenario = replace(SCENARIO, custody={"lease_ms": 900})
    connection_broken = {**request_sent(), "t": 2.0, "what": "broke", "why": "x"}
    kills = [InjectedFault("kill", "n0", 1.5)]
    assert [f.rule for f in check_rules(scenario, [], [request_sent(), connection_broken], kills, [])] == [
        "lost"
    ]
    assert check_rules(SCENARIO, [], [request_sent(), connection_broken], kills, []) == [], (
        "without custody the rule does not apply"
    )
    timed_out = {**request_sent(), "t": 7.0, "what": "left", "why": "x"}
    assert (
        check_rules(scenario, [], [request_sent(), timed_out], [InjectedFault("stop", "n0", 1.5, 8.0)], [])
        == []
    )
    where = {"job": "j", "worker": "w0", "by": "n0", "id": "a"}
    ends = [{"t": 1.5, "what": "ended", "result": f"w0:{n}:j", **where} for n in (1, 2)]
    two_answers = [
        request_sent(),
        *[{**request_answered(2.0 + n, 200, f"w0:{n}:j"), "try": str(n)} for n in (1, 2)],
    ]
    assert [f.rule for f in check_rules(scenario, ends, two_answers, kills, [])] == ["one"]


def test_event_log_reader_incomplete_line_is_held_back_until_complete(tmp_path):
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


def test_address_pool_concurrent_runs_get_different_hosts(monkeypatch):
    """Host numbers come from the process id and a counter, so that two runs can start from the same number.

    The ninth run of one process and the first run of the next process did, and a port was already in use.
    """
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
FAULTS_BY_RUN = {
    "a dispatcher killed at its fifth attempt": (Fault("kill", "n0", on="begun:n0:5"),),
    "a dispatcher stopped with attempts open": (Fault("stop", "n1", on="begun:10", lasts=1.5),),
    "a dispatcher cut off from half of the workers": (
        Fault("cut", "n0>w0", at=0.3, lasts=1.0),
        Fault("cut", "n0>w1", at=0.3, lasts=1.0),
    ),
    "a worker restarts while a dispatcher gets SIGTERM": (
        Fault("restart", "w1", on="begun:8", lasts=0.3),
        Fault("term", "n1", on="begun:15", lasts=0.5),
    ),
    "all connections to workers reset at once while discovery is silent": (
        Fault("reset", "n*>w*", on="begun:20"),
        Fault("silent", "source", at=0.1, lasts=1.0),
    ),
    "a log cannot be written while two workers are silent": (
        Fault("disk", "n0", on="begun:5", lasts=3.0),
        Fault("silent", "w0", on="begun:8", lasts=2.0),
        Fault("silent", "w1", on="begun:8", lasts=2.0),
    ),
    "a dispatcher out of memory": (Fault("memory", "n0", on="begun:5", lasts=1.5),),
    "a drain, a restart and silent discovery with consul": (
        Fault("drain", "w1", on="begun:10", lasts=1.0),
        Fault("restart", "w2", on="begun:20", lasts=0.3),
        Fault("silent", "source", at=0.8, lasts=0.5),
    ),
}


@pytest.mark.real_time
@pytest.mark.parametrize("name", FAULTS_BY_RUN)
def test_play_with_faults_breaks_no_rule(name, tmp_path):
    source = "consul" if "consul" in name else "platform"
    scenario = validated(replace(SMALL, name=name, faults=FAULTS_BY_RUN[name], source=source))
    result = play(scenario, tmp_path / "run")
    assert result.findings == []
    assert result.counts["jobs"] == SMALL.jobs
    assert len(result.faults) >= sum(fault.what != "disk" for fault in FAULTS_BY_RUN[name])
    log = (tmp_path / "run" / "n0.log").read_text()
    assert "request unanswered at its deadline" not in log, (
        "a failed write to the log lost the actions of the turn"
    )
    if "stopped" in name:
        assert result.counts["begun_twice"] == 0, (
            "after its own pause the dispatcher took its workers for silent and repeated attempts"
        )


@pytest.mark.real_time
@pytest.mark.parametrize("size_limit", [0, 10])
def test_ban_on_full_disk_is_refused_and_stored_bans_survive(size_limit, tmp_path):
    disk_full = Fault("disk", "n0", at=0.0, value=float(size_limit))
    with Fleet(replace(SMALL, dispatchers=1), tmp_path / "run") as fleet:
        [n0] = fleet.dispatchers.values()
        assert call_console(n0.console, "/-/workers/w1/disable", "POST")[0] == 200
        fleet.inject(disk_full)
        assert call_console(n0.console, "/-/workers/w2/disable", "POST")[0] == 500
        assert n0.figures()["hosts_banned"] == ["w1", "w2"]  # both are in force, w2's is not stored
        n0.signal(signal.SIGKILL)
        n0.wait()
        n0.start()
        assert n0.figures()["hosts_banned"] == ["w1"]


@pytest.mark.real_time
def test_run_report_after_run_has_parquet_events_and_html_page(tmp_path):
    import pyarrow.parquet as parquet

    folder = tmp_path / "run"
    play(replace(SMALL, jobs=10, faults=(Fault("kill", "n0", on="begun:2"),)), folder)
    events = parquet.read_table(write_events(folder))
    assert events.num_rows > 20
    assert set(events.column("book").to_pylist()) == {"workers", "clients"}
    page = write_page(folder).read_text()
    assert "<svg" in page
    assert "kill n0" in page
    assert "<script" not in page
    assert "<link" not in page
    assert json.loads((folder / "result.json").read_text())["counts"]["jobs"] == 10


def test_fleet_command_invalid_scenario_or_option_exits_with_2(tmp_path):
    path = tmp_path / "s.toml"
    path.write_text("jobs = 0")
    result = CliRunner().invoke(main, ["lab", "fleet", "run", str(path)])
    assert result.exit_code == 2
    assert "jobs is not from 1" in result.output
    assert CliRunner().invoke(main, ["lab", "fleet", "run"]).exit_code == 2
    assert CliRunner().invoke(main, ["lab", "fleet", "run", "--seeds", "x"]).exit_code == 2
    assert json.loads(CliRunner().invoke(main, ["lab", "fleet", "draw", "4"]).output)["seed"] == 4


def test_example_scenario_in_deploy_is_valid():
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
def test_command_encoded_and_decoded_is_unchanged(command):
    assert commands.decode(commands.encode(command)) == command


def test_decode_unknown_command_raises_error():
    with pytest.raises(commands.CommandError, match="Explode"):
        commands.decode('{"command": "Explode", "arguments": {}}')
