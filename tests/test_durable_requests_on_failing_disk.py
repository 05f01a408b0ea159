"""Kept jobs while the disk fails for a while: what was taken is still owed, and comes back, once.

One sequence is played over and over: three members begin, take jobs, claim attempts, answer some; one of them
is lost, and the others take over what it had and answer it. In each play the n-th operation of a kind and all
that follow fail, for less than a lease or for more, on the disk that all of them share.
"""

import json
import time

import pytest
from support.failing_files import BROKEN, ERRORS, FULL, KINDS, failing_files
from support.memory_dispatcher import InMemoryDispatcher
from test_durable_requests_members import LEASE, SERVED, Host, leg, one, record

from eiderfield.durable_requests import store as store_module
from eiderfield.durable_requests.coordinator import DurableRequestCoordinator
from eiderfield.durable_requests.errors import FolderError, StoreError
from eiderfield.durable_requests.inspection import Inspection
from eiderfield.durable_requests.loop_context import ProcessServices
from eiderfield.durable_requests.member import Member
from eiderfield.durable_requests.messages import (
    Accept,
    Accepted,
    AlreadyAccepted,
    AlreadyFinal,
    Claim,
    Claimed,
    Finish,
    NotOwned,
    NotWritten,
    Written,
)
from eiderfield.durable_requests.ownership import ownership_chain
from eiderfield.durable_requests.record import Stage
from eiderfield.durable_requests.settings import DurableRequestSettings
from eiderfield.durable_requests.store import RecordStore
from eiderfield.exchange.request import Request, Verdict
from eiderfield.machine import unix_offset

SHORT, LONG = 0.3 * LEASE, 2.5 * LEASE  # for which the disk fails
POSITIONS = 3  # of the first operation that fails, spread over those of a healthy play
JOBS = ("answered", "claimed", "accepted", "late")
PATIENCE = 100  # looks for which a caller goes on: an outage, a new life, a lease and a takeover fit in
TAKEOVER = 40  # looks in which a lost member's jobs are taken over on a healthy disk


