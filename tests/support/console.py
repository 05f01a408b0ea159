"""The console of a dispatcher in memory."""

import json
from collections.abc import Mapping
from typing import Any

from eiderfield.net.clients import Listener
from eiderfield.net.console import CALL_TIMEOUT_MS, ConsoleFront
from support.memory_dispatcher import Client, InMemoryDispatcher

CALLERS = 4


class Console:
    """A dispatcher with a console."""

    def __init__(self, **more: Any) -> None:
        self.dispatcher = InMemoryDispatcher(**more)
        self.ready = True
        dispatcher = self.dispatcher
        front = ConsoleFront(
            dispatcher.exchange, dispatcher.table, dispatcher.clock, lambda: self.ready, self._connections
        )
        self.listener = Listener(
            front, self.dispatcher.wheel, self.dispatcher.clock, CALLERS, CALL_TIMEOUT_MS
        )

    def _connections(self) -> Mapping[str, Any]:
        return {"connections": self.dispatcher.listener.figures()}

    def call(self, path: str, method: str = "GET") -> tuple[int, bytes]:
        """One call's status and body, after which its connection takes nothing more."""
        caller = Client(self.dispatcher, self.listener)
        [(status, _, body)] = caller.ask(method, path)
        assert caller.pipe.ended
        return status, body

    def figures(self) -> dict[str, Any]:
        status, body = self.call("/-/metrics")
        assert status == 200
        figures: dict[str, Any] = json.loads(body)
        return figures
