"""Which incarnation holds a request id, and which request id holds a class's idempotency key.

    ids/XX/HASH[.N]    a link to the incarnation that took an id; N is the generation from the second one on
    keys/XX/HASH       a link to the request id that holds a class's key

Of all who try to create a link, one succeeds.
"""

from __future__ import annotations

from typing import NamedTuple

from eiderfield.durable_requests.files import FolderFiles, hashed_name

IDS, KEYS = "ids", "keys"
FIRST_GENERATION = 1
PREFIX_LENGTH = 2  # characters of a hash that name its subfolder


class Holder(NamedTuple):
    """The incarnation that took an id last, and how often the id had been taken then."""

    generation: int
    incarnation: str


class Ids:
    """All ids and keys in a folder."""

    def __init__(self, files: FolderFiles) -> None:
        """Read nothing yet."""
        self._files = files

    def holder(self, id_: str) -> Holder | None:
        """Return the holder of an id, None if there is none."""
        holder, generation = None, FIRST_GENERATION
        while (incarnation := self._files.target(*_id_components(id_, generation))) is not None:
            holder = Holder(generation, incarnation)
            generation += 1
        return holder

    def acquire(self, id_: str, incarnation: str, generation: int = FIRST_GENERATION) -> bool:
        """Take an id for the `generation`-th time. Returns False if another incarnation has done so."""
        return self._files.link(incarnation, *_id_components(id_, generation))

    def acquire_key(self, class_name: str, key: str, id_: str) -> str:
        """Hold a class's key for an id, unless another one holds it. Returns the id that holds it."""
        components = _key_components(class_name, key)
        while not self._files.link(id_, *components):
            if (holder := self._files.target(*components)) is not None:
                return holder
        return id_

    def release_key(self, class_name: str, key: str, id_: str) -> None:
        """Free a key that an id holds."""
        components = _key_components(class_name, key)
        if self._files.target(*components) == id_:
            self._files.remove(*components)

    def release(self, id_: str, generation: int, class_name: str = "", key: str = "") -> None:
        """Release an id that was taken `generation` times, and its key, unless the id was taken again."""
        if not self._files.exists(*_id_components(id_, generation + 1)):
            for number in range(generation, 0, -1):  # the first link last: `holder` starts from it
                self._files.remove(*_id_components(id_, number))
        if key:
            self.release_key(class_name, key, id_)


def _id_components(id_: str, generation: int) -> tuple[str, str, str]:
    name = hashed_name(id_)
    file_name = name if generation == FIRST_GENERATION else f"{name}.{generation}"
    return IDS, name[:PREFIX_LENGTH], file_name


def _key_components(class_name: str, key: str) -> tuple[str, str, str]:
    name = hashed_name(class_name, key)
    return KEYS, name[:PREFIX_LENGTH], name
