"""Plants mistakes in the configuration, the list, the membership machine, the engine and the module, one at a
time, and sees which rule of the example suite names each: `make planted-routes`.

A mistake counts as caught where a rule fails that speaks of it, not where anything does."""

import json
import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).parent.parent
OUT = ROOT / "docs" / "measurements" / "planted-routes.md"
SUITE = "deploy/expectations/watched.suite"
CONF, LIST_A, LIST_B = (
    "deploy/watched.toml",
    "deploy/watched/servers.d/room-a.list",
    "deploy/watched/servers.d/room-b.list",
)
MODULE, ENGINE = "umberlead/scheduling/scheduler.py", "umberlead/requests/lifecycle.py"
MACHINE, JOIN = "umberlead/membership/list_merge.py", "umberlead/membership/integration.py"
NOT_LISTED = "error: no server is listed"  # something befalls it, and it is not there
READ_ONLY = "read"  # the suite, the configuration or the list is refused before anything is played

PLANTED = (
    # configuration
    ("uploads may be repeated", CONF, 'effect = "at_most_once"', 'effect = "idempotent"', {"may-once", "once", "answered-once"}),
    ("four attempts instead of three", CONF, "maxAttempts = 3", "maxAttempts = 4", {"may-attempts", "attempts"}),
    ("one attempt alone", CONF, "maxAttempts = 3", "maxAttempts = 1", {"served"}),
    ("reads have a tenth of their aim", CONF, "aim = 300000", "aim = 30000", {"served"}),
    ("exports have a tenth of their aim", CONF, "aim = 2000000", "aim = 60000", {"served"}),
    ("a class is misspelt", CONF, 'name = "bulk-export"', 'name = "bulk-exports"', {READ_ONLY}),
    ("a plan is missing", CONF, 'name = "standard"', 'name = "standrad"', {READ_ONLY}),
    ("uploads' aim is under their work", CONF, "aim = 600000", "aim = 15000", {"served"}),
    # list
    ("a server holds another shard", LIST_A, "8602 shard 2", "8602 shard 3", {"only", "may-only"}),
    ("two servers' shards are exchanged", LIST_B, "8610 shard 0", "8610 shard 1", {"only", "may-only"}),
    ("a server is missing", LIST_B, None, "node-b2", {NOT_LISTED}),
    ("a server is drained", LIST_A, "shard 4 room room-a weight 1", "shard 4 room room-a weight 1 state draining", {"served", "only"}),
    ("a server's name is misspelt", LIST_A, "server node-a1 ", "server node-al ", {NOT_LISTED}),
    ("a server takes one unit at a time", LIST_A, "shard 0 room room-a weight 1", "shard 0 room room-a weight 1 max-units 0.1", set()),
    ("the heavy server lost its weight", "deploy/expectations/weighted.list", "shard 0 weight 4", "shard 0 weight 1", {"share"}),
    ("weights of two servers are exchanged", "deploy/expectations/weighted.list", "shard 4 weight 0", "shard 4 weight 1", {"share", "never"}),
    # membership machine, and what is told of its changes
    ("a draining server counts as ready", MACHINE, "if listed.status is not EndpointStatus.UP and merged.status is EndpointStatus.UP:", "if False:", set()),
    ("who left the list stays", JOIN, "endpoints = [scheduler_endpoint(active, EndpointStatus.GONE) for active in change.removed]", "endpoints = []", {"never", "only"}),
    ("changes of a server are not told", JOIN, "    endpoints += [scheduler_endpoint(after) for _, after in change.changed]\n", "", {"never", "only"}),
    ("marks by hand are not told", JOIN, "        lifecycle.set_manual_drain(endpoint_id, drained, drained_us)", "        pass", {"never", "only"}),
    ("a mark goes out the other way", JOIN, "lifecycle.set_manual_drain(endpoint_id, drained, drained_us)", "lifecycle.set_manual_drain(endpoint_id, not drained, drained_us)", {"never", "only"}),
    ("weights are not told", JOIN, "        endpoint.weight,\n", "        None,\n", {"share", "never"}),
    ("shards are told one too high", JOIN, "        endpoint.shard,\n", "        endpoint.shard + 1,\n", {"only", "may-only"}),
    ("draining is told as ready", JOIN, "status or endpoint.status,", "status or EndpointStatus.UP,", {"never", "only"}),
    ("merging forgets who went", MACHINE, "                removed.append(before)\n", "                pass\n", {"never", "only"}),
    ("merging forgets who changed", MACHINE, "                changed.append(EndpointChange(before, after))", "                pass", {"never", "only"}),
    ("marks are forgotten as they are told", MACHINE, "                changes.append(ManualDrain(due_id, True, self.manual_drains[name]))", "                pass", {"never", "only"}),
    # engine
    ("an upload that may have run is sent again", ENGINE, "or (ticket.may_have_run and self.classes[ticket.ask.class_name].effect is Effect.UNSAFE)", "", set()),
    ("what may have run is not noted", ENGINE, "ticket.may_have_run |= result not in NEVER_RAN", "pass", set()),
    ("an answer is given twice", ENGINE, "        ticket.done(answer)\n", "        ticket.done(answer)\n        ticket.done(answer)\n", {"answered-once"}),
    ("a served answer is not passed on", ENGINE, "if result is Result.OK and not ticket.answered:", "if False:", {"served", "answered-once", "within"}),
    ("requests are never answered at their time", ENGINE, "        if not ticket.answered:\n            self.wheel.after(LAST_WORD, self._last_word, ticket)", "", set()),
    ("refusals are not answered", ENGINE, "            self._answer(ticket, Answer(kind, None, advice, ticket.may_have_run))", "            pass", {"refused", "prompt", "answered-once"}),
    # module
    ("the node's state is not looked at", MODULE, "if self.info.state is not NodeState.UP or (", "if (", {"never", "only"}),
    ("marks by hand are not looked at", MODULE, "views = [self.nodes[n] for n in names if n not in self.taken_out]", "views = [self.nodes[n] for n in names]", {"never", "only"}),
    ("any node may take any shard", MODULE, "names = self.by_shard.get(shard, {}) if shard >= 0 else self.nodes", "names = self.nodes", {"only", "may-only"}),
    ("weight 0 takes new objects", MODULE, "views = [v for v in views if shard >= 0 or v.info.weight != 0]", "", {"share", "never"}),
    ("weights don't count", MODULE, "        if self.offered:\n            return", "        if False:\n            return", {"share"}),
    ("one more attempt than is allowed", MODULE, "item.tries >= self.s.max_attempts", "item.tries > self.s.max_attempts", set()),
    ("the module sends uploads again", MODULE, "Effect.UNSAFE: 0}", "Effect.UNSAFE: NEVER}", set()),
    ("module and engine both send uploads again", (MODULE, ENGINE), ("Effect.UNSAFE: 0}", "or (ticket.may_have_run and self.classes[ticket.ask.class_name].effect is Effect.UNSAFE)"), ("Effect.UNSAFE: NEVER}", ""), {"may-once", "once"}),
    ("module and engine both allow one more attempt", (MODULE, ENGINE), ("item.tries >= self.s.max_attempts", "or number >= self.settings.max_attempts"), ("item.tries > self.s.max_attempts", ""), {"may-attempts", "attempts"}),
    ("after a failure nothing is tried again", MODULE, "        elif e.astray or self.now >= item.aim_at or not self.may_send(item):", "        elif True:", {"served", "may-attempts"}),
    ("refusals come only at the deadline", MODULE, "        self.at(aim_at, self.give_up, item)", "        self.at(req.give_up, self.give_up, item)", {"prompt", "within"}),
    ("who is refused is held for good", MODULE, "        self.at(aim_at, self.give_up, item)", "        pass", {"refused", "prompt", "answered-once"}),
    ("a node that went is kept", MODULE, "                    self.by_shard[view.info.shard].pop(name)\n                    self.nodes.pop(name).info = node\n", "                    pass\n", {"never", "only"}),
    ("the bound is one unit", MODULE, "BOUND = 8.0", "BOUND = 0.1", set()),
    ("a warming node gets nothing", "umberlead/scheduling/slow_start.py", "    return units * s.cold_window / (", "    return 1e6 * units * s.cold_window / (", set()),
    ("new objects go to the first node alone", MODULE, "            for k, v in enumerate(views)\n", "            for k, v in enumerate(views[:1])\n", {"share", "served"}),
    ("all requests count as refused", MODULE, "hopeless = view and ", "hopeless = view or ", {"served"}),
    ("volumes are held for ever", MODULE, "            if wait or early or value < press - 1:", "            if wait or early or value < press + 9:", {"served"}),
    ("who can wait never goes", MODULE, "            early = press > CALM and ", "            early = press > -1 or ", {"served"}),
    ("who is sick is offered alone", MODULE, "if not v.sick(now)]", "if v.sick(now)]", set()),
)  # fmt: skip


