"""HTTP/1.1 messages: an incremental parser that performs no I/O, and an encoder of complete messages."""

from eiderfield.net.http.head import MAX_HEAD_BYTES
from eiderfield.net.http.message import END, End, Head, MalformedMessageError
from eiderfield.net.http.parser import MAX_BODY_BYTES, Parser
from eiderfield.net.http.writer import request_bytes, response_bytes

__all__ = [
    "END",
    "MAX_BODY_BYTES",
    "MAX_HEAD_BYTES",
    "End",
    "Head",
    "MalformedMessageError",
    "Parser",
    "request_bytes",
    "response_bytes",
]
