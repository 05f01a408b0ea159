"""Custody as a small machine, for `explore`: members, jobs that must never run twice, and whoever fails.

Every step is one thing that the system does at once for a process: a link made, a commit, a look for a
fence, a byte sent. Between any two of them anything may happen elsewhere, so a step that comes late is a
process that was stopped. Faults are `dies` (the process is gone) and `sleeps` (its lease runs out while it
stands still; it may wake at any moment). Who suspects whom follows from these two alone, as the leases
guarantee. Heirs and owners are those of the program itself (`chain_of`).

    ask -> taken -> written -> held -> claimed -> cleared -> sent -> result -> answered -> told

`slip` plants a fault that a search must find: `claim unchecked` (neither the fence nor the lease is looked at
after a claim), `sends first` (a byte before the claim), `heirs choose` (an heir takes whatever it finds),
`answers first` (the answer is told before it is written).
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace

from eiderfield.durable_requests.lease import chain_of

SLIPS = ("claim unchecked", "sends first", "heirs choose", "answers first")
OPEN, CLAIMED, SERVED, FAILED = "accepted", "claimed", "served", "failed"

Table = tuple[tuple[tuple[str, str], str], ...]  # sorted pairs, so that states compare by value


@dataclass(frozen=True, slots=True)
class World:
    """A state. `at` is where each member is with each job; `store` what each has written of it."""

    alive: tuple[str, ...]
    asleep: tuple[str, ...]  # whose lease is over
    fences: tuple[tuple[str, tuple[str, ...]], ...]
    owner: tuple[tuple[str, str], ...]  # by job, whose link was made
    at: Table
    store: Table
    told: Table  # by job and member, what it told an asker
    sent: tuple[tuple[str, int], ...]  # by job, how often its first byte left
    asks: tuple[tuple[str, int], ...]  # by job, how often a client may still ask
    faults: int  # that may still come


def start(members: int, jobs: int, faults: int, asks: int = 2) -> World:
    """Members `a`, `b`..., jobs `0`, `1`..."""
    names = tuple(chr(97 + number) for number in range(members))
    ids = [str(number) for number in range(jobs)]
    return World(
        names, (), (), (), (), (), (), tuple((job, 0) for job in ids),
        tuple((job, asks) for job in ids), faults,
    )  # fmt: skip


def _set(table: Table, key: tuple[str, str], value: str) -> Table:
    found = {**dict(table), key: value}
    return tuple(sorted((k, v) for k, v in found.items() if v))


class Machine:
    """The steps, with a planted slip or none."""

    def __init__(self, slip: str = "") -> None:
        if slip and slip not in SLIPS:
            raise ValueError(f"no such slip: {slip!r}")
        self.slip = slip

    def steps(self, w: World) -> Iterator[tuple[str, World]]:
        """All that may come next."""
        fences = dict(w.fences)
        for member in w.alive:
            if w.faults:
                rest = tuple(name for name in w.alive if name != member)
                yield f"{member} dies", replace(w, alive=rest, faults=w.faults - 1)
                if member not in w.asleep:
                    yield f"{member} sleeps", replace(w, asleep=(*w.asleep, member), faults=w.faults - 1)
            for job, _ in w.sent:
                yield from self._of(w, member, job, member in fences)
            if member not in fences:
                yield from self._fence(w, member, fences)

    def _fence(
        self, w: World, member: str, fences: dict[str, tuple[str, ...]]
    ) -> Iterator[tuple[str, World]]:
        """A member that is awake fences who is dead, or sleeps. One that sleeps wakes only to find itself
        watching anew, so it suspects nobody."""
        if member in w.asleep:
            return
        names = sorted({name for (name, _), _ in w.at} | set(w.alive) | {name for _, name in w.owner})
        lost = [name for name in names if name not in w.alive or name in w.asleep]
        for name in lost:
            if name not in fences and name != member:
                heirs = tuple(other for other in w.alive if other not in w.asleep and other not in fences)
                if heirs:
                    yield f"{member} fences {name}", replace(w, fences=(*w.fences, (name, heirs)))

    def _of(self, w: World, member: str, job: str, fenced: bool) -> Iterator[tuple[str, World]]:
        key = (member, job)
        at, store = dict(w.at).get(key, ""), dict(w.store)

        def go(name: str, to: str, **more: object) -> tuple[str, World]:
            return f"{member} {name} {job}", replace(w, at=_set(w.at, key, to), **more)  # type: ignore[arg-type]

        match at:
            case "":
                yield from self._asked(w, member, job, fenced, go)
                yield from self._inherits(w, member, job, fenced, go)
            case "taken":
                yield go("writes", "written", store=_set(w.store, key, OPEN))
            case "written" | "adopted":
                if fenced:
                    yield go("is fenced with", "lost")
                elif store.get(key) == CLAIMED:  # what a lost one may have begun is not begun again
                    yield go("gives up", "failing")
                else:
                    yield go("holds", "held")
            case "held":
                if self.slip == "sends first":
                    yield go("sends", "sent first", sent=_count(w.sent, job))
                else:
                    yield go("claims", "claimed", store=_set(w.store, key, CLAIMED))
            case "sent first":
                yield go("claims", "sent", store=_set(w.store, key, CLAIMED))
            case "claimed":
                if fenced and self.slip != "claim unchecked":
                    yield go("is fenced with", "lost")
                else:
                    yield go("is cleared for", "cleared")
            case "cleared":
                if member in w.asleep and self.slip != "claim unchecked":
                    yield go("has no lease for", "lost")
                else:
                    yield go("sends", "sent", sent=_count(w.sent, job))
            case "sent":
                yield go("has the result of", "result")
            case "result":
                if self.slip == "answers first":
                    yield go("tells", "told", told=_set(w.told, (job, member), SERVED))
                else:
                    yield go("answers", "answered", store=_set(w.store, key, SERVED))
            case "failing":
                yield go("answers", "answered", store=_set(w.store, key, FAILED))
            case "answered":
                if fenced:
                    yield go("is fenced with", "lost")
                else:
                    yield go("tells", "told", told=_set(w.told, (job, member), store[key]))

    def _asked(
        self, w: World, member: str, job: str, fenced: bool, go: object
    ) -> Iterator[tuple[str, World]]:
        """A client asks: the first link wins. Later askers get the answer that stands."""
        asks = dict(w.asks)
        if fenced or not asks[job]:
            return
        less = tuple((name, count - (name == job)) for name, count in w.asks)
        owner = dict(w.owner).get(job)
        if owner is None:
            yield go("takes", "taken", owner=(*w.owner, (job, member)), asks=less)  # type: ignore[operator]
            return
        last = self._last(w, job, owner)
        if last in (SERVED, FAILED):
            told = _set(w.told, (job, f"{member}+{asks[job]}"), last)
            yield f"{member} tells again {job}", replace(w, told=told, asks=less)

    def _inherits(
        self, w: World, member: str, job: str, fenced: bool, go: object
    ) -> Iterator[tuple[str, World]]:
        owner = dict(w.owner).get(job)
        fences = dict(w.fences)
        if fenced or owner is None or owner not in fences:
            return
        chain = chain_of(job, owner, fences)
        mine = chain[-1] == member or (self.slip == "heirs choose" and member not in chain)
        last = self._last(w, job, owner)
        if mine and last in (OPEN, CLAIMED):
            yield go("takes over", "adopted", store=_set(w.store, (member, job), last))  # type: ignore[operator]

    def _last(self, w: World, job: str, owner: str) -> str:
        """What the last of the job's owners wrote of it."""
        store = dict(w.store)
        for life in reversed(chain_of(job, owner, dict(w.fences))):
            if (life, job) in store:
                return store[life, job]
        return ""

    @staticmethod
    def wrong(w: World) -> str:
        """What is wrong with a state, '' for nothing."""
        for job, count in w.sent:
            if count > 1:
                return f"job {job} was begun {count} times"
            answers = {answer for (name, _), answer in w.told if name == job}
            if len(answers) > 1:
                return f"job {job} has the answers {', '.join(sorted(answers))}"
        return ""


def _count(sent: tuple[tuple[str, int], ...], job: str) -> tuple[tuple[str, int], ...]:
    return tuple((name, count + (name == job)) for name, count in sent)
