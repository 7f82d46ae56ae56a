"""Generates a first suite for a configuration and a list, for the operator to review and extend.

It only expects what the routing rules and the list guarantee (which servers hold a shard, that requests that
must run at most once are sent once, that a draining server gets no new requests), so that it passes as
written.
"""

from collections import defaultdict
from pathlib import Path

from umberlead.membership.model import CheckedList
from umberlead.scheduling.events import EndpointStatus
from umberlead.scheduling.settings import Repeatability, Settings

MAX_RATE_REQUESTS = 40.0  # requests per second of one class and plan
MAX_DRAIN_COUNT = 3  # servers that get a scenario in which they drain
LOAD_SECONDS = 4


def suite(settings: Settings, listing: CheckedList, config_path: str, list_path: str) -> str:
    """The text of the suite; `config_path` and `list_path` are relative to its folder."""
    by_shard: dict[int, list[str]] = defaultdict(list)
    for name, server in sorted(listing.endpoints.items()):
        by_shard[server.shard].append(name)
    shards = sorted(by_shard)
    lines = ["format 1", f"config {config_path}", f"list {list_path}"]
    lines += [f"group shard-{n} {' '.join(by_shard[n])}" for n in shards]
    lines += [
        f"collection {p.name}-all plan {p.name} shards {_ranges(shards)} volumes 4" for p in settings.plans
    ]
    at_most_once = [c.name for c in settings.classes if c.repeatability is Repeatability.AT_MOST_ONCE]
    repeatable = [c.name for c in settings.classes if c.repeatability is not Repeatability.AT_MOST_ONCE]

    lines += [
        "",
        "# Whatever the results of the attempts, requests for a shard are sent only to its own servers.",
        "scenario reach",
    ]
    lines += [f"expect may shard {n} only @shard-{n}" for n in shards]
    lines += [f"expect may class {c} attempts at-most {settings.max_attempts}" for c in repeatable]
    lines += [f"expect may class {c} sent once" for c in at_most_once]

    lines += ["", "# Without faults, each request gets exactly one answer.", "scenario calm seed 1"]
    lines += _loads(settings, len(listing.endpoints), at_most_once) + ["expect answered-once"]
    lines += [f"expect class {c} sent once" for c in at_most_once]

    up = {n: [s for s in by_shard[n] if listing.endpoints[s].status is EndpointStatus.UP] for n in shards}
    drained = [names[0] for names in up.values() if len(names) > 1][:MAX_DRAIN_COUNT]
    for name in drained:
        shard = listing.endpoints[name].shard
        lines += ["", f"# {name} gets no new requests once it drains; its shard has other servers."]
        lines += [f"scenario drain-{name} seed 1", *_loads(settings, len(listing.endpoints), at_most_once)]
        lines += [f"at 1s drain {name}", "expect answered-once", f"expect shard {shard} only @shard-{shard}"]
        lines += [f"expect never {name} after 1s"]
    count = sum(1 for line in lines if line and not line.startswith("#"))
    comments = [
        "# A first suite, written by `umberlead expect --suggest`: what holds today, not what you intend.",
        "# Remove what you do not intend, make the rest stricter (docs/routing-tests.md), then update `end`.",
    ]
    return "\n".join([*comments, *lines, f"end {count}", ""])


def _loads(settings: Settings, server_count: int, at_most_once: list[str]) -> list[str]:
    rate = min(MAX_RATE_REQUESTS, max(server_count, 1) * 4.0) / len(settings.plans)
    return [
        f"load {p.name}-all class {c.name} rate {rate:g} from 0s to {LOAD_SECONDS}s units 1"
        + (" new" if c.name in at_most_once else "")
        for p in settings.plans
        for c in settings.classes
    ]


def _ranges(numbers: list[int]) -> str:
    """Formats sorted numbers as ranges: `0..4,7` for [0, 1, 2, 3, 4, 7]."""
    ranges: list[list[int]] = []
    for n in numbers:
        if ranges and ranges[-1][1] == n - 1:
            ranges[-1][1] = n
        else:
            ranges.append([n, n])
    return ",".join(str(a) if a == b else f"{a}..{b}" for a, b in ranges)


def beside(path: Path, folder: Path) -> str:
    """Returns `path` relative to `folder`, or unchanged if that is shorter."""
    import os

    relative = os.path.relpath(path, folder)
    return relative if len(relative) <= len(str(path)) else str(path)
