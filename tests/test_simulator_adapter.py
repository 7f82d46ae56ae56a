"""The simulator adapter: replies and errors on malformed lines; the README's example; policy sizes."""

import io
import re
import tomllib
from contextlib import redirect_stdout
from pathlib import Path

import pytest

from umberlead.scheduling.scheduler import Scheduler
from umberlead.simulator_adapter.session import run

ROOT = Path(__file__).resolve().parent.parent
CONFIG = (
    "discovery=push instances=1 bounds.maxAttempts=2 strange.new=1 grades.count=1 grades.0.name=read "
    "grades.0.aim=300000 grades.0.hardLimit=2000000 grades.0.effect=idempotent plans.count=1 plans.0.name=p"
)
START = (
    f"sync 5000000 1\nabout head_0\nenlist 42 {CONFIG}\nmanifest 0 1\nitem 10.0.0.1:80 live k 0 z - 1\n"
    "discovery 1 C 0\neof_batch\n"
)


def run_adapter(text: str) -> tuple[int, list[str]]:
    sink = io.StringIO()
    code = run(io.StringIO(text), sink)
    return code, sink.getvalue().splitlines()


def test_request_is_sent_and_empty_batches_are_answered() -> None:
    batches = (
        "sync 5001000 2\nabout head_0\narrival t/a - tpl/v 7001000 0 1 1 read p 1\neof_batch\n"
        "sync 5002000 3\neof_batch\n"
        "sync 5030000 4\nabout head_0\nfinished t/a 0 29000 0 pass 1 0 10.0.0.1:80 -\neof_batch\n"
    )
    code, lines = run_adapter(START + batches)
    assert code == 0
    assert "place t/a 10.0.0.1:80 0" in lines
    assert [x for x in lines if x.startswith("ready")] == ["ready 1", "ready 2", "ready 3", "ready 4"]


def test_list_numbers_are_reused_and_instance_restarts_within_a_batch() -> None:
    batches = (
        "sync 5001000 2\nabout head_0\nmanifest 0 1\nitem 10.0.0.1:80 dead k 0 z - 1\ndiscovery 2 D 0\n"
        "manifest 0 1\nitem 10.0.0.2:80 live k 0 z - 1\ndiscovery 3 D 0\n"
        "arrival t/a - tpl/v 7001000 0 1 1 read p 1\neof_batch\n"
        f"sync 5002000 3\nabout head_0\nshutdown\nenlist 43 {CONFIG}\n"
        "manifest 1 0\ndiscovery 1 C 1\neof_batch\n"
    )
    code, lines = run_adapter(START + batches)
    assert code == 0 and "place t/a 10.0.0.2:80 0" in lines and lines[-1] == "ready 3"


@pytest.mark.parametrize(
    ("malformed_lines", "expected_error"),
    [
        ("nonsense\n", "line 9: unknown message|line 9"),
        ("arrival t/a - tpl/v\n", "line 9: malformed"),
        ("discovery 4 D 9\n", "line 9: malformed"),
        ("about head_7\nalarm x\n", "line 10: alarm for an instance that was not enlisted"),
        ("finished t/a 0 1 0 odd 1 0 n -\n", "line 9: malformed"),
    ],
)
def test_malformed_line_ends_the_adapter_with_one_line_of_error(
    malformed_lines: str, expected_error: str, capsys: pytest.CaptureFixture[str]
) -> None:
    code, lines = run_adapter(
        START
        + "sync 5001000 2\n"
        + ("about head_0\n" + malformed_lines).replace("about head_0\nabout", "about", 1)
    )
    err = capsys.readouterr().err
    assert code != 0 and lines[-1] == "ready 1"
    assert err.count("\n") == 1 and re.search(r"line \d+: ", err)
    assert re.search(expected_error.replace("line 9", r"line \d+").replace("line 10", r"line \d+"), err)


def test_scheduler_exception_is_reported_as_broken(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    def fail(*_: object) -> None:
        raise RuntimeError("boom")

    monkeypatch.setattr(Scheduler, "handle", fail)
    code, lines = run_adapter(START)
    assert code == 0 and lines == ["as head_0", "broken RuntimeError: boom", "ready 1"]
    assert "Traceback" in capsys.readouterr().err


def test_readme_example_runs() -> None:
    text = (ROOT / "README.md").read_text()
    example = re.search(r"```python\n(.*?)```", text, re.S)
    assert example is not None
    output = io.StringIO()
    with redirect_stdout(output):
        exec(compile(example.group(1), "README.md", "exec"), {})
    assert output.getvalue() == "send r1 to 10.0.0.5:80\n"


def test_scheduler_sources_keep_the_operators_size_limits() -> None:
    deploy_config = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    files = [(ROOT / name).read_text().splitlines() for name in deploy_config["policy"]]
    assert sum(1 for lines in files for line in lines if line.strip()) <= 500  # the operators' present limit
    assert max(len(line) for lines in files for line in lines) <= 110
    assert "events" in files[0][0] and "actions" in files[0][0]  # documented input and output
    assert deploy_config["policy"] == [
        "umberlead/scheduling/scheduler.py",
        "umberlead/scheduling/weighted_round_robin.py",
    ]
