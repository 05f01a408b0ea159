"""Which incarnation holds a request id, and which request id holds a class's idempotency key.

    ids/XX/HASH[.N]    a link to the incarnation that acquired an id; N is the generation, from the second on
    keys/XX/HASH       a link to the request id that holds a class's key

Of several processes that try to create the same link, one succeeds.
"""

from __future__ import annotations

from typing import NamedTuple

from eiderfield.durable_requests.files import FolderFiles, hashed_name

IDS, KEYS = "ids", "keys"
FIRST_GENERATION = 1
PREFIX_LENGTH = 2  # leading characters of a hash, which name its subfolder


class Holder(NamedTuple):
    """The incarnation that acquired an id last, and the generation: how often the id has been acquired."""

    generation: int
    incarnation: str


class Ids:
    """All ids and keys in a folder."""

    def __init__(self, files: FolderFiles) -> None:
        """Use the folder of `files`."""
        self._files = files

    def holder(self, id_: str) -> Holder | None:
        """Return the holder of an id, None if there is none."""
        holder, generation = None, FIRST_GENERATION
        while (incarnation := self._files.target(*_id_components(id_, generation))) is not None:
            holder = Holder(generation, incarnation)
            generation += 1
        return holder

    def acquire(self, id_: str, incarnation: str, generation: int = FIRST_GENERATION) -> bool:
        """Acquire a generation of an id. Returns False if an incarnation has acquired it already."""
        return self._files.link(incarnation, *_id_components(id_, generation))

    def acquire_key(self, class_name: str, key: str, id_: str) -> str:
        """Acquire a class's key for an id, unless another id holds it. Returns the id that holds it."""
        components = _key_components(class_name, key)
        while not self._files.link(id_, *components):
            if (holder := self._files.target(*components)) is not None:
                return holder
        return id_

    def release_key(self, class_name: str, key: str, id_: str) -> None:
        """Release a key if the id holds it."""
        components = _key_components(class_name, key)
        if self._files.target(*components) == id_:
            self._files.remove(*components)

    def release(self, id_: str, generation: int, class_name: str = "", key: str = "") -> None:
        """Release an id and its key. An id that was acquired again after `generation` is kept."""
        if not self._files.exists(*_id_components(id_, generation + 1)):
            for number in range(generation, 0, -1):  # the first link last, as `holder` starts from it
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
