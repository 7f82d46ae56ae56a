"""Tests of the node model, of the draw of a day's requests, and of the plans of scripts."""

import random
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from umberlead.emulator.figures import FigureError, Figures
from umberlead.emulator.node import FOREVER_US, SECOND_US, Impairment, Job, Meter, Node, Traits, traits
from umberlead.emulator.plan import ScriptError, plan
from umberlead.emulator.settings import settings
from umberlead.load_generator.clients import Clients
from umberlead.load_generator.day import Wave, draw, noise
from umberlead.routing_tests.language import parse

FIGURES = Figures()


def job(name: str, work: float = 10_000, **more: object) -> Job:
    of: dict[str, object] = {"block": name, "shard": 0, "units": 1, "write": False, "front": 0}
    return Job(name, "image-read", "v", work=work, **(of | more))  # type: ignore[arg-type]


def node(cold: bool = False, **more: object) -> Node:
    return Node("n", 0, Traits(**more), 1, 0, cold)  # type: ignore[arg-type]


def run(of: Node) -> list[Job]:
    made = []
    while of.due() < FOREVER_US:
        made += of.advance(of.due())
    return made


def test_requests_run_in_order_and_a_full_queue_rejects() -> None:
    n = node(queue_capacity=2)
    words = [n.offer(0, job(f"j{k}")) for k in range(5)]
    assert words == ["taken"] * 4 + ["full"]
    assert [(j.id, j.answer_at_us) for j in run(n)] == [
        ("j0", 10_000),
        ("j1", 10_000),
        ("j2", 20_000),
        ("j3", 20_000),
    ]
    assert n.offer(30_000, job("astray", shard=4)) == "astray"


def test_many_requests_in_flight_slow_the_node_down() -> None:
    calm, full = node(thrash=0.3, thrash_at=2.0), node(thrash=0.3, thrash_at=2.0)
    for k in range(16):
        full.offer(0, job(f"j{k}"))
    assert calm.rate(0) == 1.0
    # 16 in flight with a threshold of 4: two doublings
    assert full.rate(0) == pytest.approx(1 / (1 + 0.3 * 2))


def test_cold_node_warms_up_linearly_and_ends_when_overloaded() -> None:
    of = {"initial_warmth": 0.2, "warm_up_us": 10.0 * SECOND_US, "queue_capacity": 10_000}
    n = node(True, **of)
    assert [n.warmth(t * SECOND_US) for t in (0, 5, 10, 20)] == pytest.approx([0.2, 0.6, 1.0, 1.0])
    # It bears 4 times the work that it can do in 3 s at its present speed: 2 cores at 0.2 make 4.8 s.
    fed = [n.offer(0, job(f"j{k}", 100_000)) for k in range(49)]
    assert fed == ["taken"] * 48 + ["fallen"]
    lost = n.fall()
    assert len(lost) == 48 and n.offer(SECOND_US, job("later")) == "gone" and not n.connect()
    slow = node(True, **of)  # the same work over a longer time does not overload it
    assert {slow.offer(k * 100_000, job(f"j{k}", 100_000)) for k in range(49)} == {"taken"}
    warm = node(False, **of)
    assert {warm.offer(0, job(f"j{k}", 100_000)) for k in range(500)} == {"taken"}


@given(st.integers(0, 60 * SECOND_US), st.floats(1_000, 3_000_000), st.integers(1, 1 << 30))
def test_pauses_delay_only_the_work_that_they_overlap(start: int, work: float, seed: int) -> None:
    n = Node(
        "n",
        0,
        Traits(pause_us=(92_000, 210_000), pause_interval_us=(2.1 * SECOND_US, 9.0 * SECOND_US)),
        seed,
        0,
    )
    end = n.finish_of(start, work)
    stood, at = 0, start
    while True:
        begin, until = n._pause_after(at)
        if begin >= end:
            break
        stood += min(until, end) - max(begin, start)
        at = until
    assert end - start == pytest.approx(work + stood, abs=2)
    assert all(92_000 <= b - a <= 210_000 for a, b in n._pauses)
    gaps = [b[0] - a[1] for a, b in zip(n._pauses, n._pauses[1:], strict=False)]
    assert all(2.1 * SECOND_US - 1 <= g <= 9 * SECOND_US for g in gaps)


