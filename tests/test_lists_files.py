"""List files: the format and its errors, the checks, reading a set of files, and snapshots."""

import hashlib
import os
import random
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from umberlead.membership import files, snapshot
from umberlead.membership.checks import PROBLEM_CODES, CurrentList, ListChecker
from umberlead.membership.formatting import endpoint_statement, format_list
from umberlead.membership.grammar import parse_file, parse_line
from umberlead.membership.loading import ListLoader, LoadResult
from umberlead.membership.model import CheckedList, EndpointSpec
from umberlead.membership.name_resolution import NameResolver
from umberlead.scheduling.events import EndpointStatus

SERVER_LINE = "server n1 address 127.0.0.1:80 shard 0"
ADDRESSES_BY_HOST = {"node-01.example.org": ("127.0.0.9",), "node-07.example.org": ("127.0.0.7",)}


def list_text(*statements: str, first_line: str = "format 1") -> str:
    lines = [first_line, *statements] if first_line else list(statements)
    return "\n".join([*lines, f"end {len(lines)}", ""])


def versioned_list_text(*statements: str, version: int = 5) -> str:
    return list_text(f"version {version}", *statements)


def load(folder: Path, current: CheckedList | None = None, shard_count: int = 0, **texts: str) -> LoadResult:
    for file, content in texts.items():
        (folder / f"{file}.list").write_text(content)
    resolver = NameResolver(lambda host: ADDRESSES_BY_HOST.get(host, ()))
    try:
        return ListLoader(folder / "main.list", shard_count, resolver).load(current)
    finally:
        resolver.close()


def problem_codes(result: LoadResult) -> list[str]:
    return [problem.code for problem in result.check_result.problems]


def test_a_server_statement_is_parsed_with_all_attributes() -> None:
    parsed = parse_line(
        "server n1 address [::1]:8080 shard 3 room room-b weight 1.5 state draining max-units 8 # c"
    )
    expected = EndpointSpec("n1", ("::1", 8080), 3, EndpointStatus.DRAINING, "room-b", 1.5, 8.0)
    assert parsed == ("server", expected, 8)


@pytest.mark.parametrize(
    ("statement", "column", "message_part", "expected_suggestion"),
    [
        ("servr n1 address h:1 shard 0", 1, "found 'servr'", "server"),
        ("server n1 adress h:1 shard 0", 11, "'address' or 'max-units'", "address"),
        ("server n1 address h:1 shard 0 wieght 1", 31, "found 'wieght'", "weight"),
        ("server n1 address h:1 shard 0 state reddy", 37, "'draining' or 'ready'", "ready"),
        ("server n1 address h:1 shard", 28, "expected a whole number, found the end of the line", ""),
        ("server n1 address h shard 0", 19, "expected host:port, found 'h'", ""),
        ("server n1 shard 0", 8, "server n1 has no address", ""),
        ("server n1 address h:1 shard 0 shard 1", 37, "shard is given twice", ""),
        ("server n1 address h:0 shard 0", 19, "port must be from 1 to 65535", ""),
        ("server n1 address h:1 shard 0 weight 1001", 38, "weight must be from 0 to 1000", ""),
        ("server n1 address h:1 shard 9999999", 29, "shard must be from 0 to", ""),
        ("server a~b address h:1 shard 0", 8, "expected a name, found 'a~b'", ""),
        ("version 1 2", 11, "found '2'", ""),
        ("file a sha256 ab", 15, "expected 64 hex digits", ""),
        ("server n1 address h:1 shard 0 " + "#" * 5000, 4097, "longer than", ""),
    ],
)
def test_syntax_errors_give_position_expectation_and_suggestion(
    statement: str, column: int, message_part: str, expected_suggestion: str
) -> None:
    problem = parse_file(versioned_list_text(statement), "f").problems[0]
    assert (problem.code, problem.position.line, problem.position.column) == ("L101", 3, column)
    assert message_part in problem.message and problem.suggestion == expected_suggestion
    assert str(problem).startswith(f"f:3:{column}: L101: ")


