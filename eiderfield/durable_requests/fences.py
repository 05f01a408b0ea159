"""Votes on lost incarnations, and fences, which exclude a lost incarnation and name its successors.

    votes/INCARNATION/VOTER    VOTER suspects INCARNATION
    fences/INCARNATION         INCARNATION is lost: its successors, the writer of the fence, and the reason
    fences/+N                  the N-th further list of successors, for chains that find no other successor

Of several members that try to create the same fence, one succeeds. A fence is never changed or removed.
"""

from __future__ import annotations

import json
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass

from eiderfield.durable import FOLDER_MODE, PRIVATE_MODE
from eiderfield.durable_requests.files import FolderFiles
from eiderfield.durable_requests.ownership import ownership_chain

FENCES, VOTES = "fences", "votes"
LEFT = "it left"  # the reason of a fence that an incarnation wrote for itself
FENCED_TOGETHER = "heirs were fenced at one moment"  # the reason of a further list of successors
_FURTHER = "+"  # starts the name of a further list of successors, before its number


@dataclass(frozen=True, slots=True)
class Fence:
    """The content of a fence."""

    successors: tuple[str, ...]
    by: str  # the incarnation that wrote it
    reason: str

    def encode(self) -> str:
        """Return the stored form."""
        return json.dumps({"heirs": sorted(self.successors), "by": self.by, "why": self.reason})

    @classmethod
    def decode(cls, text: str) -> Fence:
        """Return the fence of a stored form.

        A fence that a loss of power has torn has no successors: the further lists name those of its requests.
        """
        with suppress(ValueError, LookupError, TypeError):
            fields = json.loads(text)
            return cls(tuple(map(str, fields["heirs"])), str(fields["by"]), str(fields["why"]))
        return cls((), "", "")


class Fences:
    """All votes and fences in a folder."""

    def __init__(self, files: FolderFiles) -> None:
        """Use the folder of `files`."""
        self._files = files
        self.fenced: dict[str, tuple[str, ...]] = {}  # successors by fenced incarnation, as of `refresh`
        self.further_successors: list[tuple[str, ...]] = []

    def vote(self, incarnation: str, voter: str, suspects: bool) -> None:
        """Record whether a voter suspects an incarnation."""
        if not suspects:
            self._files.remove(VOTES, incarnation, voter)
            return
        folder = self._files.path / VOTES / incarnation
        folder.mkdir(exist_ok=True, mode=FOLDER_MODE)
        (folder / voter).touch(PRIVATE_MODE)

    def votes(self, incarnation: str) -> list[str]:
        """Return the voters that suspect an incarnation."""
        return self._files.names(f"{VOTES}/{incarnation}")

    def create(self, incarnation: str, successors: Sequence[str], by: str, reason: str) -> bool:
        """Fence an incarnation. Returns False if it is fenced already, and keeps that fence."""
        try:
            self._files.create(Fence(tuple(successors), by, reason).encode(), FENCES, incarnation)
        except FileExistsError:
            return False
        return True

    def add_successors(self, successors: Sequence[str], by: str) -> bool:
        """Write the next further list of successors. Returns False if it exists already."""
        name = f"{_FURTHER}{len(self.further_successors) + 1}"
        return self.create(name, successors, by, FENCED_TOGETHER)

    def exists(self, incarnation: str) -> bool:
        """Return whether an incarnation is fenced now. Raises `OSError` if that cannot be looked up."""
        return self._files.exists(FENCES, incarnation)

    def read(self, incarnation: str) -> Fence:
        """Return the fence of an incarnation."""
        return Fence.decode(self._files.read(FENCES, incarnation))

    def refresh(self) -> dict[str, tuple[str, ...]]:
        """Return the successors of all fenced incarnations. Each fence is read once."""
        further = {}
        for name in self._files.names(FENCES):
            if name.startswith(_FURTHER):
                further[int(name.removeprefix(_FURTHER))] = name
            elif name not in self.fenced:
                self.fenced[name] = self.read(name).successors
        while (number := len(self.further_successors) + 1) in further:
            self.further_successors.append(self.read(further[number]).successors)
        return self.fenced

    def chain(self, id_: str, incarnation: str) -> list[str]:
        """Return the incarnations that a request has belonged to, by the fences of the last `refresh`.

        `incarnation` is the first of them.
        """
        return ownership_chain(id_, incarnation, self.fenced, self.further_successors)

    def remove_votes(self, incarnation: str) -> None:
        """Remove the votes on an incarnation, but not its fence, to which other fences may refer."""
        for voter in self.votes(incarnation):
            self._files.remove(VOTES, incarnation, voter)
        with suppress(OSError):
            (self._files.path / VOTES / incarnation).rmdir()
