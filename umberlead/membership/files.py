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
from umberlead.membership.model import FilePosition, ListProblem, ParsedFile

MAX_SET_BYTES = 64 << 20  # of a whole set
MAX_FILES_COUNT = 1000
MAX_INCLUDE_DEPTH_COUNT = 8

Signature = tuple[tuple[str, int, int, int, int, int], ...]


@dataclass(slots=True)
class FileSet:
    """What was read. `folders` hold the files, by their real paths too: these are watched."""

    parsed_files: list[ParsedFile] = field(default_factory=list)
    digest: str = ""
    digest_by_file: dict[str, str] = field(default_factory=dict)
    text_by_file: dict[str, str] = field(default_factory=dict)
    problems: list[ListProblem] = field(default_factory=list)
    paths: list[Path] = field(default_factory=list)
    watched_folders: set[Path] = field(default_factory=set)
    paths_signature: Signature = ()


def _path_signature(path: Path) -> tuple[str, int, int, int, int, int]:
    """What tells one content of a path from another, as far as the file system does. Where a symlink
    points to counts with the file's own inode."""
    try:
        of = os.stat(path)
    except OSError as fault:
        return str(path), -1, fault.errno or 0, 0, 0, 0
    return str(path), of.st_dev, of.st_ino, of.st_size, of.st_mtime_ns, of.st_ctime_ns


def paths_signature(paths: Iterable[Path], folders: Iterable[Path] = ()) -> Signature:
    """Compared for being the same, never for being later: clocks go back."""
    return tuple(_path_signature(path) for path in (*paths, *sorted(folders)))


class _SetReader:
    def __init__(self, main_path: Path) -> None:
        self.main_path, self.file_set = main_path, FileSet()
        self.bytes_read = 0
        self.include_chain: list[Path] = []  # the chain of includes
        self.seen_paths: set[Path] = set()
        self.drop_in_folders: set[Path] = set()  # folders whose content decides which files there are

    def relative_name(self, path: Path) -> str:
        """As messages and the manifest have it: from the main file's folder."""
        return os.path.relpath(path, self.main_path.parent)

    def read_file(self, path: Path, at: FilePosition) -> ParsedFile | None:
        made, name = self.file_set, self.relative_name(path)
        made.paths.append(path)
        made.watched_folders.add(path.parent)
        try:
            real = path.resolve()
            made.watched_folders.add(real.parent)
            if not stat.S_ISREG(os.stat(real).st_mode):  # a pipe would hold the thread for ever
                self.add_problem("L401", at, f"{name} is no regular file")
                return None
            with open(real, "rb") as file:
                data = file.read(MAX_SET_BYTES - self.bytes_read + 1)
        except OSError as fault:
            self.add_problem("L401", at, f"{name}: {fault.strerror}")
            return None
        self.bytes_read += len(data)
        if self.bytes_read > MAX_SET_BYTES:
            self.add_problem("L402", at, f"the files hold more than {MAX_SET_BYTES >> 20} MiB")
            return None
        try:
            text = data.decode()
        except UnicodeDecodeError as fault:
            line = data.count(b"\n", 0, fault.start) + 1
            self.add_problem("L401", FilePosition(name, line), "the file is not UTF-8")
            return None
        made.digest_by_file[name] = hashlib.sha256(data).hexdigest()
        made.text_by_file[name] = text
        return grammar.parse_file(text, name)

    def add_problem(self, code: str, at: FilePosition, why: str) -> None:
        self.file_set.problems.append(ListProblem(code, at, why))

    def read_with_includes(self, path: Path, at: FilePosition) -> None:
        """A file and what it includes."""
        if path in self.include_chain:
            chain = " -> ".join(
                self.relative_name(p) for p in [*self.include_chain[self.include_chain.index(path) :], path]
            )
            self.add_problem("L403", at, chain)
            return None
        if path in self.seen_paths:
            self.add_problem("L403", at, f"{self.relative_name(path)} is included twice")
            return None
        if len(self.include_chain) >= MAX_INCLUDE_DEPTH_COUNT or len(self.seen_paths) >= MAX_FILES_COUNT:
            self.add_problem(
                "L402",
                at,
                f"more than {MAX_INCLUDE_DEPTH_COUNT} levels or {MAX_FILES_COUNT} files of includes",
            )
            return None
        self.seen_paths.add(path)
        parsed = self.read_file(path, at)
        if parsed is None:
            return None
        self.file_set.parsed_files.append(parsed)
        self.include_chain.append(path)
        for pattern, place in parsed.includes:
            self.read_include(path.parent, pattern, place)
        self.include_chain.pop()
        return None

    def read_include(self, folder: Path, pattern: str, place: FilePosition) -> None:
        if any(c in pattern for c in "*?["):
            base, _, last = pattern.rpartition("/")
            if any(c in base for c in "*?["):
                self.add_problem("L404", place, f"{pattern}: only the last part may hold wildcards")
                return None
            inside = _normalized(folder / base)
            self.drop_in_folders.add(inside)
            self.file_set.watched_folders.add(inside)
            if not inside.is_dir():  # made again in a moment, or a typo: never an empty list
                self.add_problem("L404", place, f"there is no folder {base or '.'}")
                return None
            for path in sorted(inside.glob(last)):
                if not path.name.startswith("."):
                    self.read_with_includes(path, place)
            return None
        path = _normalized(folder / pattern)
        if not path.exists():
            self.file_set.paths.append(path)
            self.file_set.watched_folders.add(path.parent)
            self.add_problem("L404", place, f"there is no file {pattern}")
            return None
        return self.read_with_includes(path, place)

    def check_manifest(self) -> None:
        told = self.file_set.parsed_files[0].manifest if self.file_set.parsed_files else None
        if told is None:
            return
        text, place = told
        path, digests = _normalized(self.main_path.parent / text), dict(self.file_set.digest_by_file)
        if path in self.seen_paths:
            self.add_problem("L406", place, f"{text} is a file of the set itself")
            return None
        parsed = self.read_file(path, place)
        if parsed is not None:
            self.file_set.problems += manifest_problems(
                self.relative_name(self.main_path), parsed, digests, place
            )


def _normalized(path: Path) -> Path:
    """Without `..`, so that one file has one name; symlinks stay, since they are what is swapped."""
    return Path(os.path.normpath(path))


def read_set(main_path: Path) -> FileSet:
    """The whole set, with every problem met on the way. Never raises for what files hold."""
    main_path = _normalized(main_path.absolute())
    reader = _SetReader(main_path)
    reader.read_with_includes(main_path, FilePosition(main_path.name))
    reader.check_manifest()
    made = reader.file_set
    made.paths_signature = paths_signature(made.paths, reader.drop_in_folders)
    whole = hashlib.sha256()
    for name, digest in sorted(made.digest_by_file.items()):
        whole.update(f"{name}\0{digest}\0".encode())
    made.digest = whole.hexdigest()
    return made


def read_stable_set(main_path: Path, max_attempts: int = 3) -> FileSet:
    """The set as it stood at one moment: read again where something moved meanwhile."""
    made = read_set(main_path)
    for _ in range(max_attempts):
        again = read_set(main_path)
        if again.paths_signature == made.paths_signature and again.digest == made.digest:
            return again
        made = again
    made.problems.append(
        ListProblem("L407", FilePosition(main_path.name), "the files change faster than they can be read")
    )
    return made