def test_all_errors_of_a_file_are_reported() -> None:
    problems = parse_file(versioned_list_text("serve a", SERVER_LINE, "server b"), "f").problems
    assert [problem.position.line for problem in problems] == [3, 5]


SERVERS = st.builds(
    EndpointSpec,
    st.from_regex(r"[A-Za-z0-9][A-Za-z0-9._-]{0,20}", fullmatch=True),
    st.tuples(st.sampled_from(["10.0.0.1", "::1", "node-07.example.org"]), st.integers(1, 65535)),
    st.integers(0, 5000),
    st.sampled_from([EndpointStatus.UP, EndpointStatus.DRAINING]),
    st.sampled_from(["", "room-a", "shard"]),
    st.none() | st.decimals(0, 1000, places=9).map(float),
    st.sampled_from([0.0, 0.5, 16.0]),
)
COMMENTS = st.from_regex(r"#[ -~]{0,20}", fullmatch=True)


# Hypothesis derives its seed from the source of this test, except comments: a rename changes the examples.
@settings(deadline=None, derandomize=True, database=None)
@given(st.lists(st.tuples(SERVERS, st.none() | COMMENTS) | COMMENTS | st.just(""), max_size=12))
def test_formatting_keeps_the_meaning_and_comments_and_is_idempotent(
    rows: list[tuple[EndpointSpec, str | None] | str],
) -> None:
    lines, count = ["format 1"], 1
    for row in rows:
        if isinstance(row, str):
            lines.append(row)
        else:
            count += 1
            lines.append(
                "  " + endpoint_statement(row[0]).replace(" ", "\t ") + (f" {row[1]}" if row[1] else "")
            )
    before = "\n".join([*lines, f"end {count}", ""])
    after = format_list(before)
    assert format_list(after) == after
    a, b = parse_file(before, "f"), parse_file(after, "f")
    assert not a.problems and not b.problems
    assert [e.endpoint for e in a.endpoint_statements] == [e.endpoint for e in b.endpoint_statements]
    for row in rows:
        comment = row if isinstance(row, str) else row[1] or ""
        assert comment.strip("# ").strip() in after


def test_a_truncated_file_is_rejected(tmp_path: Path) -> None:
    """A file that is truncated at any byte is rejected with a problem."""
    statements = [
        f"server n{index} address 127.0.0.1:{8000 + index} shard {index}  # room {index}"
        for index in range(12)
    ]
    content = versioned_list_text(*statements).encode()
    path = tmp_path / "main.list"
    loader = ListLoader(path, 0, NameResolver(lambda host: ()))
    for cut in range(len(content)):
        path.write_bytes(content[:cut])
        result = loader.load(None)
        assert result.check_result.checked_list is None and result.check_result.problems, cut
    path.write_bytes(content)
    assert loader.load(None).check_result.checked_list is not None


def test_a_randomly_damaged_file_raises_no_exception(tmp_path: Path) -> None:
    rng = random.Random(3)
    content = versioned_list_text(
        SERVER_LINE, "network 127.0.0.0/8", "host a.example.org", "include x.list"
    ).encode()
    for _ in range(300):
        damaged = bytearray(content)
        for _ in range(rng.randint(1, 6)):
            damaged[rng.randrange(len(damaged))] = rng.randrange(256)
        (tmp_path / "main.list").write_bytes(bytes(damaged))
        file_set = files.read_set(tmp_path / "main.list")
        assert file_set.parsed_files or file_set.problems


