"""What operators and batch clients see of durable jobs: the commands, and several real dispatchers."""

from __future__ import annotations

import json
import signal
import sqlite3
from dataclasses import replace

import pytest
from click.testing import CliRunner
from support.durable_members import DECLINED, SERVED, Host, apply_one, attempt_record, record

from eiderfield.batch.client import Session
from eiderfield.batch.drmaa import ControlAction, JobState
from eiderfield.batch.messages import JobTemplate
from eiderfield.cli import main
from eiderfield.durable_requests.folder import SharedFolder
from eiderfield.durable_requests.messages import Accept, Claim, Finish, RequestEnd, Written
from eiderfield.durable_requests.record import Stage
from eiderfield.exchange.request import Answer, Verdict
from eiderfield.lab.fleet.durable_draw import JOB_CLASSES
from eiderfield.lab.fleet.fleet import Fleet
from eiderfield.lab.fleet.scenario import Scenario
from eiderfield.lab.processes import wait_for


def run(*words, code=0):
    told = CliRunner().invoke(main, ["jobs", *map(str, words)])
    assert told.exit_code == code, told.output
    return told.output


@pytest.fixture
def kept(tmp_path):
    """One host: a member that is lost, and its heir; jobs in every state."""
    host = Host(tmp_path)
    a, b = host.member("a"), host.member("b")
    for id_ in ("open", "out", "served", "failed", "declined"):
        apply_one(a, Accept(record(id_, key=f"k-{id_}")))
    apply_one(a, Claim("out", attempt_record()))
    apply_one(a, Finish("served", SERVED))
    apply_one(a, Finish("failed", Answer(Verdict.FAILED, may_have_run=True, attempts=1)))
    apply_one(a, Finish("declined", DECLINED))
    host.outlive(b)
    b.take_over()
    yield host, a, b
    for member in (a, b):
        member.close()


def rows(text):
    return {row["id"]: row for row in map(json.loads, text.splitlines())}


def test_every_job_is_listed_once_with_its_owner(kept):
    host, _, _ = kept
    listed = rows(run("list", host.settings.folder, "--json"))
    assert {id_: row["state"] for id_, row in listed.items()} == {
        "open": "accepted",
        "out": "claimed",
        "served": "served",
        "failed": "failed",
        "declined": "declined",
    }
    assert {row["owner"] for row in listed.values()} == {"b.1"}
    assert listed["out"]["taken_over"] == 1
    assert listed["out"]["may_have_run"]
    assert not listed["open"]["may_have_run"]
    assert set(rows(run("list", host.settings.folder, "--state", "open", "--json"))) == {"open", "out"}
    assert "served" in run("list", host.settings.folder)
    shown = json.loads(run("show", host.settings.folder, "out"))
    assert shown["chain"] == ["a.1", "b.1"]
    assert shown["legs"][0][1] == "w0"
    assert "is not known" in run("show", host.settings.folder, "none", code=1)
    told = run("members", host.settings.folder, "--json").splitlines()
    lives = {row["life"]: row for row in map(json.loads, told)}
    assert lives["a.1"]["state"] == "lost"
    assert lives["a.1"]["heirs"] == ["b.1"]
    assert lives["b.1"]["state"] == "alive"
    assert lives["b.1"]["open"] == 2
    assert list(rows(run("dead", host.settings.folder, "--json"))) == ["failed"]


def test_a_folder_in_order_is_in_order_and_a_spoilt_store_is_named(kept):
    host, _, b = kept
    assert run("verify", host.settings.folder) == "in order\n"
    b.current_incarnation.store.begin()
    b.current_incarnation.store.put(replace(b.find("open"), stage=Stage.FINAL, verdict=""))
    b.current_incarnation.store.commit()
    assert "b.1.db: job open is final without a verdict" in run("verify", host.settings.folder, code=1)
    (host.settings.folder / "lives" / "c.1.db").write_bytes(b"x" * 5000)
    assert "c.1.db" in run("verify", host.settings.folder, code=1)
    assert "not a folder of durable requests" in run("list", host.settings.folder.parent, code=2)


def test_a_snapshot_holds_every_job_and_what_starts_on_it_takes_over_what_is_open(kept, tmp_path):
    host, _, _ = kept
    assert run("snapshot", host.settings.folder, tmp_path / "copy") == "5 jobs\n"
    assert run("restore", tmp_path / "copy", tmp_path / "again" / "custody") == "5 jobs\n"
    assert run("verify", tmp_path / "again" / "custody") == "in order\n"
    assert "is not empty" in run("snapshot", host.settings.folder, tmp_path / "copy", code=1)
    later = Host(tmp_path / "again")
    c = later.member("c")
    later.outlive(c)
    assert {each.id for each in c.take_over()} == {"open", "out"}
    assert c.find("served").answer == SERVED
    c.close()


def test_jobs_go_out_as_columns(kept, tmp_path):
    import pyarrow.parquet as parquet

    host, _, _ = kept
    assert run("export", host.settings.folder, tmp_path / "j.parquet") == "5 jobs\n"
    table = parquet.read_table(tmp_path / "j.parquet")
    assert sorted(table.column("id").to_pylist()) == ["declined", "failed", "open", "out", "served"]


