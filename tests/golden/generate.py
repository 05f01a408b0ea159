"""Writes the golden files of stored state. Run it with the program whose form they are to show:

    PYTHONPATH=WORKTREE_OF_731b84e python tests/golden/generate.py tests/golden

It imports that program's modules by their names of 731b84e; the present program reads what it wrote in
`tests/test_golden_files.py`. Process ids, start times and the boot id, which differ from run to run, are
replaced by fixed ones.
"""

from __future__ import annotations

import dataclasses
import json
import shutil
import sqlite3
import sys
import tempfile
import textwrap
from pathlib import Path

from eiderfield.custody import folder as folder_module
from eiderfield.custody import member as member_module
from eiderfield.custody import store as store_module
from eiderfield.custody.member import Accept, Claim, Finish, Member, Wish
from eiderfield.custody.record import LegNote, record_of
from eiderfield.custody.settings import Custody
from eiderfield.custody.survey import Survey
from eiderfield.rollout.course import Course, State

from eiderfield.exchange import Answer, Request, Verdict
from eiderfield.net.bans import Bans
from eiderfield.rollout.journal import Journal, ask
from eiderfield.rollout.plan import read as read_plan

BOOT = "11111111-2222-3333-4444-555555555555"
OFFSET = 1_700_000_000_000.0  # ms from the steady clock to Unix time
LEASE = 1200.0

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


class Host:
    """Members of one folder on one clock."""

    def __init__(self, path: Path) -> None:
        self.path, self.now = path, 1000.0
        self.settings = Custody(path, frozenset({0}), lease=LEASE)

    def member(self, name: str) -> Member:
        member = Member(self.settings, name, {"report": 3.0}, lambda line: None, lambda: self.now)
        member.begin()
        member.look()
        return member

    def live(self, span: float, *members: Member) -> None:
        end = self.now + span
        while self.now < end:
            self.now += self.settings.look
            for member in members:
                member.look()


def record(id_: str, key: str = "", body: bytes = b"body", front: str = "platform"):
    request = Request(id_, 0, 9000.0, "/report/x", "host", body, key, 7, False, 2, 3.0, 4.0)
    return record_of(request, "report", 1000.0, 1000.0, front)


def leg(number: int, worker: str = "w0"):
    return LegNote(number, worker, "here", 1, 1100.0 + number)


def lost_member(path: Path) -> None:
    """Three dispatchers; one is lost with jobs in every state, and another has begun to take over."""
    host = Host(path)
    lost, heir, other = (host.member(name) for name in ("n0", "n1", "n2"))
    ids = ["accepted", "claimed", "claimed-twice", "served", "declined", "failed", "batch"]
    lost.apply([Accept(record(id_, front="batch" if id_ == "batch" else "platform")) for id_ in ids])
    lost.apply([Accept(record("keyed", key="key-1", body=b"\x00\xff"))])
    lost.apply([Claim("claimed", leg(0)), Claim("claimed-twice", leg(0)), Claim("keyed", leg(0))])
    lost.apply([Claim("claimed-twice", leg(1, "w1"))])
    lost.apply(
        [
            Finish("served", Answer(Verdict.SERVED, b"result", may_have_run=True, legs=1)),
            Finish("declined", Answer(Verdict.DECLINED, retry_after=250.0)),
            Finish("failed", Answer(Verdict.FAILED, may_have_run=True, legs=2), "its time was over"),
        ]
    )
    other.apply([Accept(record("declined"))])  # taken anew after it was declined
    other.apply([Wish("accepted")])
    host.live(2.5 * LEASE, heir, other)
    for member in (heir, other):
        for adopted in member.adopt():
            member.apply([Claim(adopted.id, leg(len(adopted.legs), "w2"))])
    heir.apply([Accept(record("fresh"))])


