"""Experiments: the file of the matrix, the source trees of versions, the dataset and paired comparisons."""

import json
import math
import subprocess
from pathlib import Path
from typing import Any

import pyarrow.parquet as pq
import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from umberlead.commands import command
from umberlead.experiments import compare, dataset, matrix, one, running, versions

TINY_SCRIPT = """format 1
scenario tiny seed 1
fleet servers 2 fronts 1
day seconds 2 load 40%
expect answered-once
end 5
"""
EXPERIMENT_FILE = """
name = "tiny"
scripts = ["tiny.script"]
seeds = [1, 2, 3]
baseline = "here/plain"
[[version]]
name = "here"
[[configuration]]
name = "plain"
[[configuration]]
name = "one-core"
figures = { node = { cores = 1 } }
"""


def write_files(folder: Path, text: str = EXPERIMENT_FILE) -> Path:
    (folder / "tiny.script").write_text(TINY_SCRIPT)
    (folder / "tiny.toml").write_text(text)
    return folder / "tiny.toml"


def test_matrix_yields_all_combinations_seed_by_seed(tmp_path: Path) -> None:
    read_matrix = matrix.read(write_files(tmp_path))
    runs = [(r.seed, r.arm) for r in read_matrix.runs()]
    assert runs == [(s, f"here/{c}") for s in (1, 2, 3) for c in ("plain", "one-core")]
    assert read_matrix.configurations[1].figures == {"node.cores": 1}


@pytest.mark.parametrize(
    ("old", "new", "why"),
    [
        ('scripts = ["tiny.script"]', "", "scripts: must be a list of files"),
        ("tiny.script", "none.script", "scripts.0: no such file"),
        ("seeds = [1, 2, 3]", "seeds = [1, 1]", "seeds: names a seed twice"),
        ("seeds = [1, 2, 3]", 'seeds = "all"', "seeds: must be a list of whole numbers"),
        ("seeds = [1, 2, 3]", "seeds = { from = 1, to = 90000 }", "seeds: the matrix has"),
        ("seeds =", "seed =", "seed: is unknown; known are"),
        ('"here/plain"', '"hre/plain"', "baseline: must be one of here/plain"),
        ('name = "one-core"', 'name = "plain"', "configuration: two have the same name"),
        ('name = "one-core"', 'name = "a/b"', "configuration.1.name: must not hold a slash"),
        ('name = "one-core"', 'nmae = "x"', "configuration.1: needs a name"),
        ('[[version]]\nname = "here"', '[[version]]\nname = "here"\nrve = "x"', "version.0.rve: is unknown"),
        ('name = "tiny"', 'name = "tiny"\ndriver = "fast"', "driver: must be one of virtual, sockets"),
        ('name = "tiny"', "name = [", "tiny.toml"),
    ],
)
def test_invalid_matrix_error_names_file_and_key(tmp_path: Path, old: str, new: str, why: str) -> None:
    assert old in EXPERIMENT_FILE
    with pytest.raises(matrix.BadMatrix) as caught:
        matrix.read(write_files(tmp_path, EXPERIMENT_FILE.replace(old, new, 1)))
    assert "tiny.toml" in str(caught.value) and why in str(caught.value)


def test_experiment_command_writes_measures_and_report(tmp_path: Path) -> None:
    path, out = write_files(tmp_path), tmp_path / "out"
    result = CliRunner().invoke(command, ["experiment", str(path), "--out", str(out), "--workers", "4"])
    assert result.exit_code == 0, result.output
    rows = pq.read_table(out / "measures.parquet").to_pylist()
    arms = compare.by_arm(rows, "service")
    assert {arm: len(days) for arm, days in arms.items()} == {"here/plain": 3, "here/one-core": 3}
    pair = compare.pairs(rows, "count.in-time", "here/plain")[0]
    assert pair.arm == "here/one-core" and pair.difference.n == 3
    page = (out / "report.html").read_text()
    assert "here/one-core" in page and page.count("data:image/png;base64,") == 3
    assert {p.name for p in out.glob("*.png")} == {"days.png", "differences.png", "seconds-0.png"}
    (out / "report.html").unlink()
    repeated = CliRunner().invoke(command, ["report", str(out)])
    assert repeated.exit_code == 0 and (out / "report.html").read_text() == page
    missing = CliRunner().invoke(command, ["report", str(tmp_path)])
    assert missing.exit_code == 2 and "experiment.json" in missing.output


