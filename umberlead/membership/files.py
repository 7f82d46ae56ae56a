"""Reads a set of list files: the main one, what it includes, and its manifest. It blocks: for a worker
thread.

A set is taken only if it was the same before and after it was read, so that no mix of two versions passes."""

import hashlib
import os
import stat
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from umberlead.membership import grammar
from umberlead.membership.checks import manifest_problems
from umberlead.membership.model import Parsed, Place, Problem

BYTES_MOST = 64 << 20  # of a whole set
FILES_MOST = 1000
DEPTH_MOST = 8

Signature = tuple[tuple[str, int, int, int, int, int], ...]


@dataclass(slots=True)
class FileSet:
    """What was read. `folders` hold the files, by their real paths too: these are watched."""

    files: list[Parsed] = field(default_factory=list)
    digest: str = ""
    digests: dict[str, str] = field(default_factory=dict)
    texts: dict[str, str] = field(default_factory=dict)
    problems: list[Problem] = field(default_factory=list)
    paths: list[Path] = field(default_factory=list)
    folders: set[Path] = field(default_factory=set)
    signature: Signature = ()


def _mark(path: Path) -> tuple[str, int, int, int, int, int]:
    """What tells one content of a path from another, as far as the file system does. Where a symlink
    points to counts with the file's own inode."""
    try:
        of = os.stat(path)
    except OSError as fault:
        return str(path), -1, fault.errno or 0, 0, 0, 0
    return str(path), of.st_dev, of.st_ino, of.st_size, of.st_mtime_ns, of.st_ctime_ns


def signature(paths: Iterable[Path], folders: Iterable[Path] = ()) -> Signature:
    """Compared for being the same, never for being later: clocks go back."""
    return tuple(_mark(path) for path in (*paths, *sorted(folders)))


class _Reader:
    def __init__(self, main: Path) -> None:
        self.main, self.made = main, FileSet()
        self.size = 0
        self.open: list[Path] = []  # the chain of includes
        self.seen: set[Path] = set()
        self.drop_ins: set[Path] = set()  # folders whose content decides which files there are

    def name(self, path: Path) -> str:
        """As messages and the manifest have it: from the main file's folder."""
        return os.path.relpath(path, self.main.parent)

    def read(self, path: Path, at: Place) -> Parsed | None:
        made, name = self.made, self.name(path)
        made.paths.append(path)
        made.folders.add(path.parent)
        try:
            real = path.resolve()
            made.folders.add(real.parent)
            if not stat.S_ISREG(os.stat(real).st_mode):  # a pipe would hold the thread for ever
                self.bad("L401", at, f"{name} is no regular file")
                return None
            with open(real, "rb") as file:
                data = file.read(BYTES_MOST - self.size + 1)
        except OSError as fault:
            self.bad("L401", at, f"{name}: {fault.strerror}")
            return None
        self.size += len(data)
        if self.size > BYTES_MOST:
            self.bad("L402", at, f"the files hold more than {BYTES_MOST >> 20} MiB")
            return None
        try:
            text = data.decode()
        except UnicodeDecodeError as fault:
            line = data.count(b"\n", 0, fault.start) + 1
            self.bad("L401", Place(name, line), "the file is not UTF-8")
            return None
        made.digests[name] = hashlib.sha256(data).hexdigest()
        made.texts[name] = text
        return grammar.parse(text, name)

    def bad(self, code: str, at: Place, why: str) -> None:
        self.made.problems.append(Problem(code, at, why))

    def take(self, path: Path, at: Place) -> None:
        """A file and what it includes."""
        if path in self.open:
            chain = " -> ".join(self.name(p) for p in [*self.open[self.open.index(path) :], path])
            self.bad("L403", at, chain)
            return None
        if path in self.seen:
            self.bad("L403", at, f"{self.name(path)} is included twice")
            return None
        if len(self.open) >= DEPTH_MOST or len(self.seen) >= FILES_MOST:
            self.bad("L402", at, f"more than {DEPTH_MOST} levels or {FILES_MOST} files of includes")
            return None
        self.seen.add(path)
        parsed = self.read(path, at)
        if parsed is None:
            return None
        self.made.files.append(parsed)
        self.open.append(path)
        for pattern, place in parsed.includes:
            self.include(path.parent, pattern, place)
        self.open.pop()
        return None

    def include(self, folder: Path, pattern: str, place: Place) -> None:
        if any(c in pattern for c in "*?["):
            base, _, last = pattern.rpartition("/")
            if any(c in base for c in "*?["):
                self.bad("L404", place, f"{pattern}: only the last part may hold wildcards")
                return None
            inside = _plain(folder / base)
            self.drop_ins.add(inside)
            self.made.folders.add(inside)
            if not inside.is_dir():  # made again in a moment, or a typo: never an empty list
                self.bad("L404", place, f"there is no folder {base or '.'}")
                return None
            for path in sorted(inside.glob(last)):
                if not path.name.startswith("."):
                    self.take(path, place)
            return None
        path = _plain(folder / pattern)
        if not path.exists():
            self.made.paths.append(path)
            self.made.folders.add(path.parent)
            self.bad("L404", place, f"there is no file {pattern}")
            return None
        return self.take(path, place)

    def manifest(self) -> None:
        told = self.made.files[0].manifest if self.made.files else None
        if told is None:
            return
        text, place = told
        path, digests = _plain(self.main.parent / text), dict(self.made.digests)
        if path in self.seen:
            self.bad("L406", place, f"{text} is a file of the set itself")
            return None
        parsed = self.read(path, place)
        if parsed is not None:
            self.made.problems += manifest_problems(self.name(self.main), parsed, digests, place)


def _plain(path: Path) -> Path:
    """Without `..`, so that one file has one name; symlinks stay, since they are what is swapped."""
    return Path(os.path.normpath(path))


def read(main: Path) -> FileSet:
    """The whole set, with every problem met on the way. Never raises for what files hold."""
    main = _plain(main.absolute())
    reader = _Reader(main)
    reader.take(main, Place(main.name))
    reader.manifest()
    made = reader.made
    made.signature = signature(made.paths, reader.drop_ins)
    whole = hashlib.sha256()
    for name, digest in sorted(made.digests.items()):
        whole.update(f"{name}\0{digest}\0".encode())
    made.digest = whole.hexdigest()
    return made


def read_steady(main: Path, tries: int = 3) -> FileSet:
    """The set as it stood at one moment: read again where something moved meanwhile."""
    made = read(main)
    for _ in range(tries):
        again = read(main)
        if again.signature == made.signature and again.digest == made.digest:
            return again
        made = again
    made.problems.append(Problem("L407", Place(main.name), "the files change faster than they can be read"))
    return made
