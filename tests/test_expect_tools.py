"""`expect diff` and `expect --suggest`: what a change alters, and a first suite that holds as written."""

import json
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from tests.helpers import settings
from umberlead.commands import command
from umberlead.membership.model import CheckedList, EndpointSpec
from umberlead.routing_tests.altered import differences
from umberlead.routing_tests.suggest import suite
from umberlead.scheduling.events import EndpointStatus
from umberlead.scheduling.settings import Plan, Repeatability, RequestClass

ROOT = Path(__file__).parent.parent
S = settings(
    classes=(
        RequestClass("read", 300_000, 2_000_000),
        RequestClass("once", 400_000, 2_000_000, Repeatability.AT_MOST_ONCE),
    ),
    plans=(Plan("p"), Plan("q")),
    shard_count=2,
)
LIST = {n: EndpointSpec(n, ("127.0.0.1", k + 1), k % 2) for k, n in enumerate("abcd")}


def listing(**more: Any) -> CheckedList:
    return CheckedList(1, "1" * 64, LIST | more)


def without(*names: str) -> CheckedList:
    return CheckedList(2, "2" * 64, {n: s for n, s in LIST.items() if n not in names})


def told(new: CheckedList, settings_: Any = S) -> list[str]:
    return [str(d) for d in differences((S, listing()), (settings_, new))]


