"""Reads a set of list files: the main file, the files that it includes, and its manifest.

The functions block and are for a worker thread. The set is read until two consecutive reads are equal, so
that a mix of two versions is not accepted.
"""

import errno
import fnmatch
import hashlib
import os
import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import NamedTuple

from umberlead.common.regular_file import NotRegularFileError, read_regular_file
from umberlead.membership import grammar
from umberlead.membership.checks import manifest_problems
from umberlead.membership.model import FilePosition, ListProblem, ParsedFile

MAX_SET_BYTES = 64 << 20
MAX_FILES_COUNT = 1000
MAX_INCLUDE_DEPTH_COUNT = 8
WILDCARD_CHARACTERS = "*?["
RECURSIVE_WILDCARD = "**"
MISSING_FILE_ERRORS = (FileNotFoundError, NotADirectoryError)
# Errors that last until a file or folder changes, which its signature shows. Any other error of a system
# call, such as a lack of descriptors, may end without such a change.
LASTING_ERRNOS = frozenset(
    (
        errno.ENOENT,
        errno.ENOTDIR,
        errno.EISDIR,
        errno.EACCES,
        errno.EPERM,
        errno.ELOOP,
        errno.ENAMETOOLONG,
    )
)


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
        has_temporary_error: Whether a system call failed with an error that may end without a change of the
            signature.
    """

    parsed_files: list[ParsedFile] = field(default_factory=list)
    digest: str = ""
    digest_by_file: dict[str, str] = field(default_factory=dict)
    text_by_file: dict[str, str] = field(default_factory=dict)
    problems: list[ListProblem] = field(default_factory=list)
    paths: list[Path] = field(default_factory=list)
    watched_folders: set[Path] = field(default_factory=set)
    paths_signature: Signature = ()
    has_temporary_error: bool = False


def _path_signature(path: Path) -> PathSignature:
    try:
        status = os.stat(path)
    except OSError as error:
        return PathSignature(str(path), -1, error.errno or 0, 0, 0, 0)
    except ValueError:  # No system call takes a path with a NUL byte.
        return PathSignature(str(path), -1, errno.EINVAL, 0, 0, 0)
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
        syntax_problem_count: The number of problems in the statements of the files read so far.
    """

    def __init__(self, main_path: Path) -> None:
        self.main_path = main_path
        self.file_set = FileSet()
        self.bytes_read = 0
        self.include_chain: list[Path] = []
        self.seen_paths: set[Path] = set()
        self.drop_in_folders: set[Path] = set()
        self.syntax_problem_count = 0

    def relative_name(self, path: Path) -> str:
        """Return a file's name as used in messages and in the manifest."""
        return printable_name(os.path.relpath(path, self.main_path.parent))

    def add_problem(self, code: str, position: FilePosition, message: str) -> None:
        """Record a problem of the set."""
        self.file_set.problems.append(ListProblem(code, position, message))

    def add_system_error(self, name: str, position: FilePosition, error: OSError | ValueError) -> None:
        """Record that a system call on the path `name` failed."""
        if isinstance(error, NotRegularFileError):
            return self.add_problem("L401", position, f"{name} is not a regular file")
        if isinstance(error, OSError):
            self.file_set.has_temporary_error |= error.errno not in LASTING_ERRNOS
            reason = error.strerror or type(error).__name__
        else:
            reason = str(error)
        return self.add_problem("L401", position, f"{name}: {reason}")

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
        if self.syntax_problem_count >= grammar.MAX_FILE_PROBLEMS_COUNT:
            return ParsedFile(name)  # The set is rejected anyway.
        parsed = grammar.parse_file(text, name)
        self.syntax_problem_count += len(parsed.problems)
        return parsed

    def _read_bytes(self, path: Path, name: str, position: FilePosition) -> bytes | None:
        self.file_set.paths.append(path)
        self.file_set.watched_folders.add(path.parent)
        try:
            real_path = os.path.realpath(path)
            self.file_set.watched_folders.add(Path(real_path).parent)
            data = read_regular_file(real_path, MAX_SET_BYTES - self.bytes_read + 1)
        except (OSError, ValueError) as error:
            self.add_system_error(name, position, error)
            return None
        self.bytes_read += len(data)
        if self.bytes_read > MAX_SET_BYTES:
            self.add_problem("L402", position, f"the files exceed {MAX_SET_BYTES >> 20} MiB in total")
            return None
        return data

    def read_with_includes(self, path: Path, position: FilePosition) -> bool:
        """Read a file that is named at `position`, and the files that it includes.

        Returns:
            False if the set has reached its limit of files or levels, so that no further file can be read.
        """
        if path in self.include_chain:
            loop = [*self.include_chain[self.include_chain.index(path) :], path]
            self.add_problem("L403", position, " -> ".join(self.relative_name(included) for included in loop))
            return True
        if path in self.seen_paths:
            self.add_problem("L403", position, f"{self.relative_name(path)} is included twice")
            return True
        if len(self.include_chain) >= MAX_INCLUDE_DEPTH_COUNT or len(self.seen_paths) >= MAX_FILES_COUNT:
            message = f"more than {MAX_INCLUDE_DEPTH_COUNT} include levels or {MAX_FILES_COUNT} files"
            self.add_problem("L402", position, message)
            return False
        self.seen_paths.add(path)
        parsed = self.read_file(path, position)
        if parsed is None:
            return True
        self.file_set.parsed_files.append(parsed)
        self.include_chain.append(path)
        for pattern, include_position in parsed.includes:
            self.read_include(path.parent, pattern, include_position)
        self.include_chain.pop()
        return True

    def read_include(self, folder: Path, pattern: str, position: FilePosition) -> None:
        """Read the files named by an `include` statement of a file in `folder`."""
        if (reason := _invalid_path_reason(pattern)) is not None:
            self.add_problem("L408", position, f"include {pattern!r}: {reason}")
            return
        if _has_wildcards(pattern):
            self._read_drop_ins(folder, pattern, position)
            return
        path = _normalized(folder / pattern)
        try:
            os.stat(path)
        except MISSING_FILE_ERRORS:
            self.file_set.paths.append(path)
            self.file_set.watched_folders.add(path.parent)
            self.add_problem("L404", position, f"there is no file {pattern}")
            return
        except (OSError, ValueError):
            pass  # Reading the file reports the same error, or finds that it has ended.
        self.read_with_includes(path, position)

    def _read_drop_ins(self, folder: Path, pattern: str, position: FilePosition) -> None:
        base, _, file_pattern = pattern.rpartition("/")
        if _has_wildcards(base):
            self.add_problem("L404", position, f"{pattern}: only the file name may have wildcards")
            return
        if RECURSIVE_WILDCARD in file_pattern:  # Not the same as `*` in all programs: hardly meant here.
            message = f"include {pattern!r}: {RECURSIVE_WILDCARD} is not allowed; * is any part of a name"
            self.add_problem("L408", position, message)
            return
        drop_in_folder = _normalized(folder / base)
        self.drop_in_folders.add(drop_in_folder)
        self.file_set.watched_folders.add(drop_in_folder)
        try:
            names = _matching_names(drop_in_folder, file_pattern)
        except MISSING_FILE_ERRORS:  # Being created again, or a typo: not an empty list.
            self.add_problem("L404", position, f"there is no folder {base or '.'}")
            return
        except (OSError, ValueError) as error:
            self.add_system_error(base or ".", position, error)
            return
        for name in names:
            if (reason := _invalid_path_reason(name)) is not None:
                message = f"include {pattern!r}: file {printable_name(name)!r}: {reason}"
                self.add_problem("L408", position, message)
            elif not self.read_with_includes(drop_in_folder / name, position):
                return

    def check_manifest(self) -> None:
        """Check the files that were read against the manifest, if the main file names one."""
        manifest = self.file_set.parsed_files[0].manifest if self.file_set.parsed_files else None
        if manifest is None:
            return
        name, position = manifest
        if (reason := _invalid_path_reason(name)) is not None:
            self.add_problem("L408", position, f"manifest {name!r}: {reason}")
            return
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


