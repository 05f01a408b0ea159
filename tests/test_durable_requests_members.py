"""Custody without processes: leases, chains of heirs, stores, and members that stop at named points."""

from __future__ import annotations

import json
import sqlite3
from dataclasses import replace
from itertools import pairwise
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from eiderfield.config.errors import ConfigError
from eiderfield.config.reader import TableReader
from eiderfield.durable_requests.errors import FolderError, StoreError
from eiderfield.durable_requests.failure_detector import FailureDetector, is_lost
from eiderfield.durable_requests.files import hashed
from eiderfield.durable_requests.folder import SharedFolder
from eiderfield.durable_requests.lease import Lease
from eiderfield.durable_requests.member import Member
from eiderfield.durable_requests.messages import (
    Accept,
    Accepted,
    AlreadyAccepted,
    AlreadyFinal,
    Claim,
    Claimed,
    Conflict,
    Finish,
    NotOwned,
    NotWritten,
    ReleaseClaim,
    Written,
)
from eiderfield.durable_requests.ownership import ownership_chain
from eiderfield.durable_requests.record import AttemptRecord, Stage, record_of, request_of
from eiderfield.durable_requests.schema import APPLICATION_ID, SCHEMA_VERSION
from eiderfield.durable_requests.settings import DurableRequestSettings
from eiderfield.durable_requests.settings import read as read_settings
from eiderfield.durable_requests.store import RecordStore
from eiderfield.exchange.request import Answer, Request, Verdict
from eiderfield.interface import Effect, RequestClass, Settings

SERVED = Answer(Verdict.SERVED, b"r", may_have_run=True, attempts=1)
DECLINED = Answer(Verdict.DECLINED, retry_after=9.0)
LEASE = 1200.0


def record(id_="j", key="", body=b"b", deadline=1e9, at=0.0, **more):
    a = Request(id_, 0, deadline, "/report/x", body=body, idempotency_key=key)
    return replace(record_of(a, "report", at, at), **more)


def leg(number=0, worker="w0", at=0.0):
    return AttemptRecord(number, worker, "here", 1, at)


class Host:
    """Members of one folder on one clock."""

    def __init__(self, path, **more):
        self.now, self.said = 1000.0, []
        self.settings = DurableRequestSettings(path / "custody", frozenset({0}), lease_ms=LEASE, **more)
        self.all = []

    def member(self, name):
        member = Member(self.settings, name, {"report": 3.0}, self.said.append, lambda: self.now)
        member.begin()
        member.tick()
        self.all.append(member)
        return member

    def live(self, span, *members):
        """Lets time pass, in which these look at the others."""
        end = self.now + span
        while self.now < end:
            self.now += self.settings.tick_interval_ms
            for member in members:
                member.tick()

    def outlive(self, *members):
        """Time enough for whoever does not look to be taken for lost."""
        self.live(2.5 * LEASE, *members)


@pytest.fixture
def host(tmp_path):
    host = Host(tmp_path)
    yield host
    for member in host.all:
        member.close()


def one(member, op):
    [outcome] = member.apply([op])
    return outcome


# Leases and chains.


def test_a_holder_stops_before_anybody_may_suspect_it():
    lease, watch = Lease(LEASE, 100.0), FailureDetector("b.1", LEASE)
    lease.renew(50.0)
    watch.observe(0.0, {"a.1": 1}, ())
    for now in range(100, 3000, 100):
        suspected = watch.observe(float(now), {"a.1": 2}, ())
        assert not (suspected and lease.holds(float(now)))
    assert suspected == {"a.1"}


def test_who_has_not_watched_suspects_nobody_for_silence_nor_by_the_machines_word():
    watch = FailureDetector("b.1", LEASE)
    assert watch.observe(0.0, {"a.1": 1}, {"a.1"}) == set()
    watch.observe(100.0, {"a.1": 1}, ())
    assert watch.observe(5000.0, {"a.1": 1}, {"a.1"}) == set(), "it stood still itself"
    times = [5000.0 + 100.0 * step for step in range(1, 20)]
    assert next(now for now in times if watch.observe(now, {"a.1": 1}, ())) >= 5000.0 + LEASE


