"""Tests of the soak test: its judge, its plan, its results, and short runs with fixed seeds."""

import random
from collections import Counter
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

import umberlead
from tests.planted_soak import PLANTED, Planted, apply
from umberlead.testing.soak.judge import Evidence, Limits, Violation, judge
from umberlead.testing.soak.mix import DEADLINES_SECONDS, mix_of
from umberlead.testing.soak.plan import FRONT_ENDS, FRONT_ENDS_SECONDS, Fault, Size, draw
from umberlead.testing.soak.records import ClientRecord, Event, NodeRecord, Writer, read
from umberlead.testing.soak.results import add_result, played_seeds, read_results, table
from umberlead.testing.soak.run import play
from umberlead.testing.soak.scenario import kill_delay_seconds
from umberlead.testing.soak.slow_answers import answer_in_lumps
from umberlead.testing.soak.verdict import Verdict

SECOND = 1_000_000_000
LIMITS = Limits(frozenset(("store",)), 3, 10.0, 0.2, 2 * SECOND, 8 * SECOND, 1.0)
CI_SEEDS, CI_SECONDS = (12, 13, 14, 15, 16, 17), 14.0


def client(id_: str = "a", **changed: Any) -> ClientRecord:
    row: dict[str, Any] = {
        "id": id_,
        "front": "f0",
        "kind": "fresh",
        "class_name": "store",
        "budget": 1.0,
        "used": 0,
        "behind": 0,
        "connected": 10 * SECOND,
        "sent_first": 10 * SECOND,
        "sent_last": 10 * SECOND,
        "ended": 11 * SECOND,
        "end": "answered",
        "status": 200,
    }
    return ClientRecord(**(row | changed))


def node(id_: str = "a", first: float = 10.1, **changed: Any) -> NodeRecord:
    at = int(first * SECOND)
    row: dict[str, Any] = {
        "id": id_,
        "node": "s0#0",
        "class_name": "store",
        "units": 1.0,
        "budget": 0.8,
        "first": at,
        "last": at,
        "late": 0,
        "ran": True,
        "closed": at + 1,
    }
    return NodeRecord(**(row | changed))


def rules(**evidence: Any) -> list[str]:
    return [v.rule for v in judge(Evidence(**evidence), LIMITS)]


def test_judge_accepts_run_without_violations() -> None:
    assert rules(clients=[client()], nodes=[node()]) == []


def test_judge_reports_request_without_answer_in_time_as_lost() -> None:
    late = client(ended=12 * SECOND)
    for row in (late, client(end="eof"), client(end="reset"), client(end="open", ended=0)):
        assert rules(clients=[row]) == ["lost"], row
    assert rules(clients=[client(end="eof", used=3)]) == ["lost"]  # EOF shows that it was read


def test_judge_ignores_requests_ended_by_client_or_kill() -> None:
    killed = Event(int(10.5 * SECOND), "front_killed", "f0")
    assert rules(clients=[client(end="reset")], events=[killed]) == []
    for row in (client(end="left"), client(sent_last=0), client(end="reset", used=2)):
        assert rules(clients=[row]) == [], row


def test_judge_finds_duplicate_runs_and_too_many_attempts() -> None:
    twice = [node(), node(first=10.3)]
    assert rules(nodes=twice) == ["duplicate"]
    assert rules(nodes=[node(ran=False), node(first=10.3)]) == []
    four = [node(first=10 + k / 10, class_name="fetch") for k in range(4)]
    assert rules(nodes=four) == ["attempts"]


def test_judge_finds_attempt_after_client_disconnected() -> None:
    left = client(end="left", ended=10 * SECOND)
    assert rules(clients=[left], nodes=[node(first=10.4, budget=0.1)]) == ["client_left"]
    assert rules(clients=[left], nodes=[node(first=10.05)]) == []


def test_judge_finds_budget_beyond_client_deadline() -> None:
    assert rules(clients=[client()], nodes=[node(first=10.5, budget=0.9)]) == ["budget"]
    held = Event(10 * SECOND, "link_stall", "0", 1.0)
    assert rules(clients=[client()], nodes=[node(first=10.5, budget=0.9)], events=[held]) == []


def test_judge_finds_attempt_at_draining_or_manually_drained_server() -> None:
    drains = Event(10 * SECOND, "node_drains", "s0#0")
    assert rules(nodes=[node(first=12.5)], events=[drains]) == ["drain"]
    assert rules(nodes=[node(first=11.9)], events=[drains]) == []
    out, back = Event(10 * SECOND, "node_out", "s0#0"), Event(13 * SECOND, "node_back", "s0#0")
    assert rules(nodes=[node(first=12.0)], events=[out, back]) == ["drain"]
    assert rules(nodes=[node(first=13.1)], events=[out, back]) == []


