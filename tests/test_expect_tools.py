"""Tests of `umberlead expect diff`, `--suggest`, `--smallest` and the progress line."""

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
SETTINGS = settings(
    classes=(
        RequestClass("read", 300_000, 2_000_000),
        RequestClass("once", 400_000, 2_000_000, Repeatability.AT_MOST_ONCE),
    ),
    plans=(Plan("p"), Plan("q")),
    shard_count=2,
)
ENDPOINTS = {n: EndpointSpec(n, ("127.0.0.1", k + 1), k % 2) for k, n in enumerate("abcd")}


def listing(**changed: Any) -> CheckedList:
    return CheckedList(1, "1" * 64, ENDPOINTS | changed)


def without(*names: str) -> CheckedList:
    return CheckedList(2, "2" * 64, {n: s for n, s in ENDPOINTS.items() if n not in names})


def difference_lines(new: CheckedList, settings_: Any = SETTINGS) -> list[str]:
    return [str(d) for d in differences((SETTINGS, listing()), (settings_, new))]


def test_unchanged_configuration_has_no_differences_and_is_not_explored(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("umberlead.routing_tests.altered.explore", lambda *_: pytest.fail("walked"))
    assert difference_lines(listing()) == []


def test_removed_server_changes_its_shard_and_new_objects_only() -> None:
    assert difference_lines(without("a")) == [
        "new objects: - a; b 25% -> 33.3%; c 25% -> 33.3%; d 25% -> 33.3%",
        "read, shard 0: - a",
        # after a full queue the only server is ejected for too long
        "once, shard 0: - a; at most 2 -> 1 attempts",
    ]


def test_draining_server_and_shard_without_servers_are_reported() -> None:
    draining = listing(a=replace(ENDPOINTS["a"], status=EndpointStatus.DRAINING))
    assert difference_lines(draining)[1] == "read, shard 0: - a"
    lines = difference_lines(without("a", "c"))[1:]
    assert lines and all(": - a c; " in x and x.endswith("nobody can serve it") for x in lines)


def test_server_moved_between_shards_is_reported_for_both() -> None:
    lines = difference_lines(listing(a=replace(ENDPOINTS["a"], shard=1)))
    assert [x for x in lines if x.startswith("read")] == ["read, shard 0: - a", "read, shard 1: + a"]
    assert len(lines) == 4 and "once, shard 1: + a; at most 2 -> 3 attempts" in lines


def test_weight_changes_shares_of_new_objects() -> None:
    assert difference_lines(listing(a=replace(ENDPOINTS["a"], weight=0.0)))[0].startswith(
        "new objects: - a; "
    )
    heavy = listing(a=replace(ENDPOINTS["a"], weight=3.0))
    assert difference_lines(heavy) == [
        "new objects: a 25% -> 50%; b 25% -> 16.7%; c 25% -> 16.7%; d 25% -> 16.7%"
    ]


def test_changed_settings_are_reported_by_class_and_plan() -> None:
    lines = difference_lines(listing(), replace(SETTINGS, max_attempts=1))
    assert any("at most 3 -> 1 attempts" in line and "shard 0" in line for line in lines)
    idempotent = replace(
        SETTINGS,
        classes=(SETTINGS.classes[0], replace(SETTINGS.classes[1], repeatability=Repeatability.IDEMPOTENT)),
    )
    lines = difference_lines(listing(), idempotent)
    assert lines[0] == "class once: effect unsafe -> safe"
    assert not any(line.startswith("read") for line in lines)  # reads don't change
    lines_of_plans = difference_lines(listing(), replace(SETTINGS, plans=(Plan("p"), Plan("r"))))
    assert lines_of_plans[:2] == ["plan q: is gone", "plan r: is new"]


@pytest.mark.parametrize("shards", [1, 2, 5])
def test_suggested_suite_passes(shards: int, tmp_path: Path) -> None:
    rows = [f"server n{k} address 127.0.0.1:{k + 1} shard {k % shards}" for k in range(2 * shards)]
    text = ["format 1", "version 1", *rows]
    (tmp_path / "l").write_text("\n".join([*text, f"end {len(text)}", ""]))
    config = (ROOT / "deploy" / "watched.toml").read_text().replace("watched/servers.list", "l")
    config = config.replace("nShards = 5", f"nShards = {shards}")
    (tmp_path / "c.toml").write_text(config)
    runner = CliRunner()
    with runner.isolated_filesystem(tmp_path):
        suggested = runner.invoke(command, ["expect", "--suggest", "--config", str(tmp_path / "c.toml")])
        assert suggested.exit_code == 0, suggested.output
        Path("first.suite").write_text(suggested.stdout)
        result = runner.invoke(command, ["expect", "first.suite", "--workers", "1", "--json"])
        assert result.exit_code == 0, result.output[-2000:]
        report = json.loads(result.stdout)["first.suite"]
        assert report["failed"] == report["error"] == 0


def test_suggested_suite_checks_servers_of_each_shard() -> None:
    text = suite(SETTINGS, listing(), "c.toml", "l")
    assert "group shard-0 a c\n" in text and "expect may shard 1 only @shard-1\n" in text
    assert "expect never a after 1s\n" in text


class TestCommand:
    def run(self, *arguments: str) -> Any:
        return CliRunner().invoke(command, ["expect", *arguments])

    def write_configurations(self, folder: Path, old: str, new: str) -> tuple[str, str]:
        for name, servers in (("old", old), ("new", new)):
            rows = ["format 1", "version 1", *servers.split(";")]
            (folder / f"{name}.list").write_text("\n".join([*rows, f"end {len(rows)}", ""]))
            text = (ROOT / "deploy" / "watched.toml").read_text()
            text = text.replace("watched/servers.list", f"{name}.list")
            (folder / f"{name}.toml").write_text(text.replace("nShards = 5", "nShards = 1"))
        return str(folder / "old.toml"), str(folder / "new.toml")

    def test_diff_reports_lost_server_and_exit_code(self, tmp_path: Path) -> None:
        a, b = (f"server {n} address 127.0.0.1:{k} shard 0" for k, n in ((1, "a"), (2, "b")))
        old, new = self.write_configurations(tmp_path, f"{a};{b}", a)
        result = self.run("diff", old, new)
        assert result.exit_code == 1 and "image-read, bulk-export, shard 0: - b" in result.stdout
        rows = json.loads(self.run("diff", old, new, "--json").stdout)
        assert rows[-1]["lost"] == ["b"] and rows[-1]["gained"] == []
        unchanged = self.run("diff", old, old)
        assert (unchanged.exit_code, unchanged.stdout) == (0, "nothing differs in who may reach whom\n")
        assert self.run("diff", old, new, "--list", str(tmp_path / "old.list")).exit_code == 0

    def test_unreadable_files_are_reported_with_position(self, tmp_path: Path) -> None:
        old, new = self.write_configurations(
            tmp_path, "server a address 127.0.0.1:1 shard 0", "server a adress 127.0.0.1:1 shard 0"
        )
        result = self.run("diff", old, new)
        assert result.exit_code == 2 and "new.list:3:10: L101" in result.stderr and not result.stdout
        assert self.run("diff", old).exit_code == 2
        assert self.run("diff", old, str(tmp_path / "none.toml")).exit_code == 2
        assert self.run().exit_code == 2
        assert self.run("--suggest").exit_code == 2
        misspelt = tmp_path / "bare.toml"
        misspelt.write_text((tmp_path / "old.toml").read_text().replace("[membership]", "[membershipp]"))
        assert "membershipp: is unknown" in self.run("--suggest", "--config", str(misspelt)).stderr


class TestSmallest:
    """`--smallest` on a suite with one failing expectation, and loads and changes irrelevant to it."""

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

    def test_irrelevant_loads_and_changes_are_removed(self, tmp_path: Path) -> None:
        config, listed = ROOT / "deploy" / "watched.toml", ROOT / "deploy" / "watched" / "servers.list"
        path, out = tmp_path / "s.suite", tmp_path / "small.suite"
        path.write_text(self.suite.format(conf=config, list=listed))
        arguments = ["expect", str(path), "--workers", "1", "--smallest", str(out)]
        result = CliRunner().invoke(command, arguments)
        assert result.exit_code == 1, result.output
        text = out.read_text()
        assert text.count("\nload ") == 1 and "class image-upload" in text
        assert "\nat " not in text and "answered-once" not in text and "group odd node-a1 node-b1" in text
        replay = CliRunner().invoke(command, ["expect", str(out), "--workers", "1", "--json"])
        report = json.loads(replay.stdout)[str(out)]
        assert replay.exit_code == 1 and report["failed"] == 1 and report["error"] == 0
        assert report["requests"] <= 10  # the whole scenario has about 300

    def test_parts_needed_for_the_failure_are_kept(self, tmp_path: Path) -> None:
        config, listed = ROOT / "deploy" / "watched.toml", ROOT / "deploy" / "watched" / "servers.list"
        path, out = tmp_path / "s.suite", tmp_path / "small.suite"
        text = self.suite.replace(
            "expect class image-upload never @odd", "expect shard 2 never node-b2 after 3s"
        )
        path.write_text(text.format(conf=config, list=listed))
        CliRunner().invoke(command, ["expect", str(path), "--workers", "1", "--smallest", str(out)])
        assert "load" in out.read_text() and "slow" not in out.read_text()
        drained = text.replace("expect shard 2 never node-b2 after 3s", "expect shard 2 only node-a2")
        path.write_text(drained.format(conf=config, list=listed))
        CliRunner().invoke(command, ["expect", str(path), "--workers", "1", "--smallest", str(out)])
        assert CliRunner().invoke(command, ["expect", str(out), "--workers", "1"]).exit_code == 1

    def test_passing_suite_writes_no_file(self, tmp_path: Path) -> None:
        path, out = ROOT / "deploy" / "expectations" / "watched.suite", tmp_path / "small.suite"
        arguments = ["expect", str(path), "--scenario", "calm", "--smallest", str(out)]
        assert CliRunner().invoke(command, arguments).exit_code == 0 and not out.exists()


def test_progress_is_shown_on_terminals_only(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    from types import SimpleNamespace

    from umberlead.commands.expect import _progress

    _progress(1, 2, SimpleNamespace(scenario="calm"))
    assert capsys.readouterr().err == ""
    monkeypatch.setattr("sys.stderr.isatty", lambda: True)
    _progress(1, 2, SimpleNamespace(scenario="calm"))
    assert "1 of 2: calm" in capsys.readouterr().err
