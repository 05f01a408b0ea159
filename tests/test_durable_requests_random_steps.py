"""Random steps of three members against a model of what each request may do."""

from __future__ import annotations

from pathlib import Path

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from support.durable_members import LEASE, SERVED, Host, apply_one, attempt_record, record

from eiderfield.durable_requests.messages import (
    Accept,
    AlreadyFinal,
    Claim,
    Claimed,
    Finish,
    ReleaseClaim,
    Written,
)
from eiderfield.exchange.request import Answer, Verdict


class RandomSteps(RuleBasedStateMachine):
    """Random steps of three members, checked against the claims and answers of each request."""

    @initialize()
    def begin(self):
        from tempfile import mkdtemp

        self.host = Host(Path(mkdtemp()))
        self.members = [self.host.member(name) for name in "abc"]
        self.stopped = set()
        self.claims, self.answers, self.told = {}, {}, {}

    def member(self, number):
        return self.members[number]

    @rule(number=st.integers(0, 2), job=st.integers(0, 3))
    def submit(self, number, job):
        outcome = apply_one(self.member(number), Accept(record(f"j{job}")))
        if isinstance(outcome, AlreadyFinal):
            assert self.answers[f"j{job}"] == outcome.record.answer

    @rule(number=st.integers(0, 2), job=st.integers(0, 3))
    def claim_and_send(self, number, job):
        """Claim an attempt, which counts as sent, unless the request has an attempt already."""
        member, id_ = self.member(number), f"j{job}"
        own_record = member.open_records.get(id_)
        if (
            own_record is not None
            and not own_record.attempts
            and isinstance(apply_one(member, Claim(id_, attempt_record())), Claimed)
        ):
            assert id_ not in self.claims, "sent twice"
            self.claims[id_] = member.incarnation_name

    @rule(number=st.integers(0, 2), job=st.integers(0, 3), kind=st.sampled_from(["served", "failed"]))
    def answer(self, number, job, kind):
        id_ = f"j{job}"
        answer = SERVED if kind == "served" else Answer(Verdict.FAILED, may_have_run=True)
        if apply_one(self.member(number), Finish(id_, answer)) == Written():
            assert self.answers.setdefault(id_, answer) == answer, "answered twice"

    @rule(number=st.integers(0, 2))
    def release_claims(self, number):
        member = self.member(number)
        for id_ in list(member.open_records):
            if (
                self.claims.get(id_) == member.incarnation_name
                and apply_one(member, ReleaseClaim(id_, 0)) == Written()
            ):
                del self.claims[id_]

    @rule(number=st.integers(0, 2))
    def stop_until_fenced(self, number):
        self.stopped.add(number)
        self.host.live(2.5 * LEASE, *[m for n, m in enumerate(self.members) if n not in self.stopped])

    @precondition(lambda self: self.stopped)
    @rule()
    def resume(self):
        self.members[self.stopped.pop()].tick()

    @rule()
    def take_over(self):
        for number, member in enumerate(self.members):
            if number not in self.stopped:
                member.tick()
                for each in member.take_over():
                    assert each.id not in self.answers, "an answered request was taken over"
                    assert (each.id in self.claims) == bool(each.attempts), (
                        "the attempts of a taken-over request were lost"
                    )

    @invariant()
    def at_most_one_owner(self):
        for job in range(4):
            alive = [
                m
                for m in self.members
                if m.incarnation_name and not m.folder.fences.exists(m.incarnation_name)
            ]
            owners = [m.incarnation_name for m in alive if f"j{job}" in m.open_records]
            assert len(owners) <= 1

    def teardown(self):
        import shutil

        for member in getattr(self, "members", ()):
            member.close()
        if hasattr(self, "host"):
            shutil.rmtree(self.host.settings.folder.parent)


TestRandomSteps = RandomSteps.TestCase


TestRandomSteps.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None, database=None
)