def test_deferred_write_work_runs_in_one_flush() -> None:
    n = node(defer=0.5, flush_interval_us=100_000.0, cores=1)
    n.offer(0, job("w", 100_000, write=True))
    assert [j.answer_at_us for j in run(n)] == [50_000]
    assert n.deferred_work_us == 50_000
    n.offer(110_000, job("r", 10_000))
    n.offer(110_000, job("s", 10_000))  # waits for the deferred work, which runs once a core is free
    assert [(j.id, j.answer_at_us) for j in run(n)] == [("r", 120_000), ("s", 180_000)]
    assert n.deferred_work_us == 0


def test_reading_a_recent_block_is_cheaper_on_the_first_attempt_only() -> None:
    n = node(seek=0.5, remembers=2, cores=1)
    times = []
    for name, block in (("a", "x"), ("b", "x"), ("b", "x"), ("c", "y"), ("d", "z"), ("e", "x")):
        n.offer(n.due() if n.due() < FOREVER_US else 0, job(name, block=block))
        before = n.done_work
        run(n)
        times.append(before)
    assert [b - a for a, b in zip([0.0, *times], times, strict=False)] == [
        10_000,
        5_000,
        10_000,
        10_000,
        10_000,
        10_000,
    ]


def test_connections_cost_work_and_are_limited() -> None:
    n = node(max_connections=2, handshake_us=1_000.0, full_tax=0.1, cores=1)
    assert [n.connect() for _ in range(3)] == [True, True, False]
    assert n.rate(0) == pytest.approx(0.9)
    n.offer(0, job("a", 7_000))
    assert run(n)[0].answer_at_us == 10_000  # 7,000 and two handshakes, at 0.9
    n.disconnect()
    assert n.connect()


def test_load_reports_are_periodic_and_delayed() -> None:
    n = node(report_interval_us=400_000.0, report_delay_us=200_000.0, cores=1)
    assert n.report(0)["inflight"] == 0
    for k in range(5):
        n.offer(400_000, job(f"j{k}", 10 * SECOND_US))
    assert n.report(450_000)["inflight"] == 0  # the report is made now and sent later
    assert n.report(649_999)["inflight"] == 0
    assert n.report(650_000)["inflight"] == 5


def test_units_served_through_other_fronts_are_reported_once() -> None:
    n = node()
    for front, units in ((0, 2), (1, 3), (1, 4)):
        n.served["v"] += units
        n.elsewhere("v", front, units) if front else None
    assert n.elsewhere("v", 0, 2) == 7
    assert n.elsewhere("v", 0, 0) == 0


def test_meter_reports_a_finished_period_after_a_delay() -> None:
    m = Meter(500_000, 800_000, {"v": 10.0})
    assert m.percent(600_000, "v") == -1
    m.add(100_000, "v", 10)
    assert m.percent(1_299_999, "v") == -1
    assert m.percent(1_300_000, "v") == 200  # 10 units in half a second at a rate of 10 per second
    assert m.percent(1_800_000, "v") == 0


@pytest.mark.parametrize("kind", ["error", "reset", "silence", "half", "spoilt", "surplus", "lag"])
def test_impairment_sets_the_outcome_only_while_it_is_active(kind: str) -> None:
    n = node()
    n.impairments = [
        Impairment(SECOND_US, 2 * SECOND_US, kind, 1.0),
        Impairment(0, FOREVER_US, "lag-ms", 300.0),
    ]
    ends = []
    for at in (0, SECOND_US, 2 * SECOND_US):
        assert n.offer(at, job(f"{at}")) == "taken"
        ends += run(n)
    assert [j.end for j in ends] == ["ok", kind, "ok"]
    assert ends[1].answer_at_us == SECOND_US + 10_000 + (300_000 if kind == "lag" else 0)


