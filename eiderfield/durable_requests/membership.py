"""One member's part in deciding which incarnations are lost: its heartbeat, its votes and its fences."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from eiderfield.durable_requests.context import Context, Incarnation
from eiderfield.durable_requests.failure_detector import is_lost
from eiderfield.durable_requests.fences import LEFT
from eiderfield.durable_requests.incarnations import IncarnationInfo

PROCESS_GONE = "its process is gone"  # reasons of fences
SILENT = "it is silent"


class Membership:
    """Watches the other incarnations for the current one."""

    def __init__(self, context: Context) -> None:
        """Use the folder of `context`."""
        self._context = context
        self.member_count = 0  # incarnations that were not fenced in the last round

    def renew(self, own: Incarnation) -> None:
        """Write a heartbeat, which renews the lease."""
        before = self._context.now()
        own.heartbeat += 1
        self._context.folder.incarnations.write_heartbeat(own.name, own.heartbeat)
        own.lease.renew(before)

    def alive(self) -> dict[str, IncarnationInfo]:
        """Return the incarnations that are not fenced."""
        folder = self._context.folder
        return folder.incarnations.all(excluding=folder.fences.fenced)

    def count_members(self) -> None:
        """Count the incarnations that are not fenced."""
        self.member_count = len(self.alive())

    def run_round(self, own: Incarnation) -> None:
        """Read the heartbeats of the others, vote against the suspected ones, and fence the lost ones."""
        folder, now = self._context.folder, self._context.now()
        alive = self.alive()
        self.member_count = len(alive)
        exited = folder.incarnations.exited(alive)
        suspects = own.detector.observe(now, folder.incarnations.heartbeats(alive), exited)
        self._vote(own, alive, suspects)
        if own.detector.is_warmed_up(self._context.now()):
            self._fence_lost(own, alive, exited)

    def _vote(self, own: Incarnation, alive: Iterable[str], suspects: set[str]) -> None:
        for name in (suspects ^ own.suspects) & set(alive):
            self._context.folder.fences.vote(name, own.name, name in suspects)
        own.suspects = suspects

    def _fence_lost(self, own: Incarnation, alive: Mapping[str, object], exited: set[str]) -> None:
        fences = self._context.folder.fences
        successors = [name for name in alive if name not in own.suspects]
        for name in sorted(own.suspects & alive.keys()):
            if not is_lost(name, fences.votes(name), alive, own.suspects):
                continue
            reason = PROCESS_GONE if name in exited else SILENT
            self._context.reach_failpoint("fence")
            if fences.create(name, successors, own.name, reason):
                self._context.counters.fences += 1
                self._context.log(
                    f"durable requests: incarnation is lost (name={name} reason={reason} "
                    f"successors={','.join(sorted(successors))})"
                )

    def fence_self(self, own: Incarnation) -> bool:
        """Fence the current incarnation, which makes the others the owners of its requests.

        Returns False if there is no other incarnation.
        """
        successors = [name for name in self.alive() if name not in own.suspects | {own.name}]
        if not successors:
            return False
        self._context.folder.fences.create(own.name, successors, own.name, LEFT)
        return True
