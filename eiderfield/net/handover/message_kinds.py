"""Kinds of messages in the wire form."""

from __future__ import annotations

from enum import StrEnum


class MessageKind(StrEnum):
    """Value of the field `is` of a message. The values are those of revision 731b84e and must not change."""

    TAKEOVER_REQUEST = "ask"
    TAKEOVER_DELAYED = "wait"
    DISPATCHER_STATE = "state"
    TAKEOVER_ACCEPTED = "taken"
    LISTENERS_RELEASED = "yours"
    LOAD_CHANGED = "news"
    BAN_CHANGED = "ban"
    CONNECTION_PASSED = "client"
    PARKED_BATCH = "parked"
    PARKED_BATCH_RESULT = "got"
    CONNECTIONS_UNPARKED = "departed"