def test_a_loss_takes_most_of_those_that_are_not_suspected():
    lives = ["a.1", "b.1", "c.1", "d.1"]
    assert not is_lost("d.1", ["a.1"], lives, {"d.1"})
    assert is_lost("d.1", ["a.1", "b.1"], lives, {"d.1"})
    assert not is_lost("d.1", ["a.1", "d.1"], lives, {"d.1"}), "its own word counts for nothing"
    assert is_lost("d.1", ["a.1"], lives, {"b.1", "c.1", "d.1"}), "all but one are lost"


LIVES = [f"n{number}.1" for number in range(6)]


@given(
    st.dictionaries(st.sampled_from(LIVES), st.lists(st.sampled_from(LIVES), min_size=1, unique=True)),
    st.lists(st.lists(st.sampled_from(LIVES), min_size=1, unique=True), max_size=3),
    st.text(max_size=4),
)
@settings(derandomize=True, max_examples=400, deadline=None, database=None)
def test_a_job_has_one_owner_and_a_further_fence_only_lengthens_its_chain(fences, later, id_):
    chain = ownership_chain(id_, LIVES[0], fences, later)
    assert len(set(chain)) == len(chain)
    assert all(heir in fences[life] or any(heir in more for more in later) for life, heir in pairwise(chain))
    assert chain[:-1] == [life for life in chain[:-1] if life in fences]
    if chain[-1] not in fences:
        rest = [life for life in LIVES if life != chain[-1]]
        assert (
            ownership_chain(id_, LIVES[0], {**fences, chain[-1]: tuple(rest)}, later)[: len(chain)] == chain
        )


def test_what_is_left_is_spread_over_the_heirs():
    heirs = tuple(LIVES[1:5])
    owners = [ownership_chain(f"job-{number}", LIVES[0], {LIVES[0]: heirs})[-1] for number in range(2000)]
    assert all(400 < owners.count(heir) < 600 for heir in heirs)


# Records and stores.


def test_a_record_becomes_the_same_authorisation_with_its_first_deadline():
    a = Request("j", 0, 5000.0, "/r/x", "h", b"\x00body", "k", 7, False, 2, 3.0, 4.0)
    kept = record_of(a, "r", now=1000.0, accepted_at=50.0)
    again = request_of(kept, 0, now=91_000.0, monotonic=1050.0)
    assert again == replace(a, deadline=91_000.0 + 3000.0, is_client_retry=True)


def test_a_leg_that_never_ran_is_taken_off_and_the_rest_are_numbered_anew_by_the_heir():
    kept = record().with_attempt(leg(0)).with_attempt(leg(1)).with_attempt(leg(2)).without_attempt(1)
    assert [each.number for each in kept.taken_over().attempts] == [0, 1]
    assert kept.taken_over().takeovers == 1
    assert kept.without_attempt(0).without_attempt(2).stage == Stage.ACCEPTED


def test_a_store_keeps_what_was_committed_and_shows_it_to_readers(tmp_path):
    store = RecordStore(tmp_path / "a.db")
    reader = RecordStore(tmp_path / "a.db", read_only=True)
    store.begin()
    store.put(record(key="k").with_attempt(leg()))
    assert reader.get("j") is None
    store.commit()
    assert reader.get("j") == record(key="k").with_attempt(leg())
    assert list(reader.open_records()) == [("j", "report", 0.0)]
    assert reader.verify() == ""
    assert reader.counts() == (1, 0, 1)

    def write_to_reader():
        reader.begin()
        reader.put(record())

    with pytest.raises(StoreError):
        write_to_reader()
    store.copy_to(tmp_path / "copy.db")
    assert RecordStore(tmp_path / "copy.db", read_only=True).get("j") == store.get("j")


