"""Plants mistakes in the list's machine and checks, one at a time, and sees whether the tests catch them.

`make planted-lists`: each mistake is a copy of the program with one piece of text exchanged. A mistake that no
test catches is printed and ends the run with 1; so does one whose text is no longer there."""

import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).parent.parent
TESTS: tuple[str, ...] = ("tests/test_lists_machine.py", "tests/test_lists_files.py")

MACHINE, CHECKS = "umberlead/membership/list_merge.py", "umberlead/membership/checks.py"
GRAMMAR, DAMPING = "umberlead/membership/grammar.py", "umberlead/membership/flap_damping.py"
FILES, SNAPSHOT = "umberlead/membership/files.py", "umberlead/membership/snapshot.py"
PENDING = "umberlead/membership/pending_list.py"
PLANTED = (
    ("a draining server of the second source counts as ready", MACHINE, "merged = replace(merged, status=listed.status)", "pass"),
    ("the start of a server is the first that was told", MACHINE, "if listed.started_us > merged.started_us:", "if False:"),
    ("discovery goes before the files", "umberlead/membership/model.py", "FILES = 0\n    DISCOVERY = 1", "FILES = 1\n    DISCOVERY = 0"),
    ("a whole list of discovery keeps who is no longer in it", MACHINE, "            listed.clear()\n", "            pass\n"),
    ("who left discovery's whole list is not looked at", MACHINE, "dict.fromkeys(listed if complete else ())", "dict.fromkeys(())"),
    ("a held list is taken all the same", MACHINE, "        if problems:\n", "        if False:\n"),
    ("a list may withdraw any number", PENDING, "if delta.withdrawn_count > max(", "if delta.withdrawn_count > 9999 * max("),
    ("a lost shard is no reason to hold a list", PENDING, "    if delta.unserved_shards:", "    if False:"),
    ("a broken file leaves an older list to be confirmed", MACHINE, "        self.pending = None\n        self.rejection_problems = tuple(problems)", "        self.rejection_problems = tuple(problems)"),
    ("any short digest confirms", PENDING, "if len(digest) < MIN_DIGEST_PREFIX_SIZE or not", "if not"),
    ("a confirmation takes what is held, whatever it names", PENDING, "or not own_digest.startswith(digest)", "or False"),
    ("a delta is believed against any list", MACHINE, 'if delta is None or base_digest != (current.digest if current else ""):', "if delta is None:"),
    ("a new address keeps the old id", MACHINE, 'identity = self._identities[name] = _Identity(machine, f"{name}~{self.generation + 1}")', "pass"),
    ("ids of a name are used again", MACHINE, 'f"{name}~{self.generation + 1}"', 'f"{name}~"'),
    ("the last of a shard is held for flapping", MACHINE, "        if name not in suppressed:\n            return False\n", "        return name in suppressed\n"),
    ("one out by hand counts as there for the shard", MACHINE, "other not in suppressed and other not in self.manual_drains", "other not in suppressed"),
    ("holds are not looked at again when the others change", MACHINE, "if name in self._flap_damper.suppressed and name not in merged_by_name:", "if False:"),
    ("a mark stays with the id that the name had", MACHINE, "if reported_id is not None and reported_id != current_id:", "if False:"),
    ("a mark goes with its server", MACHINE, "if current_id is not None and reported_id != current_id:", "if current_id is not None and reported_id is None and name not in self._not_ready_since_us:"),
    ("the generation stands still", MACHINE, "            self.generation += 1", "            self.generation += bool(added)"),
    ("coming back costs no penalty", MACHINE, "            self._flap_damper.record_return(name, now_us)", "            pass"),
    ("moving costs no penalty", MACHINE, "return identity.machine != _machine_identity(endpoint)", "return False"),
    ("identities are never forgotten", MACHINE, "            del self._identities[name]", "            pass"),
    ("a penalty never fades", DAMPING, "value *= 0.5 ** ((now_us - updated_us) / self.settings.half_life_us)", "pass"),
    ("a penalty has no upper end", DAMPING, "min(self.penalty(name, now_us) + RETURN_PENALTY_UNITS, self.settings.max_penalty)", "self.penalty(name, now_us) + RETURN_PENALTY_UNITS"),
    ("a held server stays held", DAMPING, "self.suppressed.difference_update(released)", "pass"),
    ("a count that differs is passed over", GRAMMAR, "            if value != self.statement_count:", "            if False:"),
    ("a missing line end is passed over", GRAMMAR, "        if last_line:\n", "        if False:\n"),
    ("a missing closing line is passed over", GRAMMAR, "        if not self.closed:\n", "        if False:\n"),
    ("a key given twice counts once", GRAMMAR, "            if key in values:", "            if False:"),
    ("one address for two servers", CHECKS, "if address in self._name_by_address:", "if False:"),
    ("one name for two servers", CHECKS, "if name in self.endpoints:", "if False:"),
    ("networks are not looked at", CHECKS, "if self._permitted is not None and host not in self._permitted:", "if False:"),
    ("the inventory is not looked at", CHECKS, "if self._inventory and host not in self._inventory:", "if False:"),
    ("an older version is taken", CHECKS, "if version < current.version:", "if False:"),
    ("a version may be used twice", CHECKS, "elif version == current.version and digest != current.digest:", "elif False:"),
    ("a draining server covers its shard", CHECKS, "shards = {endpoint.shard for endpoint in ready}", "shards = {endpoint.shard for endpoint in endpoints.values()}"),
    ("a digest that differs is passed over", CHECKS, "elif digests[name] != digest:", "elif False:"),
    ("a file missing from the manifest is passed over", CHECKS, "        if name not in listed\n", "        if False\n"),
    ("a drop-in folder that is away is an empty list", FILES, "if not drop_in_folder.is_dir():", "if False:"),
    ("a file may be included twice", FILES, "        if path in self.seen_paths:", "        if False:"),
    ("a set that moves is taken", FILES, 'file_set.problems.append(ListProblem("L407"', '[].append(ListProblem("L407"'),
    ("a snapshot's digest is not looked at", SNAPSHOT, "if hashlib.sha256(body).hexdigest() != digest:", "if False:"),
    ("a snapshot that can't be written takes the old one's place", SNAPSHOT, "        _write_synced(temporary, data)\n", "        temporary.write_bytes(data)\n        os.rename(temporary, path)\n        _write_synced(temporary, data)\n"),
    ("weights count one more each time", "umberlead/scheduling/weighted_round_robin.py", "credit[selected] -= sum(weights.values())", "credit[selected] -= 1"),
)  # fmt: skip


