"""Reads a set of list files: the main file, what it includes, and its manifest.

It blocks, and belongs on a worker thread. A set is taken only if it was the same before and after it was
read, so that no mix of two versions passes.
"""

import hashlib
import os
import stat
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import NamedTuple

from umberlead.membership import grammar
from umberlead.membership.checks import manifest_problems
from umberlead.membership.model import FilePosition, ListProblem, ParsedFile

MAX_SET_BYTES = 64 << 20
MAX_FILES_COUNT = 1000
MAX_INCLUDE_DEPTH_COUNT = 8
WILDCARDS_PATTERN = "*?["


class PathSignature(NamedTuple):
    """What tells one content of a path from another, as far as the file system does.

    Signatures are compared for being the same, never for being later, as clocks go back.

    Attributes:
        path: The path.
        device: The file's device; -1 where there is no file, and the inode holds the error number.
        inode: The file's inode; with it, it matters where a symlink points to.
        size_bytes: The file's size.
        modified_ns: The time of the file's last change of content.
        status_changed_ns: The time of its last change of content or status.
    """

    path: str
    device: int
    inode: int
    size_bytes: int
    modified_ns: int
    status_changed_ns: int


Signature = tuple[PathSignature, ...]


@dataclass(slots=True)
class FileSet:
    """What was read.

    Attributes:
        parsed_files: The files' statements, the main file first; without the manifest.
        digest: The SHA-256 over names and contents of all files.
        digest_by_file: The SHA-256 of each file, the manifest included.
        text_by_file: The text of each file, the manifest included.
        problems: What kept files from being read.
        paths: The files' paths, those of missing files too.
        watched_folders: The folders of the files, by their real paths too.
        paths_signature: The signature of all paths and of folders with wildcards.
    """

    parsed_files: list[ParsedFile] = field(default_factory=list)
    digest: str = ""
    digest_by_file: dict[str, str] = field(default_factory=dict)
    text_by_file: dict[str, str] = field(default_factory=dict)
    problems: list[ListProblem] = field(default_factory=list)
    paths: list[Path] = field(default_factory=list)
    watched_folders: set[Path] = field(default_factory=set)
    paths_signature: Signature = ()


def _path_signature(path: Path) -> PathSignature:
    try:
        status = os.stat(path)
    except OSError as error:
        return PathSignature(str(path), -1, error.errno or 0, 0, 0, 0)
    return PathSignature(
        path=str(path),
        device=status.st_dev,
        inode=status.st_ino,
        size_bytes=status.st_size,
        modified_ns=status.st_mtime_ns,
        status_changed_ns=status.st_ctime_ns,
    )


def paths_signature(paths: Iterable[Path], folders: Iterable[Path] = ()) -> Signature:
    """Return the signature of some files and folders."""
    return tuple(_path_signature(path) for path in (*paths, *sorted(folders)))


