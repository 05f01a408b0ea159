"""The one place where names of the outside become the module's numbers."""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b


def number_of(text: str, size: int) -> int:
    """A number of `size` bytes that is the same for a text in every process; never 0, which means none.

    A text that ends in just such a number in hexadecimal, as the platform's names and keys do, stands for it:
    homes of keys then fall where they fall in the simulator, and the two can be compared day by day.
    """
    digits = text[-2 * size :]
    if len(digits) == 2 * size and _HEX.issuperset(digits) and text[: -2 * size] in ("", "s-"):
        return int(digits, 16) or 1
    digest = blake2b(text.encode("utf-8", "surrogateescape"), digest_size=size).digest()
    return int.from_bytes(digest, "big") or 1


def plain(name: str) -> str:
    """A name as the settings write it: with _ for a space, a comma and what would end a line."""
    return name.translate({32: "_", 44: "_", 10: "_", 13: "_"})


_HEX = frozenset("0123456789abcdef")


class IdMap:
    """Numbers of workers, zones, kinds and cells. Zones and kinds are places in the settings' lists."""

    def __init__(self, zones: Sequence[str] = (), kinds: Sequence[str] = ()) -> None:
        self._zones = {name: number for number, name in enumerate(zones)}
        self._kinds = {name: number for number, name in enumerate(kinds)}
        self._cells: dict[str, int] = {}
        self._workers: dict[str, int] = {}
        self._names: dict[int, str] = {}

    def worker(self, name: str) -> int:
        """A worker's number. Every dispatcher gets the same one, for keys must find the same homes."""
        number = self._workers.get(name)
        if number is None:
            number = number_of(name, 4)
            while number in self._names:  # two names with one number: the later one moves on
                number = (number + 1) % (1 << 32)
            self._workers[name] = number
            self._names[number] = name
        return number

    def known(self, name: str) -> int | None:
        """The number of a worker that has been named before."""
        return self._workers.get(name)

    def name(self, worker: int) -> str:
        """The name of a worker's number, for logs and operators."""
        return self._names.get(worker, str(worker))

    def zone_name(self, zone: int) -> str:
        """The name of a zone's number."""
        return next((name for name, number in self._zones.items() if number == zone), "")

    def kind_name(self, kind: int) -> str:
        """The name of a machine kind's number."""
        return next((name for name, number in self._kinds.items() if number == kind), "")

    def zone(self, name: str) -> int:
        """A zone's number; names that the settings don't list follow them."""
        return self._zones.setdefault(name, len(self._zones))

    def kind(self, name: str) -> int:
        """A machine kind's number."""
        return self._kinds.setdefault(name, len(self._kinds))

    def cell(self, name: str) -> int:
        """The number of a cell that the list names instead of numbering it."""
        return self._cells.setdefault(name, len(self._cells))

    @staticmethod
    def subject(text: str) -> int:
        """The number of what a request concerns; 0 for nothing."""
        return number_of(text, 8) if text else 0
