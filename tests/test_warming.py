"""A chunk server after its start: what it has, and what all fronts together ask of it."""

import pytest

from benchmarks.cold_ramp import play
from tests.helpers import settings
from umberlead.scheduling.interface import Node, NodeState
from umberlead.scheduling.slow_start import SERVED, rest, warm

S = settings(cold_units=14.0, cold_share=0.17, cold_multiple=4.0, cold_window=3_000_000, warm_up=16_000_000)
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
    now, full = START + age, 18.0
    rate = sum(1 / (rest(S, _node(), now, 1.0, part) / 1e6) for part in parts)
    bears = 14.0 / 3 * warm(S, _node(), now) / 0.17
    assert rate == pytest.approx(SERVED * bears) and rate < full * warm(S, _node(), now)
    assert bears > full * warm(S, _node(), now)


def test_a_warm_node_rests_for_nobody_and_units_add_up() -> None:
    assert rest(S, _node(), START + 16_000_000, 6.0, 0.025) == 0.0
    assert rest(S, _node(), START, 6.0, 0.1) == pytest.approx(6 * rest(S, _node(), START, 1.0, 0.1))


def test_cold_servers_hold_under_the_sum_of_all_processes() -> None:
    """Real heads over emulated servers, as benchmarks/cold_ramp.py has them: two days of ten processes, on
    which 5 of 20 servers were sent more than the budget and chance, as serving gave all of it back."""
    got = play(10, 20)
    assert got.fell[1] == 0, got
    assert got.in_time > 0.4 * got.bearable, got
