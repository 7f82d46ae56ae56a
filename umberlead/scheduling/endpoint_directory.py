"""The endpoints of a front: the endpoint list, manual drains and the choice of endpoint for a request."""

import random
from collections.abc import Iterable
from dataclasses import dataclass, replace

from umberlead.scheduling.endpoint_state import EndpointContext, EndpointState, fleet_latency_average
from umberlead.scheduling.events import Endpoint, EndpointList, EndpointStatus, ManualDrain
from umberlead.scheduling.settings import Settings
from umberlead.scheduling.slow_start import available_capacity_ratio
from umberlead.scheduling.token_bucket import NEVER
from umberlead.scheduling.weighted_round_robin import SmoothWeightedRoundRobin

ANY_SHARD = -1  # shard number of new objects, which any endpoint may store
PRIOR_DEMAND_UNITS = 0.1  # demand counted for each shard in addition to its requests
MAX_TRAFFIC_SHARE = 1 / 3  # maximum share of a shard's traffic that a front assumes for itself


@dataclass(frozen=True, slots=True)
class Selection:
    """The endpoint selected for a request, and when the request may be sent there.

    Attributes:
        ready_at_us: the present time or later.
        endpoint_state: the endpoint; None if none can take the request until an event changes that.
    """

    ready_at_us: float
    endpoint_state: EndpointState | None


@dataclass(frozen=True, slots=True)
class EndedManualDrain:
    """A manual drain that ended before the endpoint list reported the endpoint's restart."""

    drained_us: int
    ended_us: int


