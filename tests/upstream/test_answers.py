"""Test with mutated byte streams that only whole own answers are accepted."""

from __future__ import annotations

from enum import Enum

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from urllib3.connection import HTTPConnection

from snipecart.core.ids import Instant
from snipecart.core.memory import unlimited_reservation
from snipecart.core.task import monotonic
from snipecart.upstream.answers import EXCHANGE_ERRORS
from snipecart.upstream.answers import ExpectedAnswer
from snipecart.upstream.answers import read_answer
from snipecart.upstream.connection import Connection
from snipecart.upstream.reader import KeepAliveSocket
from snipecart.upstream.reader import ReadLimits
from snipecart.upstream.requests import BackendRequest
from snipecart.upstream.requests import write_request

HEAD_BYTES, BODY_BYTES = 4_096, 65_536
OWN_BODY = b"the own answer"


class StreamEnd(Enum):
    """List what happens after the last byte of a stream."""

    CLOSE = "close"
    RESET = "reset"
    SILENCE = "silence"


class StreamSocket:
    """Return the pieces of a stream, then close, reset or stay silent."""

    def __init__(self, pieces, end):
        self.pieces, self.end = [piece for piece in pieces if piece], end
        self.timeout = None

    def settimeout(self, timeout):
        """Store the timeout, which must be positive."""
        assert timeout > 0
        self.timeout = timeout

    def sendall(self, data):
        """Accept all data."""

    def recv(self, size):
        """Return the next piece."""
        if self.pieces:
            piece = self.pieces.pop(0)
            if len(piece) > size:
                self.pieces.insert(0, piece[size:])
            return piece[:size]
        if self.end is StreamEnd.CLOSE:
            return b""
        raise ConnectionResetError if self.end is StreamEnd.RESET else TimeoutError

    def close(self):
        """Do nothing."""


def read(pieces, end, *, reused=False):
    """Return the answer read from a stream; None if it ends with an error."""
    sock = KeepAliveSocket(StreamSocket(pieces, end))
    conn = Connection(HTTPConnection("127.0.0.1", 1), sock, reused=reused)
    reservation = unlimited_reservation()
    limits = ReadLimits(
        Instant(monotonic() + 60.0), HEAD_BYTES, BODY_BYTES, reservation
    )
    req = BackendRequest("GET", "/", (("Host", "h"),), b"")
    write_request(conn, req, limits)
    try:
        answer, _ = read_answer(conn, ExpectedAnswer("GET", "r1", "Id"), limits, True)
    except EXCHANGE_ERRORS:
        return None
    finally:
        assert reservation.reserved <= BODY_BYTES
    return answer


@st.composite
def framed(draw, status, id_line, body):
    """Return an answer with a length or in chunks."""
    head = b"HTTP/1.1 %d Some\r\n%s" % (status, id_line)
    if draw(st.booleans()):
        return head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
    at = draw(st.integers(1, max(1, len(body) - 1)))
    chunks = b"".join(
        b"%x\r\n%s\r\n" % (len(part), part) for part in (body[:at], body[at:]) if part
    )
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


OWN = framed(200, b"Id: r1\r\n", OWN_BODY)
FOREIGN = st.one_of(
    framed(200, b"Id: r0\r\n", b"foreign"),
    framed(503, b"Id: r0\r\nNot-Run: 1\r\n", b"foreign"),
    framed(503, b"Not-Run: 1\r\n", b"foreign"),
    framed(200, b"", b"foreign"),
)
INTERIM = st.sampled_from(
    [b"HTTP/1.1 100 Continue\r\n\r\n", b"HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n"]
)
ENDS = st.sampled_from(StreamEnd)


@st.composite
def torn(draw, stream):
    """Return a stream in pieces of any size."""
    cuts = sorted(draw(st.lists(st.integers(0, len(stream)), max_size=8)))
    return [stream[a:b] for a, b in zip([0, *cuts], [*cuts, len(stream)], strict=True)]


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.data(), OWN, ENDS, st.booleans())
def test_a_cut_answer_is_never_taken_for_a_whole_one(data, stream, end, reused):
    cut = data.draw(st.integers(0, len(stream)))
    answer = read(data.draw(torn(stream[:cut])), end, reused=reused)
    if cut == len(stream):
        assert answer.body == OWN_BODY
    else:
        assert answer is None


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.data(),
    st.lists(st.one_of(FOREIGN, INTERIM), max_size=3),
    OWN,
    st.lists(st.one_of(FOREIGN, INTERIM), max_size=2),
    ENDS,
)
def test_answers_to_other_requests_are_never_taken(data, before, own, after, end):
    stream = b"".join([*before, own, *after])
    answer = read(data.draw(torn(stream)), end, reused=True)
    assert answer is None or answer.body == OWN_BODY
    foreign = sum(b"foreign" in item or b"HTTP/1.1 1" not in item for item in before)
    assert (answer is not None) == (foreign <= 1)


@settings(max_examples=500, deadline=None, derandomize=True)
@given(st.data(), st.lists(st.one_of(OWN, FOREIGN, INTERIM), min_size=1), ENDS)
def test_any_bytes_end_with_an_answer_or_a_known_error(data, answers, end):
    stream = bytearray(b"".join(answers))
    for _ in range(data.draw(st.integers(1, 6))):
        at = data.draw(st.integers(0, len(stream)))
        size = data.draw(st.integers(0, 3))
        stream[at : at + size] = data.draw(st.binary(max_size=4))
    read(data.draw(torn(bytes(stream))), end)