def play(number: int) -> tuple[str, str]:
    """What became of one planted mistake: caught, missed or gone."""
    name, file, old, new = PLANTED[number]
    with tempfile.TemporaryDirectory() as folder:
        root = Path(folder)
        for part in ("umberlead", "tests", "deploy", "pyproject.toml"):
            source = ROOT / part
            if source.is_dir():
                shutil.copytree(source, root / part, ignore=shutil.ignore_patterns("__pycache__"))
            else:
                shutil.copy(source, root / part)
        text = (root / file).read_text()
        if old not in text:
            return name, "gone"
        (root / file).write_text(text.replace(old, new, 1))
        call = [sys.executable, "-B", "-m", "pytest", "-q", "-x", "--no-header", *TESTS]
        try:
            done = subprocess.run(call, cwd=root, capture_output=True, text=True, timeout=240, env=_env())
        except subprocess.TimeoutExpired:
            return name, "caught (does not end)"
    if done.returncode == 0:
        return name, "missed"
    first = next((x for x in done.stdout.splitlines() if x.startswith(("FAILED", "ERROR"))), "")
    return name, f"caught ({first.split('::')[-1].split(' - ')[0]})"


def _env() -> dict[str, str]:
    return {k: v for k, v in os.environ.items() if k != "PYTHONPATH"}


def main() -> int:
    with ThreadPoolExecutor(os.cpu_count()) as pool:
        results = list(pool.map(play, range(len(PLANTED))))
    rows = ["| mistake | what became of it |", "| --- | --- |", *(f"| {n} | {r} |" for n, r in results)]
    missed = [n for n, r in results if not r.startswith("caught")]
    print("\n".join([*rows, "", f"{len(results) - len(missed)} of {len(results)} planted mistakes caught"]))
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
