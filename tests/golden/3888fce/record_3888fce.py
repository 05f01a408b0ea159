"""Record the stored data, handover messages and decisions of revision 3888fce.

Run it with that revision's package and tests on the import path, TREE being a worktree of it:

    PYTHONPATH=TREE:TREE/tests python tests/golden/3888fce/record_3888fce.py tests/golden/3888fce

The scenes are those of 731b84e's recorders (`tests/golden/generate.py`, `tests/golden/handover/record.py`).
Process ids, start times, the boot id and clock offsets differ from run to run; fixed values replace them.
The files are never recorded again with a later program.
"""

from __future__ import annotations

import json
import shutil
import sys
import tempfile
import textwrap
from functools import partial
from pathlib import Path

import test_handover_messages as handover_tests
import test_recorded_decisions as decision_tests
from support.handover import Side, Wire

from eiderfield.durable_requests import incarnations as incarnations_module
from eiderfield.durable_requests import schema as schema_module
from eiderfield.durable_requests import takeover as takeover_module
from eiderfield.durable_requests.inspection import Inspection
from eiderfield.durable_requests.member import Member
from eiderfield.durable_requests.messages import Accept, Claim, Finish, RequestEnd
from eiderfield.durable_requests.record import AttemptRecord, record_of
from eiderfield.durable_requests.record_codec import COLUMNS, encode
from eiderfield.durable_requests.settings import DurableRequestSettings
from eiderfield.exchange.request import Answer, Request, Verdict
from eiderfield.net.bans import Bans
from eiderfield.net.clients import ConnectionHandover
from eiderfield.rollout.actions import StartProcess, Version
from eiderfield.rollout.journal import Journal
from eiderfield.rollout.journal_codec import (
    JournalContent,
    MoveRecord,
    ProcessRecord,
    encode_entry,
    encode_process,
)
from eiderfield.rollout.operator_command import send_command
from eiderfield.rollout.plan_file import parse_plan
from eiderfield.rollout.state import Phase, RolloutState, encode_state
from eiderfield.rollout.state_machine import RolloutStateMachine

BOOT_ID = "11111111-2222-3333-4444-555555555555"
UNIX_OFFSET_MS = 1_700_000_000_000.0  # from the monotonic clock to Unix time
LEASE_MS = 1200.0

PLAN = """\
name = "golden"
[change]
program = "releases/2"
before = "releases/1"
[watch]
before = 3.0
[[dispatcher]]
name = "n0"
console = "127.0.0.1:8070"
spare = "127.0.0.1:8170"
start = ["{program}/run", "--console", "{console}"]
[[dispatcher]]
name = "n1"
console = "127.0.0.1:8071"
spare = "127.0.0.1:8171"
start = ["{program}/run", "--console", "{console}"]
"""


# Bans.


