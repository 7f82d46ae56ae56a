"""Idle clients that use up the descriptors of a front.

`python -m umberlead.testing.soak.crowd ADDRESS COUNT SECONDS`.

Half of them send nothing; the others send one health check and then keep the connection idle.
"""

import asyncio
import sys

import uvloop

HEALTH_CHECK = b"GET /healthz HTTP/1.1\r\nHost: s\r\n\r\n"
HEALTH_CHECK_EVERY = 2  # one of this many clients sends a health check
DIAL_SECONDS = 2.0
RECONNECT_SECONDS = 0.1  # after a front closed a connection


async def _hold_connection(host: str, port: int, sends_health_check: bool, until: float) -> None:
    """Hold a connection until `until`, and reconnect whenever the front closes it."""
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        try:
            async with asyncio.timeout(DIAL_SECONDS):
                reader, writer = await asyncio.open_connection(host, port)
        except (OSError, TimeoutError):
            await asyncio.sleep(RECONNECT_SECONDS)
            continue
        if sends_health_check:
            writer.write(HEALTH_CHECK)
        try:
            async with asyncio.timeout_at(until):
                while await reader.read(4096):
                    pass
        except (OSError, TimeoutError):
            pass
        writer.transport.abort()
        await asyncio.sleep(RECONNECT_SECONDS)


async def run(address: str, count: int, seconds: float) -> None:
    """Hold `count` idle connections for `seconds`."""
    host, _, port = address.partition(":")
    until = asyncio.get_running_loop().time() + seconds
    await asyncio.gather(
        *(
            _hold_connection(host, int(port), number % HEALTH_CHECK_EVERY == 0, until)
            for number in range(count)
        )
    )


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run(sys.argv[1], int(sys.argv[2]), float(sys.argv[3])))
