"""What leaves the process, byte for byte as the program wrote it before its names and layout changed.

The files in tests/golden were made by that program (`python -m tests.golden.make`, which leaves what is
there alone). A test that fails here says that stored, exchanged or printed data changed: the program is
wrong, not the file. The files are never made again to get a pass.
"""

import fcntl
import json
import os
from pathlib import Path

import pytest

from tests.golden import exported, settings, stored, wire
from umberlead.frontends.object_api.manifest import Manifest
from umberlead.gossip.messages import GossipKeys
from umberlead.handover.process_claims import DescriptorClaim, parse_claim
from umberlead.handover.shared_state import SharedState
from umberlead.membership import snapshot

FILES = {**stored.FILES, **exported.FILES, **settings.FILES, **wire.FILES}


@pytest.mark.parametrize("name", FILES)
def test_the_program_writes_what_it_wrote_before(name: str, tmp_path: Path) -> None:
    assert FILES[name](tmp_path).decode("latin-1") == (stored.HERE / name).read_bytes().decode("latin-1")


def test_every_golden_file_has_its_maker() -> None:
    makers = {"__init__.py", "stored.py", "exported.py", "settings.py", "wire.py", "make.py"}
    inputs = {"operator.toml", "platform.json", "wire.in"}
    found = {path.name for path in stored.HERE.iterdir() if path.is_file()}
    assert found == makers | inputs | set(FILES)


def _stored_state(folder: Path) -> dict[str, str]:
    """The golden state folder, laid out in a folder."""
    files: dict[str, str] = json.loads((stored.HERE / "state_folder.json").read_bytes())
    for name, text in files.items():
        path = folder / name
        path.parent.mkdir(parents=True, exist_ok=True)
        if name.endswith("/"):
            path.mkdir(exist_ok=True)
        else:
            path.write_bytes(text.encode("latin-1"))
    return files


def test_a_state_folder_of_before_is_read(tmp_path: Path) -> None:
    files = _stored_state(tmp_path)
    claims = {name: text for name, text in files.items() if name[:7] == "claims/" and text}
    assert {len(text) for text in claims.values()} == {256}
    assert stored.CLAIM in [parse_claim(text) for text in claims.values()]
    (leaving,) = [name for name, text in files.items() if text == "leaving "]
    standing = next(name for name, text in files.items() if text == "standing")
    held = [os.open(tmp_path / name, os.O_RDONLY) for name in (leaving, standing)]
    for descriptor in held:
        fcntl.flock(descriptor, fcntl.LOCK_EX)
    state, seen = SharedState(tmp_path), list[DescriptorClaim | None]()

    def decide(others: list[DescriptorClaim | None]) -> DescriptorClaim:
        seen.extend(others)
        return stored.CLAIM

    assert state.publish(decide)
    assert len(seen) == 2 and set(seen) == {stored.CLAIM, DescriptorClaim(0, ())}
    assert state.share() == 1 / 2.25  # one stands, one leaves
    assert sorted(state.drain_overrides()) == sorted(stored.DRAINED)
    assert state.found_agent_before() is True
    for descriptor in held:
        os.close(descriptor)
    state.deregister()


def test_clock_anchors_of_before_are_read(tmp_path: Path) -> None:
    state = SharedState(tmp_path)
    state.clock_anchors.add(0)
    (boot, _, _), path = (tmp_path / "clock").read_bytes().partition(b"\n"), tmp_path / "clock"
    path.write_bytes(
        boot + b"\n" + json.loads((stored.HERE / "state_folder.json").read_bytes())["clock"].encode()
    )
    assert state.clock_anchors.read() == [stored.NOW, stored.NOW - 5, -3]
    state.deregister()


def test_a_snapshot_of_before_is_read() -> None:
    assert snapshot.decode_snapshot((stored.HERE / "snapshot.bin").read_bytes()) == (
        stored.LISTING,
        stored.NOW,
    )


def test_manifests_of_before_are_read() -> None:
    rows = (stored.HERE / "manifests.jsonl").read_bytes().splitlines()
    assert [Manifest.from_bytes(row) for row in rows] == [stored.PUT, stored.MULTIPART]
    assert Manifest.from_bytes(b'{"v": 1, "deleted": true}') is None


def test_datagrams_of_before_are_opened() -> None:
    rows = json.loads((stored.HERE / "datagrams.json").read_bytes())
    assert [GossipKeys([stored.KEY]).open(bytes.fromhex(row)) for row in rows] == list(stored.DATAGRAMS)


def test_the_recorded_input_of_the_wire_brings_what_heads_do() -> None:
    said = (stored.HERE / "wire.out").read_text().splitlines()
    words = {"place", "bounce", "surrender", "defer", "track", "as", "ready"}
    assert words <= {line.split(" ")[0] for line in said}