class Play:
    """The sequence, with what each caller was told."""

    def __init__(self, path, faults=None):
        self.host = Host(path, flush=True)
        self.faults = faults
        self.span = self.heals_at = float("inf")
        self.members, self.lost = {}, set()
        self.taken, self.sent, self.answers = set(), {}, {}

    def fail(self, kind, code, first, span):
        self.faults.fail(kind, code, first)
        self.span = span

    def wait(self):
        """One look of each member that is not lost, and the disk's recovery once its time has come."""
        if self.faults.failed and self.heals_at == float("inf") and self.faults.kind:
            self.heals_at = self.host.now + self.span
        self.host.now += self.host.settings.tick_interval_ms
        if self.host.now >= self.heals_at:
            self.faults.heal()
        for name, member in self.members.items():
            if name not in self.lost:
                member.tick()
                for each in member.take_over():
                    self.adopted(each)

    def adopted(self, each):
        assert each.id not in self.answers, "taken over though it has its answer"
        assert each.attempts or each.id not in self.sent, "what may have run is forgotten"

    def begin(self, name):
        """As `Keeper.begin`: what passes stops no start."""
        member = Member(
            self.host.settings, name, {"report": 3.0}, self.host.said.append, lambda: self.host.now
        )
        self.members[name] = member
        failure = None
        try:
            member.begin()
        except (FolderError, StoreError) as error:
            failure = error
        assert failure is None or failure.transient, failure

    def owner(self, id_):
        alive = [m for name, m in self.members.items() if name not in self.lost]
        owners = [member for member in alive if id_ in member.open_records]
        assert len(owners) <= 1, "two owners"
        return owners[0] if owners else None

    def ask(self, id_):
        """An asker that is refused asks again, at the next member."""
        for turn in range(PATIENCE):
            alive = [m for name, m in self.members.items() if name not in self.lost]
            outcome = one(alive[turn % len(alive)], Accept(record(id_)))
            if isinstance(outcome, Accepted):
                assert id_ not in self.taken, "taken twice"
                self.taken.add(id_)
            if isinstance(outcome, Accepted | AlreadyFinal):
                return
            assert isinstance(outcome, AlreadyAccepted | NotWritten)
            if isinstance(outcome, AlreadyAccepted) and self.owner(id_) is not None:
                return
            self.wait()
        raise AssertionError(f"{id_} was never taken")

    def claim(self, id_):
        for _ in range(PATIENCE):
            member = self.owner(id_)
            if member is not None and member.open_records[id_].attempts:
                return  # written down by a claim whose outcome nobody heard
            if member is not None and isinstance(one(member, Claim(id_, leg())), Claimed):
                assert id_ not in self.sent, "sent twice"
                self.sent[id_] = member.incarnation
                return
            self.wait()
        raise AssertionError(f"{id_} was never claimed")

    def answer(self, id_):
        for _ in range(PATIENCE):
            member = self.owner(id_)
            if member is not None and one(member, Finish(id_, SERVED)) == Written():
                self.answers[id_] = SERVED
                return
            if member is None and self.is_final(id_):
                return  # written down by an answer whose outcome nobody heard
            self.wait()
        raise AssertionError(f"{id_} was never answered")

    def is_final(self, id_):
        alive = [m for name, m in self.members.items() if name not in self.lost]
        found = [member.find(id_) for member in alive]
        return any(each is not None and each.stage == Stage.FINAL for each in found)

    def run(self):
        for name in ("a", "b", "c"):
            self.begin(name)
        self.wait()
        for id_ in JOBS[:3]:
            self.ask(id_)
        for id_ in JOBS[:2]:
            self.claim(id_)
        self.answer("answered")
        self.lost.add("a")
        for _ in range(TAKEOVER):
            self.wait()
        self.ask("late")
        for id_ in JOBS:
            self.claim_again(id_)
            self.answer(id_)
        self.check()

    def claim_again(self, id_):
        """An heir sends what was not sent before; what may have run is not sent again here."""
        if id_ not in self.sent and id_ not in self.answers and not self.is_final(id_):
            self.claim(id_)

    def check(self):
        self.faults.heal()
        assert set(self.answers) | {id_ for id_ in JOBS if self.is_final(id_)} == set(JOBS)
        for member in self.members.values():
            member.close()
        survey = Inspection(self.host.settings.folder)
        jobs = {known.record.id: known.record for known in survey.jobs()}
        assert {id_: each.stage for id_, each in jobs.items()} == dict.fromkeys(JOBS, Stage.FINAL)
        assert survey.verify() == []


def test_the_sequence_is_whole_on_a_healthy_disk(tmp_path, monkeypatch):
    with failing_files(tmp_path, monkeypatch) as faults:
        Play(tmp_path, faults).run()