class EndpointDirectory:
    """The endpoints of one front.

    Attributes:
        endpoints: endpoints by name.
        by_shard: names of each shard's endpoints, in the order in which they were listed first.
        manual_drains: endpoints that operators drained, with the time of the drain.
        demand_by_shard: units recently requested from each shard.
    """

    def __init__(self, settings: Settings, now_us: int, rng: random.Random) -> None:
        """Create a directory without endpoints."""
        self.endpoints: dict[str, EndpointState] = {}
        self.by_shard: dict[int, dict[str, None]] = {}
        self.manual_drains: dict[str, int] = {}
        self.demand_by_shard: dict[int, float] = {}
        self.process_share = 0.0  # this process's share of its front; 0: not known, counts as 1
        self._settings = settings
        self._rng = rng
        self._ended_manual_drains: dict[str, EndedManualDrain] = {}
        self._round_robin = SmoothWeightedRoundRobin()
        self._placement_weights: dict[str, float] = {}
        self._context = EndpointContext(settings, now_us, fleet_latency_average(now_us), self.traffic_share)

    def apply_list(self, endpoint_list: EndpointList, now_us: int) -> list[int]:
        """Apply an endpoint list; return the shards of its endpoints, each followed by ANY_SHARD.

        An endpoint with a later start time begins with a new state. An endpoint that is gone is dropped, so
        that the table does not grow when endpoints are replaced.
        """
        named = {endpoint.name: endpoint for endpoint in endpoint_list.endpoints}
        if endpoint_list.complete:
            for old in [state.endpoint for state in self.endpoints.values()]:
                gone = Endpoint(old.name, EndpointStatus.GONE, old.shard, old.started_us)
                named.setdefault(old.name, gone)
        changed_shards: list[int] = []
        for endpoint in named.values():
            if endpoint.status is EndpointStatus.GONE:
                self._remove(endpoint)
                continue
            self._update(self._with_drain_end_as_start(endpoint), now_us)
            changed_shards += (endpoint.shard, ANY_SHARD)
        return changed_shards

    def _remove(self, endpoint: Endpoint) -> None:
        state = self.endpoints.pop(endpoint.name, None)
        if state is not None:
            self.by_shard[state.endpoint.shard].pop(endpoint.name)
            state.endpoint = endpoint
        self._ended_manual_drains.pop(endpoint.name, None)

    def _with_drain_end_as_start(self, endpoint: Endpoint) -> Endpoint:
        """Use the end of a manual drain as the start time until the list reports the endpoint's restart."""
        ended_drain = self._ended_manual_drains.get(endpoint.name)
        if ended_drain is not None and endpoint.started_us < ended_drain.drained_us:
            return replace(endpoint, started_us=ended_drain.ended_us)
        return endpoint

    def _update(self, endpoint: Endpoint, now_us: int) -> None:
        state = self.endpoints.get(endpoint.name)
        if state is not None and endpoint.started_us <= state.endpoint.started_us:
            state.endpoint = endpoint
        else:
            self._add(endpoint, now_us)
        self.by_shard.setdefault(endpoint.shard, {})[endpoint.name] = None

    def _add(self, endpoint: Endpoint, now_us: int) -> None:
        jitter = self._rng.random()
        self.endpoints[endpoint.name] = EndpointState(endpoint, self._context, now_us, jitter)

    def apply_manual_drain(self, drain: ManualDrain, now_us: int) -> list[int]:
        """Begin or end a manual drain; return the shards that have an endpoint again.

        A drained endpoint gets no requests, whatever the list says. It is restarted during the drain and is
        cold afterwards. The list may report the restart late; until then the end of the drain counts as the
        start.
        """
        if drain.drained:
            self.manual_drains.setdefault(drain.endpoint, drain.at_us)
            return []
        drained_us = self.manual_drains.pop(drain.endpoint, None)
        state = self.endpoints.get(drain.endpoint)
        if drained_us is None or state is None:
            return []
        if state.endpoint.started_us < drained_us:
            self._ended_manual_drains[drain.endpoint] = EndedManualDrain(drained_us, now_us)
            self._add(replace(state.endpoint, started_us=now_us), now_us)
        return [state.endpoint.shard, ANY_SHARD]

    def accepts_new_requests(self, name: str) -> bool:
        """Return whether the present list and manual drains allow new requests to an endpoint."""
        state = self.endpoints.get(name)
        is_up = state is not None and state.endpoint.status is EndpointStatus.UP
        return is_up and name not in self.manual_drains

    def knows(self, name: str) -> bool:
        """Return whether an endpoint is listed or manually drained."""
        return name in self.endpoints or name in self.manual_drains

    def unavailable_count(self, now_us: int) -> int:
        """Return how many listed endpoints are manually drained or ejected."""
        return sum(
            name in self.manual_drains or state.ejected_until_us > now_us
            for name, state in self.endpoints.items()
        )

    def serves(self, shard: int) -> bool:
        """Return whether a shard has listed endpoints; a shard without may be one that a client made up."""
        return bool(self.by_shard.get(shard))

    def record_demand(self, shard: int, units: float) -> None:
        """Record a request of `units` to a shard; only needed if the number of shards is configured."""
        if 0 <= shard < self._settings.shard_count:
            self.demand_by_shard[shard] = self.demand_by_shard.get(shard, 0.0) + units

    def decay_demand(self) -> None:
        """Halve the recorded demand, and drop shards with at most `PRIOR_DEMAND_UNITS`."""
        self.demand_by_shard = {
            shard: units / 2 for shard, units in self.demand_by_shard.items() if units > PRIOR_DEMAND_UNITS
        }

    def traffic_share(self, shard: int) -> float:
        """Return this process's share, to 1, of a shard's traffic.

        The shard's part of this front's units is divided by an even part (1 / `shard_count`) and multiplied
        by the front's even share (1 / `front_count`), so in the mean of all shards the front has its even
        part. To a shard that it rarely uses the front sends less than its part, which leaves capacity to
        other fronts. Each process of a front has its share of the result.
        """
        settings = self._settings
        own_units = self.demand_by_shard.get(shard, 0.0) + PRIOR_DEMAND_UNITS
        known_units = sum(self.demand_by_shard.values())
        relative_share = 1.0
        if settings.shard_count > 0 <= shard:
            all_units = known_units + PRIOR_DEMAND_UNITS * settings.shard_count
            relative_share = own_units / all_units * settings.shard_count
        bounded_share = max(min(relative_share, MAX_TRAFFIC_SHARE * settings.front_count), 1.0)
        return bounded_share / settings.front_count * (self.process_share or 1.0)

    def select(self, shard: int, units: float, now_us: int) -> Selection:
        """Return the shard's endpoint that can take `units` first; among equals, the one that answers first.

        New objects thus avoid the busiest and slowest endpoints and leave them to reads, which have no other
        endpoint. Where the list gives weights, new objects are distributed by weight over the endpoints that
        can take them now.
        """
        states = self._candidates(shard)
        ranks = [
            (
                state.ready_at_us(now_us, units),
                state.is_outlier(now_us),
                state.relative_latency.read(now_us)
                * (state.units_in_flight + units)
                * state.endpoint.distance_factor
                / available_capacity_ratio(self._settings, state.endpoint, now_us),
                index,
            )
            for index, state in enumerate(states)
        ]
        self._placement_weights = {}
        if shard < 0 and any(state.endpoint.weight is not None for state in states):
            ready = [states[index] for ready_at_us, _, _, index in ranks if ready_at_us <= now_us]
            self._placement_weights = self._placement_weights_of(ready, now_us)
        if self._placement_weights:
            return Selection(now_us, self.endpoints[self._round_robin.select(self._placement_weights)])
        ready_at_us, _, _, index = min(ranks, default=(NEVER, False, 0.0, -1))
        if ready_at_us < NEVER:
            return Selection(ready_at_us, states[index])
        return Selection(NEVER, None)

    def _candidates(self, shard: int) -> list[EndpointState]:
        names: Iterable[str] = self.by_shard.get(shard, {}) if shard >= 0 else self.endpoints
        states = [self.endpoints[name] for name in names if name not in self.manual_drains]
        if shard >= 0:
            return states
        return [state for state in states if state.endpoint.weight != 0]

    @staticmethod
    def _placement_weights_of(ready: list[EndpointState], now_us: int) -> dict[str, float]:
        """Return the weights of `ready` endpoints without outliers, or of all if all are outliers."""
        endpoints = [state.endpoint for state in ready if not state.is_outlier(now_us)]
        endpoints = endpoints or [state.endpoint for state in ready]
        return {endpoint.name: 1.0 if endpoint.weight is None else endpoint.weight for endpoint in endpoints}

    def record_selection(self, endpoint_name: str) -> None:
        """Record that the request is sent to the endpoint that was selected last."""
        if self._placement_weights:
            self._round_robin.record_selection(endpoint_name, self._placement_weights)
