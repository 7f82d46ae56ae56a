"""What a front knows of another one, and of the pings that are under way. Times are in us."""

from dataclasses import dataclass

from umberlead.gossip.messages import MemberState, MemberUpdate

REPLAY_WINDOW_SIZE = 64  # sequence numbers below the highest that are remembered


@dataclass(slots=True)
class Peer:
    """Another front, as this one knows it.

    Attributes:
        name: Its name.
        address: Its `host:port`.
        incarnation: Its incarnation.
        state: Whether it is alive, as far as this front knows.
        since_us: When that began.
        session: Its proven session, -1 if there is none.
        highest_sequence: The highest sequence number of that session.
        seen_bits: Which of the sequence numbers below were received; bit 0 is the next lower one.
        unproven_session: A session that has yet to be proven, -1 if there is none.
        nonce: What an ack of that session must repeat.
        challenged_us: When that was sent.
        suspicion_sent_us: When it was last told that it is a suspect.
    """

    name: str
    address: str
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE
    since_us: int = 0
    session: int = -1
    highest_sequence: int = -1
    seen_bits: int = 0
    unproven_session: int = -1
    nonce: int = 0
    challenged_us: int = 0
    suspicion_sent_us: int = 0

    def to_update(self) -> MemberUpdate:
        """Return what this front says of the peer."""
        return MemberUpdate(self.name, self.address, self.incarnation, self.state)

    def begin_session(self, session: int) -> None:
        """Take a session for proven."""
        self.session = session
        self.highest_sequence = -1
        self.seen_bits = 0
        self.unproven_session = -1

    def is_fresh(self, sequence: int) -> bool:
        """Return whether a sequence number of the session has not been received yet, and remember it."""
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
    """A ping without an ack so far; the name is empty for a seed address, whose front is not known."""

    name: str
    sent_us: int
    is_indirect: bool


@dataclass(frozen=True, slots=True)
class RelayedPing:
    """A ping for another front, whose ack is sent on to it with its own nonce."""

    requester: str
    requester_nonce: int
    sent_us: int
