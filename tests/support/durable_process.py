"""A dispatcher in memory with durable requests, whose commit thread runs when the test says so."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

from eiderfield.durable_requests.coordinator import DurableRequestCoordinator
from eiderfield.durable_requests.loop_context import ProcessServices
from eiderfield.durable_requests.settings import DurableRequestSettings
from support.memory_dispatcher import InMemoryDispatcher

LEASE_MS = 600_000.0  # longer than a test takes


class DurableProcess:
    """A dispatcher and its coordinator, on one clock. `run` takes the place of the commit thread."""

    def __init__(
        self,
        folder: Path,
        name: str = "a",
        class_index: int = 0,
        workers: int = 1,
        max_waiting: int = 2000,
        takeovers_per_second: float = 200.0,
        lease_ms: float = LEASE_MS,
        **dispatcher: Any,
    ) -> None:
        self.dispatcher = InMemoryDispatcher(workers=workers, **dispatcher)
        self.settings = DurableRequestSettings(
            folder,
            frozenset({class_index}),
            lease_ms=lease_ms,
            max_waiting_operations=max_waiting,
            takeovers_per_second=takeovers_per_second,
        )
        self.calls: list[Callable[[], None]] = []  # calls of the commit thread for the event loop
        services = ProcessServices(
            exchange=self.dispatcher.exchange,
            ids=self.dispatcher.ids,
            timers=self.dispatcher.wheel,
            clock=self.dispatcher.clock,
            call_in_loop=self.calls.append,
            log=self.dispatcher.logged.append,
            monotonic=self.dispatcher.clock,
        )
        self.coordinator = DurableRequestCoordinator(self.settings, name, services)
        self.coordinator.begin()
        self.coordinator.member.tick()

    def run(self, span: float = 200.0) -> None:
        """Let time pass in steps of 10 ms, and run a turn of the commit thread before each step."""
        commit_thread = self.coordinator.context.commit_thread
        for _ in range(int(span / 10.0)):
            group = commit_thread.next_group()
            commit_thread.run_turn(group, commit_thread.due_leave(group))
            while self.calls:
                self.calls.pop(0)()
            self.dispatcher.settle()
            self.dispatcher.advance(10.0)

    def fence(self, lost: str) -> None:
        """Fence another incarnation, whose requests this process takes over, and run until it has done so."""
        name = self.coordinator.member.incarnation_name
        self.coordinator.member.folder.fences.create(lost, [name], name, "test")
        commit_thread = self.coordinator.context.commit_thread
        commit_thread.member.tick()
        self.run(20.0)

    def close(self) -> None:
        """Close the folder."""
        self.coordinator.member.close()
