"""The folder that the members of a host share: names, beats, votes, fences, and who holds which id.

    form                the form of all this; another one is refused by name
    members/LIFE        a life: its process, its start, the boot of the machine it runs in
    beats/LIFE          eight bytes, a count
    votes/LIFE/VOTER    VOTER takes LIFE for lost
    fences/LIFE         LIFE is lost; its heirs. fences/+N are the lists that chains go on among
    lives/LIFE.db       what LIFE keeps (`store.py`); nobody else writes there
    ids/XX/HASH[.N]     a link that names the life which took an id; N where a declined one was taken anew
    keys/XX/HASH        a link that names the id which a class's key is held by
    wishes/HASH         somebody asks for the end of a job

Every decision between processes is one call of the system that succeeds for exactly one of them: making a
link or a name that must not be there. Nobody holds a lock, so a process that is stopped or killed at any
moment blocks nobody.

Why once is once: a life writes a claim into its own store and then looks for its own fence, and only without
one sends. Whoever takes over sees the fence made and then reads the store. One of the two is later, so either
the owner sees the fence and sends nothing, or the other sees the claim. That needs one kernel's view of
files: a folder on a network is none.
"""

from __future__ import annotations

import json
import os
import re
import struct
from collections.abc import Mapping, Sequence
from contextlib import suppress
from hashlib import blake2b
from pathlib import Path
from typing import Any

from eiderfield.durable import DRAFT, TRANSIENT, create_file, create_symlink, replace_file, sync_folder
from eiderfield.machine import boot_id, process_started, unix_offset

FORM = "1"
PARTS = ("members", "beats", "votes", "fences", "lives", "ids", "keys", "wishes")
_BEAT = struct.Struct("<Q")
_PLAIN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}\Z")
CLOCK_STEP = 1000.0  # ms by which the wall clock must have parted from the steady one to count as stepped


class FolderError(RuntimeError):
    """The folder cannot be used; the text says why. `transient`: it may be usable in a while."""

    def __init__(self, text: str, transient: bool = False) -> None:
        """With what operators are told."""
        super().__init__(text)
        self.transient = transient


def hashed(*words: str) -> str:
    """The name under which an id, or a class's key, is found."""
    return blake2b("\0".join(words).encode(), digest_size=16).hexdigest()


