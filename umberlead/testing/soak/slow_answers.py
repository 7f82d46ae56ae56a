"""Sound answers that a chunk server sends slowly: in pieces, or the body later than the head. No I/O."""

import random
from dataclasses import dataclass, field

from umberlead.resource_limits import MAX_BODY_BYTES

SIZES_BYTES = (3_000, 30_000, 110_000, 220_000)  # two of them are long
MAX_PIECES = 5
FRAMINGS = ("length", "chunked", "close")
LONG_SIZES_BYTES = (70_000, 220_000)  # least and largest of an answer in lumps
LUMPS_COUNT = 3
LUMP_PAUSE_SECONDS = (0.5, 1.4)  # least and longest, whatever the request's time


@dataclass(slots=True)
class SlowAnswer:
    """An answer, as it is sent.

    Attributes:
        head: status line and header fields.
        pieces: pieces of the body in their framing, each after a pause in seconds.
        closes: whether the end of the connection delimits the body.
        may_be_long: whether its head leaves open that the body is longer than `MAX_BODY_BYTES`, or says so.
    """

    head: bytes
    pieces: list[tuple[float, bytes]] = field(default_factory=list)
    closes: bool = False
    may_be_long: bool = False


def slow_answer(chance: random.Random, request_id: str, seconds: float) -> SlowAnswer:
    """Return an answer that begins with `request_id` and takes `seconds` from its head to its last byte."""
    framing = chance.choice(FRAMINGS)
    size_bytes = chance.choice(SIZES_BYTES)
    count = chance.choice((1, MAX_PIECES))  # a single piece is a late body
    return _in_pieces(request_id, framing, size_bytes, [seconds / count] * count)


def answer_in_lumps(chance: random.Random, request_id: str) -> SlowAnswer:
    """Return a long answer that begins with `request_id`, in lumps far apart, whatever its request's time."""
    framing = chance.choice(FRAMINGS)
    size_bytes = chance.randint(*LONG_SIZES_BYTES)
    pauses = [chance.uniform(*LUMP_PAUSE_SECONDS) for _ in range(LUMPS_COUNT)]
    if chance.random() < 0.5:
        pauses[0] = 0.0  # the first lump comes with the head
    return _in_pieces(request_id, framing, size_bytes, pauses)


def _in_pieces(request_id: str, framing: str, size_bytes: int, pauses: list[float]) -> SlowAnswer:
    """Return an answer of about equal pieces, each after its pause in seconds."""
    body = request_id.encode().ljust(size_bytes, b".")
    fields = {
        "length": b"Content-Length: %d" % size_bytes,
        "chunked": b"Transfer-Encoding: chunked",
        "close": b"Connection: close",
    }
    answer = SlowAnswer(
        b"HTTP/1.1 200 OK\r\n%s\r\n\r\n" % fields[framing],
        closes=framing == "close",
        may_be_long=framing != "length" or size_bytes > MAX_BODY_BYTES,
    )
    piece_bytes = -(-size_bytes // len(pauses))
    for number, pause_seconds in enumerate(pauses):
        piece = body[number * piece_bytes : (number + 1) * piece_bytes]
        framed = b"%x\r\n%s\r\n" % (len(piece), piece) if framing == "chunked" else piece
        answer.pieces.append((pause_seconds, framed))
    if framing == "chunked":
        answer.pieces.append((0.0, b"0\r\n\r\n"))
    return answer
