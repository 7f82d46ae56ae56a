"""From what is held of rooms to what the decision module is told of each server, and to what a request gets
before it reaches the module. Pure, times in us.

The module knows nothing of rooms: a lost room's servers stand there as draining, a grey one's and a further
one's as dearer in each choice, a returning one's as just started, so that it is fed as any cold server
is."""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace

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
from umberlead.zones.zone_health import ZoneHealth

PATIENT_CONNECT_TIMEOUTS_COUNT = 3  # times the link time-out that an aim must leave
TRIAL_DISTANCE_FACTOR = 1e-6  # how dear an answer of one counts that is tried
DEGRADED_DISTANCE_FACTOR = 4.0  # how much dearer an answer of a grey room counts
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
    """At once, and when to come back (us)."""

    reason: str
    retry_after_us: int


@dataclass(frozen=True, slots=True)
class ZoneAdmission:
    """A request that goes on; `spill` where it counts against the budget, `trial` the lost server it
    tries."""

    is_spillover: bool = False
    trial_endpoint: str = ""


class ZoneRouter:
    """One front's rooms, its spill and its trials."""

    def __init__(self, zone_settings: ZoneSettings, settings: Settings, seed: int, now_us: int) -> None:
        self.zone_settings, self.settings = zone_settings, settings
        self.rng = random.Random(f"{seed}/director")
        self.zone_health = ZoneHealth(zone_settings, seed, now_us)
        self.classes = {request_class.name: request_class for request_class in settings.classes}
        planned_units_per_second = sum(plan.usual_units_per_second for plan in settings.plans) or 20.0
        self.spillover_budget = SpilloverBudget(
            settings, planned_units_per_second * zone_settings.spillover_rate_factor, now_us
        )
        self.listed_endpoints: dict[str, Endpoint] = {}  # as the list has them
        self.scheduler_endpoints: dict[str, Endpoint] = {}  # as the module has them
        self.by_shard: dict[int, set[str]] = {}
        self.open_for_trial: set[str] = set()  # lost servers that stand open for one trial
        self.spillover_requests: set[str] = set()  # requests that count against the budget
        self.orphaned_shards: dict[
            int, str
        ] = {}  # shards whose last server left the list out of a lost room, and that room
        self.on_transition: Callable[[ZoneTransition], None] = lambda verdict: None

    # The list

    def apply_endpoint_list(self, now_us: int, endpoint_list: EndpointList) -> EndpointList:
        """What the module is told in place of `news`. The whole of what changes with it comes along: rooms
        may stand otherwise with other servers in them."""
        if endpoint_list.complete:
            removed_names = set(self.listed_endpoints) - {
                endpoint.name for endpoint in endpoint_list.endpoints
            }
            for name in removed_names:
                self._forget(name)
        for endpoint in endpoint_list.endpoints:
            if endpoint.status is EndpointStatus.GONE:
                self._forget(endpoint.name)
                continue
            self.orphaned_shards.pop(endpoint.shard, None)
            previous = self.listed_endpoints.get(endpoint.name)
            if previous is not None and previous.shard != endpoint.shard:
                self._forget(endpoint.name)
            self.listed_endpoints[endpoint.name] = endpoint
            self.by_shard.setdefault(endpoint.shard, set()).add(endpoint.name)
        self.zone_health.apply_endpoint_list(
            now_us,
            [
                ZoneMember(endpoint.name, endpoint.zone, endpoint.shard, endpoint.status, endpoint.started_us)
                for endpoint in self.listed_endpoints.values()
            ],
        )
        removed_endpoints = tuple(
            endpoint for endpoint in endpoint_list.endpoints if endpoint.status is EndpointStatus.GONE
        )
        scheduler_endpoints = {
            endpoint.name: self._endpoint_for_scheduler(now_us, endpoint)
            for endpoint in self.listed_endpoints.values()
        }
        changed = tuple(
            endpoint
            for name, endpoint in scheduler_endpoints.items()
            if self.scheduler_endpoints.get(name) != endpoint
        )
        self.scheduler_endpoints = scheduler_endpoints
        return EndpointList(
            endpoint_list.complete,
            tuple(scheduler_endpoints.values()) if endpoint_list.complete else (*removed_endpoints, *changed),
        )

    def _forget(self, name: str) -> None:
        endpoint = self.listed_endpoints.pop(name, None)
        if endpoint is not None:
            remaining = self.by_shard.get(endpoint.shard, set())
            remaining.discard(name)
            if not remaining and self.zone_health.state(endpoint.zone) is ZoneState.DOWN:
                self.orphaned_shards[endpoint.shard] = endpoint.zone
        self.open_for_trial.discard(name)

    def _endpoint_for_scheduler(self, now_us: int, endpoint: Endpoint) -> Endpoint:
        """One server as the module is to see it."""
        member = self.zone_health.members.get(endpoint.name)
        if member is None:
            return endpoint
        zone = self.zone_health.zones[member.zone]
        state = self.zone_health.state(member.zone)
        distance_factor = self.zone_settings.distance_factor ** tier_of_zone(self.zone_settings, member.zone)
        if state is ZoneState.DEGRADED:
            distance_factor *= DEGRADED_DISTANCE_FACTOR
        if zone.override == "forbid" and tier_of_zone(self.zone_settings, member.zone):
            return replace(endpoint, distance_factor=distance_factor, weight=0.0)
        recovered_at_us = self.zone_health.recovered_at_us.get(endpoint.name, 0)
        if state is ZoneState.DOWN and not (recovered_at_us and zone.override != "evacuate"):
            status = EndpointStatus.UP if endpoint.name in self.open_for_trial else EndpointStatus.DRAINING
            if endpoint.status is EndpointStatus.UP:
                if (
                    status is EndpointStatus.UP
                ):  # the next request takes it, whoever else is free, and no further one
                    return replace(
                        endpoint,
                        weight=0.0,
                        distance_factor=TRIAL_DISTANCE_FACTOR,
                        max_in_flight_units=self.settings.max_request_units,
                    )
                return replace(endpoint, status=status, weight=0.0, distance_factor=distance_factor)
            return endpoint
        if recovered_at_us and now_us - recovered_at_us < self.zone_settings.recovery_us:
            return replace(
                endpoint,
                distance_factor=distance_factor,
                started_us=max(endpoint.started_us, recovered_at_us),
            )
        return replace(endpoint, distance_factor=distance_factor)

    def changed_endpoints(self, now_us: int) -> EndpointList | None:
        """What the module must be told anew since the last call, and the verdicts to the log."""
        for transition in self.zone_health.take_transitions():
            self.on_transition(transition)
        scheduler_endpoints = {
            name: self._endpoint_for_scheduler(now_us, endpoint)
            for name, endpoint in self.listed_endpoints.items()
        }
        changed = tuple(
            endpoint
            for name, endpoint in scheduler_endpoints.items()
            if self.scheduler_endpoints.get(name) != endpoint
        )
        self.scheduler_endpoints = scheduler_endpoints
        return EndpointList(False, changed) if changed else None

    # Requests

    def admit(
        self,
        now_us: int,
        request: str,
        class_name: str,
        plan: str,
        volume: str,
        volume_front_count: int,
        shard: int,
        units: float,
    ) -> ZoneRejection | ZoneAdmission:
        """What a request gets before the module sees it."""
        names = self.by_shard.get(shard, set()) if shard >= 0 else set(self.listed_endpoints)
        up_names = [name for name in sorted(names) if self.listed_endpoints[name].status is EndpointStatus.UP]
        if not up_names and shard in self.orphaned_shards:  # it comes back with its room
            return self._reject(self.orphaned_shards[shard], self.zone_settings.retry_after_us)
        if not up_names:
            return ZoneAdmission()  # the list's own doing: the module has its own way with that
        available_names = [
            name
            for name in up_names
            if self.scheduler_endpoints[name].status is EndpointStatus.UP and name not in self.open_for_trial
        ]
        if not available_names:
            return self._admit_to_down_zone(now_us, up_names, class_name)
        if (
            shard >= 0
            and len(available_names) < len(up_names)
            and (trial_endpoint := self._start_trial(now_us, up_names, class_name))
        ):
            return ZoneAdmission(trial_endpoint=trial_endpoint)
        if not self._is_spillover(up_names, available_names):
            return ZoneAdmission()
        mode = self.zone_settings.spillover_mode
        if mode == "all" or (
            mode == "learnt"
            and self.spillover_budget.try_admit(now_us, volume, plan, volume_front_count, units)
        ):
            self.spillover_requests.add(request)
            return ZoneAdmission(is_spillover=True)
        retry_after_us = self.zone_settings.retry_after_us * self.rng.uniform(0.5, 1.5)
        return ZoneRejection("the rooms that are left have no more room for it", int(retry_after_us))

    def _admit_to_down_zone(
        self, now_us: int, names: list[str], class_name: str
    ) -> ZoneRejection | ZoneAdmission:
        """Every server that has it is in a lost room. Such a request may be the trial that finds it back, if
        it may be repeated; else it is refused at once."""
        if trial_endpoint := self._start_trial(now_us, names, class_name):
            return ZoneAdmission(trial_endpoint=trial_endpoint)
        next_trial_us = min(self.zone_health.next_trial_delay_us(now_us, name) for name in names)
        return self._reject(self.zone_health.members[names[0]].zone, next_trial_us)

    def _reject(self, zone: str, retry_after_us: int) -> ZoneRejection:
        jitter_factor = self.rng.uniform(1.0, 2.0)
        return ZoneRejection(
            f"room {zone or '-'} is lost",
            int(max(retry_after_us, self.zone_settings.retry_after_us) * jitter_factor),
        )

    def _start_trial(self, now_us: int, names: list[str], class_name: str) -> str:
        """A lost server that this request may find back, if it may be repeated; it stands open for it
        alone."""
        request_class = self.classes[class_name]
        if request_class.repeatability is not Repeatability.IDEMPOTENT:
            return ""
        # A trial that finds nobody costs a dial's time: requests that bear it go first, others after two
        # turns more.
        has_time_for_failed_connect = request_class.latency_objective_us >= PATIENT_CONNECT_TIMEOUTS_COUNT * (
            self.settings.connect_timeout_us or 250_000
        )
        min_overdue_us = 0 if has_time_for_failed_connect else 2 * self.zone_settings.trial_interval_us
        for name in names:
            is_down = self.zone_health.state(self.zone_health.members[name].zone) is ZoneState.DOWN
            if (
                is_down
                and name not in self.zone_health.recovered_at_us
                and self.zone_health.try_start_trial(now_us, name, min_overdue_us)
            ):
                self.open_for_trial.add(name)
                return name
        return ""

    def _is_spillover(self, up_names: list[str], available_names: list[str]) -> bool:
        """Whether a nearer tier, well, would have taken it."""
        tier_by_name = {
            name: tier_of_zone(self.zone_settings, self.zone_health.members[name].zone) for name in up_names
        }
        nearest_tier = min(tier_by_name.values())
        nearest_is_down = any(
            tier_by_name[name] == nearest_tier and name not in available_names for name in up_names
        )
        return nearest_is_down and all(tier_by_name[name] > nearest_tier for name in available_names)

    def record_attempt(self, now_us: int, request: str, endpoint: str) -> bool:
        """An attempt has gone out; True where it was a trial, whose server is to be shut again."""
        self.zone_health.record_attempt(now_us, endpoint, request)
        is_trial = endpoint in self.open_for_trial
        self.open_for_trial.discard(endpoint)
        return is_trial

    def record_outcome(
        self,
        now_us: int,
        request: str,
        endpoint: str,
        result: AttemptResult,
        elapsed_us: int,
        class_name: str,
        misdirected: bool,
    ) -> None:
        """An attempt's outcome."""
        contact = Contact.ANSWERED if misdirected else CONTACT_BY_RESULT[result]
        self.zone_health.record_outcome(now_us, endpoint, request, contact, elapsed_us)

    def record_answer(
        self, now_us: int, request: str, accepted_us: int, was_served: bool, class_name: str
    ) -> None:
        """A request's final answer; `began` is when it was taken."""
        if request in self.spillover_requests:
            self.spillover_requests.discard(request)
            self.spillover_budget.record_answer(
                now_us,
                was_served
                and now_us - accepted_us
                <= self.zone_settings.in_time_objective_ratio * self.classes[class_name].latency_objective_us,
            )

    def tick(self, now_us: int) -> None:
        """At least every 100 ms."""
        self.zone_health.tick(now_us)
        self.spillover_budget.adjust(now_us)
        if now_us % MICROSECONDS_PER_S < 100_000:  # a trial that found no taker leaves its server shut
            self.open_for_trial.clear()

    def is_shard_down(self, shard: int) -> bool:
        """Whether all that hold a shard are in lost rooms: what waits for them is better told so now."""
        up_names = [
            name
            for name in self.by_shard.get(shard, ())
            if self.listed_endpoints[name].status is EndpointStatus.UP
        ]
        return bool(up_names) and all(
            self.scheduler_endpoints[name].status is not EndpointStatus.UP for name in up_names
        )
