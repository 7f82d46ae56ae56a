"""The stored form of manifests and the hashed names stay compatible, even if fields are renamed."""

import json
from dataclasses import fields
from pathlib import Path

import pytest

from umberlead.frontends.object_api.manifest import (
    DELETED_MANIFEST,
    STORED_NAMES,
    Manifest,
    hashed_name,
)

GOLDEN = Path(__file__).parent / "golden" / "manifests.jsonl"


def test_each_field_has_its_own_stored_name() -> None:
    assert list(STORED_NAMES) == [field.name for field in fields(Manifest)]
    assert len(set(STORED_NAMES.values())) == len(STORED_NAMES)


def test_a_deleted_objects_manifest_reads_as_none() -> None:
    assert DELETED_MANIFEST == b'{"v": 1, "deleted": true}'
    assert Manifest.from_bytes(DELETED_MANIFEST) is None


@pytest.mark.parametrize("change", [{"v": 2}, {"size_bytes": 1}, {"parts": None}, {"parts": [["p"]]}])
def test_a_malformed_manifest_is_rejected(change: dict[str, object]) -> None:
    stored = json.loads(GOLDEN.read_bytes().splitlines()[0]) | change
    with pytest.raises((ValueError, KeyError, TypeError)):
        Manifest.from_bytes(json.dumps(stored).encode())


def test_a_manifest_with_a_missing_field_is_rejected() -> None:
    for name in ("v", "bucket", "size", "block", "parts"):
        stored = json.loads(GOLDEN.read_bytes().splitlines()[0])
        del stored[name]
        with pytest.raises((ValueError, KeyError, TypeError)):
            Manifest.from_bytes(json.dumps(stored).encode())


def test_hashed_names_are_stable() -> None:
    assert hashed_name("manifest", "scans", "k") == "372bd27540b47f03"
    assert hashed_name("volume", "scans") == "f140264f48892b4e"
    assert hashed_name("shard", "scans", "a/b") == "163636367f03035f"
    assert hashed_name("call", "f-1", "7") == "4bf12fc05ea329f8"
    assert hashed_name("nonce", "0") == "cf7b3b301e8283d1"
