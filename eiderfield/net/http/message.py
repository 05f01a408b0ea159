"""The parts of a message that the parser returns, and the error for input that violates the protocol."""

from __future__ import annotations

from dataclasses import dataclass, field

from eiderfield.errors import EiderfieldError
from eiderfield.net.http.status import BAD_REQUEST


class MalformedMessageError(EiderfieldError, ValueError):
    """Input violates the protocol.

    Attributes:
        status: the status code for the response to it.
    """

    def __init__(self, text: str, status: int = BAD_REQUEST) -> None:
        """Create an error; `text` is sent to the peer and written to the log."""
        super().__init__(text)
        self.status = status


HEADER_OVERHEAD_BYTES = 200  # of the two texts of a header and its place in the table


@dataclass(slots=True)
class Head:
    """A start line and headers.

    Attributes:
        method: empty in a response.
        target: empty in a response.
        status: 0 in a request.
        version: the minor version, of HTTP/1.1 or HTTP/1.0.
        headers: values by name in lower case.
    """

    method: str = ""
    target: str = ""
    status: int = 0
    version: int = 1
    headers: dict[str, str] = field(default_factory=dict)

    def get(self, name: str) -> str:
        """Return a header's value, an empty text if there is none."""
        return self.headers.get(name, "")

    @property
    def memory_bytes(self) -> int:
        """About how many bytes of memory the head takes."""
        texts = len(self.target) + sum([len(name) + len(value) for name, value in self.headers.items()])
        return texts + HEADER_OVERHEAD_BYTES * (1 + len(self.headers))

    @property
    def keep_alive(self) -> bool:
        """Whether the sender keeps the connection open after this message."""
        options = [option.strip().lower() for option in self.get("connection").split(",")]
        return "close" not in options and (self.version == 1 or "keep-alive" in options)


class End:
    """The end of a message."""

    __slots__ = ()


END = End()
