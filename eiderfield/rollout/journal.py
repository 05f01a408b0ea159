"""The journal of a change, from which another controller can continue it.

The folder of a change holds these files:

    journal.json    the plan's digest; the change's id, state, latest entries and processes; a checksum
    wish.json       an operator's command that the controller has not handled yet (`operator_command.py`)
    moves.jsonl     a line before each action and a line with its outcome; for operators, no program reads it

The journal file is replaced atomically (`durable.py`), so a controller that crashes while it writes leaves
either the previous journal or the new one. A controller whose write fails goes back to the content that was
written last. A journal that is truncated, was edited by hand or belongs to another plan is rejected with an
error that names the file.
"""

from __future__ import annotations

import json
from contextlib import suppress
from pathlib import Path

from eiderfield.durable import SHARED_MODE, append_line, replace_file
from eiderfield.rollout.errors import JournalError, JournalWriteError
from eiderfield.rollout.journal_codec import (
    JournalContent,
    JournalEntry,
    MoveRecord,
    ProcessRecord,
    decode_content,
    encode_content,
    encode_move,
    seal,
    unseal,
)
from eiderfield.rollout.plan import Plan
from eiderfield.rollout.state import RolloutState

JOURNAL_FILE = "journal.json"
MOVES_FILE = "moves.jsonl"
MAX_ENTRIES = 200  # older entries are dropped


class Journal:
    """The journal of one change: its current content, and the content that was written or read last."""

    def __init__(self, folder: Path, content: JournalContent) -> None:
        self.folder = folder
        self.content = content
        self._written = encode_content(content)

    @property
    def path(self) -> Path:
        """The path of the journal file."""
        return self.folder / JOURNAL_FILE

    @property
    def state(self) -> RolloutState:
        """The state of the change."""
        return self.content.state

    @property
    def entries(self) -> list[JournalEntry]:
        """The latest entries, oldest first."""
        return self.content.entries

    @property
    def processes(self) -> list[ProcessRecord]:
        """The processes that the controller knows."""
        return self.content.processes

    def write(self, now: float, note: str = "") -> None:
        """Write the journal, and add an entry for the current state unless it would repeat the latest entry.

        Args:
            now: Unix time of the entry in s; only shown to operators.
            note: The reason to record in the entry; the state's reason if empty.

        Raises:
            JournalWriteError: the file could not be written; `restore` still returns to the previous content.
        """
        entries = self.entries
        entry = JournalEntry(now, self.state.phase, self.state.stage, note or self.state.reason)
        if not entries or not entry.repeats(entries[-1]):
            entries = [*entries, entry][-MAX_ENTRIES:]
        content = self.content
        body = encode_content(
            JournalContent(content.plan_digest, content.change_id, self.state, entries, self.processes)
        )
        try:
            replace_file(self.path, seal(body), SHARED_MODE)
        except OSError as error:
            raise JournalWriteError(self.path, str(error.strerror)) from None
        self.content.entries, self._written = entries, body

    def restore(self) -> None:
        """Reset the state and the entries to those that were written or read last."""
        written = decode_content(self._written)
        self.content.state, self.content.entries = written.state, written.entries

    def append_move(self, record: MoveRecord) -> None:
        """Append a line to `moves.jsonl`. A line that cannot be written is dropped without an error."""
        with suppress(OSError):
            append_line(self.folder / MOVES_FILE, json.dumps(encode_move(record)))


def read_journal(folder: Path, plan: Plan | None = None) -> Journal:
    """Return the journal of the change in `folder`.

    Raises:
        JournalError: the journal is missing or damaged, or it does not belong to `plan`.
    """
    path = folder / JOURNAL_FILE
    try:
        content = decode_content(unseal(path.read_text(encoding="utf-8")))
    except (OSError, ValueError, LookupError, TypeError, AttributeError) as error:
        raise JournalError(path, str(error)) from None
    if plan is not None and content.plan_digest != plan.digest:
        raise JournalError(
            path, f"it belongs to another plan (digest {content.plan_digest}, expected {plan.digest})"
        )
    return Journal(folder, content)
