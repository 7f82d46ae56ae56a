"""Records of the other members and of pings in flight. Times are in microseconds."""

from dataclasses import dataclass

from umberlead.gossip.messages import MemberState, MemberUpdate

REPLAY_WINDOW_SIZE = 64  # how many sequence numbers below the highest are tracked


@dataclass(slots=True)
class Peer:
    """Another front, as this one sees it.

    Attributes:
        name: The peer's name.
        address: The peer's `host:port`.
        incarnation: The peer's highest known incarnation.
        state: The peer's state in this front's view.
        since_us: When the peer entered this state.
        session: The peer's verified session, -1 if there is none.
        highest_sequence: The highest sequence number received in that session.
        seen_bits: A bit for each of the sequence numbers below the highest, set if it was received; bit 0 is
            the highest one minus 1.
        unverified_session: The session that is being verified, -1 if there is none.
        challenge_nonce: The nonce of the challenge, which an ack of the unverified session must repeat.
        challenged_us: When the challenge was sent.
        suspicion_sent_us: When the peer was last sent the update that it is a suspect.
    """

    name: str
    address: str
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE
    since_us: int = 0
    session: int = -1
    highest_sequence: int = -1
    seen_bits: int = 0
    unverified_session: int = -1
    challenge_nonce: int = 0
    challenged_us: int = 0
    suspicion_sent_us: int = 0

    def to_update(self) -> MemberUpdate:
        """Return the update about the peer that this front sends."""
        return MemberUpdate(self.name, self.address, self.incarnation, self.state)

    def begin_session(self, session: int) -> None:
        """Mark a session as verified, and start over with its sequence numbers."""
        self.session = session
        self.highest_sequence = -1
        self.seen_bits = 0
        self.unverified_session = -1

    def record_sequence(self, sequence: int) -> bool:
        """Record a sequence number of the session; return False if it is a replay or too old to tell."""
        if sequence > self.highest_sequence:
            shift = sequence - self.highest_sequence
            if shift <= REPLAY_WINDOW_SIZE:
                shifted_bits = (self.seen_bits << shift) | (1 << (shift - 1))
                self.seen_bits = shifted_bits & ((1 << REPLAY_WINDOW_SIZE) - 1)
            else:
                self.seen_bits = 0
            self.highest_sequence = sequence
            return True
        age = self.highest_sequence - sequence - 1
        if age < 0 or age >= REPLAY_WINDOW_SIZE or self.seen_bits >> age & 1:
            return False
        self.seen_bits |= 1 << age
        return True


@dataclass(frozen=True, slots=True)
class AwaitedAck:
    """A ping that awaits its ack; the name is empty for a ping to a seed address, whose member is unknown."""

    name: str
    sent_us: int
    is_indirect: bool


@dataclass(frozen=True, slots=True)
class RelayedPing:
    """A ping sent for another member, to which the ack is forwarded with the nonce of its request."""

    requester: str
    requester_nonce: int
    sent_us: int