@pytest.mark.parametrize("kind", ["full", "astray", "early"])
def test_rejected_requests_never_run(kind: str) -> None:
    n = node()
    n.impairments = [Impairment(0, SECOND_US, kind, 1.0)]
    assert n.offer(0, job("a")) == kind
    assert n.due() == FOREVER_US and not n.done_work


def test_slowdown_and_neighbour_reduce_the_rate() -> None:
    n = node()
    n.impairments = [Impairment(0, SECOND_US, "slow", 4.0), Impairment(500_000, SECOND_US, "neighbour", 0.5)]
    assert [n.rate(t) for t in (0, 600_000, SECOND_US)] == [0.25, 0.125, 1.0]


def test_traits_are_within_the_published_ranges() -> None:
    drawn = [traits(FIGURES, random.Random(k)) for k in range(200)]
    assert {t.cores for t in drawn} == {2}
    assert all(0.85 <= t.speed <= 1.1 and 0.17 <= t.initial_warmth <= 0.35 for t in drawn)
    assert all(54 <= t.queue_capacity <= 176 and 0.21 <= t.defer <= 0.48 for t in drawn)
    assert {t.remembers for t in drawn} == {2, 3, 4}


@pytest.mark.parametrize(
    ("old", "new", "why"),
    [
        ('pause_ms = { is = [92, 210], source = "brief: each node stands still" }', "", "node.pause_ms"),
        ("is = [92, 210]", "is = [210, 92]", "node.pause_ms"),
        ("is = [92, 210]", 'is = "long"', "node.pause_ms"),
        ('source = "brief: kind node-2c"', 'source = ""', "node.cores: names no source"),
        ("[cold]", "[warm]", "cold: the table is missing"),
        ("[[plan]]", "[[plans]]", "plan: needs at least one"),
        ("[node]", "[node", "figures.toml"),
    ],
)
def test_figure_error_names_file_and_key(tmp_path: Path, old: str, new: str, why: str) -> None:
    text = Path("umberlead/emulator/figures.toml").read_text()
    assert old in text
    (tmp_path / "figures.toml").write_text(text.replace(old, new))
    with pytest.raises(FigureError, match="figures.toml") as caught:
        traits(Figures(tmp_path / "figures.toml"), random.Random(1))
    assert why in str(caught.value)


# The day


def day(seed: int = 1, **more: object):  # type: ignore[no-untyped-def]
    of = {"seconds": 40, "load": 0.5, "shards": 10, "fronts": 4, "speed": 1.0} | more
    return draw(FIGURES, seed=seed, **of)  # type: ignore[arg-type]


def test_day_depends_only_on_its_seed() -> None:
    assert day(3).requests == day(3).requests
    assert day(3).requests != day(4).requests


def test_requests_of_a_day_match_the_figures() -> None:
    made = [day(k, excess=0.0, seconds=60) for k in range(6)]
    for d in made:
        asked = sum(r.work for r in d.requests) / (60 * SECOND_US * 10 * 2)
        assert 0.36 < asked < 0.56  # half of nine tenths, with the random variation of 60 s
        assert {r.units for r in d.requests} == set(range(1, 7))
        assert all(r.shard == -1 for r in d.requests if r.write)
        assert all(4 <= len(d.volumes) / 10 <= 10 for d in made)
    requests = [r for d in made for r in d.requests]
    part = {p: sum(r.units for r in requests if r.plan == p) for p in ("basic", "standard", "priority")}
    whole = sum(part.values())
    assert part["basic"] / whole == pytest.approx(0.40, abs=0.08)
    assert part["priority"] / whole == pytest.approx(0.29, abs=0.08)
    fresh = [r for r in requests if r.of >= 0]
    assert 0.2 < len(fresh) / sum(not r.write for r in requests) < 0.55
    assert all(r.of < r.number and not r.write for r in fresh)


