"""Connects a zone router to a request lifecycle, and reports the status of zones to operators.

No I/O; the owner provides the clock and calls `tick` every `TICK_US`.
"""

import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from umberlead import configuration
from umberlead.requests.bulk import cancel_attempts, reject_waiting
from umberlead.requests.lifecycle import RequestLifecycle
from umberlead.requests.types import Answer, AnswerKind, Attempt, InFlightRequest, Rejection, RequestHooks
from umberlead.scheduling.events import AttemptResult, EndpointList
from umberlead.scheduling.settings import Settings
from umberlead.zones.model import Reachability, ZoneMember, ZoneSettings, ZoneState, ZoneTransition
from umberlead.zones.router import ZoneRejection, ZoneRouter
from umberlead.zones.zone_health import EVACUATE, ZoneRecord

TICK_US = 100_000
RETRY_BUDGET_WINDOW_US = 10_000_000
MIN_RETRIES_COUNT = 10  # retries that are allowed within the window whatever the retry budget's ratio


def zone_settings(zone_config: configuration.ZoneConfig) -> ZoneSettings:
    """Return the zone settings for the zones of an operator's file."""
    return ZoneSettings(
        own_zone=zone_config.own_zone,
        tier_by_zone={name: tier for tier, name in enumerate(zone_config.nearby_zones, 1)},
        silence_timeout_us=zone_config.silence_timeout_us,
        evidence_window_us=zone_config.evidence_window_us,
        min_down_us=zone_config.min_down_us,
        max_down_us=zone_config.max_down_us,
        trial_interval_us=zone_config.trial_interval_us,
        recovery_us=zone_config.recovery_us,
        distance_factor=zone_config.distance_factor,
        spillover_mode=zone_config.spillover_mode,
        spillover_rate_factor=zone_config.spillover_rate_factor,
        retry_after_us=zone_config.retry_after_us,
    )


def with_retry_budget(settings: Settings, retry_budget_ratio: float) -> Settings:
    """Return settings with a retry budget over all zones together, unless they have one.

    Without it, requests of a zone that is down and their retries would load the remaining zones twice.
    """
    if not retry_budget_ratio or settings.retry_budget_window_us:
        return settings
    return replace(
        settings,
        retry_budget_window_us=RETRY_BUDGET_WINDOW_US,
        retry_budget_ratio=retry_budget_ratio,
        retry_budget_min_retries=MIN_RETRIES_COUNT,
    )


def _ignore_transition(transition: ZoneTransition) -> None:
    """Drop a transition while no callback is set."""