def _exchange(root: Path, file: str, old: str | None, new: str) -> bool:
    path = root / file
    text = path.read_text()
    if old is None:  # the server's line goes, and the count with it
        rows = text.splitlines()
        kept = [r for r in rows if f" {new} " not in r]
        count = int(kept[-1].split()[1]) - (len(rows) - len(kept))
        path.write_text("\n".join([*kept[:-1], f"end {count}", ""]))
        return len(kept) < len(rows)
    if old not in text:
        return False
    path.write_text(text.replace(old, new, 1))
    return True


def play(number: int) -> tuple[str, str, set[str], set[str]]:
    """Name, file, the rules that failed, and those that should have."""
    name, files, olds, news, wanted = PLANTED[number]
    pairs = zip(files, olds, news, strict=True) if isinstance(files, tuple) else [(files, olds, news)]
    where = files if isinstance(files, str) else " and ".join(files)
    with tempfile.TemporaryDirectory() as folder:
        root = Path(folder)
        for part in ("umberlead", "deploy"):
            shutil.copytree(ROOT / part, root / part, ignore=shutil.ignore_patterns("__pycache__"))
        for file, old, new in pairs:
            if not _exchange(root, file, old, new):  # type: ignore[arg-type]
                return name, where, {"its text is gone"}, wanted
        call = [sys.executable, "-B", "-m", "umberlead", "expect", SUITE, "--workers", "1", "--json"]
        done = subprocess.run(call, cwd=root, capture_output=True, text=True, timeout=600)
        if done.returncode == 2:
            return name, where, {READ_ONLY}, wanted
        if not done.stdout:
            return name, where, {f"crash: {done.stderr[-200:]}"}, wanted
        told = json.loads(done.stdout)[SUITE]
        rules = {v["rule"] for v in told["verdicts"] if v["outcome"] == "failed"}
        errors = [v["why"] for v in told["verdicts"] if v["outcome"] == "error"]
        rules |= {NOT_LISTED if "is listed then" in why else f"error: {why[:28]}" for why in errors}
        return name, where, rules, wanted


def main() -> int:
    with ThreadPoolExecutor(os.cpu_count()) as pool:
        results = list(pool.map(play, range(len(PLANTED))))
    rows, caught, meant = [], 0, 0
    for name, where, rules, wanted in results:
        if wanted:
            meant += 1
            caught += bool(rules & wanted)
        state = "caught" if rules & wanted else "MISSED" if wanted else "no effect" if not rules else "shows"
        rows.append(f"| {name} | {where} | {state} | {', '.join(sorted(rules)) or '-'} |")
    text = "# Mistakes planted in routes\n\n`make planted-routes`; each alone, judged by the example suite. 'no effect':"
    text += " another part keeps the rule, or the suite doesn't speak of it.\n\n| mistake | where | state | rules that failed |\n"
    text += (
        "| --- | --- | --- | --- |\n"
        + "\n".join(rows)
        + f"\n\n{caught} of {meant} caught by a rule that speaks of them.\n"
    )
    print(text)
    if "--keep" in sys.argv:
        OUT.write_text(text)
    return 0 if caught == meant else 1


if __name__ == "__main__":
    sys.exit(main())
