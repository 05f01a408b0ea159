"""The largest amounts of work that one connection was given in one turn of the loop."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class TurnFigures:
    """Maxima since the start of the process, each taken by itself.

    Attributes:
        messages: complete messages handled in a turn.
        elements: parsed heads, chunks and lines in a turn (`net.http.Parser.elements`).
        milliseconds: time taken by a turn.
    """

    messages: int = 0
    elements: int = 0
    milliseconds: float = 0.0

    def record(self, messages: int, elements: int, milliseconds: float) -> None:
        """Record a turn of a connection."""
        self.messages = max(self.messages, messages)
        self.elements = max(self.elements, elements)
        self.milliseconds = max(self.milliseconds, milliseconds)

    def figures(self) -> dict[str, float]:
        """Return the console's figures."""
        return {
            "messages": self.messages,
            "elements": self.elements,
            "ms": round(self.milliseconds, 1),
        }
