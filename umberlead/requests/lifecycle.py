"""Requests, attempts and outcomes between fronts, the decision module and whatever carries attempts.

A front hands in an `IncomingRequest` and is called back once with its `Answer`. The module's word is carried
out as it comes; what the rules forbid (`send_guard.py`) is not sent whoever asks for it. No wire is known
here."""

import traceback
from collections.abc import Callable
from typing import Any

from umberlead.common.counters import Counters
from umberlead.common.slot_table import SlotTable
from umberlead.common.timer_wheel import TimerWheel
from umberlead.requests.invariants import InvariantChecker
from umberlead.requests.send_guard import Denial, SendGuard
from umberlead.requests.types import (
    RESULTS_WITHOUT_EFFECT,
    Answer,
    AnswerKind,
    Attempt,
    DecisionObserver,
    DuplicateRequestError,
    IncomingRequest,
    InFlightRequest,
    Rejection,
    Reply,
    RequestHooks,
    Transport,
)
from umberlead.scheduling.actions import Action, Cancel, Fail, LogNote, Reject, Send, SetTimer
from umberlead.scheduling.events import (
    AttemptResult,
    ClientDisconnected,
    EndpointList,
    EndpointStatus,
    Event,
    ManualDrain,
    OpenRequestLimit,
    Outcome,
    ProcessShare,
    Request,
    TimerExpired,
)
from umberlead.scheduling.scheduler import Scheduler
from umberlead.scheduling.settings import Repeatability, Settings

CALL_ID_RETENTION_US = 10_000_000  # us at least that a request's name stays taken after it came
DECISION_GRACE_US = 10_000  # us after a request's end by which the engine answers in the module's place


