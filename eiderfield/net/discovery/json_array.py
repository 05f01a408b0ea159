"""Reader of a JSON array in pieces, which returns each element as soon as it is complete.

The array is never held as a whole: in lists of thousands of workers, its text and the objects decoded from it
would take several times the memory of what is kept of them.

    start ──"["──> element or end ──(element)──> comma or end ──","──> element
                        └──────────"]"─────────────────┴──────"]"──> end

A piece may end within an element or a character. An incomplete element is decoded again only once the unread
text has doubled, so that the work is proportional to the length of the array. The module performs no I/O.
"""

from __future__ import annotations

import codecs
import json
from enum import Enum, auto

from eiderfield.errors import EiderfieldError

MAX_ELEMENT_CHARS = 256 * 1024  # length of the longest element; an instance of Consul has some 2,000
_WHITESPACE = " \t\r\n"
_SELF_DELIMITED = (dict, list, str)  # types of elements that end with a mark of their own


class JsonArrayError(EiderfieldError, ValueError):
    """The text is not a JSON array, or an element of it is too long."""


class _State(Enum):
    START = auto()
    ELEMENT_OR_END = auto()
    ELEMENT = auto()
    COMMA_OR_END = auto()
    END = auto()


class JsonArrayReader:
    """Decodes one array."""

    def __init__(self) -> None:
        """Create a reader at the start of an array."""
        self._decode_text = codecs.getincrementaldecoder("utf-8")().decode
        self._decode_element = json.JSONDecoder().raw_decode
        self._text = ""
        self._position = 0  # in `_text`; what is before it has been read
        self._state = _State.START
        self._next_attempt_chars = 0  # unread text with which an incomplete element is decoded again

    def feed(self, data: bytes) -> list[object]:
        """Return the elements that are complete with `data`.

        Raises `JsonArrayError`, `UnicodeDecodeError` or, for deeply nested elements, `RecursionError`.
        """
        self._text = self._text[self._position :] + self._decode_text(data)
        self._position = 0
        return self._read(is_whole=False)

    def finish(self) -> list[object]:
        """Return the elements that were left for later; raises as `feed` does, or if the array has no end."""
        self._text = self._text[self._position :] + self._decode_text(b"", True)
        self._position = 0
        elements = self._read(is_whole=True)
        if self._state != _State.END:
            raise JsonArrayError("a list without end")
        return elements

    def _read(self, is_whole: bool) -> list[object]:
        elements: list[object] = []
        while self._skip_whitespace():
            if self._take_separator():
                continue
            if not is_whole and self._unread_chars < self._next_attempt_chars:
                break
            try:
                element, end = self._decode_element(self._text, self._position)
            except json.JSONDecodeError as error:
                self._defer_element(error, is_whole)
                break
            if not is_whole and end == len(self._text) and not isinstance(element, _SELF_DELIMITED):
                break  # the next piece may continue a number
            elements.append(element)
            self._position = end
            self._next_attempt_chars = 0
            self._state = _State.COMMA_OR_END
        return elements

    @property
    def _unread_chars(self) -> int:
        return len(self._text) - self._position

    def _skip_whitespace(self) -> bool:
        """Skip white space; return whether unread text is left."""
        while self._position < len(self._text) and self._text[self._position] in _WHITESPACE:
            self._position += 1
        return self._position < len(self._text)

    def _take_separator(self) -> bool:
        """Take a bracket or a comma; return False if an element has to begin here."""
        mark = self._text[self._position]
        match self._state, mark:
            case _State.START, "[":
                self._state = _State.ELEMENT_OR_END
            case ((_State.ELEMENT_OR_END | _State.COMMA_OR_END), "]"):
                self._state = _State.END
            case _State.COMMA_OR_END, ",":
                self._state = _State.ELEMENT
            case ((_State.ELEMENT_OR_END | _State.ELEMENT), _):
                return False
            case _State.START, _:
                raise JsonArrayError("the answer is not a list")
            case _:
                raise JsonArrayError(f"unexpected {mark!r} in a list")
        self._position += 1
        return True

    def _defer_element(self, error: json.JSONDecodeError, is_whole: bool) -> None:
        """Wait for the rest of an element that cannot be decoded yet; raise if there is none."""
        if is_whole:
            raise JsonArrayError(str(error)) from None
        if self._unread_chars > MAX_ELEMENT_CHARS:
            raise JsonArrayError("an element of a list is too long or malformed")
        self._next_attempt_chars = 2 * self._unread_chars
