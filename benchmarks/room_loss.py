"""Measures the loss and recovery of a room: `make bench-rooms`.

There are three parts: on sockets with and without [rooms], in virtual time over many days, and a simulation
of how often the loss of a room is detected wrongly and how soon a real loss is detected."""

import argparse
import os
import random
import statistics
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

from umberlead.emulator import rehearsal
from umberlead.emulator.figures import Figures
from umberlead.emulator.plan import Plan, plan
from umberlead.emulator.price import Pricing
from umberlead.emulator.records import Records
from umberlead.experiments import compare, dataset, matrix, running
from umberlead.zones.model import MICROSECONDS_PER_S, Contact, ZoneMember, ZoneSettings, ZoneState
from umberlead.zones.zone_health import ZoneHealth

ROOT = Path(__file__).parent.parent
OUT = ROOT / "docs" / "measurements"
SCRIPT = ROOT / "deploy" / "rehearsals" / "room-dark.script"
SERVERS = 12


# Simulation of verdicts


def verdicts(rate: float, breaks: float, lost_at: int, seed: int, seconds: int = 60) -> tuple[int, int]:
    """Returns the number of false detections, and the us until the loss is detected (-1: never).

    `rate` is the number of attempts a second of one front.
    """
    chance, of = random.Random(seed), ZoneHealth(ZoneSettings(), seed, 0)
    of.apply_endpoint_list(0, [ZoneMember(f"s{k}", f"r{k % 3}", k) for k in range(SERVERS)])
    now, wrong, out = 0, 0, list[tuple[int, str, str, Contact]]()
    ticks = 0
    while now < seconds * MICROSECONDS_PER_S:
        now += int(chance.expovariate(rate) * MICROSECONDS_PER_S) + 1
        server = f"s{chance.randrange(SERVERS)}"
        room, name = f"r{int(server[1:]) % 3}", f"q{now}"
        of.record_attempt(now, server, name)
        dark = lost_at and now >= lost_at and room == "r1"
        if dark:
            out.append((now + 2 * MICROSECONDS_PER_S, server, name, Contact.BROKEN))
        elif chance.random() < breaks:
            out.append((now + 250_000, server, name, Contact.BROKEN))
        else:
            out.append((now + int(chance.lognormvariate(10.8, 0.8)), server, name, Contact.ANSWERED))
        out.sort()
        while out and out[0][0] <= now:
            at, at_server, ended, met = out.pop(0)
            of.record_outcome(at, at_server, ended, met, 50_000)
        while ticks <= now:
            of.tick(ticks)
            ticks += 100_000
        for verdict in of.take_transitions():
            if verdict.state is ZoneState.DOWN:
                if lost_at and verdict.zone == "r1" and verdict.at_us >= lost_at:
                    return wrong, verdict.at_us - lost_at
                wrong += 1
    return wrong, -1


def simulated() -> str:
    text = "## How often it cries wolf, and how soon it is sure\n\n12 servers in 3 rooms, one front; "
    text += "60 s a run, 100 runs a row.\n\n"
    text += "| attempts a second | that break | wrong in 100 min | sure after, median | worst | never |\n"
    text += "|---|---|---|---|---|---|\n"
    for rate in (10, 30, 60, 120):
        for breaks in (0.002, 0.02, 0.1):
            wrong = sum(verdicts(rate, breaks, 0, seed)[0] for seed in range(100))
            took = [verdicts(rate, breaks, 20 * MICROSECONDS_PER_S, seed, 30)[1] for seed in range(100)]
            sure = sorted(t for t in took if t >= 0)
            text += f"| {rate} | {breaks:.1%} | {wrong} | {statistics.median(sure) / 1e6:.2f} s | "
            text += f"{sure[-1] / 1e6:.2f} s | {took.count(-1)} |\n"
            print(text.splitlines()[-1], flush=True)
    return text


# On sockets