class _SetReader:
    """Reads one set.

    Attributes:
        main_path: The main file.
        file_set: What was read so far.
        bytes_read: The size of what was read so far.
        include_chain: The files that are being read, each included by the one before it.
        seen_paths: The files that were read.
        drop_in_folders: The folders whose content decides which files there are.
    """

    def __init__(self, main_path: Path) -> None:
        self.main_path = main_path
        self.file_set = FileSet()
        self.bytes_read = 0
        self.include_chain: list[Path] = []
        self.seen_paths: set[Path] = set()
        self.drop_in_folders: set[Path] = set()

    def relative_name(self, path: Path) -> str:
        """Return a file's name in messages and in the manifest."""
        return os.path.relpath(path, self.main_path.parent)

    def add_problem(self, code: str, position: FilePosition, message: str) -> None:
        """Record what keeps a file from being read."""
        self.file_set.problems.append(ListProblem(code, position, message))

    def read_file(self, path: Path, position: FilePosition) -> ParsedFile | None:
        """Read and parse a file that is named at `position`; None with a problem where it can't be read."""
        name = self.relative_name(path)
        data = self._read_bytes(path, name, position)
        if data is None:
            return None
        try:
            text = data.decode()
        except UnicodeDecodeError as error:
            line = data.count(b"\n", 0, error.start) + 1
            self.add_problem("L401", FilePosition(name, line), "the file is not UTF-8")
            return None
        self.file_set.digest_by_file[name] = hashlib.sha256(data).hexdigest()
        self.file_set.text_by_file[name] = text
        return grammar.parse_file(text, name)

    def _read_bytes(self, path: Path, name: str, position: FilePosition) -> bytes | None:
        self.file_set.paths.append(path)
        self.file_set.watched_folders.add(path.parent)
        try:
            real_path = path.resolve()
            self.file_set.watched_folders.add(real_path.parent)
            if not stat.S_ISREG(os.stat(real_path).st_mode):  # A pipe would block the thread for ever.
                self.add_problem("L401", position, f"{name} is no regular file")
                return None
            with open(real_path, "rb") as file:
                data = file.read(MAX_SET_BYTES - self.bytes_read + 1)
        except OSError as error:
            self.add_problem("L401", position, f"{name}: {error.strerror}")
            return None
        self.bytes_read += len(data)
        if self.bytes_read > MAX_SET_BYTES:
            self.add_problem("L402", position, f"the files hold more than {MAX_SET_BYTES >> 20} MiB")
            return None
        return data

    def read_with_includes(self, path: Path, position: FilePosition) -> None:
        """Read a file that is named at `position`, and what it includes."""
        if path in self.include_chain:
            loop = [*self.include_chain[self.include_chain.index(path) :], path]
            self.add_problem("L403", position, " -> ".join(self.relative_name(included) for included in loop))
            return
        if path in self.seen_paths:
            self.add_problem("L403", position, f"{self.relative_name(path)} is included twice")
            return
        if len(self.include_chain) >= MAX_INCLUDE_DEPTH_COUNT or len(self.seen_paths) >= MAX_FILES_COUNT:
            message = f"more than {MAX_INCLUDE_DEPTH_COUNT} levels or {MAX_FILES_COUNT} files of includes"
            self.add_problem("L402", position, message)
            return
        self.seen_paths.add(path)
        parsed = self.read_file(path, position)
        if parsed is None:
            return
        self.file_set.parsed_files.append(parsed)
        self.include_chain.append(path)
        for pattern, include_position in parsed.includes:
            self.read_include(path.parent, pattern, include_position)
        self.include_chain.pop()

    def read_include(self, folder: Path, pattern: str, position: FilePosition) -> None:
        """Read what an `include` statement in a file of `folder` names."""
        if _has_wildcards(pattern):
            self._read_drop_ins(folder, pattern, position)
            return
        path = _normalized(folder / pattern)
        if not path.exists():
            self.file_set.paths.append(path)
            self.file_set.watched_folders.add(path.parent)
            self.add_problem("L404", position, f"there is no file {pattern}")
            return
        self.read_with_includes(path, position)

    def _read_drop_ins(self, folder: Path, pattern: str, position: FilePosition) -> None:
        base, _, file_pattern = pattern.rpartition("/")
        if _has_wildcards(base):
            self.add_problem("L404", position, f"{pattern}: only the last part may hold wildcards")
            return
        drop_in_folder = _normalized(folder / base)
        self.drop_in_folders.add(drop_in_folder)
        self.file_set.watched_folders.add(drop_in_folder)
        if not drop_in_folder.is_dir():  # Being made again, or a typo: never an empty list.
            self.add_problem("L404", position, f"there is no folder {base or '.'}")
            return
        for path in sorted(drop_in_folder.glob(file_pattern)):
            if not path.name.startswith("."):
                self.read_with_includes(path, position)

    def check_manifest(self) -> None:
        """Check the files that were read against the manifest, if there is one."""
        manifest = self.file_set.parsed_files[0].manifest if self.file_set.parsed_files else None
        if manifest is None:
            return
        name, position = manifest
        path = _normalized(self.main_path.parent / name)
        digests = dict(self.file_set.digest_by_file)
        if path in self.seen_paths:
            self.add_problem("L406", position, f"{name} is a file of the set itself")
            return
        parsed = self.read_file(path, position)
        if parsed is not None:
            main_name = self.relative_name(self.main_path)
            self.file_set.problems += manifest_problems(main_name, parsed, digests, position)


def _has_wildcards(pattern: str) -> bool:
    return any(wildcard in pattern for wildcard in WILDCARDS_PATTERN)


def _normalized(path: Path) -> Path:
    """Return the path without `..`, so that one file has one name.

    Symlinks stay, since they are what is swapped.
    """
    return Path(os.path.normpath(path))


def read_set(main_path: Path) -> FileSet:
    """Return the whole set with every problem found on the way; never raises for what files hold."""
    main_path = _normalized(main_path.absolute())
    reader = _SetReader(main_path)
    reader.read_with_includes(main_path, FilePosition(main_path.name))
    reader.check_manifest()
    file_set = reader.file_set
    file_set.paths_signature = paths_signature(file_set.paths, reader.drop_in_folders)
    set_hash = hashlib.sha256()
    for name, digest in sorted(file_set.digest_by_file.items()):
        set_hash.update(f"{name}\0{digest}\0".encode())
    file_set.digest = set_hash.hexdigest()
    return file_set


def read_stable_set(main_path: Path, max_attempts: int = 3) -> FileSet:
    """Return the set as it was at one moment: it is read again where something changed meanwhile.

    Args:
        main_path: The main file.
        max_attempts: How often it is read again before it gets problem L407.
    """
    file_set = read_set(main_path)
    for _ in range(max_attempts):
        again = read_set(main_path)
        if again.paths_signature == file_set.paths_signature and again.digest == file_set.digest:
            return again
        file_set = again
    message = "the files change faster than they can be read"
    file_set.problems.append(ListProblem("L407", FilePosition(main_path.name), message))
    return file_set
