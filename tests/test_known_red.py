"""KNOWN-RED.txt: listed tests are run, printed and must fail; an entry that does not hold fails the run."""

from pathlib import Path

import pytest

pytest_plugins = ("pytester",)

HOOKS = (Path(__file__).parent / "conftest.py").read_text()
TESTS = """
import unittest
from pathlib import Path
import pytest
def test_good(): pass
def test_bad():
    Path("ran").write_text("x")
    assert not "mended"
@pytest.mark.parametrize("n", [1, 2])
def test_each(n): assert n == 1
@pytest.mark.skip
def test_skipped(): pass
class TestOld(unittest.TestCase):
    def test_bad(self): self.fail()
"""
BAD = "tests/test_x.py::test_bad | pytest -k bad, seed 3 | it fails | 24\n"
EACH = "tests/test_x.py::test_each[2] | pytest -k each | a | #7\n"
OLD = "tests/test_x.py::TestOld::test_bad | pytest -k Old | c | issue 8\n"
ALL = BAD + EACH + OLD


@pytest.fixture
def suite(pytester: pytest.Pytester) -> pytest.Pytester:
    pytester.makepyprojecttoml('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
    folder = pytester.mkdir("tests")
    (folder / "conftest.py").write_text(HOOKS)
    (folder / "test_x.py").write_text(TESTS)
    (folder / "test_y.py").write_text("def test_good(): pass\n")
    return pytester


def played(suite: pytest.Pytester, listed: str, *words: str) -> pytest.RunResult:
    (suite.path / "KNOWN-RED.txt").write_text(listed)
    return suite.runpytest_inprocess("-p", "no:cacheprovider", *words)


def test_without_the_file_all_is_as_before(suite: pytest.Pytester) -> None:
    result = suite.runpytest_inprocess("-p", "no:cacheprovider")
    result.assert_outcomes(passed=3, failed=3, skipped=1)
    result.stdout.no_fnmatch_line("*KNOWN-RED*")


def test_what_is_listed_is_run_and_printed_and_passed_over(suite: pytest.Pytester) -> None:
    result = played(suite, ALL)
    result.assert_outcomes(passed=3, xfailed=3, skipped=1)
    assert result.ret == 0 and (suite.path / "ran").read_text() == "x"
    result.stdout.fnmatch_lines(
        [
            "*= KNOWN-RED.txt =*",
            "fails: tests/test_x.py::test_bad: it fails (24); pytest -k bad, seed 3",
            "fails: tests/test_x.py::test_each?2?: a (#7); pytest -k each",
        ]
    )


def test_any_number_of_tests_may_be_listed(suite: pytest.Pytester) -> None:
    names = [f"test_more_{number}" for number in range(5)]
    more = "".join(f"def {name}(): assert False\n" for name in names)
    (suite.path / "tests" / "test_y.py").write_text(more)
    entries = "".join(f"tests/test_y.py::{name} | run | it fails | 9\n" for name in names)
    result = played(suite, ALL + entries)
    result.assert_outcomes(passed=2, xfailed=8, skipped=1)
    assert result.ret == 0


def test_another_failure_fails_the_run(suite: pytest.Pytester) -> None:
    result = played(suite, BAD)
    result.assert_outcomes(passed=3, failed=2, xfailed=1, skipped=1)
    assert result.ret == 1


@pytest.mark.parametrize(
    "name, said",
    [("test_good", "*passes*remove it from the list*"), ("test_skipped", "*was skipped*it has to run*")],
)
def test_one_that_passes_or_does_not_run_fails_the_run(suite: pytest.Pytester, name: str, said: str) -> None:
    result = played(suite, f"tests/test_x.py::{name} | y | x | 1\n", "-k", name)
    assert result.ret == 1
    result.stdout.fnmatch_lines([said, f"not as listed: tests/test_x.py::{name}: x (1); y"])


@pytest.mark.parametrize(
    "listed, said",
    [
        (BAD + BAD, "*KNOWN-RED.txt:2: *is listed already*"),
        (BAD + "\n", "*KNOWN-RED.txt:2: must be*"),
        ("tests/test_x.py::test_bad | it fails | 24\n", "*KNOWN-RED.txt:1: must be*"),
        ("tests/test_x.py::test_bad | run | | 24\n", "*KNOWN-RED.txt:1: must be*"),
        ("tests/test_x.py::test_bad | run | it fails | soon\n", "*KNOWN-RED.txt:1: must be*"),
        ("tests/test_x.py::test_bad | run | it | fails | 24\n", "*KNOWN-RED.txt:1: must be*"),
        ("tests/test_x.py | run | it fails | 24\n", "*KNOWN-RED.txt:1: must be*"),
        (
            "tests/test_x.py::test_other | run | it fails | 24\n",
            "*there is no test tests/test_x.py::test_other*",
        ),
        (
            "tests/test_x.py::test_each | run | it fails | 24\n",
            "*there is no test tests/test_x.py::test_each*",
        ),
        ("tests/test_z.py::test_bad | run | it fails | 24\n", "*there is no test tests/test_z.py::test_bad*"),
    ],
)
def test_a_list_that_is_wrong_ends_the_run_with_its_line(
    suite: pytest.Pytester, listed: str, said: str
) -> None:
    result = played(suite, listed)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines([said])
    result.stdout.no_fnmatch_line("*passed*")


def test_a_run_of_other_files_knows_that_it_exists(suite: pytest.Pytester) -> None:
    result = played(suite, BAD, "tests/test_y.py")
    result.assert_outcomes(passed=1)
    result.stdout.fnmatch_lines(["not in this run: tests/test_x.py::test_bad*"])
    other = BAD.replace("test_bad", "test_other")
    assert played(suite, other, "tests/test_y.py").ret == pytest.ExitCode.USAGE_ERROR
    assert played(suite, BAD, "tests/test_x.py::test_good").ret == 0
