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

from umberlead.gossip.messages import Keys, Message, News, Word
from umberlead.zones.model import SECOND, State

ALIVE, SUSPECT, DEAD = 0, 1, 2
PING, ANSWER, ASK = 0, 1, 2
STATES = (State.WELL, State.GREY, State.LOST, State.RETURN)
EVERY = SECOND
WAIT = 300_000  # for an answer, and as long again for one through others
DOUBT = 4 * SECOND  # a suspect has to deny it
FORGET = 120 * SECOND  # the dead, and what is not proven
THROUGH = 2
WORDS_MOST = 16
SPREAD = 6  # datagrams that carry a piece of news
MEMBERS_MOST = 500
SEEN = 64  # numbers of a session that are remembered, against repeats

Out = list[tuple[str, bytes]]


@dataclass(slots=True)
class Peer:
    name: str
    address: str
    life: int = 0
    state: int = ALIVE
    since: int = 0
    session: int = -1  # the proven one
    number: int = -1  # the highest of it
    seen: int = 0  # which below that, as bits
    offered: int = -1  # a session that has yet to prove itself
    nonce: int = 0  # that it must give back
    asked: int = 0  # when it was asked to
    doubted: int = 0  # when it was last told that it is suspected


class Gossip:
    def __init__(
        self, name: str, address: str, join: list[str], keys: Keys, seed: int, now: int, octets: int = 20_000
    ) -> None:
        self.name, self.address, self.join, self.keys = name, address, join, keys
        self.chance = random.Random(seed)
        self.session = self.chance.getrandbits(53)
        self.life, self._number = 0, 0
        self.peers: dict[str, Peer] = {}
        self.words: dict[str, State] = {}
        self.heard: Callable[[str, str, State], None] = lambda name, room, state: None
        self.left: Callable[[str], None] = lambda name: None
        self.octets, self._store, self._filled = octets, float(octets), now
        self._next = now
        self._order: list[str] = []
        self._waits: dict[int, tuple[str, int, bool]] = {}  # nonce: whom, when sent, asked through others
        self._for: dict[int, tuple[str, int, int]] = {}  # nonce: who asked, their nonce, when
        self._news: dict[str, int] = {}  # names whose news still spreads, and how often it has gone out
        self.dropped = self.refused = 0

    # What it sends

    def _send(self, now: int, out: Out, address: str, kind: int, nonce: int, target: str = "") -> None:
        """One datagram, if the octets allow it; pings go before news."""
        news, rows = [News(self.name, self.address, self.life, ALIVE)], sorted(self._news, key=self._news.get)  # type: ignore[arg-type]
        # Who is held gone hears it from whoever speaks to it, and can deny it.
        news += [
            News(p.name, p.address, p.life, p.state) for p in self.peers.values()
            if p.address == address and p.state != ALIVE
        ]  # fmt: skip
        if self.peers:  # and one of all, so that whoever came late learns of everybody
            any_ = self.chance.choice(list(self.peers.values()))
            news.append(News(any_.name, any_.address, any_.life, any_.state))
        for name in rows[:SPREAD]:
            peer = self.peers.get(name)
            if peer is not None:
                news.append(News(peer.name, peer.address, peer.life, peer.state))
            self._news[name] += 1
            if self._news[name] >= SPREAD or peer is None:
                del self._news[name]
        words = [Word(room, STATES.index(state)) for room, state in self.words.items()]
        words = self.chance.sample(words, min(len(words), WORDS_MOST))
        self._number += 1
        while True:
            message = Message(
                kind, self.name, self.address, self.session, self._number, nonce, target, news, words
            )  # fmt: skip
            try:
                data = self.keys.sealed(message)
                break
            except ValueError:  # long names: less at a time
                if words:
                    words = words[: len(words) // 2]
                elif len(news) > 1:
                    news.pop()
                else:
                    self.dropped += 1
                    return
        self._store = min(self._store + self.octets * (now - self._filled) / SECOND, float(self.octets))
        self._filled = now
        if len(data) > self._store:
            self.dropped += 1
            return
        self._store -= len(data)
        out.append((address, data))

    def _nonce(self) -> int:
        return self.chance.getrandbits(53)

    def _ping(self, now: int, out: Out, name: str, address: str) -> int:
        nonce = self._nonce()
        self._waits[nonce] = (name, now, False)
        self._send(now, out, address, PING, nonce)
        return nonce

    def tick(self, now: int) -> Out:
        """At least ten times a second."""
        out: Out = []
        for nonce, (name, at, through) in list(self._waits.items()):
            if now - at < WAIT:
                continue
            peer = self.peers.get(name)
            if peer is None or through or peer.state != ALIVE:
                del self._waits[nonce]
                if peer is not None and through and peer.state == ALIVE:
                    self._set(now, peer, SUSPECT, peer.life)
                continue
            self._waits[nonce] = (name, now, True)
            others = [
                p for p in self.peers.values() if p.state == ALIVE and p.name != name and p.session >= 0
            ]
            for other in self.chance.sample(others, min(THROUGH, len(others))):
                self._send(now, out, other.address, ASK, nonce, name)
        self._for = {n: row for n, row in self._for.items() if now - row[2] < 2 * WAIT}
        for peer in list(self.peers.values()):
            if peer.state == SUSPECT and now - peer.since >= DOUBT:
                self._set(now, peer, DEAD, peer.life)
                self.left(peer.name)
            elif peer.state == SUSPECT and now - peer.doubted >= WAIT:
                peer.doubted = now
                self._send(now, out, peer.address, PING, self._nonce())  # it must hear of it to deny it
            elif now - peer.since >= FORGET and (peer.state == DEAD or peer.session < 0):
                del self.peers[peer.name]
        if now >= self._next:
            self._next = now + int(EVERY * self.chance.uniform(0.8, 1.2))
            self._turn(now, out)
        return out

    def _turn(self, now: int, out: Out) -> None:
        while self._order:
            peer = self.peers.get(self._order.pop())
            if peer is not None and peer.state != DEAD:
                self._ping(now, out, peer.name, peer.address)
                return
        self._order = list(self.peers)
        self.chance.shuffle(self._order)
        # Those named in the file are asked now and then whatever is held of them: a split heals so.
        address = self.chance.choice(self.join) if self.join else ""
        if address and address != self.address:
            self._ping(now, out, "", address)

    # What it gets

    def got(self, now: int, data: bytes) -> Out:
        """A datagram, from whoever sent it."""
        out: Out = []
        message = self.keys.opened(data)
        if message is None or message.name == self.name:
            self.refused += 1
            return out
        peer = self.peers.get(message.name)
        if peer is None:
            if len(self.peers) >= MEMBERS_MOST:
                self.refused += 1
                return out
            peer = self.peers[message.name] = Peer(message.name, message.address, since=now)
            self._news[message.name] = 0
        if message.kind == PING:  # answered whoever asks: that gives nothing away, and lets it prove itself
            self._send(now, out, message.address, ANSWER, message.nonce)
        if not self._proven(now, out, peer, message):
            return out
        if not self._fresh(peer, message.number):
            self.refused += 1
            return out
        peer.address = message.address
        if peer.state == SUSPECT:
            self._set(now, peer, ALIVE, peer.life)  # it speaks
        if message.kind == ANSWER:
            self._answered(now, out, message)
        elif message.kind == ASK:
            target = self.peers.get(message.target)
            if target is not None:
                nonce = self._nonce()
                self._for[nonce] = (message.name, message.nonce, now)
                self._send(now, out, target.address, PING, nonce)
        for news in message.news:
            self._learn(now, news)
        if peer.state == ALIVE:
            for word in message.words:
                self.heard(peer.name, word.room, STATES[word.state])
        return out

    def _proven(self, now: int, out: Out, peer: Peer, message: Message) -> bool:
        if message.session == peer.session:
            return True
        if message.kind == ANSWER:
            waits = self._waits.get(message.nonce)
            if message.nonce == peer.nonce or (waits is not None and waits[0] in (peer.name, "")):
                # A nonce drawn here, not long ago: whoever gives it back lives now. A front that came back
                # under its name begins anew.
                peer.session, peer.number, peer.seen, peer.offered = message.session, -1, 0, -1
                return True
        if message.session != peer.offered or now - peer.asked >= WAIT:
            peer.offered, peer.nonce, peer.asked = message.session, self._nonce(), now
            self._send(now, out, message.address, PING, peer.nonce)
        return False

    @staticmethod
    def _fresh(peer: Peer, number: int) -> bool:
        if number > peer.number:
            shift = number - peer.number
            peer.seen = (
                ((peer.seen << shift) | (1 << (shift - 1))) & ((1 << SEEN) - 1) if shift <= SEEN else 0
            )
            peer.number = number
            return True
        back = peer.number - number - 1
        if back < 0 or back >= SEEN or peer.seen >> back & 1:
            return False
        peer.seen |= 1 << back
        return True

    def _answered(self, now: int, out: Out, message: Message) -> None:
        self._waits.pop(message.nonce, None)
        row = self._for.pop(message.nonce, None)
        asker = self.peers.get(row[0]) if row else None
        if row is not None and asker is not None:
            self._send(now, out, asker.address, ANSWER, row[1])

    def _learn(self, now: int, news: News) -> None:
        """The higher life holds; of one life the worse state."""
        if news.name == self.name:
            if news.state != ALIVE and news.life >= self.life:
                self.life = news.life + 1
            return
        peer = self.peers.get(news.name)
        if peer is None:
            if news.state == ALIVE and len(self.peers) < MEMBERS_MOST:
                self.peers[news.name] = Peer(news.name, news.address, news.life, since=now)
                self._news[news.name] = 0
            return
        if news.life > peer.life or (news.life == peer.life and news.state > peer.state):
            was = peer.state
            self._set(now, peer, news.state, news.life)
            if news.state == DEAD and was != DEAD:
                self.left(peer.name)

    def _set(self, now: int, peer: Peer, state: int, life: int) -> None:
        if (peer.state, peer.life) != (state, life):
            if peer.state != state:
                peer.since = now
            peer.state, peer.life = state, life
            self._news[peer.name] = 0

    def alive(self) -> list[str]:
        return sorted(p.name for p in self.peers.values() if p.state == ALIVE and p.session >= 0)