def test_failed_cells_are_listed_and_the_others_stored(tmp_path: Path) -> None:
    text = EXPERIMENT_FILE.replace("figures = { node = { cores = 1 } }", "figures = { node = { crows = 1 } }")
    out = tmp_path / "out"
    result = CliRunner().invoke(command, ["experiment", str(write_files(tmp_path, text)), "--out", str(out)])
    assert result.exit_code == 1
    rows, faults = dataset.read(out)
    assert len(faults) == 3 and "node.crows: there is no such figure" in faults[0]["fault"]
    assert {r["configuration"] for r in rows} == {"plain"}


def test_figures_and_settings_are_changed_by_dotted_key() -> None:
    figures = one.figures_with({"node.cores": 3, "class.image-read.aim_ms": 100, "plan.basic.price": 2.0})
    assert figures.node.one("cores") == 3
    assert next(g for g in figures.classes if g.name == "image-read").one("aim_ms") == 100
    settings: dict[str, Any] = {"extra": {"coldUnits": 1.0}, "plans": [{"weight": 1.0}]}
    one.settings_with(settings, {"extra.coldUnits": 5.0, "plans.0.weight": 2.0})
    assert settings == {"extra": {"coldUnits": 5.0}, "plans": [{"weight": 2.0}]}
    with pytest.raises(ValueError, match="extar"):
        one.settings_with(settings, {"extar.coldUnits": 5.0})
    for wrong in ("class.image-raed.aim_ms", "nodes.cores", "cores"):
        with pytest.raises(ValueError, match=wrong.replace(".", r"\.")):
            one.figures_with({wrong: 1})


