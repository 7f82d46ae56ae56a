"""Between the list in force and the parts of a front: what the engine and the pool are told of a change."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from umberlead import config
from umberlead.common.counters import Counters
from umberlead.membership.change_gate import ChangeGate
from umberlead.membership.flap_damping import RETURN_PENALTY_UNITS, FlapDampingSettings
from umberlead.membership.machine import MembershipSettings
from umberlead.membership.model import ActiveEndpoint, EndpointSpec, MembershipChange
from umberlead.membership.service import NoUsableListError, WatchedListService, WatchedListSettings
from umberlead.scheduling.events import Endpoint, EndpointList, EndpointStatus

if TYPE_CHECKING:
    from umberlead.net.endpoint_pool import EndpointPool
    from umberlead.requests.lifecycle import RequestLifecycle


class MembershipHost(Protocol):
    """What of a front the lists are joined to."""

    config: config.Config
    loop: asyncio.AbstractEventLoop
    clock: Callable[[], int]
    counters: Counters
    log: Any
    lifecycle: "RequestLifecycle"
    pool: "EndpointPool"


def endpoint_from_discovery(endpoint: config.ListedEndpoint) -> EndpointSpec:
    """What discovery tells."""
    node = endpoint.endpoint
    return EndpointSpec(
        node.name, endpoint.address, node.shard, node.status, node.zone, started=node.started_us
    )


def scheduler_endpoint(member: ActiveEndpoint, state: EndpointStatus | None = None) -> Endpoint:
    server = member.endpoint
    return Endpoint(
        member.id,
        state or server.state,
        server.shard,
        server.started,
        server.weight,
        server.units,
        zone=server.room,
    )


def apply_change(change: MembershipChange, engine: "RequestLifecycle", pool: "EndpointPool") -> None:
    """All of a change in one turn of the loop: no request is decided on between its parts. Marks come first,
    so that a server out by hand is out when it comes in."""
    for node, out, at in change.manual_drains:
        engine.set_manual_drain(node, out, at)
    if pool.endpoint_counts is None:
        pool.endpoint_counts = {}
    live, left, gone = pool.endpoint_counts, set[config.Address](), {m.id for m in change.removed}
    moves: list[tuple[str, config.Address | None]] = [(m.id, None) for m in change.removed]
    moves += [(m.id, m.endpoint.address) for m in (*change.added, *(after for _, after in change.changed))]
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
    nodes = [scheduler_endpoint(m, EndpointStatus.GONE) for m in change.removed]
    nodes += [scheduler_endpoint(m) for m in (*(after for _, after in change.changed), *change.added)]
    if nodes:
        engine.apply_endpoint_list(EndpointList(False, tuple(nodes)))


def start_watched_lists(of: config.WatchedListConfig, front: MembershipHost) -> WatchedListService:
    """The watch, with its first list in force; ConfigError where there is none to begin with."""
    damping = FlapDampingSettings(
        of.flap_half_life_us,
        of.flap_suppress_threshold * RETURN_PENALTY_UNITS,
        of.flap_reuse_threshold * RETURN_PENALTY_UNITS,
    )
    longest = max(c.timeout_us for c in front.config.settings.classes)
    rules = MembershipSettings(of.max_withdrawn_ratio, max(2 * longest, 60_000_000), damping)
    gate = ChangeGate(of.gate_suite_path, of.gate_timeout_seconds) if of.gate_suite_path is not None else None
    watched = WatchedListSettings(
        of.manifest_path, of.snapshot_path, of.settle_us / 1e6, of.poll_interval_us / 1e6, rules, gate
    )
    made = WatchedListService(
        watched,
        front.config.settings.shard_count,
        front.loop,
        front.clock,
        front.counters,
        front.log,
        lambda change: apply_change(change, front.lifecycle, front.pool),
    )
    try:
        made.load_first_list()
    except NoUsableListError as fault:
        raise config.ConfigError("membership.list", str(fault)) from None
    made.start_watching()
    return made
