"""The list in force as plain values for the admin API's JSON."""

from typing import Any

from umberlead.membership.list_merge import Membership
from umberlead.membership.model import ActiveEndpoint
from umberlead.membership.pending_list import SHOWN_DIGEST_SIZE, PendingList
from umberlead.scheduling.events import EndpointStatus

MICROSECONDS_PER_SECOND = 1e6

JsonObject = dict[str, Any]


def _age_seconds(now_us: int, since_us: int) -> float:
    return round((now_us - since_us) / MICROSECONDS_PER_SECOND, 3)


def list_status(membership: Membership, now_us: int, is_polling: bool) -> JsonObject:
    """Return the status of the list in force, the pending list and the problems of the files.

    Args:
        membership: The list in force.
        now_us: The time.
        is_polling: Whether the files are watched only by polling.
    """
    file_list = membership.file_list
    endpoints = list(membership.active_endpoints.values())
    status: JsonObject = {
        "generation": membership.generation,
        "origin": membership.file_list_origin,
        "version": file_list.version if file_list else None,
        "digest": file_list.digest if file_list else None,
        "age_s": _age_seconds(now_us, membership.file_list_changed_us),
        "servers": len(endpoints),
        "ready": sum(active.endpoint.status is EndpointStatus.UP for active in endpoints),
        "held_for_flapping": sorted(active.id for active in endpoints if active.suppressed),
        "out_by_hand": sorted(membership.manual_drains),
        "polling": is_polling,
        "complaint": [problem.to_json_row() for problem in membership.rejection_problems],
    }
    if membership.pending is not None:
        status["pending"] = _pending_status(membership.pending, now_us)
    return status


def _pending_status(pending: PendingList, now_us: int) -> JsonObject:
    return {
        "confirm": pending.checked_list.digest[:SHOWN_DIGEST_SIZE],
        "version": pending.checked_list.version,
        "age_s": _age_seconds(now_us, pending.since_us),
        "came": len(pending.delta.added),
        "went": len(pending.delta.removed),
        "changed": len(pending.delta.changed),
    }


def endpoint_rows(membership: Membership) -> list[JsonObject]:
    """Return the endpoints in force, sorted by name."""
    return [
        _endpoint_row(name, active, name in membership.manual_drains)
        for name, active in sorted(membership.active_endpoints.items())
    ]


def _endpoint_row(name: str, active: ActiveEndpoint, drained: bool) -> JsonObject:
    endpoint = active.endpoint
    address = endpoint.address
    return {
        "name": name,
        "id": active.id,
        "shard": endpoint.shard,
        "room": endpoint.zone,
        "weight": endpoint.weight,
        "address": f"{address[0]}:{address[1]}" if address else None,
        "state": "draining" if endpoint.status is not EndpointStatus.UP else "ready",
        "source": active.source.name.lower(),
        "held": active.suppressed,
        "by_hand": drained,
    }
