"""Rooms: when a room is lost in a front's eyes and when it is not, what spills, and how it comes back."""

import math
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from umberlead.scheduling import interface as api
from umberlead.scheduling.interface import Effect, NodeState, Result
from umberlead.zones.evidence import Ratio, Track, grey, log_odds, lost
from umberlead.zones.model import SECOND, Member, Met, Rules, State, tier_of
from umberlead.zones.router import Director, Pass, Refusal
from umberlead.zones.spillover import Budget
from umberlead.zones.zone_health import Rooms

RULES = Rules(own="a", near={"b": 1, "c": 2}, far=2.0)
SETTINGS = api.Settings(
    classes=(
        api.RequestClass("read", 300_000, 2_000_000, Effect.SAFE),
        api.RequestClass("upload", 600_000, 3_000_000, Effect.UNSAFE),
    ),
    plans=(api.Plan("basic", rate=5.0), api.Plan("priority", rate=10.0, reserve=12.0)),
    heads=4, mean_units=2.0, max_units=6.0, shards=4, cold_units=70.0, cold_share=0.17, cold_multiple=4.0,
    cold_window=3 * SECOND, warm_up=16 * SECOND, max_attempts=3,
)  # fmt: skip


def members(rooms: str = "aaaabbbbcccc") -> list[Member]:
    return [Member(f"{r}{k}", r, k) for k, r in enumerate(rooms)]


def machine(rooms: str = "aaaabbbbcccc", rules: Rules = RULES) -> Rooms:
    made = Rooms(rules, 1, 0)
    made.listed(0, members(rooms))
    return made


def attempts(of: Rooms, now: int, room: str, met: Met, times: int = 1) -> None:
    for m in of.members.values():
        if m.room == room:
            for k in range(times):
                of.sent(now, m.id, f"{m.id}.{now}.{k}")
                of.ended(now, m.id, f"{m.id}.{now}.{k}", met, 20_000)


def settle(of: Rooms, now: int) -> None:
    for room in of.rooms:
        attempts(of, now, room, Met.ANSWERED)


def test_a_room_whose_servers_all_break_is_lost_and_its_evidence_is_told() -> None:
    of = machine()
    settle(of, 0)
    attempts(of, SECOND, "b", Met.BROKEN, 2)
    assert [of.state(r) for r in "abc"] == [State.WELL, State.LOST, State.WELL]
    (verdict,) = of.taken()
    assert verdict.room == "b" and "of 4 servers down" in verdict.evidence


@pytest.mark.parametrize("down", [1, 2])
def test_one_or_two_dead_servers_make_no_lost_room(down: int) -> None:
    of = machine()
    settle(of, 0)
    for k in range(4, 4 + down):
        for n in range(50):
            of.ended(SECOND + n * 1000, f"b{k}", f"{k}.{n}", Met.BROKEN)
    of.tick(SECOND * 2)
    assert not [v for v in of.taken() if v.state is State.LOST]
    assert of.state("b") is (
        State.WELL if down == 1 else State.GREY
    )  # half of it is no longer its servers' own


def test_one_broken_link_in_each_of_all_servers_is_no_loss() -> None:
    of = machine()
    attempts(of, 0, "b", Met.BROKEN, 1)
    assert of.state("b") is State.WELL


def test_silence_is_evidence_without_any_event() -> None:
    of = machine()
    settle(of, 0)
    for m in of.members.values():
        if m.room == "b":
            of.sent(SECOND, m.id, m.id)
            of.sent(SECOND, m.id, f"{m.id} too")
    for at in range(SECOND, 3 * SECOND, 100_000):
        of.tick(at)
        if of.state("b") is State.LOST:
            break
    assert SECOND + RULES.quiet < at <= SECOND + RULES.quiet + 200_000


def test_an_answer_takes_a_servers_fault_away() -> None:
    of = machine()
    settle(of, 0)
    attempts(of, SECOND, "b", Met.BROKEN, 1)
    attempts(of, SECOND + 1, "b", Met.ANSWERED, 1)
    attempts(of, SECOND + 2, "b", Met.BROKEN, 1)
    assert of.state("b") is State.WELL


