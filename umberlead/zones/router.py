"""Routing by zone: how the scheduler sees each endpoint, and which requests are admitted.

No I/O; times are in us. The scheduler knows nothing of zones. It gets the endpoints of a zone that is down as
draining, those of a degraded zone or a further tier with a higher cost, and recovered ones as just started,
so that slow start applies.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from umberlead.requests.types import IncomingRequest
from umberlead.scheduling.events import AttemptResult, Endpoint, EndpointList, EndpointStatus
from umberlead.scheduling.settings import Repeatability, Settings
from umberlead.zones.model import (
    MICROSECONDS_PER_S,
    Contact,
    ZoneMember,
    ZoneSettings,
    ZoneState,
    ZoneTransition,
    tier_of_zone,
)
from umberlead.zones.spillover import SpilloverBudget
from umberlead.zones.zone_health import EVACUATE, FORBID_SPILLOVER, ZoneHealth

# A request may be a trial as soon as one is due if its latency objective is so many connect timeouts.
TRIAL_CONNECT_TIMEOUTS_COUNT = 3
DEFAULT_CONNECT_TIMEOUT_US = 250_000
DEFAULT_USUAL_UNITS_PER_SECOND_RATE = 20.0  # of all plans together, if none has a usual rate
TRIAL_DISTANCE_FACTOR = 1e-6  # cost of an endpoint that is open for a trial, so low that it is always chosen
DEGRADED_DISTANCE_FACTOR = 4.0  # factor by which an answer from a degraded zone costs more
CONTACT_BY_RESULT = {
    AttemptResult.OK: Contact.ANSWERED,
    AttemptResult.ERROR: Contact.ANSWERED,
    AttemptResult.REJECTED: Contact.ANSWERED,
    AttemptResult.NOT_SENT: Contact.INCONCLUSIVE,
    AttemptResult.CONNECT_FAILED: Contact.BROKEN,
    AttemptResult.RESET: Contact.BROKEN,
    AttemptResult.TIMEOUT: Contact.BROKEN,
    AttemptResult.CANCELLED: Contact.INCONCLUSIVE,
}


@dataclass(frozen=True, slots=True)
class ZoneRejection:
    """A request is to be rejected at once.

    Attributes:
        reason: The text for the client and the log.
        retry_after_us: The delay after which the client should retry.
    """

    reason: str
    retry_after_us: int


@dataclass(frozen=True, slots=True)
class ZoneAdmission:
    """A request is passed to the scheduler.

    Attributes:
        is_spillover: Whether it counts against the spillover budget.
        trial_endpoint: The endpoint that the request tries if it is a trial of a zone that is down.
    """

    is_spillover: bool = False
    trial_endpoint: str | None = None


def _ignore_transition(transition: ZoneTransition) -> None:
    """Drop a transition while no callback is set."""


class ZoneRouter:
    """Routing by zone, spillover and trials of one front.

    Attributes:
        zone_health: The states of the zones.
        spillover_budget: The budget of requests that go to further zones.
        listed_endpoints: The endpoints as the endpoint list has them, by name.
        scheduler_endpoints: The endpoints as the scheduler has them, by name.
        by_shard: The names of the endpoints of each shard.
        open_for_trial: Endpoints of zones that are down, each open for one trial.
        spillover_requests: The ids of requests that count against the spillover budget.
        orphaned_shards: The zone of each shard whose last endpoint left the list while the zone was down.
        on_transition: Called with each change of a zone's state.
    """

    def __init__(self, zone_settings: ZoneSettings, settings: Settings, seed: int, now_us: int) -> None:
        """Start without endpoints; `seed` is the seed of the process's random numbers."""
        self.zone_settings = zone_settings
        self.settings = settings
        self.rng = random.Random(f"{seed}/director")
        self.zone_health = ZoneHealth(zone_settings, seed, now_us)
        self.classes = {request_class.name: request_class for request_class in settings.classes}
        usual_units_per_second = sum(plan.usual_units_per_second for plan in settings.plans)
        self.spillover_budget = SpilloverBudget(
            settings,
            (usual_units_per_second or DEFAULT_USUAL_UNITS_PER_SECOND_RATE)
            * zone_settings.spillover_rate_factor,
            now_us,
        )
        self.listed_endpoints: dict[str, Endpoint] = {}
        self.scheduler_endpoints: dict[str, Endpoint] = {}
        self.by_shard: dict[int, set[str]] = {}
        self.open_for_trial: set[str] = set()
        self.spillover_requests: set[str] = set()
        self.orphaned_shards: dict[int, str] = {}
        self.on_transition: Callable[[ZoneTransition], None] = _ignore_transition

    # The endpoint list

    def apply_endpoint_list(self, now_us: int, endpoint_list: EndpointList) -> EndpointList:
        """Apply an endpoint list or a change of it, and return what the scheduler gets instead.

        The result also has the endpoints that change as a consequence: other endpoints in a zone may change
        the state of the zone.
        """
        if endpoint_list.complete:
            names = {endpoint.name for endpoint in endpoint_list.endpoints}
            for name in set(self.listed_endpoints) - names:
                self._forget(name)
        removed: list[Endpoint] = []
        for endpoint in endpoint_list.endpoints:
            if endpoint.status is EndpointStatus.GONE:
                self._forget(endpoint.name)
                removed.append(endpoint)
            else:
                self._add(endpoint)
        self.zone_health.apply_endpoint_list(
            now_us,
            [
                ZoneMember(endpoint.name, endpoint.zone, endpoint.shard, endpoint.status, endpoint.started_us)
                for endpoint in self.listed_endpoints.values()
            ],
        )
        changed = self._update_scheduler_endpoints(now_us)
        if endpoint_list.complete:
            return EndpointList(True, tuple(self.scheduler_endpoints.values()))
        return EndpointList(False, (*removed, *changed))

    def _add(self, endpoint: Endpoint) -> None:
        self.orphaned_shards.pop(endpoint.shard, None)
        previous = self.listed_endpoints.get(endpoint.name)
        if previous is not None and previous.shard != endpoint.shard:
            self._forget(endpoint.name)
        self.listed_endpoints[endpoint.name] = endpoint
        self.by_shard.setdefault(endpoint.shard, set()).add(endpoint.name)

    def _forget(self, name: str) -> None:
        endpoint = self.listed_endpoints.pop(name, None)
        if endpoint is not None:
            remaining = self.by_shard.get(endpoint.shard, set())
            remaining.discard(name)
            if not remaining and self.zone_health.state(endpoint.zone) is ZoneState.DOWN:
                self.orphaned_shards[endpoint.shard] = endpoint.zone
        self.open_for_trial.discard(name)

    def _update_scheduler_endpoints(self, now_us: int) -> tuple[Endpoint, ...]:
        """Update `scheduler_endpoints`, and return those that have changed."""
        previous = self.scheduler_endpoints
        self.scheduler_endpoints = {
            name: self._endpoint_for_scheduler(now_us, endpoint)
            for name, endpoint in self.listed_endpoints.items()
        }
        return tuple(
            endpoint for name, endpoint in self.scheduler_endpoints.items() if previous.get(name) != endpoint
        )

    def _endpoint_for_scheduler(self, now_us: int, endpoint: Endpoint) -> Endpoint:
        """Return an endpoint with the status, cost and start time that the scheduler is to use."""
        settings = self.zone_settings
        member = self.zone_health.members.get(endpoint.name)
        if member is None:
            return endpoint
        zone = self.zone_health.zones[member.zone]
        state = self.zone_health.state(member.zone)
        tier = tier_of_zone(settings, member.zone)
        distance_factor = settings.distance_factor**tier
        if state is ZoneState.DEGRADED:
            distance_factor *= DEGRADED_DISTANCE_FACTOR
        if zone.override == FORBID_SPILLOVER and tier:
            return replace(endpoint, distance_factor=distance_factor, weight=0.0)
        recovered_at_us = self.zone_health.recovered_at_us.get(endpoint.name, 0)
        has_recovered = bool(recovered_at_us) and zone.override != EVACUATE
        if state is ZoneState.DOWN and not has_recovered:
            return self._endpoint_of_down_zone(endpoint, distance_factor)
        started_us = endpoint.started_us
        if recovered_at_us and now_us - recovered_at_us < settings.recovery_us:
            started_us = max(started_us, recovered_at_us)
        return replace(endpoint, distance_factor=distance_factor, started_us=started_us)

    def _endpoint_of_down_zone(self, endpoint: Endpoint, distance_factor: float) -> Endpoint:
        if endpoint.status is not EndpointStatus.UP:
            return endpoint
        if endpoint.name not in self.open_for_trial:
            return replace(
                endpoint, status=EndpointStatus.DRAINING, weight=0.0, distance_factor=distance_factor
            )
        # The next request goes to it, whichever other endpoint has capacity, and no further request does.
        return replace(
            endpoint,
            weight=0.0,
            distance_factor=TRIAL_DISTANCE_FACTOR,
            max_in_flight_units=self.settings.max_request_units,
        )

    def changed_endpoints(self, now_us: int) -> EndpointList | None:
        """Report transitions since the last call, and return changed endpoints for the scheduler, if any."""
        for transition in self.zone_health.take_transitions():
            self.on_transition(transition)
        changed = self._update_scheduler_endpoints(now_us)
        return EndpointList(False, changed) if changed else None

    # Requests

    def admit(self, now_us: int, request_id: str, request: IncomingRequest) -> ZoneRejection | ZoneAdmission:
        """Decide on a request before the scheduler gets it."""
        shard = request.shard
        names = self.by_shard.get(shard, set()) if shard >= 0 else set(self.listed_endpoints)
        up_names = self._up_names(sorted(names))
        if not up_names and shard in self.orphaned_shards:  # its endpoints may return with their zone
            return self._reject(self.orphaned_shards[shard], self.zone_settings.retry_after_us)
        if not up_names:
            return ZoneAdmission()  # the endpoint list itself has no endpoint that is up
        available_names = [name for name in up_names if self._is_available(name)]
        if not available_names:
            return self._admit_to_down_zone(now_us, up_names, request.class_name)
        if shard >= 0 and len(available_names) < len(up_names):
            trial_endpoint = self._start_trial(now_us, up_names, request.class_name)
            if trial_endpoint is not None:
                return ZoneAdmission(trial_endpoint=trial_endpoint)
        if not self._is_spillover(up_names, available_names):
            return ZoneAdmission()
        if self._admits_spillover(now_us, request):
            self.spillover_requests.add(request_id)
            return ZoneAdmission(is_spillover=True)
        retry_after_us = self.zone_settings.retry_after_us * self.rng.uniform(0.5, 1.5)
        return ZoneRejection("the rooms that are left have no more room for it", int(retry_after_us))

    def _admits_spillover(self, now_us: int, request: IncomingRequest) -> bool:
        mode = self.zone_settings.spillover_mode
        if mode != "learnt":
            return mode == "all"
        return self.spillover_budget.try_admit(
            now_us, request.volume, request.plan, request.volume_front_count, request.units
        )

    def _up_names(self, names: Iterable[str]) -> list[str]:
        return [name for name in names if self.listed_endpoints[name].status is EndpointStatus.UP]

    def _is_available(self, name: str) -> bool:
        is_up = self.scheduler_endpoints[name].status is EndpointStatus.UP
        return is_up and name not in self.open_for_trial

    def _admit_to_down_zone(
        self, now_us: int, names: list[str], class_name: str
    ) -> ZoneRejection | ZoneAdmission:
        """Decide on a request whose endpoints are all in zones that are down.

        An idempotent request may be a trial of one of them; otherwise the request is rejected at once.
        """
        trial_endpoint = self._start_trial(now_us, names, class_name)
        if trial_endpoint is not None:
            return ZoneAdmission(trial_endpoint=trial_endpoint)
        next_trial_us = min(self.zone_health.next_trial_delay_us(now_us, name) for name in names)
        return self._reject(self.zone_health.members[names[0]].zone, next_trial_us)

    def _reject(self, zone: str, retry_after_us: int) -> ZoneRejection:
        jitter_factor = self.rng.uniform(1.0, 2.0)
        min_retry_after_us = max(retry_after_us, self.zone_settings.retry_after_us)
        return ZoneRejection(f"room {zone or '-'} is lost", int(min_retry_after_us * jitter_factor))

    def _start_trial(self, now_us: int, names: list[str], class_name: str) -> str | None:
        """Open an endpoint of a zone that is down for a request, if it is idempotent and a trial is due."""
        request_class = self.classes[class_name]
        if request_class.repeatability is not Repeatability.IDEMPOTENT:
            return None
        # A failed trial costs a connect timeout. Requests with enough time for that are used as trials first,
        # others once a trial has been due for two intervals.
        connect_timeout_us = self.settings.connect_timeout_us or DEFAULT_CONNECT_TIMEOUT_US
        has_time = request_class.latency_objective_us >= TRIAL_CONNECT_TIMEOUTS_COUNT * connect_timeout_us
        min_overdue_us = 0 if has_time else 2 * self.zone_settings.trial_interval_us
        for name in names:
            is_down = self.zone_health.state(self.zone_health.members[name].zone) is ZoneState.DOWN
            if not is_down or name in self.zone_health.recovered_at_us:
                continue
            if self.zone_health.try_start_trial(now_us, name, min_overdue_us):
                self.open_for_trial.add(name)
                return name
        return None

    def _is_spillover(self, up_names: list[str], available_names: list[str]) -> bool:
        """Return whether the request goes to a further tier because the nearest one is down."""
        tier_by_name = {
            name: tier_of_zone(self.zone_settings, self.zone_health.members[name].zone) for name in up_names
        }
        nearest_tier = min(tier_by_name.values())
        nearest_is_down = any(
            tier_by_name[name] == nearest_tier and name not in available_names for name in up_names
        )
        return nearest_is_down and all(tier_by_name[name] > nearest_tier for name in available_names)

    def record_attempt(self, now_us: int, request: str, endpoint: str) -> bool:
        """Record an attempt that is sent; return whether it is a trial, which closes the endpoint again."""
        self.zone_health.record_attempt(now_us, endpoint, request)
        is_trial = endpoint in self.open_for_trial
        self.open_for_trial.discard(endpoint)
        return is_trial

    def record_outcome(
        self, now_us: int, request: str, endpoint: str, result: AttemptResult, elapsed_us: int
    ) -> None:
        """Record the end of an attempt."""
        self.zone_health.record_outcome(now_us, endpoint, request, CONTACT_BY_RESULT[result], elapsed_us)

    def record_answer(
        self, now_us: int, request: str, accepted_us: int, was_served: bool, class_name: str
    ) -> None:
        """Record the final answer to a request that was accepted at `accepted_us`."""
        if request not in self.spillover_requests:
            return
        self.spillover_requests.discard(request)
        objective_us = self.classes[class_name].latency_objective_us
        in_time_us = self.zone_settings.in_time_objective_ratio * objective_us
        self.spillover_budget.record_answer(now_us, was_served and now_us - accepted_us <= in_time_us)

    def tick(self, now_us: int) -> None:
        """Update what depends on time; to be called at least every 100 ms."""
        self.zone_health.tick(now_us)
        self.spillover_budget.adjust(now_us)
        if now_us % MICROSECONDS_PER_S < 100_000:  # once a second, close endpoints that got no trial
            self.open_for_trial.clear()

    def is_shard_down(self, shard: int) -> bool:
        """Return whether all endpoints of a shard are in zones that are down, so that waiting is useless."""
        up_names = self._up_names(self.by_shard.get(shard, ()))
        return bool(up_names) and not any(
            self.scheduler_endpoints[name].status is EndpointStatus.UP for name in up_names
        )