OLD = """CREATE TABLE jobs (
    id TEXT PRIMARY KEY, cls TEXT NOT NULL, stage INTEGER NOT NULL, due REAL NOT NULL,
    accepted REAL NOT NULL, finished REAL NOT NULL, head TEXT NOT NULL, body BLOB NOT NULL,
    legs TEXT NOT NULL, verdict TEXT NOT NULL, result BLOB NOT NULL, retry_after REAL NOT NULL,
    may_have_run INTEGER NOT NULL, legs_in_all INTEGER NOT NULL, why TEXT NOT NULL, taken INTEGER NOT NULL
) WITHOUT ROWID;
CREATE INDEX open_jobs ON jobs (stage, accepted);
INSERT INTO jobs VALUES ('j', 'report', 1, 9.0, 1.0, 0.0, '{"key": ""}', x'62',
    '[[0, "w0", "here", 1, 2.0]]', '', x'', 0.0, 0, 0, '', 0);
PRAGMA application_id = 1701078386; PRAGMA user_version = 1;"""


def test_a_store_of_the_first_schema_is_read_as_it_is_and_brought_up_by_its_writer(tmp_path):
    path = tmp_path / "a.db"
    with sqlite3.connect(path) as db:
        db.executescript(OLD)
    db.close()
    before = RecordStore(path, read_only=True).get("j")
    assert before.attempts == (leg(at=2.0),)
    assert before.front == "platform"
    assert before.generation == 1
    store = RecordStore(path)
    assert store.version == SCHEMA_VERSION
    assert store.get("j") == before


@pytest.mark.parametrize(
    ("make", "why"),
    [
        (
            lambda db: db.executescript(
                f"PRAGMA application_id = {APPLICATION_ID}; PRAGMA user_version = 99"
            ),
            "newer",
        ),
        (lambda db: db.execute("CREATE TABLE mine (x)"), "not a store"),
        (None, "not a database"),
        ("torn", "malformed|disk image|not a database|integrity|file is"),
    ],
)
def test_a_store_that_is_foreign_newer_or_torn_is_refused_by_name(make, why, tmp_path):
    path = tmp_path / "x.db"
    if make is None:
        path.write_bytes(b"poems\n" * 2000)
    elif make == "torn":
        store = RecordStore(path)
        store.begin()
        for number in range(300):
            store.put(record(f"j{number}", body=b"x" * 500))
        store.commit()
        store.compact()
        store.close()
        data = bytearray(path.read_bytes())
        data[4096:] = b"\xff" * (len(data) - 4096)
        path.write_bytes(bytes(data))
        assert RecordStore(path, read_only=True).verify() != ""
        return
    else:
        with sqlite3.connect(path) as db:
            make(db)
        db.close()
    with pytest.raises(StoreError, match=why) as error:
        RecordStore(path)
    assert "x.db" in str(error.value)


# Members.


def test_a_job_is_taken_claimed_answered_and_its_answer_given_again(host):
    a, b = host.member("a"), host.member("b")
    assert one(a, Accept(record())) == Accepted()
    assert one(a, Claim("j", leg())) == Claimed("a.1")
    assert one(b, Accept(record())) == AlreadyAccepted("j")
    assert b.poll_answers(["j"]) == []
    assert one(a, Finish("j", SERVED)) == Written()
    assert one(a, Finish("j", DECLINED)) == NotOwned()
    [(id_, there)] = b.poll_answers(["j"])
    assert id_ == "j"
    assert there.answer == SERVED
    assert one(b, Accept(record())) == AlreadyFinal(there)
    assert one(a, Accept(record())) == AlreadyFinal(there)
    assert one(b, Accept(record(body=b"another"))) == Conflict()


def test_of_two_askers_in_one_moment_one_takes_the_job(host):
    members = [host.member(name) for name in "abc"]
    outcomes = [one(member, Accept(record())) for member in members]
    assert outcomes.count(Accepted()) == 1
    assert outcomes.count(AlreadyAccepted("j")) == 2
    assert members[0].apply([Accept(record("k")), Accept(record("k"))]) == [Accepted(), AlreadyAccepted("k")]


def test_a_declined_job_may_be_asked_for_again_anywhere(host):
    a, b = host.member("a"), host.member("b")
    assert one(a, Accept(record())) == Accepted()
    assert one(a, Finish("j", DECLINED)) == Written()
    assert a.poll_answers(["j"])[0][1].answer == DECLINED
    assert one(b, Accept(record())) == Accepted()
    assert one(a, Accept(record())) == AlreadyAccepted("j")
    assert one(b, Finish("j", SERVED)) == Written()
    assert one(a, Accept(record())) == AlreadyFinal(b.find("j"))


