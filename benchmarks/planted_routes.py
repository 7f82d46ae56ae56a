"""Plants faults in the configuration, list, membership, engine and module, one at a time, and reports which
rules of the example suite fail: `make planted-routes`.

A fault counts as caught only if a rule fails that covers it; the failure of any other rule is not enough."""

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
SCHEDULER, LIFECYCLE = "umberlead/scheduling/scheduler.py", "umberlead/requests/lifecycle.py"
DIRECTORY, ENDPOINT = "umberlead/scheduling/endpoint_directory.py", "umberlead/scheduling/endpoint_state.py"
RETRIES, PRIORITIES = "umberlead/scheduling/retries.py", "umberlead/scheduling/priorities.py"
GUARD = "umberlead/requests/send_guard.py"
MACHINE, JOIN = "umberlead/membership/list_merge.py", "umberlead/membership/integration.py"
NOT_LISTED = "error: no server is listed"  # the scenario changes a server that is not in the list
READ_ONLY = "read"  # the suite, the configuration or the list is rejected before any scenario runs

PLANTED = (
    # configuration
    ("uploads count as idempotent", CONF, 'effect = "at_most_once"', 'effect = "idempotent"', {"may-once", "once", "answered-once"}),
    ("four attempts instead of three", CONF, "maxAttempts = 3", "maxAttempts = 4", {"may-attempts", "attempts"}),
    ("one attempt instead of three", CONF, "maxAttempts = 3", "maxAttempts = 1", {"served"}),
    ("reads have a tenth of their latency objective", CONF, "aim = 300000", "aim = 30000", {"served"}),
    ("exports have a tenth of their aim", CONF, "aim = 2000000", "aim = 60000", {"served"}),
    ("a class name is misspelt", CONF, 'name = "bulk-export"', 'name = "bulk-exports"', {READ_ONLY}),
    ("a plan name is misspelt", CONF, 'name = "standard"', 'name = "standrad"', {READ_ONLY}),
    ("the latency objective of uploads is below their service time", CONF, "aim = 600000", "aim = 15000", {"served"}),
    # list
    ("a server holds another shard", LIST_A, "8602 shard 2", "8602 shard 3", {"only", "may-only"}),
    ("two servers' shards are exchanged", LIST_B, "8610 shard 0", "8610 shard 1", {"only", "may-only"}),
    ("a server is missing", LIST_B, None, "node-b2", {NOT_LISTED}),
    ("a server is drained", LIST_A, "shard 4 room room-a weight 1", "shard 4 room room-a weight 1 state draining", {"served", "only"}),
    ("a server name is misspelt", LIST_A, "server node-a1 ", "server node-al ", {NOT_LISTED}),
    ("a server takes one unit at a time", LIST_A, "shard 0 room room-a weight 1", "shard 0 room room-a weight 1 max-units 0.1", set()),
    ("the server with weight 4 has weight 1", "deploy/expectations/weighted.list", "shard 0 weight 4", "shard 0 weight 1", {"share"}),
    ("weights of two servers are exchanged", "deploy/expectations/weighted.list", "shard 4 weight 0", "shard 4 weight 1", {"share", "never"}),
    # membership, and the changes that it passes on
    ("a draining server counts as ready", MACHINE, "if listed.status is not EndpointStatus.UP and merged.status is EndpointStatus.UP:", "if False:", set()),
    ("a removed server is kept", JOIN, "endpoints = [scheduler_endpoint(active, EndpointStatus.GONE) for active in change.removed]", "endpoints = []", {"never", "only"}),
    ("changes of a server are not passed on", JOIN, "    endpoints += [scheduler_endpoint(after) for _, after in change.changed]\n", "", {"never", "only"}),
    ("manual drains are not passed on", JOIN, "        lifecycle.set_manual_drain(endpoint_id, drained, drained_us)", "        pass", {"never", "only"}),
    ("manual drains are passed on inverted", JOIN, "lifecycle.set_manual_drain(endpoint_id, drained, drained_us)", "lifecycle.set_manual_drain(endpoint_id, not drained, drained_us)", {"never", "only"}),
    ("weights are not passed on", JOIN, "        endpoint.weight,\n", "        None,\n", {"share", "never"}),
    ("shards are passed on one too high", JOIN, "        endpoint.shard,\n", "        endpoint.shard + 1,\n", {"only", "may-only"}),
    ("draining is passed on as ready", JOIN, "status or endpoint.status,", "status or EndpointStatus.UP,", {"never", "only"}),
    ("the merge omits removed servers", MACHINE, "                removed.append(before)\n", "                pass\n", {"never", "only"}),
    ("the merge omits changed servers", MACHINE, "                changed.append(EndpointChange(before, after))", "                pass", {"never", "only"}),
    ("the merge omits manual drains", MACHINE, "                changes.append(ManualDrain(current_id, True, self.manual_drains[name]))", "                pass", {"never", "only"}),
    # engine
    ("an upload that may have run is sent again", GUARD, "        if self._clock() >= self.repeat_until_us(request):\n            return Denial.MAY_HAVE_RUN\n", "", set()),
    ("possible execution of an attempt is not recorded", LIFECYCLE, "            request.may_have_run = True\n", "            pass\n", set()),
    ("an answer is sent twice", LIFECYCLE, "        request.on_answer(answer)\n", "        request.on_answer(answer)\n        request.on_answer(answer)\n", {"answered-once"}),
    ("a served answer is not passed on", LIFECYCLE, "if result is AttemptResult.OK and not request.answered:", "if False:", {"served", "answered-once", "within"}),
    ("undecided requests are not answered at their deadline", LIFECYCLE, "        if not request.answered:\n            self.wheel.call_after(DECISION_GRACE_US, self._answer_undecided, request)", "", set()),
    ("rejected requests are not answered", LIFECYCLE, "        self._answer(request, Answer(kind, None, retry_after_us, request.may_have_run))\n", "", {"refused", "prompt", "answered-once"}),
    # module
    ("the status of a server is ignored", ENDPOINT, "if self.endpoint.status is not EndpointStatus.UP or self._is_full(units):", "if self._is_full(units):", {"never", "only"}),
    ("manual drains are ignored", DIRECTORY, "[self.endpoints[name] for name in names if name not in self.manual_drains]", "[self.endpoints[name] for name in names]", {"never", "only"}),
    ("any server may serve any shard", DIRECTORY, "self.by_shard.get(shard, {}) if shard >= 0 else self.endpoints", "self.endpoints", {"only", "may-only"}),
    ("weight 0 takes new objects", DIRECTORY, "        return [state for state in states if state.endpoint.weight != 0]", "        return states", {"share", "never"}),
    ("weights are ignored", DIRECTORY, "        if self._placement_weights:\n            return", "        if False:\n            return", {"share"}),
    ("one more attempt than is allowed", RETRIES, "pending.attempt_count >= self._settings.max_attempts", "pending.attempt_count > self._settings.max_attempts", set()),
    ("the module sends uploads again", RETRIES, "        return max(request_class.deduplication_window_us - WRITE_DELAY_ALLOWANCE_US, 0)\n    return 0\n", "        return max(request_class.deduplication_window_us - WRITE_DELAY_ALLOWANCE_US, 0)\n    return NEVER\n", set()),
    ("module and engine both send uploads again", (RETRIES, GUARD), ("        return max(request_class.deduplication_window_us - WRITE_DELAY_ALLOWANCE_US, 0)\n    return 0\n", "        if self._clock() >= self.repeat_until_us(request):\n            return Denial.MAY_HAVE_RUN\n"), ("        return max(request_class.deduplication_window_us - WRITE_DELAY_ALLOWANCE_US, 0)\n    return NEVER\n", ""), {"may-once", "once"}),
    ("module and engine both allow one more attempt", (RETRIES, GUARD), ("pending.attempt_count >= self._settings.max_attempts", "        if request.attempt_count >= self._max_attempts:\n            return Denial.ATTEMPTS_USED\n"), ("pending.attempt_count > self._settings.max_attempts", ""), {"may-attempts", "attempts"}),
    ("a failed attempt is not retried", SCHEDULER, "        elif outcome.misdirected or not self.retries.may_attempt(pending, self.now_us):", "        elif True:", {"served", "may-attempts"}),
    ("rejections come only at the deadline", SCHEDULER, "self._schedule(pending.objective_at_us, self._end_unserved, pending)", "self._schedule(request.deadline_us, self._end_unserved, pending)", {"prompt", "within"}),
    ("requests to reject are held forever", SCHEDULER, "        self._schedule(pending.objective_at_us, self._end_unserved, pending)", "        pass", {"refused", "prompt", "answered-once"}),
    ("a removed endpoint is kept", DIRECTORY, "                self._remove(endpoint)\n", "                pass\n", {"never", "only"}),
    ("the concurrency bound is a tenth of a request", ENDPOINT, "MAX_CONCURRENCY_REQUESTS = 8.0", "MAX_CONCURRENCY_REQUESTS = 0.1", set()),
    ("a server in slow start gets nothing", "umberlead/scheduling/slow_start.py", "    return units * settings.slow_start_window_us / window_units", "    return 1e6 * units * settings.slow_start_window_us / window_units", set()),
    ("new objects go to the first server only", DIRECTORY, "            for index, state in enumerate(states)\n", "            for index, state in enumerate(states[:1])\n", {"share", "served"}),
    ("all requests count as late", SCHEDULER, "if state is not None and self.priorities.is_late(pending, state, self.now_us):", "if state is not None:", {"served"}),
    ("volumes are held forever", PRIORITIES, "return can_wait or priority < latency_ratio - 1", "return can_wait or priority < latency_ratio + 9", {"served"}),
    ("requests that can wait are never sent", PRIORITIES, "can_wait = latency_ratio > RELAXED_LATENCY_RATIO and ", "can_wait = latency_ratio > -1 or ", {"served"}),
    ("only outliers are candidates", DIRECTORY, "if not state.is_outlier(now_us)]", "if state.is_outlier(now_us)]", set()),
)  # fmt: skip


