"""The journal of a change: what its controller writes down so that another one can continue.

    journal.json    the plan's digest, the change's id, its state and latest entries, with a checksum
    wish.json       a command of an operator that the controller has not handled yet (`operator_command.py`)
    moves.jsonl     each action before it is carried out, and its outcome: for people; no program reads it

The journal is replaced as a whole (`durable.py`): a controller that dies at any moment leaves the previous
journal or this one, and one that cannot write continues from the previous one. A journal that is torn, was
changed by hand or belongs to another plan is refused by name.
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
MAX_ENTRIES = 200  # kept, the latest


class Journal:
    """The journal of one change: its present content, and the content that was written or read last."""

    def __init__(self, folder: Path, content: JournalContent) -> None:
        self.folder = folder
        self.content = content
        self._written = encode_content(content)

    @property
    def path(self) -> Path:
        """The journal's file."""
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
        """The processes that the controller knew."""
        return self.content.processes

    def write(self, now: float, note: str = "") -> None:
        """Write the journal, with an entry for the present state unless it would repeat the last one.

        Args:
            now: Unix time in s, for people alone.
            note: The entry's reason, in place of the state's.

        Raises:
            JournalWriteError: the system refused; the present content stays unwritten.
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
        """Return to the state and entries that were written or read last."""
        written = decode_content(self._written)
        self.content.state, self.content.entries = written.state, written.entries

    def append_move(self, record: MoveRecord) -> None:
        """Append a line to `moves.jsonl`; it is lost where the disk refuses it."""
        with suppress(OSError):
            append_line(self.folder / MOVES_FILE, json.dumps(encode_move(record)))


def read_journal(folder: Path, plan: Plan | None = None) -> Journal:
    """Return the journal of the change in `folder`.

    Raises:
        JournalError: there is none, it is damaged, or it does not belong to `plan`.
    """
    path = folder / JOURNAL_FILE
    try:
        content = decode_content(unseal(path.read_text(encoding="utf-8")))
    except (OSError, ValueError, LookupError, TypeError, AttributeError) as error:
        raise JournalError(path, str(error)) from None
    if plan is not None and content.plan_digest != plan.digest:
        raise JournalError(path, f"of another plan ({content.plan_digest}; this one is {plan.digest})")
    return Journal(folder, content)
