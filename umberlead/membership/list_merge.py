"""Between the list in force and the parts of a front: what the engine and the pool are told of a change."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from umberlead import config
from umberlead.common.counters import Counters
from umberlead.membership.change_gate import Gate
from umberlead.membership.flap_damping import RETURN, Damping
from umberlead.membership.machine import Rules
from umberlead.membership.model import Change, Member, Server
from umberlead.membership.service import ListService, Unusable, Watched
from umberlead.scheduling import interface as api
from umberlead.scheduling.interface import NodeState

if TYPE_CHECKING:
    from umberlead.net.node_pool import Pool
    from umberlead.requests.lifecycle import Engine


class Parts(Protocol):
    """What of a front the lists are joined to."""

    conf: config.Config
    loop: asyncio.AbstractEventLoop
    clock: Callable[[], int]
    counters: Counters
    log: Any
    engine: "Engine"
    pool: "Pool"


def server_of(endpoint: config.Endpoint) -> Server:
    """What discovery tells."""
    node = endpoint.node
    return Server(node.node, endpoint.address, node.shard, node.state, node.room, started=node.started)


def node_of(member: Member, state: NodeState | None = None) -> api.Node:
    server = member.server
    return api.Node(
        member.id, state or server.state, server.shard, server.started, server.weight, server.units,
        room=server.room,
    )  # fmt: skip


def apply(change: Change, engine: "Engine", pool: "Pool") -> None:
    """All of a change in one turn of the loop: no request is decided on between its parts. Marks come first,
    so that a server out by hand is out when it comes in."""
    for node, out, at in change.marks:
        engine.by_hand(node, out, at)
    if pool.node_counts is None:
        pool.node_counts = {}
    live, left, gone = pool.node_counts, set[config.Address](), {m.id for m in change.went}
    moves: list[tuple[str, config.Address | None]] = [(m.id, None) for m in change.went]
    moves += [(m.id, m.server.address) for m in (*change.came, *(after for _, after in change.changed))]
    for node, new in moves:  # counted, not gathered anew: a turn costs what changed, not the list's length
        old = pool.addresses.pop(node, None)
        if new is None and node not in gone:  # what drains may come without an address: it keeps its own
            new = old
        if new is not None:
            pool.addresses[node] = new
            live[new] = live.get(new, 0) + 1
        if old is not None:
            live[old] -= 1
            left.add(old)
    left = {address for address in left if live[address] <= 0}
    for address in left:
        del live[address]
    pool.close_unlisted(left)
    nodes = [node_of(m, NodeState.GONE) for m in change.went]
    nodes += [node_of(m) for m in (*(after for _, after in change.changed), *change.came)]
    if nodes:
        engine.listed(api.NodeList(False, tuple(nodes)))


def start(of: config.Lists, front: Parts) -> ListService:
    """The watch, with its first list in force; ConfigError where there is none to begin with."""
    damping = Damping(of.half_life, of.suppress * RETURN, of.reuse * RETURN)
    longest = max(c.deadline for c in front.conf.settings.classes)
    rules = Rules(of.withdrawn_most, max(2 * longest, 60_000_000), damping)
    gate = Gate(of.gate, of.gate_budget) if of.gate is not None else None
    watched = Watched(of.main, of.snapshot, of.settle / 1e6, of.poll / 1e6, rules, gate)
    made = ListService(
        watched, front.conf.settings.shards, front.loop, front.clock, front.counters, front.log,
        lambda change: apply(change, front.engine, front.pool),
    )  # fmt: skip
    try:
        made.begin()
    except Unusable as fault:
        raise config.ConfigError("membership.list", str(fault)) from None
    made.open()
    return made