class ZoneIntegration:
    """The hooks and the decision observer of a request lifecycle that apply zones to it.

    Attributes:
        router: Decides on requests and endpoints by zone.
        on_transition: Called with each change of a zone's state.
    """

    def __init__(
        self,
        settings: ZoneSettings,
        lifecycle: RequestLifecycle,
        seed: int,
        clock: Callable[[], int],
        inner_hooks: RequestHooks | None,
        log: Callable[..., Any],
    ) -> None:
        """Set this object as the lifecycle's hooks and decision observer.

        Args:
            settings: The settings of zones.
            lifecycle: The lifecycle of the requests to decide on.
            seed: The seed of the process's random numbers.
            clock: Returns the time.
            inner_hooks: Hooks that were set before, which are called first.
            log: Called with an event's name, and its fields as keywords.
        """
        self.lifecycle = lifecycle
        self.clock = clock
        self.inner_hooks = inner_hooks
        self.log = log
        self.router = ZoneRouter(settings, lifecycle.settings, seed, clock())
        self.router.on_transition = self._on_transition
        self.rng = random.Random(f"{seed}/joined")
        self._zones_just_down: set[str] = set()  # zones whose attempts in flight are to be cancelled
        self.on_transition: Callable[[ZoneTransition], None] = _ignore_transition
        lifecycle.hooks = self
        lifecycle.decision_observer = self

    # The decision observer

    def on_endpoint_list(self, endpoint_list: EndpointList) -> EndpointList:
        """Return the endpoint list that the scheduler gets instead of `endpoint_list`."""
        return self.router.apply_endpoint_list(self.clock(), endpoint_list)

    def on_attempt(self, request: InFlightRequest, endpoint: str) -> None:
        """Record an attempt that is sent, and close its endpoint again if it is a trial."""
        if self.router.record_attempt(self.clock(), request.id, endpoint):
            # Not within this call, as the transport does not have the attempt yet.
            self.lifecycle.call_soon(self._notify_scheduler)

    # The hooks

    def on_request(self, in_flight: InFlightRequest) -> str | Rejection | None:
        """Decide on a new request, and return why it is rejected, or None to accept it."""
        reason = self.inner_hooks.on_request(in_flight) if self.inner_hooks else None
        if reason is not None:
            return reason
        counters = self.lifecycle.counters
        decision = self.router.admit(self.clock(), in_flight.id, in_flight.incoming)
        if isinstance(decision, ZoneRejection):
            counters.add("rooms_refused")
            return Rejection(decision.reason, decision.retry_after_us)
        if decision.trial_endpoint is not None:
            counters.add("rooms_trials")
            self._notify_scheduler()  # the scheduler must have the endpoint as open before it has the request
        counters.add("rooms_spilled", int(decision.is_spillover))
        return None

    def on_outcome(
        self, request: InFlightRequest, endpoint: str, result: AttemptResult, elapsed_us: int
    ) -> None:
        """Record the end of an attempt."""
        if self.inner_hooks:
            self.inner_hooks.on_outcome(request, endpoint, result, elapsed_us)
        self.router.record_outcome(self.clock(), request.id, endpoint, result, elapsed_us)
        self._notify_scheduler()

    def on_answer(self, request: InFlightRequest, answer: Answer) -> None:
        """Record a request's final answer."""
        if self.inner_hooks:
            self.inner_hooks.on_answer(request, answer)
        self.router.record_answer(
            self.clock(),
            request.id,
            request.accepted_us,
            answer.kind is AnswerKind.SERVED,
            request.incoming.class_name,
        )

    # Time and transitions

    def tick(self) -> None:
        """Update what depends on time; to be called at least every `TICK_US`."""
        self.router.tick(self.clock())
        self._notify_scheduler()

    def _notify_scheduler(self) -> None:
        endpoint_list = self.router.changed_endpoints(self.clock())
        if endpoint_list is None:
            return
        self.lifecycle.notify_scheduler(endpoint_list)
        zones = self._zones_just_down
        self._zones_just_down = set()
        if zones:
            listed = self.router.listed_endpoints
            self._evacuate_endpoints({name for name, endpoint in listed.items() if endpoint.zone in zones})

    def _evacuate_endpoints(self, evacuated_endpoints: set[str]) -> None:
        """Cancel idempotent attempts at these endpoints that can be retried elsewhere.

        Requests that wait for a shard whose endpoints are all in zones that are down are rejected.
        """
        router = self.router
        shards = {router.listed_endpoints[name].shard for name in evacuated_endpoints}
        unreachable_shards = {shard for shard in shards if router.is_shard_down(shard)}

        def is_unreachable(request: InFlightRequest) -> bool:
            return request.incoming.shard in unreachable_shards

        def can_be_served_elsewhere(attempt: Attempt) -> bool:
            return (
                attempt.endpoint in evacuated_endpoints
                and attempt.request.incoming.shard not in unreachable_shards
            )

        settings = router.zone_settings
        retry_after_us = (settings.retry_after_us + settings.min_down_us) * self.rng.uniform(1.0, 2.0)
        counters = self.lifecycle.counters
        rejected_count = reject_waiting(
            self.lifecycle, is_unreachable, "its room is lost", int(retry_after_us)
        )
        counters.add("rooms_refused", rejected_count)
        counters.add("rooms_withdrawn", cancel_attempts(self.lifecycle, can_be_served_elsewhere))

    def _on_transition(self, transition: ZoneTransition) -> None:
        state = transition.state
        self.lifecycle.counters.add(f"rooms_{state.value}")
        if state is ZoneState.DOWN:
            self._zones_just_down.add(transition.zone)
        self.log("room_verdict", room=transition.zone, state=state.value, evidence=transition.evidence)
        self.on_transition(transition)

    # Operators

    def set_override(self, zone: str, override: str) -> bool:
        """Set an operator's override of a zone; return False where there is no such zone or override."""
        changed = self.router.zone_health.set_override(self.clock(), zone, override)
        if changed:
            if override == EVACUATE:
                self._zones_just_down.add(zone)
            self.log("zone_override_set", room=zone, word=override or "clear")
            self._notify_scheduler()
        return changed

    def status(self) -> dict[str, Any]:
        """Return the state of all zones as JSON for the admin API; times are in seconds."""
        router = self.router
        budget = router.spillover_budget
        zones = sorted(router.zone_health.zones.items())
        return {
            "own": router.zone_settings.own_zone,
            "isolated": router.zone_health.isolated,
            "rooms": {name or "-": self._zone_status(zone) for name, zone in zones},
            "spill": {
                "mode": router.zone_settings.spillover_mode,
                "units_a_second": round(budget.units_per_second, 1),
                "let_through": budget.admitted_count,
                "refused": budget.rejected_count,
            },
        }

    def _zone_status(self, zone: ZoneRecord) -> dict[str, Any]:
        now_us = self.clock()
        health = self.router.zone_health
        window_us = self.router.zone_settings.evidence_window_us
        members = [member for member in health.members.values() if member.zone == zone.name]
        progress = {member.name: self._recovery_progress(now_us, member) for member in members}
        return {
            "state": health.state(zone.name).value,
            "since_s": round((now_us - zone.since_us) / 1e6, 1),
            "by_hand": zone.override,
            "losses": zone.failures,
            "servers": len(members),
            "servers_down": [member.name for member in members if self._is_down(now_us, member)],
            "coming_back": {name: done for name, done in progress.items() if done is not None},
            "peers": {
                peer: state.value
                for peer, (state, received_us) in sorted(zone.peer_states.items())
                if now_us - received_us <= window_us
            },
        }

    def _is_down(self, now_us: int, member: ZoneMember) -> bool:
        settings = self.router.zone_settings
        contact_record = self.router.zone_health.contact_records[member.name]
        reachability = contact_record.reachability(
            now_us, settings.evidence_window_us, settings.silence_timeout_us
        )
        return reachability is Reachability.DOWN

    def _recovery_progress(self, now_us: int, member: ZoneMember) -> float | None:
        """Return the progress of an endpoint's recovery from 0 to 1, or None if it is not recovering."""
        recovered_at_us = self.router.zone_health.recovered_at_us.get(member.name)
        recovery_us = self.router.zone_settings.recovery_us
        if recovered_at_us is None or now_us - recovered_at_us >= recovery_us:
            return None
        return round(min((now_us - recovered_at_us) / recovery_us, 1.0), 2)


def integrate_zones(
    zone_config: configuration.ZoneConfig,
    lifecycle: RequestLifecycle,
    seed: int,
    clock: Callable[[], int],
    log: Callable[..., Any],
) -> ZoneIntegration:
    """Set up zones for a lifecycle by an operator's configuration; its existing hooks are called first."""
    return ZoneIntegration(zone_settings(zone_config), lifecycle, seed, clock, lifecycle.hooks, log)
