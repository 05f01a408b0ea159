"""Whether clients wait for the requests of this process. No attempt begins without a client.

States of an owned request, as far as its clients are concerned:

    attended    a client of this process waits, or a batch client has submitted it: a batch job is always owed
    remote      no client of this process waits, but one of another process does, or did before that process
                was stopped (`remote_clients.py`)
    suspended   taken over, and no client waits: the connections of its clients ended with their process.
                It is submitted once a client comes back, and fails at its deadline otherwise
    abandoned   submitted, and all its clients have left: it ends once it has no open attempt

    suspended -> attended | remote       a client submits it again, here or elsewhere
    attended  -> remote | abandoned      its last client leaves this process
    remote    -> attended | abandoned    found by the claim of the next attempt

Nothing about clients is recorded for successors: connections end with the process that holds them, so a
successor has to look for clients of its own and for marks.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial

from eiderfield.durable_requests.answer_recorder import AnswerRecorder
from eiderfield.durable_requests.loop_context import LoopContext
from eiderfield.durable_requests.messages import FindRemoteClients, Outcome, RemoteClientsFound
from eiderfield.durable_requests.owned_requests import OwnedRequest, Suspension
from eiderfield.durable_requests.remote_clients import Presence
from eiderfield.durable_requests.remote_waiters import RemoteWaiters
from eiderfield.durable_requests.timing import (
    RECORDING_TIME_MS,
    REJECTION_RETRY_AFTER_MS,
    RETRY_INTERVAL_MS,
)
from eiderfield.durable_requests.waiters import Waiter
from eiderfield.exchange.request import Answer, Request, RequestState, Verdict

CLIENTS_LEFT = "its clients have left"  # reasons of answers, for operators
NO_CLIENT_CAME_BACK = "no client came back for it"


class ClientPresence:
    """Ends requests whose clients have left, and suspends those that were taken over without a client."""

    def __init__(self, context: LoopContext, recorder: AnswerRecorder, remote_waiters: RemoteWaiters) -> None:
        """Record the ends of requests with `recorder`."""
        self._context = context
        self._recorder = recorder
        self._remote_waiters = remote_waiters

    # Clients that leave.

    def client_left(self, waiter: Waiter) -> None:
        """Stop a waiter whose client has left, and abandon the request if it was the last one."""
        waiter.stop()
        if not self._remote_waiters.discard(waiter):
            self.abandon_unless_waited_for(waiter.awaited_id)

    def abandon_unless_waited_for(self, id_: str) -> None:
        """Start no further attempt of a request whose clients have all left.

        An open attempt continues, and its result is stored for a client that submits the request again.
        Without an open attempt the request ends: as failed if an attempt may have run, otherwise as rejected,
        which frees its id.
        """
        owned = self._context.owned_requests.get(id_)
        if owned is not None and self._may_be_abandoned(owned):
            on_found = partial(self._on_looked_up, id_, owned)
            self._context.commit_thread.write(FindRemoteClients(id_), on_found)

    def _may_be_abandoned(self, owned: OwnedRequest) -> bool:
        if owned.has_client or not owned.is_submitted:
            return False
        return self._context.exchange.request_state(owned.exchange_id) is RequestState.QUEUED

    def _on_looked_up(self, id_: str, owned: OwnedRequest, outcome: Outcome) -> None:
        if self._context.owned_requests.get(id_) is not owned:
            return
        if not isinstance(outcome, RemoteClientsFound):  # the folder could not be read
            self._context.call_after(RETRY_INTERVAL_MS, partial(self.abandon_unless_waited_for, id_))
            return
        # Of a process that is stopped, the claim of the next attempt finds whether its clients still wait.
        owned.is_waited_for_elsewhere = outcome.presence is not Presence.GONE
        if not owned.is_waited_for_elsewhere and self._may_be_abandoned(owned):
            self._abandon(id_, owned)

    def claim_refused(self, id_: str) -> None:
        """Note that the claim of an attempt found no client. Its end abandons the request."""
        if (owned := self._context.owned_requests.get(id_)) is not None:
            owned.is_waited_for_elsewhere = False

    def _abandon(self, id_: str, owned: OwnedRequest) -> None:
        exchange_answer = self._context.exchange.cancel_request(owned.exchange_id)
        if exchange_answer is None:
            return
        if exchange_answer.may_have_run:
            answer = Answer(Verdict.FAILED, may_have_run=True, attempts=exchange_answer.attempts)
        else:
            answer = Answer(
                Verdict.DECLINED, retry_after=REJECTION_RETRY_AFTER_MS, attempts=exchange_answer.attempts
            )
        self._recorder.record(id_, owned, answer, CLIENTS_LEFT)

    # Requests that are taken over without a client.

    def submit_once_waited_for(
        self, request: Request, owned: OwnedRequest, earlier_attempts: int, submit: Callable[[], object]
    ) -> None:
        """Submit a request that was taken over with `submit`, now or once a client waits for it.

        `earlier_attempts` is the number of its attempts that may have run.
        """
        if owned.has_client:
            submit()
            return
        timer = self._context.services.timers.call_at(
            request.deadline - RECORDING_TIME_MS, partial(self._expire, request.id, owned)
        )
        owned.suspension = Suspension(submit, earlier_attempts, timer)
        self._context.commit_thread.write(
            FindRemoteClients(request.id), partial(self._on_first_look_up, request.id, owned)
        )

    def _on_first_look_up(self, id_: str, owned: OwnedRequest, outcome: Outcome) -> None:
        if self._context.owned_requests.get(id_) is not owned or not owned.is_suspended:
            return
        if isinstance(outcome, RemoteClientsFound) and outcome.presence is Presence.WAITING:
            self.clients_found([id_])
        else:
            self._context.commit_thread.polls.find_clients(id_)

    def clients_found(self, ids: Iterable[str]) -> None:
        """Submit the suspended requests among these, for which clients wait at other dispatchers."""
        for id_ in ids:
            owned = self._context.owned_requests.get(id_)
            if owned is not None and owned.is_suspended:
                owned.is_waited_for_elsewhere = True
                self._resume(id_, owned)

    def client_joined(self, id_: str, owned: OwnedRequest) -> None:
        """Submit a request that was suspended, if a client of this process waits for it."""
        if owned.has_client:
            self._resume(id_, owned)

    def _resume(self, id_: str, owned: OwnedRequest) -> None:
        if (suspension := self._end_suspension(id_, owned)) is not None:
            suspension.submit()

    def _end_suspension(self, id_: str, owned: OwnedRequest) -> Suspension | None:
        suspension, owned.suspension = owned.suspension, None
        if suspension is not None:
            suspension.timer.cancel()
            self._context.commit_thread.polls.stop_finding_clients(id_)
        return suspension

    def end_suspended(self, id_: str, owned: OwnedRequest, verdict: Verdict, reason: str) -> None:
        """Record the end of a request, if it is suspended."""
        if (suspension := self._end_suspension(id_, owned)) is not None:
            count = suspension.earlier_attempts
            answer = Answer(verdict, may_have_run=count > 0, attempts=count)
            self._recorder.record(id_, owned, answer, reason)

    def _expire(self, id_: str, owned: OwnedRequest) -> None:
        if self._context.owned_requests.get(id_) is owned and owned.is_suspended:
            self._context.member.counters.expired += 1
            self.end_suspended(id_, owned, Verdict.FAILED, NO_CLIENT_CAME_BACK)

    def give_up(self, id_: str, owned: OwnedRequest) -> None:
        """End the suspension of a request that a successor owns from now on."""
        self._end_suspension(id_, owned)
