"""The state of each zone, by evidence, elapsed time, operators and gossip. No I/O; times are in us.

Failures are detected by `evidence.py`. A zone that is down gets occasional trials: idempotent requests, at
random times that differ between fronts. Endpoints that answer trials recover one by one. They count as
started at that time, so that the scheduler's slow start applies. Each failure soon after a recovery doubles
the time without trials.
"""

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from umberlead.scheduling.events import EndpointStatus
from umberlead.zones.evidence import (
    ContactRecord,
    SlidingStatistics,
    is_zone_down,
    log_odds_down,
    why_degraded,
)
from umberlead.zones.model import (
    Contact,
    Reachability,
    ZoneMember,
    ZoneSettings,
    ZoneState,
    ZoneTransition,
)

# An operator's overrides, by their names in the admin API.
NO_OVERRIDE = ""  # the state follows from the evidence
EVACUATE = "evacuate"  # nothing is sent to the zone
FORBID_SPILLOVER = "forbid"  # nothing spills over to the zone from other zones
OVERRIDES = (EVACUATE, FORBID_SPILLOVER, NO_OVERRIDE)
MAX_FAILURES_COUNT = 16  # failures of a zone that are remembered
MAX_PEER_VOTES_COUNT = 2  # agreeing peers that count, each as one more endpoint that is down
MAX_LOG_ODDS_LIMIT = 50.0  # largest log odds shown in a log line


@dataclass(slots=True)
class ZoneRecord:
    """The state of one zone.

    Attributes:
        name: Its name in the endpoint list.
        state: Its state by evidence.
        since_us: When that state began.
        failures: How often it went down, as far as that is not forgotten.
        down_until_us: When trials may begin.
        next_trial_us: When the next trial is due.
        override: The operator's override.
        peer_states: The state that each peer last reported, and when.
    """

    name: str
    state: ZoneState = ZoneState.HEALTHY
    since_us: int = 0
    failures: int = 0
    down_until_us: int = 0
    next_trial_us: int = 0
    override: str = NO_OVERRIDE
    peer_states: dict[str, tuple[ZoneState, int]] = field(default_factory=dict)


