"""Compares the service figure of one script on sockets and in virtual time, each played twice.

Run it with `make bench-rehearsals`."""

import argparse
import sys
import time
from pathlib import Path
from typing import Any

from umberlead.emulator import rehearsal
from umberlead.emulator.figures import Figures

ROOT = Path(__file__).parent.parent
OUT = ROOT / "docs" / "measurements"
SCRIPTS = ("combined.script", "faults.script")
REPORTED_FIGURES = (
    "service",
    "whole",
    "worst_10s",
    "worst_class",
    "class.image-read",
    "class.image-upload",
    "class.bulk-export",
)
# Allowed difference of the service figure: between the two socket runs, and from virtual time.
MAX_SOCKET_DIFFERENCE, MAX_VIRTUAL_DIFFERENCE = 0.02, 0.05


def played(script: str, seed: int) -> dict[str, tuple[rehearsal.Result, float]]:
    of = rehearsal.read(ROOT / "deploy" / "rehearsals" / script)[0]
    made = {}
    for name in ("virtual", "virtual again", "sockets", "sockets again"):
        began = time.perf_counter()
        got = rehearsal.rehearse(of, Figures(), sockets="sockets" in name, seed=seed)
        made[name] = (got, time.perf_counter() - began)
        print(f"{script} seed {seed} {name}: {got.rows['service']:.4f}, {made[name][1]:.0f} s", flush=True)
    return made


def chart(all_: dict[str, dict[str, tuple[rehearsal.Result, float]]], path: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    figure, axes = plt.subplots(len(all_), 1, figsize=(8, 3 * len(all_)), squeeze=False)
    for axis, (script, made) in zip(axes[:, 0], all_.items(), strict=True):
        for name, (got, _) in made.items():
            if name != "virtual again":
                axis.plot(got.seconds, label=name, linewidth=1.2)
        axis.set_title(script)
        axis.set_ylim(0, 1.1)
        axis.set_xlabel("s of the day")
        axis.set_ylabel("service")
        axis.legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(path)


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, nargs="+", default=[7])
    parser.add_argument("--keep", action="store_true")
    words: Any = parser.parse_args()
    text = "# One script by both drivers\n\n`make bench-rehearsals`\n"
    all_, good = {}, True
    for script in SCRIPTS:
        for seed in words.seeds:
            made = all_[f"{script}, seed {seed}"] = played(script, seed)
            virtual, sockets, again = (made[k][0] for k in ("virtual", "sockets", "sockets again"))
            same = virtual.text() == made["virtual again"][0].text()
            apart = abs(sockets.rows["service"] - again.rows["service"])
            off = max(abs(r.rows["service"] - virtual.rows["service"]) for r in (sockets, again))
            held = all(r.held for r, _ in made.values())
            good &= same and held and apart <= MAX_SOCKET_DIFFERENCE and off <= MAX_VIRTUAL_DIFFERENCE
            text += (
                f"\n## {script}, seed {seed}\n\n| | virtual | sockets | sockets again |\n|---|---|---|---|\n"
            )
            for part in REPORTED_FIGURES:
                text += (
                    f"| {part} | "
                    + " | ".join(f"{r.rows[part]:.4f}" for r in (virtual, sockets, again))
                    + " |\n"
                )
            seconds = [made[k][1] for k in ("virtual", "sockets", "sockets again")]
            text += "| seconds taken | " + " | ".join(f"{s:.0f}" for s in seconds) + " |\n"
            text += f"\nVirtual time twice: {'identical output' if same else 'OUTPUT DIFFERS'}. "
            text += f"Sockets twice: {apart:.4f} apart. From virtual time: {off:.4f} at most. "
            text += "No rule broken, all expectations held.\n" if held else "A RULE OR EXPECTATION FAILED.\n"
            behind = max(sockets.late, again.late)
            text += f"The rehearsal process itself was at most {behind * 1000:.0f} ms behind schedule.\n"
            for result, _ in made.values():
                text += "".join(f"- {words}\n" for words in (*result.shown, *result.faults))
    print(text)
    if words.keep:
        chart(all_, OUT / "rehearsals.svg")
        (OUT / "rehearsals.md").write_text(text + "\n![service by second](rehearsals.svg)\n")
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
