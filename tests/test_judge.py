"""Tests of the judge and of the service computation, on records written by hand."""

from collections.abc import Callable
from dataclasses import replace

import pytest

from umberlead.emulator.figures import Figures
from umberlead.emulator.judge import NAMES, Judge
from umberlead.emulator.plan import Plan, parsed_settings, plan
from umberlead.emulator.price import Pricing, Tiers, allocate_by_weight
from umberlead.emulator.records import Answered, Asked, Came, Ended, Left, Life, Records, Told
from umberlead.load_generator.day import Request
from umberlead.routing_tests.language import parse

TEXT = "format 1\nscenario s seed 5\nfleet servers 4 fronts 2\nday seconds 10 load 30%\nend 4\n"
SECOND_US = 1_000_000


DAY = plan(parse(TEXT, "s")[0].scenarios[0], Figures())


@pytest.fixture(scope="module")
def made() -> Plan:
    return DAY


def records() -> Records:
    """Return records without a breach: a served read, a served upload and a refused upload."""
    of = Records()
    for front in (0, 1):
        of.told += [Told(0, front, name, "up") for name in ("n00", "n01")]
    of.lives += [Life(0, "n00", "born", 0), Life(0, "n01", "born", 1)]
    row = Asked(SECOND_US, "r", 0, 0, "image-read", "basic", "v", "b1", 0, 1, False, 3 * SECOND_US)
    upload = replace(row, id="u", class_name="image-upload", block="b2", shard=-1, write=True, body="x")
    of.asked += [row, upload]
    of.asked.append(replace(of.asked[1], id="f", block="b3", body="y"))
    of.came += [Came(SECOND_US + 1000, "n00", 0, "r", "image-read", "b1", 0, "taken")]
    of.came += [Came(SECOND_US + 1000, "n01", 0, "u", "image-upload", "b2", -1, "taken", body="x")]
    of.came += [Came(SECOND_US + 1000, "n01", 0, "f", "image-upload", "b3", -1, "full", body="y")]
    of.ended.append(Ended(SECOND_US + 9000, "n00", "r", "ok", body="n00:r"))
    of.ended.append(Ended(SECOND_US + 9000, "n01", "u", "ok", body="n01:u"))
    of.answered += [
        Answered(SECOND_US + 9500, "r", "served", "n00:r"),
        Answered(SECOND_US + 9500, "u", "served", "n01:u"),
    ]
    of.answered += [Answered(SECOND_US + 2000, "f", "refused")]
    return of


def came(of: Records, which: int, **more: object) -> None:
    of.came.append(replace(of.came[which], **more))  # type: ignore[arg-type]


def _two_out(of: Records) -> None:
    came(of, 0, at=SECOND_US + 5000)


def _retry_while_silent(of: Records) -> None:
    of.ended[0] = replace(of.ended[0], word="silence", body="")
    came(of, 0, at=SECOND_US + 20_000, word="full")


def _draining(of: Records) -> None:
    of.told.append(Told(0, 0, "n00", "draining"))
    of.came[0] = replace(of.came[0], at=SECOND_US + 1)


def _gone(of: Records) -> None:
    of.told.append(Told(0, 0, "n00", "gone"))
    of.came[0] = replace(of.came[0], at=SECOND_US + 1)


def _gone_after_draining(of: Records) -> None:
    """The notice "gone" after "draining" does not start another grace period."""
    of.told += [Told(0, 0, "n00", "draining"), Told(SECOND_US - 10, 0, "n00", "gone")]
    of.came[0] = replace(of.came[0], at=SECOND_US + 1)


def _too_many_attempts(of: Records) -> None:
    of.came[0] = replace(of.came[0], word="full")
    for k in range(3):
        came(of, 0, at=SECOND_US + 2000 + k, word="full")
    of.ended.pop(0)
    of.answered[0] = Answered(SECOND_US + 9500, "r", "refused")


def _overfeed_cold_server(of: Records, part: float, told: bool = True) -> None:
    """Record a cold start, and requests in one window that use `part` of the budget and its tolerance."""
    s, day = parsed_settings(DAY), DAY.day
    n, mean = s.slow_start_units / s.mean_request_units, sum(r.work for r in day.requests) / len(day.requests)
    of.lives.append(Life(2 * SECOND_US, "n00", "cold", 0))
    of.told += [Told(2 * SECOND_US, 0, "n00", "up")] if told else []
    for k in range(200):  # all right after the start, when the budget is smallest
        came(
            of,
            0,
            at=2 * SECOND_US + k,
            id=f"x{k}",
            word="full",
            work=part * (n + 2 * n**0.5 + 2) * mean / 200,
        )


