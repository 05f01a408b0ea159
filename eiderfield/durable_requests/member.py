"""One member of a host's custody: what its process writes down, whom it suspects, what it takes over.

It does I/O and keeps no thread: `apply`, `look`, `adopt` and `polled` are called one after the other by the
writer (`writer.py`), or by a test that stops it at any of the named points.

Theory of operation. A member has one life at a time. `apply` writes a group of changes into the life's own
store and looks for its fence after that: what a fenced life has written is its heirs', and it is told that
nothing may follow from it. `look` renews the beat, votes, fences, and sees whose estate has work for it.
`adopt` takes some of that over, at a bounded rate: it is written into this life's store, and the fence looked
for again, before anybody acts on it. A member that finds itself fenced gives everything up and begins a new
life, which inherits nothing.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Callable, Iterable, Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass, replace

from eiderfield.durable import TRANSIENT
from eiderfield.durable_requests.folder import Folder, FolderError
from eiderfield.durable_requests.lease import Lease, Watch, agreed, chain_of
from eiderfield.durable_requests.record import Counts, LegNote, Record, Stage
from eiderfield.durable_requests.settings import Custody
from eiderfield.durable_requests.store import EmptyStoreError, Store, StoreError
from eiderfield.exchange import Answer
from eiderfield.machine import boot_id, steady_ms

READERS = 6  # other lives' stores that are open at once: each takes three descriptors
AT_ONCE = 100.0  # jobs taken over in one commit: a beat must not wait for thousands
BEAT_EVERY = 5000  # records of an estate that are read between two beats
SETTLED = 10_000.0  # ms between two looks at whether an estate is settled
POLLED = 200  # ids looked for in one poll
AGAIN = 1000.0  # ms after which a life is tried to begin, or a store to read, again
NOT_BEGUN = "no life could be begun"


@dataclass(frozen=True, slots=True)
class Accept:
    """Take a job."""

    record: Record


@dataclass(frozen=True, slots=True)
class Claim:
    """A leg is about to begin."""

    id: str
    leg: LegNote


@dataclass(frozen=True, slots=True)
class Claimed:
    """A `Claim`: written down by this life, which alone may send the leg."""

    life: str


@dataclass(frozen=True, slots=True)
class Unclaim:
    """A leg never ran."""

    id: str
    number: int


@dataclass(frozen=True, slots=True)
class Finish:
    """The final answer."""

    id: str
    answer: Answer
    why: str = ""


@dataclass(frozen=True, slots=True)
class Find:
    """Nothing is written: what is known of a job, wherever it is."""

    id: str


@dataclass(frozen=True, slots=True)
class Wish:
    """Somebody asks for the end of a job, wherever it is."""

    id: str


Op = Accept | Claim | Unclaim | Finish | Find | Wish


@dataclass(frozen=True, slots=True)
class Found:
    """A `Find`: the record, None if there is none."""

    record: Record | None


@dataclass(frozen=True, slots=True)
class Taken:
    """An `Accept`: the job is this life's."""


@dataclass(frozen=True, slots=True)
class Joined:
    """An `Accept`: the job is there already, under this id, and its answer is waited for."""

    id: str


@dataclass(frozen=True, slots=True)
class Over:
    """An `Accept`: the job has its answer."""

    record: Record


@dataclass(frozen=True, slots=True)
class Conflict:
    """An `Accept`: the id, or the key, is that of another job."""


@dataclass(frozen=True, slots=True)
class EndRequested:
    """An attempt is not claimed: somebody has asked for the end of its job."""


@dataclass(frozen=True, slots=True)
class Refused:
    """Nothing could be written down."""

    why: str


Outcome = Taken | Joined | Over | Conflict | Refused | Claimed | EndRequested | Found | bool