class Folder:
    """The shared folder; `make` makes it where it is not there. `OSError` for what the system refuses.

    With `flush`, what is written down is on the disk before a call returns."""

    def __init__(self, path: Path, make: bool = True, flush: bool = False) -> None:
        """Raises `FolderError`, but not for what may pass: `begin` tries again."""
        self.path = path
        self.later: list[tuple[str, ...]] = []
        self._flush = flush
        self._fences: dict[str, tuple[str, ...]] = {}
        self._gone: set[str] = set()
        self._boot = boot_id()
        self.offset = unix_offset()  # as this process has written it down last
        self._usable = False
        try:
            self._open(make)
        except FolderError as error:
            if not (make and error.transient):
                raise

    def _open(self, make: bool) -> None:
        form = self.path / "form"
        try:
            if make:
                self._make(form)
            found = _read_text(form)
            owner = os.stat(self.path).st_uid
        except OSError as error:
            if make:
                text = f"custody.folder: {self.path}: {error.strerror}"
                raise FolderError(text, error.errno in TRANSIENT) from None
            raise FolderError(f"{self.path} holds no work in hand") from None
        if found != FORM:
            raise FolderError(f"custody.folder: {self.path} is of form {found[:20]!r}, not {FORM!r}")
        if owner != os.getuid():
            raise FolderError(f"custody.folder: {self.path} belongs to another user")
        self._usable = True

    def _make(self, form: Path) -> None:
        for part in PARTS:
            (self.path / part).mkdir(parents=True, exist_ok=True, mode=0o700)
        if not form.exists():
            with suppress(FileExistsError):  # another member makes it just now
                self._put(form, FORM)
        if self._flush:
            sync_folder(self.path)

    # Lives.

    def begin(self, name: str) -> str:
        """Begins a life of a dispatcher: a name that was never there before."""
        if not _PLAIN.match(name):
            raise FolderError(f"name is not a plain word, as custody needs it: {name[:40]!r}")
        if not self._usable:
            self._open(make=True)
        self.offset = unix_offset()
        used = [*self._names("members", f"{name}."), *self._names("fences", f"{name}.")]
        number = 1 + max(map(_number, used), default=0)
        while True:
            life = f"{name}.{number}"
            try:
                self.beat(life, 0)
                self._put(self.path / "members" / life, self._introduction(name))
                return life
            except FileExistsError:
                number += 1

    def _introduction(self, name: str) -> str:
        """What a life of this process says of itself."""
        pid = os.getpid()
        return json.dumps({
            "name": name, "pid": pid, "started": process_started(pid), "boot": self._boot,
            "offset": self.offset,
        })  # fmt: skip

    def follow_wall_clock(self, life: str, name: str) -> None:
        """Writes the wall clock's offset down anew where it was stepped: after a reboot only that offset
        brings the life's steady times to those of the next one."""
        offset = unix_offset()
        if abs(offset - self.offset) > CLOCK_STEP:
            before, self.offset = self.offset, offset
            try:
                replace_file(self.path / "members" / life, self._introduction(name))
            except OSError:
                self.offset = before  # tried again at the next look
                raise

    def lives(self) -> dict[str, dict[str, Any]]:
        """All lives that are not fenced, and what each says of itself."""
        found = {}
        for life in self._names("members"):
            if life not in self._fences and (about := self.about(life)):
                found[life] = about
        return found

    def about(self, life: str) -> dict[str, Any]:
        """What a life says of itself, fenced or not; nothing if it is forgotten, or torn. What cannot be read
        is not nothing: `OSError`."""
        with suppress(FileNotFoundError, ValueError):
            told = json.loads(_read_text(self.path / "members" / life))
            return told if isinstance(told, dict) else {}
        return {}

    def beat(self, life: str, count: int) -> None:
        """Writes a beat down."""
        fd = os.open(self.path / "beats" / life, os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            if os.pwrite(fd, _BEAT.pack(count), 0) != _BEAT.size:
                raise OSError("a beat was cut short")
        finally:
            os.close(fd)

    def beats(self, lives: Mapping[str, object]) -> dict[str, int]:
        """The beats of some lives; 0 of one that has none, as in a copy."""
        found = dict.fromkeys(lives, 0)
        for life in lives:
            with suppress(OSError, struct.error):
                found[life] = _BEAT.unpack((self.path / "beats" / life).read_bytes())[0]
        return found

    def gone(self, lives: Mapping[str, Mapping[str, Any]]) -> set[str]:
        """Those of some lives whose process is not there any more, by the machine's word."""
        for life, about in lives.items():
            if life not in self._gone and (
                about.get("boot") != self._boot
                or process_started(int(about.get("pid", 0))) != about.get("started")
            ):
                self._gone.add(life)
        return self._gone & lives.keys()

    def writing(self, life: str) -> bool:
        """Whether the process of a fenced life may still be writing to its store: it is there, and has not
        begun a later life, which is its word that the earlier one is over."""
        about = self.about(life)
        pid, name = about.get("pid", 0), about.get("name", "")
        if about.get("boot") != self._boot or process_started(int(pid)) != about.get("started"):
            return False
        later = [other for other in self._names("members", f"{name}.") if _number(other) > _number(life)]
        return not any(self.about(other).get("pid") == pid for other in later)

    # Votes and fences.

    def vote(self, life: str, voter: str, suspects: bool) -> None:
        """Says whether a voter takes a life for lost."""
        place = self.path / "votes" / life
        if suspects:
            place.mkdir(exist_ok=True, mode=0o700)
            (place / voter).touch(0o600)
        else:
            with suppress(FileNotFoundError):
                (place / voter).unlink()

    def votes(self, life: str) -> list[str]:
        """Who takes a life for lost."""
        return self._names(f"votes/{life}")

    def fence(self, life: str, heirs: Sequence[str], by: str, why: str) -> bool:
        """Fences a life. False if it is fenced already: that fence stands."""
        told = {"heirs": sorted(heirs), "by": by, "why": why}
        try:
            self._put(self.path / "fences" / life, json.dumps(told))
        except FileExistsError:
            return False
        return True

    def go_on(self, heirs: Sequence[str], by: str) -> bool:
        """Writes down the next list of lives that chains which find nobody go on among."""
        return self.fence(f"+{len(self.later) + 1}", heirs, by, "heirs were fenced at one moment")

    def fenced(self, life: str) -> bool:
        """Whether a life is fenced now. What cannot be looked at may be: `OSError`."""
        return _is_there(self.path / "fences" / life)

    def fences(self) -> dict[str, tuple[str, ...]]:
        """The heirs of all fenced lives; a fence never changes, so each is read once."""
        more = {}
        for life in self._names("fences"):
            if life.startswith("+"):
                more[int(life[1:])] = life
            elif life not in self._fences:
                self._fences[life] = self._heirs(life)
        while life := more.get(len(self.later) + 1, ""):
            self.later.append(self._heirs(life))
        return self._fences

    @property
    def known_fences(self) -> dict[str, tuple[str, ...]]:
        """The heirs of the fenced lives that `fences` has seen."""
        return self._fences

    def _heirs(self, life: str) -> tuple[str, ...]:
        return tuple(str(heir) for heir in self.why(life).get("heirs", ()))

    def why(self, life: str) -> dict[str, Any]:
        """What a fence says; nothing of one that a loss of power tore: it has no heirs then."""
        with suppress(ValueError):
            told = json.loads(_read_text(self.path / "fences" / life))
            return told if isinstance(told, dict) else {}
        return {}

    # Ids and keys.

    def holder(self, id_: str) -> tuple[int, str] | None:
        """The latest life that took an id, and how often it was taken; None if nobody did."""
        found, number = None, 1
        while True:
            try:
                found = number, os.readlink(self._id(id_, number))
            except FileNotFoundError:
                return found
            number += 1

    def take(self, id_: str, life: str, number: int = 1) -> bool:
        """Takes an id for the `number`-th time. False if somebody has."""
        return create_symlink(life, self._id(id_, number), self._flush)

    def hold_key(self, cls: str, key: str, id_: str) -> str:
        """Holds a class's key for an id, and gives the id that holds it: until that one is forgotten."""
        place = self._place("keys", hashed(cls, key))
        while not create_symlink(id_, place, self._flush):
            with suppress(FileNotFoundError):
                return os.readlink(place)
        return id_

    def free_key(self, cls: str, key: str, id_: str) -> None:
        """Takes a key from an id that does not count any more."""
        place = self._place("keys", hashed(cls, key))
        with suppress(FileNotFoundError):
            if os.readlink(place) == id_:
                place.unlink()

    def let_go(self, id_: str, number: int, cls: str = "", key: str = "") -> None:
        """Forgets an id that was taken `number` times, and its key; not if it was taken again."""
        if not _is_there(self._id(id_, number + 1)):
            for each in range(number, 0, -1):  # the first of them last: it is the one that is looked for
                with suppress(FileNotFoundError):
                    self._id(id_, each).unlink()
        if key:
            self.free_key(cls, key, id_)

    def _id(self, id_: str, number: int) -> Path:
        name = hashed(id_)
        return self._place("ids", name if number == 1 else f"{name}.{number}")

    def _place(self, part: str, name: str) -> Path:
        return self.path / part / name[:2] / name

    # Wishes.

    def wish(self, id_: str) -> None:
        """Asks for the end of a job."""
        with suppress(FileExistsError):
            self._put(self.path / "wishes" / hashed(id_), json.dumps({"id": id_}))

    def is_wished(self, id_: str) -> bool:
        """Whether the end of a job is asked for."""
        return (self.path / "wishes" / hashed(id_)).exists()

    def wishes(self) -> list[str]:
        """The ids whose end is asked for."""
        found = []
        for name in self._names("wishes"):
            with suppress(OSError, ValueError, LookupError):
                found.append(str(json.loads((self.path / "wishes" / name).read_text())["id"]))
        return found

    def heeded(self, id_: str) -> None:
        """A wish is over, granted or not."""
        with suppress(FileNotFoundError):
            (self.path / "wishes" / hashed(id_)).unlink()

    # What is over.

    def forget(self, life: str) -> None:
        """Removes what is left of a life whose estate is settled. Its fence stays: others may refer to it."""
        stores = [f"lives/{life}.db{end}" for end in ("", "-wal", "-shm")]
        for place in (f"beats/{life}", f"members/{life}", *stores):
            with suppress(FileNotFoundError):
                (self.path / place).unlink()
        for voter in self.votes(life):
            with suppress(FileNotFoundError):
                (self.path / "votes" / life / voter).unlink()
        with suppress(OSError):
            (self.path / "votes" / life).rmdir()

    def store(self, life: str) -> Path:
        """Where a life's store lies."""
        return self.path / "lives" / f"{life}.db"

    def version(self, life: str) -> tuple[int, ...] | None:
        """Differs once more was written to a life's store; None if there is none."""
        path = self.store(life)
        found: list[int] = []
        for place in (path, path.with_name(f"{path.name}-wal")):
            try:
                told = place.stat()
                found += [told.st_size, told.st_mtime_ns]
            except FileNotFoundError:
                if place is path:
                    return None
        return tuple(found)

    def _names(self, part: str, prefix: str = "") -> list[str]:
        try:
            names = os.listdir(self.path / part)
            return sorted(name for name in names if name.startswith(prefix) and not name.startswith(DRAFT))
        except FileNotFoundError:
            return []

    def _put(self, place: Path, text: str) -> None:
        """Makes a file whole or not at all; `FileExistsError` if it is there."""
        create_file(place, text, self._flush)


def _read_text(path: Path) -> str:
    descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
    with os.fdopen(descriptor, encoding="utf-8") as file:
        return file.read()


def _is_there(path: Path) -> bool:
    try:
        os.lstat(path)
    except FileNotFoundError:
        return False
    return True


def _number(life: str) -> int:
    end = life.rpartition(".")[2]
    return int(end) if end.isdigit() else 0
