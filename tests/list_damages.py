"""Damages of a list's folder as an operator may cause them: each replaces or adds something."""

import os
import random
import shutil
import socket
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

NON_UTF8_NAME = os.fsdecode(b"caf\xe9.list")
LONG_NAME = "n" * 300


@dataclass(frozen=True)
class ListFolder:
    """A list that includes drop-ins and is sealed by a manifest; all its files are in one folder."""

    path: Path

    @property
    def main(self) -> Path:
        return self.path / "main.list"

    @property
    def drop_in(self) -> Path:
        return self.path / "servers.d" / "drop.list"

    def remove(self) -> None:
        """Remove all that is in the folder, whatever it is."""
        for path in self.path.iterdir():
            if path.is_dir() and not path.is_symlink():
                path.chmod(0o700)
                shutil.rmtree(path)
            else:
                path.unlink()

    def write(self, version: int, *names: str) -> None:
        """Put a good version in place of all that is in the folder; the main file comes last."""
        self.remove()
        self.drop_in.parent.mkdir()
        self.drop_in.write_text(list_text("format 1", server_line("drop")))
        lines = [server_line(name) for name in names]
        self.write_main("format 1", f"version {version}", "include servers.d/*.list", *lines)

    def write_main(self, *statements: str) -> None:
        temporary = self.path / ".main.new"
        temporary.write_text(list_text(*statements))
        os.replace(temporary, self.main)


def list_text(*statements: str) -> str:
    return "\n".join([*statements, f"end {len(statements)}", ""])


def server_line(name: str) -> str:
    return f"server {name} address 127.0.0.1:{8000 + ord(name[-1])} shard 0"


Damage = Callable[[ListFolder], object]


def _main_with(statement: str) -> Damage:
    return lambda folder: folder.write_main("format 1", "version 2", statement, server_line("a"))


def _main_content(content: bytes) -> Damage:
    return lambda folder: _replace(folder.main, lambda path: path.write_bytes(content))


def _replace(path: Path, create: Callable[[Path], object]) -> None:
    if path.is_dir() and not path.is_symlink():
        shutil.rmtree(path)
    else:
        path.unlink(missing_ok=True)
    create(path)


def _link(path: Path, target: str | Path) -> None:
    _replace(path, lambda link: link.symlink_to(target))


def _link_circle(folder: ListFolder) -> None:
    (folder.path / "servers.d" / "b.list").symlink_to("c.list")
    (folder.path / "servers.d" / "c.list").symlink_to("b.list")


def _folder_circle(folder: ListFolder) -> None:
    _link(folder.path / "servers.d", "servers.d")


def _bind_socket(path: Path) -> None:
    with socket.socket(socket.AF_UNIX) as unix_socket:
        unix_socket.bind(str(path))


def _many_drop_ins(folder: ListFolder) -> None:
    for number in range(1100):
        (folder.drop_in.parent / f"{number}.list").write_text(list_text("format 1"))


