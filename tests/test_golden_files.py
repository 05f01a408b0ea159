"""Data stored by earlier revisions (`tests/golden`) is read with the same meaning."""

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
    """The folder with the recorded files of a revision."""
    return GOLDEN if request.param == "731b84e" else GOLDEN / request.param


def expected_content(path):
    return json.loads((path / "expected.json").read_text())


def through_json(value):
    return json.loads(json.dumps(value))


# Bans.


@pytest.mark.parametrize(
    ("name", "banned"),
    [("two.json", {"w1": 1_700_000_000_123.5, "w-\u00e9/2": 12.0}), ("none.json", {}), ("torn.json", {})],
)
def test_recorded_ban_file_is_read_with_same_meaning(golden, name, banned, tmp_path):
    path = tmp_path / "bans.json"
    shutil.copy(golden / "bans" / name, path)
    lines = []
    bans = Bans(path, lines.append)
    bans.load()
    assert bans.since == banned
    assert bool(lines) == (name == "torn.json")


def test_bans_are_written_byte_for_byte_as_recorded(golden, tmp_path):
    bans = Bans(tmp_path / "bans.json", print)
    bans.since = {"w1": 1_700_000_000_123.5, "w-\u00e9/2": 12.0}
    written = []
    bans.save(written.append)
    assert written == [True]
    assert (tmp_path / "bans.json").read_bytes() == (golden / "bans" / "two.json").read_bytes()


# The folder of durable requests.


@pytest.fixture(params=FOLDERS)
def golden_folder(golden, request, tmp_path):
    """A copy of a recorded folder, and the content that the recording revision read in it."""
    recorded = golden / "custody" / request.param
    folder = tmp_path / "folder"
    shutil.copytree(recorded / "folder", folder, symlinks=True)
    return folder, expected_content(recorded)


def stored_fields(record):
    """Return the fields of a record by their stored names, with JSON columns decoded."""
    fields = dict(zip(COLUMNS, encode(record), strict=True))
    fields["body"], fields["result"] = record.body.hex(), record.result.hex()
    fields["head"], fields["legs"] = json.loads(fields["head"]), json.loads(fields["legs"])
    fields["may_have_run"] = bool(fields["may_have_run"])
    return fields


def test_recorded_durable_requests_are_read_with_same_meaning(golden_folder):
    folder, expected = golden_folder
    inspection = Inspection(folder)
    jobs = {stored.record.id: stored for stored in inspection.requests()}
    assert sorted(jobs) == sorted(expected["jobs"])
    for id_, stored in jobs.items():
        assert stored_fields(stored.record) == {
            **expected["jobs"][id_]["record"],
            "tenant": None,
            "released": 0,
        }
        assert stored.owner == expected["jobs"][id_]["owner"]
        assert list(stored.chain) == expected["jobs"][id_]["chain"]
        assert list(inspection.folder.ids.holder(id_)) == expected["jobs"][id_]["holder"]
    incarnations = inspection.folder.incarnations.all(excluding=inspection.fences)
    assert sorted(incarnations) == sorted(expected["lives"])
    assert through_json(inspection.fences) == expected["fences"]
    assert inspection.folder.incarnations.heartbeats(incarnations) == expected["beats"]
    assert inspection.folder.end_requests.all() == expected["wishes"]
    assert through_json(inspection.folder.ids.holder("never-written")) == expected["orphan"]
    assert inspection.verify() == expected["verify"]
    assert inspection.faults == expected["faults"]


def test_member_started_on_recorded_folder_takes_over_all_open_requests(golden_folder):
    """The recorded processes have ended; the stored due times refer to the clock of an earlier boot."""
    folder, expected = golden_folder
    now = [1000.0]
    settings = DurableRequestSettings(folder, frozenset({0}), lease_ms=LEASE)
    member = Member(settings, "n9", {"report": 3.0}, lambda _line: None, lambda: now[0])
    member.begin()
    taken_over = {}
    for _ in range(60):
        now[0] += settings.tick_interval_ms
        member.tick()
        taken_over.update({record.id: record for record in member.take_over()})
    member.close()
    stored = {id_: job["record"] for id_, job in expected["jobs"].items()}
    still_open = {id_ for id_, record in stored.items() if record["stage"] != Stage.FINAL}
    assert set(taken_over) == still_open
    for id_, record in taken_over.items():
        assert record.takeovers == stored[id_]["taken"] + 1
        assert [note.worker for note in record.attempts] == [leg[1] for leg in stored[id_]["legs"]]
        assert record.body.hex() == stored[id_]["body"]


def test_store_of_first_schema_is_read_and_migrated(golden, tmp_path):
    path = tmp_path / "n0.1.db"
    with sqlite3.connect(path) as database:
        database.executescript((golden / "custody" / "first_schema.sql").read_text())
    database.close()
    read_only_record = RecordStore(path, read_only=True).get("j")
    assert read_only_record.deadline == 9.0
    assert read_only_record.stage == Stage.CLAIMED
    assert read_only_record.attempts[0].worker == "w0"
    migrated_store = RecordStore(path)
    assert migrated_store.version == SCHEMA_VERSION
    assert migrated_store.get("j") == read_only_record


# The rollout journal.


@pytest.mark.parametrize("name", ROLLOUT)
def test_recorded_rollout_journal_is_read_with_same_meaning(golden, name):
    folder = golden / "rollout" / name
    plan = parse_plan((folder / "plan.toml").read_text())
    journal, expected = read_journal(folder, plan), expected_content(folder)
    assert (journal.content.plan_digest, journal.content.change_id) == (expected["plan"], expected["id"])
    assert through_json(encode_state(journal.state)) == expected["state"]
    assert [encode_entry(entry) for entry in journal.entries] == expected["said"]
    assert [encode_process(record) for record in journal.processes] == expected["processes"]
    assert CommandFile(folder).pending() is (OperatorCommand.UNDO if name == "paused" else None)
    machine = RolloutStateMachine(plan, journal.state)
    assert machine.state.phase == expected["state"]["phase"]


@pytest.mark.parametrize("name", ROLLOUT)
def test_rollout_journal_is_written_byte_for_byte_as_recorded(golden, name, tmp_path):
    folder = golden / "rollout" / name
    journal = read_journal(folder)
    journal.folder = tmp_path
    journal.write(journal.entries[-1].time)
    assert (tmp_path / "journal.json").read_bytes() == (folder / "journal.json").read_bytes()


def test_truncated_rollout_journal_raises_error_with_file_name(golden):
    with pytest.raises(JournalError, match=r"journal\.json"):
        read_journal(golden / "rollout" / "torn")
