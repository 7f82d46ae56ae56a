"""The scheduler's record of a request, from its arrival to the outcome of its last attempt."""

from dataclasses import dataclass, field

from umberlead.scheduling.endpoint_state import AttemptInFlight
from umberlead.scheduling.events import Request
from umberlead.scheduling.settings import RequestClass


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that this front has accepted.

    Attributes:
        request: the request as it arrived.
        request_class: class of the request.
        plan_index: index of its plan in the settings.
        arrived_us: time of arrival.
        objective_at_us: end of the latency objective.
        sequence_number: number in the order of arrival.
        shard: the request's shard; for a new object, the shard that its first attempt was sent to.
        attempts_in_flight: attempts in flight by number.
        attempt_count: number of attempts sent so far.
        is_client_retry: whether it looks like the retry of a request that this front rejected.
        charged_attempt: number of the attempt that was charged to the volume's rate limit.
        held_attempt: number of the charged attempt whose write is delayed.
        done: whether the request is answered or its client has disconnected.
        queued: whether the request waits in a fair queue.
        may_have_run_since_us: when the first attempt that may have run was sent.
    """

    request: Request
    request_class: RequestClass
    plan_index: int
    arrived_us: int
    objective_at_us: int
    sequence_number: int
    shard: int = field(init=False)
    attempts_in_flight: dict[int, AttemptInFlight] = field(default_factory=dict)
    attempt_count: int = 0
    is_client_retry: bool = False
    charged_attempt: int | None = None
    held_attempt: int | None = None
    done: bool = False
    queued: bool = False
    may_have_run_since_us: int | None = None

    def __post_init__(self) -> None:
        """Take the shard from the request."""
        self.shard = self.request.shard
