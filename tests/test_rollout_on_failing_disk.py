"""A rolling change while the disk fails for a while, files are cut short, or the wall clock is stepped."""

import json
import os
import socket
import time
from collections import Counter

import psutil
import pytest
from support.failing_files import ERRORS, FULL, failing_files
from test_rollout_settings import FILE

from eiderfield.rollout.actions import StartProcess, StopProcess, Version
from eiderfield.rollout.controller import Controller, begin_change, load_plan
from eiderfield.rollout.errors import JournalError, JournalWriteError
from eiderfield.rollout.journal import Journal, read_journal
from eiderfield.rollout.journal_codec import JournalContent, MoveRecord, ProcessRecord, encode_move
from eiderfield.rollout.measurement import ProcessReport
from eiderfield.rollout.operator_command import send_command
from eiderfield.rollout.plan_file import parse_plan
from eiderfield.rollout.processes import ProcessManager
from eiderfield.rollout.reconciler import ProcessStatus
from eiderfield.rollout.settings import prepare_settings

NAMES = ("n0", "n1", "n2")
KINDS = ("open", "write", "sync", "rename", "unlink")
POLLS = 120  # of a healthy change, and some more
POSITIONS = 6  # of the first operation that fails, spread over those of a healthy change
SHORT, LONG = 3, 15  # polls for which the disk fails

PLAN = """\
name = "change"
[change]
program = "new"
before = "old"
[watch]
seconds = 20.0
before = 3.0
settle = 0.0
ready = 40.0
[stages]
shares = [0.5]
""" + "".join(
    f"""
[[dispatcher]]
name = "{name}"
console = "127.0.0.1:{8070 + number}"
spare = "127.0.0.1:{8170 + number}"
start = ["run"]
"""
    for number, name in enumerate(NAMES)
)


class StandInManager:
    """Stands in for `ProcessManager`: processes that start, get ready and stop at once."""

    def __init__(self, plan, _change_id, _base, folder, _files, _known_processes=()):
        self.plan, self.folder = plan, folder
        self.known_processes = [ProcessRecord("n0", Version.OLD, ("127.0.0.1", 8070), 1, 1.0)]
        self.running = {
            member.name: {number: (Version.OLD, member.console)} for number, member in enumerate(plan.members)
        }
        self.next_pid, self.served = 100, Counter()

    def close(self):
        """Nothing is held."""

    def poll(self):
        return {
            name: [self.report(pid, *process) for pid, process in processes.items()]
            for name, processes in self.running.items()
        }

    def report(self, pid, version, console):
        self.served[pid] += 200
        outcomes = {"success": {"a": self.served[pid]}, "busy": {"a": 0}, "failure": {"a": 0}}
        return ProcessReport(
            ProcessStatus(version, pid, console, True), 100.0, outcomes, {"a": self.served[pid]}
        )

    def execute(self, action):
        processes = self.running[action.member]
        if isinstance(action, StartProcess):
            assert action.console not in [console for _, console in processes.values()], "two starts"
            processes[self.next_pid] = (action.version, action.console)
            self.next_pid += 1
        if isinstance(action, StopProcess):
            del processes[action.pid]
            assert processes, "nobody serves"
        return "told"


class Change:
    """A change that is led poll by poll on a clock of its own."""

    def __init__(self, folder, faults):
        self.now, self.faults, self.folder = 0.0, faults, folder / "change"
        self.base = folder
        for program in ("old", "new"):
            (folder / program / "eiderfield").mkdir(parents=True)
        (folder / "plan.toml").write_text(PLAN)

    def begin(self):
        begin_change(self.base / "plan.toml", self.folder)
        self.controller = Controller(self.folder, manager=StandInManager, clock=lambda: self.now)
        processes = self.controller.processes
        self.execute, processes.execute = processes.execute, self.checked

    def checked(self, action):
        """Carry out an action once its decision is found on the disk."""
        with self.faults.paused():
            on_disk = read_journal(self.folder).state
        assert on_disk.phase == self.controller.state_machine.state.phase
        assert on_disk.stage == self.controller.state_machine.state.stage
        return self.execute(action)

    def lead(self, heals_after=None):
        for _ in range(POLLS):
            self.now += 1.0
            self.controller.poll()
            with self.faults.paused():
                read_journal(self.folder)
            if self.faults.failed and heals_after is not None:
                heals_after -= 1
                if heals_after == 0:
                    self.faults.heal()
            if self.controller.state_machine.is_over and self.controller.commands.pending() is None:
                break
        return self.controller.state_machine.state.phase

    def versions(self):
        running = self.controller.processes.running
        return [version for processes in running.values() for version, _ in processes.values()]


