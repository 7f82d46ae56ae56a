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
VALID_SERVERS = {"a": 0, "b": 0, "c": 1}


def write_list(folder: Path, version: int, servers: dict[str, int]) -> Path:
    lines = ["format 1", f"version {version}"]
    lines += [
        f"server {name} address 127.0.0.1:{port} shard {shard}"
        for port, (name, shard) in enumerate(servers.items(), 1)
    ]
    temporary = folder / "new"
    temporary.write_text("\n".join([*lines, f"end {len(lines)}", ""]))
    temporary.replace(folder / "l")
    return folder / "l"


def write_suite(folder: Path, *lines: str) -> Path:
    statements = [
        "format 1",
        f"config {ROOT / 'deploy' / 'watched.toml'}",
        "list l",
        "scenario reach",
        *lines,
    ]
    (folder / "s.suite").write_text("\n".join([*statements, f"end {len(statements)}", ""]))
    return folder / "s.suite"


def new_loader(main_path: Path, gate: object) -> ListLoader:
    return ListLoader(main_path, 0, NameResolver(lambda host: (host,)), gate=gate)  # type: ignore[arg-type]


def test_a_list_that_fails_the_suite_is_rejected_with_the_failed_expectation(tmp_path: Path) -> None:
    main_path = write_list(tmp_path, 1, VALID_SERVERS)
    gate = ChangeGate(write_suite(tmp_path, "expect may shard 1 only c"), 60.0)
    list_loader = new_loader(main_path, gate.evaluate)
    first = list_loader.load(None).check_result
    assert first.checked_list is not None and not first.problems
    write_list(tmp_path, 2, VALID_SERVERS | {"b": 1})
    second = list_loader.load(first.checked_list).check_result
    assert second.checked_list is None and [problem.code for problem in second.problems] == ["L501"]
    assert str(second.problems[0]).startswith("s.suite:5: L501: expect may shard 1 only c: ")
    # Another server on shard 1 also fails the suite; version 4 has none.
    write_list(tmp_path, 3, VALID_SERVERS | {"d": 1, "e": 2})
    assert list_loader.load(first.checked_list).check_result.checked_list is None
    write_list(tmp_path, 4, VALID_SERVERS | {"e": 2})
    accepted = list_loader.load(first.checked_list).check_result.checked_list
    assert accepted is not None and accepted.version == 4


def test_a_suite_that_is_invalid_or_times_out_rejects_the_list(tmp_path: Path) -> None:
    main_path = write_list(tmp_path, 1, VALID_SERVERS)
    invalid = ChangeGate(write_suite(tmp_path, "expect may shard 1 onyl c"), 60.0).evaluate(main_path)
    assert [problem.code for problem in invalid] == ["L502"] and "s.suite:5:" in invalid[0].message
    timed_out = ChangeGate(write_suite(tmp_path, "expect may shard 1 only c"), 0.01).evaluate(main_path)
    assert [problem.code for problem in timed_out] == ["L503"]


def test_the_gate_runs_once_for_each_new_list_and_not_for_the_one_in_force(tmp_path: Path) -> None:
    gate_calls: list[int] = []

    def gate(main_path: Path) -> list[ListProblem]:
        gate_calls.append(1)
        return [ListProblem("L501", FilePosition("s"), "no")] if "version 2" in main_path.read_text() else []

    list_loader = new_loader(write_list(tmp_path, 1, VALID_SERVERS), gate)
    current = list_loader.load(None).check_result.checked_list
    assert list_loader.load(current).check_result.checked_list is not None and len(gate_calls) == 1
    write_list(tmp_path, 2, VALID_SERVERS)
    for _ in range(3):  # as each poll does
        assert list_loader.load(current).check_result.checked_list is None
    assert len(gate_calls) == 2


def test_files_that_change_while_the_gate_runs_are_rejected(tmp_path: Path) -> None:
    main_path = write_list(tmp_path, 1, VALID_SERVERS)
    versions = iter((2, 3))

    def gate(main_path: Path) -> list[ListProblem]:
        if (version := next(versions, None)) is not None:
            write_list(tmp_path, version, VALID_SERVERS)
        return []

    list_loader = new_loader(main_path, gate)
    for _ in range(2):
        assert [problem.code for problem in list_loader.load(None).check_result.problems] == ["L407"]
    accepted = list_loader.load(None).check_result.checked_list
    assert accepted is not None and accepted.version == 3


def test_closing_the_gate_ends_a_running_suite(tmp_path: Path) -> None:
    main_path = write_list(tmp_path, 1, VALID_SERVERS)
    expectations = ["expect may shard 1 only c"] * 2000
    gate = ChangeGate(write_suite(tmp_path, *expectations), 600.0)
    problems: list[ListProblem] = []
    thread = threading.Thread(target=lambda: problems.extend(gate.evaluate(main_path)))
    thread.start()
    while gate._process is None and thread.is_alive():
        time.sleep(0.001)
    gate.close()
    thread.join(20)
    assert not thread.is_alive() and [problem.code for problem in problems] == ["L502"]
    # A run that begins after close() is killed too.
    assert [problem.code for problem in gate.evaluate(main_path)] == ["L502"]


def test_the_suite_in_the_configuration_must_exist(tmp_path: Path) -> None:
    config_text = (ROOT / "deploy" / "watched.toml").read_text()
    write_list(tmp_path, 1, VALID_SERVERS)
    config_text = config_text.replace("watched/servers.list", "l")
    config_path = tmp_path / "c.toml"
    config_path.write_text(
        config_text.replace("[membership]", '[membership]\ngate = "s.suite"\ngate_within_s = 5')
    )
    with pytest.raises(configuration.ConfigError, match="no such file"):
        configuration.load_operator_file(str(config_path))
    write_suite(tmp_path, "expect may shard 1 only c")
    list_config = configuration.load_operator_file(str(config_path)).watched_lists
    assert (
        list_config is not None
        and list_config.gate_suite_path == tmp_path / "s.suite"
        and list_config.gate_timeout_seconds == 5
    )