def test_judge_counts_an_answer_that_broke_off_at_its_server_as_failed_not_lost() -> None:
    ended = int(10.4 * SECOND)
    first = client(end="eof", ended=ended)
    behind = client("b", end="eof", ended=ended, behind=1)
    cut = node(closed=ended - 1, cut=True)
    reset = Event(ended - 2, "link_reset", "0")
    assert rules(clients=[first, behind], nodes=[cut], events=[reset]) == []
    assert rules(clients=[first], nodes=[cut]) == ["lost", "cut_off"]  # no fault at the server
    assert rules(clients=[first], nodes=[node(closed=ended)], events=[reset]) == [
        "lost"
    ]  # its answer was whole
    other = client("c", end="eof", ended=ended, connected=9 * SECOND)
    assert rules(clients=[first, other], nodes=[cut], events=[reset]) == ["lost"]


def test_judge_finds_sound_answer_that_a_front_cut_off() -> None:
    cut = node(closed=int(10.4 * SECOND), cut=True)
    assert rules(clients=[client()], nodes=[cut]) == ["cut_off"]
    assert (
        rules(clients=[client()], nodes=[node(closed=int(10.95 * SECOND), cut=True)]) == []
    )  # its time is over
    assert rules(clients=[client(end="left")], nodes=[cut]) == []
    at = cut.closed - 1
    for what, who in (("link_reset", "0"), ("front_ended", "f0"), ("node_kill", "0"), ("front_killed", "f0")):
        assert rules(clients=[client()], nodes=[cut], events=[Event(at, what, who)]) == [], what
        for other in (Event(at, what, who.replace("0", "1")), Event(at - 2 * SECOND, what, who)):
            assert rules(clients=[client()], nodes=[cut], events=[other]) == ["cut_off"], other


# Guards against a judge that excuses a cut by the limits of the program that it judges.
def test_judge_finds_long_answer_that_a_front_cut_off_at_or_past_its_time() -> None:
    for closed in (10.4, 10.95, 11.6, 20.0):
        cut = node(closed=int(closed * SECOND), cut=True, long=True)
        begun = client(begun=int(10.3 * SECOND), end="eof", ended=int(closed * SECOND))
        assert rules(clients=[begun], nodes=[cut]) == ["lost", "cut_off"], closed
        assert rules(clients=[client(status=503)], nodes=[cut]) == ["cut_off"], closed
        assert rules(clients=[client(end="left")], nodes=[cut]) == []
    late_head = node(first=10.95, budget=0.05, closed=11 * SECOND, cut=True, long=True)
    assert rules(clients=[client(status=503)], nodes=[late_head]) == []  # the front may not have had it


def test_judge_allows_a_long_answer_that_ends_late_if_it_began_in_time() -> None:
    late = client(begun=11 * SECOND, ended=15 * SECOND)
    whole = node(closed=15 * SECOND, long=True)
    assert rules(clients=[late], nodes=[whole]) == []
    assert rules(clients=[client(ended=15 * SECOND)], nodes=[whole]) == ["lost"]  # begun too late
    assert rules(clients=[late], nodes=[node(closed=15 * SECOND)]) == ["lost"]  # known to be small


def test_slow_answers_of_servers_can_be_as_slow_as_the_reports() -> None:
    chance = random.Random(1)
    drawn = [answer_in_lumps(chance, "a") for _ in range(60)]
    assert all(answer.may_be_long for answer in drawn)
    longest = max(seconds for answer in drawn for seconds, _ in answer.pieces)
    assert 1.3 < longest <= 1.4 and {answer.closes for answer in drawn} == {True, False}
    assert any(answer.pieces[0][0] > 0.7 for answer in drawn)  # the head long before the first lump


def test_judge_finds_overloaded_cold_server() -> None:
    started = Event(10 * SECOND, "node_started", "s0#0")
    bound = int(10 + 3 * 10**0.5 + 3)
    rows = [node(str(k), 10 + k / 1000) for k in range(bound + 1)]
    assert rules(nodes=rows, events=[started]) == ["slow_start"]
    assert rules(nodes=rows[:-1], events=[started]) == []