class ZoneHealth:
    """The states of all zones of the current endpoint list.

    Attributes:
        members: The endpoints of the list, by name.
        contact_records: What attempts have shown about each endpoint, by name.
        zones: The zones, by name.
        recovered_at_us: When each endpoint that answered its trials recovered.
        answered_trials: The number of trials in a row that each endpoint answered.
        isolated: Whether no endpoint of any zone answers, so that the fault is on this front's side.
        transitions: Changes of zones' states since the last call of `take_transitions`.
    """

    def __init__(self, settings: ZoneSettings, seed: int, now_us: int) -> None:
        """Start without zones; `seed` is the seed of the process's random numbers."""
        self.settings = settings
        self.rng = random.Random(f"{seed}/rooms")
        self.now_us = now_us
        self.members: dict[str, ZoneMember] = {}
        self.contact_records: dict[str, ContactRecord] = {}
        self.zones: dict[str, ZoneRecord] = {}
        self.recovered_at_us: dict[str, int] = {}
        self.answered_trials: dict[str, int] = {}
        self.isolated = False
        self.transitions: list[ZoneTransition] = []

    # Events

    def apply_endpoint_list(self, now_us: int, members: Iterable[ZoneMember]) -> None:
        """Apply the current endpoint list, which is complete."""
        self.now_us = now_us
        self.members = {member.name: member for member in members}
        for member in self.members.values():
            if member.name not in self.contact_records:
                statistics = SlidingStatistics(self.settings.evidence_window_us)
                self.contact_records[member.name] = ContactRecord(statistics=statistics)
            if member.zone not in self.zones:
                self.zones[member.zone] = ZoneRecord(member.zone, since_us=now_us)
        for state_by_member in (self.contact_records, self.recovered_at_us, self.answered_trials):
            for name in [name for name in state_by_member if name not in self.members]:
                del state_by_member[name]
        listed_zones = {member.zone for member in self.members.values()}
        # A zone without endpoints in the list is kept while it has failures, as its endpoints may return.
        for name, zone in list(self.zones.items()):
            if name not in listed_zones and not zone.failures:
                del self.zones[name]

    def record_attempt(self, now_us: int, endpoint: str, request: str) -> None:
        """Record an attempt that is sent now."""
        if endpoint in self.contact_records:
            self.contact_records[endpoint].record_attempt(now_us, request)

    def record_outcome(
        self, now_us: int, endpoint: str, request: str, contact: Contact, latency_us: int = 0
    ) -> None:
        """Record the end of an attempt, and its latency if it was answered."""
        contact_record = self.contact_records.get(endpoint)
        member = self.members.get(endpoint)
        if contact_record is None or member is None:
            return
        is_broken = contact is Contact.BROKEN
        was_silent = contact_record.is_silent
        contact_record.record_outcome(now_us, request, contact)
        zone = self.zones[member.zone]
        # A broken attempt at a silent endpoint was counted when the silence was detected.
        if contact is not Contact.INCONCLUSIVE and not (was_silent and is_broken):
            contact_record.statistics.add(now_us, is_broken, float(latency_us))
        if zone.state is ZoneState.DOWN:
            self._record_trial(now_us, zone, member, contact)
        if is_broken:
            self.evaluate(now_us, zone)

    def tick(self, now_us: int) -> None:
        """Detect silence, which causes no event, and evaluate all zones; call it at least every 100 ms."""
        self.now_us = now_us
        for contact_record in self.contact_records.values():
            if contact_record.detect_silence(now_us, self.settings.silence_timeout_us):
                contact_record.statistics.add(now_us, True)
        for zone in self.zones.values():
            self.evaluate(now_us, zone, True)
        self._update_isolation(now_us)

    def set_override(self, now_us: int, zone: str, override: str) -> bool:
        """Set an operator's override; return False where there is no such zone or override."""
        if zone not in self.zones or override not in OVERRIDES:
            return False
        self.zones[zone].override = override
        self.evaluate(now_us, self.zones[zone])
        return True

    def record_peer_state(self, now_us: int, name: str, zone: str, state: ZoneState) -> None:
        """Record the state of a zone that a peer reports.

        Reports of peers lower the evidence that this front needs to mark a zone as down, but never suffice.
        """
        if zone in self.zones:
            self.zones[zone].peer_states[name] = (state, now_us)

    # Evaluation

    def reachabilities(self, now_us: int, zone: str) -> list[Reachability]:
        """Return the reachability of a zone's endpoints, leaving out those that are not UP in the list."""
        settings = self.settings
        return [
            self.contact_records[member.name].reachability(
                now_us, settings.evidence_window_us, settings.silence_timeout_us
            )
            for member in self.members.values()
            if member.zone == zone and member.status is EndpointStatus.UP
        ]

    def evaluate(self, now_us: int, zone: ZoneRecord, is_tick: bool = False) -> None:
        """Make the transitions of one zone that are due; degradation is evaluated on ticks only."""
        self.now_us = now_us
        settings = self.settings
        if zone.state is not ZoneState.DOWN:
            reachabilities = self.reachabilities(now_us, zone.name)
            if not self.isolated and self._is_down(now_us, zone, reachabilities):
                self._mark_down(now_us, zone, self._down_evidence(now_us, zone, reachabilities))
                return
        if is_tick:
            self._evaluate_degradation(now_us, zone)
        state_us = now_us - zone.since_us
        if zone.state is ZoneState.RECOVERING and state_us >= settings.recovery_us:
            self._transition(
                now_us, zone, ZoneState.HEALTHY, f"no fault for {settings.recovery_us / 1e6:g} s"
            )
            state_us = 0
        if zone.state is ZoneState.HEALTHY and zone.failures and state_us >= settings.failure_memory_us:
            zone.failures = 0

    def _evaluate_degradation(self, now_us: int, zone: ZoneRecord) -> None:
        if zone.state not in (ZoneState.HEALTHY, ZoneState.DEGRADED):
            return
        others = [
            statistics
            for other in self.zones.values()
            if other is not zone and other.state is ZoneState.HEALTHY
            for statistics in self._statistics_of(other)
        ]
        evidence = why_degraded(self._statistics_of(zone), others, now_us, self.settings) if others else None
        if zone.state is ZoneState.HEALTHY:
            if evidence:
                self._transition(now_us, zone, ZoneState.DEGRADED, evidence)
        elif not evidence and now_us - zone.since_us >= self.settings.evidence_window_us:
            self._transition(now_us, zone, ZoneState.HEALTHY, "no worse than other rooms any more")

    def _is_down(self, now_us: int, zone: ZoneRecord, reachabilities: list[Reachability]) -> bool:
        if is_zone_down(reachabilities, self.settings):
            return True
        # Each agreeing peer counts as one more endpoint that is down, if this front found one down itself.
        peer_votes = min(self._agreeing_peers(now_us, zone), MAX_PEER_VOTES_COUNT)
        if not peer_votes or Reachability.DOWN not in reachabilities:
            return False
        return is_zone_down(reachabilities + [Reachability.DOWN] * peer_votes, self.settings)

    def _down_evidence(self, now_us: int, zone: ZoneRecord, reachabilities: list[Reachability]) -> str:
        odds = math.exp(min(log_odds_down(reachabilities, self.settings), MAX_LOG_ODDS_LIMIT))
        evidence = (
            f"{reachabilities.count(Reachability.DOWN)} of {len(reachabilities)} servers down, "
            f"{reachabilities.count(Reachability.SILENT)} mute, "
            f"{reachabilities.count(Reachability.UP)} up, odds {odds:.3g}"
        )
        if agreeing_peers := self._agreeing_peers(now_us, zone):
            evidence += f", {agreeing_peers} peers agree"
        return evidence

    def _agreeing_peers(self, now_us: int, zone: ZoneRecord) -> int:
        """Return how many peers report the zone as down; 0 unless they are a majority of recent reports."""
        recent_states = [
            state
            for state, received_us in zone.peer_states.values()
            if now_us - received_us <= self.settings.evidence_window_us
        ]
        down_count = recent_states.count(ZoneState.DOWN)
        return down_count if 2 * down_count > len(recent_states) else 0

    def _mark_down(self, now_us: int, zone: ZoneRecord, evidence: str) -> None:
        settings = self.settings
        down_us = min(settings.min_down_us * 2**zone.failures, settings.max_down_us)
        zone.failures = min(zone.failures + 1, MAX_FAILURES_COUNT)
        zone.down_until_us = now_us + int(down_us * self.rng.uniform(0.75, 1.25))
        zone.next_trial_us = zone.down_until_us + int(self.rng.uniform(0, settings.trial_interval_us))
        for member in self._members_of(zone):
            self.recovered_at_us.pop(member.name, None)
            self.answered_trials.pop(member.name, None)
        self._transition(now_us, zone, ZoneState.DOWN, evidence)

    def _members_of(self, zone: ZoneRecord) -> list[ZoneMember]:
        return [member for member in self.members.values() if member.zone == zone.name]

    def _statistics_of(self, zone: ZoneRecord) -> list[SlidingStatistics]:
        return [
            self.contact_records[member.name].statistics
            for member in self._members_of(zone)
            if member.status is EndpointStatus.UP
        ]

    def _transition(self, now_us: int, zone: ZoneRecord, state: ZoneState, evidence: str) -> None:
        zone.state = state
        zone.since_us = now_us
        self.transitions.append(ZoneTransition(now_us, zone.name, state, evidence))

    def _record_trial(self, now_us: int, zone: ZoneRecord, member: ZoneMember, contact: Contact) -> None:
        """Record the outcome of a trial, or of an attempt that was in flight when the zone went down."""
        if contact is Contact.BROKEN:
            self.answered_trials.pop(member.name, None)
        if contact is not Contact.ANSWERED or now_us < zone.down_until_us:
            return
        self.answered_trials[member.name] = self.answered_trials.get(member.name, 0) + 1
        zone.next_trial_us = now_us  # an endpoint answers: the next trial may follow at once
        if self.answered_trials[member.name] < self.settings.trials_to_recover:
            return
        self.recovered_at_us.setdefault(member.name, now_us)
        up_names = [other.name for other in self._members_of(zone) if other.status is EndpointStatus.UP]
        if 2 * sum(name in self.recovered_at_us for name in up_names) < len(up_names):
            return
        # The other endpoints recover with them: one that is still down is ejected as an outlier.
        for name in up_names:
            self.recovered_at_us.setdefault(name, now_us)
        evidence = f"{len(up_names)} servers, after trials that were answered"
        self._transition(now_us, zone, ZoneState.RECOVERING, evidence)

    def _update_isolation(self, now_us: int) -> None:
        """Detect whether no endpoint of any zone answers.

        In that case the fault is on this front's side and nothing is known about the zones, so those that
        were marked as down are healthy again.
        """
        reachabilities_by_zone = [
            zone_reachabilities
            for name in self.zones
            if (zone_reachabilities := self.reachabilities(now_us, name))
        ]
        unreachable_count = sum(
            Reachability.UP not in zone_reachabilities
            and (Reachability.DOWN in zone_reachabilities or Reachability.SILENT in zone_reachabilities)
            for zone_reachabilities in reachabilities_by_zone
        )
        is_isolated = len(reachabilities_by_zone) > 1 and unreachable_count == len(reachabilities_by_zone)
        if is_isolated and not self.isolated:
            for zone in self.zones.values():
                if zone.state is ZoneState.DOWN:
                    zone.failures = max(zone.failures - 1, 0)
                    evidence = "no room answers: this front is isolated"
                    self._transition(now_us, zone, ZoneState.HEALTHY, evidence)
        self.isolated = is_isolated

    # Queries

    def state(self, zone: str) -> ZoneState:
        """Return the state that routing uses: an evacuated zone is down whatever the evidence."""
        record = self.zones.get(zone)
        if record is None:
            return ZoneState.HEALTHY
        return ZoneState.DOWN if record.override == EVACUATE else record.state

    def try_start_trial(self, now_us: int, endpoint: str, min_overdue_us: int = 0) -> bool:
        """Return whether an idempotent request may go to an endpoint of a zone that is down, as a trial.

        If so, the next trial of the zone is due about one trial interval later, at a random time.

        Args:
            now_us: The time.
            endpoint: The endpoint's name.
            min_overdue_us: How long the trial must have been due.
        """
        zone = self._zone_of(endpoint)
        if zone is None or zone.override == EVACUATE:
            return False
        if now_us < max(zone.down_until_us, zone.next_trial_us) + min_overdue_us:
            return False
        zone.next_trial_us = now_us + int(self.settings.trial_interval_us * self.rng.uniform(0.5, 1.5))
        return True

    def next_trial_delay_us(self, now_us: int, endpoint: str) -> int:
        """Return how long it is until the next trial of an endpoint's zone is due."""
        zone = self._zone_of(endpoint)
        return max(zone.down_until_us - now_us, zone.next_trial_us - now_us, 0) if zone is not None else 0

    def _zone_of(self, endpoint: str) -> ZoneRecord | None:
        member = self.members.get(endpoint)
        return self.zones.get(member.zone) if member is not None else None

    def take_transitions(self) -> list[ZoneTransition]:
        """Return the transitions since the last call."""
        transitions = self.transitions
        self.transitions = []
        return transitions
