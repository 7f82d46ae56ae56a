"""Measures speed (against real time) and memory of virtual time by fleet size: `make bench-fleet`."""

import argparse
import json
import resource
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
OUT = ROOT / "docs" / "measurements"
SIZES = ((4, 12), (10, 25), (25, 50), (50, 100), (100, 100), (100, 200), (200, 200))  # fronts, servers


def one(fronts: int, servers: int, seconds: float) -> dict[str, float]:
    """Plays a day in this process, so that the peak memory of the process is that of the simulated fleet."""
    from umberlead.emulator import rehearsal
    from umberlead.emulator.figures import Figures
    from umberlead.routing_tests.language import parse

    text = f"format 1\nscenario s seed 1\nfleet servers {servers} fronts {fronts}\n"
    text += f"day seconds {seconds:g} load 56%\nend 4\n"
    suite, problems = parse(text, "s")
    assert not problems
    kept: list[Any] = []
    base = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    began = time.process_time()
    got = rehearsal.rehearse(suite.scenarios[0], Figures(), keep=lambda p, r: kept.extend((p, r)))
    took = time.process_time() - began
    return {
        "fronts": fronts,
        "servers": servers,
        "requests": len(kept[1].asked),
        "cpu": took,
        "day": seconds,
        "mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
        "base_mb": base / 1024,
        "service": got.rows["service"],
        "held": float(got.held),
    }


def chart(rows: list[dict[str, float]], path: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    figure, (left, right) = plt.subplots(1, 2, figsize=(9, 3.4))
    labels = [f"{r['fronts']:.0f} x {r['servers']:.0f}" for r in rows]
    left.bar(labels, [r["day"] / r["cpu"] for r in rows])
    left.axhline(1, color="k", linewidth=0.8)
    left.set_yscale("log")
    left.set_ylabel("s of the day a s of one core")
    right.bar(labels, [r["mb"] for r in rows])
    right.set_ylabel("peak memory, MB")
    for axis in (left, right):
        axis.tick_params(axis="x", rotation=45)
        axis.set_xlabel("fronts x servers")
    figure.tight_layout()
    figure.savefig(path)


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--keep", action="store_true")
    parser.add_argument("--one", type=int, nargs=2)
    words: Any = parser.parse_args()
    if words.one:
        print(json.dumps(one(*words.one, words.seconds)))
        return 0
    rows = []
    for fronts, servers in SIZES:
        order = [sys.executable, "-B", "-m", "benchmarks.fleet_speed", "--one", str(fronts), str(servers)]
        got = subprocess.run(
            [*order, "--seconds", str(words.seconds)], cwd=ROOT, capture_output=True, text=True, check=True
        )
        rows.append(json.loads(got.stdout))
        print(rows[-1], flush=True)
    text = "# Virtual time by the fleet's size\n\n`make bench-fleet`; one core; "
    text += f"days of {words.seconds:g} s at 56% load plus surges; drawn, played, checked and scored.\n\n"
    text += "| fronts | servers | requests | core s | of the day in a s | peak MB | service |\n"
    text += "|---|---|---|---|---|---|---|\n"
    for r in rows:
        text += f"| {r['fronts']:.0f} | {r['servers']:.0f} | {r['requests']:.0f} | {r['cpu']:.1f} "
        text += f"| {r['day'] / r['cpu']:.2f} s | {r['mb']:.0f} | {r['service']:.3f} |\n"
    print(text)
    if words.keep:
        chart(rows, OUT / "fleet-speed.svg")
        (OUT / "fleet-speed.md").write_text(text + "\n![speed and memory](fleet-speed.svg)\n")
    return 0 if all(r["held"] for r in rows) else 1


if __name__ == "__main__":
    sys.exit(main())
