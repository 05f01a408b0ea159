"""The protocol of durable requests as a state machine, for `explore`: members, faults, jobs that run once.

Every step is one atomic action of a process: it creates a link, commits, looks up a fence or sends a byte.
Any other process may act between two steps, so a late step models a process that was stopped. Faults are
`dies` (the process is gone) and `sleeps` (its lease expires while it is stopped; it may wake at any time).
Suspicions follow from these two alone, as the leases guarantee. Successors and owners are determined by the
program's own code (`ownership_chain`).

    ask -> taken -> written -> held -> claimed -> cleared -> sent -> result -> answered -> told

With `plans`, so many members may leave as planned and run on, and so many clients may leave. Where each
client waits is then a part of the state: a claim needs a client at any running member, and a client that
waits at a member without its job gets the record of the last owner.

A slip is a planted fault that a search must find: `claim unchecked` (neither fence nor lease is checked after
a claim), `sends first` (a byte is sent before the claim), `heirs choose` (a successor takes whatever it
finds), `answers first` (the answer is passed on before it is written). With `plans` alone: `clients
unchecked` (a successor claims without a client), `reads own` (a member that has left answers by its own
record).
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from typing import Any

from eiderfield.durable_requests.ownership import ownership_chain

CLAIM_UNCHECKED = "claim unchecked"
SENDS_FIRST = "sends first"
SUCCESSORS_CHOOSE = "heirs choose"
ANSWERS_FIRST = "answers first"
CLIENTS_UNCHECKED = "clients unchecked"
READS_OWN = "reads own"
SLIPS = (CLAIM_UNCHECKED, SENDS_FIRST, SUCCESSORS_CHOOSE, ANSWERS_FIRST)
SLIPS_WITH_PLANS = (CLIENTS_UNCHECKED, READS_OWN)

# What a member has written of a job.
OPEN = "accepted"
CLAIMED = "claimed"
SERVED = "served"
FAILED = "failed"
FINAL = (SERVED, FAILED)

Table = tuple[tuple[tuple[str, str], str], ...]  # sorted pairs, so that states compare by value
Counts = tuple[tuple[str, int], ...]
Fences = dict[str, tuple[str, ...]]  # by fenced member, its successors


@dataclass(frozen=True, slots=True)
class State:
    """A state of all members and jobs."""

    alive: tuple[str, ...]  # members
    asleep: tuple[str, ...]  # members whose lease is over
    fences: tuple[tuple[str, tuple[str, ...]], ...]
    owner: tuple[tuple[str, str], ...]  # by job, the member that took its id
    at: Table  # by member and job, the last step
    store: Table  # by member and job, what the member has written
    told: Table  # by job and member, the answer that a client got
    sent: Counts  # by job, how often its first byte was sent
    asks: Counts  # by job, how often a client may still ask
    faults: int  # that may still happen
    plans: int = 0  # members and clients that may still leave, of each so many
    departures: int = 0
    left: tuple[str, ...] = ()  # members that have left as planned
    clients: tuple[tuple[str, str], ...] | None = (
        None  # by job, a member where a client waits; None without plans
    )
    unattended: tuple[str, ...] = ()  # jobs that were claimed while no client waited


Step = tuple[str, State]


def start(members: int, jobs: int, faults: int, asks: int = 2, plans: int = 0) -> State:
    """Return the first state, with members `a`, `b`... and jobs `0`, `1`..."""
    ids = [str(number) for number in range(jobs)]
    return State(
        alive=tuple(chr(ord("a") + number) for number in range(members)),
        asleep=(),
        fences=(),
        owner=(),
        at=(),
        store=(),
        told=(),
        sent=tuple((job, 0) for job in ids),
        asks=tuple((job, asks) for job in ids),
        faults=faults,
        plans=plans,
        departures=plans,
        clients=() if plans else None,
    )


@dataclass(frozen=True, slots=True)
class Turn:
    """A member that may do its next step with a job."""

    state: State
    member: str
    job: str
    is_fenced: bool

    @property
    def key(self) -> tuple[str, str]:
        """The key of the turn in the state's tables."""
        return self.member, self.job

    @property
    def written(self) -> str:
        """What the member has written of the job."""
        return dict(self.state.store).get(self.key, "")

    def step(self, name: str, to: str, **changes: Any) -> Step:
        """Return a step that leads the member to another place with the job."""
        state = replace(self.state, at=with_value(self.state.at, self.key, to), **changes)
        return f"{self.member} {name} {self.job}", state

    def writing(self, value: str) -> Table:
        """Return the store after the member has written a value."""
        return with_value(self.state.store, self.key, value)

    def sending(self) -> Counts:
        """Return the counts after the job's first byte was sent."""
        return tuple((job, count + (job == self.job)) for job, count in self.state.sent)

    @property
    def is_attended(self) -> bool:
        """Whether a client of the job waits at any running member, or clients are not a part of the state."""
        clients = self.state.clients
        return clients is None or any(job == self.job for job, _ in clients)

    def joining(self) -> tuple[tuple[str, str], ...] | None:
        """Return the clients after one has come to the member."""
        clients = self.state.clients
        return None if clients is None else tuple(sorted({*clients, (self.job, self.member)}))

    def answering(self) -> tuple[tuple[str, str], ...] | None:
        """Return the clients after that of the member has its answer."""
        clients = self.state.clients
        return None if clients is None else tuple(each for each in clients if each != (self.job, self.member))

    def telling(self, answer: str) -> Table:
        """Return the answers of clients after the member has passed one on."""
        return with_value(self.state.told, (self.job, self.member), answer)


