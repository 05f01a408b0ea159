"""The parts of a message that a parser hands out, and the error for input that breaks the protocol."""

from __future__ import annotations

from dataclasses import dataclass, field

from eiderfield.errors import EiderfieldError
from eiderfield.net.http.status import BAD_REQUEST


class MalformedMessageError(EiderfieldError, ValueError):
    """Input that breaks the protocol, with the status that says so."""

    def __init__(self, text: str, status: int = BAD_REQUEST) -> None:
        """`text` says what is wrong, for the other side and for the log."""
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Head:
    """A start line and headers. `method` and `target` are empty in an answer, `status` is 0 in a request."""

    method: str = ""
    target: str = ""
    status: int = 0
    version: int = 1  # the minor version: HTTP/1.1 or HTTP/1.0
    headers: dict[str, str] = field(default_factory=dict)  # by name in lower case

    def get(self, name: str) -> str:
        """A header's value, empty if there is none."""
        return self.headers.get(name, "")

    @property
    def keeps(self) -> bool:
        """Whether the connection stays usable after this message."""
        words = [word.strip().lower() for word in self.get("connection").split(",")]
        return "close" not in words and (self.version == 1 or "keep-alive" in words)


class End:
    """The end of a message."""

    __slots__ = ()


END = End()
