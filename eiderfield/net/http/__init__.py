"""HTTP/1.1 messages: an incremental parser, which does no I/O, and the bytes of whole messages."""

from eiderfield.net.http.head import MAX_HEAD
from eiderfield.net.http.message import END, End, Head, MalformedMessageError
from eiderfield.net.http.parser import MAX_BODY, Parser
from eiderfield.net.http.writer import answer_bytes, request_bytes

__all__ = [
    "END",
    "MAX_BODY",
    "MAX_HEAD",
    "End",
    "Head",
    "MalformedMessageError",
    "Parser",
    "answer_bytes",
    "request_bytes",
]
