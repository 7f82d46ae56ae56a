"""The time that the windows of an object's response have, before and past the request's deadline."""

import asyncio
from unittest import mock

import pytest

from umberlead.common.timer_wheel import TimerWheel
from umberlead.configuration import ObjectOperation
from umberlead.frontends.object_api.manifest import BlockRange, Manifest
from umberlead.frontends.object_api.reads import MIN_WINDOW_TIMEOUT_US, ObjectReader, ReadResponse
from umberlead.frontends.object_api.requests import ObjectRequest
from umberlead.frontends.object_api.stall_watch import LATE_ANSWER_GRACE_US, StallWatch

SECOND_US = 1_000_000
SIZE_BYTES = 8000
BLOCK_BYTES = 1000
BUFFERED_BLOCKS = 4


class SlowBlocks:
    """Reads each block in `step_us`, and records until when it may take."""

    def __init__(self, step_us: int) -> None:
        self.step_us = step_us
        self.now_us = 0
        self.limits: list[tuple[int, int]] = []  # when each read began and until when it may take

    async def read_range(
        self, request: ObjectRequest, operation: ObjectOperation, block_range: BlockRange, deadline_us: int
    ) -> bytes:
        self.limits.append((self.now_us, deadline_us))
        self.now_us += self.step_us
        return bytes(BLOCK_BYTES)


async def read_object(blocks: SlowBlocks, budget: bytes | None, is_bulk: bool) -> mock.Mock:
    """Read an object of eight blocks, one after another, and return the client's connection."""
    config = mock.Mock(max_parallel_blocks=1, block_bytes=BLOCK_BYTES)
    config.buffer_bytes = BUFFERED_BLOCKS * BLOCK_BYTES
    config.bulk_threshold_bytes = 0 if is_bulk else SIZE_BYTES
    config.read = ObjectOperation("read", 2 * SECOND_US)
    config.bulk = ObjectOperation("bulk", 6 * SECOND_US)
    clients = mock.Mock(buffered_bytes=0, buffer_limit_bytes=1 << 20)
    classes = {name: mock.Mock(timeout_us=2 * SECOND_US) for name in ("read", "bulk")}
    lifecycle = mock.Mock(clock=lambda: blocks.now_us, classes=classes)
    reader = ObjectReader(config, lifecycle, blocks, clients, mock.Mock())  # type: ignore[arg-type]
    conn = mock.Mock(wait_writable=mock.AsyncMock(return_value=True))
    conn.begin_response.return_value = []
    http_request = mock.Mock(received_us=0, headers={b"x-budget": budget} if budget else {})
    request = ObjectRequest(conn, http_request, "r", "scans", "x", {})
    request.set_timeout(config.read.timeout_us)
    manifest = Manifest(
        bucket="scans",
        key="x",
        size_bytes=SIZE_BYTES,
        etag="e",
        modified_seconds=0,
        block_bytes=BLOCK_BYTES,
        parts=[("n", SIZE_BYTES)],
        headers={},
    )
    await reader._send(request, manifest, ReadResponse(200, [], [(0, SIZE_BYTES)]))
    return conn


# Guards against windows that have a time of their own, so that a stalled read outlasts its client.
@pytest.mark.parametrize(
    ("budget", "is_bulk", "client_us"),
    [(b"1", False, 950_000), (None, False, 2_000_000), (b"1", True, 950_000), (None, True, 6_000_000)],
    ids=["budget", "read", "bulk with budget", "bulk"],
)
@pytest.mark.parametrize("step_us", [1000, 200_000, 450_000])
def test_read_that_has_begun_ends_by_its_clients_time_if_it_stalls(
    budget: bytes | None, is_bulk: bool, client_us: int, step_us: int
) -> None:
    """`client_us` is the client's time, less the 5% of X-Budget that are left to the network."""
    blocks = SlowBlocks(step_us)
    asyncio.run(read_object(blocks, budget, is_bulk))
    limits = blocks.limits[BUFFERED_BLOCKS:]
    in_time = [limit for limit in limits if limit[0] < client_us]
    assert all(end_us <= max(client_us, began_us + MIN_WINDOW_TIMEOUT_US) for began_us, end_us in in_time)


