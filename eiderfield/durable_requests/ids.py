"""Who holds which id, and which id holds a class's idempotency key.

    ids/XX/HASH[.N]    a link that names the incarnation which took an id; N where it was taken anew
    keys/XX/HASH       a link that names the id which holds a class's key

A link that must not be there is made for exactly one of all who try.
"""

from __future__ import annotations

from typing import NamedTuple

from eiderfield.durable_requests.files import FolderFiles, hashed

IDS, KEYS = "ids", "keys"


class Holder(NamedTuple):
    """The incarnation that took an id last, and how often it had been taken then."""

    generation: int
    incarnation: str


class Ids:
    """All ids and keys of a folder."""

    def __init__(self, files: FolderFiles) -> None:
        """Reads nothing yet."""
        self._files = files

    def holder(self, id_: str) -> Holder | None:
        """Who holds an id; None if nobody does."""
        found, generation = None, 1
        while (incarnation := self._files.target(*_id_place(id_, generation))) is not None:
            found = Holder(generation, incarnation)
            generation += 1
        return found

    def take(self, id_: str, incarnation: str, generation: int = 1) -> bool:
        """Takes an id for the `generation`-th time. False if somebody has."""
        return self._files.link(incarnation, *_id_place(id_, generation))

    def hold_key(self, cls: str, key: str, id_: str) -> str:
        """Holds a class's key for an id, and returns the id that holds it."""
        place = _key_place(cls, key)
        while not self._files.link(id_, *place):
            if (holder := self._files.target(*place)) is not None:
                return holder
        return id_

    def free_key(self, cls: str, key: str, id_: str) -> None:
        """Takes a key from an id that does not count any more."""
        place = _key_place(cls, key)
        if self._files.target(*place) == id_:
            self._files.remove(*place)

    def release(self, id_: str, generation: int, cls: str = "", key: str = "") -> None:
        """Forgets an id that was taken `generation` times, and its key; not if it was taken again."""
        if not self._files.exists(*_id_place(id_, generation + 1)):
            for each in range(generation, 0, -1):  # the first of them last: it is the one that is looked for
                self._files.remove(*_id_place(id_, each))
        if key:
            self.free_key(cls, key, id_)


def _id_place(id_: str, generation: int) -> tuple[str, str, str]:
    name = hashed(id_)
    return IDS, name[:2], name if generation == 1 else f"{name}.{generation}"


def _key_place(cls: str, key: str) -> tuple[str, str, str]:
    name = hashed(cls, key)
    return KEYS, name[:2], name