def _exchange(root: Path, file: str, old: str | None, new: str) -> bool:
    path = root / file
    text = path.read_text()
    if old is None:  # removes the line of the server and corrects the line count
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
    """Returns the name and file of a fault, the rules that failed, and those that were expected to fail."""
    name, files, olds, news, wanted = PLANTED[number]
    pairs = zip(files, olds, news, strict=True) if isinstance(files, tuple) else [(files, olds, news)]
    where = files if isinstance(files, str) else " and ".join(files)
    with tempfile.TemporaryDirectory() as folder:
        root = Path(folder)
        for part in ("umberlead", "deploy"):
            shutil.copytree(ROOT / part, root / part, ignore=shutil.ignore_patterns("__pycache__"))
        for file, old, new in pairs:
            if not _exchange(root, file, old, new):  # type: ignore[arg-type]
                return name, where, {"text to replace not found"}, wanted
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
    text = "# Mistakes planted in routes\n\n`make planted-routes`; each alone, checked by the example suite. 'no effect':"
    text += " another component prevents the fault, or the suite does not cover it.\n\n| mistake | where | state | rules that failed |\n"
    text += (
        "| --- | --- | --- | --- |\n"
        + "\n".join(rows)
        + f"\n\n{caught} of {meant} caught by a rule that covers them.\n"
    )
    print(text)
    if "--keep" in sys.argv:
        OUT.write_text(text)
    return 0 if caught == meant else 1


if __name__ == "__main__":
    sys.exit(main())
