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
PLANTED = (
    ("a draining server of the second source counts as ready", MACHINE, "found = replace(found, state=told.state)", "pass"),
    ("the start of a server is the first that was told", MACHINE, "if told.started > found.started:", "if False:"),
    ("discovery goes before the files", "umberlead/membership/model.py", "FILES = 0\n    DISCOVERY = 1", "FILES = 1\n    DISCOVERY = 0"),
    ("a whole list of discovery keeps who is no longer in it", MACHINE, "            known.clear()\n", "            pass\n"),
    ("who left discovery's whole list is not looked at", MACHINE, "dict.fromkeys(known if whole else ())", "dict.fromkeys(())"),
    ("a held list is taken all the same", MACHINE, "if old is not None and (problems := self._too_much(listing, delta)):", "if False:"),
    ("a list may withdraw any number", MACHINE, "if delta.withdrawn > max(", "if delta.withdrawn > 9999 * max("),
    ("a lost shard is no reason to hold a list", MACHINE, "        if delta.lost:", "        if False:"),
    ("a broken file leaves an older list to be confirmed", MACHINE, "self.pending, self.complaint = None, tuple(problems)", "self.complaint = tuple(problems)"),
    ("any short digest confirms", MACHINE, "if len(digest) < DIGEST_LEAST or not", "if not"),
    ("a confirmation takes what is held, whatever it names", MACHINE, "or not self.pending.listing.digest.startswith(digest)", "or False"),
    ("a delta is believed against any list", MACHINE, 'if delta is None or base != (old.digest if old else ""):', "if delta is None:"),
    ("a new address keeps the old id", MACHINE, 'self._ids[name] = known = (identity, f"{name}~{self.generation + 1}")', "pass"),
    ("ids of a name are used again", MACHINE, 'f"{name}~{self.generation + 1}"', 'f"{name}~"'),
    ("the last of a shard is held for flapping", MACHINE, "return any(n not in self._flaps.held and n not in self.marks for n in others if n != name)", "return True"),
    ("one out by hand counts as there for the shard", MACHINE, "n not in self._flaps.held and n not in self.marks for n", "n not in self._flaps.held for n"),
    ("holds are not looked at again when the others change", MACHINE, "if name in self._flaps.held and name not in todo:", "if False:"),
    ("a mark stays with the id that the name had", MACHINE, "if known is not None and known != due:", "if False:"),
    ("a mark goes with its server", MACHINE, "if due is not None and known != due:", "if due is not None and known is None and name not in self._left:"),
    ("the generation stands still", MACHINE, "            self.generation += 1", "            self.generation += bool(came)"),
    ("coming back costs no penalty", MACHINE, "            self._flaps.returned(name, now)", "            pass"),
    ("moving costs no penalty", MACHINE, "name in self._left or (moved and old is not None)", "name in self._left"),
    ("identities are never forgotten", MACHINE, "            del self._gone[name], self._ids[name]", "            del self._gone[name]"),
    ("a penalty never fades", DAMPING, "value *= 0.5 ** ((now - at) / self.rules.half_life)", "pass"),
    ("a penalty has no upper end", DAMPING, "min(self.penalty(name, now) + RETURN, self.rules.most)", "self.penalty(name, now) + RETURN"),
    ("a held server stays held", DAMPING, "self.held.difference_update(free)", "pass"),
    ("a count that differs is passed over", GRAMMAR, "            if value != count:", "            if False:"),
    ("a missing line end is passed over", GRAMMAR, "    if last:\n", "    if False:\n"),
    ("a missing closing line is passed over", GRAMMAR, "    if not closed:\n", "    if False:\n"),
    ("a key given twice counts once", GRAMMAR, "            if key in found:", "            if False:"),
    ("one address for two servers", CHECKS, "if address in taken:", "if False:"),
    ("one name for two servers", CHECKS, "if server.name in found:", "if False:"),
    ("networks are not looked at", CHECKS, "if permitted is not None and address[0] not in permitted:", "if False:"),
    ("the inventory is not looked at", CHECKS, "if inventory and host not in inventory:", "if False:"),
    ("an older version is taken", CHECKS, "if version < before.version:", "if False:"),
    ("a version may be used twice", CHECKS, "elif version == before.version and digest != before.digest:", "elif False:"),
    ("a draining server covers its shard", CHECKS, "shards = {s.shard for s in ready}", "shards = {s.shard for s in servers.values()}"),
    ("a digest that differs is passed over", CHECKS, "elif digests[name] != digest:", "elif False:"),
    ("a file missing from the manifest is passed over", CHECKS, "        if name not in told:\n", "        if False:\n"),
    ("a drop-in folder that is away is an empty list", FILES, "if not inside.is_dir():", "if False:"),
    ("a file may be included twice", FILES, "        if path in self.seen:", "        if False:"),
    ("a set that moves is taken", FILES, 'made.problems.append(Problem("L407"', '[].append(Problem("L407"'),
    ("a snapshot's digest is not looked at", SNAPSHOT, "if hashlib.sha256(body).hexdigest() != words[3]:", "if False:"),
    ("a snapshot that can't be written takes the old one's place", SNAPSHOT, "            os.fsync(descriptor)\n", "            os.rename(beside, path)\n            os.fsync(descriptor)\n"),
    ("weights count one more each time", "umberlead/scheduling/weighted_round_robin.py", "kept[name] -= sum(weights.values())", "kept[name] -= 1"),
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