def test_what_drains_tells_nothing_of_its_room() -> None:
    of = machine()
    settle(of, 0)
    of.listed(1, [m if m.room != "b" else Member(m.id, "b", m.shard, NodeState.DRAINING) for m in members()])
    attempts(of, SECOND, "b", Met.BROKEN, 3)
    assert of.state("b") is State.WELL


def test_a_small_room_needs_all_of_its_servers_and_two_at_least() -> None:
    assert lost(["down", "down"], RULES)
    assert not lost(["down", "up"], RULES)
    assert not lost(["down"], RULES)
    assert not lost(["", "", "", ""], RULES)
    assert lost(["down"] * 4, RULES) and lost(["down"] * 5 + [""], RULES)
    assert not lost(["down"] * 3 + ["up"] * 2, RULES)
    assert lost(["mute"] * 4, RULES) and not lost(["mute"] * 3 + [""], RULES)
    assert not lost(["mute"] * 2, RULES) and not lost(["down", "mute", ""], RULES)


@given(st.lists(st.sampled_from(["down", "mute", "up", ""]), min_size=1, max_size=12), st.data())
def test_more_servers_down_never_make_a_loss_less_likely(words: list[str], data: st.DataObject) -> None:
    k = data.draw(st.integers(0, len(words) - 1))
    worse = words[:k] + ["down"] + words[k + 1 :]
    assert log_odds(worse, RULES) >= log_odds(words, RULES)
    if lost(words, RULES):
        assert lost(worse, RULES)


def test_where_nothing_answers_at_all_the_front_is_cut_off_itself() -> None:
    of = machine()
    settle(of, 0)
    for room in "abc":
        attempts(of, SECOND, room, Met.BROKEN, 2)
    of.tick(SECOND + 1)
    assert of.isolated
    assert all(of.state(r) is State.WELL for r in "abc")
    assert "cut off itself" in of.taken()[-1].evidence
    settle(of, 2 * SECOND)
    of.tick(4 * SECOND)
    assert not of.isolated


def test_half_broken_links_make_a_room_grey_and_no_lost_one() -> None:
    of, chance = machine(), random.Random(3)
    for n in range(400):
        at = n * 10_000
        for m in of.members.values():
            broke = m.room == "b" and chance.random() < 0.4
            of.ended(at, m.id, f"{m.id}.{n}", Met.BROKEN if broke else Met.ANSWERED, 20_000)
            if n % 10 == 0:
                of.tick(at)
            if of.state("b") is State.LOST:
                pytest.fail("half of its links answer")
    assert of.state("b") is State.GREY
    assert "attempts broke" in of.taken()[0].evidence
    for n in range(400, 1200):
        for m in of.members.values():
            of.ended(n * 10_000, m.id, f"{m.id}.{n}", Met.ANSWERED, 20_000)
        of.tick(n * 10_000)
    assert of.state("b") is State.WELL


def test_answers_far_slower_than_elsewhere_make_a_room_grey() -> None:
    of = machine()
    for n in range(40):
        for m in of.members.values():
            of.ended(n * 10_000, m.id, f"{n}", Met.ANSWERED, 200_000 if m.room == "c" else 30_000)
    of.tick(400_000)
    assert [of.state(r) for r in "abc"] == [State.WELL, State.WELL, State.GREY]
    assert "answers take 200 ms, elsewhere 30 ms" in of.taken()[0].evidence


def test_nothing_is_grey_by_few_attempts_or_small_differences() -> None:
    ratio, other = Ratio(RULES.window), Ratio(RULES.window)
    for n in range(29):
        ratio.add(n, True)
        other.add(n, False, 10.0)
    assert not grey([ratio, ratio], [other], 30, RULES)
    even = Ratio(RULES.window)
    for n in range(100):
        even.add(n, n % 10 == 0, 30.0)
        other.add(n, n % 12 == 0, 10.0)
    assert not grey([even, even], [other], 100, RULES)


