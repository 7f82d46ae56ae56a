"""Makes the golden files: `python -m tests.golden.make`. One that is there stays as it is.

They were made by the program before its names and layout changed. To get a pass they are never made again.
"""

import io
import json
import random
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from tests.golden import exported, settings, stored, wire
from tests.test_settings import whole
from umberlead import wirehost

SETTINGS = (
    "discovery={} instances=2 bounds.maxAttempts=3 bounds.cancel=true bounds.dialTimeout=250000 "
    "bounds.retryAfter=true bounds.maxRetryAfter=500000 loadReport.fields=inflight,latency_ms "
    "extra.nShards=2 extra.meanUnits=2 extra.maxUnits=6 extra.coldUnits=30 guarantees.warmUp=16000000 "
    "guarantees.coldShare=0.17 guarantees.fallMultiple=4 guarantees.overloadFor=3000000 strange.new=1 "
    "grades.count=2 grades.0.name=read grades.0.aim=300000 grades.0.hardLimit=2000000 "
    "grades.0.effect=idempotent grades.0.credit=2 grades.1.name=once grades.1.aim=400000 "
    "grades.1.hardLimit=1000000 grades.1.effect=at_most_once plans.count=2 plans.0.name=p "
    "plans.0.usualRate=9 plans.1.name=q plans.1.neverOver=5 plans.1.mostAtOnce=6"
)
RESULTS = ("pass", "fault", "no_room", "too_slow", "no_route", "cut", "undone", "stale_send")


class Bench:
    """The simulator's side: answers what the heads do with events drawn from a seed."""

    def __init__(self) -> None:
        self.sink, self.said = io.StringIO(), list[str]()
        self.rows = self.talk()

    def readline(self) -> str:
        """The next line of the input."""
        line = next(self.rows, "")
        self.said.append(line)
        return line

    def talk(self) -> Iterator[str]:
        """400 batches of two heads, then a malformed line."""
        chance, now, read, tries = random.Random(9), 5_000_000, 0, dict[tuple[str, str], int]()
        due: list[tuple[int, str, str]] = []
        item = "item 10.0.0.{}:80 {} {} {} z - {}\n"
        for batch in range(400):
            yield f"sync {now} {batch}\n"
            if not batch:
                yield "manifest 0 4\n"
                yield from (item.format(server, "live", "k", server % 2, 1) for server in range(4))
            for name in ("h0", "h1"):
                yield f"about {name}\n"
                if not batch:
                    yield f"enlist 4{name[1]} {SETTINGS.format('push' if name == 'h0' else 'ask')}\n"
                    yield "discovery 1 C 0\n"
                elif batch in (100, 200, 300):
                    state, where = {100: ("quiescing", 1), 200: ("dead", 1), 300: ("live", 1)}[batch]
                    yield "manifest 1 1\n"
                    yield item.format(1, state, "k", where, now - 100)
                    yield f"discovery {batch} D 1\n"
                elif batch % 50 == 7:
                    yield f"discovery {batch} X 0\n"
                for when, line in [(w, x) for w, h, x in due if h == name and w <= now]:
                    due.remove((when, name, line))
                    yield f"{line}\n"
                for k in range(chance.choice((0, 0, 0, 0, 0, 0, 0, 1, 1, 3))):
                    cls, plan = chance.choice(("read", "once")), chance.choice("pq")
                    shard, bits = chance.choice("01-"), chance.choice("02-")
                    number = f"{name}/{batch}.{k}"
                    key, units = chance.choice(("-", f"k{k}")), chance.uniform(0.5, 6)
                    yield (
                        f"arrival {number} {key} vol/{batch % 3} {now + 2_000_000} {shard} {units:.3f} "
                        f"{bits} {cls} {plan} {chance.choice('12-')}\n"
                    )
            yield "eof_batch\n"
            said, read = self.sink.getvalue()[read:], len(self.sink.getvalue())
            due += self.replies(said, now, chance, tries)
            now += 20_000
        for last, words in ((400, "shutdown"), (401, "alarm x")):
            yield from (f"sync {now} {last}\n", "about h0\n", f"{words}\n", "eof_batch\n")

    @staticmethod
    def replies(
        said: str, now: int, chance: random.Random, tries: dict[tuple[str, str], int]
    ) -> Iterator[tuple[int, str, str]]:
        """When which head is told what in answer to its actions."""
        name = ""
        for words in map(str.split, said.splitlines()):
            load = chance.choice(("-", "3,12.5", "-,7"))
            took = chance.randrange(5_000, 60_000)
            if words[0] == "as":
                name = words[1]
            elif words[0] == "place":
                number = tries[name, words[1]] = tries.get((name, words[1]), -1) + 1
                result = chance.choices(RESULTS, weights=[60, 9, 9, 5, 5, 5, 0, 5])[0]
                final = int(result == "pass")
                if chance.random() < 0.05:
                    yield now, name, f"client_left {words[1]}"
                    final = 1
                elif final and chance.random() < 0.3:
                    yield now, name, f"started {words[1]} {words[2]} 0 {number}"
                end = f"finished {words[1]} 0 {took} {number} {result} {final} 0 {words[2]} {load}"
                yield now + took, name, end
            elif words[0] == "defer":
                yield now + int(words[1]), name, f"alarm {words[2]}"
            elif words[0] == "probe":
                yield now + took, name, f"checked {words[1]} pass {took} {load}"


def inputs() -> dict[str, bytes]:
    """The inputs that are made rather than written."""
    bench: Any = Bench()
    wirehost.run(bench, bench.sink)
    text = "".join(bench.said)
    return {"platform.json": json.dumps(whole(), indent=1).encode() + b"\n", "wire.in": text.encode()}


def main() -> None:
    """Make what is missing."""
    for name, data in inputs().items():
        if not (stored.HERE / name).exists():
            (stored.HERE / name).write_bytes(data)
    for name, make in {**stored.FILES, **exported.FILES, **settings.FILES, **wire.FILES}.items():
        if not (stored.HERE / name).exists():
            with tempfile.TemporaryDirectory() as folder:
                (stored.HERE / name).write_bytes(make(Path(folder)))


if __name__ == "__main__":
    main()
