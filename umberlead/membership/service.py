"""Joins watched lists to a front: threads read and save, the loop takes what they bring in one turn.

One thread loads, another writes the snapshot (a slow disk must not hold up a removal). While a load runs,
any number of wakes make one more load."""

import asyncio
import gc
import sys
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from umberlead.common.counters import Counters
from umberlead.membership import snapshot
from umberlead.membership.change_gate import Gate
from umberlead.membership.loading import Loaded, Loader
from umberlead.membership.machine import DIGEST_LEAST, Membership, NotPending, Rules
from umberlead.membership.model import Change, Listing, Member, Problem, Server
from umberlead.membership.name_resolution import Lookup, Resolver, system
from umberlead.membership.watching import Watcher
from umberlead.scheduling.interface import NodeState

SWITCH = 0.0005  # s after which the loading thread gives way to the loop
SAVE_PAUSE = 0.2  # s between two snapshots
SAVE_AGAIN = 5.0  # s until a snapshot that failed is tried again
PATIENCE = 0.25  # s that what may be half written is given before it is complained of
NAMES_SHOWN = 8
LONG = 2000  # servers from which a load is kept from the collector of cycles


@dataclass(frozen=True, slots=True)
class Watched:
    """The configuration's table."""

    main: Path
    snapshot: Path | None = None
    settle: float = 0.01  # s of a burst that are waited for
    poll: float = 0.25  # s between comparisons of signatures
    rules: Rules = Rules()
    gate: Gate | None = None


class Unusable(ValueError):
    """Neither the files nor a snapshot give a list to begin with."""

    def __init__(self, problems: list[Problem], why: str) -> None:
        first = f"{problems[0]}" if problems else why
        more = f" (and {len(problems) - 1} more)" if len(problems) > 1 else ""
        super().__init__(f"{first}{more}" + (f"; {why}" if why and problems else ""))


def _short(names: list[str]) -> str:
    return ",".join(names[:NAMES_SHOWN]) + (
        f",+{len(names) - NAMES_SHOWN}" if len(names) > NAMES_SHOWN else ""
    )


