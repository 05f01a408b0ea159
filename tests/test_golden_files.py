"""Stored data of earlier revisions (`tests/golden`) is read by the present program with the same meaning."""

from __future__ import annotations

import json
import shutil
import sqlite3
from pathlib import Path

import pytest

from eiderfield.durable_requests.inspection import Inspection
from eiderfield.durable_requests.member import Member
from eiderfield.durable_requests.record import Stage
from eiderfield.durable_requests.record_codec import COLUMNS, encode
from eiderfield.durable_requests.schema import SCHEMA_VERSION
from eiderfield.durable_requests.settings import DurableRequestSettings
from eiderfield.durable_requests.store import RecordStore
from eiderfield.net.bans import Bans
from eiderfield.rollout.errors import JournalError
from eiderfield.rollout.journal import read_journal
from eiderfield.rollout.journal_codec import encode_entry, encode_process
from eiderfield.rollout.operator_command import CommandFile, OperatorCommand
from eiderfield.rollout.plan_file import parse_plan
from eiderfield.rollout.state import encode_state
from eiderfield.rollout.state_machine import RolloutStateMachine

GOLDEN = Path(__file__).parent / "golden"
LEASE = 1200.0
FOLDERS = ("lost_member", "killed_in_commit", "left_half")
ROLLOUT = ("before", "watching", "paused", "stuck")


@pytest.fixture(params=["731b84e", "456c0d9", "3888fce"])
def golden(request):
    """The recorded files of a revision."""
    return GOLDEN if request.param == "731b84e" else GOLDEN / request.param


def expected(path):
    return json.loads((path / "expected.json").read_text())


def plain(value):
    return json.loads(json.dumps(value))


# Bans.


@pytest.mark.parametrize(
    ("name", "banned"),
    [("two.json", {"w1": 1_700_000_000_123.5, "w-\u00e9/2": 12.0}), ("none.json", {}), ("torn.json", {})],
)
def test_a_bans_file_keeps_its_meaning(golden, name, banned, tmp_path):
    path = tmp_path / "bans.json"
    shutil.copy(golden / "bans" / name, path)
    lines = []
    bans = Bans(path, lines.append)
    bans.load()
    assert bans.since == banned
    assert bool(lines) == (name == "torn.json")


def test_bans_are_written_byte_for_byte_as_before(golden, tmp_path):
    bans = Bans(tmp_path / "bans.json", print)
    bans.since = {"w1": 1_700_000_000_123.5, "w-\u00e9/2": 12.0}
    written = []
    bans.save(written.append)
    assert written == [True]
    assert (tmp_path / "bans.json").read_bytes() == (golden / "bans" / "two.json").read_bytes()


# The folder of durable requests.


@pytest.fixture(params=FOLDERS)
def golden_folder(golden, request, tmp_path):
    """A copy of a recorded folder, and what its revision read in it."""
    recorded = golden / "custody" / request.param
    folder = tmp_path / "folder"
    shutil.copytree(recorded / "folder", folder, symlinks=True)
    return folder, expected(recorded)


def fields_of(record):
    """A record by its stored names."""
    fields = dict(zip(COLUMNS, encode(record), strict=True))
    fields["body"], fields["result"] = record.body.hex(), record.result.hex()
    fields["head"], fields["legs"] = json.loads(fields["head"]), json.loads(fields["legs"])
    fields["may_have_run"] = bool(fields["may_have_run"])
    return fields


def test_a_folder_of_kept_jobs_keeps_its_meaning(golden_folder):
    folder, told = golden_folder
    survey = Inspection(folder)
    jobs = {known.record.id: known for known in survey.requests()}
    assert sorted(jobs) == sorted(told["jobs"])
    for id_, known in jobs.items():
        assert fields_of(known.record) == told["jobs"][id_]["record"]
        assert known.owner == told["jobs"][id_]["owner"]
        assert list(known.chain) == told["jobs"][id_]["chain"]
        assert list(survey.folder.ids.holder(id_)) == told["jobs"][id_]["holder"]
    lives = survey.folder.incarnations.all(excluding=survey.fences)
    assert sorted(lives) == sorted(told["lives"])
    assert plain(survey.fences) == told["fences"]
    assert survey.folder.incarnations.heartbeats(lives) == told["beats"]
    assert survey.folder.end_requests.all() == told["wishes"]
    assert plain(survey.folder.ids.holder("never-written")) == told["orphan"]
    assert survey.verify() == told["verify"]
    assert survey.faults == told["faults"]


def test_a_dispatcher_that_starts_on_a_golden_folder_takes_over_all_that_is_open(golden_folder):
    """All processes of the folder are gone; their boot was another, and their jobs are due on its clock."""
    folder, told = golden_folder
    now = [1000.0]
    settings = DurableRequestSettings(folder, frozenset({0}), lease_ms=LEASE)
    member = Member(settings, "n9", {"report": 3.0}, lambda _line: None, lambda: now[0])
    member.begin()
    found = {}
    for _ in range(60):
        now[0] += settings.tick_interval_ms
        member.tick()
        found.update({record.id: record for record in member.take_over()})
    member.close()
    stored = {id_: job["record"] for id_, job in told["jobs"].items()}
    still_open = {id_ for id_, record in stored.items() if record["stage"] != Stage.FINAL}
    assert set(found) == still_open
    for id_, record in found.items():
        assert record.takeovers == stored[id_]["taken"] + 1
        assert [note.worker for note in record.attempts] == [leg[1] for leg in stored[id_]["legs"]]
        assert record.body.hex() == stored[id_]["body"]


def test_a_store_of_the_first_schema_keeps_its_meaning(golden, tmp_path):
    path = tmp_path / "n0.1.db"
    with sqlite3.connect(path) as database:
        database.executescript((golden / "custody" / "first_schema.sql").read_text())
    database.close()
    as_it_is = RecordStore(path, read_only=True).get("j")
    assert as_it_is.deadline == 9.0
    assert as_it_is.stage == Stage.CLAIMED
    assert as_it_is.attempts[0].worker == "w0"
    brought_up = RecordStore(path)
    assert brought_up.version == SCHEMA_VERSION
    assert brought_up.get("j") == as_it_is


# The rollout journal.


@pytest.mark.parametrize("name", ROLLOUT)
def test_a_rollout_journal_keeps_its_meaning(golden, name):
    folder = golden / "rollout" / name
    plan = parse_plan((folder / "plan.toml").read_text())
    journal, told = read_journal(folder, plan), expected(folder)
    assert (journal.content.plan_digest, journal.content.change_id) == (told["plan"], told["id"])
    assert plain(encode_state(journal.state)) == told["state"]
    assert [encode_entry(entry) for entry in journal.entries] == told["said"]
    assert [encode_process(record) for record in journal.processes] == told["processes"]
    assert CommandFile(folder).pending() is (OperatorCommand.UNDO if name == "paused" else None)
    machine = RolloutStateMachine(plan, journal.state)
    assert machine.state.phase == told["state"]["phase"]


@pytest.mark.parametrize("name", ROLLOUT)
def test_a_rollout_journal_is_written_byte_for_byte_as_before(golden, name, tmp_path):
    folder = golden / "rollout" / name
    journal = read_journal(folder)
    journal.folder = tmp_path
    journal.write(journal.entries[-1].time)
    assert (tmp_path / "journal.json").read_bytes() == (folder / "journal.json").read_bytes()


def test_a_torn_rollout_journal_is_refused_by_name(golden):
    with pytest.raises(JournalError, match=r"journal\.json"):
        read_journal(golden / "rollout" / "torn")
