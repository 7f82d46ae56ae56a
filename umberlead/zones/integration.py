"""A director beside an engine: hooks on the requests' way, a watcher of list and sendings, and what an
operator sees. No I/O; the clock and a tick every 100 ms are the owner's."""

import random
from collections.abc import Callable
from typing import Any

from umberlead import configuration
from umberlead.requests.lifecycle import RequestLifecycle
from umberlead.requests.types import Answer, AnswerKind, Attempt, InFlightRequest, Rejection, RequestHooks
from umberlead.scheduling.events import AttemptResult, EndpointList
from umberlead.scheduling.settings import Settings
from umberlead.zones.model import ZoneSettings, ZoneState, ZoneTransition
from umberlead.zones.router import ZoneRejection, ZoneRouter

TICK_US = 100_000  # us


def zone_settings(zone_config: configuration.ZoneConfig) -> ZoneSettings:
    tier_by_zone = {name: index + 1 for index, name in enumerate(zone_config.nearby_zones)}
    return ZoneSettings(
        tier_by_zone=tier_by_zone,
        spillover_mode=zone_config.spillover_mode,
        spillover_rate_factor=zone_config.spillover_rate_factor,
        own_zone=zone_config.own_zone,
        silence_timeout_us=zone_config.silence_timeout_us,
        evidence_window_us=zone_config.evidence_window_us,
        min_down_us=zone_config.min_down_us,
        max_down_us=zone_config.max_down_us,
        trial_interval_us=zone_config.trial_interval_us,
        recovery_us=zone_config.recovery_us,
        distance_factor=zone_config.distance_factor,
        retry_after_us=zone_config.retry_after_us,
    )


def with_retry_budget(settings: Settings, retry_budget_ratio: float) -> Settings:
    """Settings with a bound on attempts beyond the first, over all rooms together, where they have none: a
    lost room's requests must not come down twice on what is left."""
    from dataclasses import replace

    if not retry_budget_ratio or settings.retry_budget_window_us:
        return settings
    return replace(
        settings,
        retry_budget_window_us=10_000_000,
        retry_budget_ratio=retry_budget_ratio,
        retry_budget_min_retries=10,
    )


