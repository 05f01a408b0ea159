"""Durable jobs for operators and batch clients: the `jobs` commands, and several real dispatchers."""

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


def run_jobs_command(*arguments, code=0):
    result = CliRunner().invoke(main, ["jobs", *map(str, arguments)])
    assert result.exit_code == code, result.output
    return result.output


@pytest.fixture
def two_members(tmp_path):
    """A host with a lost member and its successor, and a job in each state."""
    host = Host(tmp_path)
    a, b = host.member("a"), host.member("b")
    for id_ in ("open", "claimed", "served", "failed", "declined"):
        apply_one(a, Accept(record(id_, key=f"k-{id_}")))
    apply_one(a, Claim("claimed", attempt_record()))
    apply_one(a, Finish("served", SERVED))
    apply_one(a, Finish("failed", Answer(Verdict.FAILED, may_have_run=True, attempts=1)))
    apply_one(a, Finish("declined", DECLINED))
    host.outlive(b)
    b.take_over()
    yield host, a, b
    for member in (a, b):
        member.close()


def rows_by_id(text):
    return {row["id"]: row for row in map(json.loads, text.splitlines())}


def test_commands_show_every_job_once_with_its_owner(two_members):
    host, _, _ = two_members
    listed = rows_by_id(run_jobs_command("list", host.settings.folder, "--json"))
    assert {id_: row["state"] for id_, row in listed.items()} == {
        "open": "accepted",
        "claimed": "claimed",
        "served": "served",
        "failed": "failed",
        "declined": "declined",
    }
    assert {row["owner"] for row in listed.values()} == {"b.1"}
    assert listed["claimed"]["taken_over"] == 1
    assert listed["claimed"]["may_have_run"]
    assert not listed["open"]["may_have_run"]
    assert set(rows_by_id(run_jobs_command("list", host.settings.folder, "--state", "open", "--json"))) == {
        "open",
        "claimed",
    }
    assert "served" in run_jobs_command("list", host.settings.folder)
    shown = json.loads(run_jobs_command("show", host.settings.folder, "claimed"))
    assert shown["chain"] == ["a.1", "b.1"]
    assert shown["legs"][0][1] == "w0"
    assert "is not known" in run_jobs_command("show", host.settings.folder, "none", code=1)
    lines = run_jobs_command("members", host.settings.folder, "--json").splitlines()
    incarnations = {row["life"]: row for row in map(json.loads, lines)}
    assert incarnations["a.1"]["state"] == "lost"
    assert incarnations["a.1"]["heirs"] == ["b.1"]
    assert incarnations["b.1"]["state"] == "alive"
    assert incarnations["b.1"]["open"] == 2
    assert list(rows_by_id(run_jobs_command("dead", host.settings.folder, "--json"))) == ["failed"]


def test_verify_names_the_store_with_a_fault(two_members):
    host, _, b = two_members
    assert run_jobs_command("verify", host.settings.folder) == "in order\n"
    b.current_incarnation.store.begin()
    b.current_incarnation.store.put(replace(b.find("open"), stage=Stage.FINAL, verdict=""))
    b.current_incarnation.store.commit()
    assert "b.1.db: job open is final without a verdict" in run_jobs_command(
        "verify", host.settings.folder, code=1
    )
    (host.settings.folder / "lives" / "c.1.db").write_bytes(b"x" * 5000)
    assert "c.1.db" in run_jobs_command("verify", host.settings.folder, code=1)
    assert "not a folder of durable requests" in run_jobs_command("list", host.settings.folder.parent, code=2)


def test_member_on_a_restored_snapshot_takes_over_the_open_jobs(two_members, tmp_path):
    host, _, _ = two_members
    assert run_jobs_command("snapshot", host.settings.folder, tmp_path / "copy") == "5 jobs\n"
    assert run_jobs_command("restore", tmp_path / "copy", tmp_path / "again" / "custody") == "5 jobs\n"
    assert run_jobs_command("verify", tmp_path / "again" / "custody") == "in order\n"
    assert "is not empty" in run_jobs_command("snapshot", host.settings.folder, tmp_path / "copy", code=1)
    later = Host(tmp_path / "again")
    c = later.member("c")
    later.outlive(c)
    assert {each.id for each in c.take_over()} == {"open", "claimed"}
    assert c.find("served").answer == SERVED
    c.close()


def test_export_writes_every_job_to_a_parquet_file(two_members, tmp_path):
    import pyarrow.parquet as parquet

    host, _, _ = two_members
    assert run_jobs_command("export", host.settings.folder, tmp_path / "j.parquet") == "5 jobs\n"
    table = parquet.read_table(tmp_path / "j.parquet")
    assert sorted(table.column("id").to_pylist()) == ["claimed", "declined", "failed", "open", "served"]


