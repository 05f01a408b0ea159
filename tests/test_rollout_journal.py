"""The journal, the operators' commands and the locks of a rolling change."""

from __future__ import annotations

import subprocess
import sys
from dataclasses import replace

import pytest
from support.rollout import PLAN

from eiderfield.rollout.errors import JournalError
from eiderfield.rollout.journal import Journal, read_journal
from eiderfield.rollout.journal_codec import JournalContent
from eiderfield.rollout.locks import DispatcherLocks
from eiderfield.rollout.operator_command import CommandFile, OperatorCommand, send_command
from eiderfield.rollout.state import Phase, RolloutState


def write_journal(folder, **state):
    journal = Journal(folder, JournalContent(PLAN.digest, "id", RolloutState(**state)))
    journal.write(1.0)
    return journal


def test_journal_read_after_write_has_the_same_state(tmp_path):
    state = {
        "phase": Phase.WATCHING,
        "stage": 1,
        "classes": ["a"],
        "baseline": {"n0": {"a": {"share": [5, 4.0, 4.0]}}},
    }
    write_journal(tmp_path, **state)
    journal = read_journal(tmp_path, PLAN)
    assert journal.state == RolloutState(**state)
    assert journal.entries[0].phase is Phase.WATCHING


@pytest.mark.parametrize(
    ("damage", "message"),
    [
        (lambda text: text[: len(text) // 2], "journal.json"),
        (lambda text: text.replace("watching", "undoing!"), "checksum"),
        (lambda _text: "", "journal.json"),
        (lambda _text: "[]", "journal.json"),
        (lambda text: text.replace('\\"form\\": 1', '\\"form\\": 9'), "checksum"),
    ],
)
def test_journal_truncated_or_edited_is_rejected_with_its_path(damage, message, tmp_path):
    path = write_journal(tmp_path, phase=Phase.WATCHING).path
    path.write_text(damage(path.read_text()))
    with pytest.raises(JournalError, match=message) as error:
        read_journal(tmp_path, PLAN)
    assert error.value.path == path


def test_journal_of_another_plan_is_rejected(tmp_path):
    write_journal(tmp_path)
    with pytest.raises(JournalError, match="another plan"):
        read_journal(tmp_path, replace(PLAN, program="newer"))


def test_operator_command_is_pending_until_handled(tmp_path):
    commands = CommandFile(tmp_path)
    assert commands.pending() is None
    send_command(tmp_path, "undo")
    assert commands.pending() is OperatorCommand.UNDO
    commands.mark_handled()
    assert commands.pending() is None


def test_operator_command_unknown_is_neither_sent_nor_pending(tmp_path):
    (tmp_path / "wish.json").write_text('{"word": "explode"}')
    assert CommandFile(tmp_path).pending() is None
    with pytest.raises(ValueError, match="explode"):
        send_command(tmp_path, "explode")


def test_dispatcher_lock_held_by_another_process_is_refused(tmp_path):
    # The other process's plan has a member `x`, whose console is the spare console of `n0` in PLAN.
    with DispatcherLocks(PLAN, tmp_path):
        script = (
            "import sys; from pathlib import Path\n"
            "from eiderfield.rollout.errors import LockError\n"
            "from eiderfield.rollout.locks import DispatcherLocks\n"
            "from eiderfield.rollout.plan import Member, Plan, WatchSettings\n"
            "m = (Member('x', ('h', 101), 'z', ('s',)),)\n"
            "plan = Plan('q', 'n', '', m, (('x',),), 1, WatchSettings(), 'o')\n"
            "try: DispatcherLocks(plan, Path(sys.argv[1]))\n"
            "except LockError as error: print(error)"
        )
        command = [sys.executable, "-c", script, str(tmp_path)]
        completed = subprocess.run(command, capture_output=True, text=True)
        assert "x is being changed already" in completed.stdout, completed
    DispatcherLocks(PLAN, tmp_path).close()
