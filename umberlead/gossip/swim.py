"""SWIM membership of fronts, with the zone states that they observe. Does no I/O; times are in microseconds.

After Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (2002). In each protocol period a front pings one other member, round-robin in a shuffled order. A
member that does not ack is pinged indirectly through two helpers, then marked suspect, and after a timeout
marked dead. A member refutes this by incrementing its incarnation. Datagrams carry updates about members and
the sender's own observations of zones.

There are two additions to the paper. A peer's session has to be verified before its messages are used: it
must repeat a nonce that was drawn for it, so that datagrams recorded in an earlier session can't be replayed.
And the number of bytes sent per second is limited.
"""

import random
from collections.abc import Callable

from umberlead.gossip.members import AwaitedAck, Peer, RelayedPing
from umberlead.gossip.messages import (
    DatagramTooLongError,
    GossipKeys,
    GossipMessage,
    MemberState,
    MemberUpdate,
    MessageKind,
    Observation,
)
from umberlead.zones.model import MICROSECONDS_PER_S, ZoneState

# The zone states, at the index that is their number in datagrams.
ZONE_STATES = (ZoneState.HEALTHY, ZoneState.DEGRADED, ZoneState.DOWN, ZoneState.RECOVERING)

PROTOCOL_PERIOD_US = MICROSECONDS_PER_S
ACK_TIMEOUT_US = 300_000  # for a direct ack, and again for an indirect one
SUSPICION_TIMEOUT_US = 4 * MICROSECONDS_PER_S  # within which a suspect can refute the suspicion
MEMBER_RETENTION_US = 120 * MICROSECONDS_PER_S  # of dead members, and of those never verified
INDIRECT_PING_COUNT = 2
MAX_OBSERVATION_COUNT = 16  # per datagram
UPDATE_TRANSMISSION_COUNT = 6  # of an update; also the limit of pending updates per datagram
MAX_PEER_COUNT = 500
NONCE_BITS = 53

Datagrams = list[tuple[str, bytes]]  # pairs of destination address and data


def _ignore_observation(peer: str, zone: str, state: ZoneState) -> None:
    """The default callback for observations, which does nothing."""


def _ignore_death(peer: str) -> None:
    """The default callback for dead members, which does nothing."""


