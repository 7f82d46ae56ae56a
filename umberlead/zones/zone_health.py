"""What a front holds of each room, from evidence, time, operators and peers; pure, times in us.

Losses are told by `evidence`. A lost room gets a trial now and then: a request that may be repeated, at a
time of each front's own. Servers that answer trials come back one by one, counted as started when they did,
so that the decision module feeds them as it feeds what is cold. Each loss soon after a return doubles the
time that the room is left alone."""

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
from umberlead.zones.model import Contact, ZoneMember, ZoneSettings, ZoneState, ZoneTransition

NO_OVERRIDE = ""  # by hand: as the evidence has it
OVERRIDES = ("evacuate", "forbid", NO_OVERRIDE)


@dataclass(slots=True)
class ZoneRecord:
    """One room's state."""

    name: str
    state: ZoneState = ZoneState.HEALTHY
    since_us: int = 0  # of the state
    failures: int = 0  # that are not forgotten
    down_until_us: int = 0  # a lost room is left alone up to then
    next_trial_us: int = 0  # when one of its servers may be tried next
    override: str = NO_OVERRIDE
    peer_states: dict[str, tuple[ZoneState, int]] = field(
        default_factory=dict
    )  # what others hold, and when they said so


class ZoneHealth:
    def __init__(self, settings: ZoneSettings, seed: int, now_us: int) -> None:
        self.settings, self.rng, self.now_us = settings, random.Random(f"{seed}/rooms"), now_us
        self.members: dict[str, ZoneMember] = {}
        self.contact_records: dict[str, ContactRecord] = {}
        self.zones: dict[str, ZoneRecord] = {}
        self.recovered_at_us: dict[
            str, int
        ] = {}  # servers that answered their trials, and when they came back
        self.answered_trials: dict[str, int] = {}  # trials answered in a row
        self.isolated = False  # nothing at all is reached: that is this front's own doing
        self.transitions: list[ZoneTransition] = []

    # What comes in

    def apply_endpoint_list(self, now_us: int, members: Iterable[ZoneMember]) -> None:
        """The whole list in force."""
        self.now_us = now_us
        self.members = {member.name: member for member in members}
        for member in self.members.values():
            self.contact_records.setdefault(
                member.name, ContactRecord(statistics=SlidingStatistics(self.settings.evidence_window_us))
            )
            if member.zone not in self.zones:
                self.zones[member.zone] = ZoneRecord(member.zone, since_us=now_us)
        for state_by_member in (self.contact_records, self.recovered_at_us, self.answered_trials):
            for name in [name for name in state_by_member if name not in self.members]:
                del state_by_member[name]
        listed_zones = {member.zone for member in self.members.values()}
        # A room whose servers the list has dropped meanwhile is still the one that was lost.
        for name in [
            name for name, zone in self.zones.items() if name not in listed_zones and not zone.failures
        ]:
            del self.zones[name]

    def record_attempt(self, now_us: int, endpoint: str, request: str) -> None:
        if endpoint in self.contact_records:
            self.contact_records[endpoint].record_attempt(now_us, request)

    def record_outcome(
        self, now_us: int, endpoint: str, request: str, contact: Contact, latency_us: int = 0
    ) -> None:
        """An attempt's outcome; `took` (us) of one that was answered."""
        contact_record, member = self.contact_records.get(endpoint), self.members.get(endpoint)
        if contact_record is None or member is None:
            return
        was_silent = contact_record.silent
        contact_record.record_outcome(now_us, request, contact)
        zone = self.zones[member.zone]
        if contact is not Contact.INCONCLUSIVE and not (
            was_silent and contact is Contact.BROKEN
        ):  # its silence was counted already
            contact_record.statistics.add(now_us, contact is Contact.BROKEN, float(latency_us))
        if zone.state is ZoneState.DOWN:
            self._record_trial(now_us, zone, member, contact)
        if contact is Contact.BROKEN:
            self.evaluate(now_us, zone)

    def tick(self, now_us: int) -> None:
        """At least every 100 ms: silence makes no event."""
        self.now_us = now_us
        for contact_record in self.contact_records.values():
            if contact_record.detect_silence(now_us, self.settings.silence_timeout_us):
                contact_record.statistics.add(now_us, True)
        for zone in self.zones.values():
            self.evaluate(now_us, zone, True)
        self._update_isolation(now_us)

    def set_override(self, now_us: int, zone: str, override: str) -> bool:
        """`evacuate`: nothing goes there. `forbid`: nothing spills there from elsewhere. Empty: neither.
        False where there is no such room or word."""
        if zone not in self.zones or override not in OVERRIDES:
            return False
        self.zones[zone].override = override
        self.evaluate(now_us, self.zones[zone])
        return True

    def record_peer_state(self, now_us: int, name: str, zone: str, state: ZoneState) -> None:
        """What another front holds. It lowers what is needed to hold the same, and never decides alone."""
        if zone in self.zones:
            self.zones[zone].peer_states[name] = (state, now_us)

    # What follows

    def observations(self, now_us: int, zone: str) -> list[str]:
        """Its servers' words. What drains or has only just started says nothing of the room."""
        return [
            self.contact_records[member.name].observation(
                now_us, self.settings.evidence_window_us, self.settings.silence_timeout_us
            )
            for member in self.members.values()
            if member.zone == zone and member.status is EndpointStatus.UP
        ]

    def evaluate(self, now_us: int, zone: ZoneRecord, is_tick: bool = False) -> None:
        """One step of a room's state. Greyness is told on ticks alone: it passes over all servers."""
        self.now_us, settings = now_us, self.settings
        if zone.state in (ZoneState.HEALTHY, ZoneState.DEGRADED, ZoneState.RECOVERING):
            observations = self.observations(now_us, zone.name)
            if not self.isolated and self._is_down(now_us, zone, observations):
                down_count, up_count = observations.count("down"), observations.count("up")
                odds = math.exp(min(log_odds_down(observations, settings), 50.0))
                mute_count = observations.count("mute")
                evidence = f"{down_count} of {len(observations)} servers down, {mute_count} mute, {up_count} up, odds {odds:.3g}"
                if agreeing_peers := self._agreeing_peers(now_us, zone):
                    evidence += f", {agreeing_peers} peers say so"
                return self._mark_down(now_us, zone, evidence)
        if zone.state in (ZoneState.HEALTHY, ZoneState.DEGRADED) and is_tick:
            healthy_zones = [
                other
                for other in self.zones.values()
                if other is not zone and other.state is ZoneState.HEALTHY
            ]
            other_statistics = [
                statistics for other in healthy_zones for statistics in self._statistics_of(other)
            ]
            evidence = (
                why_degraded(self._statistics_of(zone), other_statistics, now_us, settings)
                if other_statistics
                else ""
            )
            if evidence and zone.state is ZoneState.HEALTHY:
                self._transition(now_us, zone, ZoneState.DEGRADED, evidence)
            elif (
                not evidence
                and zone.state is ZoneState.DEGRADED
                and now_us - zone.since_us >= settings.evidence_window_us
            ):
                self._transition(now_us, zone, ZoneState.HEALTHY, "like the others again")
        if zone.state is ZoneState.RECOVERING and now_us - zone.since_us >= settings.recovery_us:
            self._transition(now_us, zone, ZoneState.HEALTHY, f"back for {settings.recovery_us / 1e6:g} s")
        if (
            zone.state is ZoneState.HEALTHY
            and zone.failures
            and now_us - zone.since_us >= settings.failure_memory_us
        ):
            zone.failures = 0

    def _is_down(self, now_us: int, zone: ZoneRecord, observations: list[str]) -> bool:
        if is_zone_down(observations, self.settings):
            return True
        # Peers that agree count as one more server down each, two at most, beside own evidence of some kind.
        peer_votes = min(self._agreeing_peers(now_us, zone), 2)
        return (
            bool(peer_votes)
            and observations.count("down") >= 1
            and is_zone_down(observations + ["down"] * peer_votes, self.settings)
        )

    def _agreeing_peers(self, now_us: int, zone: ZoneRecord) -> int:
        recent_states = [
            state
            for state, received_us in zone.peer_states.values()
            if now_us - received_us <= self.settings.evidence_window_us
        ]
        return (
            recent_states.count(ZoneState.DOWN)
            if 2 * recent_states.count(ZoneState.DOWN) > len(recent_states)
            else 0
        )

    def _mark_down(self, now_us: int, zone: ZoneRecord, evidence: str) -> None:
        settings = self.settings
        down_us = min(settings.min_down_us * 2**zone.failures, settings.max_down_us)
        zone.failures = min(zone.failures + 1, 16)
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
        zone.state, zone.since_us = state, now_us
        self.transitions.append(ZoneTransition(now_us, zone.name, state, evidence))

    def _record_trial(self, now_us: int, zone: ZoneRecord, member: ZoneMember, contact: Contact) -> None:
        """The outcome of a trial, or of what was out when the room was lost."""
        if contact is Contact.BROKEN:
            self.answered_trials.pop(member.name, None)
        if contact is not Contact.ANSWERED or now_us < zone.down_until_us:
            return
        self.answered_trials[member.name] = self.answered_trials.get(member.name, 0) + 1
        zone.next_trial_us = now_us  # something lives there: the next may follow at once
        if self.answered_trials[member.name] < self.settings.trials_to_recover:
            return
        self.recovered_at_us.setdefault(member.name, now_us)
        up_members = [
            up_member for up_member in self._members_of(zone) if up_member.status is EndpointStatus.UP
        ]
        if 2 * sum(up_member.name in self.recovered_at_us for up_member in up_members) >= len(up_members):
            # The rest come back with them: what is still down shows as such, server by server.
            for up_member in up_members:
                self.recovered_at_us.setdefault(up_member.name, now_us)
            self._transition(
                now_us,
                zone,
                ZoneState.RECOVERING,
                f"{len(up_members)} servers, after trials that were answered",
            )

    def _update_isolation(self, now_us: int) -> None:
        """Where no server of any room answers, nothing is known of rooms: the fault is nearer. Rooms that
        were held lost in that time are held well again."""
        observations_by_zone = [
            observations for name in self.zones if (observations := self.observations(now_us, name))
        ]
        silent_zones = [
            observations
            for observations in observations_by_zone
            if "up" not in observations and ("down" in observations or "mute" in observations)
        ]
        is_isolated = len(observations_by_zone) > 1 and len(silent_zones) == len(observations_by_zone)
        if is_isolated and not self.isolated:
            for zone in self.zones.values():
                if zone.state is ZoneState.DOWN:
                    zone.failures = max(zone.failures - 1, 0)
                    self._transition(
                        now_us,
                        zone,
                        ZoneState.HEALTHY,
                        "no room answers at all: this front is cut off itself",
                    )
        self.isolated = is_isolated

    # What is asked of it

    def state(self, zone: str) -> ZoneState:
        """As it acts: an evacuated room is a lost one whatever the evidence."""
        record = self.zones.get(zone)
        if record is None:
            return ZoneState.HEALTHY
        return ZoneState.DOWN if record.override == "evacuate" else record.state

    def try_start_trial(self, now_us: int, endpoint: str, min_overdue_us: int = 0) -> bool:
        """Whether a request that may be repeated may go to a server of a lost room, as a trial. True once:
        the next is due a while later, at a time of this front's own. `wait` (us) is what it is to be overdue
        by."""
        member = self.members.get(endpoint)
        zone = self.zones.get(member.zone) if member is not None else None
        if (
            zone is None
            or zone.override == "evacuate"
            or now_us < max(zone.down_until_us, zone.next_trial_us) + min_overdue_us
        ):
            return False
        zone.next_trial_us = now_us + int(self.settings.trial_interval_us * self.rng.uniform(0.5, 1.5))
        return True

    def next_trial_delay_us(self, now_us: int, endpoint: str) -> int:
        """us until that may be so."""
        member = self.members.get(endpoint)
        zone = self.zones.get(member.zone) if member is not None else None
        return max(max(zone.down_until_us, zone.next_trial_us) - now_us, 0) if zone is not None else 0

    def take_transitions(self) -> list[ZoneTransition]:
        transitions, self.transitions = self.transitions, []
        return transitions
