"""Replaces a watched list 50 times a second under load, a third of the time by an invalid list.

Run it with `make bench-lists`. Four fronts watch one list and send to stub servers; a load generator sends
240 requests a second. The same load runs without replacements before and after, for comparison. Only the
record of the stub servers shows where requests were routed:

- invalid lists name trap servers, which listen but are in no valid list: a request there was routed by a
  partial list or by one that should have been rejected;
- two servers leave the list for two seconds or more at a time; their record shows how long after a removal
  they still received requests.

The time until a list takes effect runs from the end of writing a valid list to the log line of the front for
that version or a later one. The table and the chart are written to docs/measurements/."""

import argparse
import asyncio
import json
import os
import random
import re
import subprocess
import sys
import tempfile
import time
from datetime import datetime
from pathlib import Path
from typing import Any

from umberlead.load_generator import platform

ROOT = Path(__file__).parent.parent
# Lists are written to a memory file system if there is one. Otherwise the disk may stall for half a second
# under the writes of the load generator, and that delay counts as the front's (p99 6 to 25 times as high).
MEMORY_FOLDER = "/dev/shm" if os.access("/dev/shm", os.W_OK) else None
OUT = ROOT / "docs" / "measurements"
FRONTS, SHARDS, COPIES, WRITE_INTERVAL_S = 4, 4, 3, 0.02
CONFIG = """
name = "front-{k}"
listen = "127.0.0.1:0"
[membership]
list = "lists/main.list"
snapshot = "saved-{k}"
withdrawn_most = 1.0
settle_ms = 5
flap_half_life_s = 0.1
flap_suppress = 8
[settings]
instances = 4
[settings.bounds]
maxAttempts = 3
dialTimeout = 250000
cancel = true
[settings.extra]
meanUnits = 2.0
maxUnits = 6.0
nShards = 4
[[settings.grades]]
name = "image-read"
aim = 500000
hardLimit = 2000000
effect = "idempotent"
[[settings.grades]]
name = "image-upload"
aim = 800000
hardLimit = 2000000
effect = "at_most_once"
[[settings.plans]]
name = "basic"
"""


def server(name: str, port: int, shard: int, weight: float = 1.0) -> str:
    return f"server {name} address 127.0.0.1:{port} shard {shard} weight {weight:g}"


def sheet(version: int, rows: list[str]) -> str:
    lines = ["format 1", f"version {version}", "network 127.0.0.0/8", *rows]
    return "\n".join([*lines, f"end {len(lines)}", ""])


class ListWriter:
    """Writes lists in place, by rename and by symlink in turn; records when each valid one is written."""

    def __init__(self, folder: Path, base: int, seed: int) -> None:
        self.path, self.chance = folder / "main.list", random.Random(seed)
        self.ports = {f"s{s}{c}": base + s * COPIES + c for s in range(SHARDS) for c in range(COPIES)}
        self.traps = {f"trap{k}": base + SHARDS * COPIES + k for k in range(SHARDS)}
        self.version = 0
        self.sound: list[tuple[int, float]] = []  # version, and Unix time when it was written
        self.removed: list[tuple[str, int, int]] = []  # server, start and end of its removal in monotonic ns
        self.out: dict[str, int] = {}
        self.swaps = self.broken = 0

    def rows(self) -> list[str]:
        return [
            server(n, p, int(n[1]), self.chance.choice([0.5, 1.0, 2.0, 3.0]))
            for n, p in self.ports.items()
            if n not in self.out
        ]

    def write(self, text: str, how: int) -> None:
        if how == 0:
            self.path.write_text(text)  # in place
            return
        beside = self.path.with_name(f"next{how}")
        beside.write_text(text)
        if how == 2 and not self.path.is_symlink():
            link = self.path.with_name("link")
            os.symlink(beside.name, link)
            os.replace(link, self.path)
        elif how == 1:
            os.replace(beside, self.path)

    def write_valid(self) -> None:
        self.version += 1
        self.write(sheet(self.version, self.rows()), self.swaps % 3)
        self.sound.append((self.version, time.time()))

    def write_invalid(self) -> None:
        """Writes an invalid list with the traps: truncated, misspelt, outside the networks or outdated."""
        self.broken += 1
        rows = [server(n, p, k) for k, (n, p) in enumerate(self.traps.items())]
        text = sheet(self.version + 1, rows)
        kind = self.broken % 4
        if kind == 0:
            text = text[: self.chance.randrange(1, len(text) - 1)]
        elif kind == 1:
            text = text.replace("shard", "shrad", 1)
        elif kind == 2:
            text = text.replace("network 127.0.0.0/8", "network 10.0.0.0/8")
        else:
            text = sheet(0, rows)
        self.write(text, self.broken % 2)

    def take_out(self, name: str) -> None:
        self.out[name] = 0
        self.write_valid()
        self.out[name] = time.monotonic_ns()

    def put_back(self, name: str) -> None:
        self.removed.append((name, self.out.pop(name), time.monotonic_ns()))
        self.write_valid()

    async def run(self, seconds: float) -> None:
        begin = time.monotonic()
        self.sound.clear()  # the list that the fronts loaded at their start is not a change
        victims = ["s00", "s11"]
        turn = 1.0
        while (now := time.monotonic() - begin) < seconds:
            self.swaps += 1
            if now >= turn and seconds - now > 4:
                name = victims[0] if not self.out else next(iter(self.out))
                if self.out:
                    self.put_back(name)
                    victims.reverse()
                else:
                    self.take_out(name)
                turn = now + 2.0
            elif self.swaps % 3 == 0:
                self.write_invalid()
            else:
                self.write_valid()
            await asyncio.sleep(max(begin + self.swaps * WRITE_INTERVAL_S - time.monotonic(), 0))
        for name in list(self.out):
            self.put_back(name)
        self.write_valid()