def measured(made: Plan, of: Records, dials: Counter[int]) -> dict[str, float]:
    """Returns the share of reserved units served during the loss, and the rate of new connections.

    Both come from the records of servers and clients.
    """
    (cut,) = made.partitions
    begin, end = cut.begin // MICROSECONDS_PER_S, cut.end // MICROSECONDS_PER_S
    first = {a.id: a.first for a in of.asked}
    served = {first[a.id]: a.at for a in of.answered if a.kind == "served" and a.id in first}
    tiers = Pricing(made).tiers()
    due = kept = 0.0
    aims = {k.name: k.latency_objective_us for k in made.day.kinds}
    by: dict[tuple[str, int], list[Any]] = {}
    for r in made.day.requests:
        by.setdefault((r.volume, r.at // MICROSECONDS_PER_S), []).append(r)
    for (_, second), rows in by.items():
        inside = tiers[rows[0].volume, second].left[0]
        if begin + 2 <= second < end and inside > 0:
            in_time = [r for r in rows if served.get(r.number, 1 << 62) - r.at <= aims[r.class_name]]
            good = sum(r.units for r in in_time)
            due += inside
            kept += min(good, inside)
    steady = [dials[s] for s in range(4, begin)]
    calm = statistics.mean(steady) if steady else 0.0
    return {
        "reserves served in the loss": kept / due,
        "dials a second before": calm,
        "dials a second at most, from the loss on": max(dials[s] for s in range(begin, end + 12)),
        "servers that fell": sum(life.what == "fallen" for life in of.lives),
    }


def on_sockets(seeds: list[int]) -> str:
    import asyncio

    import uvloop

    from umberlead.emulator.judge import SOCKET_SLACK_US, Judge
    from umberlead.emulator.price import service
    from umberlead.emulator.sockets import SocketScenario

    rows: dict[str, list[dict[str, float]]] = {"without": [], "learnt": []}
    scenario = rehearsal.read(SCRIPT)[0]
    for seed in seeds:
        for arm, kept in rows.items():
            alter = (lambda told: told.update(rooms={"spill": "learnt"})) if arm == "learnt" else None
            made = plan(scenario, Figures(), seed, alter)
            world = SocketScenario(made)
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                of = runner.run(world.play())
            got = measured(made, of, world.dials)
            got["service"] = service(made, of).figure
            got["rules broken"] = len(Judge(made, of, SOCKET_SLACK_US).breaches()) + len(world.faults)
            got["requests a second"] = len(of.asked) / made.day.seconds
            last = max(world.verdicts.values(), default=0.0)
            got["last front sure after, s"] = (
                last - made.partitions[0].begin / MICROSECONDS_PER_S if last else -1.0
            )
            kept.append(got)
            print(arm, seed, {k: round(v, 3) for k, v in got.items()}, flush=True)
    text = (
        f"## On sockets\n\ndeploy/rehearsals/room-dark.script, seeds {', '.join(map(str, seeds))}: means.\n\n"
    )
    text += "| | without [rooms] | learnt |\n|---|---|---|\n"
    for name in rows["learnt"][0]:
        means = [statistics.mean(r[name] for r in rows[arm]) for arm in rows]
        text += f"| {name} | {means[0]:.3f} | {means[1]:.3f} |\n"
    return text


# In virtual time


def in_virtual_time(workers: int, last: int) -> tuple[str, list[dict[str, Any]]]:
    of = matrix.read(ROOT / "deploy" / "rehearsals" / "room-loss.toml")
    of.seeds = of.seeds[:last]
    with tempfile.TemporaryDirectory() as folder:
        cells = running.play(of, Path(folder), workers)
        rows = dataset.rows(cells)
    text = "## In virtual time\n\n`umberlead experiment deploy/rehearsals/room-loss.toml`, "
    text += f"{len(of.seeds)} seeds of five scenarios, compared with the front without [rooms] by day.\n\n"
    text += "| scenario | arm | service without | difference | held back without | held back |\n"
    text += "|---|---|---|---|---|---|\n"
    for scenario in sorted({r["scenario"] for r in rows}):
        mine = [r for r in rows if r["scenario"] == scenario]
        base = compare.mean_of(list(compare.by_arm(mine, "service")[of.baseline].values())).mean
        held = {arm: statistics.mean(d.values()) for arm, d in compare.by_arm(mine, "held_back").items()}
        for pair in compare.pairs(mine, "service", of.baseline):
            text += f"| {scenario} | {pair.arm.partition('/')[2]} | {base:.4f} | {pair.difference.words()} | "
            text += f"{held[of.baseline]:.1f} | {held[pair.arm]:.1f} |\n"
    broken = sum(r["value"] for r in rows if r["measure"] == "breaches")
    return (
        text + f"\nRules broken: {broken:.0f}. Runs without a result: {sum(bool(c.fault) for c in cells)}.\n",
        rows,
    )


def chart(rows: list[dict[str, Any]], path: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    scenarios = sorted({r["scenario"] for r in rows})
    figure, axes = plt.subplots(len(scenarios), 1, figsize=(8, 2.4 * len(scenarios)))
    for axis, scenario in zip(axes, scenarios, strict=True):
        for arm, seconds in compare.over_time(rows, "room-loss.script", scenario).items():
            axis.plot(seconds, label=arm.partition("/")[2], linewidth=1)
        axis.set_title(scenario, fontsize="small")
        axis.set_ylim(0.4, 1.1)
    axes[0].legend(fontsize="small", ncols=4)
    axes[-1].set_xlabel("s of the day")
    figure.tight_layout()
    figure.savefig(path)


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--parts", nargs="+", default=["sockets", "virtual", "verdicts"])
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2])
    parser.add_argument("--days", type=int, default=10)
    parser.add_argument("--workers", type=int, default=max((os.cpu_count() or 2) - 1, 1))
    parser.add_argument("--keep", action="store_true")
    words: Any = parser.parse_args()
    for part in words.parts:
        text = f"# A room lost: {part}\n\n`make bench-rooms`\n\n"
        if part == "sockets":
            text += on_sockets(words.seeds)
        elif part == "virtual":
            told, rows = in_virtual_time(words.workers, words.days)
            text += told + "\n![service by second](room-loss.svg)\n"
            if words.keep:
                chart(rows, OUT / "room-loss.svg")
        else:
            text += simulated()
        print(text)
        if words.keep:
            (OUT / f"room-loss-{part}.md").write_text(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
