"""The gate before a watched list: a suite of routing tests has the last word, and holds up no process."""

import threading
import time
from pathlib import Path

import pytest

from umberlead import config
from umberlead.membership.change_gate import Gate
from umberlead.membership.loading import Loader
from umberlead.membership.model import Place, Problem
from umberlead.membership.name_resolution import Resolver

ROOT = Path(__file__).parent.parent
GOOD = {"a": 0, "b": 0, "c": 1}


def put(folder: Path, version: int, servers: dict[str, int]) -> Path:
    rows = ["format 1", f"version {version}"]
    rows += [f"server {n} address 127.0.0.1:{k} shard {s}" for k, (n, s) in enumerate(servers.items(), 1)]
    beside = folder / "new"
    beside.write_text("\n".join([*rows, f"end {len(rows)}", ""]))
    beside.replace(folder / "l")
    return folder / "l"


def suite(folder: Path, *lines: str) -> Path:
    rows = ["format 1", f"config {ROOT / 'deploy' / 'watched.toml'}", "list l", "scenario reach", *lines]
    (folder / "s.suite").write_text("\n".join([*rows, f"end {len(rows)}", ""]))
    return folder / "s.suite"


def loader(main: Path, gate: object) -> Loader:
    return Loader(main, 0, Resolver(lambda host: (host,)), gate=gate)  # type: ignore[arg-type]


def test_a_list_under_which_the_suite_fails_is_not_taken_and_the_expectation_is_named(tmp_path: Path) -> None:
    main = put(tmp_path, 1, GOOD)
    gate = Gate(suite(tmp_path, "expect may shard 1 only c"), 60.0)
    made = loader(main, gate.judge)
    first = made.load(None).verdict
    assert first.listing is not None and not first.problems
    put(tmp_path, 2, GOOD | {"b": 1})
    second = made.load(first.listing).verdict
    assert second.listing is None and [p.code for p in second.problems] == ["L501"]
    assert str(second.problems[0]).startswith("s.suite:5: L501: expect may shard 1 only c: ")
    put(tmp_path, 3, GOOD | {"d": 1, "e": 2})  # one more on shard 1 fails it as well; mended, it is taken
    assert made.load(first.listing).verdict.listing is None
    put(tmp_path, 4, GOOD | {"e": 2})
    taken = made.load(first.listing).verdict.listing
    assert taken is not None and taken.version == 4


def test_a_suite_that_cannot_be_played_or_takes_too_long_lets_nothing_pass(tmp_path: Path) -> None:
    main = put(tmp_path, 1, GOOD)
    bad = Gate(suite(tmp_path, "expect may shard 1 onyl c"), 60.0).judge(main)
    assert [p.code for p in bad] == ["L502"] and "s.suite:5:" in bad[0].text
    late = Gate(suite(tmp_path, "expect may shard 1 only c"), 0.01).judge(main)
    assert [p.code for p in late] == ["L503"]


def test_the_gate_is_asked_once_for_each_new_set_and_not_for_the_one_in_force(tmp_path: Path) -> None:
    asked: list[int] = []

    def gate(main: Path) -> list[Problem]:
        asked.append(1)
        return [Problem("L501", Place("s"), "no")] if "version 2" in main.read_text() else []

    made = loader(put(tmp_path, 1, GOOD), gate)
    listing = made.load(None).verdict.listing
    assert made.load(listing).verdict.listing is not None and len(asked) == 1
    put(tmp_path, 2, GOOD)
    for _ in range(3):  # each poll loads it again
        assert made.load(listing).verdict.listing is None
    assert len(asked) == 2


def test_files_that_move_on_under_the_gate_are_not_taken_on_its_word(tmp_path: Path) -> None:
    main = put(tmp_path, 1, GOOD)
    versions = iter((2, 3))

    def gate(main: Path) -> list[Problem]:
        if (version := next(versions, None)) is not None:
            put(tmp_path, version, GOOD)
        return []

    made = loader(main, gate)
    for _ in range(2):
        assert [p.code for p in made.load(None).verdict.problems] == ["L407"]
    listing = made.load(None).verdict.listing
    assert listing is not None and listing.version == 3


def test_a_process_that_ends_does_not_wait_for_its_gate(tmp_path: Path) -> None:
    main = put(tmp_path, 1, GOOD)
    lines = ["expect may shard 1 only c"] * 2000
    gate = Gate(suite(tmp_path, *lines), 600.0)
    found: list[Problem] = []
    thread = threading.Thread(target=lambda: found.extend(gate.judge(main)))
    thread.start()
    while gate._playing is None and thread.is_alive():
        time.sleep(0.001)
    gate.close()
    thread.join(20)
    assert not thread.is_alive() and [p.code for p in found] == ["L502"]
    assert [p.code for p in gate.judge(main)] == ["L502"]  # nor does one that begins as it ends


def test_the_configuration_names_the_suite_and_it_must_be_there(tmp_path: Path) -> None:
    text = (ROOT / "deploy" / "watched.toml").read_text()
    put(tmp_path, 1, GOOD)
    text = text.replace("watched/servers.list", "l")
    file = tmp_path / "c.toml"
    file.write_text(text.replace("[membership]", '[membership]\ngate = "s.suite"\ngate_within_s = 5'))
    with pytest.raises(config.ConfigError, match="no such file"):
        config.operator(str(file))
    suite(tmp_path, "expect may shard 1 only c")
    made = config.operator(str(file)).lists
    assert made is not None and made.gate == tmp_path / "s.suite" and made.gate_budget == 5
