"""Series of signals to the processes of a front: repeated, in bursts, during start, reload and hand-over."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from umberlead.testing.soak.fleet import FrontProcess
from umberlead.testing.soak.parts import Fleet, Front
from umberlead.testing.soak.plan import Fault, Interval

MAX_GAP_SECONDS = 0.05  # between two signals of a series
BURST_COUNT = 6
MAX_EARLY_SECONDS = 0.5  # latest SIGTERM to a process that is still starting


class SignalSeries:
    """Sends series of signals to fronts of a fleet."""

    def __init__(self, fleet: Fleet) -> None:
        """Send signals to the fronts of `fleet`."""
        self._fleet = fleet
        self.plays: dict[Fault, Callable[[Front, random.Random], Awaitable[None]]] = {
            Fault.FRONT_TERM_TWICE: self._term_twice,
            Fault.FRONT_RELOAD_BURST: self._reload_burst,
            Fault.FRONT_RELOAD_AND_TERM: self._reload_and_term,
            Fault.FRONT_TERM_EARLY: self._term_early,
            Fault.FRONT_TERM_BOTH: self._term_both,
            Fault.FRONT_HANDOVER_TWICE: self._handover_twice,
        }

    async def play(self, front: Front, interval: Interval) -> None:
        """Send the series of `interval.fault`; the interval's variant seeds the gaps."""
        await self.plays[interval.fault](front, random.Random(interval.variant))

    @staticmethod
    async def _gap(chance: random.Random) -> None:
        await asyncio.sleep(chance.uniform(0.0, MAX_GAP_SECONDS))

    def _reload(self, front: Front, process: FrontProcess) -> None:
        """Change the configuration of a front, and make one process reload it."""
        front.uses_other_lists_port = not front.uses_other_lists_port
        self._fleet.configure(front)
        process.signal(signal.SIGHUP)

    async def _end(self, front: Front, process: FrontProcess) -> None:
        await self._fleet.end_process(front, process)

    async def _term_twice(self, front: Front, chance: random.Random) -> None:
        for process in front.live():
            ending = asyncio.create_task(self._end(front, process))
            for _ in range(2):
                await self._gap(chance)
                process.signal(signal.SIGTERM)
            await ending
        await self._fleet.start_process(front)

    async def _reload_burst(self, front: Front, chance: random.Random) -> None:
        for process in front.live():
            for _ in range(BURST_COUNT):
                self._reload(front, process)
                await self._gap(chance)

    async def _reload_and_term(self, front: Front, chance: random.Random) -> None:
        """Reload just before, together with and just after SIGTERM."""
        for process in front.live():
            self._reload(front, process)
            await self._gap(chance)
            ending = asyncio.create_task(self._end(front, process))
            await asyncio.sleep(0)
            self._reload(front, process)
            await self._gap(chance)
            self._reload(front, process)
            await ending
        await self._fleet.start_process(front)

    async def _term_early(self, front: Front, chance: random.Random) -> None:
        """Stop a process before it is ready, either alone or while the front's other processes run."""
        beside = chance.random() < 0.5
        if not beside:
            for process in front.live():
                await self._end(front, process)
        early = await self._fleet.launch_process(front)
        await asyncio.sleep(chance.uniform(0.0, MAX_EARLY_SECONDS))
        await self._end(front, early)
        if not beside:
            await self._fleet.start_process(front)

    async def _term_both(self, front: Front, chance: random.Random) -> None:
        """Send SIGTERM to both processes of a hand-over."""
        await self._fleet.start_process(front)
        ending = []
        for process in front.live():
            ending.append(asyncio.create_task(self._end(front, process)))
            await self._gap(chance)
        await asyncio.gather(*ending)
        await self._fleet.start_process(front)

    async def _handover_twice(self, front: Front, chance: random.Random) -> None:
        """Start a second hand-over while the old process of the first one still ends."""
        ending = []
        for _ in range(2):
            old = front.live()
            await self._fleet.start_process(front)
            ending += [asyncio.create_task(self._end(front, process)) for process in old]
            await self._gap(chance)
        await asyncio.gather(*ending)
