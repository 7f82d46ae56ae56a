"""Descriptors: what is dealt out, and what happens when none is left."""

import errno
from pathlib import Path
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from tests.helpers import T0
from umberlead import limits
from umberlead.core.counters import Counters
from umberlead.net.attempts import NodeConnection, Pool
from umberlead.shared import Shared

# What is dealt


@given(st.integers(32, 100_000), st.integers(0, 64), st.integers(1, 2))
def test_all_descriptors_are_dealt_and_none_twice(sockets: int, held: int, fronts: int) -> None:
    of = limits.deal(sockets, 64 << 20, held, 20 << 20, fronts)
    clients, doors = (most + limits.surplus(most) for most in (of.clients, of.doors))
    least = held + limits.MORE + 4 + 2 * fronts
    assert held + limits.MORE + doors + fronts * clients + of.nodes == max(sockets, least)
    assert of.clients and of.doors and of.nodes >= limits.NODES_LEAST
    assert sockets < 128 or held > 16 or fronts * clients > sockets / 3


def test_where_the_cap_to_chunk_servers_comes_down_only_what_is_over_it_goes() -> None:
    """A slot is free a turn after its connection was closed: all that rested went."""
    pool = Pool(mock.Mock(), mock.Mock(), mock.Mock(), lambda: T0, Counters(), 6, 0, 1 << 40, "s", print)
    rest = [NodeConnection(pool, ("127.0.0.1", n)) for n in range(6)]
    for conn in rest:
        conn.slot, conn.transport = pool.slots.add(conn), mock.Mock()
        pool.rest(conn)
    pool.most = 4
    pool.sweep()
    assert [conn.closed for conn in rest] == [True] * 2 + [False] * 4


def test_without_a_descriptor_to_look_what_was_seen_of_the_others_stands(tmp_path: Path) -> None:
    """Chunk servers out by hand came back, and each of two processes took all limits for itself."""
    one, other = Shared(tmp_path), Shared(tmp_path)
    one.mark("n0", True)
    seen = one.others(), one.marks()
    for name in ("os.listdir", "builtins.open"):
        with mock.patch(name, side_effect=OSError(errno.EMFILE, "")):
            assert (one.others(), one.marks()) == seen
    other.leave()
    assert (one.others(), list(one.marks())) == (0, ["n0"])
    one.leave()
