"""Latencies of a rehearsal by class, counted from the time at which the first try was due.

Delays of the load generator and of retries are thus included, which avoids coordinated omission.
"""

from hdrh.histogram import HdrHistogram

from umberlead.emulator.plan import Plan
from umberlead.emulator.records import Records

MAX_LATENCY_US = 60_000_000  # longer latencies are recorded as this value
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


def histograms(plan: Plan, records: Records) -> dict[str, HdrHistogram]:
    """Return histograms of served requests by class, in us to three significant digits.

    The latency of a retry counts from its first try.
    """
    due = {r.number: r for r in plan.day.requests}
    first = {a.id: a.first for a in records.asked}
    made = {k.name: HdrHistogram(1, MAX_LATENCY_US, 3) for k in plan.day.kinds}
    seen = set[int]()
    for answer in records.answered:
        number = first.get(answer.id, -1)
        if answer.kind == "served" and number in due and number not in seen:
            seen.add(number)
            request = due[number]
            made[request.class_name].record_value(min(max(answer.at - request.at, 1), MAX_LATENCY_US))
    return made


def rows(plan: Plan, records: Records) -> dict[str, float]:
    """Return `latency.CLASS.pN` in ms for each class with at least one served request."""
    return {
        f"latency.{name}.p{part:g}": of.get_value_at_percentile(part) / 1000
        for name, of in histograms(plan, records).items()
        if of.get_total_count()
        for part in PERCENTILES
    }