# The damage of each name, and a text in the problem that tells the operator what it is.
DAMAGES: dict[str, tuple[Damage, str]] = {
    "recursive pattern": (_main_with("include servers.d/**.list"), "main.list:3:9: L408"),
    "recursive folder": (_main_with("include **/x.list"), "main.list:3:9: L404"),
    "pattern alone": (_main_with("include **"), "main.list:3:9: L408"),
    "NUL in an include": (_main_with("include a\0b.list"), "main.list:3:9: L408"),
    "NUL in a pattern": (_main_with("include a\0*.list"), "main.list:3:9: L408"),
    "NUL in the folder of a pattern": (_main_with("include a\0b/*.list"), "main.list:3:9: L408"),
    "NUL in a manifest": (_main_with("manifest a\0b"), "main.list:3:10: L408"),
    "long include": (_main_with(f"include {LONG_NAME}"), "main.list:3:9: L401"),
    "long folder": (_main_with(f"include {LONG_NAME}/*.list"), "main.list:3:9: L401"),
    "long manifest": (_main_with(f"manifest {LONG_NAME}"), "main.list:3:10: L401"),
    "long path": (_main_with(f"include {'d/' * 500}x"), "main.list:3:9: L404"),
    "folder in place of a pattern's file": (_main_with("include servers.d/*.list/*"), "main.list:3:9: L404"),
    "main file includes itself": (_main_with("include main.list"), "main.list:3:9: L403"),
    "manifest is a folder": (_main_with("manifest servers.d"), "main.list:3:10: L401"),
    "manifest is the main file": (_main_with("manifest main.list"), "main.list:3:10: L406"),
    "drop-in links to itself": (lambda folder: _link(folder.drop_in, "drop.list"), "main.list:3:9: L401"),
    "links in a circle": (_link_circle, "main.list:3:9: L401"),
    "folder links to itself": (_folder_circle, "main.list:3:9: L401"),
    "main file links to itself": (lambda folder: _link(folder.main, "main.list"), "main.list: L401"),
    "drop-in links to nothing": (lambda folder: _link(folder.drop_in, "gone"), "main.list:3:9: L401"),
    "drop-in links to its folder": (lambda folder: _link(folder.drop_in, "."), "not a regular file"),
    "drop-in without UTF-8 in its name": (
        lambda folder: (folder.drop_in.parent / NON_UTF8_NAME).write_text(list_text("format 1")),
        r"file 'caf\\xe9.list': its name is not UTF-8",
    ),
    "drop-in is a pipe": (lambda folder: _replace(folder.drop_in, os.mkfifo), "not a regular file"),
    "drop-in is a socket": (lambda folder: _replace(folder.drop_in, _bind_socket), "not a regular file"),
    "drop-in is a folder": (lambda folder: _replace(folder.drop_in, os.mkdir), "not a regular file"),
    "drop-in is a device": (lambda folder: _link(folder.drop_in, "/dev/zero"), "not a regular file"),
    "drop-in waits for content": (lambda folder: _link(folder.drop_in, "/proc/kmsg"), "main.list:3:9: L401"),
    "drop-in can't be read": (lambda folder: _link(folder.drop_in, "/proc/self/mem"), "main.list:3:9: L401"),
    "too many drop-ins": (_many_drop_ins, "main.list:3:9: L402"),
    "drop-in with broken bytes": (lambda folder: folder.drop_in.write_bytes(b"\xff\n"), "not UTF-8"),
    "main file is a folder": (lambda folder: _replace(folder.main, os.mkdir), "not a regular file"),
    "main file is a pipe": (lambda folder: _replace(folder.main, os.mkfifo), "not a regular file"),
    "main file is gone": (lambda folder: folder.main.unlink(), "main.list: L401"),
    "main file is empty": (_main_content(b""), "L102"),
    "main file is huge": (lambda folder: os.truncate(folder.main, 1 << 40), "L402"),
    "main file is UTF-16": (_main_content("format 1\n".encode("utf-16")), "main.list:1: L401"),
    "main file is no list": (_main_content(b"\x00\x01 garbage []{}\n" * 50_000), "main.list:1:1: L101"),
    "long line": (_main_content(b"x" * 1_000_000 + b"\n"), "main.list:1:4097: L101"),
    "all files are gone": (lambda folder: folder.remove(), "main.list: L401"),
}


def random_damage(rng: random.Random) -> Damage:
    """Return a damage of one or more parts: names, links, bytes, permissions, files that are moved."""

    def damage(folder: ListFolder) -> None:
        for _ in range(rng.randint(1, 3)):
            part = rng.choice([_random_known, _random_statement, _random_name, _random_link, _random_bytes])
            try:
                part(folder, rng)
            except OSError:
                continue  # an earlier part has removed or replaced what this one would change

    return damage


def _random_known(folder: ListFolder, rng: random.Random) -> None:
    names = sorted(DAMAGES.keys() - {"too many drop-ins", "main file is no list"})  # slow to write
    DAMAGES[rng.choice(names)][0](folder)


def _random_statement(folder: ListFolder, rng: random.Random) -> None:
    keyword = rng.choice(["include", "manifest", "host", "network", "version", "server", "file", "end"])
    alphabet = "*?[]!^-/.\0\x01\x7f\\%{}~$&|é☃\U0001f600\u2028abc0123456789:"
    word = "".join(rng.choice(alphabet) for _ in range(rng.choice([1, 3, 8, 300, 1024])))
    _main_with(f"{keyword} {word}")(folder)


def _random_name(folder: ListFolder, rng: random.Random) -> None:
    name = bytes(rng.choice(b"\x01\n\r\x1b\x80\xc3\xff *[ab") for _ in range(rng.randint(1, 30))) + b".list"
    path = os.fsencode(folder.drop_in.parent) + b"/" + name
    with open(path, "wb") as file:
        file.write(rng.choice([b"", b"format 1\nend 1\n", b"\xff"]))


def _random_link(folder: ListFolder, rng: random.Random) -> None:
    targets = ["main.list", "drop.list", ".", "..", "/", "/dev/null", "/dev/full", "/proc/self/fd/0", "/root"]
    path = rng.choice(
        [folder.main, folder.drop_in, folder.drop_in.parent, folder.path / "servers.d" / "l.list"]
    )
    _link(path, rng.choice([*targets, "x" * 255, str(folder.main), str(folder.drop_in.parent)]))


def _random_bytes(folder: ListFolder, rng: random.Random) -> None:
    path = rng.choice([folder.main, folder.drop_in])
    with open(path, "rb") as file:
        content = bytearray(file.read(10_000))  # an earlier part may have made the file huge
    for _ in range(rng.randint(1, 8) if content else 0):
        content[rng.randrange(len(content))] = rng.randrange(256)
    path.write_bytes(content[: rng.randint(0, len(content))])
    path.chmod(rng.choice([0o000, 0o200, 0o644]))