PLANTED: list[tuple[str, Callable[[Records], object]]] = [
    ("no-answer", lambda of: of.answered.pop(0)),
    ("no-answer", lambda of: of.answered.__setitem__(0, Answered(3 * SECOND_US + 1, "r", "served", "n00:r"))),
    ("two-answers", lambda of: of.answered.append(Answered(SECOND_US + 9600, "r", "refused"))),
    ("stranger-answered", lambda of: of.answered.append(Answered(SECOND_US, "z", "refused"))),
    ("upload-twice", lambda of: came(of, 1, at=SECOND_US + 9100, server="n00")),
    ("upload-resent", lambda of: came(of, 1, at=SECOND_US + 9100, server="n00", word="full")),
    ("two-out", _two_out),
    ("two-out", _retry_while_silent),
    ("too-many-attempts", _too_many_attempts),
    ("sent-after-answer", lambda of: came(of, 0, at=SECOND_US + 9600)),
    ("sent-after-time", lambda of: came(of, 0, at=3 * SECOND_US + 10)),
    ("sent-to-draining", _draining),
    ("sent-to-gone", _gone),
    ("sent-to-gone", _gone_after_draining),
    ("never-listed", lambda of: of.told.clear()),
    ("cold-pushed-over", lambda of: of.lives.append(Life(SECOND_US, "n01", "fallen"))),
    ("cold-over-budget", lambda of: _overfeed_cold_server(of, 1.01)),
    ("wrong-shard", lambda of: of.came.__setitem__(0, replace(of.came[0], server="n01"))),
    ("unknown-request", lambda of: came(of, 0, id="nobody's")),
    ("request-altered", lambda of: of.came.__setitem__(0, replace(of.came[0], block="b9"))),
    ("request-altered", lambda of: of.came.__setitem__(0, replace(of.came[0], class_name="bulk-export"))),
    ("upload-altered", lambda of: of.came.__setitem__(1, replace(of.came[1], body="z"))),
    ("answer-invented", lambda of: of.ended.pop(0)),
    (
        "answer-altered",
        lambda of: of.answered.__setitem__(0, Answered(SECOND_US + 9500, "r", "served", "??")),
    ),
    (
        "answer-of-another",
        lambda of: of.answered.__setitem__(0, Answered(SECOND_US + 9500, "r", "served", "n01:u")),
    ),
    ("refused-though-run", lambda of: of.answered.__setitem__(1, Answered(SECOND_US + 9500, "u", "refused"))),
    ("wrong-front", lambda of: of.came.__setitem__(0, replace(of.came[0], front=1))),
]


def test_records_without_faults_have_no_breach(made: Plan) -> None:
    assert Judge(made, records()).breaches() == []


@pytest.mark.parametrize(("name", "plant"), PLANTED)
def test_planted_breach_is_found_under_its_name(
    made: Plan, name: str, plant: Callable[[Records], object]
) -> None:
    of = records()
    plant(of)
    of.sort()
    found = [b.name for b in Judge(made, of).breaches()]
    assert name in found, found


def test_every_breach_name_is_planted() -> None:
    assert {name for name, _ in PLANTED} == set(NAMES)


def test_permitted_attempts_are_no_breach(made: Plan) -> None:
    of = records()
    of.told.append(Told(100_000, 0, "n00", "draining"))  # 0.9 s before the request arrives
    of.ended[0] = replace(of.ended[0], word="error", body="")
    came(of, 0, at=SECOND_US + 9100)  # a retry of the read after its error
    of.ended.append(Ended(SECOND_US + 9300, "n00", "r", "ok", body="n00:r"))
    of.sort()
    assert Judge(made, of).breaches() == []
    left = records()
    left.ended[0] = replace(left.ended[0], word="silence", body="")
    left.left.append(Left(SECOND_US + 15_000, "n00", "r"))
    came(left, 0, at=SECOND_US + 20_000)
    left.ended.append(Ended(SECOND_US + 30_000, "n00", "r", "ok", body="n00:r"))
    left.answered[0] = Answered(SECOND_US + 31_000, "r", "served", "n00:r")
    left.sort()
    assert Judge(made, left).breaches() == []


def test_slack_extends_the_time_limits(made: Plan) -> None:
    of = records()
    of.told.append(Told(0, 0, "n00", "draining"))
    of.came[0] = replace(of.came[0], at=SECOND_US + 49_000)
    of.ended[0] = replace(of.ended[0], at=SECOND_US + 60_000)
    of.answered[0] = replace(of.answered[0], at=SECOND_US + 70_000)
    of.sort()
    assert [b.name for b in Judge(made, of).breaches()] == ["sent-to-draining"]
    assert Judge(made, of, 50_000).breaches() == []


def test_cold_budget_allows_variation_and_needs_notified_fronts(made: Plan) -> None:
    """The limit is N + 2 * sqrt(N) + 2; requests from fronts without a notice of the start are no breach."""
    for part, told, wanted in ((0.99, True, []), (1.01, True, ["cold-over-budget"]), (1.5, False, [])):
        of = records()
        _overfeed_cold_server(of, part, told)
        of.sort()
        found = [b.name for b in Judge(made, of).breaches() if b.name.startswith("cold")]
        assert found == wanted, (part, told)


# The service