CASES: dict[str, tuple[str, dict[str, str]]] = {
    "L102": (versioned_list_text(SERVER_LINE).replace("end 3", "end 4"), {}),
    "L103": (versioned_list_text(SERVER_LINE) + "# more", {}),
    "L104": (list_text("version 5", SERVER_LINE, first_line="format 2"), {}),
    "L105": (versioned_list_text(SERVER_LINE) + SERVER_LINE + "\n", {}),
    "L106": (versioned_list_text("version 5", SERVER_LINE), {}),
    "L107": (versioned_list_text(SERVER_LINE, "include b.list"), {"b": list_text("version 1")}),
    "L201": (versioned_list_text(SERVER_LINE, "server n1 address 127.0.0.2:80 shard 0"), {}),
    "L202": (versioned_list_text(SERVER_LINE, "server n2 address 127.0.0.1:80 shard 0"), {}),
    "L203": (versioned_list_text("network 10.0.0.0/8", "network 192.168.0.0/16", SERVER_LINE), {}),
    "L204": (
        versioned_list_text("host node-01.example.org", "server n address node-07.example.org:80 shard 0"),
        {},
    ),
    "L205": (versioned_list_text("server n address node-77.example.org:80 shard 0"), {}),
    "L206": (versioned_list_text(SERVER_LINE, "server n2 address 127.0.0.2:80 shard 1 state draining"), {}),
    "L208": (
        versioned_list_text(SERVER_LINE + " weight 0", "server n2 address 127.0.0.2:80 shard 1 weight 0"),
        {},
    ),
    "L209": (versioned_list_text(SERVER_LINE, version=3), {}),
    "L210": (versioned_list_text(SERVER_LINE, version=4), {}),
    "L211": (versioned_list_text("network 300.0.0.0/8", SERVER_LINE), {}),
    "L212": (list_text(SERVER_LINE), {}),
    "L213": (versioned_list_text(), {}),
    "L403": (versioned_list_text(SERVER_LINE, "include b.list"), {"b": list_text("include main.list")}),
    "L404": (versioned_list_text(SERVER_LINE, "include missing.list"), {}),
    "L405": (
        versioned_list_text(SERVER_LINE, "manifest m.list"),
        {"m": list_text(f"file main.list sha256 {'0' * 64}")},
    ),
    "L406": (
        versioned_list_text(SERVER_LINE, "manifest m.list"),
        {"m": list_text(f"file other.list sha256 {'0' * 64}")},
    ),
}


@pytest.mark.parametrize("code", CASES)
def test_each_check_reports_its_code_and_accepts_a_valid_list(code: str, tmp_path: Path) -> None:
    main, others = CASES[code]
    current = CheckedList(4, "f" * 64, {})
    shard_count = 2 if code == "L206" else 0
    rejected = load(tmp_path, current, shard_count, main=main, **others)
    assert rejected.check_result.checked_list is None and set(problem_codes(rejected)) == {code}
    assert all(problem.code in PROBLEM_CODES for problem in rejected.check_result.problems)
    accepted = load(
        tmp_path, current, 1, main=versioned_list_text("network 127.0.0.0/8", SERVER_LINE + " weight 2")
    )
    assert problem_codes(accepted) == [] and accepted.check_result.checked_list is not None


def test_a_typo_in_a_host_name_suggests_the_right_host(tmp_path: Path) -> None:
    inventory = ["host node-01.example.org", "host node-07.example.org"]
    result = load(
        tmp_path, main=versioned_list_text(*inventory, "server n address node-O7.example.org:80 shard 0")
    )
    assert [(problem.code, problem.suggestion) for problem in result.check_result.problems] == [
        ("L204", "node-07.example.org")
    ]
    statements = [
        "server m address node-07.example.org:80 shard 0",
        "server n address nod-07.example.org:80 shard 0",
    ]
    result = load(tmp_path, main=versioned_list_text(*statements))
    assert [(problem.code, problem.suggestion) for problem in result.check_result.problems] == [
        ("L205", "node-07.example.org")
    ]
    accepted = load(
        tmp_path, main=versioned_list_text(*inventory, "server n address NODE-07.example.org:80 shard 0")
    )
    assert accepted.check_result.checked_list is not None
    assert accepted.check_result.checked_list.endpoints["n"].address == ("127.0.0.7", 80)


