"""Mutation tests of the endpoint lists: plants one mistake at a time and checks that the tests catch it.

`make planted-lists` runs them. For each mistake, one text is replaced in a copy of the program. A mistake that
no test catches, or whose text the program no longer has, is printed, and the exit code is 1."""

import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).parent.parent
TESTS: tuple[str, ...] = ("tests/test_list_merge.py", "tests/test_lists_files.py")

LIST_MERGE, CHECKS = "umberlead/membership/list_merge.py", "umberlead/membership/checks.py"
GRAMMAR, DAMPING = "umberlead/membership/grammar.py", "umberlead/membership/flap_damping.py"
FILES, SNAPSHOT = "umberlead/membership/files.py", "umberlead/membership/snapshot.py"
PENDING = "umberlead/membership/pending_list.py"
PLANTED = (
    ("a server that the second source lists as draining counts as ready", LIST_MERGE, "merged = replace(merged, status=listed.status)", "pass"),
    ("a server's start time is that of the first source, not the latest", LIST_MERGE, "if listed.started_us > merged.started_us:", "if False:"),
    ("discovery takes precedence over the files", "umberlead/membership/model.py", "FILES = 0\n    DISCOVERY = 1", "FILES = 1\n    DISCOVERY = 0"),
    ("a complete update of discovery keeps servers that it no longer lists", LIST_MERGE, "            listed.clear()\n", "            pass\n"),
    ("servers missing from a complete update of discovery are not updated", LIST_MERGE, "dict.fromkeys(listed if complete else ())", "dict.fromkeys(())"),
    ("a list that needs confirmation is put in force", LIST_MERGE, "        if problems:\n", "        if False:\n"),
    ("a list may withdraw any number of servers", PENDING, "if delta.withdrawn_count > max(", "if delta.withdrawn_count > 9999 * max("),
    ("a shard without a ready server does not hold a list", PENDING, "    if delta.unserved_shards:", "    if False:"),
    ("an invalid file keeps an older list pending", LIST_MERGE, "        self.pending = None\n        self.rejection_problems = tuple(problems)", "        self.rejection_problems = tuple(problems)"),
    ("a digest of any length confirms a list", PENDING, "if len(digest) < MIN_DIGEST_PREFIX_SIZE or not", "if not"),
    ("a confirmation with another digest is accepted", PENDING, "or not own_digest.startswith(digest)", "or False"),
    ("a delta against another list is used", LIST_MERGE, 'if delta is None or base_digest != (current.digest if current else ""):', "if delta is None:"),
    ("an endpoint with a new address keeps its id", LIST_MERGE, 'identity = self._identities[name] = _Identity(machine, f"{name}~{self.generation + 1}")', "pass"),
    ("the ids of a name are reused", LIST_MERGE, 'f"{name}~{self.generation + 1}"', 'f"{name}~"'),
    ("the last endpoint of a shard is suppressed for flapping", LIST_MERGE, "        if name not in suppressed:\n            return False\n", "        return name in suppressed\n"),
    ("a manually drained endpoint counts as usable for its shard", LIST_MERGE, "other not in suppressed and other not in self.manual_drains", "other not in suppressed"),
    ("suppression is not updated when other endpoints of the shard change", LIST_MERGE, "if name in self._flap_damper.suppressed and name not in merged_by_name:", "if False:"),
    ("a manual drain stays set for a name's earlier id", LIST_MERGE, "if reported_id is not None and reported_id != current_id:", "if False:"),
    ("a manual drain is lost when its server is removed", LIST_MERGE, "if current_id is not None and reported_id != current_id:", "if current_id is not None and reported_id is None and name not in self._not_ready_since_us:"),
    ("the generation does not grow without an added endpoint", LIST_MERGE, "            self.generation += 1", "            self.generation += bool(added)"),
    ("becoming ready again adds no penalty", LIST_MERGE, "            self._flap_damper.record_return(name, now_us)", "            pass"),
    ("a new address adds no penalty", LIST_MERGE, "return identity.machine != _machine_identity(endpoint)", "return False"),
    ("identities of removed endpoints are never deleted", LIST_MERGE, "            del self._identities[name]", "            pass"),
    ("a penalty never decays", DAMPING, "value *= 0.5 ** ((now_us - updated_us) / self.settings.half_life_us)", "pass"),
    ("a penalty has no maximum", DAMPING, "min(self.penalty(name, now_us) + RETURN_PENALTY_UNITS, self.settings.max_penalty)", "self.penalty(name, now_us) + RETURN_PENALTY_UNITS"),
    ("a suppressed endpoint is never released", DAMPING, "self.suppressed.difference_update(released)", "pass"),
    ("a wrong count in the closing line is accepted", GRAMMAR, "            if value != self.statement_count:", "            if False:"),
    ("a missing newline at the end is accepted", GRAMMAR, "        if last_line:\n", "        if False:\n"),
    ("a missing closing line is accepted", GRAMMAR, "        if not self.closed:\n", "        if False:\n"),
    ("an attribute given twice is accepted", GRAMMAR, "            if key in values:", "            if False:"),
    ("two servers with the same address are accepted", CHECKS, "if address in self._name_by_address:", "if False:"),
    ("two servers with the same name are accepted", CHECKS, "if name in self.endpoints:", "if False:"),
    ("the permitted networks are not checked", CHECKS, "if self._permitted is not None and host not in self._permitted:", "if False:"),
    ("the inventory is not checked", CHECKS, "if self._inventory and host not in self._inventory:", "if False:"),
    ("an older version is accepted", CHECKS, "if version < current.version:", "if False:"),
    ("a version with other content is accepted again", CHECKS, "elif version == current.version and digest != current.digest:", "elif False:"),
    ("a draining server covers its shard", CHECKS, "shards = {endpoint.shard for endpoint in ready}", "shards = {endpoint.shard for endpoint in endpoints.values()}"),
    ("a wrong digest in the manifest is accepted", CHECKS, "elif digests[name] != digest:", "elif False:"),
    ("a file missing from the manifest is accepted", CHECKS, "        if name not in listed\n", "        if False\n"),
    ("a missing drop-in folder counts as empty", FILES, "if not drop_in_folder.is_dir():", "if False:"),
    ("a file may be included twice", FILES, "        if path in self.seen_paths:", "        if False:"),
    ("a set that changes while it is read is accepted", FILES, 'file_set.problems.append(ListProblem("L407"', '[].append(ListProblem("L407"'),
    ("a snapshot's digest is not checked", SNAPSHOT, "if hashlib.sha256(body).hexdigest() != digest:", "if False:"),
    ("a snapshot that can't be written replaces the old one", SNAPSHOT, "        _write_synced(temporary, data)\n", "        temporary.write_bytes(data)\n        os.rename(temporary, path)\n        _write_synced(temporary, data)\n"),
    ("each selection costs a credit of 1 instead of the sum of weights", "umberlead/scheduling/weighted_round_robin.py", "credit[selected] -= sum(weights.values())", "credit[selected] -= 1"),
)  # fmt: skip


