"""Maps names of workers, zones, machine kinds, cells and routing keys to the numbers that the policy uses."""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b

WORKER_NUMBER_BYTES = 4
KEY_NUMBER_BYTES = 8
CELL_DIGEST_BYTES = 8
FIRST_NAMED_CELL = 1 << 63  # cells that an endpoint list numbers itself have lower numbers

_HEX = frozenset("0123456789abcdef")
_NAME_REPLACEMENTS = str.maketrans(dict.fromkeys(" ,\n\r", "_"))


def stable_number(text: str, size: int) -> int:
    """Return a number of `size` bytes that is the same for a text in every process, and never 0.

    The number 0 stands for none. A text that ends in a hexadecimal number of this size, as the platform's
    names and keys do, maps to that number: keys then have the same home workers as in the simulator, whose
    results can be compared.
    """
    digits = text[-2 * size :]
    if len(digits) == 2 * size and _HEX.issuperset(digits) and text[: -2 * size] in ("", "s-"):
        return int(digits, 16) or 1
    digest = blake2b(text.encode("utf-8", "surrogateescape"), digest_size=size).digest()
    return int.from_bytes(digest, "big") or 1


def normalize_name(name: str) -> str:
    """Return a name in the form that the settings use: with _ for spaces, commas and line ends."""
    return name.translate(_NAME_REPLACEMENTS)


class IdMap:
    """Numbers of workers, zones, machine kinds and cells."""

    def __init__(self, zones: Sequence[str] = (), kinds: Sequence[str] = ()) -> None:
        """Create a map in which zones and kinds are numbered by their positions in the settings' lists."""
        self._zones = {name: number for number, name in enumerate(zones)}
        self._kinds = {name: number for number, name in enumerate(kinds)}
        self._listed_kind_count = len(kinds)
        self._cell_names: dict[int, str] = {}  # by number
        self._workers: dict[str, int] = {}
        self._names: dict[int, str] = {}  # by worker number

    def worker(self, name: str) -> int:
        """Return a worker's number.

        It is the same at every dispatcher, so that a key has the same home workers at all of them.
        """
        number = self._workers.get(name)
        if number is None:
            number = stable_number(name, WORKER_NUMBER_BYTES)
            while number in self._names:  # taken by another name: try the next number
                number = (number + 1) % (1 << (8 * WORKER_NUMBER_BYTES))
            self._workers[name] = number
            self._names[number] = name
        return number

    def find_worker(self, name: str) -> int | None:
        """Return the number of a worker, None if it has not been given one."""
        return self._workers.get(name)

    def worker_name(self, worker: int) -> str:
        """Return a worker's name, for logs and operators."""
        return self._names.get(worker, str(worker))

    def zone_name(self, zone: int) -> str:
        """Return the name of a zone, '' if it has none."""
        return next((name for name, number in self._zones.items() if number == zone), "")

    def kind_name(self, kind: int) -> str:
        """Return the name of a machine kind, '' if it has none."""
        return next((name for name, number in self._kinds.items() if number == kind), "")

    def zone(self, name: str) -> int:
        """Return a zone's number; a name that the settings do not list gets the next number."""
        return self._zones.setdefault(name, len(self._zones))

    def kind(self, name: str) -> int:
        """Return a machine kind's number; a name that the settings do not list gets the next number."""
        return self._kinds.setdefault(name, len(self._kinds))

    def is_listed_kind(self, kind: int) -> bool:
        """Return whether the settings list a machine kind, so that its number follows from them."""
        return kind < self._listed_kind_count

    def cell(self, name: str) -> int:
        """Return the number of a cell that the endpoint list gives by name instead of by number.

        It is the same in every process, since other processes compare it with those of their own lists.
        """
        digest = blake2b(name.encode("utf-8", "surrogateescape"), digest_size=CELL_DIGEST_BYTES).digest()
        number = FIRST_NAMED_CELL + int.from_bytes(digest, "big")
        self._cell_names[number] = name
        return number

    def cell_label(self, cell: int) -> int | str:
        """Return a cell as the endpoint list gives it: its name, or its number if it has none."""
        return self._cell_names.get(cell, cell)

    @staticmethod
    def is_named_cell(cell: int) -> bool:
        """Return whether a cell's number was derived from a name."""
        return cell >= FIRST_NAMED_CELL

    @staticmethod
    def key_number(text: str) -> int:
        """Return the number of a routing key; 0 for an empty one."""
        return stable_number(text, KEY_NUMBER_BYTES) if text else 0