def test_a_ratio_forgets_what_is_older_than_its_window() -> None:
    of = Ratio(1000)
    of.add(0, True)
    of.add(900, False, 5.0)
    assert of.sums(950) == (2, 1, 1, 5.0)
    assert of.sums(1500) == (1, 0, 1, 5.0)
    assert of.sums(3000) == (0, 0, 0, 0.0)


@settings(max_examples=40)
@given(st.integers(0, 1 << 30))
def test_a_well_fleet_with_dead_servers_and_errors_is_never_held_lost(seed: int) -> None:
    """A tenth of the servers dead, one attempt in fifty breaks: 20 s of 100 attempts a second."""
    chance, of = random.Random(seed), machine("aaaaabbbbbccccc")
    dead = {m for m in of.members if chance.random() < 0.07}
    if any(sum(m[0] == r for m in dead) > 2 for r in "abc"):
        return
    for n in range(2000):
        name = chance.choice(sorted(of.members))
        broke = name in dead or chance.random() < 0.02
        of.ended(n * 10_000, name, str(n), Met.BROKEN if broke else Met.ANSWERED, 30_000)
        if n % 10 == 0:
            of.tick(n * 10_000)
    assert not [v for v in of.taken() if v.state is State.LOST]


# The way back


def lose(of: Rooms, at: int, room: str = "b") -> None:
    settle(of, at - SECOND)
    attempts(of, at, room, Met.BROKEN, 2)
    assert of.state(room) is State.LOST


def tried(of: Rooms, now: int, met: Met) -> int:
    """All trials that are due now, each with its outcome."""
    count = 0
    for m in list(of.members.values()):
        if m.room == "b" and of.state("b") is State.LOST and of.may_try(now, m.id):
            of.sent(now, m.id, f"t{now}{m.id}")
            of.ended(now, m.id, f"t{now}{m.id}", met, 20_000)
            count += 1
    return count


def test_a_lost_room_is_tried_little_and_comes_back_after_answers() -> None:
    of = machine()
    lose(of, 10 * SECOND)
    early = sum(tried(of, 10 * SECOND + k * 50_000, Met.BROKEN) for k in range(20))
    assert early == 0  # it is left alone first
    late = sum(tried(of, 13 * SECOND + k * 50_000, Met.BROKEN) for k in range(100))
    assert 3 <= late <= 10  # about one a second
    at = 20 * SECOND
    while of.state("b") is State.LOST:
        tried(of, at, Met.ANSWERED)
        at += 50_000
    assert of.state("b") is State.RETURN and at < 24 * SECOND
    assert all(m.id in of.back for m in of.members.values() if m.room == "b")
    for k in range(200):
        settle(of, at + k * 100_000)
        of.tick(at + k * 100_000)
    assert of.state("b") is State.WELL


def test_one_answered_trial_in_between_brings_nothing_back() -> None:
    of = machine()
    lose(of, 10 * SECOND)
    for k in range(200):
        met = Met.ANSWERED if k % 2 else Met.BROKEN
        for m in of.members.values():
            if m.room == "b":
                of.ended(15 * SECOND + k * 50_000, m.id, f"{k}", met)
    assert of.state("b") is State.LOST


def test_each_loss_soon_after_a_return_is_held_longer() -> None:
    of, held = machine(), []
    at = 10 * SECOND
    for _ in range(4):
        lose(of, at)
        held.append(of.rooms["b"].until - at)
        at = of.rooms["b"].until
        while of.state("b") is State.LOST:
            tried(of, at, Met.ANSWERED)
            at += 100_000
        at += 2 * SECOND
    assert all(b > 1.2 * a for a, b in zip(held, held[1:], strict=False))
    assert held[-1] <= 1.25 * RULES.hold_most