def run_mistake(number: int) -> tuple[str, str]:
    """Run the tests with one mistake; return its description and result: caught, missed or gone."""
    description, file, old, new = PLANTED[number]
    with tempfile.TemporaryDirectory() as folder:
        root = Path(folder)
        for entry in ("umberlead", "tests", "deploy", "pyproject.toml"):
            source = ROOT / entry
            if source.is_dir():
                shutil.copytree(source, root / entry, ignore=shutil.ignore_patterns("__pycache__"))
            else:
                shutil.copy(source, root / entry)
        text = (root / file).read_text()
        if old not in text:
            return description, "gone"
        (root / file).write_text(text.replace(old, new, 1))
        pytest_command = [sys.executable, "-B", "-m", "pytest", "-q", "-x", "--no-header", *TESTS]
        try:
            result = subprocess.run(
                pytest_command, cwd=root, capture_output=True, text=True, timeout=240, env=_env()
            )
        except subprocess.TimeoutExpired:
            return description, "caught (timed out)"
    if result.returncode == 0:
        return description, "missed"
    first_failure = next(
        (line for line in result.stdout.splitlines() if line.startswith(("FAILED", "ERROR"))), ""
    )
    return description, f"caught ({first_failure.split('::')[-1].split(' - ')[0]})"


def _env() -> dict[str, str]:
    return {name: value for name, value in os.environ.items() if name != "PYTHONPATH"}


def main() -> int:
    with ThreadPoolExecutor(os.cpu_count()) as pool:
        results = list(pool.map(run_mistake, range(len(PLANTED))))
    rows = [
        "| mistake | result |",
        "| --- | --- |",
        *(f"| {description} | {result} |" for description, result in results),
    ]
    missed = [description for description, result in results if not result.startswith("caught")]
    print("\n".join([*rows, "", f"{len(results) - len(missed)} of {len(results)} planted mistakes caught"]))
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
