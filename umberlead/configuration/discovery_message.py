"""Parses the JSON messages of discovery; the `known` table of a configuration has the same form."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from umberlead.configuration.errors import ConfigError
from umberlead.configuration.keys import Address, Keys
from umberlead.scheduling.events import Endpoint, EndpointStatus

ENDPOINT_STATUSES = {
    "ready": EndpointStatus.UP,
    "draining": EndpointStatus.DRAINING,
    "gone": EndpointStatus.GONE,
}


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """An endpoint in a message of discovery.

    Attributes:
        endpoint: The endpoint as the scheduler receives it.
        address: The address that it listens on; None only for an endpoint that is not ready.
    """

    endpoint: Endpoint
    address: Address | None


@dataclass(frozen=True, slots=True)
class DiscoveryMessage:
    """One message of discovery.

    Attributes:
        index: Discovery's number for this state of the list, to be sent with the next poll or watch.
        complete: Whether it lists all endpoints (a snapshot) or only those that changed.
        endpoints: The endpoints, in the message's order.
    """

    index: int
    complete: bool
    endpoints: tuple[ListedEndpoint, ...]


def parse_endpoint(value: Any, key: str) -> ListedEndpoint:
    """Return one entry of a message.

    Args:
        value: The parsed JSON of the entry.
        key: The entry's name in errors.

    Raises:
        ConfigError: The entry or one of its values is invalid.
    """
    if not isinstance(value, dict):
        raise ConfigError(key, "must be a table")
    keys = Keys(value, key)
    endpoint = Endpoint(
        name=keys.text("name"),
        status=keys.choice("status", ENDPOINT_STATUSES, "ready"),
        shard=keys.integer("group", -1, -1),
        started_us=keys.integer("since_ms", 0) * 1000,
        zone=keys.text("zone", ""),
    )
    if endpoint.status is not EndpointStatus.UP and keys.raw("address") is None:
        return ListedEndpoint(endpoint, None)
    return ListedEndpoint(endpoint, keys.address("address"))


def parse_discovery_message(
    value: Any, key: str = "discovery", on_bad_entry: Callable[[ConfigError], None] | None = None
) -> DiscoveryMessage:
    """Return a message of discovery.

    Args:
        value: The parsed JSON of the message.
        key: The message's name in errors.
        on_bad_entry: Called for each invalid entry; the valid entries are still used. Without it, the first
            invalid entry is an error.

    Raises:
        ConfigError: The message is invalid, or an entry is invalid and there is no `on_bad_entry`.
    """
    if not isinstance(value, dict):
        raise ConfigError(key, "must be a table")
    keys = Keys(value, key)
    endpoints = []
    for index, entry in enumerate(keys.items("endpoints")):
        try:
            endpoints.append(parse_endpoint(entry, f"{key}.endpoints.{index}"))
        except ConfigError as error:
            if on_bad_entry is None:
                raise
            on_bad_entry(error)
    return DiscoveryMessage(keys.integer("index", 0), keys.flag("snapshot", True), tuple(endpoints))