def test_two_clients_with_one_key_have_one_job(host):
    a, b = host.member("a"), host.member("b")
    assert one(a, Accept(record("j", key="k"))) == Accepted()
    assert one(b, Accept(record("i", key="k"))) == AlreadyAccepted("j")
    assert one(b, Accept(record("h", key="k", body=b"another"))) == Conflict()
    assert one(a, Finish("j", DECLINED)) == Written()
    assert one(b, Accept(record("i", key="k"))) == Accepted(), "a declined job holds no key"


def test_a_lost_members_jobs_go_to_its_heirs_with_what_may_have_run(host):
    a, b, c = (host.member(name) for name in "abc")
    ids = [f"j{number}" for number in range(40)]
    assert a.apply([Accept(record(id_)) for id_ in ids]) == [Accepted()] * 40
    a.apply([Claim(id_, leg()) for id_ in ids[:20]])
    a.apply([Finish(id_, SERVED) for id_ in ids[:5]])
    host.outlive(b, c)
    found = {member.name: member.take_over() for member in (b, c)}
    taken = {each.id: each for records in found.values() for each in records}
    assert sorted(taken) == sorted(ids[5:])
    assert all(found.values())
    assert all((each.stage == Stage.CLAIMED) == (id_ in ids[5:20]) for id_, each in taken.items())
    assert one(b, Accept(record("j0"))) == AlreadyFinal(b.find("j0")), "an answer outlives who gave it"
    assert a.apply([Claim("j6", leg(1)), Finish("j7", SERVED), Accept(record("j99"))])[:2] == [NotOwned()] * 2
    assert a.incarnation == ""
    assert a.counters.fenced == 1
    assert any("was taken for lost" in line for line in host.said)
    host.live(1500.0, a, b, c)
    assert a.incarnation == "a.2", "it begins anew with nothing"
    assert len(a.open_records) == 0, "it begins anew with nothing"


def test_who_is_told_last_of_its_own_loss_sends_nothing_it_claimed(host):
    a, b = host.member("a"), host.member("b")
    one(a, Accept(record()))
    host.outlive(b)
    assert not a.holds_lease(host.now)
    assert one(a, Claim("j", leg())) == NotOwned()
    assert [each.stage for each in b.take_over()] == [Stage.ACCEPTED]


def test_an_heir_that_is_lost_too_passes_on_what_it_wrote_not_what_it_found(host):
    a, b, c = (host.member(name) for name in "abc")
    ids = [f"j{number}" for number in range(12)]
    a.apply([Accept(record(id_)) for id_ in ids])
    host.outlive(b, c)
    mine = {each.id for each in b.take_over()}
    b.apply([Claim(id_, leg()) for id_ in mine])
    first = {each.id for each in c.take_over()}
    host.outlive(c)
    host.now += 1000.0
    second = {each.id: each for each in c.take_over()}
    assert set(second) == mine
    assert not first & mine
    assert all(each.stage == Stage.CLAIMED and each.takeovers == 2 for each in second.values())


def test_two_that_fence_each_other_leave_their_jobs_to_who_comes_next(host):
    a, b = host.member("a"), host.member("b")
    one(a, Accept(record("ja")))
    one(b, Accept(record("jb")))
    a.folder.fences.create("b.1", ["a.1"], "a.1", "test")
    b.folder.fences.create("a.1", ["b.1"], "b.1", "test")
    host.live(2500.0, a, b)
    assert (a.incarnation, b.incarnation) == ("a.2", "b.2")
    host.live(1000.0, a, b)
    taken = [each.id for member in (a, b) for each in member.take_over()]
    assert sorted(taken) == ["ja", "jb"]


def test_a_commit_that_comes_after_the_fence_is_taken_over_as_well(host):
    """It was under way when its member was stopped, and its asker waits for it at another one."""
    a, b = host.member("a"), host.member("b")
    a.point = lambda name: host.outlive(b) if name == "accept" else None
    assert one(a, Accept(record())) == AlreadyAccepted("j")
    assert b.take_over() == []
    host.live(500.0, b)
    assert [each.id for each in b.take_over()] == ["j"]


