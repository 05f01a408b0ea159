"""Channel for typed messages to the other process of a handover."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from eiderfield.net.handover.codec import Codec
from eiderfield.net.handover.messages import Message
from eiderfield.net.link import Link, close_descriptors


class Channel:
    """Sends and receives messages over a link. Without a link, messages to be sent are dropped.

    Attributes:
        receive: Called with each message and its descriptors. Descriptors that it leaves in the list are
            closed when it returns.
        on_lost: Called when the link is lost, or closed because a message was malformed or not supported.
    """

    def __init__(self, new_codec: Callable[[], Codec], log: Callable[[str], None]) -> None:
        """Create a channel without a link; `new_codec` is called to create the codec of each link."""
        self.receive: Callable[[Message, list[int]], None] = _ignore_message
        self.on_lost: Callable[[], None] = lambda: None
        self._new_codec = new_codec
        self._codec = new_codec()
        self._log = log
        self._link: Link | None = None

    @property
    def connected(self) -> bool:
        """Whether the channel has a link."""
        return self._link is not None

    @property
    def flushed(self) -> bool:
        """Whether no message is waiting in the link's send buffer."""
        return self._link is None or self._link.flushed

    def attach(self, link: Link) -> None:
        """Send and receive over `link` from now on."""
        self._codec = self._new_codec()
        self._link = link
        link.on_message = self.receive_fields
        link.on_lost = self.close_as_lost

    def send(self, message: Message, descriptors: Sequence[int] = ()) -> None:
        """Send a message and duplicates of descriptors; raises `OSError` if they cannot be duplicated."""
        if self._link is not None:
            self._link.send(self._codec.encode(message), descriptors)

    def receive_fields(self, fields: dict[str, Any], descriptors: list[int]) -> None:
        """Decode a message and pass it to `receive`; close the link as lost if either fails."""
        try:
            self.receive(self._codec.decode(fields), descriptors)
        except (KeyError, TypeError, ValueError, AttributeError, OSError) as error:
            self._log(f"handover: message rejected, link closed (error={error!r})")
            self.close_as_lost()
        finally:
            close_descriptors(descriptors)

    def close(self) -> None:
        """Close the link without calling `on_lost`."""
        if self._link is not None:
            self._link.close()
            self._link = None

    def close_as_lost(self) -> None:
        """Close the link and call `on_lost`."""
        if self._link is not None:
            self.close()
            self.on_lost()


def _ignore_message(_message: Message, _descriptors: list[int]) -> None:
    """Drop a message that is received before `Channel.receive` is set."""