class Gossip:
    """The gossip state machine of one front: takes datagrams and the time, returns datagrams to send.

    Attributes:
        name: This front's name.
        address: This front's `host:port`.
        seed_addresses: The addresses through which it joins the others.
        session: The random number that identifies this process.
        incarnation: This front's incarnation.
        peers: The other members, by name.
        observations: The zone states that this front observes, by zone name; set by the owner.
        on_observation: Called with the names of a peer and a zone, and the state that the peer observes.
        on_member_dead: Called with the name of a peer when it is marked dead.
        dropped_count: The number of datagrams that were not sent because of the rate limit.
        rejected_count: The number of received datagrams that were ignored as invalid, as replays, or because
            there are too many peers.
    """

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
        """Start without peers; the first ping is due immediately."""
        self.name = name
        self.address = address
        self.seed_addresses = seed_addresses
        self.keys = keys
        self.rng = random.Random(seed)
        self.session = self._draw_nonce()
        self.incarnation = 0
        self.peers: dict[str, Peer] = {}
        self.observations: dict[str, ZoneState] = {}
        self.on_observation: Callable[[str, str, ZoneState], None] = _ignore_observation
        self.on_member_dead: Callable[[str], None] = _ignore_death
        self.bytes_per_second = bytes_per_second
        self.dropped_count = 0
        self.rejected_count = 0
        self._available_bytes = float(bytes_per_second)
        self._refilled_us = now_us
        self._sequence = 0
        self._next_ping_us = now_us
        self._ping_order: list[str] = []
        self._awaited_acks: dict[int, AwaitedAck] = {}  # by nonce
        self._relayed_pings: dict[int, RelayedPing] = {}  # by the nonce of the relayed ping
        self._pending_updates: dict[str, int] = {}  # transmissions so far of the update about each member

    def _draw_nonce(self) -> int:
        return self.rng.getrandbits(NONCE_BITS)

    # Sending

    def _send(
        self, now_us: int, datagrams: Datagrams, address: str, kind: MessageKind, nonce: int, target: str = ""
    ) -> None:
        """Append a datagram to those to send, unless it exceeds the rate limit (a token bucket of bytes)."""
        data = self._seal(kind, nonce, target, self._updates_for(address), self._sampled_observations())
        if data is None:
            self.dropped_count += 1
            return
        refilled_bytes = self.bytes_per_second * (now_us - self._refilled_us) / MICROSECONDS_PER_S
        self._available_bytes = min(self._available_bytes + refilled_bytes, float(self.bytes_per_second))
        self._refilled_us = now_us
        if len(data) > self._available_bytes:
            self.dropped_count += 1
            return
        self._available_bytes -= len(data)
        datagrams.append((address, data))

    def _updates_for(self, address: str) -> list[MemberUpdate]:
        """Return the updates for a datagram to an address, the most important first."""
        updates = [MemberUpdate(self.name, self.address, self.incarnation, MemberState.ALIVE)]
        # Any datagram to a member that is suspect or dead carries that update, so that it can refute it.
        updates += [
            peer.to_update()
            for peer in self.peers.values()
            if peer.address == address and peer.state != MemberState.ALIVE
        ]
        if self.peers:  # a random one, so that members that join late eventually learn of all the others
            updates.append(self.rng.choice(list(self.peers.values())).to_update())
        fewest_sent_first = sorted(self._pending_updates, key=self._pending_updates.__getitem__)
        for name in fewest_sent_first[:UPDATE_TRANSMISSION_COUNT]:
            peer = self.peers.get(name)
            if peer is not None:
                updates.append(peer.to_update())
            self._pending_updates[name] += 1
            if self._pending_updates[name] >= UPDATE_TRANSMISSION_COUNT or peer is None:
                del self._pending_updates[name]
        return updates

    def _sampled_observations(self) -> list[Observation]:
        observations = [
            Observation(zone, ZONE_STATES.index(state)) for zone, state in self.observations.items()
        ]
        return self.rng.sample(observations, min(len(observations), MAX_OBSERVATION_COUNT))

    def _seal(
        self,
        kind: MessageKind,
        nonce: int,
        target: str,
        updates: list[MemberUpdate],
        observations: list[Observation],
    ) -> bytes | None:
        """Return the signed datagram, with fewer observations and updates if it is too long.

        Returns:
            None if even the update about this front alone makes it too long.
        """
        self._sequence += 1
        while True:
            message = GossipMessage(
                kind,
                self.name,
                self.address,
                self.session,
                self._sequence,
                nonce,
                target,
                updates,
                observations,
            )
            try:
                return self.keys.seal(message)
            except DatagramTooLongError:  # because of long names
                if observations:
                    observations = observations[: len(observations) // 2]
                elif len(updates) > 1:
                    updates.pop()
                else:
                    return None

    def _ping(self, now_us: int, datagrams: Datagrams, name: str, address: str) -> None:
        nonce = self._draw_nonce()
        self._awaited_acks[nonce] = AwaitedAck(name, now_us, False)
        self._send(now_us, datagrams, address, MessageKind.PING, nonce)

    # Timers

    def tick(self, now_us: int) -> Datagrams:
        """Expire timeouts and return the datagrams that are due; call this at least ten times a second."""
        datagrams: Datagrams = []
        self._expire_awaited_acks(now_us, datagrams)
        self._relayed_pings = {
            nonce: relayed
            for nonce, relayed in self._relayed_pings.items()
            if now_us - relayed.sent_us < 2 * ACK_TIMEOUT_US
        }
        self._expire_peers(now_us, datagrams)
        if now_us >= self._next_ping_us:
            self._next_ping_us = now_us + int(PROTOCOL_PERIOD_US * self.rng.uniform(0.8, 1.2))
            self._ping_next(now_us, datagrams)
        return datagrams

    def _expire_awaited_acks(self, now_us: int, datagrams: Datagrams) -> None:
        """Ping members without an ack through helpers; suspect those without an ack of these pings either."""
        for nonce, awaited in list(self._awaited_acks.items()):
            if now_us - awaited.sent_us < ACK_TIMEOUT_US:
                continue
            peer = self.peers.get(awaited.name)
            if peer is None or peer.state != MemberState.ALIVE:
                del self._awaited_acks[nonce]
            elif awaited.is_indirect:
                del self._awaited_acks[nonce]
                self._set_state(now_us, peer, MemberState.SUSPECT, peer.incarnation)
            else:
                self._awaited_acks[nonce] = AwaitedAck(awaited.name, now_us, True)
                self._ping_through_helpers(now_us, datagrams, awaited.name, nonce)

    def _ping_through_helpers(self, now_us: int, datagrams: Datagrams, name: str, nonce: int) -> None:
        helpers = [
            candidate
            for candidate in self.peers.values()
            if candidate.state == MemberState.ALIVE and candidate.name != name and candidate.session >= 0
        ]
        for helper in self.rng.sample(helpers, min(INDIRECT_PING_COUNT, len(helpers))):
            self._send(now_us, datagrams, helper.address, MessageKind.PING_REQ, nonce, name)

    def _expire_peers(self, now_us: int, datagrams: Datagrams) -> None:
        """Notify suspects that they are suspected, mark them dead after the timeout, and remove the dead."""
        for peer in list(self.peers.values()):
            elapsed_us = now_us - peer.since_us
            if peer.state == MemberState.SUSPECT and elapsed_us >= SUSPICION_TIMEOUT_US:
                self._set_state(now_us, peer, MemberState.DEAD, peer.incarnation)
                self.on_member_dead(peer.name)
            elif peer.state == MemberState.SUSPECT and now_us - peer.suspicion_sent_us >= ACK_TIMEOUT_US:
                peer.suspicion_sent_us = now_us
                self._send(now_us, datagrams, peer.address, MessageKind.PING, self._draw_nonce())
            elif elapsed_us >= MEMBER_RETENTION_US and (peer.state == MemberState.DEAD or peer.session < 0):
                del self.peers[peer.name]

    def _ping_next(self, now_us: int, datagrams: Datagrams) -> None:
        """Ping the next member of the order; at its end draw a new order, and ping a seed address."""
        while self._ping_order:
            peer = self.peers.get(self._ping_order.pop())
            if peer is not None and peer.state != MemberState.DEAD:
                self._ping(now_us, datagrams, peer.name, peer.address)
                return
        self._ping_order = list(self.peers)
        self.rng.shuffle(self._ping_order)
        # Seed addresses are pinged even if their members are known to be dead: this heals network partitions.
        address = self.rng.choice(self.seed_addresses) if self.seed_addresses else ""
        if address and address != self.address:
            self._ping(now_us, datagrams, "", address)

    # Receiving

    def receive(self, now_us: int, data: bytes) -> Datagrams:
        """Handle a received datagram, which may be from anyone; return the datagrams to send in response."""
        datagrams: Datagrams = []
        message = self.keys.open(data)
        peer = None if message is None else self._find_or_add_sender(now_us, message)
        if message is None or peer is None:
            self.rejected_count += 1
            return datagrams
        # Pings of unverified sessions are acked too: this discloses nothing, and else two fronts that are new
        # to each other could never verify their sessions.
        if message.kind == MessageKind.PING:
            self._send(now_us, datagrams, message.address, MessageKind.ACK, message.nonce)
        if not self._is_session_verified(now_us, datagrams, peer, message):
            return datagrams
        if not peer.record_sequence(message.sequence):
            self.rejected_count += 1
            return datagrams
        peer.address = message.address
        if peer.state == MemberState.SUSPECT:
            self._set_state(now_us, peer, MemberState.ALIVE, peer.incarnation)
        if message.kind == MessageKind.ACK:
            self._on_ack(now_us, datagrams, message)
        elif message.kind == MessageKind.PING_REQ:
            self._relay_ping(now_us, datagrams, message)
        self._apply_contents(now_us, peer, message)
        return datagrams

    def _apply_contents(self, now_us: int, peer: Peer, message: GossipMessage) -> None:
        """Apply the updates of a message, and its observations if its sender is alive after these updates."""
        for update in message.updates:
            self._apply_update(now_us, update)
        if peer.state == MemberState.ALIVE:
            for observation in message.observations:
                self.on_observation(peer.name, observation.zone, ZONE_STATES[observation.state])

    def _find_or_add_sender(self, now_us: int, message: GossipMessage) -> Peer | None:
        """Return the sender of a message, which may be a new peer; None for this front or too many peers."""
        if message.name == self.name:
            return None
        peer = self.peers.get(message.name)
        if peer is None and len(self.peers) < MAX_PEER_COUNT:
            peer = Peer(message.name, message.address, since_us=now_us)
            self.peers[message.name] = peer
            self._pending_updates[message.name] = 0
        return peer

    def _is_session_verified(
        self, now_us: int, datagrams: Datagrams, peer: Peer, message: GossipMessage
    ) -> bool:
        """Return whether a message belongs to the peer's verified session; if not, challenge its session."""
        if message.session == peer.session:
            return True
        if message.kind == MessageKind.ACK:
            awaited = self._awaited_acks.get(message.nonce)
            is_awaited = awaited is not None and awaited.name in (peer.name, "")
            if message.nonce == peer.challenge_nonce or is_awaited:
                # This front drew the nonce recently, so the ack is no replay and its sender is alive. After a
                # restart the sender has a new session.
                peer.begin_session(message.session)
                return True
        if message.session != peer.unverified_session or now_us - peer.challenged_us >= ACK_TIMEOUT_US:
            peer.unverified_session = message.session
            peer.challenge_nonce = self._draw_nonce()
            peer.challenged_us = now_us
            self._send(now_us, datagrams, message.address, MessageKind.PING, peer.challenge_nonce)
        return False

    def _relay_ping(self, now_us: int, datagrams: Datagrams, message: GossipMessage) -> None:
        target = self.peers.get(message.target)
        if target is not None:
            nonce = self._draw_nonce()
            self._relayed_pings[nonce] = RelayedPing(message.name, message.nonce, now_us)
            self._send(now_us, datagrams, target.address, MessageKind.PING, nonce)

    def _on_ack(self, now_us: int, datagrams: Datagrams, message: GossipMessage) -> None:
        self._awaited_acks.pop(message.nonce, None)
        relayed = self._relayed_pings.pop(message.nonce, None)
        if relayed is None:
            return
        requester = self.peers.get(relayed.requester)
        if requester is not None:
            self._send(now_us, datagrams, requester.address, MessageKind.ACK, relayed.requester_nonce)

    def _apply_update(self, now_us: int, update: MemberUpdate) -> None:
        """Apply an update of a higher incarnation, or of the same one and a worse state.

        This front refutes an update that declares it suspect or dead.
        """
        if update.name == self.name:
            if update.state != MemberState.ALIVE and update.incarnation >= self.incarnation:
                self.incarnation = update.incarnation + 1
            return
        peer = self.peers.get(update.name)
        if peer is None:
            if update.state == MemberState.ALIVE and len(self.peers) < MAX_PEER_COUNT:
                peer = Peer(update.name, update.address, update.incarnation, since_us=now_us)
                self.peers[update.name] = peer
                self._pending_updates[update.name] = 0
            return
        if (update.incarnation, update.state) <= (peer.incarnation, peer.state):
            return
        previous_state = peer.state
        self._set_state(now_us, peer, MemberState(update.state), update.incarnation)
        if update.state == MemberState.DEAD and previous_state != MemberState.DEAD:
            self.on_member_dead(peer.name)

    def _set_state(self, now_us: int, peer: Peer, state: MemberState, incarnation: int) -> None:
        if (peer.state, peer.incarnation) == (state, incarnation):
            return
        if peer.state != state:
            peer.since_us = now_us
        peer.state = state
        peer.incarnation = incarnation
        self._pending_updates[peer.name] = 0

    def alive_members(self) -> list[str]:
        """Return the names of the peers that are alive and whose session is verified."""
        return sorted(
            peer.name for peer in self.peers.values() if peer.state == MemberState.ALIVE and peer.session >= 0
        )
