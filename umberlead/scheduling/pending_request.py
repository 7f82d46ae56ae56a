"""What a head notes of its requests and their attempts: plain records, no decisions."""

from dataclasses import dataclass, field
from typing import Any

from umberlead.scheduling.events import Request
from umberlead.scheduling.settings import RequestClass


@dataclass(slots=True, eq=False)
class AttemptInFlight:
    """One attempt that is out."""

    endpoint_state: Any  # the node's view that it was sent by
    sent_us: int
    reserved_units: float  # under the node's bound; none once written off
    slow_start_credit_us: float  # us of the cold node's rest that its being served gives back
    request_units: float = field(init=False)  # units of the request, written off or not

    def __post_init__(self) -> None:
        self.request_units = self.reserved_units


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request this head answers for, from its arrival to the last outcome of its attempts."""

    request: Request
    request_class: RequestClass
    plan_index: int
    arrived_us: int
    objective_at_us: int
    sequence_number: int
    shard: int = field(init=False)  # the request's; a new object's once it was sent
    attempts_in_flight: dict[int, AttemptInFlight] = field(default_factory=dict)
    attempt_count: int = 0
    is_client_retry: bool = False  # seen to be a client's further try
    charged_attempt: int | None = None  # the attempt that took its units from its volume's limit
    done: bool = False
    queued: bool = False
    may_have_run_since_us: int | None = None  # when the first attempt that may have run was sent

    def __post_init__(self) -> None:
        self.shard = self.request.shard
