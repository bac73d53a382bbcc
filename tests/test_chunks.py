"""Test the decoder of chunked bodies."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from snipecart.core.buffers import SegmentedBuffer
from snipecart.core.chunks import MAX_LINE_BYTES
from snipecart.core.chunks import MAX_TRAILER_LINES
from snipecart.core.chunks import ChunkDecoder
from snipecart.core.chunks import ChunksMalformed
from snipecart.core.chunks import _parse_digits

END = b"0\r\n\r\n"


def decode(pieces):
    """Return the body in the pieces, and the bytes that follow it."""
    decoder, body, rest = ChunkDecoder(), SegmentedBuffer(), b""
    for piece in pieces:
        rest += piece[decoder.feed(piece, body) :]
    return (body.join() if decoder.done else None), rest


def split(data, cuts):
    edges = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    return [data[a:b] for a, b in zip(edges, edges[1:], strict=False)]


@given(
    st.lists(st.binary(min_size=1, max_size=40), max_size=8),
    st.lists(st.integers(0, 10_000), max_size=8),
    st.binary(max_size=6),
)
def test_a_body_is_decoded_in_whatever_pieces_it_arrives(chunks, cuts, rest):
    encoded = b"".join(b"%x;a=b\r\n%s\r\n" % (len(item), item) for item in chunks)
    data = encoded + b"0\r\nTrailer: 1\r\n\r\n" + rest
    assert decode(split(data, cuts)) == (b"".join(chunks), rest)


@pytest.mark.parametrize(
    "data",
    [
        b"-5\r\nwhole",
        b"+5\r\nwhole\r\n" + END,
        b"0x5\r\nwhole\r\n" + END,
        b"1_0\r\n" + b"x" * 16 + b"\r\n" + END,
        b"\r\n",
        b"f" * 400 + b"\r\n",
        b"5\nwhole\r\n" + END,
        b"5\r\nwholeX\r\n" + END,
        b"1" * (MAX_LINE_BYTES + 1),
        b"5\r\nwhole\r\n5;" + b"a" * MAX_LINE_BYTES + b"\r\nwhole\r\n" + END,
        b"0\r\n" + b"A: b\r\n" * (MAX_TRAILER_LINES + 1),
    ],
)
@pytest.mark.parametrize("whole", [True, False])
def test_malformed_chunks_are_refused(data, whole):
    with pytest.raises(ChunksMalformed):
        decode([data] if whole else split(data, range(len(data))))


def test_no_line_of_a_body_is_kept_after_it():
    before = _parse_digits.cache_info().currsize
    for number in range(50):
        decode([b"5;%d" % number + b"a" * 4_000 + b"\r\nwhole\r\n" + END])
    assert _parse_digits.cache_info().currsize <= before + 2


def test_a_body_that_is_cut_short_is_not_complete():
    assert decode([b"5\r\nwho"])[0] is None