def test_who_died_between_an_id_and_its_record_blocks_nobody(host):
    a, b = host.member("a"), host.member("b")
    assert a.folder.ids.take("j", "a.1")
    assert one(b, Accept(record())) == AlreadyAccepted("j"), "it may be writing just now"
    assert b.poll_answers(["j"]) == []
    host.outlive(b)
    assert b.poll_answers(["j"]) == [("j", None)]
    assert one(b, Accept(record())) == Accepted()


class Stopped(Exception):
    """A member stops at a point for ever."""


@pytest.mark.parametrize("point", ["accept", "accept done", "claim", "claim done", "finish", "finish done"])
def test_wherever_a_member_stops_its_job_is_the_heirs_once(host, point):
    a, b = host.member("a"), host.member("b")

    def stop(name):
        if name == point:
            raise Stopped

    def serve_request():
        for op in (Accept(record()), Claim("j", leg()), Finish("j", SERVED)):
            one(a, op)

    a.point = stop
    with pytest.raises(Stopped):
        serve_request()
    host.outlive(b)
    found = [each.stage for each in b.take_over()]
    sent = point in ("claim done", "finish", "finish done")
    final = point == "finish done"
    assert found == ([] if point == "accept" or final else [Stage.CLAIMED if sent else Stage.ACCEPTED])
    expected = (
        AlreadyFinal(b.find("j")) if final else Accepted() if point == "accept" else AlreadyAccepted("j")
    )
    assert one(b, Accept(record())) == expected


def test_what_cannot_be_read_of_a_lost_member_is_not_taken_for_nothing(host):
    """A job in it may have begun: who asks for it waits, and is told at the end that it may have run."""
    a, b = host.member("a"), host.member("b")
    one(a, Accept(record()))
    one(a, Claim("j", leg()))
    a.end_incarnation()
    for end in ("-wal", "-shm"):
        (host.settings.folder / "lives" / f"a.1.db{end}").unlink(missing_ok=True)
    (host.settings.folder / "lives" / "a.1.db").write_bytes(b"spoilt" * 2000)
    host.outlive(b)
    assert b.take_over() == []
    assert any("what a.1 left cannot be read" in line for line in host.said)
    assert one(b, Accept(record())) == AlreadyAccepted("j")
    assert b.poll_answers(["j"]) == []
    assert one(b, Accept(record("other"))) == Accepted()


def test_a_store_that_was_locked_for_a_moment_is_read_again(host, monkeypatch):
    a, b = host.member("a"), host.member("b")
    one(a, Accept(record()))
    with monkeypatch.context() as locked:
        locked.setattr(b._context.readers, "open", lambda incarnation: None)
        host.outlive(b)
        assert b.take_over() == []
    host.live(1500.0, b)
    assert [each.id for each in b.take_over()] == ["j"]


def test_a_member_that_leaves_is_not_waited_for(host):
    a, b = host.member("a"), host.member("b")
    one(a, Accept(record()))
    assert a.leave()
    assert a.has_left
    assert not a.tick()
    b.tick()
    assert [each.id for each in b.take_over()] == ["j"]


def test_a_disk_that_takes_nothing_more_refuses_and_loses_nothing(host, monkeypatch):
    a, b = host.member("a"), host.member("b")
    one(a, Accept(record("kept")))

    def full():
        raise StoreError(Path("a.1.db"), "database or disk is full", transient=True)

    monkeypatch.setattr(a.current.store, "commit", full)
    refused = a.apply([Accept(record("more")), Claim("kept", leg()), Finish("kept", SERVED)])
    assert isinstance(refused[0], NotWritten)
    assert "full" in refused[0].reason
    assert isinstance(refused[1], NotWritten)
    assert isinstance(refused[2], NotWritten)
    monkeypatch.undo()
    assert one(b, Accept(record("more"))) == Accepted(), "an id that was not written down is free"
    assert one(a, Claim("kept", leg())) == Claimed("a.1")


