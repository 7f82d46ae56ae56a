"""Connects the list in force to a front process: applies its changes to the lifecycle and the pool."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Any, Protocol

from umberlead import configuration
from umberlead.common.counters import Counters
from umberlead.common.supervision import Supervisor
from umberlead.membership.change_gate import ChangeGate
from umberlead.membership.flap_damping import RETURN_PENALTY_UNITS, FlapDampingSettings
from umberlead.membership.list_merge import Membership, MembershipSettings
from umberlead.membership.model import ActiveEndpoint, Address, EndpointSpec, MembershipChange
from umberlead.membership.service import NoUsableListError, WatchedListService, WatchedListSettings
from umberlead.scheduling.events import Endpoint, EndpointList, EndpointStatus
from umberlead.scheduling.settings import RequestClass

if TYPE_CHECKING:
    from umberlead.net.endpoint_pool import EndpointPool
    from umberlead.requests.lifecycle import RequestLifecycle

MIN_IDENTITY_RETENTION_US = 60_000_000
IDENTITY_RETENTION_TIMEOUTS_FACTOR = 2
MICROSECONDS_PER_SECOND = 1e6


class MembershipHost(Protocol):
    """The parts of a front process that the watched lists use."""

    config: configuration.Config
    loop: asyncio.AbstractEventLoop
    clock: Callable[[], int]
    counters: Counters
    log: Any
    lifecycle: "RequestLifecycle"
    pool: "EndpointPool"
    supervisor: Supervisor


def endpoint_from_discovery(listed: configuration.ListedEndpoint) -> EndpointSpec:
    """Convert an endpoint of a discovery update."""
    endpoint = listed.endpoint
    return EndpointSpec(
        name=endpoint.name,
        address=listed.address,
        shard=endpoint.shard,
        status=endpoint.status,
        zone=endpoint.zone,
        started_us=endpoint.started_us,
    )


def scheduler_endpoint(active: ActiveEndpoint, status: EndpointStatus | None = None) -> Endpoint:
    """Convert an endpoint in force for the scheduler, with `status` in place of its own if given."""
    endpoint = active.endpoint
    return Endpoint(
        active.id,
        status or endpoint.status,
        endpoint.shard,
        endpoint.started_us,
        endpoint.weight,
        endpoint.max_units,
        zone=endpoint.zone,
    )


def apply_change(change: MembershipChange, lifecycle: "RequestLifecycle", pool: "EndpointPool") -> None:
    """Apply a whole change in one event-loop callback, so that no request is scheduled in between.

    Manual drains are applied first, so that a drained endpoint is already drained when it is added.
    """
    for endpoint_id, drained, drained_us in change.manual_drains:
        lifecycle.set_manual_drain(endpoint_id, drained, drained_us)
    _update_pool(change, pool)
    endpoints = [scheduler_endpoint(active, EndpointStatus.GONE) for active in change.removed]
    endpoints += [scheduler_endpoint(after) for _, after in change.changed]
    endpoints += [scheduler_endpoint(active) for active in change.added]
    if endpoints:
        lifecycle.apply_endpoint_list(EndpointList(False, tuple(endpoints)))


def _address_changes(change: MembershipChange) -> Iterator[tuple[str, Address | None]]:
    """Yield ids with their new addresses; None for an id that was removed or has no address listed."""
    for active in change.removed:
        yield active.id, None
    for active in change.added:
        yield active.id, active.endpoint.address
    for _, after in change.changed:
        yield after.id, after.endpoint.address


def _update_pool(change: MembershipChange, pool: "EndpointPool") -> None:
    """Update the pool's addresses, and close the connections to addresses that are no longer listed.

    The pool counts the endpoints of each address, so the cost depends on the size of the change and not on
    the length of the list.
    """
    if pool.endpoint_counts is None:
        pool.endpoint_counts = {}
    counts = pool.endpoint_counts
    released: set[Address] = set()
    removed_ids = {active.id for active in change.removed}
    for endpoint_id, new_address in _address_changes(change):
        old_address = pool.addresses.pop(endpoint_id, None)
        if new_address is None and endpoint_id not in removed_ids:
            # A draining endpoint may be listed without an address: it keeps its current one.
            new_address = old_address
        if new_address is not None:
            pool.addresses[endpoint_id] = new_address
            counts[new_address] = counts.get(new_address, 0) + 1
        if old_address is not None:
            counts[old_address] -= 1
            released.add(old_address)
    unlisted = {address for address in released if counts[address] <= 0}
    for address in unlisted:
        del counts[address]
    pool.close_unlisted(unlisted)


def apply_all(membership: Membership, lifecycle: "RequestLifecycle", pool: "EndpointPool") -> None:
    """Apply the whole list in one event-loop callback, whatever part of an earlier change was applied."""
    active_endpoints = membership.active_endpoints
    for name, drained_us in membership.manual_drains.items():
        if name in active_endpoints:
            lifecycle.set_manual_drain(active_endpoints[name].id, True, drained_us)
    addresses: dict[str, Address] = {}
    for active in active_endpoints.values():
        address = active.endpoint.address or pool.addresses.get(active.id)
        if address is not None:
            addresses[active.id] = address
    unlisted = set(pool.addresses.values()) - set(addresses.values())
    pool.addresses.clear()
    pool.addresses.update(addresses)
    pool.endpoint_counts = dict(Counter(addresses.values()))
    pool.close_unlisted(unlisted)
    endpoints = tuple(scheduler_endpoint(active) for active in active_endpoints.values())
    lifecycle.apply_endpoint_list(EndpointList(True, endpoints))


def start_watched_lists(
    list_config: configuration.WatchedListConfig, host: MembershipHost
) -> WatchedListService:
    """Put the first list in force, and start watching its files.

    Raises:
        ConfigError: Neither the files nor the snapshot contain a usable list.
    """
    settings = host.config.settings
    service = WatchedListService(
        settings=_watched_list_settings(list_config, settings.classes),
        shard_count=settings.shard_count,
        loop=host.loop,
        clock=host.clock,
        counters=host.counters,
        log=host.log,
        apply_to_front=lambda change: apply_change(change, host.lifecycle, host.pool),
        supervisor=host.supervisor,
        resynchronize_front=lambda membership: apply_all(membership, host.lifecycle, host.pool),
    )
    try:
        service.load_first_list()
    except NoUsableListError as error:
        raise configuration.ConfigError("membership.list", str(error)) from None
    service.start_watching()
    return service


def _watched_list_settings(
    list_config: configuration.WatchedListConfig, classes: tuple[RequestClass, ...]
) -> WatchedListSettings:
    flap_damping = FlapDampingSettings(
        half_life_us=list_config.flap_half_life_us,
        suppress_threshold=list_config.flap_suppress_threshold * RETURN_PENALTY_UNITS,
        reuse_threshold=list_config.flap_reuse_threshold * RETURN_PENALTY_UNITS,
    )
    max_timeout_us = max(request_class.timeout_us for request_class in classes)
    retention_us = max(IDENTITY_RETENTION_TIMEOUTS_FACTOR * max_timeout_us, MIN_IDENTITY_RETENTION_US)
    gate = None
    if list_config.gate_suite_path is not None:
        gate = ChangeGate(list_config.gate_suite_path, list_config.gate_timeout_seconds)
    return WatchedListSettings(
        main_path=list_config.main_path,
        snapshot_path=list_config.snapshot_path,
        settle_seconds=list_config.settle_us / MICROSECONDS_PER_SECOND,
        poll_interval_seconds=list_config.poll_interval_us / MICROSECONDS_PER_SECOND,
        membership=MembershipSettings(list_config.max_withdrawn_ratio, retention_us, flap_damping),
        gate=gate,
    )