class ListService:
    def __init__(
        self,
        conf: Watched,
        shards: int,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], int],
        counters: Counters,
        log: Any,
        apply: Callable[[Change], None],
        lookup: Lookup = system,
        observer: Callable[[], Any] | None = None,
    ) -> None:
        self.conf, self.loop, self.clock, self.counters, self.log = conf, loop, clock, counters, log
        self.machine = Membership(conf.rules)
        self._apply = apply
        self._loader = Loader(
            conf.main, shards, Resolver(lookup), gate=conf.gate.judge if conf.gate is not None else None
        )
        made = {"observer": observer} if observer is not None else {}
        self._watcher = Watcher(self._woken, log.warning, **made)
        self._thread = ThreadPoolExecutor(1, "list")
        self._saver = ThreadPoolExecutor(1, "list-save")
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._saving: asyncio.Task[None] | None = None
        self._saved = ""  # digest of the list that the snapshot holds
        self._told: tuple[Problem, ...] = ()  # what was last complained of
        self._odd_since: float | None = None
        self._closed = False
        self.loads = 0

    # Start and end

    def begin(self) -> None:
        """The first list, before anything listens. Blocks; `Unusable` where there is none."""
        sys.setswitchinterval(min(sys.getswitchinterval(), SWITCH))
        saved, why = self._restore()
        if saved is not None:
            self._take(self.machine.restore(self.clock(), saved), "snapshot")
        got = self._loader.load(saved)
        self._watcher.follow(got.folders)
        self._judge(got, first=True)
        if self.machine.listing is None:
            self.close()
            raise Unusable(got.verdict.problems, why)
        if self.machine.origin == "snapshot":
            self.counters.add("list_from_snapshot")
            self.log.error("list_from_snapshot", generation=self.machine.generation, **self._blame())

    def _restore(self) -> tuple[Listing | None, str]:
        if self.conf.snapshot is None:
            return None, ""
        try:
            found = snapshot.read(self.conf.snapshot)
        except (snapshot.Damaged, OSError) as fault:
            self.counters.add("list_snapshots_damaged")
            self.log.error("list_snapshot_damaged", path=str(self.conf.snapshot), why=str(fault))
            return None, f"{self.conf.snapshot}: {fault}"
        if found is None:
            return None, ""
        self._saved = found[0].digest
        return found[0], ""

    def open(self) -> None:
        """Watch from here on."""
        self._task = self.loop.create_task(self._run())
        listing = self.machine.listing
        unsaved = listing is not None and listing.digest != self._saved
        if self.conf.snapshot is not None and unsaved and self.machine.origin == "files":
            self._saving = self.loop.create_task(self._save())  # the disk may have been full for a moment

    def close(self) -> None:
        self._closed = True
        self._watcher.close()
        if self.conf.gate is not None:
            self.conf.gate.close()
        for task in (self._task, self._saving):
            if task is not None:
                task.cancel()
        listing = self.machine.listing
        if listing is not None and self.conf.snapshot is not None and listing.digest != self._saved:
            try:
                snapshot.write(self.conf.snapshot, snapshot.dump(listing, self.clock()))
            except OSError as fault:
                self.log.error("list_snapshot_failed", why=str(fault))
        self._thread.shutdown(wait=False, cancel_futures=True)
        self._saver.shutdown(wait=False, cancel_futures=True)
        self._loader.resolver.close()

    # The watch

    def _woken(self) -> None:
        """From the watcher's thread."""
        if not self._closed:
            self.loop.call_soon_threadsafe(self._wake.set)

    def look(self) -> None:
        """Look at the files now, whatever the watch says: SIGHUP."""
        self._wake.set()

    async def _run(self) -> None:
        while not self._closed:
            try:
                await asyncio.wait_for(self._wake.wait(), self.conf.poll)
                await asyncio.sleep(self.conf.settle)  # the rest of a burst
                due = True
            except TimeoutError:
                due = await self.loop.run_in_executor(self._thread, self._loader.poll.differs)
            self._wake.clear()
            if due:
                got = await self.loop.run_in_executor(self._thread, self._load)
                if not self._closed:
                    self._judge(got)
            self._tick()

    def _load(self) -> Loaded:
        """On the loading thread. A collection of cycles there holds the interpreter, and the loop with it, as
        long as it walks what a long list has made: 8 to 60 ms at 20,000 servers. Such a load makes no cycles,
        so none are looked for meanwhile, and what it made is set apart from later collections and goes by
        count. The loop's young cycles of that moment are set apart too: a few objects."""
        listing = self.machine.listing
        if listing is None or len(listing.servers) < LONG or not gc.isenabled():
            got = self._loader.load(listing)
        else:
            gc.disable()
            try:
                got = self._loader.load(listing)
            finally:
                gc.freeze()
                gc.enable()
        self._watcher.follow(got.folders)
        return got

    def _tick(self) -> None:
        self._take(self.machine.tick(self.clock()), "time")

    # What was brought

    def _judge(self, got: Loaded, first: bool = False) -> None:
        self.loads += 1
        self.counters.add("list_loads")
        machine, verdict = self.machine, got.verdict
        if verdict.listing is None:
            machine.refused(verdict.problems)
            self._complain(verdict.passing and not first)
            return
        self._odd_since = None
        before = machine.origin
        change = machine.files(self.clock(), verdict.listing, got.delta, got.base)
        if machine.pending is not None:
            self._complain(False)
            return
        if self._told:
            self._told = ()
            self.log.info("list_sound_again", version=verdict.listing.version)
        elif before == "snapshot" and not change:
            self.log.info("list_files_as_saved", version=verdict.listing.version)
        self._take(change, "files", round(got.took * 1000, 1))

    def _complain(self, passing: bool) -> None:
        """Once for each state of the files; what may be half written is given a moment first."""
        now = time.monotonic()
        if passing:
            if self._odd_since is None:
                self._odd_since = now
            if now - self._odd_since < PATIENCE:
                self.loop.call_later(PATIENCE / 4, self._wake.set)
                return
        told = self.machine.complaint
        if told == self._told:
            return
        self._told = told
        event = "list_held" if self.machine.pending is not None else "list_refused"
        self.counters.add(event)
        self.log.error(event, in_force=self.machine.generation, **self._blame())

    def _blame(self) -> dict[str, Any]:
        told = self.machine.complaint
        made: dict[str, Any] = {}
        if told:
            made = {"code": told[0].code, "at": str(told[0].place), "why": told[0].text}
            if told[0].near:
                made["near"] = told[0].near
            made["problems"] = len(told)
        if self.machine.pending is not None:
            made["confirm"] = self.machine.pending.listing.digest[:DIGEST_LEAST]
        return made

    def _take(self, change: Change, why: str, took: float = 0.0) -> None:
        """In force from this turn on."""
        if not change:
            return
        self._apply(change)
        self.counters.add("list_changes")
        gone = [m.id for m in change.went]
        self.log.info(
            "list_changed", generation=change.generation, by=why, version=self._version(),
            came=_short([m.id for m in change.came]), went=_short(gone),
            changed=_short([m.id for _, m in change.changed]),
            held=_short([m.id for m in self._held(change)]), load_ms=took,
        )  # fmt: skip
        if self.conf.snapshot is not None and self._saving is None and self.machine.origin == "files":
            if self._task is None:  # at the start there is time
                return self._save_first()
            self._saving = self.loop.create_task(self._save())

    @staticmethod
    def _held(change: Change) -> list[Member]:
        return [m for m in (*change.came, *(m for _, m in change.changed)) if m.held]

    def _version(self) -> int:
        return self.machine.listing.version if self.machine.listing else -1

    # The snapshot

    def _save_first(self) -> None:
        listing = self.machine.listing
        assert listing is not None and self.conf.snapshot is not None
        if listing.digest != self._saved:
            try:
                snapshot.write(self.conf.snapshot, snapshot.dump(listing, self.clock()))
                self._saved = listing.digest
            except OSError as fault:
                self._not_saved(fault)

    def _not_saved(self, fault: OSError) -> None:
        self.counters.add("list_snapshots_failed")
        self.log.error("list_snapshot_failed", path=str(self.conf.snapshot), why=str(fault))

    async def _save(self) -> None:
        """The latest list, not each: a burst of changes is a few writes."""
        path = self.conf.snapshot
        assert path is not None
        try:
            while (listing := self.machine.listing) is not None and listing.digest != self._saved:
                now = self.clock()
                try:
                    await self.loop.run_in_executor(self._saver, _write, path, listing, now)
                except OSError as fault:
                    self._not_saved(fault)
                    await asyncio.sleep(SAVE_AGAIN)
                else:
                    self._saved = listing.digest
                    self.counters.add("list_snapshots_saved")
                    await asyncio.sleep(SAVE_PAUSE)
        finally:
            self._saving = None

    # From the front and its door

    def discovered(self, whole: bool, servers: list[Server]) -> None:
        self._take(self.machine.discovery(self.clock(), whole, servers), "discovery")

    def mark(self, name: str, out: bool, at: int) -> None:
        self._take(self.machine.mark(self.clock(), name, out, at), "hand")

    def confirm(self, digest: str) -> int:
        """The generation now in force; `NotPending` where no such list is held."""
        change = self.machine.confirm(self.clock(), digest)
        self._told = ()
        self.log.warning("list_confirmed", digest=digest, generation=change.generation)
        self._take(change, "confirmed")
        return change.generation

    def status(self) -> dict[str, Any]:
        """What the door answers."""
        machine, now = self.machine, self.clock()
        listing, pending = machine.listing, machine.pending
        members = list(machine.members.values())
        made: dict[str, Any] = {
            "generation": machine.generation,
            "origin": machine.origin,
            "version": listing.version if listing else None,
            "digest": listing.digest if listing else None,
            "age_s": round((now - machine.since) / 1e6, 3),
            "servers": len(members),
            "ready": sum(m.server.state is NodeState.UP for m in members),
            "held_for_flapping": sorted(m.id for m in members if m.held),
            "out_by_hand": sorted(machine.marks),
            "polling": self._watcher.polling,
            "complaint": [p.row() for p in machine.complaint],
        }
        if pending is not None:
            made["pending"] = {
                "confirm": pending.listing.digest[:16],
                "version": pending.listing.version,
                "age_s": round((now - pending.since) / 1e6, 3),
                "came": len(pending.delta.came),
                "went": len(pending.delta.went),
                "changed": len(pending.delta.changed),
            }
        return made

    def servers(self) -> list[dict[str, Any]]:
        rows = []
        for name, m in sorted(self.machine.members.items()):
            s = m.server
            rows.append(
                {
                    "name": name, "id": m.id, "shard": s.shard, "room": s.room, "weight": s.weight,
                    "address": f"{s.address[0]}:{s.address[1]}" if s.address else None,
                    "state": "draining" if s.state is not NodeState.UP else "ready",
                    "source": m.source.name.lower(), "held": m.held, "by_hand": name in self.machine.marks,
                }
            )  # fmt: skip
        return rows


def _write(path: Path, listing: Listing, saved: int) -> None:
    snapshot.write(path, snapshot.dump(listing, saved))


__all__ = ["ListService", "NotPending", "Unusable", "Watched"]