def test_known_hosts_keep_their_addresses_while_the_name_server_is_down() -> None:
    now_seconds, addresses_by_host = [0.0], {"a": ("127.0.0.1",)}

    def lookup(host: str) -> tuple[str, ...]:
        if host not in addresses_by_host:
            raise OSError("no answer")
        return addresses_by_host[host]

    resolver = NameResolver(lookup, lambda: now_seconds[0], timeout_seconds=5.0)
    assert resolver.resolve(["a", "b"]) == {"a": ("127.0.0.1",)}
    addresses_by_host.clear()
    now_seconds[0] = 100.0
    assert resolver.resolve(["a"]) == {"a": ("127.0.0.1",)}
    now_seconds[0] = 4000.0
    assert resolver.resolve(["a"]) == {}
    resolver.close()


def test_a_manifest_detects_changed_and_unlisted_files(tmp_path: Path) -> None:
    (tmp_path / "d").mkdir()
    (tmp_path / "d" / "a.list").write_text(list_text(SERVER_LINE))
    (tmp_path / "d" / ".hidden.list").write_text("no list")
    main = versioned_list_text("include d/*.list", "manifest m.list")
    texts = {"main.list": main, "d/a.list": list_text(SERVER_LINE)}
    digests = [
        f"file {name} sha256 {hashlib.sha256(content.encode()).hexdigest()}"
        for name, content in texts.items()
    ]
    assert load(tmp_path, main=main, m=list_text(*digests)).check_result.checked_list is not None
    (tmp_path / "d" / "a.list").write_text(list_text(SERVER_LINE.replace("127.0.0.1", "127.0.0.2")))
    assert problem_codes(load(tmp_path)) == ["L405"]
    (tmp_path / "d" / "a.list").write_text(list_text(SERVER_LINE))
    (tmp_path / "d" / "b.list").write_text(list_text("server n2 address 127.0.0.2:80 shard 0"))
    assert problem_codes(load(tmp_path)) == ["L406"]


def test_double_includes_and_include_loops_are_reported(tmp_path: Path) -> None:
    included_twice = load(
        tmp_path, main=versioned_list_text("include b.list", "include b.list"), b=list_text(SERVER_LINE)
    )
    assert [(problem.code, problem.position.line) for problem in included_twice.check_result.problems] == [
        ("L403", 4)
    ]
    included_in_a_loop = load(
        tmp_path, main=versioned_list_text(SERVER_LINE, "include b.list"), b=list_text("include main.list")
    )
    assert [problem.message for problem in included_in_a_loop.check_result.problems] == [
        "main.list -> b.list -> main.list"
    ]


def test_a_missing_drop_in_folder_is_a_problem(tmp_path: Path) -> None:
    assert problem_codes(load(tmp_path, main=versioned_list_text(SERVER_LINE, "include d/*.list"))) == [
        "L404"
    ]


def test_a_pipe_a_missing_file_and_invalid_utf8_are_problems(tmp_path: Path) -> None:
    os.mkfifo(tmp_path / "main.list")
    assert problem_codes(load(tmp_path)) == ["L401"]
    (tmp_path / "main.list").unlink()
    assert problem_codes(load(tmp_path)) == ["L401"]
    (tmp_path / "main.list").write_bytes(b"format 1\n\xff\n")
    result = load(tmp_path)
    assert problem_codes(result)[0] == "L401" and result.check_result.problems[0].position.line == 2


def test_a_set_that_is_too_large_or_nested_too_deep_is_rejected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(files, "MAX_SET_BYTES", 100)
    assert "L402" in problem_codes(load(tmp_path, main=versioned_list_text(SERVER_LINE + "  # " + "x" * 100)))
    monkeypatch.setattr(files, "MAX_SET_BYTES", 1 << 20)
    for index in range(12):
        (tmp_path / f"f{index}.list").write_text(list_text(f"include f{index + 1}.list"))
    assert "L402" in problem_codes(load(tmp_path, main=versioned_list_text(SERVER_LINE, "include f0.list")))