def test_who_can_write_nothing_lets_an_asker_wait_for_a_job_that_is_somewhere(host, monkeypatch):
    """Seen: a process without a life declined a keyed job that had begun elsewhere (custody seed 15)."""
    a, b = host.member("a"), host.member("b")
    one(a, Accept(record()))
    one(a, Claim("j", leg()))
    b.end_incarnation()
    assert one(b, Accept(record())) == AlreadyAccepted("j")
    assert isinstance(one(b, Accept(record("i"))), NotWritten)
    assert one(b, Accept(record(body=b"another"))) == Conflict()
    one(a, Finish("j", SERVED))
    assert one(b, Accept(record())) == AlreadyFinal(a.find("j"))


def test_a_store_has_a_bound_beyond_which_new_jobs_are_refused(tmp_path):
    host = Host(tmp_path, max_bytes=100_000)
    a = host.member("a")
    outcomes = [one(a, Accept(record(f"j{number}", body=b"x" * 10_000))) for number in range(40)]
    assert Accepted() in outcomes
    assert isinstance(outcomes[-1], NotWritten)
    assert "full" in outcomes[-1].reason
    assert one(a, Finish("j0", SERVED)) == Written() or isinstance(one(a, Finish("j0", SERVED)), NotWritten)
    a.close()


def test_answers_are_kept_by_age_count_and_bytes_and_their_ids_are_free_after_that(tmp_path):
    host = Host(tmp_path, max_final_records=3, retention_ms=50_000.0)
    a = host.member("a")
    for number in range(6):
        one(a, Accept(record(f"j{number}", key=f"k{number}")))
        host.now += 10.0
        one(a, Finish(f"j{number}", SERVED))
    host.live(1500.0, a)
    assert [a.find(f"j{number}") is not None for number in range(6)] == [False] * 3 + [True] * 3
    assert one(a, Accept(record("j0", key="k0"))) == Accepted()
    host.live(60_000.0, a)
    assert a.find("j5") is None
    assert a.find("j0") is not None
    a.close()


def test_a_settled_estate_is_removed_once_its_answers_are_old(tmp_path):
    host = Host(tmp_path, retention_ms=20_000.0)
    a, b = host.member("a"), host.member("b")
    a.apply([Accept(record("open")), Accept(record("over"))])
    one(a, Finish("over", SERVED))
    host.outlive(b)
    assert [each.id for each in b.take_over()] == ["open"]
    assert b.folder.store_path("a.1").exists()
    one(b, Finish("open", SERVED))
    host.live(30_000.0, b)
    assert b.folder.store_path("a.1").exists(), "its process is there, and may be writing"
    host.live(12_000.0, a, b)
    assert not b.folder.store_path("a.1").exists()
    assert b.find("over") is None
    assert not (host.settings.folder / "ids" / hashed("over")[:2] / hashed("over")).is_symlink()
    a.close()
    b.close()


def test_steady_times_of_an_earlier_run_of_the_machine_are_told_on_this_ones(host):
    a, b = host.member("a"), host.member("b")
    one(a, Accept(record(deadline=50_000.0, at=host.now)))
    one(a, Claim("j", leg(at=host.now)))
    about = host.settings.folder / "members" / "a.1"
    told = json.loads(about.read_text())
    about.write_text(json.dumps({**told, "boot": "another", "offset": told["offset"] + 2000.0}))
    host.outlive(b)
    [found] = b.take_over()
    assert found.deadline == pytest.approx(52_000.0, abs=1.0)
    assert found.attempts[0].sent_at == pytest.approx(3000.0, abs=1.0)


def test_a_folder_of_another_form_or_none_is_refused_by_name(tmp_path):
    with pytest.raises(FolderError, match="not a folder of durable requests"):
        SharedFolder(tmp_path, make=False)
    SharedFolder(tmp_path / "x")
    (tmp_path / "x" / "form").write_text("9")
    with pytest.raises(FolderError, match=r"custody\.folder: .* is of form '9'"):
        SharedFolder(tmp_path / "x")
    (tmp_path / "file").write_text("")
    with pytest.raises(FolderError, match=r"custody\.folder"):
        SharedFolder(tmp_path / "file")


SITE = Settings(
    (
        RequestClass("report", 3.0, 300.0, 6000.0, Effect.KEYED),
        RequestClass("look", 1.0, 9.0, 900.0, Effect.SAFE),
    )
)