class ZoneIntegration:
    """The engine's hooks and watcher; `inner` are hooks that stood there before, and go first."""

    def __init__(
        self,
        settings: ZoneSettings,
        lifecycle: RequestLifecycle,
        seed: int,
        clock: Callable[[], int],
        inner_hooks: RequestHooks | None,
        log: Callable[..., Any],
    ) -> None:
        self.lifecycle, self.clock, self.inner_hooks, self.log = lifecycle, clock, inner_hooks, log
        self.router = ZoneRouter(settings, lifecycle.settings, seed, clock())
        self.router.on_transition = self._on_transition
        self.rng = random.Random(f"{seed}/joined")
        self._zones_just_down: set[str] = set()  # rooms just lost, whose attempts are still out
        self.on_transition: Callable[[ZoneTransition], None] = lambda verdict: None
        lifecycle.hooks, lifecycle.decision_observer = self, self

    # The watcher

    def on_endpoint_list(self, endpoint_list: EndpointList) -> EndpointList:
        return self.router.apply_endpoint_list(self.clock(), endpoint_list)

    def on_attempt(self, request: InFlightRequest, endpoint: str) -> None:
        if self.router.record_attempt(self.clock(), request.id, endpoint):
            self.lifecycle.call_soon(
                self._notify_scheduler
            )  # not now: the attempt is not with its carrier yet

    # The hooks

    def on_request(self, in_flight: InFlightRequest) -> str | Rejection | None:
        reason = self.inner_hooks.on_request(in_flight) if self.inner_hooks else None
        if reason is not None:
            return reason
        request, now_us = in_flight.request, self.clock()
        decision = self.router.admit(
            now_us,
            in_flight.id,
            request.class_name,
            request.plan,
            request.volume,
            request.volume_front_count,
            request.shard,
            request.units,
        )
        if isinstance(decision, ZoneRejection):
            self.lifecycle.counters.add("rooms_refused")
            return Rejection(decision.reason, decision.retry_after_us)
        if decision.trial_endpoint:
            self.lifecycle.counters.add("rooms_trials")
            self._notify_scheduler()  # before the request comes to the module: it finds its server open
        self.lifecycle.counters.add("rooms_spilled", int(decision.is_spillover))
        return None

    def on_outcome(
        self, request: InFlightRequest, endpoint: str, result: AttemptResult, elapsed_us: int
    ) -> None:
        if self.inner_hooks:
            self.inner_hooks.on_outcome(request, endpoint, result, elapsed_us)
        self.router.record_outcome(
            self.clock(), request.id, endpoint, result, elapsed_us, request.request.class_name, False
        )
        self._notify_scheduler()

    def on_answer(self, request: InFlightRequest, answer: Answer) -> None:
        if self.inner_hooks:
            self.inner_hooks.on_answer(request, answer)
        self.router.record_answer(
            self.clock(),
            request.id,
            request.accepted_us,
            answer.kind is AnswerKind.SERVED,
            request.request.class_name,
        )

    def tick(self) -> None:
        """At least every 100 ms."""
        self.router.tick(self.clock())
        self._notify_scheduler()

    def _notify_scheduler(self) -> None:
        endpoint_list = self.router.changed_endpoints(self.clock())
        if endpoint_list is None:
            return
        self.lifecycle.notify_scheduler(endpoint_list)
        zones, self._zones_just_down = self._zones_just_down, set()
        if zones:
            self._leave_endpoints(
                {name for name, endpoint in self.router.listed_endpoints.items() if endpoint.zone in zones}
            )

    def _leave_endpoints(self, lost_endpoints: set[str]) -> None:
        """Reads that are out there may try their other servers; what waits for nothing else is refused
        now."""
        unreachable_shards: set[int] = {self.router.listed_endpoints[name].shard for name in lost_endpoints}
        unreachable_shards = {shard for shard in unreachable_shards if self.router.is_shard_down(shard)}

        def is_unreachable(ticket: InFlightRequest) -> bool:
            return ticket.request.shard in unreachable_shards

        retry_after_us = self.router.zone_settings.retry_after_us + self.router.zone_settings.min_down_us
        rejected_count = self.lifecycle.reject_waiting(
            is_unreachable, "its room is lost", int(retry_after_us * self.rng.uniform(1.0, 2.0))
        )
        self.lifecycle.counters.add("rooms_refused", rejected_count)

        def can_be_served_elsewhere(out: Attempt) -> bool:
            return out.endpoint in lost_endpoints and out.request.request.shard not in unreachable_shards

        self.lifecycle.counters.add(
            "rooms_withdrawn", self.lifecycle.cancel_attempts(can_be_served_elsewhere)
        )

    def _on_transition(self, transition: ZoneTransition) -> None:
        self.lifecycle.counters.add(f"rooms_{transition.state.value}")
        if transition.state is ZoneState.DOWN:
            self._zones_just_down.add(transition.zone)
        self.log(
            "room_verdict", room=transition.zone, state=transition.state.value, evidence=transition.evidence
        )
        self.on_transition(transition)

    # Operators

    def set_override(self, zone: str, override: str) -> bool:
        """False where there is no such room or word."""
        changed = self.router.zone_health.set_override(self.clock(), zone, override)
        if changed:
            self._zones_just_down |= {zone} if override == "evacuate" else set()
            self.log("room_by_hand", room=zone, word=override or "clear")
            self._notify_scheduler()
        return changed

    def status(self) -> dict[str, Any]:
        """All that is held of rooms, as the door tells it; times in s."""
        now_us, router = self.clock(), self.router
        zones = {}
        for name, zone in sorted(router.zone_health.zones.items()):
            members = [member for member in router.zone_health.members.values() if member.zone == name]
            zones[name or "-"] = {
                "state": router.zone_health.state(name).value,
                "since_s": round((now_us - zone.since_us) / 1e6, 1),
                "by_hand": zone.override,
                "losses": zone.failures,
                "servers": len(members),
                "servers_down": [
                    member.name
                    for member in members
                    if router.zone_health.contact_records[member.name].observation(
                        now_us,
                        router.zone_settings.evidence_window_us,
                        router.zone_settings.silence_timeout_us,
                    )
                    == "down"
                ],
                "coming_back": {
                    member.name: round(
                        min(
                            (now_us - router.zone_health.recovered_at_us[member.name])
                            / router.zone_settings.recovery_us,
                            1.0,
                        ),
                        2,
                    )
                    for member in members
                    if member.name in router.zone_health.recovered_at_us
                    and now_us - router.zone_health.recovered_at_us[member.name]
                    < router.zone_settings.recovery_us
                },
                "peers": {
                    peer: state.value
                    for peer, (state, received_us) in sorted(zone.peer_states.items())
                    if now_us - received_us <= router.zone_settings.evidence_window_us
                },
            }
        budget = router.spillover_budget
        return {
            "own": router.zone_settings.own_zone,
            "isolated": router.zone_health.isolated,
            "rooms": zones,
            "spill": {
                "mode": router.zone_settings.spillover_mode,
                "units_a_second": round(budget.units_per_second, 1),
                "let_through": budget.admitted_count,
                "refused": budget.rejected_count,
            },
        }


def integrate_zones(
    zone_config: configuration.ZoneConfig,
    lifecycle: RequestLifecycle,
    seed: int,
    clock: Callable[[], int],
    log: Callable[..., Any],
) -> ZoneIntegration:
    return ZoneIntegration(zone_settings(zone_config), lifecycle, seed, clock, lifecycle.hooks, log)
