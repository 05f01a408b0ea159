"""The console of a dispatcher in memory."""

import json

from eiderfield.net.clients import Listener
from eiderfield.net.console import CALL_TIMEOUT_MS, ConsoleFront
from support.memory_dispatcher import Client, InMemoryDispatcher

CALLERS = 4


class Console:
    """A dispatcher with a console."""

    def __init__(self, **more):
        self.dispatcher = InMemoryDispatcher(**more)
        self.ready = True
        dispatcher = self.dispatcher
        front = ConsoleFront(
            dispatcher.exchange, dispatcher.table, dispatcher.clock, lambda: self.ready, self._connections
        )
        self.listener = Listener(
            front, self.dispatcher.wheel, self.dispatcher.clock, CALLERS, CALL_TIMEOUT_MS
        )

    def _connections(self):
        return {"connections": self.dispatcher.listener.figures()}

    def call(self, path, method="GET"):
        """One call's status and body, after which its connection takes nothing more."""
        caller = Client(self.dispatcher, self.listener)
        [(status, _, body)] = caller.ask(method, path)
        assert caller.pipe.ended
        return status, body

    def figures(self):
        status, body = self.call("/-/metrics")
        assert status == 200
        return json.loads(body)