@pytest.mark.parametrize(
    ("told", "key"),
    [
        ({}, "custody.folder"),
        ({"folder": "run/x", "classes": ["report"]}, "custody.folder"),
        ({"folder": "/x"}, "custody.classes"),
        ({"folder": "/x", "classes": []}, "custody.classes"),
        ({"folder": "/x", "classes": ["reports"]}, "custody.classes"),
        ({"folder": "/x", "classes": ["look"], "lease_ms": 900}, "custody.lease_ms"),
        ({"folder": "/x", "classes": ["report"], "lease_ms": 1}, "custody.lease_ms"),
        ({"folder": "/x", "classes": ["report"], "leese_ms": 900}, "custody.leese_ms"),
        ({"folder": "/x", "classes": ["report"], "flush": 1}, "custody.flush"),
    ],
)
def test_a_faulty_table_is_refused_by_its_key(told, key):
    with pytest.raises(ConfigError) as error:
        read_settings(TableReader(told, "custody"), SITE)
    assert str(error.value).startswith(key)


class Kept(RuleBasedStateMachine):
    """Random steps of three members against a plain book of what each job's legs and answers were."""

    @initialize()
    def begin(self):
        from tempfile import mkdtemp

        self.host = Host(Path(mkdtemp()))
        self.members = [self.host.member(name) for name in "abc"]
        self.stopped = set()
        self.claims, self.answers, self.told = {}, {}, {}

    def member(self, number):
        return self.members[number]

    @rule(number=st.integers(0, 2), job=st.integers(0, 3))
    def ask(self, number, job):
        outcome = one(self.member(number), Accept(record(f"j{job}")))
        if isinstance(outcome, AlreadyFinal):
            assert self.answers[f"j{job}"] == outcome.record.answer

    @rule(number=st.integers(0, 2), job=st.integers(0, 3))
    def hand_out(self, number, job):
        """A claimed leg is sent at once, by whoever claimed it; a job that may have run is not sent again."""
        member, id_ = self.member(number), f"j{job}"
        there = member.open_records.get(id_)
        if there is not None and not there.attempts and isinstance(one(member, Claim(id_, leg())), Claimed):
            assert id_ not in self.claims, "sent twice"
            self.claims[id_] = member.incarnation

    @rule(number=st.integers(0, 2), job=st.integers(0, 3), kind=st.sampled_from(["served", "failed"]))
    def answer(self, number, job, kind):
        id_ = f"j{job}"
        answer = SERVED if kind == "served" else Answer(Verdict.FAILED, may_have_run=True)
        if one(self.member(number), Finish(id_, answer)) == Written():
            assert self.answers.setdefault(id_, answer) == answer, "answered twice"

    @rule(number=st.integers(0, 2))
    def never_ran(self, number):
        member = self.member(number)
        for id_ in list(member.open_records):
            if self.claims.get(id_) == member.incarnation and one(member, ReleaseClaim(id_, 0)) == Written():
                del self.claims[id_]

    @rule(number=st.integers(0, 2))
    def stop(self, number):
        self.stopped.add(number)
        self.host.live(2.5 * LEASE, *[m for n, m in enumerate(self.members) if n not in self.stopped])

    @precondition(lambda self: self.stopped)
    @rule()
    def wake(self):
        self.members[self.stopped.pop()].tick()

    @rule()
    def take_over(self):
        for number, member in enumerate(self.members):
            if number not in self.stopped:
                member.tick()
                for each in member.take_over():
                    assert each.id not in self.answers, "taken over though it has its answer"
                    assert (each.id in self.claims) == bool(each.attempts), "what may have run is forgotten"

    @invariant()
    def one_owner(self):
        for job in range(4):
            alive = [m for m in self.members if m.incarnation and not m.folder.fences.exists(m.incarnation)]
            owners = [m.incarnation for m in alive if f"j{job}" in m.open_records]
            assert len(owners) <= 1

    def teardown(self):
        import shutil

        for member in getattr(self, "members", ()):
            member.close()
        if hasattr(self, "host"):
            shutil.rmtree(self.host.settings.folder.parent)


TestKept = Kept.TestCase
TestKept.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None, database=None
)