def test_tiers_take_the_best_units_first_and_the_worst_for_late_requests() -> None:
    of = Tiers([3.0, 2.0, 5.0], (1.0, 0.35, 0.08))
    assert of.take(4, True) == pytest.approx(3 + 0.35)
    assert of.take(6, False) == pytest.approx(5 * 0.08 + 0.35)
    assert of.take(1, True) == 0.0


def test_capacity_is_divided_by_weight_up_to_the_demand() -> None:
    got = allocate_by_weight(
        {("a", 0): 10.0, ("b", 0): 1.0, ("c", 0): 10.0}, {0: 10.0}, {"a": 1.0, "b": 1.0, "c": 2.0}
    )
    assert got == pytest.approx({"a": 3.0, "b": 1.0, "c": 6.0})
    assert allocate_by_weight({("a", 0): 3.0}, {0: 0.0}, {"a": 1.0}).get("a", 0.0) == 0.0


def _records_with_latency(of: Plan, late: Callable[[Request], int]) -> Records:
    made = Records()
    for r in of.day.requests:
        id_ = f"q{r.number}"
        until = r.at + of.day.kind(r.class_name).timeout_us
        made.asked.append(
            Asked(
                r.at,
                id_,
                r.number,
                r.front,
                r.class_name,
                r.plan,
                r.volume,
                r.block,
                r.shard,
                r.units,
                r.write,
                until,
            )
        )
        if (took := late(r)) >= 0:
            made.answered.append(Answered(r.at + took, id_, "served"))
    made.sort()
    return made


def test_service_is_one_if_all_are_in_time_and_zero_if_none_is_served(made: Plan) -> None:
    pricing = Pricing(made)
    whole = pricing.service(_records_with_latency(made, lambda r: 1000))
    assert (whole.figure, whole.whole, whole.worst_10s, whole.worst_class) == pytest.approx((1, 1, 1, 1))
    none = pricing.service(_records_with_latency(made, lambda r: -1))
    assert (none.figure, none.counts["unserved"]) == (0.0, len(made.day.requests))


def test_late_answers_count_with_the_late_priority_weight(made: Plan) -> None:
    got = Pricing(made).service(
        _records_with_latency(made, lambda r: made.day.kind(r.class_name).latency_objective_us + 1)
    )
    assert 0.18 < got.whole < 0.25
    assert got.counts["late"] == len(made.day.requests)


def test_refusing_units_beyond_reservation_and_share_costs_little(made: Plan) -> None:
    """The most valuable units are served, so service falls by less than the fraction that is refused."""
    pricing = Pricing(made)
    kept = {"priority", "standard"}
    got = pricing.service(_records_with_latency(made, lambda r: 1000 if r.plan in kept else -1))
    part = sum(r.units for r in made.day.requests if r.plan in kept) / sum(r.units for r in made.day.requests)
    assert got.whole > part
    assert got.plans["basic"] == 0.0 and got.plans["priority"] == pytest.approx(1.0)


def test_retry_counts_as_part_of_its_first_try(made: Plan) -> None:
    of = _records_with_latency(made, lambda r: 1000)
    second = replace(of.asked[0], id="again", at=of.asked[0].at + 5000)
    of.answered = [a for a in of.answered if a.id != of.asked[0].id]
    lost = Pricing(made).service(of).whole
    of.asked.append(second)
    of.answered.append(Answered(second.at + 1000, "again", "served"))
    of.sort()
    assert lost < 1.0 and Pricing(made).service(of).whole == pytest.approx(1.0)


def test_unanswered_work_is_waste_and_late_refusals_are_counted(made: Plan) -> None:
    of = _records_with_latency(made, lambda r: -1)
    first = of.asked[0]
    of.ended.append(Ended(first.at, "n00", first.id, "ok", made.day.requests[0].work))
    of.answered.append(Answered(first.until - 1000, first.id, "refused"))
    got = Pricing(made).service(of)
    assert got.waste == pytest.approx(made.day.requests[0].work / sum(r.work for r in made.day.requests))
    assert got.held_back == 1


def test_latency_counts_from_the_due_time_of_the_first_try(made: Plan) -> None:
    from umberlead.emulator import latency

    of = _records_with_latency(made, lambda r: 200_000)
    for row in of.asked:
        row.at += 150_000  # a delay of the load generator does not shorten the latency
    late = replace(of.asked[0], id="again", at=of.asked[0].at + 500_000)
    of.asked.append(late)
    of.answered = [a for a in of.answered if a.id != of.asked[0].id]
    due = made.day.requests[0].at
    of.answered.append(Answered(due + 900_000, "again", "served"))
    of.sort()
    got = latency.rows(made, of)
    name = made.day.requests[0].class_name
    assert got[f"latency.{name}.p50"] == pytest.approx(200, rel=2e-3)
    total = latency.histograms(made, of)[name]
    assert total.get_max_value() / 1000 == pytest.approx(900, rel=2e-3)
    assert sum(h.get_total_count() for h in latency.histograms(made, of).values()) == len(made.day.requests)