class Member:
    """A process's part in custody. `worths` orders classes, by name; `log` gets lines for operators."""

    point: Callable[[str], None] = staticmethod(lambda name: None)  # of the laboratory, at named points

    def __init__(
        self, settings: Custody, name: str, worths: Mapping[str, float], log: Callable[[str], None],
        now: Callable[[], float] = steady_ms,
    ) -> None:  # fmt: skip
        self.settings, self.name = settings, name
        self.folder = Folder(settings.folder, flush=settings.flush)
        self.counts = Counts()
        self.lease = Lease(settings.lease, settings.margin)
        self.life = ""  # '' while there is none
        self.left = False
        self._begun = ""  # a life that was begun and has no store yet
        self._not_free: list[Record] = []  # whose ids could not be let go of
        self.members = 0  # lives that are not fenced, as of the last look
        self.awaiting = 0  # jobs of lost lives that are still to be taken over here
        self._worths, self._log, self._now = worths, log, now
        self._open: dict[str, Record] = {}
        self._store: Store | None = None
        self._watch = Watch("", settings.lease, settings.look)
        self._beat = 0
        self._suspects: set[str] = set()
        self._known: object = None  # fences and versions of stores that the estates were read with
        self._unreadable = False  # whether one of them could not be read
        self._todo: list[tuple[float, float, str, str]] = []  # -worth, accepted, id, the life that took it
        self._owed = 1.0  # jobs that may be taken over now
        self._owed_at = now()
        self._readers: dict[str, Store] = {}
        self._used: set[str] = set()  # readers that were used since the last clean-up
        self._empty: set[str] = (
            set()
        )  # lives in whose stores nothing was written, as of the last look at each
        self._unread: set[str] = set()  # stores that cannot be read, named once
        self._tried = -AGAIN
        self._cleaned = self._settled = now()

    # Lives.

    def begin(self) -> None:
        """Begins a life. Raises `FolderError` or `StoreError` if the folder cannot be used."""
        self._tried = self._now()
        s = self.settings
        try:
            # A life whose store could not be made is used at the next try, or a full disk would fill with
            # names; unless it was fenced meanwhile.
            if not self._begun or self.folder.fenced(self._begun):
                self._begun = self.folder.begin(self.name)
            life = self._begun
            self._store = Store(self.folder.store(life), flush=s.flush, most=2 * s.bytes_most)
            if self.folder.fenced(life):
                self._store.close()
                self._store, self._begun = None, ""
                raise FolderError(f"custody.folder: {life} was fenced before it began", transient=True)
        except OSError as error:
            text = f"custody.folder: {self.folder.path}: {error.strerror}"
            raise FolderError(text, error.errno in TRANSIENT) from None
        self.life, self._begun = life, ""
        self._open, self._todo, self._known = {}, [], None
        self.lease = Lease(self.settings.lease, self.settings.margin)
        self._watch = Watch(life, self.settings.lease, self.settings.look)
        self._suspects = set()

    def _end_life(self) -> None:
        self.life = ""
        self._open, self._todo = {}, []
        if self._store is not None:
            self._store.close()
            self._store = None

    def close(self) -> None:
        """Closes what is open, and leaves if nothing is held; else the life is its heirs' as soon as its
        process is gone."""
        if not self._open:
            self.leave()
        for reader in self._readers.values():
            reader.close()
        self._readers.clear()
        self._end_life()

    def leave(self) -> bool:
        """Gives what is left to the others, at once. False if there is nobody."""
        if not self.life:
            return False
        with suppress(OSError):
            heirs = [life for life in self.folder.lives() if life not in self._suspects | {self.life}]
            if not heirs:
                return False
            self.folder.fence(self.life, heirs, self.life, "it left")
            self.left = True
            self._end_life()
        return self.left

    @property
    def held(self) -> int:
        """Jobs of this life that lack an answer."""
        return len(self._open)

    # Writing.

    def apply(self, ops: Sequence[Op]) -> list[Outcome]:
        """Writes a group of changes down, whole or not at all; what came of each."""
        asked = [op for op in ops if isinstance(op, Find | Wish)]
        if asked:  # they need no life, and are told of what the others of the group have written
            rest = iter(self.apply([op for op in ops if not isinstance(op, Find | Wish)]))
            return [self._answered(op) if isinstance(op, Find | Wish) else next(rest) for op in ops]
        if not ops:
            return []
        try:
            if self.life and self._fenced():  # what would be written now would only look as if it had been
                return [self._too_late(op, Taken()) for op in ops]
        except OSError as error:
            return [self._refusal(op, f"{type(error).__name__}: {error}") for op in ops]
        if not self.life or self._store is None:
            return [self._refusal(op, NOT_BEGUN) for op in ops]
        return self._write(self._store, ops)

    def _write(self, store: Store, ops: Sequence[Op]) -> list[Outcome]:
        before, drafts, took, found = self._now(), dict[str, Record](), list[Record](), list[Outcome]()
        for name in sorted({type(op).__name__.lower() for op in ops}):
            self.point(name)
        try:
            with store.group():
                for op in ops:
                    found.append(self._one(op, drafts, took))
                for record in drafts.values():
                    store.put(record)
        except (sqlite3.Error, OSError, ValueError, LookupError) as error:
            for record in took:
                self._free(record)
            self.counts.failed += 1
            return [self._refusal(op, f"{type(error).__name__}: {error}") for op in ops]
        self.counts.written += 1
        self.counts.slowest = max(self.counts.slowest, self._now() - before)
        if self._over_after_commit():
            return [self._too_late(op, outcome) for op, outcome in zip(ops, found, strict=True)]
        for id_, record in drafts.items():
            if record.stage == Stage.FINAL:
                self._open.pop(id_, None)
            else:
                self._open[id_] = record
        for name in sorted({type(op).__name__.lower() for op in ops}):
            self.point(f"{name} done")
        return found

    def _over_after_commit(self) -> bool:
        """Whether this life is over, after it has written. Where that cannot be found out it is over: what it
        wrote may be the heirs' already, and nothing may follow from it here. All of it is taken over."""
        try:
            return self._fenced()
        except OSError as error:
            self._say_once(f"custody: {self.life} ends: whether it is fenced cannot be read: {error}")
            self._end_life()
            return True

    def _free(self, record: Record) -> None:
        """Lets go of an id that was taken and not written down; later, if the system refuses it now."""
        try:
            self.folder.let_go(record.id, record.number, record.cls, record.key)
        except OSError:
            self._not_free.append(record)

    def _free_again(self) -> None:
        waiting, self._not_free = self._not_free, []
        for record in waiting:
            if record.id not in self._open:
                self._free(record)

    def _answered(self, op: Find | Wish) -> Outcome:
        if isinstance(op, Find):
            return Found(self.find(op.id))
        try:
            self.folder.wish(op.id)
        except OSError as error:
            return Refused(f"{type(error).__name__}: {error}")
        return True

    def wished(self) -> list[str]:
        """Jobs of this life whose end somebody asks for. A wish for what is over, or not known, ends here."""
        found = []
        with suppress(OSError):
            for id_ in self.folder.wishes():
                if id_ in self._open:
                    found.append(id_)
                elif self.life and ((record := self.find(id_)) is None or record.stage == Stage.FINAL):
                    self.folder.heeded(id_)
        return found

    def _one(self, op: Op, drafts: dict[str, Record], took: list[Record]) -> Outcome:
        if isinstance(op, Accept):
            return self._accept(op.record, drafts, took)
        known = drafts.get(op.id) or self._open.get(op.id)
        if known is None:
            return False
        record = known
        assert not isinstance(op, Find | Wish)
        if record.stage == Stage.FINAL:
            return False
        if isinstance(op, Claim):
            if self.folder.is_wished(op.id):
                return EndRequested()
            drafts[op.id] = record.claimed(op.leg)
            return Claimed(self.life)
        elif isinstance(op, Unclaim):
            drafts[op.id] = record.unclaimed(op.number)
        else:
            drafts[op.id] = record.over(op.answer, self._now(), op.why)
        return True

    def _accept(self, record: Record, drafts: dict[str, Record], took: list[Record]) -> Outcome:
        mine = drafts.get(record.id) or self._open.get(record.id)
        if mine is not None:
            return Joined(record.id) if mine.digest == record.digest else Conflict()
        try:
            number, there, chain = self._find(record.id)
        except sqlite3.Error:
            return Joined(record.id)
        if there is not None and there.stage == Stage.FINAL and there.standing:
            return Over(there) if there.digest == record.digest else Conflict()
        if there is not None and there.stage != Stage.FINAL:
            return Joined(record.id) if there.digest == record.digest else Conflict()
        # Its holder died before it wrote anything, or it was declined: whoever asks next takes it anew.
        orphan = self._is_orphan(there, chain)
        if number and there is None and not orphan and not self._dead(chain):
            return Joined(record.id)
        if orphan:
            self._not_free = [each for each in self._not_free if each.id != record.id]
            number -= 1
        elif not self.folder.take(record.id, self.life, number + 1):
            return Joined(record.id)
        record = replace(record, number=number + 1)
        took.append(record)
        if record.key:
            other = self._key(record)
            if other != record.id:
                took.pop()
                self.folder.let_go(record.id, record.number)
                _, there, _ = self._find(other)
                same = there is None or replace(there, id=record.id).digest == record.digest
                return Joined(other) if same else Conflict()
        drafts[record.id] = record
        self.counts.accepted += 1
        return Taken()

    def _refusal(self, op: Op, why: str) -> Outcome:
        """What may be said where nothing could be written. An asker for a job that is somewhere waits for it:
        told that asking anew is harmless, it might have begun a second one."""
        if not isinstance(op, Accept):
            mine = not isinstance(op, Find | Wish) and op.id in self._open
            return Refused(why) if mine or isinstance(op, Finish) else False
        try:
            number, there, chain = self._find(op.record.id)
        except (sqlite3.Error, OSError, ValueError, LookupError):
            return Joined(op.record.id)
        if there is not None and there.digest != op.record.digest:
            return Conflict()
        if there is not None and there.stage == Stage.FINAL and there.standing:
            return Over(there)
        fresh = not number or (there is not None and there.stage == Stage.FINAL)
        fresh = fresh or self._is_orphan(there, chain)
        return Refused(why) if fresh else Joined(op.record.id)

    def _is_orphan(self, there: Record | None, chain: Sequence[str]) -> bool:
        """Whether an id was taken by this life, and no record of it written: nobody else will write one."""
        return there is None and list(chain) == [self.life]

    def _key(self, record: Record) -> str:
        """The id that holds a record's key now: its own, unless another job that counts has it."""
        while True:
            other = self.folder.hold_key(record.cls, record.key, record.id)
            if other == record.id:
                return other
            number, there, chain = self._find(other)
            dead = there is None and (not number or self._dead(chain))
            if not dead and (there is None or there.stage != Stage.FINAL or there.standing):
                return other
            self.folder.free_key(record.cls, record.key, other)

    def _dead(self, chain: Sequence[str]) -> bool:
        """Whether who took an id is fenced, so that what it wrote is known, but for what was under way."""
        return self.folder.fenced(chain[0])

    def _too_late(self, op: Op, outcome: Outcome) -> Outcome:
        """What a life that is fenced may say of what it wrote: its heirs have it."""
        if isinstance(op, Accept):
            return Joined(op.record.id) if isinstance(outcome, Taken) else outcome
        if isinstance(op, Claim):
            self.counts.claims_refused += 1
        return False

    def _fenced(self) -> bool:
        """Whether this life is fenced; it is over then."""
        if self.life and not self.folder.fenced(self.life):
            return False
        if self.life:
            self.counts.fenced += 1
            told = self.folder.why(self.life)
            self._log(f"custody: {self.life} was taken for lost by {told.get('by')}: {told.get('why')}; "
                      f"{len(self._open)} jobs went to {', '.join(told.get('heirs', []))}")  # fmt: skip
            self._end_life()
        return True

    # Looking.

    def look(self) -> bool:
        """Renews the beat, and sees who is lost. False if this life is over, or there is none."""
        if not self.life:
            if not self.left and self._now() >= self._tried + AGAIN:
                self._begin_again()
            return False
        try:
            fences = self.folder.fences()
            if self._fenced():
                return False
            self._renew()
            self._free_again()
            self.folder.follow_wall_clock(self.life, self.name)
            lives = self.folder.lives()
            self.members = len(lives)
            gone = self.folder.gone(lives)
            suspects = self._watch.looked(self._now(), self.folder.beats(lives), gone)
            self._vote(lives, suspects)
            self._fence(lives, suspects, gone)
            self._estates(fences)
            self._clean()
        except (OSError, ValueError, LookupError, sqlite3.Error) as error:
            self.counts.failed += 1
            self._say_once(f"custody: {type(error).__name__}: {error}")
        return bool(self.life)

    def _begin_again(self) -> None:
        try:
            self.begin()
        except (FolderError, StoreError, sqlite3.Error) as error:
            self._say_once(f"custody: no life could be begun: {error}")

    def _renew(self) -> None:
        before = self._now()
        self._beat += 1
        self.folder.beat(self.life, self._beat)
        self.lease.renewed(before)

    def _vote(self, lives: Iterable[str], suspects: set[str]) -> None:
        for life in (suspects ^ self._suspects) & set(lives):
            self.folder.vote(life, self.life, life in suspects)
        self._suspects = suspects

    def _fence(self, lives: Mapping[str, object], suspects: set[str], gone: set[str]) -> None:
        if not self._watch.settled(self._now()):
            return
        for life in sorted(suspects & lives.keys()):
            if agreed(life, self.folder.votes(life), lives, suspects):
                why = "its process is gone" if life in gone else "it is silent"
                heirs = [other for other in lives if other not in suspects]
                self.point("fence")
                if self.folder.fence(life, heirs, self.life, why):
                    self.counts.fences += 1
                    names = ", ".join(sorted(heirs))
                    self._log(f"custody: {life} is lost: {why}; what it had goes to {names}")

    # Estates.

    def _estates(self, fences: Mapping[str, tuple[str, ...]]) -> None:
        """Reads what lost lives left, whenever there is a further fence, or more of it."""
        # A commit that was under way when its life was fenced comes after that: each is looked at again.
        versions = {life: v for life in fences if (v := self.folder.version(life)) is not None}
        again = int(self._now() // AGAIN) if self._unreadable else 0  # it may only have been locked just then
        known = (len(fences), len(self.folder.later), versions, again)
        if known == self._known:
            return
        todo, ownerless, self._unreadable = [], False, False
        for life in versions:
            if (reader := self._reader(life)) is None:
                self._unreadable = self._unreadable or life not in self._empty
                continue
            for number, (id_, cls, accepted) in enumerate(reader.open_jobs()):
                if number % BEAT_EVERY == BEAT_EVERY - 1:
                    self._renew()
                owner = chain_of(id_, life, fences, self.folder.later)[-1]
                ownerless = ownerless or owner in fences
                if owner == self.life and id_ not in self._open:
                    todo.append((-self._worths.get(cls, 0.0), accepted, id_, life))
        if ownerless:
            heirs = [life for life in self.folder.lives() if life not in self._suspects]
            self.folder.go_on(heirs, self.life)
            return  # at the next look they have owners
        self._todo = sorted(todo, reverse=True)
        self.awaiting = len(self._todo)
        self._known = known

    def adopt(self) -> list[Record]:
        """Takes over as many jobs of lost lives as the rate allows now; they are this life's from here on."""
        now = self._now()
        rate = self.settings.takeover_rate / 1000.0
        most = min(AT_ONCE, max(1.0, 2.0 * rate * self.settings.look))
        self._owed, self._owed_at = min(most, self._owed + (now - self._owed_at) * rate), now
        if not self._todo or not self.life or self._store is None:
            return []
        found = self._gather()
        self.awaiting = len(self._todo)
        if not found:
            return []
        self.point("adopt")
        try:
            with self._store.group():
                for record in found.values():
                    self._store.put(record)
        except sqlite3.Error as error:
            self._read_again(error)
            return []
        if self._over_after_commit():
            return []
        self._open.update(found)
        self.counts.taken_over += len(found)
        self.point("adopt done")
        return list(found.values())

    def _gather(self) -> dict[str, Record]:
        """As many jobs of lost lives as may be taken over now, as this life is to write them down."""
        found: dict[str, Record] = {}
        while self._todo and self._owed >= 1.0:
            _, _, id_, life = self._todo[-1]
            try:
                record = self._left_by(id_, life)
            except (sqlite3.Error, OSError, ValueError, LookupError) as error:
                self._read_again(error)  # it is still owed
                break
            self._todo.pop()
            if record is not None and id_ not in found:
                found[id_] = record.inherited()
                self._owed -= 1.0
        return found

    def _read_again(self, error: Exception) -> None:
        """What is to be taken over is read anew, and tried again: the system refused something."""
        self.counts.failed += 1
        self._say_once(f"custody: {type(error).__name__}: {error}")
        self._todo, self._known, self._unreadable = [], None, True

    def _left_by(self, id_: str, life: str) -> Record | None:
        """What the last owner wrote of a job that a lost life took; None if it has its answer, or if the id
        was taken anew. Raises where something cannot be read."""
        holder = self.folder.holder(id_)
        if holder is None or life not in self._chain(id_, holder[1]):
            return None  # the system refused to write it, so the id was let go, and a kill left it here
        for each in reversed(self._chain(id_, life)):
            record = self._read(each, id_)
            if record is not None:
                # Written so late that somebody has taken the id anew meanwhile, or answered, or here already.
                over = holder[0] > record.number or record.stage == Stage.FINAL
                return None if over or each == self.life else self._of_now(record, each)
        return None

    def _chain(self, id_: str, life: str) -> list[str]:
        return chain_of(id_, life, self.folder.known_fences, self.folder.later)

    def _of_now(self, record: Record, life: str) -> Record:
        """A record with the times of this run of the machine: an earlier run's steady clock is another.

        The wall clock alone joins the two, and may have been stepped: no job is given more time than it had
        at first."""
        about = self.folder.about(life)
        boot = about.get("boot")
        if boot == boot_id():
            return record
        more = float(about.get("offset", 0.0)) - self.folder.offset if boot else 0.0
        return record.moved(more, self._now())

    # Reading.

    def _find(self, id_: str) -> tuple[int, Record | None, list[str]]:
        """How often an id was taken, what is written of it last, and whose it was, from who took it to who
        owns it; (0, None, []) for none."""
        holder = self.folder.holder(id_)
        if holder is None:
            return 0, None, []
        number, life = holder
        chain = self._chain(id_, life)
        for each in reversed(chain):
            if (record := self._read(each, id_)) is not None and record.number == number:
                return number, record, chain
        return number, None, chain

    def find(self, id_: str) -> Record | None:
        """What is known of a job, wherever it is."""
        with suppress(sqlite3.Error, OSError, ValueError, LookupError):
            return self._find(id_)[1]
        return None

    def _read(self, life: str, id_: str) -> Record | None:
        if life == self.life and self._store is not None:
            return self._store.get(id_)
        reader = self._reader(life)
        if reader is None and life not in self._empty and self.folder.store(life).exists():
            # What cannot be read is not nothing: a job in it may have begun.
            raise sqlite3.DatabaseError(f"what {life} wrote cannot be read")
        return None if reader is None else reader.get(id_)

    def _reader(self, life: str) -> Store | None:
        self._used.add(life)
        if life in self._readers:
            self._readers[life] = self._readers.pop(life)  # the one that was used last
        else:
            path = self.folder.store(life)
            if not path.exists():
                return None
            self._empty.discard(life)
            try:
                self._readers[life] = Store(path, write=False)
                if len(self._readers) > READERS:
                    self._readers.pop(next(iter(self._readers))).close()
            except EmptyStoreError:
                self._empty.add(life)
                return None
            except StoreError as error:
                if life not in self._unread and self.folder.fenced(life):
                    self._unread.add(life)
                    self._log(f"custody: what {life} left cannot be read: {error}")
                return None
        return self._readers[life]

    def polled(self, ids: Iterable[str]) -> list[tuple[str, Record | None]]:
        """Those of some ids that have their answer, or of which nothing is known any more."""
        found: list[tuple[str, Record | None]] = []
        for id_ in ids:
            try:
                _, record, chain = self._find(id_)
            except (sqlite3.Error, OSError, ValueError, LookupError):
                continue  # its owner may be writing its first record just now
            orphan = record is None and (not chain or self._dead(chain))
            if (record is not None and record.stage == Stage.FINAL) or orphan:
                found.append((id_, record))
        return found

    # Care.

    def _forget(self, records: Sequence[Record]) -> None:
        if self._store is None:
            return
        with suppress(sqlite3.Error, OSError):
            for record in records:
                self._let_go(record, self.life)
            with self._store.group():
                self._store.forget([record.id for record in records])

    def _let_go(self, record: Record, life: str) -> None:
        """Lets go of the id of a record in a life's store, unless it was taken anew: a kill, or a refusal of
        the system, may have left the record here after its id was let go."""
        holder = self.folder.holder(record.id)
        if holder is not None and life in self._chain(record.id, holder[1]):
            self.folder.let_go(record.id, record.number, record.cls, record.key)

    def _clean(self) -> None:
        """Forgets what was answered long ago, here and in the estates of which this life has the care."""
        now, s = self._now(), self.settings
        if now < self._cleaned + AGAIN or self._store is None:
            return
        self._cleaned = now
        used = set(self._used)
        self._forget(self._store.stale(now - s.keep, s.finished_most, s.bytes_most))
        settles = now >= self._settled + SETTLED
        self._settled = now if settles else self._settled
        for life in list(self.folder.known_fences) if settles else ():
            if self.folder.store(life).exists() and self._chain("", life)[-1] == self.life:
                self._settle(life, now - s.keep)
        for life in self._readers.keys() - used:
            self._readers.pop(life).close()
        self._used.clear()

    def _settle(self, life: str, before: float) -> None:
        """Removes a lost life's store once all it left is taken over and its answers are old."""
        reader = self._reader(life)
        if self.folder.writing(life):
            return
        if reader is None:
            if life in self._empty:
                self.folder.forget(life)
            return
        if any(self._owed_by(life, id_) for id_, _, _ in reader.open_jobs()):
            return
        over = list(reader.records((Stage.FINAL,)))
        if any(self._of_now(record, life).finished >= before for record in over):
            return
        for record in over:
            self._let_go(record, life)
        self._readers.pop(life).close()
        self.folder.forget(life)

    def _owed_by(self, life: str, id_: str) -> bool:
        """Whether a lost life's store holds the last word on a job without an answer."""
        holder = self.folder.holder(id_)
        chain = [] if holder is None else self._chain(id_, holder[1])
        if life not in chain:
            return False
        return not any(self._read(heir, id_) is not None for heir in chain[chain.index(life) + 1 :])

    def report(self, text: str) -> None:
        """A line for operators, said once."""
        self._say_once(text)

    def _say_once(self, text: str) -> None:
        if text not in self._unread:
            self._unread.add(text)
            self._log(text)
