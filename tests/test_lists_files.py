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

ONE = "server n1 address 127.0.0.1:80 shard 0"
HOSTS = {"node-01.example.org": ("127.0.0.9",), "node-07.example.org": ("127.0.0.7",)}


def text(*rows: str, first: str = "format 1") -> str:
    lines = [first, *rows] if first else list(rows)
    return "\n".join([*lines, f"end {len(lines)}", ""])


def whole(*rows: str, version: int = 5) -> str:
    return text(f"version {version}", *rows)


def load(folder: Path, before: CheckedList | None = None, shards: int = 0, **sheets: str) -> LoadResult:
    for name, content in sheets.items():
        (folder / f"{name}.list").write_text(content)
    resolver = NameResolver(lambda host: HOSTS.get(host, ()))
    try:
        return ListLoader(folder / "main.list", shards, resolver).load(before)
    finally:
        resolver.close()


def codes(got: LoadResult) -> list[str]:
    return [p.code for p in got.check_result.problems]


def test_a_statement_gives_all_that_it_says() -> None:
    got = parse_line(
        "server n1 address [::1]:8080 shard 3 room room-b weight 1.5 state draining max-units 8 # c"
    )
    want = EndpointSpec("n1", ("::1", 8080), 3, EndpointStatus.DRAINING, "room-b", 1.5, 8.0)
    assert got == ("server", want, 8)