@pytest.fixture
def faults(tmp_path, monkeypatch):
    with failing_files(tmp_path, monkeypatch) as faults:
        yield faults


@pytest.mark.parametrize("polls", [SHORT, LONG], ids=["short", "long"])
@pytest.mark.parametrize("code", ERRORS, ids=["ENOSPC", "EIO"])
@pytest.mark.parametrize("kind", KINDS)
def test_a_change_goes_to_its_end_whatever_the_disk_refuses_for_a_while(kind, code, polls, tmp_path, faults):
    healthy = Change(tmp_path / "healthy", faults)
    healthy.begin()
    faults.counts.clear()
    assert healthy.lead() == "done"
    assert set(healthy.versions()) == {Version.NEW}
    healthy.controller.close()
    many = faults.counts[kind]
    for first in range(1, many + 1, max(1, many // POSITIONS)):
        change = Change(tmp_path / f"{first}", faults)
        change.begin()
        faults.fail(kind, code, first)
        assert change.lead(polls) == "done", f"operation {first} of {many}"
        faults.heal()
        assert change.versions() == [Version.NEW] * len(NAMES)
        assert read_journal(change.folder, change.controller.plan).state.phase == "done"
        change.controller.close()


@pytest.mark.parametrize("code", ERRORS, ids=["ENOSPC", "EIO"])
@pytest.mark.parametrize("kind", KINDS[:4])
@pytest.mark.parametrize("first", [1, 2, 3, 4])
def test_a_change_that_cannot_be_written_is_not_begun_and_may_be_begun_again(
    kind, code, first, tmp_path, faults
):
    change = Change(tmp_path, faults)
    faults.fail(kind, code, first, times=1)
    failure = None
    try:
        change.begin()
    except JournalError as error:
        failure = error
    if failure is not None:
        assert str(change.folder) in str(failure)
        change.begin()
    assert change.lead() == "done"


@pytest.mark.parametrize("code", ERRORS, ids=["ENOSPC", "EIO"])
def test_command_is_handled_once_although_its_file_stays(code, tmp_path, faults):
    change = Change(tmp_path, faults)
    change.begin()
    for _ in range(5):
        change.now += 1.0
        change.controller.poll()
    send_command(change.folder, "pause")
    faults.fail("unlink", code)
    for _ in range(5):
        change.now += 1.0
        change.controller.poll()
    assert change.controller.state_machine.state.paused
    assert (change.folder / "wish.json").exists()
    assert change.controller.commands.pending() is None
    send_command(change.folder, "resume")
    for _ in range(3):
        change.now += 1.0
        change.controller.poll()
    assert not change.controller.state_machine.state.paused, "the earlier command came back"


@pytest.mark.parametrize("kind", ["open", "write", "sync", "rename"])
def test_command_that_cannot_be_written_is_an_error(kind, tmp_path, faults):
    faults.fail(kind, FULL)
    with pytest.raises(JournalWriteError, match=r"wish\.json"):
        send_command(tmp_path, "undo")


def test_a_journal_cut_at_any_byte_is_refused_by_name_and_so_is_none(tmp_path, faults):
    change = Change(tmp_path, faults)
    change.begin()
    path = change.folder / "journal.json"
    whole = path.read_bytes()
    for size in range(len(whole)):
        path.write_bytes(whole[:size])
        with pytest.raises(JournalError, match=r"journal\.json"):
            read_journal(change.folder, change.controller.plan)
    path.write_bytes(whole)
    assert read_journal(change.folder, change.controller.plan).state.phase == "before"


def test_a_line_after_one_that_was_cut_at_any_byte_stands_by_itself(tmp_path):
    journal = Journal(tmp_path, JournalContent("plan", "id"))
    path = tmp_path / "moves.jsonl"
    journal.append_move(MoveRecord(1.0, StopProcess("n0", 1)))
    first = path.read_bytes()
    for size in range(len(first)):
        path.write_bytes(first[:size])
        record = MoveRecord(2.0, StopProcess("n1", 2))
        journal.append_move(record)
        last = path.read_text().splitlines()[-1]
        assert json.loads(last) == encode_move(record)


@pytest.mark.parametrize("code", ERRORS, ids=["ENOSPC", "EIO"])
@pytest.mark.parametrize("kind", ["open", "write", "sync", "rename"])
@pytest.mark.parametrize("first", [1, 2, 3, 4])
def test_half_of_a_dispatchers_own_file_is_never_kept_for_an_undo(kind, code, first, tmp_path, faults):
    """What `prepare_settings` finds in the change's folder counts as whole, and an undo puts it in place."""
    (tmp_path / "n0.toml").write_text(FILE)
    (tmp_path / "more.toml").write_text("[limits]\nsockets = 2048\n")
    (tmp_path / "plan.toml").write_text(
        'name = "c"\n[change]\nsettings = "more.toml"\n[[dispatcher]]\nname = "n0"\n'
        'console = "127.0.0.1:8070"\nconfig = "n0.toml"\nstart = ["run"]\n'
    )
    folder = tmp_path / "change"
    faults.partly = True
    faults.fail(kind, code, first, times=1)
    try:
        begin_change(tmp_path / "plan.toml", folder)
    except JournalError:
        begin_change(tmp_path / "plan.toml", folder)
    plan, base = load_plan(folder)
    [file] = prepare_settings(plan, base, folder).values()
    assert file.texts[Version.OLD] == FILE
    assert file.texts[Version.NEW] != FILE
    for version in (Version.NEW, Version.OLD):
        file.install(version)
        assert file.installed_version() is version


# Wall clocks that are stepped.


@pytest.mark.parametrize("step", [5.0, 3600.0, -5.0, -3600.0])
def test_a_process_is_as_old_as_it_is_whatever_the_wall_clock_says(step, tmp_path, monkeypatch):
    with socket.create_server(("127.0.0.1", 0)) as console:
        plan, record = plan_and_record(console, created=psutil.Process().create_time())
        manager = ProcessManager(plan, "id", tmp_path, tmp_path, {}, [record])
        before = manager.poll()["n0"][0].age
        real = time.time
        monkeypatch.setattr(time, "time", lambda: real() + step)
        [after] = manager.poll()["n0"]
        manager.close()
    assert after.status.pid == os.getpid()
    assert 0.0 <= after.age - before < 4.0


@pytest.mark.parametrize("step", [5.0, 3600.0, -5.0, -3600.0])
def test_a_controller_after_a_step_knows_the_process_that_listens_at_its_console(step, tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as console:
        plan, record = plan_and_record(console, created=psutil.Process().create_time() + step)
        manager = ProcessManager(plan, "id", tmp_path, tmp_path, {}, [record])
        assert [known.pid for known in manager.known_processes] == [os.getpid()]
        manager.close()
    manager = ProcessManager(plan, "id", tmp_path, tmp_path, {}, [record])
    assert manager.known_processes == [], "another process may have the number by now"
    manager.close()


def plan_and_record(console, created):
    """Return a plan of one dispatcher, whose console is this process's, and its record in a journal."""
    address = console.getsockname()
    text = 'name = "c"\n[change]\nsettings = "s"\n[[dispatcher]]\nname = "n0"\nconfig = "n0.toml"\n'
    plan = parse_plan(f'{text}console = "127.0.0.1:{address[1]}"\nstart = ["run"]\n')
    record = ProcessRecord("n0", Version.OLD, address, os.getpid(), created)
    return plan, record