# Guards against a read that is cut off at its client's time though its server sends it.
def test_read_that_progresses_goes_on_past_its_time() -> None:
    blocks = SlowBlocks(450_000)
    conn = asyncio.run(read_object(blocks, b"2", False))
    assert blocks.now_us == 8 * 450_000
    conn.finish_response.assert_called_once()
    assert conn.transport.write.call_count == 8 - BUFFERED_BLOCKS
    past = [limit for limit in blocks.limits if limit[0] > 2 * SECOND_US]
    assert past and all(deadline_us - began_us == 1_900_000 for began_us, deadline_us in past)


class WatchedResponse:
    """A response that has begun, of a client that waits 1 s, on a clock moved by hand."""

    def __init__(self) -> None:
        self.now_us = 0
        self.wheel = TimerWheel(lambda: self.now_us, lambda delay, callback: mock.Mock(), 1000)
        self.attempt = mock.Mock(response_received_us=0)
        self.request = mock.Mock(deadline_us=SECOND_US, last_progress_us=0)
        self.request.open_block_requests = {mock.Mock(attempt=self.attempt)}
        self.stalls = 0
        lifecycle = mock.Mock(clock=lambda: self.now_us, wheel=self.wheel)
        StallWatch(self.request, lifecycle, 2 * SECOND_US, self._stalled).__enter__()

    def _stalled(self) -> None:
        self.stalls += 1

    def advance(self, now_us: int) -> None:
        """Move the clock, and let what the check leaves to the event loop happen."""
        self.now_us = now_us
        self.wheel.fire_due()
        self.now_us += 3000
        self.wheel.fire_due()


# Guards against a stalled read that outlasts its client, and one that is cut off though it progresses.
@pytest.mark.parametrize(
    ("received_us", "stalls"), [(0, 1), (SECOND_US - 1, 1), (SECOND_US, 0), (SECOND_US + 490_000, 0)]
)
def test_response_is_given_up_if_no_byte_comes_in_the_half_second_after_its_time(
    received_us: int, stalls: int
) -> None:
    watched = WatchedResponse()
    watched.attempt.response_received_us = received_us
    watched.advance(SECOND_US + LATE_ANSWER_GRACE_US - 5000)
    assert watched.stalls == 0
    watched.advance(SECOND_US + LATE_ANSWER_GRACE_US)
    assert watched.stalls == stalls


def test_response_that_progresses_past_its_time_may_pause_as_long_as_its_class_may_take() -> None:
    watched = WatchedResponse()
    watched.attempt.response_received_us = 1_400_000
    watched.advance(SECOND_US + LATE_ANSWER_GRACE_US)
    watched.advance(3_390_000)
    watched.attempt.response_received_us = 3_395_000
    watched.advance(3_400_000)
    watched.advance(5_390_000)
    assert watched.stalls == 0
    watched.advance(5_395_000)
    assert watched.stalls == 1


def test_response_whose_client_reads_slowly_has_not_stalled() -> None:
    watched = WatchedResponse()
    watched.request.open_block_requests.clear()
    for now_us in range(SECOND_US + LATE_ANSWER_GRACE_US, 20 * SECOND_US, SECOND_US):
        watched.advance(now_us)
    assert watched.stalls == 0


# Guards against a stall that is found in bytes which the front itself has not read, as it was held up.
def test_bytes_that_came_while_the_front_was_held_up_are_read_before_the_check() -> None:
    watched = WatchedResponse()
    watched.now_us = 5 * SECOND_US
    watched.wheel.fire_due()
    watched.attempt.response_received_us = watched.now_us + 1000
    watched.now_us += 3000
    watched.wheel.fire_due()
    assert watched.stalls == 0