def killed_in_commit(path: Path) -> None:
    """A dispatcher that was killed while it wrote: the last transaction of its journal is cut in half."""
    member = Host(path).member("n0")
    member.apply([Accept(record("before"))])
    member.apply([Claim("before", leg(0))])
    journal = path / "lives" / "n0.1.db-wal"
    whole = journal.stat().st_size
    member.apply([Accept(record("cut", body=b"x" * 9000))])
    more = journal.stat().st_size - whole
    with journal.open("r+b") as file:
        file.truncate(whole + more // 2)


def left_half(path: Path) -> None:
    """What kills leave between two steps: drafts, an id without a record, a beat cut short."""
    host = Host(path)
    member, other = host.member("n0"), host.member("n1")
    member.apply([Accept(record("kept"))])
    other.folder.take("never-written", "n1.1")
    (path / "beats" / "n1.1").write_bytes(b"\x07\x00\x00")
    (path / "fences" / "~n1.1.77.abcd0123").write_text('{"heirs": ["n0')
    (path / "members" / "~n2.1.77.abcd0123").write_text("")


def custody(place: Path) -> None:
    for make in (lost_member, killed_in_commit, left_half):
        with tempfile.TemporaryDirectory() as scratch:
            work = Path(scratch) / "custody"
            make(work)
            target = place / make.__name__
            copied = target / "folder"
            # The stores are still open: their journals are copied as a kill would leave them.
            shutil.copytree(work, copied, symlinks=True, ignore=shutil.ignore_patterns("*-shm"))
        for about in (copied / "members").glob("[!~]*"):
            told = json.loads(about.read_text())
            about.write_text(json.dumps({**told, "pid": 1, "started": "1"}))
        with tempfile.TemporaryDirectory() as scratch:
            work = Path(scratch) / "custody"
            shutil.copytree(copied, work, symlinks=True)
            (target / "expected.json").write_text(json.dumps(custody_meaning(work), indent=1) + "\n")
    (place / "first_schema.sql").write_text(first_schema())


def first_schema() -> str:
    """A store of the first schema, which 731b84e reads and brings up."""
    return (
        f"{textwrap.dedent(store_module._STEPS[0]).strip()}\n"
        "INSERT INTO jobs VALUES ('j', 'report', 1, 9.0, 1.0, 0.0, '{\"key\": \"\"}', x'62',\n"
        "    '[[0, \"w0\", \"here\", 1, 2.0]]', '', x'', 0.0, 0, 0, '', 0);\n"
        f"PRAGMA application_id = {store_module.MAGIC};\n"
        "PRAGMA user_version = 1;\n"
    )


def custody_meaning(path: Path) -> dict[str, object]:
    survey = Survey(path)
    jobs = {}
    for known in survey.jobs():
        fields = dataclasses.asdict(known.record)
        fields["body"], fields["result"] = known.record.body.hex(), known.record.result.hex()
        fields["legs"] = [each.told() for each in known.record.legs]
        jobs[known.record.id] = {
            "record": fields,
            "owner": known.owner,
            "chain": known.chain,
            "holder": survey.folder.holder(known.record.id),
        }
    lives = survey.folder.lives()
    return {
        "jobs": dict(sorted(jobs.items())),
        "lives": lives,
        "fences": survey.fences,
        "beats": survey.folder.beats(lives),
        "wishes": survey.folder.wishes(),
        "faults": survey.faults,
        "orphan": survey.folder.holder("never-written"),
        "verify": survey.verify(),
    }


def bans(place: Path) -> None:
    place.mkdir(parents=True, exist_ok=True)
    kept = Bans(place / "two.json", print)
    kept.since = {"w1": 1_700_000_000_123.5, "w-\u00e9/2": 12.0}
    kept.keep()
    kept = Bans(place / "none.json", print)
    kept.keep()
    text = (place / "two.json").read_text()
    (place / "torn.json").write_text(text[: len(text) // 2])


def rollout(place: Path) -> None:
    processes = [
        {"member": "n0", "side": "new", "console": ["127.0.0.1", 8170], "pid": 4242, "created": 1700000000.25}
    ]
    plan = read_plan(PLAN)
    counts = {"n0": {"report": {"1": [3.0, 1.0]}}}
    states = {
        "before": State(),
        "watching": State("watching", 0, "", False, ["report"], counts, 4.5, {}),
        "paused": State("moving", 1, "", True, ["report"], counts, 0.0, {}),
        "stuck": State(
            "stuck", 1, "n1: not ready after 30 s", False, ["report"], counts, 1.0, {"n1": "late"}
        ),
    }
    for name, state in states.items():
        folder = place / name
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "plan.toml").write_text(PLAN)
        (folder / "base").write_text("releases-of-the-golden-plan")
        journal = Journal(folder, plan.digest, "0123456789ab", Course(plan, state).state, [], processes)
        journal.write(1_700_000_000.0, "begun")
        journal.write(1_700_000_009.5)
        journal.note(t=1_700_000_001.0, about_to=True, move="start", member="n0", side="new")
        journal.note(t=1_700_000_002.0, came="pid 4242", move="start", member="n0", side="new")
        expected = {
            "plan": journal.plan,
            "id": journal.id,
            "state": journal.state.told(),
            "said": journal.said,
            "processes": journal.processes,
        }
        (folder / "expected.json").write_text(json.dumps(expected, indent=1) + "\n")
    ask(place / "paused", "undo")
    torn = place / "torn"
    torn.mkdir(exist_ok=True)
    text = (place / "watching" / "journal.json").read_text()
    (torn / "journal.json").write_text(text[: len(text) // 2])


def main(place: Path) -> None:
    folder_module.boot = member_module.boot = lambda: BOOT
    make = folder_module.Folder.__init__

    def fixed(self, *args, **more):
        make(self, *args, **more)
        self.offset = OFFSET

    folder_module.Folder.__init__ = fixed
    for part in (bans, custody, rollout):
        target = place / part.__name__
        shutil.rmtree(target, ignore_errors=True)
        part(target)


if __name__ == "__main__":
    print(f"SQLite {sqlite3.sqlite_version}")
    main(Path(sys.argv[1]).resolve())
