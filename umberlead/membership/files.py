"""Reads a set of list files: the main file, the files that it includes, and its manifest.

The functions block and are for a worker thread. The set is read until two consecutive reads are equal, so
that a mix of two versions is not accepted.
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
WILDCARD_CHARACTERS = "*?["


class PathSignature(NamedTuple):
    """File metadata that changes when the content of a path changes.

    Signatures are compared only for equality, never by age, since clocks may go back.

    Attributes:
        path: The path.
        device: The file's device; -1 if `stat` failed, and `inode` is then the error number.
        inode: The inode of the file that the path leads to; it differs after a symlink is replaced.
        size_bytes: The file's size.
        modified_ns: The time of the last change of the file's content.
        status_changed_ns: The time of the last change of the file's content or status.
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
    """A set of files as read.

    Attributes:
        parsed_files: The files' statements, the main file first; without the manifest.
        digest: The SHA-256 over the names and contents of all files.
        digest_by_file: The SHA-256 of each file, including the manifest.
        text_by_file: The text of each file, including the manifest.
        problems: The problems of reading files, and of the manifest.
        paths: The paths of all files, including missing ones.
        watched_folders: The folders of the files, both as named and with symlinks resolved.
        paths_signature: The signature of all paths, and of the folders that are searched by wildcards.
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
        file_set: The files read so far.
        bytes_read: The size of the files read so far.
        include_chain: The files that are being read, each included by the one before it.
        seen_paths: The list files that were read, or are being read.
        drop_in_folders: The folders that `include` statements search by wildcards.
    """

    def __init__(self, main_path: Path) -> None:
        self.main_path = main_path
        self.file_set = FileSet()
        self.bytes_read = 0
        self.include_chain: list[Path] = []
        self.seen_paths: set[Path] = set()
        self.drop_in_folders: set[Path] = set()

    def relative_name(self, path: Path) -> str:
        """Return a file's name as used in messages and in the manifest."""
        return os.path.relpath(path, self.main_path.parent)

    def add_problem(self, code: str, position: FilePosition, message: str) -> None:
        """Record a problem of the set."""
        self.file_set.problems.append(ListProblem(code, position, message))

    def read_file(self, path: Path, position: FilePosition) -> ParsedFile | None:
        """Read and parse a file that is named at `position`; on failure, record a problem and return None."""
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
            if not stat.S_ISREG(os.stat(real_path).st_mode):  # Opening a pipe would block for ever.
                self.add_problem("L401", position, f"{name} is not a regular file")
                return None
            with open(real_path, "rb") as file:
                data = file.read(MAX_SET_BYTES - self.bytes_read + 1)
        except OSError as error:
            self.add_problem("L401", position, f"{name}: {error.strerror}")
            return None
        self.bytes_read += len(data)
        if self.bytes_read > MAX_SET_BYTES:
            self.add_problem("L402", position, f"the files exceed {MAX_SET_BYTES >> 20} MiB in total")
            return None
        return data

    def read_with_includes(self, path: Path, position: FilePosition) -> None:
        """Read a file that is named at `position`, and the files that it includes."""
        if path in self.include_chain:
            loop = [*self.include_chain[self.include_chain.index(path) :], path]
            self.add_problem("L403", position, " -> ".join(self.relative_name(included) for included in loop))
            return
        if path in self.seen_paths:
            self.add_problem("L403", position, f"{self.relative_name(path)} is included twice")
            return
        if len(self.include_chain) >= MAX_INCLUDE_DEPTH_COUNT or len(self.seen_paths) >= MAX_FILES_COUNT:
            message = f"more than {MAX_INCLUDE_DEPTH_COUNT} include levels or {MAX_FILES_COUNT} files"
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
        """Read the files named by an `include` statement of a file in `folder`."""
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
            self.add_problem("L404", position, f"{pattern}: only the file name may have wildcards")
            return
        drop_in_folder = _normalized(folder / base)
        self.drop_in_folders.add(drop_in_folder)
        self.file_set.watched_folders.add(drop_in_folder)
        if not drop_in_folder.is_dir():  # Being created again, or a typo: not an empty list.
            self.add_problem("L404", position, f"there is no folder {base or '.'}")
            return
        for path in sorted(drop_in_folder.glob(file_pattern)):
            if not path.name.startswith("."):
                self.read_with_includes(path, position)

    def check_manifest(self) -> None:
        """Check the files that were read against the manifest, if the main file names one."""
        manifest = self.file_set.parsed_files[0].manifest if self.file_set.parsed_files else None
        if manifest is None:
            return
        name, position = manifest
        path = _normalized(self.main_path.parent / name)
        digests = dict(self.file_set.digest_by_file)
        if path in self.seen_paths:
            self.add_problem("L406", position, f"{name} is a list file of the set and can't be its manifest")
            return
        parsed = self.read_file(path, position)
        if parsed is not None:
            main_name = self.relative_name(self.main_path)
            self.file_set.problems += manifest_problems(main_name, parsed, digests, position)


def _has_wildcards(pattern: str) -> bool:
    return any(wildcard in pattern for wildcard in WILDCARD_CHARACTERS)


def _normalized(path: Path) -> Path:
    """Return the path without `..`, so that each file has only one name.

    Symlinks are not resolved, since an operator may update a list by replacing a symlink.
    """
    return Path(os.path.normpath(path))


def read_set(main_path: Path) -> FileSet:
    """Read the set once, and return it with all problems found; no file content makes it raise."""
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
    """Read the set until two consecutive reads are equal.

    Args:
        main_path: The main file.
        max_attempts: How often the set is read again before it is returned with problem L407.
    """
    file_set = read_set(main_path)
    for _ in range(max_attempts):
        reread_set = read_set(main_path)
        if reread_set.paths_signature == file_set.paths_signature and reread_set.digest == file_set.digest:
            return reread_set
        file_set = reread_set
    message = "the files change faster than they can be read"
    file_set.problems.append(ListProblem("L407", FilePosition(main_path.name), message))
    return file_set
