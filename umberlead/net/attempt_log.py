"""Log lines of attempts whose connection failed, or that this process ended, and of their responses."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from umberlead.requests.types import Attempt
from umberlead.scheduling.events import AttemptResult

US_PER_MS = 1000


@dataclass(frozen=True, slots=True)
class AttemptIds:
    """What identifies an attempt in the log, without its request, which may hold a large body.

    Attributes:
        request: the id that this front gave the request.
        call: the call id that its client gave it.
        endpoint: the name of the endpoint.
    """

    request: str
    call: str
    endpoint: str

    @classmethod
    def of(cls, attempt: Attempt) -> "AttemptIds":
        """Return the ids of an attempt."""
        request = attempt.request
        return cls(request.id, request.incoming.call_id.decode("latin-1"), attempt.endpoint)


@dataclass(frozen=True, slots=True)
class StreamProgress:
    """How far a streamed response has come.

    Attributes:
        forwarded_bytes: how much of the body was forwarded.
        content_length: the length of the body; None if unknown.
        silent_us: for how long the endpoint has sent nothing.
        past_deadline_us: how long ago the request's deadline passed; negative before it.
        reader_paused: whether the endpoint is not read from because the client does not read.
    """

    forwarded_bytes: int
    content_length: int | None
    silent_us: int
    past_deadline_us: int
    reader_paused: bool


def log_connection_failure(
    log: Callable[..., Any], attempt: Attempt, now_us: int, is_dialing: bool, reason: str
) -> None:
    """Log that an attempt's connection failed before its request was written.

    Args:
        log: takes an event's name and its fields.
        attempt: the attempt.
        now_us: the present time.
        is_dialing: whether the connection was not established yet.
        reason: why it failed.
    """
    log(
        "endpoint_connection_failed",
        endpoint=attempt.endpoint,
        state="dialling" if is_dialing else "writing",
        reason=reason,
        elapsed_ms=(now_us - attempt.started_us) // US_PER_MS,
    )


def log_early_end(
    log: Callable[..., Any],
    attempt: Attempt,
    now_us: int,
    result: AttemptResult,
    *,
    written: bool,
    headers_complete: bool,
    body_bytes: int,
) -> None:
    """Log that this process ends an attempt, and how much of the response had been received.

    Args:
        log: takes an event's name and its fields.
        attempt: the attempt.
        now_us: the present time.
        result: the result for which it ends.
        written: whether the whole request was written.
        headers_complete: whether the headers of the response were received.
        body_bytes: how much of its body was received.
    """
    log(
        "attempt_ended_early",
        request=attempt.request.id,
        call=attempt.request.incoming.call_id.decode("latin-1"),
        endpoint=attempt.endpoint,
        number=attempt.number,
        result=result.value,
        written=written,
        elapsed_ms=(now_us - attempt.started_us) // US_PER_MS,
        headers_complete=headers_complete,
        body_bytes=body_bytes,
    )


def log_stream_abort(
    log: Callable[..., Any], attempt: AttemptIds, reason: str, progress: StreamProgress
) -> None:
    """Log that a response is aborted of which the client has received a part.

    Args:
        log: takes an event's name and its fields.
        attempt: the attempt.
        reason: why it is aborted.
        progress: how far the response has come.
    """
    log(
        "response_stream_aborted",
        request=attempt.request,
        call=attempt.call,
        endpoint=attempt.endpoint,
        reason=reason,
        forwarded_bytes=progress.forwarded_bytes,
        content_length=-1 if progress.content_length is None else progress.content_length,
        silent_ms=progress.silent_us // US_PER_MS,
        past_deadline_ms=progress.past_deadline_us // US_PER_MS,
        reader_paused=progress.reader_paused,
    )


def log_stream_at_deadline(
    log: Callable[..., Any], attempt: AttemptIds, body_bytes: int, silent_us: int
) -> None:
    """Log that a response that is not complete at its request's deadline is passed on from then on.

    Args:
        log: takes an event's name and its fields.
        attempt: the attempt.
        body_bytes: how much of the body was received.
        silent_us: for how long the endpoint has sent nothing.
    """
    log(
        "response_streamed_at_deadline",
        request=attempt.request,
        call=attempt.call,
        endpoint=attempt.endpoint,
        body_bytes=body_bytes,
        silent_ms=silent_us // US_PER_MS,
    )
