"""The time that the windows of an object's response have, before and past the request's deadline."""

import asyncio
from unittest import mock

import pytest

from umberlead.configuration import ObjectOperation
from umberlead.frontends.object_api.manifest import BlockRange, Manifest
from umberlead.frontends.object_api.reads import MIN_WINDOW_TIMEOUT_US, ObjectReader, ReadResponse
from umberlead.frontends.object_api.requests import ObjectRequest

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
    lifecycle = mock.Mock(clock=lambda: blocks.now_us)
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
