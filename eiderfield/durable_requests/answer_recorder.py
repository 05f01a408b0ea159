"""Records final answers and passes them to the waiters.

States of an answer: recording -> recorded -> passed on. If the system refuses the write, it is tried again
after `RETRY_INTERVAL_MS`. After `MAX_RECORDING_TRIES` refused tries the answer is passed on unrecorded, and
recorded as soon as the system allows it. If another process owns the request by the time of a write, the
answer of that process is the final one and the waiters wait for it.
"""

from __future__ import annotations

from functools import partial

from eiderfield.durable_requests.loop_context import LoopContext
from eiderfield.durable_requests.messages import Finish, NotOwned, NotWritten, Outcome
from eiderfield.durable_requests.owned_requests import OwnedRequest
from eiderfield.durable_requests.remote_waiters import RemoteWaiters
from eiderfield.durable_requests.timing import MAX_RETRY_INTERVAL_MS, RETRY_INTERVAL_MS
from eiderfield.exchange.request import Answer, Verdict

MAX_RECORDING_TRIES = 3  # refused writes of an answer before it is passed on unrecorded


class AnswerRecorder:
    """Records the answers of the requests that this process owns."""

    def __init__(self, context: LoopContext, remote_waiters: RemoteWaiters) -> None:
        """Move waiters to `remote_waiters` when another process owns their request."""
        self._context = context
        self._remote_waiters = remote_waiters

    def record(self, id_: str, owned: OwnedRequest, answer: Answer, reason: str = "") -> None:
        """Record an answer, then pass it to the waiters. `reason` is stored for operators."""
        finish = Finish(id_, answer, reason)
        self._context.commit_thread.write(finish, partial(self._on_outcome, finish, owned))

    def _on_outcome(self, finish: Finish, owned: OwnedRequest, outcome: Outcome) -> None:
        if self._context.owned_requests.get(finish.id) is not owned:
            return
        answer = finish.answer
        if isinstance(outcome, NotWritten):
            owned.recording_tries += 1
            if owned.recording_tries < MAX_RECORDING_TRIES:
                retry = partial(self.record, finish.id, owned, answer, finish.reason)
                self._context.call_after(RETRY_INTERVAL_MS, retry)
                return
            answer = self._unrecorded_answer(finish, outcome)
        del self._context.owned_requests[finish.id]
        if isinstance(outcome, NotOwned):
            self._context.member.counters.lost_answers += 1
            self._remote_waiters.add_all(finish.id, owned.waiters)
            return
        for waiter in owned.waiters:
            waiter.answer(answer)

    def _unrecorded_answer(self, finish: Finish, outcome: NotWritten) -> Answer:
        """Return the answer to pass on in place of one that cannot be recorded, and record that one later.

        A result is passed on unchanged. A rejection becomes a failure: while it is not recorded, it cannot
        promise that submitting the request again is harmless.
        """
        answer = finish.answer
        log = self._context.services.log
        log(f"durable requests: answer not recorded yet, retrying (id={finish.id} reason={outcome.reason})")
        if answer.verdict != Verdict.SERVED:
            answer = Answer(Verdict.FAILED, may_have_run=True, attempts=answer.attempts)
        self._record_later(Finish(finish.id, answer, finish.reason), RETRY_INTERVAL_MS, outcome)
        return answer

    def _record_later(self, finish: Finish, interval: float, outcome: Outcome) -> None:
        """Record an answer that has been passed on, at growing intervals until the system allows it.

        Until it is recorded, a successor would continue the request, and a client that submits the request
        again would wait.
        """
        if isinstance(outcome, NotWritten):
            next_interval = min(2.0 * interval, MAX_RETRY_INTERVAL_MS)
            on_outcome = partial(self._record_later, finish, next_interval)
            write = partial(self._context.commit_thread.write, finish, on_outcome)
            self._context.call_after(interval, write)
