"""The HTTP parser: it does not depend on how input is split, and rejects ambiguous input."""

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from eiderfield.net.http import END, MAX_HEAD_BYTES, Head, MalformedMessageError, Parser

POST = b"POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
CHUNKED = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n1\r\nc\r\n0\r\nT: u\r\n\r\n"
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"


def read(data, cuts=(), is_response=False):
    parser, found, body = Parser(is_response), [], b""
    positions = [0, *sorted(cuts), len(data)]
    for start, end in itertools.pairwise(positions):
        parser.feed(data[start:end])
        while (part := parser.poll()) is not None:
            if isinstance(part, Head):
                found.append((part.method, part.target, part.status, tuple(sorted(part.headers.items()))))
            elif part is END:
                found.append(body)
                body = b""
            else:
                body += part
    return found, parser


@settings(derandomize=True, max_examples=200, deadline=None, database=None)
@given(st.lists(st.integers(0, len(POST + CHUNKED + POST)), max_size=12))
def test_parser_input_cut_anywhere_yields_the_same_messages(cuts):
    data = POST + CHUNKED + POST
    found, parser = read(data, cuts)
    assert found == read(data)[0]
    assert [body for body in found if isinstance(body, bytes)] == [b"abc"] * 3
    assert parser.at_boundary


@settings(derandomize=True, max_examples=300, deadline=None, database=None)
@given(st.integers(0, len(CHUNKED) - 1), st.binary(min_size=1, max_size=6), st.booleans())
def test_parser_damaged_input_is_parsed_or_rejected_with_a_status(at, damage, is_response):
    data = RESPONSE if is_response else CHUNKED
    at = min(at, len(data))
    rejection = None
    try:
        read(data[:at] + damage + data[at + len(damage) :], is_response=is_response)
    except MalformedMessageError as error:
        rejection = error
    assert rejection is None or rejection.status in (400, 413)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding:\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 413),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n", 413),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n", 400),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n", 400),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\nab", 400),
        (b"POST / HTTP/1.1\r\nA : b\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nA: b\nB: c\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nA: b\0\r\n\r\n", 400),
        (b"POST /a b HTTP/1.1\r\n\r\n", 400),
        (b"POST / HTTP/2.0\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nX-Request-Id: a\r\nX-Request-Id: b\r\n\r\n", 400),
        (b"A" * MAX_HEAD_BYTES, 413),
    ],
)
def test_parser_malformed_request_is_rejected(data, status):
    with pytest.raises(MalformedMessageError) as caught:
        read(data)
    assert caught.value.status == status


def test_finish_ends_a_response_without_length_and_rejects_an_incomplete_one():
    found, parser = read(b"HTTP/1.0 200 OK\r\n\r\nabc", is_response=True)
    assert len(found) == 1
    assert parser.finish() is END
    with pytest.raises(MalformedMessageError):
        read(RESPONSE[:-1], is_response=True)[1].finish()
