"""A zone that failed is used again once its endpoints answer: a whole front on real sockets."""

import asyncio
from pathlib import Path

from tests.build_processes import ROOT, ZONES, Build, gossiping_fronts, until_zone

# A zone stays down for 2.5 s at most (`hold_s`, with jitter), then gets a trial a second (`trial_s`, with
# jitter) until an endpoint answers, and further ones at once: 5 s in all.
MAX_RECOVERY_SECONDS = 4 * 5.0


def test_zone_whose_connections_all_broke_recovers_once_its_endpoints_answer(
    tmp_path: Path,
) -> None:
    """A trial request needs a new connection then. The trial closes its endpoint again as it begins, so the
    send guard bars it once the connection is established, and the zone stays down."""

    async def test() -> None:
        async with gossiping_fronts((Build("present", ROOT),), tmp_path) as (servers, admins):
            for name in ZONES["b"]:
                servers.stop(name)
            await until_zone(admins, "b", ("lost",), 30)
            for name in ZONES["b"]:
                await servers.start(name)
            await until_zone(admins, "b", ("return", "well"), MAX_RECOVERY_SECONDS)

    asyncio.run(test())
