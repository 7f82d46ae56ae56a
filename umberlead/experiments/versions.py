"""Lays out earlier versions of this repository in folders, each combined with the present emulator.

All versions run in the same simulated world (WORLD_PACKAGES), while the decisions are each version's own. A
version from before the packages were renamed gets the last emulator that has the earlier package names; it
simulates the same world.
"""

import io
import shutil
import subprocess
import tarfile
from pathlib import Path

from umberlead.common.errors import UmberleadError

ROOT = Path(__file__).parents[2]
WORLD_PACKAGES = ("emulator", "load_generator", "routing_tests", "experiments")
EARLIER_WORLD_PACKAGES = ("emulator", "load", "expect", "experiments")
PACKAGES_IF_MISSING = ("membership",)  # packages that the world needs and old versions lack
PRESENT_LAYOUT_PACKAGE = "scheduling"  # a version without it has the earlier layout
LAST_EARLIER_LAYOUT_REVISION = "bc811251bccf5247fb26fc8b338d5d0c5dfeb3c1"


class UnknownVersionError(UmberleadError, ValueError):
    """A git command for a revision failed; the text has the command and git's error."""


def _git(*arguments: str) -> bytes:
    process = subprocess.run(["git", *arguments], cwd=ROOT, capture_output=True)
    if process.returncode:
        raise UnknownVersionError(f"git {' '.join(arguments)}: {process.stderr.decode().strip()}")
    return process.stdout


def _extract(commit: str, folder: Path) -> None:
    """Extract the program's source of a commit into a folder."""
    with tarfile.open(fileobj=io.BytesIO(_git("archive", commit, "umberlead"))) as archive:
        archive.extractall(folder, filter="data")


def lay_out(revision: str, folder: Path) -> Path:
    """Return the source tree of `revision`, or the working tree if `revision` is empty.

    Raises:
        UnknownVersionError: There is no such revision.
    """
    if not revision:
        return ROOT
    commit = _git("rev-parse", "--verify", f"{revision}^{{commit}}").decode().strip()
    tree = folder / commit[:12]
    if not (tree / "done").exists():
        shutil.rmtree(tree, ignore_errors=True)
        tree.mkdir(parents=True)
        _extract(commit, tree)
        (tree / "done").write_text(commit)
    package = tree / "umberlead"
    if (package / PRESENT_LAYOUT_PACKAGE).exists():
        _overlay(package, ROOT / "umberlead", WORLD_PACKAGES)
    else:
        _overlay(package, _earlier_world(folder), EARLIER_WORLD_PACKAGES)
    return tree


def _earlier_world(folder: Path) -> Path:
    """Return the package of the last version with the earlier layout."""
    world = folder / f"world-{LAST_EARLIER_LAYOUT_REVISION[:12]}"
    if not (world / "done").exists():
        shutil.rmtree(world, ignore_errors=True)
        world.mkdir(parents=True)
        _extract(LAST_EARLIER_LAYOUT_REVISION, world)
        (world / "done").write_text(LAST_EARLIER_LAYOUT_REVISION)
    return world / "umberlead"


def _overlay(package: Path, world: Path, world_packages: tuple[str, ...]) -> None:
    """Replace a version's world packages by those of `world`.

    They are copied on every call, because the present packages may have changed since the last one.
    """
    missing = [name for name in PACKAGES_IF_MISSING if not (package / name).exists()]
    for name in (*world_packages, *missing):
        shutil.rmtree(package / name, ignore_errors=True)
        shutil.copytree(world / name, package / name, ignore=shutil.ignore_patterns("__pycache__"))