def test_a_room_that_is_lost_again_on_its_way_back_is_lost() -> None:
    of = machine()
    lose(of, 10 * SECOND)
    at = of.rooms["b"].until
    while of.state("b") is State.LOST:
        tried(of, at, Met.ANSWERED)
        at += 100_000
    attempts(of, at + SECOND, "b", Met.BROKEN, 2)
    assert of.state("b") is State.LOST and not of.back


def test_fronts_try_a_lost_room_at_times_of_their_own() -> None:
    times = set()
    for seed in range(50):
        of = Rooms(RULES, seed, 0)
        of.listed(0, members())
        lose(of, 10 * SECOND)
        at = 10 * SECOND
        while not of.may_try(at, "b4"):
            at += 1000
        times.add(at // 100_000)
    assert len(times) > 10


# By hand, and peers


def test_an_evacuated_room_gets_nothing_whatever_the_evidence() -> None:
    of = machine()
    settle(of, 0)
    assert (
        of.by_hand(1, "b", "evacuate") and not of.by_hand(1, "x", "evacuate") and not of.by_hand(1, "b", "no")
    )
    assert of.state("b") is State.LOST and not of.may_try(100 * SECOND, "b4")
    assert of.by_hand(2, "b", "")
    assert of.state("b") is State.WELL


def test_peers_never_decide_alone_and_lies_of_a_few_tell_nothing() -> None:
    of = machine()
    settle(of, 0)
    for k in range(9):
        of.peer(SECOND, f"p{k}", "b", State.LOST)
    of.tick(SECOND)
    assert of.state("b") is State.WELL  # own evidence says otherwise
    for n in range(2):
        of.ended(SECOND, "b4", f"{n}", Met.BROKEN)
        of.ended(SECOND, "b5", f"{n}", Met.BROKEN)
    assert of.state("b") is State.WELL  # two of four, and two up
    for n in range(2):
        of.ended(SECOND + 1, "b6", f"{n}", Met.BROKEN)
        of.ended(SECOND + 1, "b7", f"{n}", Met.BROKEN)
    assert of.state("b") is State.LOST


def test_peers_that_agree_make_it_sooner() -> None:
    def needed(peers: int) -> int:
        of = machine("aaaaabbbbbccccc")
        for k in range(peers):
            of.peer(0, f"p{k}", "b", State.LOST)
        for k, m in enumerate([m for m in of.members if m[0] == "b"], 1):
            for n in range(2):
                of.ended(1000, m, f"{m}.{n}", Met.BROKEN)
            if of.state("b") is State.LOST:
                return k
        return 99

    assert needed(3) < needed(0)
    assert needed(1) <= needed(0)


# Spill


def test_reserves_go_before_shares_and_shares_before_spare() -> None:
    of, passed = Budget(SETTINGS, 20.0, 0), {"reserve": 0, "share": 0, "spare": 0}
    asked = dict(passed)
    chance = random.Random(1)
    for n in range(4000):
        now = n * 5_000
        volume, plan = chance.choice([("r", "priority"), ("s", "basic"), ("t", "basic"), ("u", "basic")])
        before = {k: s.have for k, s in of._due.items()}
        tier_have = of.refused
        good = of.take(now, volume, plan, 1, 2.0)
        del before
        kind = "reserve" if plan == "priority" else "share"
        asked[kind] += 1
        passed[kind] += good
        assert (of.refused > tier_have) != good
    assert passed["reserve"] / asked["reserve"] > 1.5 * passed["share"] / asked["share"]


def test_a_budget_grows_while_answers_come_in_time_and_shrinks_when_they_do_not() -> None:
    of = Budget(SETTINGS, 10.0, 0)
    for n in range(400):
        if of.take(n * 50_000, "v", "basic", 1, 1.0):
            of.ended(n * 50_000, True)
    grown = of.rate
    assert grown > 12.0
    for n in range(400, 800):
        of.take(n * 50_000, "v", "basic", 1, 1.0)
        of.ended(n * 50_000, False)
    assert of.rate < grown / 3


def test_a_budget_does_not_grow_where_nothing_asks_for_it() -> None:
    of = Budget(SETTINGS, 10.0, 0)
    for n in range(100):
        of.ended(n * 100_000, True)
    assert of.rate == 10.0


@given(st.lists(st.tuples(st.integers(1, 500_000), st.booleans(), st.floats(0.5, 6)), max_size=200))
def test_a_budget_never_gives_more_than_its_rate_and_what_it_saved(
    rows: list[tuple[int, bool, float]],
) -> None:
    of, now, given_, most = Budget(SETTINGS, 10.0, 0), 0, 0.0, 10.0
    for wait, good, units in rows:
        now += wait
        of.ended(now, good)
        if of.take(now, "v", "basic", 1, units):
            given_ += units
        most = max(most, of.rate)
    assert given_ <= most * (now / SECOND) + most + 1e-6


# The director


def director(rooms: str = "aabbcc", shards: int = 2, rules: Rules = RULES) -> Director:
    """Servers a0 a1 b0 b1 c0 c1, each shard in each room."""
    made = Director(rules, SETTINGS, 1, 0)
    names = [f"{r}{k % shards}" for k, r in enumerate(rooms)]
    nodes = tuple(api.Node(n, NodeState.UP, int(n[1:]), room=n[0]) for n in names)
    news = made.listed(0, api.NodeList(True, nodes))
    assert news.whole
    for n in names:
        made.ended(0, "x", n, Result.OK, 1000, "read", False)
    return made


def broken(of: Director, now: int, room: str) -> None:
    for name in list(of.nodes):
        if name[0] == room:
            for n in range(2):
                of.sent(now, f"{name}.{n}", name)
                of.ended(now, f"{name}.{n}", name, Result.NO_LINK, 250_000, "read", False)


def ask(of: Director, now: int, cls: str = "read", shard: int = 0, name: str = "q") -> Refusal | Pass:
    return of.taken(now, name, cls, "priority", "v", 1, shard, 2.0)


def test_tiers_follow_the_rooms_and_no_own_room_means_none() -> None:
    assert [tier_of(RULES, r) for r in ("a", "b", "c", "else")] == [0, 1, 2, 3]
    assert {tier_of(Rules(), r) for r in "abc"} == {0}
    of = director()
    assert {n: t.far for n, t in of.told.items()} == {"a0": 1, "a1": 1, "b0": 2, "b1": 2, "c0": 4, "c1": 4}


def test_a_lost_rooms_servers_are_shut_and_its_work_spills() -> None:
    of = director()
    assert ask(of, 0) == Pass()
    broken(of, SECOND, "a")
    news = of.changes(SECOND)
    assert news is not None and {(n.node, n.state) for n in news.nodes} == {
        ("a0", NodeState.DRAINING), ("a1", NodeState.DRAINING)
    }  # fmt: skip
    assert ask(of, SECOND) == Pass(spill=True)
    broken(of, SECOND + 1, "b")
    of.changes(SECOND + 1)
    assert ask(of, SECOND + 2) == Pass(spill=True)  # two tiers away


def test_what_only_a_lost_room_has_is_refused_at_once_with_when_to_come_back() -> None:
    of = director("aabc", 2)  # shards 0 and 1 in a; b0 and c1 beside: make shard 1 c's and a's
    of.listed(0, api.NodeList(False, (api.Node("c1", NodeState.GONE, 1),)))
    broken(of, SECOND, "a")
    of.changes(SECOND)
    got = ask(of, SECOND, shard=1)
    assert isinstance(got, Refusal) and got.reason == "room a is lost"
    assert RULES.come_back <= got.retry_after <= 2 * max(RULES.hold * 1.25 + RULES.trial, RULES.come_back)
    assert of.dark(1) and not of.dark(0)


def test_a_trial_opens_one_server_for_one_request_that_may_be_repeated() -> None:
    of = director("aab")
    broken(of, SECOND, "a")
    of.listed(SECOND, api.NodeList(False, (api.Node("b0", NodeState.GONE, 0),)))
    of.changes(SECOND)
    at = 20 * SECOND
    assert isinstance(ask(of, at, "upload"), Refusal)  # never an upload
    got = ask(of, at)
    assert isinstance(got, Pass) and got.trial == "a0"
    news = of.changes(at)
    assert news is not None and [(n.node, n.state) for n in news.nodes] == [("a0", NodeState.UP)]
    assert isinstance(ask(of, at), Refusal)
    of.sent(at, "q", "a0")
    news = of.changes(at)
    assert news is not None and [(n.node, n.state) for n in news.nodes] == [("a0", NodeState.DRAINING)]


def test_a_returning_server_counts_as_just_started() -> None:
    of = director()
    broken(of, SECOND, "a")
    of.changes(SECOND)
    at = 20 * SECOND
    while of.rooms.state("a") is State.LOST:
        for name in ("a0", "a1"):
            of.ended(at, f"t{at}", name, Result.OK, 1000, "read", False)
        at += 100_000
    news = of.changes(at)
    assert news is not None
    assert all(n.state is NodeState.UP and n.started >= 20 * SECOND for n in news.nodes)
    later = of.changes(at + RULES.back + SECOND)
    assert later is not None and all(n.started == 0 for n in later.nodes)


def test_a_spill_without_budget_is_refused_and_its_ends_are_learnt() -> None:
    of = director(rules=Rules(own="a", near={"b": 1}, spill=0.8))
    broken(of, SECOND, "a")
    of.changes(SECOND)
    got = [ask(of, SECOND, name=f"q{n}") for n in range(40)]
    refused = [g for g in got if isinstance(g, Refusal)]
    assert refused and all(0 < g.retry_after < 2 * SECOND for g in refused)
    before = of.budget.rate
    passed = [f"q{n}" for n, g in enumerate(got) if isinstance(g, Pass)]
    assert len(passed) >= 4
    for name in passed:
        of.answered(SECOND + 2_000_000, name, SECOND, True, "read")
    of.tick(4 * SECOND)
    assert of.budget.rate < before


def test_forbidden_rooms_get_no_new_objects_and_evacuated_ones_nothing() -> None:
    of = director()
    of.rooms.by_hand(1, "b", "forbid")
    of.rooms.by_hand(1, "c", "evacuate")
    news = of.changes(1)
    assert news is not None
    assert {(n.node, n.weight, n.state.value) for n in news.nodes} == {
        ("b0", 0.0, "up"), ("b1", 0.0, "up"), ("c0", 0.0, "draining"), ("c1", 0.0, "draining")
    }  # fmt: skip


def test_the_list_goes_before_rooms() -> None:
    """Gone and draining servers stay so; one that the list starts anew counts by the later of both times."""
    of = director()
    news = of.listed(1, api.NodeList(False, (api.Node("a0", NodeState.GONE, 0),)))
    assert [(n.node, n.state) for n in news.nodes] == [("a0", NodeState.GONE)]
    news = of.listed(2, api.NodeList(False, (api.Node("a1", NodeState.DRAINING, 1, room="a"),)))
    assert [(n.node, n.state) for n in news.nodes] == [("a1", NodeState.DRAINING)]
    assert "a0" not in of.told
    of.rooms.back["b0"] = 5 * SECOND
    again = api.Node("b0", NodeState.UP, 0, 4 * SECOND, room="b")
    news = of.listed(6 * SECOND, api.NodeList(False, (again,)))
    assert [n.started for n in news.nodes if n.node == "b0"] == [5 * SECOND]


def test_a_track_counts_silence_once() -> None:
    of = Track()
    of.sent(0, "a")
    assert not of.look(800_000, 700_000)  # one that is never answered is that request's own
    of.sent(1, "b")
    assert not of.look(600_000, 700_000)
    assert of.look(800_000, 700_000) and not of.look(900_000, 700_000)
    assert of.word(900_000, SECOND, 700_000) == "down"
    of.ended(950_000, "a", Met.ANSWERED)
    assert of.word(960_000, SECOND, 700_000) == "up"
    assert math.isfinite(log_odds(["up"] * 100, RULES))