def test_a_wish_reaches_the_owner_and_one_for_what_is_over_ends(kept):
    host, _, b = kept
    assert run("cancel", host.settings.folder, "open") == "asked for\n"
    assert "is over: served" in run("cancel", host.settings.folder, "served", code=1)
    assert b.requested_ends() == ["open"]
    assert apply_one(b, RequestEnd("served")) == Written()
    assert b.requested_ends() == ["open"]
    assert SharedFolder(host.settings.folder).end_requests.all() == ["open"]
    apply_one(b, Finish("open", Answer(Verdict.TERMINATED)))
    assert b.requested_ends() == []
    assert SharedFolder(host.settings.folder).end_requests.all() == []


def test_what_may_have_run_is_asked_for_again_only_when_that_is_said(kept):
    host, _, _ = kept
    assert "may have run" in run("requeue", host.settings.folder, "failed", "--to", "127.0.0.1:9", code=1)
    assert "not dead" in run("requeue", host.settings.folder, "served", "--to", "127.0.0.1:9", code=1)
    refused = run("requeue", host.settings.folder, "failed", "--to", "127.0.0.1:9", "--anyway", code=1)
    assert "127.0.0.1:9" in refused
    assert "--to" in run("requeue", host.settings.folder, "failed", "--to", "nowhere", "--anyway", code=2)


def test_a_store_that_cannot_be_read_is_named_and_the_others_are_listed(kept):
    host, a, _ = kept
    a.close()
    with sqlite3.connect(host.settings.folder / "lives" / "a.1.db") as db:
        db.execute("PRAGMA user_version = 99")
    db.close()
    told = CliRunner().invoke(main, ["jobs", "list", str(host.settings.folder), "--json"])
    assert told.exit_code == 0
    assert "schema 99 is newer" in told.output
    assert '"id": "open"' in told.output


# Several real dispatchers with a batch front.

SCENARIO = Scenario(
    dispatchers=3,
    workers=6,
    slots=3,
    cell=3,
    jobs=1,
    custody={"lease_ms": 900},
    job_classes=tuple(replace(each, deadline=60_000.0, goal=30_000.0) for each in JOB_CLASSES),
)


@pytest.fixture
def batch(tmp_path):
    with Fleet(SCENARIO, tmp_path / "run", batch=True) as fleet:
        yield fleet, [fleet.batch_addresses[name] for name in fleet.dispatchers]


def body(job, ms):
    return json.dumps({"job": job, "run": ms, "slots": 1})


@pytest.mark.real_time
def test_batch_jobs_outlive_their_dispatcher_and_are_known_at_every_other(batch):
    fleet, addresses = batch
    first = fleet.dispatchers["n0"]
    with Session(*addresses[0], others=addresses[1:]) as session:
        templates = [JobTemplate("report", body=body(f"b{n}", 800.0)) for n in range(8)]
        ids = session.run_bulk_jobs(templates)
        with Session(*addresses[1]) as other:
            assert all(other.job_status(id_) != JobState.UNDETERMINED for id_ in ids)
        first.signal(signal.SIGKILL)
        first.wait()
        infos = session.synchronize(ids, timeout=50.0)
        assert [info.verdict for info in infos] == ["served"] * 8
        assert len({info.result for info in infos}) == 8
        first.start()
        with Session(*addresses[0]) as again:
            assert again.info(ids[0]) == infos[0], "its next life knows them"


@pytest.mark.real_time
def test_a_batch_job_is_ended_from_any_dispatcher_once(batch):
    _, addresses = batch
    with Session(*addresses[0]) as one_, Session(*addresses[1]) as other:
        long = one_.run_job(JobTemplate("report", body=body("long", 20_000.0)))
        wait_for("it runs", lambda: one_.job_status(long) == JobState.RUNNING)
        assert other.control(long, ControlAction.TERMINATE) == JobState.FAILED
        infos = [session.info(long) for session in (one_, other)]
        assert [info.verdict for info in infos] == ["terminated"] * 2
        assert infos[0].may_have_run
        short = one_.run_job(JobTemplate("lookup", body=body("short", 10.0)))
        served = one_.wait(short, 30.0)
        assert other.control(short, ControlAction.TERMINATE) == JobState.DONE, "its answer came first"
        assert other.info(short).result == served.result


@pytest.mark.real_time
def test_after_the_loss_of_all_batch_jobs_go_on_with_those_that_start(batch):
    fleet, addresses = batch
    with Session(*addresses[0]) as session:
        done = session.run_job(JobTemplate("lookup", body=body("done", 10.0)))
        result = session.wait(done, 30.0).result
        ids = session.run_bulk_jobs([JobTemplate("report", body=body(f"c{n}", 500.0)) for n in range(5)])
        once = session.run_bulk_jobs([JobTemplate("confirm", body=body(f"d{n}", 3000.0)) for n in range(2)])
    for dispatcher in fleet.dispatchers.values():
        dispatcher.signal(signal.SIGKILL)
    for dispatcher in fleet.dispatchers.values():
        dispatcher.wait()
        dispatcher.start()
    with Session(*addresses[2]) as session:
        assert session.info(done).result == result
        assert {session.wait(id_, 50.0).verdict for id_ in ids} == {"served"}
        ends = [session.wait(id_, 50.0) for id_ in once]
        assert all(end.verdict == "served" or (end.verdict == "failed" and end.may_have_run) for end in ends)