class Machine:
    """The steps of the protocol, with a planted slip or none."""

    def __init__(self, slip: str = "") -> None:
        """Plant a slip. Raises `ValueError` if there is no such slip."""
        if slip and slip not in (*SLIPS, *SLIPS_WITH_PLANS):
            raise ValueError(f"no such slip: {slip!r}")
        self._slip = slip
        self._next_steps: dict[str, Callable[[Turn], Iterator[Step]]] = {
            "": self._begin,
            "taken": self._write,
            "written": self._hold,
            "adopted": self._hold,
            "held": self._claim,
            "sent first": self._claim_after_sending,
            "claimed": self._clear,
            "cleared": self._send,
            "sent": self._receive,
            "result": self._answer,
            "failing": self._fail,
            "answered": self._tell,
        }

    def steps(self, state: State) -> Iterator[Step]:
        """Yield all steps that are possible in a state."""
        fences = dict(state.fences)
        for member in state.alive:
            yield from self._faults(state, member)
            for job, _ in state.sent:
                turn = Turn(state, member, job, member in fences)
                place = dict(state.at).get(turn.key, "")
                if place in self._next_steps:
                    yield from self._next_steps[place](turn)
                yield from self._serve_client(turn)
            if member not in fences:
                yield from self._fence(state, member, fences)
                yield from self._leave(state, member, fences)

    @staticmethod
    def wrong(state: State) -> str:
        """Return which rule a state breaks, '' for none."""
        for job, count in state.sent:
            if count > 1:
                return f"job {job} was begun {count} times"
            answers = {answer for (name, _), answer in state.told if name == job}
            if len(answers) > 1:
                return f"job {job} has the answers {', '.join(sorted(answers))}"
        if state.unattended:
            return f"job {state.unattended[0]} was begun for a client that had gone"
        return ""

    def _faults(self, state: State, member: str) -> Iterator[Step]:
        if not state.faults:
            return
        others = tuple(name for name in state.alive if name != member)
        clients = state.clients and tuple(each for each in state.clients if each[1] != member)
        yield f"{member} dies", replace(state, alive=others, faults=state.faults - 1, clients=clients)
        if member not in state.asleep:
            asleep = (*state.asleep, member)
            yield f"{member} sleeps", replace(state, asleep=asleep, faults=state.faults - 1)

    def _fence(self, state: State, member: str, fences: Fences) -> Iterator[Step]:
        """Yield the fences that an awake member may create, of members that are dead or asleep.

        A member that wakes starts watching again and suspects nobody.
        """
        if member in state.asleep:
            return
        known = {name for (name, _), _ in state.at} | set(state.alive) | {name for _, name in state.owner}
        successors = tuple(name for name in state.alive if name not in state.asleep and name not in fences)
        for name in sorted(known):
            is_lost = name not in state.alive or name in state.asleep
            if is_lost and name not in fences and name != member and successors:
                yield f"{member} fences {name}", replace(state, fences=(*state.fences, (name, successors)))

    @staticmethod
    def _leave(state: State, member: str, fences: Fences) -> Iterator[Step]:
        """Yield the planned end of a member, which fences itself and runs on."""
        successors = tuple(
            name for name in state.alive if name not in (*state.asleep, *fences) and name != member
        )
        if state.plans and successors and member not in state.asleep:
            yield (
                f"{member} leaves",
                replace(
                    state,
                    fences=(*state.fences, (member, successors)),
                    left=(*state.left, member),
                    plans=state.plans - 1,
                ),
            )

    def _serve_client(self, turn: Turn) -> Iterator[Step]:
        """Yield the departure of a waiting client, and the answer that it gets from the record."""
        state, job = turn.state, turn.job
        if not state.clients or (job, turn.member) not in state.clients:
            return
        clients = turn.answering()
        if state.departures:
            yield (
                f"client of {job} leaves {turn.member}",
                replace(state, clients=clients, departures=state.departures - 1),
            )
        owner = dict(state.owner)[job]
        answer = last_written(state, job, owner)
        if self._slip == READS_OWN and turn.member in state.left and turn.written not in FINAL:
            answer = FAILED  # at the deadline
        if answer in FINAL:
            told = with_value(state.told, (job, f"{turn.member}+waits"), answer)
            yield f"{turn.member} looks up {job}", replace(state, told=told, clients=clients)

    def _begin(self, turn: Turn) -> Iterator[Step]:
        yield from self._accept(turn)
        yield from self._take_over(turn)

    def _accept(self, turn: Turn) -> Iterator[Step]:
        """Yield a client's request: the first link wins; later clients get the answer that is recorded."""
        state, job = turn.state, turn.job
        asks = dict(state.asks)
        if turn.is_fenced or not asks[job]:
            return
        left = tuple((name, count - (name == job)) for name, count in state.asks)
        owner = dict(state.owner).get(job)
        if owner is None:
            clients = turn.joining()
            yield turn.step(
                "takes", "taken", owner=(*state.owner, (job, turn.member)), asks=left, clients=clients
            )
            return
        last = last_written(state, job, owner)
        if last in FINAL:
            told = with_value(state.told, (job, f"{turn.member}+{asks[job]}"), last)
            yield f"{turn.member} tells again {job}", replace(state, told=told, asks=left)
        elif state.clients is not None and (job, turn.member) not in state.clients:
            yield f"client of {job} comes to {turn.member}", replace(state, asks=left, clients=turn.joining())

    def _take_over(self, turn: Turn) -> Iterator[Step]:
        """Yield the takeover from a fenced owner by the last successor in the job's chain."""
        state, fences = turn.state, dict(turn.state.fences)
        owner = dict(state.owner).get(turn.job)
        if turn.is_fenced or owner is None or owner not in fences:
            return
        chain = ownership_chain(turn.job, owner, fences)
        takes_any = self._slip == SUCCESSORS_CHOOSE and turn.member not in chain
        last = last_written(state, turn.job, owner)
        if (chain[-1] == turn.member or takes_any) and last in (OPEN, CLAIMED):
            yield turn.step("takes over", "adopted", store=turn.writing(last))

    def _write(self, turn: Turn) -> Iterator[Step]:
        yield turn.step("writes", "written", store=turn.writing(OPEN))

    def _hold(self, turn: Turn) -> Iterator[Step]:
        if turn.is_fenced:
            yield turn.step("is fenced with", "lost")
        elif turn.written == CLAIMED:  # what a lost one may have begun is not begun again
            yield turn.step("gives up", "failing")
        else:
            yield turn.step("holds", "held")

    def _claim(self, turn: Turn) -> Iterator[Step]:
        if self._slip == SENDS_FIRST:
            yield turn.step("sends", "sent first", sent=turn.sending())
        elif turn.is_attended:
            yield turn.step("claims", "claimed", store=turn.writing(CLAIMED))
        elif self._slip == CLIENTS_UNCHECKED:
            unattended = (*turn.state.unattended, turn.job)
            yield turn.step("claims", "claimed", store=turn.writing(CLAIMED), unattended=unattended)

    def _claim_after_sending(self, turn: Turn) -> Iterator[Step]:
        yield turn.step("claims", "sent", store=turn.writing(CLAIMED))

    def _clear(self, turn: Turn) -> Iterator[Step]:
        if turn.is_fenced and self._slip != CLAIM_UNCHECKED:
            yield turn.step("is fenced with", "lost")
        else:
            yield turn.step("is cleared for", "cleared")

    def _send(self, turn: Turn) -> Iterator[Step]:
        if turn.member in turn.state.asleep and self._slip != CLAIM_UNCHECKED:
            yield turn.step("has no lease for", "lost")
        else:
            yield turn.step("sends", "sent", sent=turn.sending())

    def _receive(self, turn: Turn) -> Iterator[Step]:
        yield turn.step("has the result of", "result")

    def _answer(self, turn: Turn) -> Iterator[Step]:
        if self._slip == ANSWERS_FIRST:
            yield turn.step("tells", "told", told=turn.telling(SERVED))
        else:
            yield turn.step("answers", "answered", store=turn.writing(SERVED))

    def _fail(self, turn: Turn) -> Iterator[Step]:
        yield turn.step("answers", "answered", store=turn.writing(FAILED))

    def _tell(self, turn: Turn) -> Iterator[Step]:
        if turn.is_fenced:
            yield turn.step("is fenced with", "lost")
        else:
            yield turn.step("tells", "told", told=turn.telling(turn.written), clients=turn.answering())


def with_value(table: Table, key: tuple[str, str], value: str) -> Table:
    """Return a table with one value set."""
    found = {**dict(table), key: value}
    return tuple(sorted((key, value) for key, value in found.items() if value))


def last_written(state: State, job: str, owner: str) -> str:
    """Return what the last of the job's owners has written."""
    store = dict(state.store)
    for member in reversed(ownership_chain(job, owner, dict(state.fences))):
        if (member, job) in store:
            return store[member, job]
    return ""
