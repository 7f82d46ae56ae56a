"""Membership between fronts and what they hold of rooms, in the manner of SWIM; pure, times in us of a clock
that only moves forward.

Each second a front pings one other, by turns in a shuffled order; one that does not answer is pinged through
two others, then suspected, and after a while taken for dead. A member denies that by raising its life.
Datagrams carry news and the sender's own words on rooms. A session is proven before anything it says counts:
it must give back a nonce that was drawn for it, so that what was recorded of an earlier one tells nothing.
Octets a second are bounded."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from umberlead.gossip.messages import GossipKeys, GossipMessage, MemberUpdate, Observation
from umberlead.zones.model import MICROSECONDS_PER_S, ZoneState

ALIVE, SUSPECT, DEAD = 0, 1, 2
PING, ACK, PING_REQ = 0, 1, 2
ZONE_STATES = (ZoneState.HEALTHY, ZoneState.DEGRADED, ZoneState.DOWN, ZoneState.RECOVERING)
PROTOCOL_PERIOD_US = MICROSECONDS_PER_S
ACK_TIMEOUT_US = 300_000  # for an answer, and as long again for one through others
SUSPICION_TIMEOUT_US = 4 * MICROSECONDS_PER_S  # a suspect has to deny it
MEMBER_RETENTION_US = 120 * MICROSECONDS_PER_S  # the dead, and what is not proven
INDIRECT_PINGS_COUNT = 2
MAX_OBSERVATIONS_COUNT = 16
UPDATE_TRANSMISSIONS_COUNT = 6  # datagrams that carry a piece of news
MAX_MEMBERS_COUNT = 500
REPLAY_WINDOW_SIZE = 64  # numbers of a session that are remembered, against repeats

Datagrams = list[tuple[str, bytes]]


@dataclass(slots=True)
class Peer:
    name: str
    address: str
    incarnation: int = 0
    state: int = ALIVE
    since_us: int = 0
    session: int = -1  # the proven one
    highest_sequence: int = -1  # the highest of it
    seen_bits: int = 0  # which below that, as bits
    unproven_session: int = -1  # a session that has yet to prove itself
    nonce: int = 0  # that it must give back
    challenged_us: int = 0  # when it was asked to
    suspicion_sent_us: int = 0  # when it was last told that it is suspected


class Gossip:
    def __init__(
        self,
        name: str,
        address: str,
        seed_addresses: list[str],
        keys: GossipKeys,
        seed: int,
        now_us: int,
        bytes_per_second: int = 20_000,
    ) -> None:
        self.name, self.address, self.seed_addresses, self.keys = name, address, seed_addresses, keys
        self.rng = random.Random(seed)
        self.session = self.rng.getrandbits(53)
        self.incarnation, self._number = 0, 0
        self.peers: dict[str, Peer] = {}
        self.observations: dict[str, ZoneState] = {}
        self.on_observation: Callable[[str, str, ZoneState], None] = lambda name, room, state: None
        self.on_member_dead: Callable[[str], None] = lambda name: None
        self.bytes_per_second, self._available_bytes, self._refilled_us = (
            bytes_per_second,
            float(bytes_per_second),
            now_us,
        )
        self._next_ping_us = now_us
        self._ping_order: list[str] = []
        self._awaited_acks: dict[
            int, tuple[str, int, bool]
        ] = {}  # nonce: whom, when sent, asked through others
        self._relayed_pings: dict[int, tuple[str, int, int]] = {}  # nonce: who asked, their nonce, when
        self._pending_updates: dict[
            str, int
        ] = {}  # names whose news still spreads, and how often it has gone out
        self.dropped = self.rejected = 0

    # What it sends

    def _send(
        self, now_us: int, datagrams: Datagrams, address: str, kind: int, nonce: int, target: str = ""
    ) -> None:
        """One datagram, if the octets allow it; pings go before news."""
        updates, pending_names = (
            [MemberUpdate(self.name, self.address, self.incarnation, ALIVE)],
            sorted(self._pending_updates, key=self._pending_updates.__getitem__),
        )
        # Who is held gone hears it from whoever speaks to it, and can deny it.
        updates += [
            MemberUpdate(peer.name, peer.address, peer.incarnation, peer.state)
            for peer in self.peers.values()
            if peer.address == address and peer.state != ALIVE
        ]
        if self.peers:  # and one of all, so that whoever came late learns of everybody
            random_peer = self.rng.choice(list(self.peers.values()))
            updates.append(
                MemberUpdate(
                    random_peer.name, random_peer.address, random_peer.incarnation, random_peer.state
                )
            )
        for name in pending_names[:UPDATE_TRANSMISSIONS_COUNT]:
            peer = self.peers.get(name)
            if peer is not None:
                updates.append(MemberUpdate(peer.name, peer.address, peer.incarnation, peer.state))
            self._pending_updates[name] += 1
            if self._pending_updates[name] >= UPDATE_TRANSMISSIONS_COUNT or peer is None:
                del self._pending_updates[name]
        observations = [
            Observation(zone, ZONE_STATES.index(state)) for zone, state in self.observations.items()
        ]
        observations = self.rng.sample(observations, min(len(observations), MAX_OBSERVATIONS_COUNT))
        self._number += 1
        while True:
            message = GossipMessage(
                kind,
                self.name,
                self.address,
                self.session,
                self._number,
                nonce,
                target,
                updates,
                observations,
            )
            try:
                data = self.keys.seal(message)
                break
            except ValueError:  # long names: less at a time
                if observations:
                    observations = observations[: len(observations) // 2]
                elif len(updates) > 1:
                    updates.pop()
                else:
                    self.dropped += 1
                    return
        self._available_bytes = min(
            self._available_bytes + self.bytes_per_second * (now_us - self._refilled_us) / MICROSECONDS_PER_S,
            float(self.bytes_per_second),
        )
        self._refilled_us = now_us
        if len(data) > self._available_bytes:
            self.dropped += 1
            return
        self._available_bytes -= len(data)
        datagrams.append((address, data))

    def _nonce(self) -> int:
        return self.rng.getrandbits(53)

    def _ping(self, now_us: int, datagrams: Datagrams, name: str, address: str) -> int:
        nonce = self._nonce()
        self._awaited_acks[nonce] = (name, now_us, False)
        self._send(now_us, datagrams, address, PING, nonce)
        return nonce

    def tick(self, now_us: int) -> Datagrams:
        """At least ten times a second."""
        datagrams: Datagrams = []
        for nonce, (name, sent_us, is_indirect) in list(self._awaited_acks.items()):
            if now_us - sent_us < ACK_TIMEOUT_US:
                continue
            peer = self.peers.get(name)
            if peer is None or is_indirect or peer.state != ALIVE:
                del self._awaited_acks[nonce]
                if peer is not None and is_indirect and peer.state == ALIVE:
                    self._set_state(now_us, peer, SUSPECT, peer.incarnation)
                continue
            self._awaited_acks[nonce] = (name, now_us, True)
            helpers = [
                candidate
                for candidate in self.peers.values()
                if candidate.state == ALIVE and candidate.name != name and candidate.session >= 0
            ]
            for helper in self.rng.sample(helpers, min(INDIRECT_PINGS_COUNT, len(helpers))):
                self._send(now_us, datagrams, helper.address, PING_REQ, nonce, name)
        self._relayed_pings = {
            relayed_nonce: relayed
            for relayed_nonce, relayed in self._relayed_pings.items()
            if now_us - relayed[2] < 2 * ACK_TIMEOUT_US
        }
        for peer in list(self.peers.values()):
            if peer.state == SUSPECT and now_us - peer.since_us >= SUSPICION_TIMEOUT_US:
                self._set_state(now_us, peer, DEAD, peer.incarnation)
                self.on_member_dead(peer.name)
            elif peer.state == SUSPECT and now_us - peer.suspicion_sent_us >= ACK_TIMEOUT_US:
                peer.suspicion_sent_us = now_us
                self._send(
                    now_us, datagrams, peer.address, PING, self._nonce()
                )  # it must hear of it to deny it
            elif now_us - peer.since_us >= MEMBER_RETENTION_US and (peer.state == DEAD or peer.session < 0):
                del self.peers[peer.name]
        if now_us >= self._next_ping_us:
            self._next_ping_us = now_us + int(PROTOCOL_PERIOD_US * self.rng.uniform(0.8, 1.2))
            self._ping_next(now_us, datagrams)
        return datagrams

    def _ping_next(self, now_us: int, datagrams: Datagrams) -> None:
        while self._ping_order:
            peer = self.peers.get(self._ping_order.pop())
            if peer is not None and peer.state != DEAD:
                self._ping(now_us, datagrams, peer.name, peer.address)
                return
        self._ping_order = list(self.peers)
        self.rng.shuffle(self._ping_order)
        # Those named in the file are asked now and then whatever is held of them: a split heals so.
        address = self.rng.choice(self.seed_addresses) if self.seed_addresses else ""
        if address and address != self.address:
            self._ping(now_us, datagrams, "", address)

    # What it gets

    def receive(self, now_us: int, data: bytes) -> Datagrams:
        """A datagram, from whoever sent it."""
        datagrams: Datagrams = []
        message = self.keys.open(data)
        if message is None or message.name == self.name:
            self.rejected += 1
            return datagrams
        peer = self.peers.get(message.name)
        if peer is None:
            if len(self.peers) >= MAX_MEMBERS_COUNT:
                self.rejected += 1
                return datagrams
            peer = self.peers[message.name] = Peer(message.name, message.address, since_us=now_us)
            self._pending_updates[message.name] = 0
        if message.kind == PING:  # answered whoever asks: that gives nothing away, and lets it prove itself
            self._send(now_us, datagrams, message.address, ACK, message.nonce)
        if not self._is_session_proven(now_us, datagrams, peer, message):
            return datagrams
        if not self._is_fresh(peer, message.sequence):
            self.rejected += 1
            return datagrams
        peer.address = message.address
        if peer.state == SUSPECT:
            self._set_state(now_us, peer, ALIVE, peer.incarnation)  # it speaks
        if message.kind == ACK:
            self._on_ack(now_us, datagrams, message)
        elif message.kind == PING_REQ:
            target = self.peers.get(message.target)
            if target is not None:
                nonce = self._nonce()
                self._relayed_pings[nonce] = (message.name, message.nonce, now_us)
                self._send(now_us, datagrams, target.address, PING, nonce)
        for update in message.updates:
            self._apply_update(now_us, update)
        if peer.state == ALIVE:
            for observation in message.observations:
                self.on_observation(peer.name, observation.zone, ZONE_STATES[observation.state])
        return datagrams

    def _is_session_proven(
        self, now_us: int, datagrams: Datagrams, peer: Peer, message: GossipMessage
    ) -> bool:
        if message.session == peer.session:
            return True
        if message.kind == ACK:
            awaited = self._awaited_acks.get(message.nonce)
            if message.nonce == peer.nonce or (awaited is not None and awaited[0] in (peer.name, "")):
                # A nonce drawn here, not long ago: whoever gives it back lives now. A front that came back
                # under its name begins anew.
                peer.session, peer.highest_sequence, peer.seen_bits, peer.unproven_session = (
                    message.session,
                    -1,
                    0,
                    -1,
                )
                return True
        if message.session != peer.unproven_session or now_us - peer.challenged_us >= ACK_TIMEOUT_US:
            peer.unproven_session, peer.nonce, peer.challenged_us = message.session, self._nonce(), now_us
            self._send(now_us, datagrams, message.address, PING, peer.nonce)
        return False

    @staticmethod
    def _is_fresh(peer: Peer, sequence: int) -> bool:
        if sequence > peer.highest_sequence:
            shift = sequence - peer.highest_sequence
            peer.seen_bits = (
                ((peer.seen_bits << shift) | (1 << (shift - 1))) & ((1 << REPLAY_WINDOW_SIZE) - 1)
                if shift <= REPLAY_WINDOW_SIZE
                else 0
            )
            peer.highest_sequence = sequence
            return True
        age = peer.highest_sequence - sequence - 1
        if age < 0 or age >= REPLAY_WINDOW_SIZE or peer.seen_bits >> age & 1:
            return False
        peer.seen_bits |= 1 << age
        return True

    def _on_ack(self, now_us: int, datagrams: Datagrams, message: GossipMessage) -> None:
        self._awaited_acks.pop(message.nonce, None)
        relayed = self._relayed_pings.pop(message.nonce, None)
        requester = self.peers.get(relayed[0]) if relayed else None
        if relayed is not None and requester is not None:
            self._send(now_us, datagrams, requester.address, ACK, relayed[1])

    def _apply_update(self, now_us: int, update: MemberUpdate) -> None:
        """The higher life holds; of one life the worse state."""
        if update.name == self.name:
            if update.state != ALIVE and update.incarnation >= self.incarnation:
                self.incarnation = update.incarnation + 1
            return
        peer = self.peers.get(update.name)
        if peer is None:
            if update.state == ALIVE and len(self.peers) < MAX_MEMBERS_COUNT:
                self.peers[update.name] = Peer(
                    update.name, update.address, update.incarnation, since_us=now_us
                )
                self._pending_updates[update.name] = 0
            return
        if update.incarnation > peer.incarnation or (
            update.incarnation == peer.incarnation and update.state > peer.state
        ):
            previous_state = peer.state
            self._set_state(now_us, peer, update.state, update.incarnation)
            if update.state == DEAD and previous_state != DEAD:
                self.on_member_dead(peer.name)

    def _set_state(self, now_us: int, peer: Peer, state: int, incarnation: int) -> None:
        if (peer.state, peer.incarnation) != (state, incarnation):
            if peer.state != state:
                peer.since_us = now_us
            peer.state, peer.incarnation = state, incarnation
            self._pending_updates[peer.name] = 0

    def alive_members(self) -> list[str]:
        return sorted(peer.name for peer in self.peers.values() if peer.state == ALIVE and peer.session >= 0)
