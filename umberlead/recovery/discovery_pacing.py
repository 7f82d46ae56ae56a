"""How a watch on discovery is paced: how long a call is waited for, and when the next one is made. No I/O.

Lists come in one of two ways. An agent on the front's own machine answers at once and at no cost, and is
silent while discovery is down; what it has counts as told at once, so it is called again at once. Or one
service answers the whole fleet in turn, and says no (503) to what has waited about 2 s; what it has counts
6 s after it had it and could be reached, whatever call failed. Which of the two it is shows in how it
answers.

The bound of the second: what a call has waited and the pause after it are counted together from the last
sign of life, LIMIT at most (`recovery/backoff.py`), and the next call's turn is the rest. How it fares, and
where a fleet calls more than the service takes, is in docs/measurements/news.md. Times are us of one clock
that only goes on."""

import random
from dataclasses import dataclass

from umberlead.recovery.backoff import FIRST, LIMIT, TURN, Backoff

SILENCE = 3_000_000  # us without even an empty line, of which one comes every 2 s
STALLED = 1_500_000  # us without a byte in the middle of a list, or of an answer's head
UNANSWERED = 600_000  # us an agent on this machine may take over a call's first word: with the pause, less
# than the second in which a drain told at the return of discovery must be known
UNSURE = 2_500_000  # us the same, where it may be a service that answers in turn, or says no, after 2 s
COMES_UP = 2_000_000  # us a connection to a service may take to come up
WAITING = LIMIT - 3 * FIRST  # us a service that answers in turn may take; a no that comes late is still heard
QUICK = 60_000  # us in which only an agent answers: the service was seen to take seven calls a second
WAITED = TURN // 2  # us after which a no means that the call had waited its turn
FEW = 8  # members of which each may call twice in UNSURE and a service that answers in turn bears it


@dataclass(slots=True, eq=False)
class Call:
    """One call, from its dial to the end of the watch that it opens."""

    began: int
    last: int  # its last sign of life
    up: int | None = None  # when its connection came up
    answered: bool = False
    quick: bool = False  # its first word came as only an agent's does
    status: int = 0
    asked: int = 0  # us of a Retry-After
    partial: bool = False  # the middle of a list, or of the answer's head
    listed: bool = False  # a list came


class Pacing:
    """One front's watch. `ours`: lists are pushed, so it should be an agent that answers; pushed lists were
    met behind a service for the whole fleet too, so it is learnt. `agent`: what an earlier process learnt."""

    def __init__(
        self,
        fleet: int = 1,
        ours: bool = False,
        agent: bool | None = None,
        chance: random.Random | None = None,
    ) -> None:
        self.backoff, self.ours = Backoff(fleet, chance), ours
        self.agent: bool | None = agent if ours else False  # None: not known yet

    def start(self) -> int:
        """Us until a new process's first call."""
        return 0 if self.ours else self.backoff.start()

    def call(self, now: int) -> Call:
        return Call(now, now)

    def heard(self, call: Call, now: int) -> None:
        """Anything at all counts against silence; only a list resets the back-off (see `listed`)."""
        call.last = now
        if not call.answered:
            call.answered = True
            call.quick = call.up is not None and now - call.up <= QUICK

    def head(self, call: Call, status: int) -> None:
        """The answer's status. An agent does not say no; a service that has others to answer is not quick."""
        call.status = status
        if status != 200:
            self.agent = False
        elif call.quick and self.agent is None:
            self.agent = True

    def listed(self, call: Call) -> None:
        call.listed = True
        self.backoff.worked()

    def moved(self) -> None:
        """To another address: what was refused there says nothing here."""
        self.backoff.worked()

    def due(self, call: Call) -> int:
        """When `call` is given up if nothing more comes of it."""
        return call.last + self._patience(call)

    def _patience(self, call: Call) -> int:
        """While discovery is down an agent says nothing. What it gets at the return counts as told at once:
        a call that hangs must not stand in the way of the next. A service that is overbooked has it wait."""
        if call.answered:
            return STALLED if call.partial else SILENCE
        if self.agent is False:
            return COMES_UP if call.up is None else WAITING
        if self.agent is None and call.up is not None and self.backoff.fleet > FEW:
            return UNSURE  # a service that is up takes the call
        return UNANSWERED

    def listens_on(self, call: Call, now: int) -> bool:
        """Whether a call that was given up is still listened to beside the next, up to UNSURE after it began:
        a service that was taken for an agent answers in its turn, or says no, only then."""
        here = call.up is not None and not call.answered
        return here and self.agent is not False and now < call.began + UNSURE

    def no_word(self, call: Call) -> None:
        """UNSURE went by: a service would have said no."""
        if self.agent is None and not call.answered:
            self.agent = True

    def again(self, call: Call, now: int, silent: bool) -> int:
        """Us from `now` until the next call; `silent`: this one was given up, and did not end."""
        hung = silent and not call.answered
        if hung and not self.listens_on(call, now):
            self.no_word(call)
        if self.agent or (self.agent is None and hung):
            return self.backoff.alone()
        if call.up is None and not silent:
            self.backoff.emptied()
        since = call.last if silent else now if call.listed else call.began
        waited = call.answered and call.status not in (0, 200) and now - call.began >= WAITED
        return self.backoff.next(now, since + LIMIT - now, call.asked, waited)
