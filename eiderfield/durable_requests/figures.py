"""The figures of durable requests that the console shows."""

from __future__ import annotations

from dataclasses import dataclass

from eiderfield.durable_requests.context import Counters


@dataclass(frozen=True, slots=True)
class DurableRequestFigures:
    """The state of one process's durable requests, and its counters since it started."""

    incarnation_name: str  # '' while there is none
    member_count: int
    owned_requests: int
    suspended_requests: int  # of the owned ones, those that wait for a client to come back
    remote_waiters: int
    pending_takeovers: int
    waiting_operations: int
    counters: Counters

    def encode(self) -> dict[str, object]:
        """Return the figures by their names on the console."""
        counters = self.counters
        return {
            "life": self.incarnation_name,
            "members": self.member_count,
            "held": self.owned_requests,
            "suspended": self.suspended_requests,
            "askers_elsewhere": self.remote_waiters,
            "awaiting": self.pending_takeovers,
            "unwritten": self.waiting_operations,
            "accepted": counters.accepted,
            "joined": counters.joined,
            "refused": counters.refused,
            "claims_refused": counters.claims_refused,
            "taken_over": counters.taken_over,
            "expired": counters.expired,
            "fenced": counters.fenced,
            "fences": counters.fences,
            "lost_answers": counters.lost_answers,
            "commits": counters.commits,
            "commits_failed": counters.commits_failed,
            "slowest_commit_ms": round(counters.slowest_commit, 3),
        }