def test_the_same_differs_in_nothing_and_is_not_walked(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("umberlead.routing_tests.altered.explore", lambda *_: pytest.fail("walked"))
    assert told(listing()) == []


def test_a_server_that_leaves_is_lost_to_its_shard_and_to_new_objects_and_nobody_else() -> None:
    assert told(without("a")) == [
        "new objects: - a; b 25% -> 33.3%; c 25% -> 33.3%; d 25% -> 33.3%",
        "read, shard 0: - a",
        "once, shard 0: - a; at most 2 -> 1 attempts",  # after a full queue the only one rests too long
    ]


def test_a_server_that_drains_is_lost_and_one_that_is_the_last_leaves_nobody() -> None:
    drains = listing(a=replace(LIST["a"], status=EndpointStatus.DRAINING))
    assert told(drains)[1] == "read, shard 0: - a"
    lines = told(without("a", "c"))[1:]
    assert lines and all(": - a c; " in x and x.endswith("no server can serve it") for x in lines)


def test_a_server_that_moves_to_another_shard_is_told_of_both() -> None:
    lines = told(listing(a=replace(LIST["a"], shard=1)))
    assert [x for x in lines if x.startswith("read")] == ["read, shard 0: - a", "read, shard 1: + a"]
    assert len(lines) == 4 and "once, shard 1: + a; at most 2 -> 3 attempts" in lines


def test_weights_move_new_objects_and_weight_0_takes_none() -> None:
    assert told(listing(a=replace(LIST["a"], weight=0.0)))[0].startswith("new objects: - a; ")
    heavy = listing(a=replace(LIST["a"], weight=3.0))
    assert told(heavy) == ["new objects: a 25% -> 50%; b 25% -> 16.7%; c 25% -> 16.7%; d 25% -> 16.7%"]


def test_settings_that_change_how_often_a_request_goes_out_are_told_by_class() -> None:
    lines = told(listing(), replace(S, max_attempts=1))
    assert any("at most 3 -> 1 attempts" in line and "shard 0" in line for line in lines)
    keyed = replace(S, classes=(S.classes[0], replace(S.classes[1], repeatability=Repeatability.IDEMPOTENT)))
    lines = told(listing(), keyed)
    assert lines[0] == "class once: effect unsafe -> safe"
    assert not any(line.startswith("read") for line in lines)  # and reads are as they were
    gone = told(listing(), replace(S, plans=(Plan("p"), Plan("r"))))
    assert gone[:2] == ["plan q: is gone", "plan r: is new"]


@pytest.mark.parametrize("shards", [1, 2, 5])
def test_a_suggested_suite_holds_as_it_is_written(shards: int, tmp_path: Path) -> None:
    rows = [f"server n{k} address 127.0.0.1:{k + 1} shard {k % shards}" for k in range(2 * shards)]
    text = ["format 1", "version 1", *rows]
    (tmp_path / "l").write_text("\n".join([*text, f"end {len(text)}", ""]))
    conf = (ROOT / "deploy" / "watched.toml").read_text().replace("watched/servers.list", "l")
    conf = conf.replace("nShards = 5", f"nShards = {shards}")
    (tmp_path / "c.toml").write_text(conf)
    runner = CliRunner()
    with runner.isolated_filesystem(tmp_path):
        made = runner.invoke(command, ["expect", "--suggest", "--config", str(tmp_path / "c.toml")])
        assert made.exit_code == 0, made.output
        Path("first.suite").write_text(made.stdout)
        got = runner.invoke(command, ["expect", "first.suite", "--workers", "1", "--json"])
        assert got.exit_code == 0, got.output[-2000:]
        rows_ = json.loads(got.stdout)["first.suite"]
        assert rows_["failed"] == rows_["error"] == 0


def test_a_suggested_suite_catches_a_server_that_is_put_on_the_wrong_shard() -> None:
    text = suite(S, listing(), "c.toml", "l")
    assert "group shard-0 a c\n" in text and "expect may shard 1 only @shard-1\n" in text
    assert "expect never a after 1s\n" in text


class TestCommand:
    def run(self, *words: str) -> Any:
        return CliRunner().invoke(command, ["expect", *words])

    def two(self, folder: Path, old: str, new: str) -> tuple[str, str]:
        for name, change in (("old", old), ("new", new)):
            rows = ["format 1", "version 1", *change.split(";")]
            (folder / f"{name}.list").write_text("\n".join([*rows, f"end {len(rows)}", ""]))
            text = (ROOT / "deploy" / "watched.toml").read_text()
            text = text.replace("watched/servers.list", f"{name}.list")
            (folder / f"{name}.toml").write_text(text.replace("nShards = 5", "nShards = 1"))
        return str(folder / "old.toml"), str(folder / "new.toml")

    def test_diff(self, tmp_path: Path) -> None:
        a, b = (f"server {n} address 127.0.0.1:{k} shard 0" for k, n in ((1, "a"), (2, "b")))
        old, new = self.two(tmp_path, f"{a};{b}", a)
        got = self.run("diff", old, new)
        assert got.exit_code == 1 and "image-read, bulk-export, shard 0: - b" in got.stdout
        rows = json.loads(self.run("diff", old, new, "--json").stdout)
        assert rows[-1]["lost"] == ["b"] and rows[-1]["gained"] == []
        same = self.run("diff", old, old)
        assert (same.exit_code, same.stdout) == (0, "nothing differs in who may reach whom\n")
        assert self.run("diff", old, new, "--list", str(tmp_path / "old.list")).exit_code == 0

    def test_what_cannot_be_read_names_file_and_place(self, tmp_path: Path) -> None:
        old, new = self.two(
            tmp_path, "server a address 127.0.0.1:1 shard 0", "server a adress 127.0.0.1:1 shard 0"
        )
        got = self.run("diff", old, new)
        assert got.exit_code == 2 and "new.list:3:10: L101" in got.stderr and not got.stdout
        assert self.run("diff", old).exit_code == 2
        assert self.run("diff", old, str(tmp_path / "none.toml")).exit_code == 2
        assert self.run().exit_code == 2
        assert self.run("--suggest").exit_code == 2
        bare = tmp_path / "bare.toml"
        bare.write_text((tmp_path / "old.toml").read_text().replace("[membership]", "[membershipp]"))
        assert "membershipp: is unknown" in self.run("--suggest", "--config", str(bare)).stderr


class TestSmallest:
    """A suite whose one false expectation hides behind loads and happenings that have no part in it."""

    suite = """format 1
config {conf}
list {list}
group odd node-a1 node-b1
collection scans plan priority shards 0..4 volumes 8
collection prints plan standard shards 0..4 volumes 8
scenario busy seed 3
load prints class image-read rate 20 from 0s to 6s units 2
load scans class image-upload rate 10 from 0s to 6s units 2 new
load scans class image-read rate 20 from 0s to 6s units 1
at 1s slow 2 node-a0 node-b0
at 2s drain node-a2
at 2500ms outcome error part 30% node-a3 node-b3
expect answered-once
expect class image-upload never @odd
end 15
"""

    def test_what_has_no_part_in_a_failure_is_left_out_and_it_still_fails(self, tmp_path: Path) -> None:
        conf, listed = ROOT / "deploy" / "watched.toml", ROOT / "deploy" / "watched" / "servers.list"
        path, out = tmp_path / "s.suite", tmp_path / "small.suite"
        path.write_text(self.suite.format(conf=conf, list=listed))
        words = ["expect", str(path), "--workers", "1", "--smallest", str(out)]
        got = CliRunner().invoke(command, words)
        assert got.exit_code == 1, got.output
        text = out.read_text()
        assert text.count("\nload ") == 1 and "class image-upload" in text
        assert "\nat " not in text and "answered-once" not in text and "group odd node-a1 node-b1" in text
        again = CliRunner().invoke(command, ["expect", str(out), "--workers", "1", "--json"])
        rows = json.loads(again.stdout)[str(out)]
        assert again.exit_code == 1 and rows["failed"] == 1 and rows["error"] == 0
        assert rows["requests"] <= 10  # of some 300

    def test_what_a_failure_needs_is_kept(self, tmp_path: Path) -> None:
        conf, listed = ROOT / "deploy" / "watched.toml", ROOT / "deploy" / "watched" / "servers.list"
        path, out = tmp_path / "s.suite", tmp_path / "small.suite"
        text = self.suite.replace(
            "expect class image-upload never @odd", "expect shard 2 never node-b2 after 3s"
        )
        path.write_text(text.format(conf=conf, list=listed))
        CliRunner().invoke(command, ["expect", str(path), "--workers", "1", "--smallest", str(out)])
        assert "load" in out.read_text() and "slow" not in out.read_text()
        drained = text.replace("expect shard 2 never node-b2 after 3s", "expect shard 2 only node-a2")
        path.write_text(drained.format(conf=conf, list=listed))
        CliRunner().invoke(command, ["expect", str(path), "--workers", "1", "--smallest", str(out)])
        assert CliRunner().invoke(command, ["expect", str(out), "--workers", "1"]).exit_code == 1

    def test_a_suite_that_holds_writes_nothing(self, tmp_path: Path) -> None:
        path, out = ROOT / "deploy" / "expectations" / "watched.suite", tmp_path / "small.suite"
        words = ["expect", str(path), "--scenario", "calm", "--smallest", str(out)]
        assert CliRunner().invoke(command, words).exit_code == 0 and not out.exists()


def test_progress_is_for_terminals_alone(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    from types import SimpleNamespace

    from umberlead.commands.expect import _progress

    _progress(1, 2, SimpleNamespace(scenario="calm"))
    assert capsys.readouterr().err == ""
    monkeypatch.setattr("sys.stderr.isatty", lambda: True)
    _progress(1, 2, SimpleNamespace(scenario="calm"))
    assert "1 of 2: calm" in capsys.readouterr().err