def test_drawn_faults_depend_on_seed_and_overlap() -> None:
    size = Size()
    plan = draw(3, 40.0, size)
    assert plan == draw(3, 40.0, size) != draw(4, 40.0, size)
    overlaps = [sum(a.begin <= b.begin < a.end for a in plan) for b in plan]
    assert max(overlaps) >= 3 and sum(n >= 2 for n in overlaps) > len(plan) / 2
    assert {i.fault for seed in range(20) for i in draw(seed, 40.0, size)} == set(Fault)
    for seed in range(20):
        ends = [i for i in draw(seed, 60.0, size) if i.fault in FRONT_ENDS]
        for earlier, later in zip(ends, ends[1:], strict=False):
            same = earlier.target == later.target
            assert not same or later.begin >= earlier.begin + FRONT_ENDS_SECONDS


def test_incomplete_last_record_is_skipped(tmp_path: Path) -> None:
    path = tmp_path / "events.jsonl"
    writer = Writer(path)
    event = Event(1, "front_killed", "f0")
    writer.add(event)
    with open(path, "ab") as file:
        file.write(b'{"at":2,"what":"fro')
    assert list(read(path, Event)) == [event]


def test_six_consecutive_seeds_use_six_mixes() -> None:
    mixes = [mix_of(seed, Size(), tuple(Fault)) for seed in CI_SEEDS]
    assert [mix.name for mix in mixes] == ["all", "signals", "crowd", "leavers", "fleet", "load"]
    assert mixes[4].size.fronts >= 24
    assert (mixes[5].memory_mb, mixes[5].descriptors) == (64, 1024)
    deadlines = {mix_of(seed, Size(), tuple(Fault)).deadline_seconds for seed in range(40)}
    assert deadlines == set(DEADLINES_SECONDS)
    only = mix_of(1, Size(), (Fault.NODE_KILL,))
    assert set(only.faults) == {Fault.NODE_KILL}


def test_sigkill_delay_follows_deadline_up_to_cap() -> None:
    """SIGKILL follows the longest deadline, capped at 3 s, by 0.7 s."""
    assert [kill_delay_seconds(deadline) for deadline in (0.8, 3.0, 4.0)] == [1.5, 3.7, 3.7]


def test_judge_allows_unread_new_connection_during_crowd() -> None:
    crowd = Event(10 * SECOND, "crowd", "f0", 1.0)
    row = client(end="reset", connected=int(10.5 * SECOND))
    assert rules(clients=[row], events=[crowd]) == []
    assert rules(clients=[row], nodes=[node()], events=[crowd]) == ["lost"]  # the front read and forwarded it
    assert rules(clients=[client(end="reset", connected=12 * SECOND)], events=[crowd]) == ["lost"]


def test_results_file_and_table(tmp_path: Path) -> None:
    path = tmp_path / "results.jsonl"
    broken = [Violation("lost", "a request")]
    kept = Verdict([], Counter(fetch=3), Counter(crowd=2), Counter(), mix="crowd")
    late = Verdict([], Counter(), Counter(), Counter(), mix="all", kill_late_seconds=0.2)
    for seed, verdict in enumerate((kept, replace(kept, violations=broken), late)):
        add_result(path, seed, 12.0, verdict)
    rows = read_results(path)
    assert played_seeds(path, rows[0].commit) == {0, 1}  # the run with the late driver has no valid verdict
    assert played_seeds(path, "another") == frozenset()
    shown = table(rows)
    assert "| 0 | crowd |" in shown and "all kept" in shown
    assert "1 violations: lost" in shown and "not run: the driver was late" in shown


@pytest.mark.parametrize("planted", PLANTED, ids=lambda planted: planted.name.partition(":")[0])
def test_each_planted_text_occurs_in_the_program(tmp_path: Path, planted: Planted) -> None:
    package = Path(umberlead.__file__).parent
    for replacement in planted.replacements:
        copy = tmp_path / replacement.path
        copy.parent.mkdir(parents=True, exist_ok=True)
        copy.write_text((package / replacement.path).read_text())
    apply(planted, tmp_path)


@pytest.mark.parametrize("seed", CI_SEEDS)
def test_short_run_with_fixed_seed_has_no_violations(tmp_path: Path, seed: int) -> None:
    verdict = play(tmp_path, seed, CI_SECONDS, Size(4, 6, 4), list(Fault))
    assert verdict.violations == [], verdict.violations
    assert sum(verdict.counts.values()) > 1000
    assert verdict.injected > 0 or verdict.mix in ("fleet", "load")  # which have no faults in system calls
    assert verdict.counters["invariant_violations"] == 0