class Front:
    def __init__(self, folder: Path, k: int) -> None:
        path = folder / f"front-{k}.toml"
        path.write_text(CONFIG.format(k=k))
        self.log = folder / f"front-{k}.log"
        with open(self.log, "w") as out:
            self.process = subprocess.Popen(
                [sys.executable, "-B", "-m", "umberlead", "run", str(path)], cwd=ROOT, stderr=out
            )

    async def ready(self) -> tuple[str, int]:
        for _ in range(2000):
            found = re.search(r' listening .*address="([\d.]+):(\d+)"', self.log.read_text())
            if found:
                return found[1], int(found[2])
            await asyncio.sleep(0.01)
        raise TimeoutError(self.log.read_text())

    def memory(self) -> float:
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.findall(r"VmRSS:\s+(\d+)", text)[0]) / 1024

    def versions_in_effect(self) -> list[tuple[int, float]]:
        """Returns the versions that took effect, with the Unix time of each."""
        found = re.findall(
            r'^<\d+>1 (\S+)Z .* endpoint_list_changed .*version="(\d+)"', self.log.read_text(), re.M
        )
        return [(int(v), datetime.fromisoformat(f"{at}+00:00").timestamp()) for at, v in found]


def delays(sound: list[tuple[int, float]], versions_in_effect: list[tuple[int, float]]) -> list[float]:
    """Returns the ms from writing each valid list until it or a later one takes effect, ascending."""
    made, k = [], 0
    for version, at in sound:
        while k < len(versions_in_effect) and versions_in_effect[k][0] < version:
            k += 1
        if k < len(versions_in_effect):
            made.append(max(versions_in_effect[k][1] - at, 0.0) * 1000)
    return sorted(made)


def at(values: list[float], part: float) -> float:
    return values[min(int(len(values) * part), len(values) - 1)] if values else float("nan")


async def measure(seconds: float, seed: int) -> dict[str, Any]:
    with tempfile.TemporaryDirectory(dir=MEMORY_FOLDER) as root:
        folder = Path(root)
        (folder / "lists").mkdir()
        writer = ListWriter(folder / "lists", 21000 + (os.getpid() * 37) % 20000, seed)
        writer.write_valid()
        stand_in_list = folder / "stand-ins.list"
        rows = [server(n, p, int(n[1])) for n, p in writer.ports.items()]
        rows += [server(n, p, k) for k, (n, p) in enumerate(writer.traps.items())]
        stand_in_list.write_text(sheet(1, rows))
        record = folder / "record"
        call = [sys.executable, "-m", "umberlead", "standin", str(stand_in_list), "--synthetic", "--quiet"]
        stand_ins = subprocess.Popen([*call, "--record", str(record), "--unit-ms", "4"], cwd=ROOT)
        fronts: list[Front] = []
        try:
            await asyncio.sleep(2.0)
            fronts = [Front(folder, k) for k in range(FRONTS)]
            addresses = [await front.ready() for front in fronts]
            phases = {}
            memory = [[f.memory() for f in fronts]]
            for k, phase in enumerate(("before", "swaps", "after")):
                plan = platform.Plan(240, seconds, seed * 10 + k, SHARDS)
                load = asyncio.create_task(platform.run(plan, addresses))
                if phase == "swaps":
                    await writer.run(seconds)
                phases[phase] = await load
                memory.append([f.memory() for f in fronts])
        finally:
            for front in fronts:
                front.process.terminate()
            codes = [front.process.wait(20) for front in fronts]
            stand_ins.terminate()
            stand_ins.wait(20)
        asked = [json.loads(line) for line in record.read_text().splitlines()]
        waits = sorted(d for front in fronts for d in delays(writer.sound, front.versions_in_effect()))
        lates = []
        for name, since, until in writer.removed:
            times = [r["t"] for r in asked if r["server"] == name and since < r["t"] < until]
            lates.append((max(times, default=since) - since) / 1e6)
        uploads = [r["id"] for r in asked if r["method"] == "PUT"]
        traps = sum(r["server"] in writer.traps for r in asked)
        changes = sum(len(front.versions_in_effect()) for front in fronts) / FRONTS
        return {
            "swaps": writer.swaps,
            "broken": writer.broken,
            "requests": len(asked),
            "at_traps": traps,
            "astray": sum(r["end"] == "astray" for r in asked),
            "uploads_twice": len(uploads) - len(set(uploads)),
            "unanswered": sum(p.statuses[0] for p in phases.values()),
            "answered_twice": sum(n > 1 for p in phases.values() for n in p.answers.values()),
            "force_ms": {"p50": at(waits, 0.5), "p99": at(waits, 0.99), "max": at(waits, 1.0)},
            "removals": len(lates),
            "late_ms": {"p50": at(sorted(lates), 0.5), "max": max(lates, default=0.0)},
            "lists_in_force_each": changes,
            "exits": codes,
            "memory_mb": [round(sum(row) / len(row), 1) for row in memory],
            "phases": {name: result.row() for name, result in phases.items()},
            "waits": waits,
            "behind_ms": max(p.late_start for p in phases.values()) * 1000,
        }


