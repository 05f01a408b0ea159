"""Votes on lost incarnations, and fences, which bar a lost incarnation for ever and name its successors.

    votes/INCARNATION/VOTER    VOTER suspects INCARNATION
    fences/INCARNATION         INCARNATION is lost: its successors, who wrote the fence, and why
    fences/+N                  the N-th further list of successors, for chains that find no other successor

Of all who try to create a fence, one succeeds, and a fence never changes.
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
LEFT = "it left"  # the reason of an incarnation that fenced itself
FENCED_TOGETHER = "heirs were fenced at one moment"  # the reason of a further list of successors
_FURTHER = "+"  # with a number: the name of a further list of successors


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

        A fence that was torn by a loss of power has no successors: its requests go to the further ones.
        """
        with suppress(ValueError, LookupError, TypeError):
            fields = json.loads(text)
            return cls(tuple(map(str, fields["heirs"])), str(fields["by"]), str(fields["why"]))
        return cls((), "", "")


class Fences:
    """All votes and fences in a folder."""

    def __init__(self, files: FolderFiles) -> None:
        """Read nothing yet."""
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
        """Fence an incarnation. Returns False if it is fenced already: that fence stands."""
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
        """Return the owners of a request so far, by the fences that `refresh` found."""
        return ownership_chain(id_, incarnation, self.fenced, self.further_successors)

    def remove_votes(self, incarnation: str) -> None:
        """Remove the votes on an incarnation. Its fence stays: others may refer to it."""
        for voter in self.votes(incarnation):
            self._files.remove(VOTES, incarnation, voter)
        with suppress(OSError):
            (self._files.path / VOTES / incarnation).rmdir()