@pytest.mark.parametrize(
    ("row", "column", "said", "near"),
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
def test_errors_name_place_expectation_and_the_nearest_word(
    row: str, column: int, said: str, near: str
) -> None:
    problem = parse_file(whole(row), "f").problems[0]
    assert (problem.code, problem.position.line, problem.position.column) == ("L101", 3, column)
    assert said in problem.message and problem.suggestion == near
    assert str(problem).startswith(f"f:3:{column}: L101: ")


def test_all_errors_of_a_file_are_reported() -> None:
    problems = parse_file(whole("serve a", ONE, "server b"), "f").problems
    assert [p.position.line for p in problems] == [3, 5]


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


def test_no_part_of_a_file_passes_for_all_of_it(tmp_path: Path) -> None:
    """A file that is truncated at any byte is rejected with a problem."""
    rows = [f"server n{k} address 127.0.0.1:{8000 + k} shard {k}  # room {k}" for k in range(12)]
    content = whole(*rows).encode()
    path = tmp_path / "main.list"
    loader = ListLoader(path, 0, NameResolver(lambda host: ()))
    for cut in range(len(content)):
        path.write_bytes(content[:cut])
        got = loader.load(None)
        assert got.check_result.checked_list is None and got.check_result.problems, cut
    path.write_bytes(content)
    assert loader.load(None).check_result.checked_list is not None


def test_random_text_is_a_problem_and_never_a_crash(tmp_path: Path) -> None:
    chance = random.Random(3)
    content = whole(ONE, "network 127.0.0.0/8", "host a.example.org", "include x.list").encode()
    for _ in range(300):
        spoilt = bytearray(content)
        for _ in range(chance.randint(1, 6)):
            spoilt[chance.randrange(len(spoilt))] = chance.randrange(256)
        (tmp_path / "main.list").write_bytes(bytes(spoilt))
        got = files.read_set(tmp_path / "main.list")
        assert got.parsed_files or got.problems


CASES: dict[str, tuple[str, dict[str, str]]] = {
    "L102": (whole(ONE).replace("end 3", "end 4"), {}),
    "L103": (whole(ONE) + "# more", {}),
    "L104": (text("version 5", ONE, first="format 2"), {}),
    "L105": (whole(ONE) + ONE + "\n", {}),
    "L106": (whole("version 5", ONE), {}),
    "L107": (whole(ONE, "include b.list"), {"b": text("version 1")}),
    "L201": (whole(ONE, "server n1 address 127.0.0.2:80 shard 0"), {}),
    "L202": (whole(ONE, "server n2 address 127.0.0.1:80 shard 0"), {}),
    "L203": (whole("network 10.0.0.0/8", "network 192.168.0.0/16", ONE), {}),
    "L204": (whole("host node-01.example.org", "server n address node-07.example.org:80 shard 0"), {}),
    "L205": (whole("server n address node-77.example.org:80 shard 0"), {}),
    "L206": (whole(ONE, "server n2 address 127.0.0.2:80 shard 1 state draining"), {}),
    "L208": (whole(ONE + " weight 0", "server n2 address 127.0.0.2:80 shard 1 weight 0"), {}),
    "L209": (whole(ONE, version=3), {}),
    "L210": (whole(ONE, version=4), {}),
    "L211": (whole("network 300.0.0.0/8", ONE), {}),
    "L212": (text(ONE), {}),
    "L213": (whole(), {}),
    "L403": (whole(ONE, "include b.list"), {"b": text("include main.list")}),
    "L404": (whole(ONE, "include missing.list"), {}),
    "L405": (whole(ONE, "manifest m.list"), {"m": text(f"file main.list sha256 {'0' * 64}")}),
    "L406": (whole(ONE, "manifest m.list"), {"m": text(f"file other.list sha256 {'0' * 64}")}),
}


@pytest.mark.parametrize("code", CASES)
def test_each_check_finds_its_problem_and_no_other_list_does(code: str, tmp_path: Path) -> None:
    main, others = CASES[code]
    before = CheckedList(4, "f" * 64, {})
    shards = 2 if code == "L206" else 0
    got = load(tmp_path, before, shards, main=main, **others)
    assert got.check_result.checked_list is None and set(codes(got)) == {code}
    assert all(p.code in PROBLEM_CODES for p in got.check_result.problems)
    good = load(tmp_path, before, 1, main=whole("network 127.0.0.0/8", ONE + " weight 2"))
    assert codes(good) == [] and good.check_result.checked_list is not None


def test_a_typo_in_a_host_name_names_the_host_that_was_meant(tmp_path: Path) -> None:
    inventory = ["host node-01.example.org", "host node-07.example.org"]
    got = load(tmp_path, main=whole(*inventory, "server n address node-O7.example.org:80 shard 0"))
    assert [(p.code, p.suggestion) for p in got.check_result.problems] == [("L204", "node-07.example.org")]
    rows = [
        "server m address node-07.example.org:80 shard 0",
        "server n address nod-07.example.org:80 shard 0",
    ]
    got = load(tmp_path, main=whole(*rows))
    assert [(p.code, p.suggestion) for p in got.check_result.problems] == [("L205", "node-07.example.org")]
    sound = load(tmp_path, main=whole(*inventory, "server n address NODE-07.example.org:80 shard 0"))
    assert sound.check_result.checked_list is not None
    assert sound.check_result.checked_list.endpoints["n"].address == ("127.0.0.7", 80)


def test_a_name_server_that_is_down_changes_nothing_for_known_names() -> None:
    now, answers = [0.0], {"a": ("127.0.0.1",)}

    def lookup(host: str) -> tuple[str, ...]:
        if host not in answers:
            raise OSError("no answer")
        return answers[host]

    resolver = NameResolver(lookup, lambda: now[0], timeout_seconds=5.0)
    assert resolver.resolve(["a", "b"]) == {"a": ("127.0.0.1",)}
    answers.clear()
    now[0] = 100.0
    assert resolver.resolve(["a"]) == {"a": ("127.0.0.1",)}
    now[0] = 4000.0
    assert resolver.resolve(["a"]) == {}
    resolver.close()


def test_a_set_of_several_files_is_complete_by_its_manifest(tmp_path: Path) -> None:
    (tmp_path / "d").mkdir()
    (tmp_path / "d" / "a.list").write_text(text(ONE))
    (tmp_path / "d" / ".hidden.list").write_text("no list")
    main = whole("include d/*.list", "manifest m.list")
    sheets = {"main.list": main, "d/a.list": text(ONE)}
    rows = [f"file {n} sha256 {hashlib.sha256(c.encode()).hexdigest()}" for n, c in sheets.items()]
    assert load(tmp_path, main=main, m=text(*rows)).check_result.checked_list is not None
    (tmp_path / "d" / "a.list").write_text(text(ONE.replace("127.0.0.1", "127.0.0.2")))
    assert codes(load(tmp_path)) == ["L405"]
    (tmp_path / "d" / "a.list").write_text(text(ONE))
    (tmp_path / "d" / "b.list").write_text(text("server n2 address 127.0.0.2:80 shard 0"))
    assert codes(load(tmp_path)) == ["L406"]


def test_a_file_is_included_once_and_a_loop_is_shown(tmp_path: Path) -> None:
    twice = load(tmp_path, main=whole("include b.list", "include b.list"), b=text(ONE))
    assert [(p.code, p.position.line) for p in twice.check_result.problems] == [("L403", 4)]
    round_ = load(tmp_path, main=whole(ONE, "include b.list"), b=text("include main.list"))
    assert [p.message for p in round_.check_result.problems] == ["main.list -> b.list -> main.list"]


def test_a_drop_in_folder_that_is_away_is_no_empty_list(tmp_path: Path) -> None:
    assert codes(load(tmp_path, main=whole(ONE, "include d/*.list"))) == ["L404"]


def test_what_is_no_file_or_no_text_is_reported_and_not_waited_for(tmp_path: Path) -> None:
    os.mkfifo(tmp_path / "main.list")
    assert codes(load(tmp_path)) == ["L401"]
    (tmp_path / "main.list").unlink()
    assert codes(load(tmp_path)) == ["L401"]
    (tmp_path / "main.list").write_bytes(b"format 1\n\xff\n")
    got = load(tmp_path)
    assert codes(got)[0] == "L401" and got.check_result.problems[0].position.line == 2


def test_too_large_a_set_is_rejected_before_it_is_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(files, "MAX_SET_BYTES", 100)
    assert "L402" in codes(load(tmp_path, main=whole(ONE + "  # " + "x" * 100)))
    monkeypatch.setattr(files, "MAX_SET_BYTES", 1 << 20)
    for k in range(12):
        (tmp_path / f"f{k}.list").write_text(text(f"include f{k + 1}.list"))
    assert "L402" in codes(load(tmp_path, main=whole(ONE, "include f0.list")))


def test_a_set_that_moves_while_it_is_read_is_not_taken(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    (tmp_path / "main.list").write_text(whole(ONE))
    first, count = files.read_set, [0]

    def moving(main: Path) -> files.FileSet:
        count[0] += 1
        got = first(main)
        main.write_text(whole(ONE, version=5 + count[0]))
        return got

    monkeypatch.setattr(files, "read_set", moving)
    assert [p.code for p in files.read_stable_set(tmp_path / "main.list").problems] == ["L407"]


def test_two_thousand_lines_are_parsed_once(tmp_path: Path) -> None:
    rows = [f"server n{k} address 10.0.{k >> 8}.{k & 255}:80 shard {k}" for k in range(2000)]
    got = load(tmp_path, main=whole("network 10.0.0.0/8", *rows))
    assert got.check_result.checked_list is not None and got.delta is not None
    again = load(
        tmp_path, got.check_result.checked_list, main=whole("network 10.0.0.0/8", *rows[:-1], version=6)
    )
    assert again.delta is not None and again.delta.affected_names == ("n1999",)
    old, new = got.check_result.checked_list, again.check_result.checked_list
    assert new is not None and all(old.endpoints[n] is s for n, s in new.endpoints.items())


def test_a_snapshot_is_read_complete_or_not_at_all(tmp_path: Path) -> None:
    server = EndpointSpec("n", ("::1", 80), 3, EndpointStatus.DRAINING, "room-a", 0.5, 4.0)
    made = CheckedList(7, "ab" * 32, {"n": server}, ("main.list",))
    data = snapshot.encode_snapshot(made, 123)
    assert snapshot.decode_snapshot(data) == (made, 123)
    for cut in range(len(data)):
        with pytest.raises(snapshot.SnapshotDamagedError):
            snapshot.decode_snapshot(data[:cut])
    chance = random.Random(1)
    for at in range(len(data)):
        spoilt = bytearray(data)
        spoilt[at] ^= 1 << chance.randrange(8)
        with pytest.raises(snapshot.SnapshotDamagedError):
            snapshot.decode_snapshot(bytes(spoilt))
    with pytest.raises(snapshot.SnapshotDamagedError):
        snapshot.decode_snapshot(data + b"x")


def test_a_full_disk_leaves_the_old_snapshot(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "list"
    snapshot.write_atomically(path, b"old")
    for call in ("write", "fsync", "rename"):
        with monkeypatch.context() as patch:
            patch.setattr(os, call, _full)
            with pytest.raises(OSError):
                snapshot.write_atomically(path, b"new")
        assert path.read_bytes() == b"old" and os.listdir(tmp_path) == ["list"]


def _full(*_: object) -> int:
    raise OSError(28, "No space left on device")


def test_checks_alone_accept_what_loading_accepted() -> None:
    """A list needs a higher version than the one in force, or the same version with the same digest."""
    sheet = parse_file(whole(ONE, version=4), "f")
    for before, want in (
        (CurrentList(3, "x"), []),
        (CurrentList(4, "d"), []),
        (CurrentList(4, "x"), ["L210"]),
        (CurrentList(5, "d"), ["L209"]),
    ):
        assert [p.code for p in ListChecker().check([sheet], "d", before, {}).problems] == want
