"""Reading of a JSON array in pieces."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from eiderfield.net.discovery import json_array
from eiderfield.net.discovery.json_array import MAX_ELEMENT_CHARS, JsonArrayError, JsonArrayReader

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=3), inner, max_size=3),
    max_leaves=8,
)


def read(pieces):
    reader = JsonArrayReader()
    elements = [element for piece in pieces for element in reader.feed(piece)]
    return elements + reader.finish()


@given(st.lists(VALUES, max_size=5), st.integers(1, 40), st.sampled_from([None, 1]), st.booleans())
def test_array_in_pieces_of_any_size_is_read_as_a_whole(values, size, indent, ascii_only):
    data = json.dumps(values, indent=indent, ensure_ascii=ascii_only).encode()
    assert read([data[at : at + size] for at in range(0, len(data), size)]) == values


def test_elements_are_returned_as_soon_as_they_are_complete():
    reader = JsonArrayReader()
    assert reader.feed(b'[{"a": 1}, {"b"') == [{"a": 1}]
    assert reader.feed(b": 2}, 3") == [{"b": 2}]
    assert reader.feed(b"4 ]") == [34]
    assert reader.finish() == []


@pytest.mark.parametrize(
    "text", ["", "{}", "5", "[", "[1", "[1,", "[1,]", "[,1]", "[1 2]", "[1]]", "[1] x", "[nonsense]", '["']
)
def test_text_that_is_no_array_is_rejected(text):
    with pytest.raises(JsonArrayError):
        read([text.encode()])


def test_bytes_that_are_not_utf_8_are_rejected():
    with pytest.raises(UnicodeDecodeError):
        read([b'["\xff"]'])


def test_element_without_end_is_rejected_at_the_limit_of_its_length():
    pieces = [b'["', *[b"x" * 1000] * (3 * MAX_ELEMENT_CHARS // 1000)]
    with pytest.raises(JsonArrayError, match="too long"):
        read(pieces)


# Regression: decoding an incomplete element again with each piece takes quadratic time.
def test_incomplete_element_is_decoded_again_only_when_its_text_has_doubled(monkeypatch):
    attempts = []

    class CountingDecoder(json.JSONDecoder):
        def raw_decode(self, text, position=0):
            attempts.append(position)
            return super().raw_decode(text, position)

    monkeypatch.setattr(json_array.json, "JSONDecoder", CountingDecoder)
    element = "x" * (MAX_ELEMENT_CHARS // 2)
    text = f'["{element}"]'.encode()
    assert read([text[at : at + 1] for at in range(len(text))]) == [element]
    assert len(attempts) < 25
