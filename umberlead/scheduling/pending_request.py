"""The scheduler's record of a request, from its arrival to the last outcome of its attempts."""

from dataclasses import dataclass, field

from umberlead.scheduling.endpoint_state import AttemptInFlight
from umberlead.scheduling.events import Request
from umberlead.scheduling.settings import RequestClass


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that this front answers for.

    Attributes:
        request: as it came.
        request_class: its class.
        plan_index: its plan's place in the settings.
        arrived_us: when it came.
        objective_at_us: when its latency objective ends.
        sequence_number: by order of arrival.
        shard: the request's; a new object's once it was sent.
        attempts_in_flight: by number.
        attempt_count: attempts sent so far.
        is_client_retry: whether it was seen to be rejected before.
        charged_attempt: the attempt that took its units from its volume's rate limit.
        done: whether it is answered, or its client has left.
        queued: whether it waits in a fair queue.
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
    done: bool = False
    queued: bool = False
    may_have_run_since_us: int | None = None

    def __post_init__(self) -> None:
        """Begin on the shard that the request names."""
        self.shard = self.request.shard
