"""Typed messages over the link to the other process."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from eiderfield.net.handover.codec import Codec
from eiderfield.net.handover.messages import Message
from eiderfield.net.link import Link, close_all


class Channel:
    """The link to the other process, if there is one.

    Descriptors that come with a message and are still in its list when `receive` returns are closed."""

    def __init__(self, new_codec: Callable[[], Codec], log: Callable[[str], None]) -> None:
        """`new_codec` makes the codec of each new link."""
        self.receive: Callable[[Message, list[int]], None] = lambda message, descriptors: None
        self.lost: Callable[[], None] = lambda: None  # the link is gone, or of no use
        self._new_codec = new_codec
        self._codec = new_codec()
        self._log = log
        self._link: Link | None = None

    @property
    def connected(self) -> bool:
        """Whether there is a link."""
        return self._link is not None

    @property
    def flushed(self) -> bool:
        """Whether all that was sent has left."""
        return self._link is None or self._link.flushed

    def attach(self, link: Link) -> None:
        """Talks over a link from now on."""
        self._codec = self._new_codec()
        self._link = link
        link.receive = self.receive_fields
        link.lost = self.end

    def send(self, message: Message, descriptors: Sequence[int] = ()) -> None:
        """Sends a message with copies of descriptors; raises `OSError` if there is no room for these."""
        if self._link is not None:
            self._link.send(self._codec.encode(message), descriptors)

    def receive_fields(self, fields: dict[str, Any], descriptors: list[int]) -> None:
        """Takes a message as the link brings it. Who cannot be understood is no peer."""
        try:
            self.receive(self._codec.decode(fields), descriptors)
        except (KeyError, TypeError, ValueError, AttributeError, OSError) as error:
            self._log(f"what the other process says cannot be read: {error!r}")
            self.end()
        finally:
            close_all(descriptors)

    def close(self) -> None:
        """Ends the link; nothing is reported after that."""
        if self._link is not None:
            self._link.close()
            self._link = None

    def end(self) -> None:
        """Ends a link that is of no use any more."""
        if self._link is not None:
            self.close()
            self.lost()
