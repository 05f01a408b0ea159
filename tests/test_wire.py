"""The codec of the simulator's wire, against the byte strings of its description."""

import struct

import pytest
from support.wire_messages import TABLE

from eiderfield import wire
from eiderfield.interface import (
    AttemptEnded,
    AttemptProgressed,
    CancelAttempt,
    ClientDisconnected,
    CloseIdleConnections,
    EndpointListKind,
    EndpointState,
    EndpointsUpdated,
    FailRequest,
    FetchEndpoints,
    LogMessage,
    PeerReportReceived,
    ProbeCompleted,
    ProbeWorker,
    ProgressKind,
    RejectRequest,
    RequestReceived,
    SendPeerReport,
    SetTimer,
    StartAttempt,
    StreamStarted,
    TimerFired,
    WatchEndpoints,
)

REQUEST, WORKER = 0x7C755D7A91C4, 0x03124A07


def decode(*hexes):
    """Return the records of a frame with their nodes."""
    return list(wire.Decoder().decode(bytes.fromhex("".join(hexes)), len(hexes)))


REQUEST_RECORD = (
    "02 0300 c4917a5d757c0000 00 0000 {key} 0000000020e6c040 0000000000002840 00000040 0000c03f {flags}"
)


@pytest.mark.parametrize(
    ("text", "event"),
    [
        (
            REQUEST_RECORD.format(key="640ad2557c3bf091", flags="01"),
            RequestReceived(REQUEST, 0, 8652.25, 0, 0x91F03B7C55D20A64, 12.0, 2.0, 1.5, False),
        ),
        (
            REQUEST_RECORD.format(key="0000000000000000", flags="00"),
            RequestReceived(REQUEST, 0, 8652.25, 0, 0, 0.0, 2.0, 1.5, False),
        ),
        (
            REQUEST_RECORD.format(key="0000000000000000", flags="02"),
            RequestReceived(REQUEST, 0, 8652.25, 0, 0, 0.0, 2.0, 1.5, True),
        ),
        ("03 0300 c4917a5d757c0000 0000 074a1203 0000000000802240", StreamStarted(REQUEST, 0, WORKER, 9.25)),
        (
            "0b 0300 c4917a5d757c0000 0000 074a1203 01 0000003f",
            AttemptProgressed(REQUEST, 0, WORKER, ProgressKind.STARTED, 0.5),
        ),
        (
            "04 0300 c4917a5d757c0000 074a1203 c800 00 0000000000803240 0000 01 02 0000003f 0000a03f",
            AttemptEnded(REQUEST, 0, WORKER, 200, 18.5, True, 0, (0.5, 1.25)),
        ),
        (
            "04 0300 c4917a5d757c0000 074a1203 9801 00 0000000000803240 0100 00 00",
            AttemptEnded(REQUEST, 1, WORKER, 408, 18.5, False, 0, ()),
        ),
        ("05 0300 c4917a5d757c0000", ClientDisconnected(REQUEST)),
        ("06 0300 4d00000000000000", TimerFired(77)),
        ("07 0300 074a1203 c800 0000000000803240 00", ProbeCompleted(WORKER, 200, 18.5, ())),
        ("08 0300 0200 0400 68692037", PeerReportReceived(2, b"hi 7")),
    ],
)
def test_an_event_is_decoded_from_its_record(text, event):
    assert decode(text) == [(3, event)]


def test_an_endpoint_table_that_is_sent_again_replaces_the_earlier_one():
    changed = TABLE.replace("02 0000803f", "01 0000803f")
    update = "01 0300 00 2900000000000000 00000000"
    first, second = decode(TABLE, update, changed, update)
    assert first[1].kind is EndpointListKind.DELTA
    assert first[1].version == 41
    assert [e.state for e in first[1].endpoints] == [EndpointState.READY, EndpointState.READY]
    assert [e.state for e in second[1].endpoints] == [EndpointState.DRAINING, EndpointState.READY]
    assert first[1].endpoints[1].zone == 1
    assert first[1].endpoints[1].weight == 1.5


def test_a_failed_endpoint_list_needs_no_table():
    assert decode("01 0300 03 2900000000000000 09000000") == [
        (3, EndpointsUpdated(EndpointListKind.FAILED, 41, ()))
    ]


def test_create_and_retire_are_decoded_with_their_node():
    (node, create), (_, retire) = decode("00 0300 0700000000000000 02000000 613d", "09 0300")
    assert (node, create.seed, create.text) == (3, 7, "a=")
    assert isinstance(retire, wire.Retire)


@pytest.mark.parametrize(
    ("hexes", "message"),
    [
        (["06 0300 4d"], "cut short"),
        (["2a 0300"], "unknown event code 42"),
        (["01 0300 00 2900000000000000 05000000"], "table 5 was never sent"),
        (["01 0300 07 2900000000000000 05000000"], "unknown list kind 7"),
        (["0a 00000000 02000000 074a1203"], "cut short"),
        (["05 0300 0000000000000000 ff"], "left over"),
        (["08 0300 0200 0400 6869"], "cut short"),
        (["04 0300 c4917a5d757c0000 074a1203 c800 00 0000000000803240 0000 01 02 0000003f"], "cut short"),
    ],
)
def test_a_malformed_frame_raises_an_error_that_names_what_and_where(hexes, message):
    with pytest.raises(wire.WireError, match=f"{message}.*frame byte|{message}"):
        decode(*hexes)


@pytest.mark.parametrize(
    ("action", "text"),
    [
        (StartAttempt(REQUEST, WORKER, 80.0), "06 0300 c4917a5d757c0000 074a1203 0000000000005440"),
        (SetTimer(8656.25, 77), "07 0300 0000000020e8c040 4d00000000000000"),
        (CancelAttempt(REQUEST, 0), "01 0300 c4917a5d757c0000 0000"),
        (RejectRequest(REQUEST, 251.0), "08 0300 c4917a5d757c0000 0000000000606f40"),
        (FailRequest(REQUEST), "0b 0300 c4917a5d757c0000"),
        (ProbeWorker(WORKER), "05 0300 074a1203"),
        (CloseIdleConnections(WORKER), "00 0300 074a1203"),
        (SendPeerReport(-1, b"hi 7"), "0a 0300 ffff 0400 68692037"),
        (SendPeerReport(2, b""), "0a 0300 0200 0000"),
        (WatchEndpoints(True), "04 0300 01"),
        (FetchEndpoints(), "03 0300"),
        (LogMessage("two servers known"), "02 0300 1100 74776f2073657276657273206b6e6f776e"),
    ],
)
def test_an_action_is_encoded_as_its_record(action, text):
    assert wire.encode(3, action) == bytes.fromhex(text)


@pytest.mark.parametrize(
    ("records", "reply"),
    [([], struct.pack("<II", 0, 8)), ([b"ab", b"c"], struct.pack("<II", 2, 11) + b"abc")],
    ids=["no record", "two records"],
)
def test_a_reply_counts_its_records_and_bytes(records, reply):
    assert wire.encode_reply(records) == reply