def record_bans(folder: Path) -> None:
    """Write a file with bans, one without any, and one cut in half."""
    folder.mkdir(parents=True)
    bans = Bans(folder / "two.json", print)
    bans.since = {"w1": 1_700_000_000_123.5, "w-\u00e9/2": 12.0}
    bans.save(lambda _written: None)
    Bans(folder / "none.json", print).save(lambda _written: None)
    text = (folder / "two.json").read_text()
    (folder / "torn.json").write_text(text[: len(text) // 2])


# The folder of durable requests.


class Host:
    """Members of one folder on one clock."""

    def __init__(self, path: Path) -> None:
        self.now = 1000.0
        self.settings = DurableRequestSettings(path, frozenset({0}), lease_ms=LEASE_MS)

    def member(self, name: str) -> Member:
        """Return a member that has begun its first incarnation."""
        member = Member(self.settings, name, {"report": 3.0}, lambda _line: None, lambda: self.now)
        member.begin()
        member.tick()
        return member

    def run(self, span: float, *members: Member) -> None:
        """Advance the clock by `span` ms, with the members' ticks."""
        end = self.now + span
        while self.now < end:
            self.now += self.settings.tick_interval_ms
            for member in members:
                member.tick()


def record(id_: str, key: str = "", body: bytes = b"body", front: str = "platform"):
    """Return the record of a request."""
    request = Request(id_, 0, 9000.0, "/report/x", "host", body, key, 7, False, 2, 3.0, 4.0)
    return record_of(request, "report", 1000.0, 1000.0, front)


def attempt(number: int, worker: str = "w0") -> AttemptRecord:
    """Return the record of an attempt."""
    return AttemptRecord(number, worker, "here", 1, 1100.0 + number)


def lost_member(path: Path) -> None:
    """Leave a folder of three dispatchers: one is lost, another has begun to take over its requests."""
    host = Host(path)
    lost, successor, other = (host.member(name) for name in ("n0", "n1", "n2"))
    ids = ["accepted", "claimed", "claimed-twice", "served", "declined", "failed", "batch"]
    lost.apply([Accept(record(id_, front="batch" if id_ == "batch" else "platform")) for id_ in ids])
    lost.apply([Accept(record("keyed", key="key-1", body=b"\x00\xff"))])
    lost.apply([Claim(id_, attempt(0)) for id_ in ("claimed", "claimed-twice", "keyed")])
    lost.apply([Claim("claimed-twice", attempt(1, "w1"))])
    answers = {
        "served": (Answer(Verdict.SERVED, b"result", may_have_run=True, attempts=1), ""),
        "declined": (Answer(Verdict.DECLINED, retry_after=250.0), ""),
        "failed": (Answer(Verdict.FAILED, may_have_run=True, attempts=2), "its time was over"),
    }
    lost.apply([Finish(id_, answer, reason) for id_, (answer, reason) in answers.items()])
    other.apply([Accept(record("declined"))])  # accepted again after it was declined
    other.apply([RequestEnd("accepted")])
    host.run(2.5 * LEASE_MS, successor, other)
    for member in (successor, other):
        for taken in member.take_over():
            member.apply([Claim(taken.id, attempt(len(taken.attempts), "w2"))])
    successor.apply([Accept(record("fresh"))])


def killed_in_commit(path: Path) -> None:
    """Leave the folder of a dispatcher killed in a write: its journal's last transaction is cut in half."""
    member = Host(path).member("n0")
    member.apply([Accept(record("before"))])
    member.apply([Claim("before", attempt(0))])
    journal = path / "lives" / "n0.1.db-wal"
    committed = journal.stat().st_size
    member.apply([Accept(record("cut", body=b"x" * 9000))])
    added = journal.stat().st_size - committed
    with journal.open("r+b") as file:
        file.truncate(committed + added // 2)


def left_half(path: Path) -> None:
    """Leave what kills between two steps leave: drafts, an id without a record, a heartbeat cut short."""
    host = Host(path)
    member, other = host.member("n0"), host.member("n1")
    member.apply([Accept(record("kept"))])
    other.folder.ids.take("never-written", "n1.1", 1)
    (path / "beats" / "n1.1").write_bytes(b"\x07\x00\x00")
    (path / "fences" / "~n1.1.77.abcd0123").write_text('{"heirs": ["n0')
    (path / "members" / "~n2.1.77.abcd0123").write_text("")


def record_durable_requests(place: Path) -> None:
    """Write one folder a scene, and beside it what this revision reads there."""
    for scene in (lost_member, killed_in_commit, left_half):
        target = place / scene.__name__
        copied = target / "folder"
        with tempfile.TemporaryDirectory() as scratch:
            folder = Path(scratch) / "custody"
            scene(folder)
            # The stores are still open: their journals are copied as a kill leaves them.
            shutil.copytree(folder, copied, symlinks=True, ignore=shutil.ignore_patterns("*-shm"))
        for path in (copied / "members").glob("[!~]*"):
            stored = json.loads(path.read_text())
            path.write_text(json.dumps({**stored, "pid": 1, "started": "1"}))
        with tempfile.TemporaryDirectory() as scratch:
            folder = Path(scratch) / "custody"
            shutil.copytree(copied, folder, symlinks=True)
            (target / "expected.json").write_text(json.dumps(meaning(folder), indent=1) + "\n")
    (place / "first_schema.sql").write_text(first_schema())


def first_schema() -> str:
    """Return a store of the first schema, as SQL."""
    return (
        f"{textwrap.dedent(schema_module._UPGRADES[0]).strip()}\n"
        "INSERT INTO jobs VALUES ('j', 'report', 1, 9.0, 1.0, 0.0, '{\"key\": \"\"}', x'62',\n"
        "    '[[0, \"w0\", \"here\", 1, 2.0]]', '', x'', 0.0, 0, 0, '', 0);\n"
        f"PRAGMA application_id = {schema_module.APPLICATION_ID};\n"
        "PRAGMA user_version = 1;\n"
    )


def stored_fields(record) -> dict[str, object]:
    """Return a record by the names of the store's columns."""
    fields = dict(zip(COLUMNS, encode(record), strict=True))
    fields["body"], fields["result"] = record.body.hex(), record.result.hex()
    fields["head"], fields["legs"] = json.loads(fields["head"]), json.loads(fields["legs"])
    fields["may_have_run"] = bool(fields["may_have_run"])
    return fields


def meaning(path: Path) -> dict[str, object]:
    """Return what this revision reads in a folder."""
    inspection = Inspection(path)
    jobs = {
        job.record.id: {
            "record": stored_fields(job.record),
            "owner": job.owner,
            "chain": list(job.chain),
            "holder": list(inspection.folder.ids.holder(job.record.id)),
        }
        for job in inspection.jobs()
    }
    lives = inspection.folder.incarnations.all(besides=inspection.fences)
    return {
        "jobs": dict(sorted(jobs.items())),
        "lives": {name: json.loads(info.encode()) for name, info in lives.items()},
        "fences": inspection.fences,
        "beats": inspection.folder.incarnations.heartbeats(lives),
        "wishes": inspection.folder.end_requests.all(),
        "faults": inspection.faults,
        "orphan": inspection.folder.ids.holder("never-written"),
        "verify": inspection.verify(),
    }


# The rollout journal.


def record_rollout(place: Path) -> None:
    """Write one folder a state of a change, and a journal cut in half."""
    process = ProcessRecord("n0", Version.NEW, ("127.0.0.1", 8170), 4242, 1700000000.25)
    action = StartProcess("n0", Version.NEW, ("127.0.0.1", 8170))
    plan = parse_plan(PLAN)
    counts = {"n0": {"report": {"1": [3.0, 1.0]}}}
    late = "n1: not ready after 30 s"
    states = {
        "before": RolloutState(),
        "watching": RolloutState(Phase.WATCHING, 0, "", False, ["report"], counts, 4.5, {}),
        "paused": RolloutState(Phase.MOVING, 1, "", True, ["report"], counts, 0.0, {}),
        "stuck": RolloutState(Phase.STUCK, 1, late, False, ["report"], counts, 1.0, {"n1": "late"}),
    }
    for name, state in states.items():
        folder = place / name
        folder.mkdir(parents=True)
        (folder / "plan.toml").write_text(PLAN)
        (folder / "base").write_text("releases-of-the-golden-plan")
        state = RolloutStateMachine(plan, state).state
        journal = Journal(folder, JournalContent(plan.digest, "0123456789ab", state, [], [process]))
        journal.write(1_700_000_000.0, "begun")
        journal.write(1_700_000_009.5)
        journal.append_move(MoveRecord(1_700_000_001.0, action))
        journal.append_move(MoveRecord(1_700_000_002.0, action, "pid 4242"))
        expected = {
            "plan": journal.content.plan_digest,
            "id": journal.content.change_id,
            "state": encode_state(journal.state),
            "said": [encode_entry(entry) for entry in journal.entries],
            "processes": [encode_process(record) for record in journal.processes],
        }
        (folder / "expected.json").write_text(json.dumps(expected, indent=1) + "\n")
    send_command(place / "paused", "undo")
    torn = place / "torn"
    torn.mkdir()
    text = (place / "watching" / "journal.json").read_text()
    (torn / "journal.json").write_text(text[: len(text) // 2])


# Messages of the handover.


def record_handover(folder: Path) -> None:
    """Write one file a kind of message, by the scene of 731b84e's recorder."""
    folder.mkdir(parents=True)
    module = handover_tests.recorder_module()
    module.Program.Side = partial(Side, start=handover_tests.START)
    module.Program.Wire, module.Program.Given = Wire, ConnectionHandover
    for copies in (False, True):
        module.play(folder, copies)


# Decisions.


def record_decisions(folder: Path) -> None:
    """Write the digests of the seeded event sequences and of the simulated fleets."""
    folder.mkdir(parents=True)
    digests = {
        "events": {variant: decision_tests.digest_of_events(variant) for variant in decision_tests.SITES},
        "fleets": {size: decision_tests.digest_of_fleet(size) for size in decision_tests.FLEETS},
    }
    (folder / "digests.json").write_text(json.dumps(digests, indent=1) + "\n")


def main(place: Path) -> None:
    """Record everything below `place`, in place of what is there."""
    incarnations_module.boot_id = takeover_module.boot_id = lambda: BOOT_ID
    incarnations_module.unix_offset = lambda: UNIX_OFFSET_MS
    parts = {
        "bans": record_bans,
        "custody": record_durable_requests,
        "rollout": record_rollout,
        "handover": record_handover,
        "decisions": record_decisions,
    }
    for name, record_part in parts.items():
        shutil.rmtree(place / name, ignore_errors=True)
        record_part(place / name)


if __name__ == "__main__":
    main(Path(sys.argv[1]).resolve())