def table(made: dict[str, Any], seconds: float, seed: int) -> str:
    rows = [
        ("swaps, of which broken", f"{made['swaps']}, {made['broken']}"),
        ("requests at chunk servers", made["requests"]),
        ("routed by a partial or refused list (trap servers)", made["at_traps"]),
        ("turned away as not for that server", made["astray"]),
        ("requests without an answer, or with two", f"{made['unanswered']}, {made['answered_twice']}"),
        ("uploads that ran twice", made["uploads_twice"]),
        ("change to force, ms: p50, p99, max", "{p50:.1f}, {p99:.1f}, {max:.1f}".format(**made["force_ms"])),
        (
            f"last new send after a removal, ms ({made['removals']} removals): p50, max",
            "{p50:.1f}, {max:.1f}".format(**made["late_ms"]),
        ),
        ("generations of a front", f"{made['lists_in_force_each']:.0f}"),
        ("memory of a front, MB: start, before, swaps, after", ", ".join(map(str, made["memory_mb"]))),
        ("the generator itself was behind, ms at most", f"{made['behind_ms']:.1f}"),
        ("exit codes", ", ".join(map(str, made["exits"]))),
    ]
    text = "# Watched lists under load\n\n"
    text += f"`make bench-lists`; {seconds:g} s a phase, seed {seed}, 240 requests a second"
    text += (
        f" over {FRONTS} fronts, a swap each {WRITE_INTERVAL_S * 1000:g} ms.\n\n"
        "| what | figure |\n| --- | --- |\n"
    )
    text += "".join(f"| {name} | {value} |\n" for name, value in rows)
    phases = made["phases"]
    text += (
        "\n| latency, ms | p50 | p90 | p99 | p99.9 | max | served | refused | failed |\n| --- |"
        + " --- |" * 8
        + "\n"
    )
    for name, of in phases.items():
        cells = [f"{of[k]:.1f}" for k in ("p50_ms", "p90_ms", "p99_ms", "p99.9_ms", "max_ms")]
        text += (
            f"| {name} | "
            + " | ".join([*cells, *(str(of[k]) for k in ("served", "refused", "failed"))])
            + " |\n"
        )
    calm = (phases["before"]["p99_ms"] + phases["after"]["p99_ms"]) / 2
    text += f"\np99 with swaps over the mean of before and after: {phases['swaps']['p99_ms'] / calm:.3f}\n"
    return text + "\n![time from change to force](watched-lists.svg)\n"


def chart(made: dict[str, Any]) -> None:
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "umberlead"
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 3))
    waits = made["waits"]
    axes.plot(waits, [(k + 1) / len(waits) for k in range(len(waits))])
    axes.set(
        xlabel="ms from a sound list on disk to its force", ylabel="part of lists", xscale="log", ylim=(0, 1)
    )
    axes.grid(True, alpha=0.3)
    figure.tight_layout()
    figure.savefig(OUT / "watched-lists.svg", metadata={"Date": None})


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keep", action="store_true", help="write docs/measurements")
    words = parser.parse_args()
    made = asyncio.run(measure(words.seconds, words.seed))
    text = table(made, words.seconds, words.seed)
    print(text)
    if words.keep:
        OUT.mkdir(exist_ok=True)
        (OUT / "watched-lists.md").write_text(text)
        chart(made)
    good = not made["at_traps"] and not made["unanswered"] and not made["answered_twice"]
    return 0 if good and not made["uploads_twice"] and made["late_ms"]["max"] < 1000 else 1


if __name__ == "__main__":
    sys.exit(main())