def test_cancel_reaches_the_owner_and_is_removed_when_the_job_has_ended(two_members):
    host, _, b = two_members
    assert run_jobs_command("cancel", host.settings.folder, "open") == "asked for\n"
    assert "is over: served" in run_jobs_command("cancel", host.settings.folder, "served", code=1)
    assert b.requested_ends() == ["open"]
    assert apply_one(b, RequestEnd("served")) == Written()
    assert b.requested_ends() == ["open"]
    assert SharedFolder(host.settings.folder).end_requests.all() == ["open"]
    apply_one(b, Finish("open", Answer(Verdict.TERMINATED)))
    assert b.requested_ends() == []
    assert SharedFolder(host.settings.folder).end_requests.all() == []


def test_requeue_refuses_a_job_that_may_have_run_without_anyway(two_members):
    host, _, _ = two_members
    assert "may have run" in run_jobs_command(
        "requeue", host.settings.folder, "failed", "--to", "127.0.0.1:9", code=1
    )
    assert "not dead" in run_jobs_command(
        "requeue", host.settings.folder, "served", "--to", "127.0.0.1:9", code=1
    )
    refused = run_jobs_command(
        "requeue", host.settings.folder, "failed", "--to", "127.0.0.1:9", "--anyway", code=1
    )
    assert "127.0.0.1:9" in refused
    assert "--to" in run_jobs_command(
        "requeue", host.settings.folder, "failed", "--to", "nowhere", "--anyway", code=2
    )


def test_list_names_an_unreadable_store_and_lists_the_others(two_members):
    host, a, _ = two_members
    a.close()
    with sqlite3.connect(host.settings.folder / "lives" / "a.1.db") as db:
        db.execute("PRAGMA user_version = 99")
    db.close()
    result = CliRunner().invoke(main, ["jobs", "list", str(host.settings.folder), "--json"])
    assert result.exit_code == 0
    assert "schema 99 is newer" in result.output
    assert '"id": "open"' in result.output


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


def job_body(job, run_ms):
    return json.dumps({"job": job, "run": run_ms, "slots": 1})


@pytest.mark.real_time
def test_batch_jobs_survive_the_loss_of_their_dispatcher(batch):
    fleet, addresses = batch
    first = fleet.dispatchers["n0"]
    with Session(*addresses[0], others=addresses[1:]) as session:
        templates = [JobTemplate("report", body=job_body(f"b{n}", 800.0)) for n in range(8)]
        ids = session.run_bulk_jobs(templates)
        with Session(*addresses[1]) as other:
            assert all(other.job_status(id_) != JobState.UNDETERMINED for id_ in ids)
        first.signal(signal.SIGKILL)
        first.wait()
        infos = session.synchronize(ids, timeout=50.0)
        assert [info.verdict for info in infos] == ["served"] * 8
        assert len({info.result for info in infos}) == 8
        first.start()
        with Session(*addresses[0]) as restarted:
            assert restarted.info(ids[0]) == infos[0], "the restarted dispatcher does not know the jobs"


@pytest.mark.real_time
def test_batch_job_can_be_terminated_at_any_dispatcher(batch):
    _, addresses = batch
    with Session(*addresses[0]) as one, Session(*addresses[1]) as other:
        long = one.run_job(JobTemplate("report", body=job_body("long", 20_000.0)))
        wait_for("the job runs", lambda: one.job_status(long) == JobState.RUNNING)
        assert other.control(long, ControlAction.TERMINATE) == JobState.FAILED
        infos = [session.info(long) for session in (one, other)]
        assert [info.verdict for info in infos] == ["terminated"] * 2
        assert infos[0].may_have_run
        short = one.run_job(JobTemplate("lookup", body=job_body("short", 10.0)))
        served = one.wait(short, 30.0)
        assert other.control(short, ControlAction.TERMINATE) == JobState.DONE, (
            "a terminate after the answer changed the state"
        )
        assert other.info(short).result == served.result


@pytest.mark.real_time
def test_batch_jobs_continue_after_all_dispatchers_were_killed_and_started(batch):
    fleet, addresses = batch
    with Session(*addresses[0]) as session:
        done = session.run_job(JobTemplate("lookup", body=job_body("done", 10.0)))
        result = session.wait(done, 30.0).result
        ids = session.run_bulk_jobs([JobTemplate("report", body=job_body(f"c{n}", 500.0)) for n in range(5)])
        unsafe_ids = session.run_bulk_jobs(
            [JobTemplate("confirm", body=job_body(f"d{n}", 3000.0)) for n in range(2)]
        )
    for dispatcher in fleet.dispatchers.values():
        dispatcher.signal(signal.SIGKILL)
    for dispatcher in fleet.dispatchers.values():
        dispatcher.wait()
        dispatcher.start()
    with Session(*addresses[2]) as session:
        assert session.info(done).result == result
        assert {session.wait(id_, 50.0).verdict for id_ in ids} == {"served"}
        infos = [session.wait(id_, 50.0) for id_ in unsafe_ids]
        assert all(
            info.verdict == "served" or (info.verdict == "failed" and info.may_have_run) for info in infos
        )