def test_surges_add_load_and_scripted_waves_only_while_active() -> None:
    calm, more = day(2, excess=0.0), day(2)
    assert sum(r.units for r in more.requests) > 1.2 * sum(r.units for r in calm.requests)
    waves = (Wave(10 * SECOND_US, 20 * SECOND_US, 3.0), Wave(0, 40 * SECOND_US, 20.0, "image-read", 0.02))
    waved = day(2, excess=0.0, waves=waves)

    def count(d: object, begin: int, end: int) -> int:
        return sum(begin * SECOND_US <= r.at < end * SECOND_US for r in d.requests)  # type: ignore[attr-defined]

    assert count(waved, 10, 20) / count(calm, 10, 20) == pytest.approx(3.0, rel=0.25)
    assert count(waved, 20, 40) / count(calm, 20, 40) == pytest.approx(1.0, rel=0.25)
    reads = [r.work for r in waved.requests if r.class_name == "image-read"]
    mean = waved.kind("image-read").work
    assert sum(reads) / len(reads) / mean == pytest.approx(1 + 0.02 * 19, rel=0.2)


def test_clients_retry_once_and_never_an_upload_that_may_have_run() -> None:
    d = day(1)
    d.retries, d.retry_wait = 1, 50_000
    clients = Clients(d)
    read = clients.first(next(r for r in d.requests if r.class_name == "image-read"))
    upload = clients.first(next(r for r in d.requests if r.write))
    again = clients.again(read, "failed", read.at + 1000)
    assert again is not None and again.at == read.at + 51_000 and again.until == read.until
    assert again.id != read.id and clients.again(again, "refused", again.at) is None
    assert clients.again(upload, "refused", upload.at) is not None
    assert clients.again(upload, "failed", upload.at) is None
    assert clients.again(upload, "none", upload.until) is None
    assert clients.again(read, "refused", read.until - 60_000) is None  # the deadline is too close
    assert clients.again(read, "served", read.at) is None


def test_noise_depends_on_the_seed_and_the_attempt() -> None:
    kind = day().kind("image-read")
    assert noise(1, "a", 0, kind) == noise(1, "a", 0, kind)
    assert len({noise(s, i, k, kind) for s in (1, 2) for i in "ab" for k in (0, 1)}) == 8
    drawn = [noise(1, str(k), 0, kind) for k in range(2000)]
    assert sum(drawn) / len(drawn) == pytest.approx(1.0, abs=0.03)


def test_front_settings_parse_as_configuration() -> None:
    from umberlead import configuration

    d = day()
    got = configuration.parse_settings(configuration.flatten(settings(FIGURES, d, 4, 10)))
    assert [p.reserved_units_per_second / p.usual_units_per_second for p in got.plans] == pytest.approx(
        [0.0, 0.8, 1.2]
    )
    assert [c.latency_objective_us for c in got.classes] == [300_000, 600_000, 2_000_000]
    assert got.front_count == 4 and got.shard_count == 10 and got.slow_start_overload_factor == 4.0
    # The work allowed to a cold node is less than the work that overloads the slowest node.
    assert got.slow_start_units * d.unit < 4 * 3 * SECOND_US * 2 * 0.85 * 0.17


# Plans of scripts

HEAD = "format 1\nscenario s seed 5\nfleet servers 10 fronts 3\nday seconds 40 load 50%\n"


def script(*lines: str, head: str = HEAD):  # type: ignore[no-untyped-def]
    text = head + "".join(line + "\n" for line in lines)
    suite, problems = parse(f"{text}end {text.count(chr(10))}\n", "s.script")
    assert not problems, problems
    return suite.scenarios[0]


def test_plan_depends_only_on_its_seed() -> None:
    of = script("at 5s deploy 60% batch 20% drain 3s over 20s", "at 1s lists shuffled for 30s")
    a, b, c = plan(of, FIGURES), plan(of, FIGURES), plan(of, FIGURES, 6)
    assert (a.node_starts, a.state_changes, a.notices, a.day.requests) == (
        b.node_starts,
        b.state_changes,
        b.notices,
        b.day.requests,
    )
    assert a.node_starts != c.node_starts