def test_a_set_that_changes_while_it_is_read_is_rejected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    (tmp_path / "main.list").write_text(versioned_list_text(SERVER_LINE))
    original_read_set, read_count = files.read_set, [0]

    def read_and_change(main_path: Path) -> files.FileSet:
        read_count[0] += 1
        file_set = original_read_set(main_path)
        main_path.write_text(versioned_list_text(SERVER_LINE, version=5 + read_count[0]))
        return file_set

    monkeypatch.setattr(files, "read_set", read_and_change)
    assert [problem.code for problem in files.read_stable_set(tmp_path / "main.list").problems] == ["L407"]


def test_unchanged_lines_are_parsed_once(tmp_path: Path) -> None:
    statements = [
        f"server n{index} address 10.0.{index >> 8}.{index & 255}:80 shard {index}" for index in range(2000)
    ]
    first = load(tmp_path, main=versioned_list_text("network 10.0.0.0/8", *statements))
    assert first.check_result.checked_list is not None and first.delta is not None
    second = load(
        tmp_path,
        first.check_result.checked_list,
        main=versioned_list_text("network 10.0.0.0/8", *statements[:-1], version=6),
    )
    assert second.delta is not None and second.delta.affected_names == ("n1999",)
    first_list, second_list = first.check_result.checked_list, second.check_result.checked_list
    assert second_list is not None and all(
        first_list.endpoints[name] is endpoint for name, endpoint in second_list.endpoints.items()
    )


def test_a_truncated_or_damaged_snapshot_is_rejected(tmp_path: Path) -> None:
    endpoint = EndpointSpec("n", ("::1", 80), 3, EndpointStatus.DRAINING, "room-a", 0.5, 4.0)
    checked_list = CheckedList(7, "ab" * 32, {"n": endpoint}, ("main.list",))
    data = snapshot.encode_snapshot(checked_list, 123)
    assert snapshot.decode_snapshot(data) == (checked_list, 123)
    for cut in range(len(data)):
        with pytest.raises(snapshot.SnapshotDamagedError):
            snapshot.decode_snapshot(data[:cut])
    rng = random.Random(1)
    for position in range(len(data)):
        damaged = bytearray(data)
        damaged[position] ^= 1 << rng.randrange(8)
        with pytest.raises(snapshot.SnapshotDamagedError):
            snapshot.decode_snapshot(bytes(damaged))
    with pytest.raises(snapshot.SnapshotDamagedError):
        snapshot.decode_snapshot(data + b"x")


def test_a_full_disk_keeps_the_old_snapshot(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "list"
    snapshot.write_atomically(path, b"old")
    for call in ("write", "fsync", "rename"):
        with monkeypatch.context() as patch:
            patch.setattr(os, call, _raise_disk_full)
            with pytest.raises(OSError):
                snapshot.write_atomically(path, b"new")
        assert path.read_bytes() == b"old" and os.listdir(tmp_path) == ["list"]


def _raise_disk_full(*_: object) -> int:
    raise OSError(28, "No space left on device")


def test_the_version_is_checked_against_the_list_in_force() -> None:
    """A list needs a higher version than the one in force, or the same version with the same digest."""
    parsed = parse_file(versioned_list_text(SERVER_LINE, version=4), "f")
    for current, expected in (
        (CurrentList(3, "x"), []),
        (CurrentList(4, "d"), []),
        (CurrentList(4, "x"), ["L210"]),
        (CurrentList(5, "d"), ["L209"]),
    ):
        assert [
            problem.code for problem in ListChecker().check([parsed], "d", current, {}).problems
        ] == expected
