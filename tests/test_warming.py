"""A chunk server after its start: what it has, and what all fronts together send it."""

import math

import pytest

from benchmarks.cold_ramp import play
from tests.helpers import settings
from umberlead.core.interface import Node, NodeState, Settings
from umberlead.recovery.warming import SERVED, Asked, most, rest, warm

COLD = {"cold_units": 14.0, "cold_share": 0.17, "cold_multiple": 4.0, "cold_window": 3_000_000}
S = settings(**COLD, warm_up=16_000_000)
START = 1_000_000_000


def _node(started: int = START) -> Node:
    return Node("n", NodeState.UP, 0, started)


def test_capacity_grows_evenly_from_the_cold_share_and_is_whole_for_who_started_long_ago() -> None:
    assert warm(S, _node(), START) == pytest.approx(0.17)
    assert warm(S, _node(), START + 8_000_000) == pytest.approx(0.585)
    assert warm(S, _node(), START + 16_000_000) == warm(S, _node(0), START) == 1.0
    assert warm(S, _node(), START - 5_000_000) == pytest.approx(0.17)  # the lists' clock may be ahead
    assert warm(settings(), _node(), START) == 1.0  # where nothing is told of cold nodes


@pytest.mark.parametrize("age", [0, 4_000_000, 12_000_000])
@pytest.mark.parametrize("parts", [[1 / 40] * 40, [0.3, 0.3, 0.2, 0.1, 0.1], [1.0]])
def test_all_heads_together_ask_for_less_than_it_bears_and_no_more_than_it_serves(
    age: int, parts: list[float]
) -> None:
    """A node of 18 units a second at full power, as on zone+vast: at each age the heads' sum is at most nine
    tenths of what it can do, where the whole of what it bears would be one and a half times that."""
    now, full, least = START + age, 18.0, 1e-6
    rate = sum(least / (rest(S, _node(), now, least, SERVED * part) / 1e6) for part in parts)
    bears = 14.0 / 3 * warm(S, _node(), now) / 0.17
    assert rate == pytest.approx(SERVED * bears, rel=1e-4) and rate < full * warm(S, _node(), now)
    assert bears > full * warm(S, _node(), now)


def test_a_warm_node_rests_for_nobody_and_rests_add_up_as_it_warms() -> None:
    """Worked out at the pace of one moment, what two heads send after each other is not what one sends."""
    assert rest(S, _node(), START + 16_000_000, 6.0, 0.025) == 0.0
    first = rest(S, _node(), START, 1.5, 0.1)
    both = first + rest(S, _node(), START + first, 2.5, 0.1)
    assert both == pytest.approx(rest(S, _node(), START, 4.0, 0.1))
    assert rest(S, _node(), START + 1_000_000, 6.0, 1e-9) == 15_000_000  # no longer than until it is warm


@pytest.mark.parametrize("heads", [1, 5, 30, 200])
@pytest.mark.parametrize("units", [2.0, 14.0, 80.0, 400.0])
def test_the_most_leaves_room_for_chance_under_the_bound_and_starves_nobody(heads: int, units: float) -> None:
    of = settings(**(COLD | {"cold_units": units, "heads": heads, "warm_up": 16_000_000}))
    n, part = units / of.mean_units, most(of, _node(), START)
    evenly = part * n + 3 * math.sqrt(0.5 * heads + 0.1 * n)
    assert part == 1.0 or evenly < n + 2 * math.sqrt(n) + 2
    assert part >= 1.0 and (part > 1.0) == (heads == 1 or units / heads > 2.7)  # few heads, much to share


def _parts(of: Settings, *asked: dict[int, float]) -> list[float]:
    """All heads' sum, by shard."""
    made = []
    for units in asked:
        made.append(Asked())
        for shard, n in units.items():
            made[-1].add(shard, n)
    return [sum(a.part(of, shard) for a in made) for shard in range(of.shards)]


def test_parts_of_a_shard_that_all_ask_much_of_stay_near_one() -> None:
    of = settings(heads=10, shards=10)
    hot = {shard: 200.0 if shard == 3 else 30.0 for shard in range(10)}
    assert max(_parts(of, *[hot] * 10)) <= 1.5 + 1e-9  # their share over the even one is 4.3
    assert _parts(settings(heads=1, shards=4), {0: 50.0})[0] == 1.0
    assert _parts(settings(heads=4), {}, {}, {}, {}) == []
    fresh = Asked()
    assert fresh.part(of, 5) == pytest.approx(0.1) and fresh.part(of, -1) == 0.1  # nothing is known yet


def test_cold_servers_hold_under_the_sum_of_all_processes() -> None:
    """Real heads over emulated servers, as benchmarks/cold_ramp.py has them: two days of ten processes, on
    which 5 of 20 servers were sent more than the budget and chance, as serving gave all of it back."""
    got = play(10, 20)
    assert got.fell[1] == 0, got
    assert got.in_time > 0.4 * got.bearable, got