def test_deploy_replaces_batches_with_cold_servers_of_the_same_shard() -> None:
    made = plan(script("at 5s deploy 60% batch 20% drain 3s over 20s"), FIGURES)
    new = [b for b in made.node_starts if b.slow_start]
    old = [t.server for t in made.state_changes if t.state == "draining"]
    assert len(new) == len(old) == 6
    shard = {b.name: b.shard for b in made.node_starts}
    assert sorted(b.shard for b in new) == sorted(shard[name] for name in old)
    begins = sorted({t.at for t in made.state_changes if t.state == "draining"})
    assert begins == [
        5 * SECOND_US,
        13_500_000,
        22 * SECOND_US,
    ]  # three batches of two; the last one ends at 25 s
    for t in made.state_changes:
        heard = [n.at for n in made.notices if (n.server, n.state) == (t.server, t.state)]
        assert len(heard) == 3 and all(1.3 * SECOND_US <= at - t.at <= 4.3 * SECOND_US for at in heard)
    for b in new:
        started = {n.started for n in made.notices if n.server == b.name}
        assert started == {b.at_us}


def test_lists_are_late_or_shuffled_and_clocks_wrong_only_while_scripted() -> None:
    calm = plan(script("at 9s drain n01", "at 30s drain n02"), FIGURES)
    late = plan(script("at 8s lists late 4s for 5s", "at 9s drain n01", "at 30s drain n02"), FIGURES)
    for a, b in zip(calm.notices, late.notices, strict=True):
        assert b.at - a.at == pytest.approx(4 * SECOND_US if a.server == "n01" else 0, abs=1)
    mixed = plan(script("at 1s lists shuffled for 30s", "at 2s drain n01", "at 2.1s back n01"), FIGURES)
    order = {f: [n.state for n in mixed.notices if n.front == f] for f in range(3)}
    assert all(sorted(o) == ["draining", "up"] for o in order.values())
    stepped = plan(script("at 1s clock ahead 300ms for 5s", "at 2s cold n01", "at 8s cold n02"), FIGURES)
    assert {(n.server, n.started) for n in stepped.notices} == {("n01", 2_300_000), ("n02", 8 * SECOND_US)}


@pytest.mark.parametrize(
    ("line", "why"),
    [
        ("at 5s slow 3 n77", "E123 s.script:5"),
        ("at 50s surge 150% for 3s", "E122 s.script:5"),
        ("at 5s costly image-raed part 1% times 9 for 3s", "E121 s.script:5"),
        ("at 5s cut room 3 for 1s", "E124 s.script:5"),
    ],
)
def test_inconsistent_plan_error_names_the_line(line: str, why: str) -> None:
    with pytest.raises(ScriptError) as caught:
        plan(script(line), FIGURES)
    code, place = why.split()
    assert code in str(caught.value) and place in str(caught.value)


@pytest.mark.parametrize(
    ("text", "why"),
    [
        ("format 1\nscenario s\nat 1s surge 150% for 2s\n", "surge belongs in a scenario with a fleet"),
        ("format 1\nscenario s\nday seconds 5 load 5%\n", "day stands before any fleet"),
        (HEAD + "fleet servers 3 fronts 1\n", "has a fleet already"),
        (HEAD + "at 1s list other.list\n", "a fleet's lists are its own"),
        (HEAD + "at 1s surge for 2s\n", "a share such as 25%"),
        ("format 1\nscenario s\nfleet servers 0 fronts 1\n", "1 to 5000 servers"),
        ("format 1\nscenario s\nexpect service at-least 5%\n", "service belongs in a scenario with a fleet"),
    ],
)
def test_unreadable_script_reports_the_reason(text: str, why: str) -> None:
    _, problems = parse(f"{text}end {text.count(chr(10))}\n", "s.script")
    assert any(why in str(p) for p in problems), problems
