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


def test_a_journal_is_read_back_whole(tmp_path):
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
    ("spoil", "why"),
    [
        (lambda text: text[: len(text) // 2], "journal.json"),
        (lambda text: text.replace("watching", "undoing!"), "checksum"),
        (lambda _text: "", "journal.json"),
        (lambda _text: "[]", "journal.json"),
        (lambda text: text.replace('\\"form\\": 1', '\\"form\\": 9'), "checksum"),
    ],
)
def test_a_journal_that_is_torn_or_changed_is_refused_by_name(spoil, why, tmp_path):
    path = write_journal(tmp_path, phase=Phase.WATCHING).path
    path.write_text(spoil(path.read_text()))
    with pytest.raises(JournalError, match=why) as error:
        read_journal(tmp_path, PLAN)
    assert error.value.path == path


def test_a_journal_of_another_plan_is_refused(tmp_path):
    write_journal(tmp_path)
    with pytest.raises(JournalError, match="another plan"):
        read_journal(tmp_path, replace(PLAN, program="newer"))


def test_a_command_is_pending_until_it_is_handled(tmp_path):
    commands = CommandFile(tmp_path)
    assert commands.pending() is None
    send_command(tmp_path, "undo")
    assert commands.pending() is OperatorCommand.UNDO
    commands.mark_handled()
    assert commands.pending() is None


def test_an_unknown_command_is_neither_sent_nor_pending(tmp_path):
    (tmp_path / "wish.json").write_text('{"word": "explode"}')
    assert CommandFile(tmp_path).pending() is None
    with pytest.raises(ValueError, match="explode"):
        send_command(tmp_path, "explode")


def test_two_controllers_of_one_dispatcher_are_one_too_many_even_in_two_processes(tmp_path):
    with DispatcherLocks(PLAN, tmp_path):
        code = (
            "import sys; from pathlib import Path\n"
            "from eiderfield.rollout.errors import LockError\n"
            "from eiderfield.rollout.locks import DispatcherLocks\n"
            "from eiderfield.rollout.plan import Member, Plan, WatchSettings\n"
            "m = (Member('x', ('h', 101), 'z', ('s',)),)\n"
            "plan = Plan('q', 'n', '', m, (('x',),), 1, WatchSettings(), 'o')\n"
            "try: DispatcherLocks(plan, Path(sys.argv[1]))\n"
            "except LockError as error: print(error)"
        )
        words = [sys.executable, "-c", code, str(tmp_path)]
        ended = subprocess.run(words, capture_output=True, text=True)
        assert "x is being changed already" in ended.stdout, ended
    DispatcherLocks(PLAN, tmp_path).close()
