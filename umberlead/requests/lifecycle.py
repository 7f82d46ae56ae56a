"""Requests, attempts and outcomes between fronts, the decision module and whatever carries attempts.

A front hands in an `IncomingRequest` and is called back once with its `Answer`. The module's word is carried
out as it comes; what the rules forbid (`send_guard.py`) is not sent whoever asks for it. No wire is known
here."""

import traceback
from collections.abc import Callable
from typing import Any

from umberlead.common.counters import Counters
from umberlead.common.slot_table import Slots
from umberlead.common.timer_wheel import Wheel
from umberlead.requests.invariants import InvariantChecker
from umberlead.requests.send_guard import Denial, SendGuard
from umberlead.requests.types import (
    NEVER_RAN,
    Answer,
    Attempt,
    Carrier,
    DuplicateRequestError,
    Hooks,
    IncomingRequest,
    InFlightRequest,
    Kind,
    Refused,
    Reply,
    Watcher,
)
from umberlead.scheduling import interface as api
from umberlead.scheduling.interface import Effect, Result
from umberlead.scheduling.scheduler import Head

NAMES_FOR = 10_000_000  # us at least that a request's name stays taken after it came
LAST_WORD = 10_000  # us after a request's end by which the engine answers in the module's place


class Engine:
    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        clock: Callable[[], int],
        wheel: Wheel,
        soon: Callable[[Callable[[], None]], Any],
        counters: Counters,
        log: Callable[..., None],
        hooks: Hooks | None = None,
    ) -> None:
        self.settings, self.clock, self.wheel, self.counters = settings, clock, wheel, counters
        self.log, self.hooks, self._soon = log, hooks, soon
        self.soon = soon
        self.classes = {c.name: c for c in settings.classes}
        self.plans = {p.name for p in settings.plans}
        self.head = Head(settings, seed, clock())
        self.tickets: Slots[InFlightRequest] = Slots()
        self.names_most = 20_000
        self.carrier: Carrier | None = None
        self.watcher: Watcher | None = None
        self.observer: Callable[[int, list[api.Action]], None] | None = None  # of each decision
        self._events: list[api.Event] = []
        self._number = 0
        self._names, self._older = set[bytes](), set[bytes]()  # of two spans, so that old ones go
        self._names_since = clock()
        self._open: dict[bytes, InFlightRequest] = {}
        self.active = 0  # requests taken and not answered
        self.over = False  # the process ends: nothing new is begun
        self.figures = {(kind, c.name): 0 for kind in Kind for c in settings.classes}  # answers
        self.trace: Callable[..., None] | None = None  # a line of each attempt, for the log
        self.guard = SendGuard(
            self.classes, settings.max_attempts, clock, self.takes_new, self.client_waits
        )  # fmt: skip
        self.invariants = InvariantChecker(settings, clock, counters, log)

    # From the fronts

    def take(self, ask: IncomingRequest, done: Callable[[Answer], None]) -> InFlightRequest:
        """Owe `ask` one answer."""
        if ask.class_name not in self.classes or ask.plan not in self.plans:
            raise ValueError(f"unknown class or plan: {ask.class_name}, {ask.plan}")
        if ask.name:
            self._name(ask.name)
        ticket = InFlightRequest(ask, done, taken=self.clock())
        if ask.name:
            self._open[ask.name] = ticket
        ticket.slot, self._number = self.tickets.add(ticket), self._number + 1
        ticket.id = f"{ticket.slot}.{self._number}"
        self.counters.add("requests_taken")
        self.active += 1
        reason = self.hooks.taken(ticket) if self.hooks else None
        if self.over:
            reason = "the front stops"
        if reason is not None or ask.give_up <= self.clock():
            why = reason if isinstance(reason, Refused) else Refused(reason or "no time left")
            self._answer(ticket, Answer(Kind.REFUSED, retry_after=why.retry_after, reason=why.reason))
            return ticket
        ticket.timer = self.wheel.at(ask.give_up, self._out_of_time, ticket)
        self._post(
            api.Request(
                ticket.id, ask.key, ask.volume, ask.give_up, ask.shard, ask.units, ask.class_name, ask.plan,
                ask.writers, ask.repeat,
            )
        )  # fmt: skip
        return ticket

    def _name(self, name: bytes) -> None:
        """Chunk servers know a request by its name alone: a second one with it would be a second copy."""
        now = self.clock()
        if now - self._names_since >= NAMES_FOR or len(self._names) > self.names_most:
            self._names, self._older, self._names_since = set(), self._names, now
        if name in self._open or name in self._names or name in self._older:
            self.counters.add("requests_duplicate")
            raise DuplicateRequestError("this request's id is another's")
        self._names.add(name)

    def gone(self, ticket: InFlightRequest) -> None:
        """Its client left: nothing is owed. An attempt that is out runs on: no cancel stops the node's work,
        and its outcome is news. One that still waits for its connection is not sent any more."""
        if not ticket.answered:
            ticket.answered = True
            ticket.left_at = ticket.left_at or self.clock()
            self.active -= 1
            self.counters.add("clients_gone")
            if ticket.out is not None and self.carrier is not None:
                self.carrier.unwanted(ticket.out)
            self._post(api.ClientGone(ticket.id))
            self._release(ticket)

    def client_waits(self, ticket: InFlightRequest) -> bool:
        """Whether its client still waits, looked for at this moment: where a front is busy or stood still,
        news that it left comes behind the turn that begins an attempt. If it left, that is acted on here."""
        if ticket.answered or ticket.forsaken:
            return False
        if ticket.ask.left is None or not ticket.ask.left():
            return True
        if not ticket.forsaken:  # by its front, in that look
            self.gone(ticket)
        return False

    def forsake(self, ticket: InFlightRequest) -> None:
        """Its client left, and a front keeps account of what ran: no attempt is begun any more, and the
        answer comes as soon as it is known what became of one that is out."""
        if ticket.answered or ticket.forsaken:
            return
        ticket.forsaken = True
        ticket.left_at = ticket.left_at or self.clock()
        self.counters.add("clients_gone")
        if ticket.out is None:
            self._forsaken(ticket)
            self._post(api.ClientGone(ticket.id))
        elif self.carrier is not None:
            self.carrier.unwanted(ticket.out)

    def _forsaken(self, ticket: InFlightRequest) -> None:
        kind = Kind.REFUSED if self.guard.may_repeat(ticket) else Kind.FAILED
        self._answer(ticket, Answer(kind, None, 0, ticket.may_have_run, "its client left"))

    def listed(self, news: api.NodeList) -> None:
        self.invariants.listed(news)
        self._post(news if self.watcher is None else self.watcher.listed(news))

    def tell(self, news: api.NodeList) -> None:
        """To the module as it is, past the watcher whose word it is."""
        self._post(news)

    def turn_away(self, which: Callable[[InFlightRequest], bool], reason: str, retry_after: int) -> int:
        """Refuse what waits with no attempt out and may be repeated, now instead of at its aim; how many."""
        count = 0
        for ticket in list(self.tickets):
            if (
                ticket.answered
                or ticket.out is not None
                or not self.guard.may_repeat(ticket)
                or not which(ticket)
            ):
                continue
            count += 1
            self._answer(ticket, Answer(Kind.REFUSED, None, retry_after, ticket.may_have_run, reason))
            self._post(api.ClientGone(ticket.id))
        return count

    def withdraw(self, which: Callable[["Attempt"], bool]) -> int:
        """Stop waiting for attempts of requests that may be repeated: the module may try elsewhere; how
        many."""
        count = 0
        for ticket in list(self.tickets):
            out = ticket.out
            safe = self.classes[ticket.ask.class_name].effect is Effect.SAFE
            if out is not None and out.carried is not None and safe and self.carrier and which(out):
                count += 1
                self.carrier.stop(out, Result.CANCELLED)
        return count

    def takes_new(self, node: str) -> bool:
        """Whether the list, as it stands now, lets anything new begin there."""
        view = self.head.nodes.get(node)
        return view is not None and view.info.state is api.NodeState.UP and node not in self.head.taken_out

    def by_hand(self, node: str, out: bool, at: int) -> None:
        self.invariants.taken_out(node, out)
        self._post(api.ByHand(node, out, at))

    def set_process_share(self, part: float) -> None:
        """Of the volumes' limits this process has `part`, to 1, of its front's."""
        self._post(api.ProcessShare(part))

    def set_open_limit(self, requests: int) -> None:
        """So many requests may be open; beyond that those of least value are refused. 0 for any number."""
        self._post(api.OpenLimit(requests))

    def pool(self) -> tuple[int, int]:
        """Nodes listed, and those of them left out, by hand or as they refuse to be reached."""
        head = self.head
        avoided = sum(n in head.taken_out or v.rest_until > head.now for n, v in head.nodes.items())
        return len(head.nodes), avoided

    def knows(self, node: str) -> bool:
        return node in self.head.nodes or node in self.head.taken_out

    def refused_unread(self, class_name: str) -> None:
        """A request that a front turned away before it came here: a refusal like any other."""
        if class_name in self.classes:
            self.figures[Kind.REFUSED, class_name] += 1

    # From the carrier

    def ended(self, attempt: Attempt, result: Result, reply: Reply | None = None) -> None:
        """The attempt's one outcome."""
        ticket, reply = attempt.ticket, reply or Reply()
        if ticket.out is not attempt:
            raise RuntimeError(f"second outcome for attempt {attempt.number} of {ticket.id}")
        ticket.out = None
        ticket.last_result = result
        self.invariants.ended(attempt, result)
        ticket.may_have_run |= result not in NEVER_RAN
        self.counters.add(f"attempts_{result.value}")
        elapsed = max(self.clock() - attempt.sent, 0)
        if self.hooks:
            self.hooks.outcome(ticket, attempt.node, result, elapsed)
        if result is Result.OK and not ticket.answered:
            self._answer(ticket, Answer(Kind.SERVED, reply, may_have_run=True))
        elif ticket.forsaken and not ticket.answered:
            self._forsaken(ticket)
        self._post(
            api.Outcome(
                ticket.id, attempt.node, attempt.number, result, elapsed, ticket.answered, reply.load,
                reply.used, reply.elsewhere, attempt.astray,
            )
        )  # fmt: skip
        self._release(ticket)

    # To and from the module

    def _post(self, event: api.Event) -> None:
        """Events of one turn of the loop make one batch."""
        if not self._events:
            self._soon(self._decide)
        self._events.append(event)

    def _decide(self) -> None:
        events, self._events = self._events, []
        now = self.clock()
        try:
            acts = self.head.handle(now, events)
        except Exception:  # what is open is still answered: _out_of_time and _last_word see to it
            self.counters.add("module_errors")
            self.log("module_error", trace=traceback.format_exc())
            return
        if self.observer is not None:
            self.observer(now, acts)
        # All are found before any is carried out: at one of them its client may turn out to have left, with
        # other requests of its own, and each Send is owed an outcome.
        for act, ticket in [(act, self._named(act)) for act in acts]:
            if isinstance(act, api.SetTimer):
                self.wheel.at(now + act.delay, self._post, api.Wake(act.label))
            elif isinstance(act, api.Note):
                self.log("module_note", text=act.text)
            elif isinstance(act, api.Send | api.Refuse | api.Fail | api.Cancel) and ticket is not None:
                self._act(ticket, act)

    def _named(self, act: api.Action) -> InFlightRequest | None:
        if not isinstance(act, api.Send | api.Refuse | api.Fail | api.Cancel):
            return None
        ticket = self.tickets.get(int(act.request.partition(".")[0]))
        return ticket if ticket is not None and ticket.id == act.request else None

    def _act(self, ticket: InFlightRequest, act: api.Send | api.Refuse | api.Fail | api.Cancel) -> None:
        if isinstance(act, api.Send):
            self._send(ticket, act.node)
        elif isinstance(act, api.Cancel):
            if ticket.out is not None and ticket.out.number == act.attempt and self.carrier:
                self.carrier.stop(ticket.out, Result.CANCELLED)
        elif not ticket.answered:
            refused = isinstance(act, api.Refuse)
            advice = act.retry_after if isinstance(act, api.Refuse) else 0
            kind = Kind.REFUSED if refused and self.guard.may_repeat(ticket) else Kind.FAILED
            if act.reason is not None:
                self.counters.add(f"requests_{kind.value}_{act.reason.value}")
            self._answer(ticket, Answer(kind, None, advice, ticket.may_have_run))
            self._release(ticket)

    def _send(self, ticket: InFlightRequest, node: str) -> None:
        number, now = ticket.tries, self.clock()
        denial = Denial.STOPPING if self.carrier is None else self.guard.may_begin(ticket)
        ticket.tries += 1
        if denial is not None or self.carrier is None:
            self.counters.add("attempts_barred")
            self.counters.add(f"attempts_barred_{denial.value if denial else 'stopping'}")
            self._post(api.Outcome(ticket.id, node, number, Result.MOOT, 0, ticket.answered))
            return
        last = ticket.tries >= self.settings.max_attempts
        once = last or self.classes[ticket.ask.class_name].effect is not Effect.SAFE
        ticket.out = Attempt(ticket, number, node, now, ticket.ask.give_up, once)
        self.counters.add("attempts_sent")
        if number and ticket.last_result is not None:
            self.counters.add(f"attempts_repeated_after_{ticket.last_result.value}")
        if self.trace is not None:
            after = ticket.last_result.value if ticket.last_result else ""
            self.trace("attempt", **self._about(ticket), number=number, node=node, after=after)
        if self.watcher is not None:
            self.watcher.sent(ticket, node)
        self.carrier.start(ticket.out)

    @staticmethod
    def _about(ticket: InFlightRequest) -> dict[str, str]:
        """What a line of the log names a request by: its id here, and its client's own."""
        return {"request": ticket.id, "call": ticket.ask.name.decode("latin-1")}

    # Ends

    def finish(self) -> None:
        """The process ends: what is open is answered with what is known of it, what comes is refused."""
        self.over = True
        for ticket in self.tickets:
            self._last_word(ticket)

    def _out_of_time(self, ticket: InFlightRequest) -> None:
        """The time of the request, and of the attempt that is out, is over. An attempt of a client that
        left ends here too."""
        ticket.timer = None
        if ticket.out is not None and self.carrier:
            self.carrier.stop(ticket.out, Result.TIMEOUT)
        if not ticket.answered:
            self.wheel.after(LAST_WORD, self._last_word, ticket)

    def _last_word(self, ticket: InFlightRequest) -> None:
        """The module left it open: answered here, for each request taken is owed one answer."""
        if not ticket.answered:
            self.counters.add("answered_for_module")
            out = ticket.out
            unsent = out is None or (self.carrier is not None and self.carrier.unwanted(out))
            kind = Kind.REFUSED if unsent and self.guard.may_repeat(ticket) else Kind.FAILED
            self._answer(ticket, Answer(kind, may_have_run=ticket.may_have_run or not unsent))
            self._post(api.ClientGone(ticket.id))
            self._release(ticket)

    def _answer(self, ticket: InFlightRequest, answer: Answer) -> None:
        self.invariants.answered(ticket)
        ticket.answered = True
        if answer.reply is None or answer.reply.rest is None:
            self._count(answer.kind, ticket.ask.class_name)
        self.counters.add(f"requests_{answer.kind.value}")
        if self.hooks:
            self.hooks.answer(ticket, answer)
        ticket.done(answer)
        self._release(ticket)

    def _count(self, kind: Kind, class_name: str) -> None:
        self.active -= 1
        self.figures[kind, class_name] += 1

    def relayed(self, class_name: str, whole: bool | None) -> None:
        """A long answer is out, or broke off; None where the client left."""
        if whole is None:
            self.active -= 1
        else:
            self._count(Kind.SERVED if whole else Kind.FAILED, class_name)

    def _release(self, ticket: InFlightRequest) -> None:
        if ticket.answered and ticket.out is None and self.tickets.get(ticket.slot) is ticket:
            if ticket.timer is not None:
                ticket.timer.cancel()
            self._open.pop(ticket.ask.name, None)
            self.tickets.free(ticket.slot)
            self.invariants.released(ticket)