def printable_name(name: str) -> str:
    """Return a file name with its bytes that are not UTF-8 escaped, so that it can be logged and stored."""
    return os.fsencode(name).decode("utf-8", "backslashreplace")


def _invalid_path_reason(name: str) -> str | None:
    """Return why no file of a list may have this name or path; None if one may."""
    if "\0" in name:
        return "it has a NUL byte"
    try:
        name.encode()
    except UnicodeEncodeError:
        return "its name is not UTF-8"
    return None


def _matching_names(folder: Path, pattern: str) -> list[str]:
    """Return the names in a folder that match a pattern, sorted; hidden files never match.

    Raises:
        OSError: The folder can't be read.
        ValueError: The file system's encoding can't express the folder's path.
    """
    matches = re.compile(fnmatch.translate(pattern)).match
    return sorted(name for name in os.listdir(folder) if not name.startswith(".") and matches(name))


def _normalized(path: Path) -> Path:
    """Return the path without `..`, so that each file has only one name.

    Symlinks are not resolved, since an operator may update a list by replacing a symlink.
    """
    return Path(os.path.normpath(path))


def read_set(main_path: Path) -> FileSet:
    """Read the set once, and return it with all problems found; no file content makes it raise."""
    main_path = _normalized(main_path.absolute())
    reader = _SetReader(main_path)
    reader.read_with_includes(main_path, FilePosition(printable_name(main_path.name)))
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
    file_set.problems.append(ListProblem("L407", FilePosition(printable_name(main_path.name)), message))
    return file_set
