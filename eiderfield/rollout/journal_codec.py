"""The stored forms of a change's journal and of its actions, and the types that represent them.

The keys of format 1 must not change, because a controller also continues journals of earlier releases.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any
from zlib import crc32

from eiderfield.config.address import Address
from eiderfield.rollout.actions import Action, ApplySettings, StartProcess, StopProcess, Version
from eiderfield.rollout.state import Phase, RolloutState, decode_state, encode_state

FORMAT_VERSION = 1


@dataclass(frozen=True, slots=True)
class JournalEntry:
    """A step of the change as shown to operators. `time` is Unix time in s."""

    time: float
    phase: Phase
    stage: int
    reason: str

    def repeats(self, other: JournalEntry) -> bool:
        """Return whether the entries differ in their times alone."""
        return (self.phase, self.stage, self.reason) == (other.phase, other.stage, other.reason)


@dataclass(frozen=True, slots=True)
class ProcessRecord:
    """A process that the controller knows. `created` is its start as Unix time in s."""

    member: str
    version: Version
    console: Address
    pid: int
    created: float


@dataclass(frozen=True, slots=True)
class MoveRecord:
    """An action before it is carried out (`outcome` is None), or after it. `time` is Unix time in s."""

    time: float
    action: Action
    outcome: str | None = None


@dataclass(slots=True)
class JournalContent:
    """The content of a journal."""

    plan_digest: str
    change_id: str  # passed to the processes that the change starts
    state: RolloutState = field(default_factory=RolloutState)
    entries: list[JournalEntry] = field(default_factory=list)  # the latest, oldest first
    processes: list[ProcessRecord] = field(default_factory=list)


def encode_content(content: JournalContent) -> str:
    """Return `content` as the body of a journal file."""
    stored = {
        "form": FORMAT_VERSION,
        "plan": content.plan_digest,
        "id": content.change_id,
        "state": encode_state(content.state),
        "said": [encode_entry(entry) for entry in content.entries],
        "processes": [encode_process(record) for record in content.processes],
    }
    return json.dumps(stored, sort_keys=True)


def decode_content(body: str) -> JournalContent:
    """Return the content of a journal file's body.

    Raises:
        ValueError, LookupError, TypeError: `body` is not a valid body of format 1.
    """
    stored = json.loads(body)
    if stored["form"] != FORMAT_VERSION:
        raise ValueError(f"unsupported format {stored['form']!r}, expected {FORMAT_VERSION}")
    return JournalContent(
        plan_digest=str(stored["plan"]),
        change_id=str(stored["id"]),
        state=decode_state(stored["state"]),
        entries=[_decode_entry(entry) for entry in stored["said"]],
        processes=[_decode_process(record) for record in stored["processes"]],
    )


def seal(body: str) -> str:
    """Return the text of a journal file, which holds `body` and its checksum."""
    return json.dumps({"sum": _checksum(body), "body": body})


def unseal(text: str) -> str:
    """Return the body of a journal file's text.

    Raises:
        ValueError, LookupError, TypeError, AttributeError: the text is damaged.
    """
    sealed = json.loads(text)
    body = sealed["body"]
    if _checksum(body) != sealed["sum"]:
        raise ValueError("checksum mismatch: the file is damaged or was edited by hand")
    return str(body)


def encode_entry(entry: JournalEntry) -> dict[str, Any]:
    """Return the stored form of a journal entry."""
    return {"t": entry.time, "phase": entry.phase, "stage": entry.stage, "why": entry.reason}


def encode_process(record: ProcessRecord) -> dict[str, Any]:
    """Return the stored form of a process record."""
    return {
        "member": record.member,
        "side": record.version.value,
        "console": list(record.console),
        "pid": record.pid,
        "created": record.created,
    }


def encode_move(record: MoveRecord) -> dict[str, Any]:
    """Return the stored form of a move record, one line of `moves.jsonl`."""
    if record.outcome is None:
        return {"t": record.time, "about_to": True, **encode_action(record.action)}
    return {"t": record.time, "came": record.outcome, **encode_action(record.action)}


def encode_action(action: Action) -> dict[str, Any]:
    """Return the stored form of an action."""
    fields: dict[str, Any]
    match action:
        case StartProcess():
            fields = {"side": action.version.value, "console": list(action.console)}
        case StopProcess():
            fields = {"pid": action.pid, "hard": action.kill}
        case ApplySettings():
            fields = {"side": action.version.value, "pid": action.pid}
    return {"move": action_name(action), "member": action.member, **fields}


def action_name(action: Action) -> str:
    """Return the stored name of the type of an action."""
    match action:
        case StartProcess():
            return "start"
        case StopProcess():
            return "end"
        case ApplySettings():
            return "configure"


def _checksum(body: str) -> str:
    return f"{crc32(body.encode()):08x}"


def _decode_entry(stored: Mapping[str, Any]) -> JournalEntry:
    phase = Phase(stored["phase"])
    return JournalEntry(float(stored["t"]), phase, int(stored["stage"]), str(stored["why"]))


def _decode_process(stored: Mapping[str, Any]) -> ProcessRecord:
    host, port = stored["console"]
    return ProcessRecord(
        member=str(stored["member"]),
        version=Version(stored["side"]),
        console=(str(host), int(port)),
        pid=int(stored["pid"]),
        created=float(stored["created"]),
    )