class RequestLifecycle:
    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Callable[[], int],
        wheel: TimerWheel,
        soon: Callable[[Callable[[], None]], Any],
        counters: Counters,
        log: Callable[..., None],
        hooks: RequestHooks | None = None,
    ) -> None:
        self.settings, self.clock, self.wheel, self.counters = settings, clock, wheel, counters
        self.log, self.hooks, self._call_soon = log, hooks, soon
        self.call_soon = soon
        self.classes = {c.name: c for c in settings.classes}
        self.plans = {p.name for p in settings.plans}
        self.scheduler = Scheduler(settings, seed, clock())
        self.open_requests: SlotTable[InFlightRequest] = SlotTable()
        self.max_remembered_call_ids = 20_000
        self.transport: Transport | None = None
        self.decision_observer: DecisionObserver | None = None
        self.action_observer: Callable[[int, list[Action]], None] | None = None  # of each decision
        self._events: list[Event] = []
        self._number = 0
        self._recent_call_ids, self._earlier_call_ids = (
            set[bytes](),
            set[bytes](),
        )  # of two spans, so that old ones go
        self._call_ids_since_us = clock()
        self._open_by_call_id: dict[bytes, InFlightRequest] = {}
        self.unanswered_count = 0  # requests taken and not answered
        self.stopping = False  # the process ends: nothing new is begun
        self.answer_counts = {(kind, c.name): 0 for kind in AnswerKind for c in settings.classes}  # answers
        self.trace_log: Callable[..., None] | None = None  # a line of each attempt, for the log
        self.guard = SendGuard(
            self.classes, settings.max_attempts, clock, self.accepts_new_requests, self.client_waits
        )
        self.invariants = InvariantChecker(settings, clock, counters, log)

    # From the fronts

    def accept(self, ask: IncomingRequest, done: Callable[[Answer], None]) -> InFlightRequest:
        """Owe `ask` one answer."""
        if ask.class_name not in self.classes or ask.plan not in self.plans:
            raise ValueError(f"unknown class or plan: {ask.class_name}, {ask.plan}")
        if ask.call_id:
            self._remember_call_id(ask.call_id)
        ticket = InFlightRequest(ask, done, accepted_us=self.clock())
        if ask.call_id:
            self._open_by_call_id[ask.call_id] = ticket
        ticket.slot, self._number = self.open_requests.add(ticket), self._number + 1
        ticket.id = f"{ticket.slot}.{self._number}"
        self.counters.add("requests_taken")
        self.unanswered_count += 1
        reason = self.hooks.on_request(ticket) if self.hooks else None
        if self.stopping:
            reason = "the front stops"
        if reason is not None or ask.deadline_us <= self.clock():
            why = reason if isinstance(reason, Rejection) else Rejection(reason or "no time left")
            self._answer(
                ticket, Answer(AnswerKind.REJECTED, retry_after_us=why.retry_after_us, reason=why.reason)
            )
            return ticket
        ticket.timer = self.wheel.call_at(ask.deadline_us, self._on_deadline, ticket)
        self._post(
            Request(
                ticket.id,
                ask.key,
                ask.volume,
                ask.deadline_us,
                ask.shard,
                ask.units,
                ask.class_name,
                ask.plan,
                ask.volume_front_count,
                ask.is_client_retry,
            )
        )
        return ticket

    def _remember_call_id(self, name: bytes) -> None:
        """Chunk servers know a request by its name alone: a second one with it would be a second copy."""
        now = self.clock()
        if (
            now - self._call_ids_since_us >= CALL_ID_RETENTION_US
            or len(self._recent_call_ids) > self.max_remembered_call_ids
        ):
            self._recent_call_ids, self._earlier_call_ids, self._call_ids_since_us = (
                set(),
                self._recent_call_ids,
                now,
            )
        if name in self._open_by_call_id or name in self._recent_call_ids or name in self._earlier_call_ids:
            self.counters.add("requests_duplicate")
            raise DuplicateRequestError("this request's id is another's")
        self._recent_call_ids.add(name)

    def client_left(self, ticket: InFlightRequest) -> None:
        """Its client left: nothing is owed. An attempt that is out runs on: no cancel stops the node's work,
        and its outcome is news. One that still waits for its connection is not sent any more."""
        if not ticket.answered:
            ticket.answered = True
            ticket.client_left_us = ticket.client_left_us or self.clock()
            self.unanswered_count -= 1
            self.counters.add("clients_gone")
            if ticket.attempt is not None and self.transport is not None:
                self.transport.cancel_if_unsent(ticket.attempt)
            self._post(ClientDisconnected(ticket.id))
            self._release(ticket)

    def client_waits(self, ticket: InFlightRequest) -> bool:
        """Whether its client still waits, looked for at this moment: where a front is busy or stood still,
        news that it left comes behind the turn that begins an attempt. If it left, that is acted on here."""
        if ticket.answered or ticket.abandoned:
            return False
        if ticket.request.client_has_left is None or not ticket.request.client_has_left():
            return True
        if not ticket.abandoned:  # by its front, in that look
            self.client_left(ticket)
        return False

    def abandon(self, ticket: InFlightRequest) -> None:
        """Its client left, and a front keeps account of what ran: no attempt is begun any more, and the
        answer comes as soon as it is known what became of one that is out."""
        if ticket.answered or ticket.abandoned:
            return
        ticket.abandoned = True
        ticket.client_left_us = ticket.client_left_us or self.clock()
        self.counters.add("clients_gone")
        if ticket.attempt is None:
            self._answer_abandoned(ticket)
            self._post(ClientDisconnected(ticket.id))
        elif self.transport is not None:
            self.transport.cancel_if_unsent(ticket.attempt)

    def _answer_abandoned(self, ticket: InFlightRequest) -> None:
        kind = AnswerKind.REJECTED if self.guard.may_repeat(ticket) else AnswerKind.FAILED
        self._answer(ticket, Answer(kind, None, 0, ticket.may_have_run, "its client left"))

    def apply_endpoint_list(self, news: EndpointList) -> None:
        self.invariants.listed(news)
        self._post(news if self.decision_observer is None else self.decision_observer.on_endpoint_list(news))

    def notify_scheduler(self, news: EndpointList) -> None:
        """To the module as it is, past the watcher whose word it is."""
        self._post(news)

    def reject_waiting(self, which: Callable[[InFlightRequest], bool], reason: str, retry_after: int) -> int:
        """Refuse what waits with no attempt out and may be repeated, now instead of at its aim; how many."""
        count = 0
        for ticket in list(self.open_requests):
            if (
                ticket.answered
                or ticket.attempt is not None
                or not self.guard.may_repeat(ticket)
                or not which(ticket)
            ):
                continue
            count += 1
            self._answer(ticket, Answer(AnswerKind.REJECTED, None, retry_after, ticket.may_have_run, reason))
            self._post(ClientDisconnected(ticket.id))
        return count

    def cancel_attempts(self, which: Callable[["Attempt"], bool]) -> int:
        """Stop waiting for attempts of requests that may be repeated: the module may try elsewhere; how
        many."""
        count = 0
        for ticket in list(self.open_requests):
            out = ticket.attempt
            safe = self.classes[ticket.request.class_name].repeatability is Repeatability.IDEMPOTENT
            if out is not None and out.transport_state is not None and safe and self.transport and which(out):
                count += 1
                self.transport.stop(out, AttemptResult.CANCELLED)
        return count

    def accepts_new_requests(self, node: str) -> bool:
        """Whether the list, as it stands now, lets anything new begin there."""
        view = self.scheduler.endpoints.get(node)
        return (
            view is not None
            and view.endpoint.status is EndpointStatus.UP
            and node not in self.scheduler.manual_drains
        )

    def set_manual_drain(self, node: str, out: bool, at: int) -> None:
        self.invariants.taken_out(node, out)
        self._post(ManualDrain(node, out, at))

    def set_process_share(self, part: float) -> None:
        """Of the volumes' limits this process has `part`, to 1, of its front's."""
        self._post(ProcessShare(part))

    def set_open_limit(self, requests: int) -> None:
        """So many requests may be open; beyond that those of least value are refused. 0 for any number."""
        self._post(OpenRequestLimit(requests))

    def endpoint_summary(self) -> tuple[int, int]:
        """Nodes listed, and those of them left out, by hand or as they refuse to be reached."""
        head = self.scheduler
        avoided = sum(
            n in head.manual_drains or v.ejected_until_us > head.now for n, v in head.endpoints.items()
        )
        return len(head.endpoints), avoided

    def knows_endpoint(self, node: str) -> bool:
        return node in self.scheduler.endpoints or node in self.scheduler.manual_drains

    def count_unread_rejection(self, class_name: str) -> None:
        """A request that a front turned away before it came here: a refusal like any other."""
        if class_name in self.classes:
            self.answer_counts[AnswerKind.REJECTED, class_name] += 1

    # From the carrier

    def attempt_ended(self, attempt: Attempt, result: AttemptResult, reply: Reply | None = None) -> None:
        """The attempt's one outcome."""
        ticket, reply = attempt.request, reply or Reply()
        if ticket.attempt is not attempt:
            raise RuntimeError(f"second outcome for attempt {attempt.number} of {ticket.id}")
        ticket.attempt = None
        ticket.last_result = result
        self.invariants.ended(attempt, result)
        ticket.may_have_run |= result not in RESULTS_WITHOUT_EFFECT
        self.counters.add(f"attempts_{result.value}")
        elapsed = max(self.clock() - attempt.started_us, 0)
        if self.hooks:
            self.hooks.on_outcome(ticket, attempt.endpoint, result, elapsed)
        if result is AttemptResult.OK and not ticket.answered:
            self._answer(ticket, Answer(AnswerKind.SERVED, reply, may_have_run=True))
        elif ticket.abandoned and not ticket.answered:
            self._answer_abandoned(ticket)
        self._post(
            Outcome(
                ticket.id,
                attempt.endpoint,
                attempt.number,
                result,
                elapsed,
                ticket.answered,
                reply.load_report,
                reply.used_rate_percent,
                reply.units_elsewhere,
                attempt.misdirected,
            )
        )
        self._release(ticket)

    # To and from the module

    def _post(self, event: Event) -> None:
        """Events of one turn of the loop make one batch."""
        if not self._events:
            self._call_soon(self._decide)
        self._events.append(event)

    def _decide(self) -> None:
        events, self._events = self._events, []
        now = self.clock()
        try:
            acts = self.scheduler.handle(now, events)
        except Exception:  # what is open is still answered: _out_of_time and _last_word see to it
            self.counters.add("module_errors")
            self.log("module_error", trace=traceback.format_exc())
            return
        if self.action_observer is not None:
            self.action_observer(now, acts)
        # All are found before any is carried out: at one of them its client may turn out to have left, with
        # other requests of its own, and each Send is owed an outcome.
        for act, ticket in [(act, self._request_of(act)) for act in acts]:
            if isinstance(act, SetTimer):
                self.wheel.call_at(now + act.delay_us, self._post, TimerExpired(act.label))
            elif isinstance(act, LogNote):
                self.log("module_note", text=act.text)
            elif isinstance(act, Send | Reject | Fail | Cancel) and ticket is not None:
                self._carry_out(ticket, act)

    def _request_of(self, act: Action) -> InFlightRequest | None:
        if not isinstance(act, Send | Reject | Fail | Cancel):
            return None
        ticket = self.open_requests.get(int(act.request_id.partition(".")[0]))
        return ticket if ticket is not None and ticket.id == act.request_id else None

    def _carry_out(self, ticket: InFlightRequest, act: Send | Reject | Fail | Cancel) -> None:
        if isinstance(act, Send):
            self._send(ticket, act.endpoint)
        elif isinstance(act, Cancel):
            if ticket.attempt is not None and ticket.attempt.number == act.attempt and self.transport:
                self.transport.stop(ticket.attempt, AttemptResult.CANCELLED)
        elif not ticket.answered:
            refused = isinstance(act, Reject)
            advice = act.retry_after_us if isinstance(act, Reject) else 0
            kind = AnswerKind.REJECTED if refused and self.guard.may_repeat(ticket) else AnswerKind.FAILED
            if act.reason is not None:
                self.counters.add(f"requests_{kind.value}_{act.reason.value}")
            self._answer(ticket, Answer(kind, None, advice, ticket.may_have_run))
            self._release(ticket)

    def _send(self, ticket: InFlightRequest, node: str) -> None:
        number, now = ticket.attempt_count, self.clock()
        denial = Denial.STOPPING if self.transport is None else self.guard.may_begin(ticket)
        ticket.attempt_count += 1
        if denial is not None or self.transport is None:
            self.counters.add("attempts_barred")
            self.counters.add(f"attempts_barred_{denial.value if denial else 'stopping'}")
            self._post(Outcome(ticket.id, node, number, AttemptResult.NOT_SENT, 0, ticket.answered))
            return
        last = ticket.attempt_count >= self.settings.max_attempts
        once = last or self.classes[ticket.request.class_name].repeatability is not Repeatability.IDEMPOTENT
        ticket.attempt = Attempt(ticket, number, node, now, ticket.request.deadline_us, once)
        self.counters.add("attempts_sent")
        if number and ticket.last_result is not None:
            self.counters.add(f"attempts_repeated_after_{ticket.last_result.value}")
        if self.trace_log is not None:
            after = ticket.last_result.value if ticket.last_result else ""
            self.trace_log("attempt", **self._log_fields(ticket), number=number, node=node, after=after)
        if self.decision_observer is not None:
            self.decision_observer.on_attempt(ticket, node)
        self.transport.start(ticket.attempt)

    @staticmethod
    def _log_fields(ticket: InFlightRequest) -> dict[str, str]:
        """What a line of the log names a request by: its id here, and its client's own."""
        return {"request": ticket.id, "call": ticket.request.call_id.decode("latin-1")}

    # Ends

    def finish(self) -> None:
        """The process ends: what is open is answered with what is known of it, what comes is refused."""
        self.stopping = True
        for ticket in self.open_requests:
            self._answer_undecided(ticket)

    def _on_deadline(self, ticket: InFlightRequest) -> None:
        """The time of the request, and of the attempt that is out, is over. An attempt of a client that
        left ends here too."""
        ticket.timer = None
        if ticket.attempt is not None and self.transport:
            self.transport.stop(ticket.attempt, AttemptResult.TIMEOUT)
        if not ticket.answered:
            self.wheel.call_after(DECISION_GRACE_US, self._answer_undecided, ticket)

    def _answer_undecided(self, ticket: InFlightRequest) -> None:
        """The module left it open: answered here, for each request taken is owed one answer."""
        if not ticket.answered:
            self.counters.add("answered_for_module")
            out = ticket.attempt
            unsent = out is None or (self.transport is not None and self.transport.cancel_if_unsent(out))
            kind = AnswerKind.REJECTED if unsent and self.guard.may_repeat(ticket) else AnswerKind.FAILED
            self._answer(ticket, Answer(kind, may_have_run=ticket.may_have_run or not unsent))
            self._post(ClientDisconnected(ticket.id))
            self._release(ticket)

    def _answer(self, ticket: InFlightRequest, answer: Answer) -> None:
        self.invariants.answered(ticket)
        ticket.answered = True
        if answer.reply is None or answer.reply.stream is None:
            self._count(answer.kind, ticket.request.class_name)
        self.counters.add(f"requests_{answer.kind.value}")
        if self.hooks:
            self.hooks.on_answer(ticket, answer)
        ticket.on_answer(answer)
        self._release(ticket)

    def _count(self, kind: AnswerKind, class_name: str) -> None:
        self.unanswered_count -= 1
        self.answer_counts[kind, class_name] += 1

    def stream_ended(self, class_name: str, whole: bool | None) -> None:
        """A long answer is out, or broke off; None where the client left."""
        if whole is None:
            self.unanswered_count -= 1
        else:
            self._count(AnswerKind.SERVED if whole else AnswerKind.FAILED, class_name)

    def _release(self, ticket: InFlightRequest) -> None:
        if ticket.answered and ticket.attempt is None and self.open_requests.get(ticket.slot) is ticket:
            if ticket.timer is not None:
                ticket.timer.cancel()
            self._open_by_call_id.pop(ticket.request.call_id, None)
            self.open_requests.free(ticket.slot)
            self.invariants.released(ticket)