@pytest.mark.parametrize("span", [SHORT, LONG], ids=["short", "long"])
@pytest.mark.parametrize("code", ERRORS, ids=["ENOSPC", "EIO"])
@pytest.mark.parametrize("kind", KINDS)
def test_what_was_taken_is_owed_and_comes_back(kind, code, span, tmp_path, monkeypatch):
    with failing_files(tmp_path, monkeypatch) as faults:
        Play(tmp_path / "healthy", faults).run()
        many = faults.counts[kind]
        step = max(1, many // POSITIONS)
        shift = step * (2 * (code == BROKEN) + (span == LONG)) // 4  # each case has positions of its own
        for first in range(1 + shift, many + 1, step):
            play = Play(tmp_path / f"{first}", faults)
            play.fail(kind, code, first, span)
            try:
                play.run()
            except AssertionError as error:
                raise AssertionError(f"operation {first} of {many}: {error}; {play.host.said}") from error
            finally:
                faults.heal()


def settle(play, looks=TAKEOVER):
    for _ in range(looks):
        play.wait()


def test_a_life_that_ends_because_its_fence_cannot_be_read_leaves_all_it_wrote_to_the_next(
    tmp_path, monkeypatch
):
    """What was committed may be the heirs' already: nothing follows from it here, and nothing is lost."""
    with failing_files(tmp_path, monkeypatch) as faults:
        play = Play(tmp_path, faults)
        play.begin("a")
        member = play.members["a"]
        settle(play, 2)
        with faults.paused():
            assert one(member, Accept(record("first"))) == Accepted()
        monkeypatch.setattr(member, "point", lambda name: faults.fail("look", BROKEN, 2, 1))
        assert one(member, Claim("first", leg())) == NotOwned()
        assert member.incarnation == ""
        monkeypatch.undo()
        taken_over = []
        monkeypatch.setattr(play, "adopted", taken_over.append)
        settle(play)
        assert member.incarnation == "a.2"
        assert [(each.id, len(each.attempts)) for each in taken_over] == [("first", 1)]


def test_an_id_that_could_not_be_let_go_is_free_once_the_disk_is_well(tmp_path, monkeypatch):
    with failing_files(tmp_path, monkeypatch) as faults:
        play = Play(tmp_path, faults)
        play.begin("a")
        play.begin("b")
        settle(play, 2)
        a, b = play.members.values()
        monkeypatch.setattr(a.folder.ids, "release", broken)
        faults.fail("database write", FULL)
        assert isinstance(one(a, Accept(record("j"))), NotWritten)
        faults.heal()
        assert one(b, Accept(record("j"))) == AlreadyAccepted("j"), "its taker may still write it"
        monkeypatch.undo()
        settle(play, 1)
        assert one(b, Accept(record("j"))) == Accepted()


def test_an_id_that_was_taken_and_not_written_down_is_its_takers_at_once(tmp_path, monkeypatch):
    host = Host(tmp_path)
    a = host.member("a")
    monkeypatch.setattr(a.folder.ids, "release", broken)
    with failing_files(tmp_path, monkeypatch) as faults:
        faults.fail("database write", BROKEN)
        assert isinstance(one(a, Accept(record("j"))), NotWritten)
    assert one(a, Accept(record("j"))) == Accepted()
    assert a.folder.ids.holder("j") == (1, "a.1")
    a.close()


def broken(*args):
    raise OSError(BROKEN, "Input/output error")


def test_a_record_that_was_refused_and_came_back_with_a_kill_is_not_run_beside_its_next_taking(tmp_path):
    """A sync that fails after the write: the asker was told that nothing is taken, and asks elsewhere."""
    host = Host(tmp_path)
    a, b, c = (host.member(name) for name in "abc")
    fences = {"a.1": ("b.1", "c.1")}
    id_ = next(id_ for id_ in map(str, range(99)) if ownership_chain(id_, "a.1", fences)[-1] == "c.1")
    a.current.store.begin()
    a.current.store.put(record(id_))
    a.current.store.commit()  # as recovered from the journal of a killed process, whose asker was refused
    assert one(b, Accept(record(id_))) == Accepted()
    host.outlive(b, c)
    assert (b.take_over(), c.take_over(), len(b.open_records)) == ([], [], 1)
    for member in (a, b, c):
        member.close()


def test_an_heir_that_was_lost_before_it_wrote_anything_passes_its_jobs_on(tmp_path):
    """Its store is empty, which is not to say that it cannot be read."""
    host = Host(tmp_path)
    a, b, c = (host.member(name) for name in "abc")
    fences = {"a.1": ("b.1", "c.1"), "b.1": ("c.1",)}
    id_ = next(id_ for id_ in map(str, range(99)) if "b.1" in ownership_chain(id_, "a.1", fences))
    assert one(a, Accept(record(id_))) == Accepted()
    b.end_incarnation()
    for end in ("", "-wal", "-shm"):
        (host.settings.folder / "lives" / f"b.1.db{end}").unlink(missing_ok=True)
    (host.settings.folder / "lives" / "b.1.db").touch()
    c.folder.fences.create("a.1", ["b.1", "c.1"], "c.1", "test")
    host.outlive(c)
    assert [each.id for each in c.take_over()] == [id_]
    assert Inspection(host.settings.folder).verify() == []
    for member in (a, c):
        member.close()


def test_the_id_of_a_forgotten_record_is_not_taken_from_who_took_it_anew(host_with_two, monkeypatch):
    """A record whose id was let go may stay in its store after a refusal, and is forgotten again."""
    host, a, b = host_with_two
    one(a, Accept(record("j")))
    one(a, Finish("j", SERVED))
    [over] = a.current.store.expired(host.now + 1.0, 0, 0)
    with monkeypatch.context() as refused:
        refused.setattr(a.current.store, "delete", broken)
        a.retention.delete(a.current, [over])
    assert one(b, Accept(record("j"))) == Accepted()
    a.retention.delete(a.current, [over])
    assert b.folder.ids.holder("j") == (1, "b.1")
    assert one(a, Accept(record("j"))) == AlreadyAccepted("j")


@pytest.fixture
def host_with_two(tmp_path):
    host = Host(tmp_path)
    a, b = host.member("a"), host.member("b")
    yield host, a, b
    a.close()
    b.close()


def test_a_member_file_that_cannot_be_read_ends_no_job(host_with_two, tmp_path, monkeypatch):
    """Accepted for one of another boot, its times would lie in the past."""
    host, a, b = host_with_two
    one(a, Accept(record("j", deadline=host.now + 60_000.0)))
    host.outlive(b)
    with failing_files(tmp_path, monkeypatch) as faults:
        faults.fail("open", BROKEN)
        assert b.take_over() == []
        assert faults.failed == 1
    host.live(1500.0, b)
    assert [(each.id, each.deadline) for each in b.take_over()] == [("j", 61_000.0)]


def test_a_store_cut_at_any_byte_of_its_last_record_keeps_all_that_was_told_before(tmp_path, monkeypatch):
    """A kill leaves half a record: what was written down before is owed, and the rest was never told."""
    monkeypatch.setattr(store_module, "PAGE_SIZE", 512)  # fewer bytes to cut at
    host = Host(tmp_path / "whole")
    member = host.member("a")
    assert one(member, Accept(record("kept"))) == Accepted()
    assert isinstance(one(member, Claim("kept", leg())), Claimed)
    journal = host.settings.folder / "lives" / "a.1.db-wal"
    before = journal.stat().st_size
    assert one(member, Accept(record("last"))) == Accepted()
    whole, base = journal.read_bytes(), (host.settings.folder / "lives" / "a.1.db").read_bytes()
    member.close()
    assert len(whole) > before
    for size in range(before, len(whole) + 1):
        path = tmp_path / "cut.db"
        for end in ("", "-wal", "-shm"):
            path.with_name(f"cut.db{end}").unlink(missing_ok=True)
        path.write_bytes(base)
        path.with_name("cut.db-wal").write_bytes(whole[:size])
        store = RecordStore(path, read_only=True)
        found = {each.id: each.stage for each in store.records()}
        store.close()
        assert found.pop("kept") == Stage.CLAIMED
        assert found == ({"last": Stage.ACCEPTED} if size == len(whole) else {})


@pytest.mark.parametrize("part", ["members/a.1", "fences/a.1", "wishes"])
def test_a_small_file_cut_at_any_byte_stops_nobody(part, tmp_path):
    """A loss of power may tear what was not flushed: the other members go on."""
    host = Host(tmp_path)
    a, b = host.member("a"), host.member("b")
    one(a, Accept(record("j")))
    one(a, Accept(record("wished")))
    a.folder.end_requests.add("wished")
    if part.startswith("fences"):
        a.leave()
    path = host.settings.folder / part
    path = next(path.iterdir()) if path.is_dir() else path
    whole = path.read_bytes()
    for size in range(len(whole)):
        path.write_bytes(whole[:size])
        fresh = host.member(f"n{size}")
        assert fresh.tick()
        assert one(fresh, Accept(record(f"job-{size}"))) == Accepted()
        fresh.close()
    path.write_bytes(whole)
    assert not [line for line in host.said if "Error" in line]
    a.close()
    b.close()


# In the loop.


class Loop:
    """A coordinator in the loop, whose writer's turns are the test's: no thread, no waiting."""

    def __init__(self, folder, cls=0):
        self.dispatcher = InMemoryDispatcher(workers=1)
        settings = DurableRequestSettings(folder, frozenset({cls}), lease_ms=600_000.0)
        self.calls, self.answers = [], []
        dispatcher = self.dispatcher
        services = ProcessServices(
            exchange=dispatcher.exchange,
            ids=dispatcher.ids,
            timers=dispatcher.wheel,
            clock=dispatcher.clock,
            call_in_loop=self.calls.append,
            log=dispatcher.logged.append,
        )
        self.coordinator = DurableRequestCoordinator(settings, "a", services)
        self.coordinator.begin()
        self.coordinator.member.tick()
        request = Request("j", cls, dispatcher.now + 4000.0, "/safe/x")
        self.coordinator.intake.take(request, self.answers.append)

    def play(self, span=200.0):
        """Lets time pass in small steps, with the writer's turns between."""
        writer = self.coordinator.context.commit_thread
        for _ in range(int(span / 10.0)):
            writer.run_turn(writer.next_group())
            while self.calls:
                self.calls.pop(0)()
            self.dispatcher.settle()
            self.dispatcher.advance(10.0)

    @property
    def stage(self):
        return self.coordinator.member.find("j").stage


@pytest.fixture
def loop(tmp_path):
    loop = Loop(tmp_path / "custody")
    yield loop
    loop.coordinator.member.close()


def test_an_answer_that_was_told_on_a_full_disk_is_written_once_the_disk_is_well(loop, tmp_path, monkeypatch):
    loop.play(30.0)
    end = loop.dispatcher.dials[0].up()
    with failing_files(tmp_path, monkeypatch) as faults:
        faults.fail("database write", FULL)
        end.finish()
        loop.play(1000.0)
        assert [answer.verdict for answer in loop.answers] == [Verdict.SERVED]
        assert loop.stage == Stage.CLAIMED, "it would hold up no end"
        assert loop.coordinator.idle, "it would hold up no end"
        faults.heal()
        loop.play(2000.0)
    assert loop.stage == Stage.FINAL
    assert len(loop.coordinator.member.open_records) == 0
    assert len(loop.answers) == 1


def test_an_attempt_waits_for_the_disk_and_the_job_is_served_after_that(loop, tmp_path, monkeypatch):
    with failing_files(tmp_path, monkeypatch) as faults:
        hooks = loop.coordinator.hooks
        monkeypatch.setattr(hooks, "claim", fails_from_here(faults, hooks.claim))
        loop.play(600.0)
        assert faults.failed
        assert loop.stage == Stage.ACCEPTED
        assert not loop.dispatcher.dials, "sent without a claim"
        assert not loop.dispatcher.ends, "sent without a claim"
        faults.heal()
    for _ in range(200):
        if not loop.dispatcher.dials:
            loop.play(10.0)
    loop.dispatcher.dials[0].up().finish()
    loop.play()
    assert [answer.verdict for answer in loop.answers] == [Verdict.SERVED]
    assert loop.stage == Stage.FINAL


def fails_from_here(faults, claim):
    def call(leg, go):
        if not faults.failed:
            faults.fail("database write", BROKEN)
        claim(leg, go)

    return call


def test_each_change_hears_once_what_came_of_it_whatever_else_fails(loop, monkeypatch):
    monkeypatch.setattr(loop.coordinator.member, "tick", broken)
    monkeypatch.setattr(loop.coordinator.member, "take_over", broken)
    monkeypatch.setattr(loop.coordinator.member, "poll_answers", broken)
    heard = []
    loop.coordinator.context.commit_thread.watch("other")
    loop.coordinator.context.commit_thread.run_turn([(Accept(record("k")), heard.append)])
    for call in loop.calls:
        call()
    assert heard == [Accepted()]


# What passes stops no start.


@pytest.mark.parametrize("code", ERRORS, ids=["ENOSPC", "EIO"])
@pytest.mark.parametrize("kind", ["open", "write", "sync", "link", "database write", "database sync"])
def test_a_dispatcher_starts_on_a_disk_that_fails_and_begins_its_life_later(
    kind, code, tmp_path, monkeypatch
):
    with failing_files(tmp_path, monkeypatch) as faults:
        faults.fail(kind, code)
        play = Play(tmp_path, faults)
        play.begin("a")
        settle(play, 30)
        [member] = play.members.values()
        assert member.incarnation == ""
        assert isinstance(one(member, Accept(record("j"))), NotWritten)
        faults.heal()
        settle(play, 20)
        assert member.incarnation == "a.1", "a name for each try would fill the disk"
        assert one(member, Accept(record("j"))) == Accepted()
        member.close()


def test_the_loop_starts_without_a_life_and_takes_jobs_once_there_is_one(tmp_path, monkeypatch):
    with failing_files(tmp_path, monkeypatch) as faults:
        faults.fail("open", FULL)
        loop = Loop(tmp_path / "custody")
        loop.play(100.0)
        assert [answer.verdict for answer in loop.answers] == [Verdict.DECLINED]
        assert any("no life could be begun" in line for line in loop.dispatcher.logged)
        faults.heal()
    assert loop.coordinator.member.incarnation == ""
    loop.coordinator.member.begin()
    loop.coordinator.intake.take(
        Request("k", 0, loop.dispatcher.now + 4000.0, "/safe/x"), loop.answers.append
    )
    loop.play(30.0)
    assert loop.dispatcher.dials
    assert loop.coordinator.member.find("k") is not None
    loop.coordinator.member.close()


def test_what_only_an_operator_can_mend_stops_the_start(tmp_path):
    (tmp_path / "custody").mkdir()
    (tmp_path / "custody" / "members").write_text("")
    with pytest.raises(FolderError, match=r"custody\.folder") as error:
        Member(Host(tmp_path).settings, "a", {}, print)
    assert not error.value.transient


# Wall clocks that are stepped.


@pytest.mark.parametrize("step", [5.0, 3600.0, -5.0, -3600.0])
def test_a_step_of_the_wall_clock_changes_no_lease_and_no_deadline(step, host_with_two, monkeypatch):
    host, a, b = host_with_two
    one(a, Accept(record("j", deadline=host.now + 60_000.0)))
    real = time.time
    monkeypatch.setattr(time, "time", lambda: real() + step)
    host.live(2.0 * LEASE, a, b)
    assert (a.incarnation, b.incarnation) == ("a.1", "b.1")
    assert a.holds_lease(host.now)
    host.outlive(b)
    assert [(each.id, each.deadline) for each in b.take_over()] == [("j", 61_000.0)]


@pytest.mark.parametrize("step", [5.0, 3600.0, -5.0, -3600.0])
def test_a_step_before_a_reboot_is_followed_and_deadlines_come_through(step, host_with_two, monkeypatch):
    """After the reboot the wall clock, as it was stepped, alone joins the two steady clocks."""
    host, a, b = host_with_two
    one(a, Accept(record("j", at=host.now, deadline=host.now + 60_000.0)))
    real = time.time
    monkeypatch.setattr(time, "time", lambda: real() + step)
    host.live(2.0 * host.settings.tick_interval_ms, a, b)
    about = host.settings.folder / "members" / "a.1"
    told = json.loads(about.read_text())
    about.write_text(json.dumps({**told, "boot": "before"}))
    b.folder.incarnations.offset = unix_offset()
    host.outlive(b)
    [found] = b.take_over()
    assert found.deadline == pytest.approx(61_000.0, abs=50.0)
    assert found.accepted_at == pytest.approx(1000.0, abs=50.0)


def test_a_step_while_the_machine_was_down_gives_no_job_more_time_than_it_had(host_with_two):
    host, a, b = host_with_two
    one(a, Accept(record("j", at=host.now, deadline=host.now + 60_000.0)))
    one(a, Claim("j", leg(at=host.now)))
    about = host.settings.folder / "members" / "a.1"
    told = json.loads(about.read_text())
    about.write_text(json.dumps({**told, "boot": "before", "offset": told["offset"] + 3_600_000.0}))
    host.outlive(b)
    [found] = b.take_over()
    assert found.deadline <= host.now + 60_000.0
    assert found.accepted_at <= host.now
    assert found.attempts[0].sent_at <= host.now
