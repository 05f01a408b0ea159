"""Votes on who is lost, and fences, which bar a lost incarnation for ever and name its successors.

    votes/INCARNATION/VOTER    VOTER takes INCARNATION for lost
    fences/INCARNATION         it is lost; its successors, who wrote that, and why
    fences/+N                  the N-th further list of successors, for chains that find nobody else

A fence is a file that must not be there when it is made: of all who try, one succeeds, and it never changes.
"""

from __future__ import annotations

import json
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass

from eiderfield.durable_requests.files import FolderFiles
from eiderfield.durable_requests.ownership import ownership_chain

FENCES, VOTES = "fences", "votes"
LEFT = "it left"  # why an incarnation fenced itself
_FURTHER = "+"  # with a number: the name of a further list of successors


@dataclass(frozen=True, slots=True)
class Fence:
    """What a fence says."""

    successors: tuple[str, ...]
    by: str
    reason: str

    def encode(self) -> str:
        """Its stored form."""
        return json.dumps({"heirs": sorted(self.successors), "by": self.by, "why": self.reason})

    @classmethod
    def decode(cls, text: str) -> Fence:
        """Out of the stored form. One that a loss of power tore names no successors: its requests go on
        among the further ones."""
        with suppress(ValueError, LookupError, TypeError):
            told = json.loads(text)
            return cls(tuple(map(str, told["heirs"])), str(told["by"]), str(told["why"]))
        return cls((), "", "")


class Fences:
    """All votes and fences of a folder."""

    def __init__(self, files: FolderFiles) -> None:
        """Reads nothing yet."""
        self._files = files
        self.known: dict[str, tuple[str, ...]] = {}  # the successors of the incarnations that `refresh` found
        self.further_successors: list[tuple[str, ...]] = []

    def vote(self, incarnation: str, voter: str, suspects: bool) -> None:
        """Says whether a voter takes an incarnation for lost."""
        if not suspects:
            self._files.remove(VOTES, incarnation, voter)
            return
        place = self._files.path / VOTES / incarnation
        place.mkdir(exist_ok=True, mode=0o700)
        (place / voter).touch(0o600)

    def votes(self, incarnation: str) -> list[str]:
        """Who takes an incarnation for lost."""
        return self._files.names(f"{VOTES}/{incarnation}")

    def create(self, incarnation: str, successors: Sequence[str], by: str, reason: str) -> bool:
        """Fences an incarnation. False if it is fenced already: that fence stands."""
        try:
            self._files.create(Fence(tuple(successors), by, reason).encode(), FENCES, incarnation)
        except FileExistsError:
            return False
        return True

    def add_successors(self, successors: Sequence[str], by: str) -> bool:
        """Writes the next list for chains that find nobody else."""
        name = f"{_FURTHER}{len(self.further_successors) + 1}"
        return self.create(name, successors, by, "heirs were fenced at one moment")

    def exists(self, incarnation: str) -> bool:
        """Whether an incarnation is fenced now. What cannot be looked at may be: `OSError`."""
        return self._files.exists(FENCES, incarnation)

    def read(self, incarnation: str) -> Fence:
        """What a fence says."""
        return Fence.decode(self._files.read(FENCES, incarnation))

    def refresh(self) -> dict[str, tuple[str, ...]]:
        """The successors of all fenced incarnations; a fence never changes, so each is read once."""
        further = {}
        for name in self._files.names(FENCES):
            if name.startswith(_FURTHER):
                further[int(name.removeprefix(_FURTHER))] = name
            elif name not in self.known:
                self.known[name] = self.read(name).successors
        while (number := len(self.further_successors) + 1) in further:
            self.further_successors.append(self.read(further[number]).successors)
        return self.known

    def chain(self, id_: str, incarnation: str) -> list[str]:
        """Whom a request has belonged to, by the fences that `refresh` found."""
        return ownership_chain(id_, incarnation, self.known, self.further_successors)

    def forget_votes(self, incarnation: str) -> None:
        """Removes the votes on an incarnation. Its fence stays: others may refer to it."""
        for voter in self.votes(incarnation):
            self._files.remove(VOTES, incarnation, voter)
        with suppress(OSError):
            (self._files.path / VOTES / incarnation).rmdir()
