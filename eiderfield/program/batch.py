"""The program's part for batch jobs: keeps the process while clients have to fetch the ends of jobs."""

from __future__ import annotations

from eiderfield.batch.drain import JobDrain
from eiderfield.net.clients import Listener
from eiderfield.program.core import Core
from eiderfield.program.part import DrainTimes, Part


class BatchJobs(Part):
    """The batch jobs of a process."""

    def __init__(self, drain: JobDrain, listener: Listener, core: Core) -> None:
        """`listener` is that of batch clients."""
        self._drain = drain
        self._listener = listener
        self._core = core

    def drain(self, times: DrainTimes) -> None:
        """Let clients fetch the ends of their jobs; all jobs end in time for that."""
        end_at = self._drain.begin(self._core.clock(), times.answered_by)
        self._core.driver.wheel.call_at(end_at, self._drain.end_unfinished)

    @property
    def busy(self) -> bool:
        """Whether ends of jobs are to be fetched."""
        return self._drain.is_owed(self._core.clock())

    def keeps(self, listener: Listener) -> bool:
        """Return whether a listener and its connections have to stay open for the jobs."""
        return listener is self._listener and self.busy
