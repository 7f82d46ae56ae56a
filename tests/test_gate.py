"""The change gate: a new list is accepted only if a suite of routing tests passes under it."""

import threading
import time
from pathlib import Path

import pytest

from umberlead import configuration
from umberlead.membership.change_gate import ChangeGate
from umberlead.membership.loading import ListLoader
from umberlead.membership.model import FilePosition, ListProblem
from umberlead.membership.name_resolution import NameResolver

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


def loader(main: Path, gate: object) -> ListLoader:
    return ListLoader(main, 0, NameResolver(lambda host: (host,)), gate=gate)  # type: ignore[arg-type]


def test_a_list_under_which_the_suite_fails_is_not_taken_and_the_expectation_is_named(tmp_path: Path) -> None:
    main = put(tmp_path, 1, GOOD)
    gate = ChangeGate(suite(tmp_path, "expect may shard 1 only c"), 60.0)
    made = loader(main, gate.evaluate)
    first = made.load(None).check_result
    assert first.checked_list is not None and not first.problems
    put(tmp_path, 2, GOOD | {"b": 1})
    second = made.load(first.checked_list).check_result
    assert second.checked_list is None and [p.code for p in second.problems] == ["L501"]
    assert str(second.problems[0]).startswith("s.suite:5: L501: expect may shard 1 only c: ")
    put(tmp_path, 3, GOOD | {"d": 1, "e": 2})  # another server on shard 1 also fails; version 4 has none
    assert made.load(first.checked_list).check_result.checked_list is None
    put(tmp_path, 4, GOOD | {"e": 2})
    taken = made.load(first.checked_list).check_result.checked_list
    assert taken is not None and taken.version == 4


def test_a_suite_that_cannot_be_played_or_takes_too_long_lets_nothing_pass(tmp_path: Path) -> None:
    main = put(tmp_path, 1, GOOD)
    bad = ChangeGate(suite(tmp_path, "expect may shard 1 onyl c"), 60.0).evaluate(main)
    assert [p.code for p in bad] == ["L502"] and "s.suite:5:" in bad[0].message
    late = ChangeGate(suite(tmp_path, "expect may shard 1 only c"), 0.01).evaluate(main)
    assert [p.code for p in late] == ["L503"]


def test_the_gate_is_asked_once_for_each_new_set_and_not_for_the_one_in_force(tmp_path: Path) -> None:
    asked: list[int] = []

    def gate(main: Path) -> list[ListProblem]:
        asked.append(1)
        return [ListProblem("L501", FilePosition("s"), "no")] if "version 2" in main.read_text() else []

    made = loader(put(tmp_path, 1, GOOD), gate)
    listing = made.load(None).check_result.checked_list
    assert made.load(listing).check_result.checked_list is not None and len(asked) == 1
    put(tmp_path, 2, GOOD)
    for _ in range(3):  # as each poll does
        assert made.load(listing).check_result.checked_list is None
    assert len(asked) == 2


def test_files_that_move_on_under_the_gate_are_not_taken_on_its_word(tmp_path: Path) -> None:
    main = put(tmp_path, 1, GOOD)
    versions = iter((2, 3))

    def gate(main: Path) -> list[ListProblem]:
        if (version := next(versions, None)) is not None:
            put(tmp_path, version, GOOD)
        return []

    made = loader(main, gate)
    for _ in range(2):
        assert [p.code for p in made.load(None).check_result.problems] == ["L407"]
    listing = made.load(None).check_result.checked_list
    assert listing is not None and listing.version == 3


def test_a_process_that_ends_does_not_wait_for_its_gate(tmp_path: Path) -> None:
    main = put(tmp_path, 1, GOOD)
    lines = ["expect may shard 1 only c"] * 2000
    gate = ChangeGate(suite(tmp_path, *lines), 600.0)
    found: list[ListProblem] = []
    thread = threading.Thread(target=lambda: found.extend(gate.evaluate(main)))
    thread.start()
    while gate._process is None and thread.is_alive():
        time.sleep(0.001)
    gate.close()
    thread.join(20)
    assert not thread.is_alive() and [p.code for p in found] == ["L502"]
    assert [p.code for p in gate.evaluate(main)] == ["L502"]  # a run that begins after close() is killed too


def test_the_configuration_names_the_suite_and_it_must_be_there(tmp_path: Path) -> None:
    text = (ROOT / "deploy" / "watched.toml").read_text()
    put(tmp_path, 1, GOOD)
    text = text.replace("watched/servers.list", "l")
    file = tmp_path / "c.toml"
    file.write_text(text.replace("[membership]", '[membership]\ngate = "s.suite"\ngate_within_s = 5'))
    with pytest.raises(configuration.ConfigError, match="no such file"):
        configuration.load_operator_file(str(file))
    suite(tmp_path, "expect may shard 1 only c")
    made = configuration.load_operator_file(str(file)).watched_lists
    assert (
        made is not None and made.gate_suite_path == tmp_path / "s.suite" and made.gate_timeout_seconds == 5
    )