def test_version_is_laid_out_with_the_present_world(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    repo = tmp_path / "repo"
    for name, text in (
        ("scheduling/scheduler.py", "old"),
        ("emulator/node.py", "old world"),
        ("load_generator/day.py", "x"),
    ):
        (repo / "umberlead" / name).parent.mkdir(parents=True, exist_ok=True)
        (repo / "umberlead" / name).write_text(text)

    def git(*arguments: str) -> None:
        subprocess.run(
            ["git", "-c", "user.name=t", "-c", "user.email=t@example.org", *arguments],
            cwd=repo,
            check=True,
            capture_output=True,
        )

    git("init", "-q")
    git("add", "-A")
    git("commit", "-qm", "old")
    for name in ("emulator", "load_generator", "routing_tests", "experiments", "membership"):
        (repo / "umberlead" / name).mkdir(exist_ok=True)
        (repo / "umberlead" / name / "ours.py").write_text("new world")
    (repo / "umberlead/scheduling/scheduler.py").write_text("new")
    monkeypatch.setattr(versions, "ROOT", repo)
    tree = versions.lay_out("HEAD", tmp_path / "trees")
    assert (tree / "umberlead/scheduling/scheduler.py").read_text() == "old"
    assert (tree / "umberlead/emulator/ours.py").read_text() == "new world"
    assert (tree / "umberlead/membership/ours.py").exists()  # the old version has no such package
    (repo / "umberlead/emulator/ours.py").write_text("newer world")
    assert versions.lay_out("HEAD", tmp_path / "trees") == tree
    assert (tree / "umberlead/emulator/ours.py").read_text() == "newer world"
    assert versions.lay_out("", tmp_path / "trees") == repo
    with pytest.raises(versions.UnknownVersionError, match="nowhere"):
        versions.lay_out("nowhere", tmp_path / "trees")


def test_version_with_earlier_layout_gets_the_last_earlier_world(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    repo = tmp_path / "repo"
    names = ("core/decide.py", "emulator/node.py", "load/day.py", "expect/model.py", "experiments/one.py")
    for name in (*names, "membership/model.py"):
        (repo / "umberlead" / name).parent.mkdir(parents=True, exist_ok=True)
        (repo / "umberlead" / name).write_text("old")

    def git(*arguments: str) -> str:
        call = ["git", "-c", "user.name=t", "-c", "user.email=t@example.org", *arguments]
        return subprocess.run(call, cwd=repo, check=True, capture_output=True, text=True).stdout.strip()

    def commit(text: str) -> str:
        git("add", "-A")
        git("commit", "-qm", text)
        return git("rev-parse", "HEAD")

    git("init", "-q")
    old = commit("old")
    (repo / "umberlead/emulator/node.py").write_text("last of the earlier layout")
    last = commit("last")
    (repo / "umberlead/scheduling").mkdir()
    (repo / "umberlead/emulator/node.py").write_text("present")
    monkeypatch.setattr(versions, "ROOT", repo)
    monkeypatch.setattr(versions, "LAST_EARLIER_LAYOUT_REVISION", last)
    tree = versions.lay_out(old, tmp_path / "trees")
    assert (tree / "umberlead/emulator/node.py").read_text() == "last of the earlier layout"
    assert (tree / "umberlead/core/decide.py").read_text() == "old"


def measure_row(
    version: str, seed: int, value: float, measure: str = "service", second: int = -1
) -> dict[str, Any]:
    return {
        "script": "s",
        "scenario": "x",
        "seed": seed,
        "version": version,
        "configuration": "c",
        "driver": "virtual",
        "measure": measure,
        "second": second,
        "value": value,
    }


def test_paired_differences_separate_close_versions() -> None:
    """Days differ far more than versions, so only paired differences show which version is better."""
    days = [0.2, 0.5, 0.8, 0.9, 0.4]
    rows = [measure_row("a", n, d) for n, d in enumerate(days)]
    rows += [measure_row("b", n, d + 0.01 + 0.001 * (n % 2)) for n, d in enumerate(days)]
    pair = compare.pairs(rows, "service", "a/c")[0]
    assert pair.told == "higher" and pair.better == 5 and pair.difference.mean == pytest.approx(0.0104)
    alternating = compare.pairs(
        rows[:5] + [measure_row("b", n, d + 0.01 * (-1) ** n) for n, d in enumerate(days)], "service", "a/c"
    )
    assert alternating[0].told == "not told apart"


def test_only_days_with_results_of_both_arms_are_paired() -> None:
    rows = [
        measure_row("a", 1, 0.5),
        measure_row("a", 2, 0.6),
        measure_row("b", 2, 0.7),
        measure_row("b", 3, 0.1),
    ]
    pair = compare.pairs(rows, "service", "a/c")[0]
    assert pair.difference.n == 1 and pair.difference.mean == pytest.approx(0.1)
    assert pair.told == "not told apart"  # a single day has no finite interval
    assert [arm for arm, _ in compare.ranking(rows)] == ["b/c", "a/c"]
    assert compare.ranking([measure_row("a", 1, 0.5), measure_row("b", 2, 0.6)]) == []


@given(st.lists(st.floats(0, 1), min_size=2, max_size=30))
def test_mean_lies_in_its_interval(values: list[float]) -> None:
    interval = compare.mean_of(values)
    assert interval.low <= interval.mean <= interval.high and interval.n == len(values)
    assert interval.mean == pytest.approx(math.fsum(values) / len(values))


def test_interval_matches_the_table_of_students_t() -> None:
    interval = compare.mean_of([1.0, 2.0, 3.0, 4.0])  # standard deviation 1.291, t 3.182, n 4
    assert interval.high - interval.mean == pytest.approx(3.182 * 1.29099 / 2, rel=1e-3)


def test_service_over_time_is_the_mean_over_days() -> None:
    rows = [
        measure_row("a", s, v, second=n) for s, n, v in ((1, 0, 0.2), (2, 0, 0.4), (1, 1, 1.0), (2, 1, 0.0))
    ]
    assert compare.over_time(rows, "s", "x") == {"a/c": [pytest.approx(0.3), 0.5]}


def test_fault_of_a_cell_is_its_last_error_line(tmp_path: Path) -> None:
    experiment = matrix.read(write_files(tmp_path))
    (tmp_path / "tiny.script").write_text(TINY_SCRIPT.replace("end 5", "end 4"))
    cells = running.play(experiment, tmp_path / "trees", 2)
    assert all("E101" in c.fault and not c.results for c in cells)


def test_rehearsal_records_are_written_as_tables(tmp_path: Path) -> None:
    (tmp_path / "tiny.script").write_text(TINY_SCRIPT)
    arguments = ["rehearse", str(tmp_path / "tiny.script"), "--records", str(tmp_path / "kept")]
    result = CliRunner().invoke(command, arguments)
    assert result.exit_code == 0, result.output
    asked = pq.read_table(tmp_path / "kept/tiny/asked.parquet").to_pylist()
    came = pq.read_table(tmp_path / "kept/tiny/came.parquet").to_pylist()
    assert len(asked) > 20 and {c["id"] for c in came} <= {a["id"] for a in asked}
    assert json.loads(json.dumps(asked[0]))["class_name"]
