"""Runners for blocking file operations: in the calling thread, or in a thread of its own."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Protocol, TypeVar

T = TypeVar("T")


class OperationRunner(Protocol):
    """Runs blocking operations."""

    def __call__(self, operation: Callable[[], T], on_done: Callable[[T | OSError], None]) -> None:
        """Run an operation, then pass its result, or the `OSError` that it raised, to `on_done`."""


def run_inline(operation: Callable[[], T], on_done: Callable[[T | OSError], None]) -> None:
    """Run an operation at once in the calling thread."""
    on_done(result_of(operation))


def thread_runner(call_in_loop: Callable[[Callable[[], None]], object], thread_name: str) -> OperationRunner:
    """Return a runner that starts a thread for each operation and calls `on_done` through `call_in_loop`."""

    def run(operation: Callable[[], T], on_done: Callable[[T | OSError], None]) -> None:
        def target() -> None:
            result = result_of(operation)
            call_in_loop(lambda: on_done(result))

        threading.Thread(target=target, name=thread_name, daemon=True).start()

    return run


def result_of(operation: Callable[[], T]) -> T | OSError:
    """Return the result of an operation, or the `OSError` that it raises."""
    try:
        return operation()
    except OSError as error:
        return error
