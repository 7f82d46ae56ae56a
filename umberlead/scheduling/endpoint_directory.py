"""The endpoints in force: the endpoint list, manual drains, and which endpoint a request goes to."""

import random
from collections.abc import Iterable
from dataclasses import dataclass, replace

from umberlead.scheduling.endpoint_state import EndpointContext, EndpointState, fleet_latency_average
from umberlead.scheduling.events import Endpoint, EndpointList, EndpointStatus, ManualDrain
from umberlead.scheduling.settings import Settings
from umberlead.scheduling.slow_start import available_capacity_ratio
from umberlead.scheduling.token_bucket import NEVER
from umberlead.scheduling.weighted_round_robin import SmoothWeightedRoundRobin

ANY_SHARD = -1  # of a new object, which any endpoint may take
PRIOR_DEMAND_UNITS = 0.1  # that count as asked of every shard before any request came
MAX_TRAFFIC_SHARE = 1 / 3  # of a shard, most that a front takes for its own


@dataclass(frozen=True, slots=True)
class Selection:
    """Where a request goes: the endpoint, and when it may be sent there.

    Attributes:
        ready_at_us: now or later.
        endpoint_state: None where no endpoint can take it before an event changes that.
    """

    ready_at_us: float
    endpoint_state: EndpointState | None


@dataclass(frozen=True, slots=True)
class ManualReturn:
    """A manual drain that was taken back before the list told of the endpoint's restart."""

    drained_us: int
    returned_us: int


class EndpointDirectory:
    """The endpoints of one front.

    Attributes:
        endpoints: by name.
        by_shard: the names of a shard's endpoints, in the order they came.
        manual_drains: endpoints that operators took out, and when.
        demand_by_shard: units asked of each shard lately.
    """

    def __init__(self, settings: Settings, now_us: int, rng: random.Random) -> None:
        """Begin without endpoints."""
        self.endpoints: dict[str, EndpointState] = {}
        self.by_shard: dict[int, dict[str, None]] = {}
        self.manual_drains: dict[str, int] = {}
        self.demand_by_shard: dict[int, float] = {}
        self.process_share = 0.0  # of the front, that this process has; 0: all of it
        self._settings = settings
        self._rng = rng
        self._manual_returns: dict[str, ManualReturn] = {}
        self._round_robin = SmoothWeightedRoundRobin()
        self._placement_weights: dict[str, float] = {}
        self._context = EndpointContext(settings, now_us, fleet_latency_average(now_us), self.traffic_share)

    def apply_list(self, endpoint_list: EndpointList, now_us: int) -> list[int]:
        """Take over an endpoint list; return the shards whose endpoints it names, ANY_SHARD behind each.

        An endpoint with a new start is a new one, and one that is gone is forgotten: where all are replaced
        again and again the table would grow.
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
            self._update(self._with_manual_return(endpoint), now_us)
            changed_shards += (endpoint.shard, ANY_SHARD)
        return changed_shards

    def _remove(self, endpoint: Endpoint) -> None:
        state = self.endpoints.pop(endpoint.name, None)
        if state is not None:
            self.by_shard[state.endpoint.shard].pop(endpoint.name)
            state.endpoint = endpoint
        self._manual_returns.pop(endpoint.name, None)

    def _with_manual_return(self, endpoint: Endpoint) -> Endpoint:
        """Count an endpoint as started when its drain ended, until the list tells of its restart."""
        returned = self._manual_returns.get(endpoint.name)
        if returned is not None and endpoint.started_us < returned.drained_us:
            return replace(endpoint, started_us=returned.returned_us)
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
        """Take an endpoint out, or put it back; return the shards that have an endpoint again.

        Drained, it gets nothing whatever the list says. It is restarted in that time and comes back cold,
        which the list may tell late: until it does, it counts as started when it was put back.
        """
        if drain.drained:
            self.manual_drains.setdefault(drain.endpoint, drain.at_us)
            return []
        drained_us = self.manual_drains.pop(drain.endpoint, None)
        state = self.endpoints.get(drain.endpoint)
        if drained_us is None or state is None:
            return []
        if state.endpoint.started_us < drained_us:
            self._manual_returns[drain.endpoint] = ManualReturn(drained_us, now_us)
            self._add(replace(state.endpoint, started_us=now_us), now_us)
        return [state.endpoint.shard, ANY_SHARD]

    def accepts_new_requests(self, name: str) -> bool:
        """Tell whether the list as it stands, and operators, let anything new begin at an endpoint."""
        state = self.endpoints.get(name)
        is_up = state is not None and state.endpoint.status is EndpointStatus.UP
        return is_up and name not in self.manual_drains

    def knows(self, name: str) -> bool:
        """Tell whether an endpoint is listed or drained by hand."""
        return name in self.endpoints or name in self.manual_drains

    def avoided_count(self, now_us: int) -> int:
        """Return how many listed endpoints are drained by hand or ejected."""
        return sum(
            name in self.manual_drains or state.ejected_until_us > now_us
            for name, state in self.endpoints.items()
        )

    def record_demand(self, shard: int, units: float) -> None:
        """Note that `units` are asked of a shard."""
        if shard >= 0:
            self.demand_by_shard[shard] = self.demand_by_shard.get(shard, 0.0) + units

    def decay_demand(self) -> None:
        """Halve what was asked, and forget shards of which next to nothing was."""
        self.demand_by_shard = {
            shard: units / 2 for shard, units in self.demand_by_shard.items() if units > PRIOR_DEMAND_UNITS
        }

    def traffic_share(self, shard: int) -> float:
        """Return this process's share, to 1, of a shard's traffic.

        It is the front's own share of units that go to the shard, over the even share, times the front's even
        part, so in the mean of all shards the front has its even part. Where it seldom asks it leaves its
        part to others. Each of two processes of a front has its share of that.
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
        """Return the shard's endpoint that can take `units` soonest; of those, where an answer comes soonest.

        So new objects leave the fullest and the slowest endpoints to reads, which can go nowhere else. Where
        the list gives weights, new objects go by these among the endpoints that can take them now.
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
            self._placement_weights = self._weights_of(ready, now_us)
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
    def _weights_of(ready: list[EndpointState], now_us: int) -> dict[str, float]:
        """Return weights of endpoints that can take a new object now; outliers only if all are."""
        endpoints = [state.endpoint for state in ready if not state.is_outlier(now_us)]
        endpoints = endpoints or [state.endpoint for state in ready]
        return {endpoint.name: 1.0 if endpoint.weight is None else endpoint.weight for endpoint in endpoints}

    def record_selection(self, endpoint_name: str) -> None:
        """Note that the endpoint selected last is sent the request."""
        if self._placement_weights:
            self._round_robin.record_selection(endpoint_name, self._placement_weights)
