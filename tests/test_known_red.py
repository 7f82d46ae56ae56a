"""KNOWN-RED.txt: listed tests are run, printed and must fail; an entry that does not hold fails the run."""

from pathlib import Path

import pytest

pytest_plugins = ("pytester",)

CONFTEST_SOURCE = (Path(__file__).parent / "conftest.py").read_text()
TEST_FILE_SOURCE = """
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
BAD_ENTRY = "tests/test_x.py::test_bad | pytest -k bad, seed 3 | it fails | 24\n"
PARAMETRIZED_ENTRY = "tests/test_x.py::test_each[2] | pytest -k each | a | #7\n"
UNITTEST_ENTRY = "tests/test_x.py::TestOld::test_bad | pytest -k Old | c | issue 8\n"
ALL_ENTRIES = BAD_ENTRY + PARAMETRIZED_ENTRY + UNITTEST_ENTRY


@pytest.fixture
def suite(pytester: pytest.Pytester) -> pytest.Pytester:
    pytester.makepyprojecttoml('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
    folder = pytester.mkdir("tests")
    (folder / "conftest.py").write_text(CONFTEST_SOURCE)
    (folder / "test_x.py").write_text(TEST_FILE_SOURCE)
    (folder / "test_y.py").write_text("def test_good(): pass\n")
    return pytester


def run_with_list(suite: pytest.Pytester, list_text: str, *arguments: str) -> pytest.RunResult:
    (suite.path / "KNOWN-RED.txt").write_text(list_text)
    return suite.runpytest_inprocess("-p", "no:cacheprovider", *arguments)


def test_without_the_file_failures_are_reported_as_usual(suite: pytest.Pytester) -> None:
    result = suite.runpytest_inprocess("-p", "no:cacheprovider")
    result.assert_outcomes(passed=3, failed=3, skipped=1)
    result.stdout.no_fnmatch_line("*KNOWN-RED*")


def test_listed_failures_are_run_and_printed_and_do_not_fail_the_run(suite: pytest.Pytester) -> None:
    result = run_with_list(suite, ALL_ENTRIES)
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
    result = run_with_list(suite, ALL_ENTRIES + entries)
    result.assert_outcomes(passed=2, xfailed=8, skipped=1)
    assert result.ret == 0


def test_unlisted_failure_fails_the_run(suite: pytest.Pytester) -> None:
    result = run_with_list(suite, BAD_ENTRY)
    result.assert_outcomes(passed=3, failed=2, xfailed=1, skipped=1)
    assert result.ret == 1


@pytest.mark.parametrize(
    "name, expected_output",
    [("test_good", "*passes*remove it from the list*"), ("test_skipped", "*was skipped*it has to run*")],
)
def test_listed_test_that_passes_or_is_skipped_fails_the_run(
    suite: pytest.Pytester, name: str, expected_output: str
) -> None:
    result = run_with_list(suite, f"tests/test_x.py::{name} | y | x | 1\n", "-k", name)
    assert result.ret == 1
    result.stdout.fnmatch_lines([expected_output, f"not as listed: tests/test_x.py::{name}: x (1); y"])


@pytest.mark.parametrize(
    "list_text, expected_output",
    [
        (BAD_ENTRY + BAD_ENTRY, "*KNOWN-RED.txt:2: *is listed already*"),
        (BAD_ENTRY + "\n", "*KNOWN-RED.txt:2: must be*"),
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
def test_malformed_list_ends_the_run_with_the_line_number(
    suite: pytest.Pytester, list_text: str, expected_output: str
) -> None:
    result = run_with_list(suite, list_text)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines([expected_output])
    result.stdout.no_fnmatch_line("*passed*")


def test_listed_test_outside_the_run_must_exist(suite: pytest.Pytester) -> None:
    result = run_with_list(suite, BAD_ENTRY, "tests/test_y.py")
    result.assert_outcomes(passed=1)
    result.stdout.fnmatch_lines(["not in this run: tests/test_x.py::test_bad*"])
    other = BAD_ENTRY.replace("test_bad", "test_other")
    assert run_with_list(suite, other, "tests/test_y.py").ret == pytest.ExitCode.USAGE_ERROR
    assert run_with_list(suite, BAD_ENTRY, "tests/test_x.py::test_good").ret == 0
