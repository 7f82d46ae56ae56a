"""When an arriving request counts as late: its latency objective runs from its client's first try.

A client's retry has less time left than the longest seen for its class, so its objective is counted from
where its first try must have begun. Where clients mark their retries, any other request is a first try
however impatient its client is. Where they don't, a short time left looks like a retry, unless clients that
were rejected are seen not to come back.
"""

from dataclasses import dataclass

from umberlead.scheduling.client_retries import ClientRetries, RequestIdentity
from umberlead.scheduling.events import Request
from umberlead.scheduling.settings import RequestClass, Settings


def identity_of(request: Request) -> RequestIdentity:
    """Return what a client's retry has in common with its first try."""
    return request.volume, request.key, request.class_name


@dataclass(frozen=True, slots=True)
class Admission:
    """What is found of an arriving request.

    Attributes:
        objective_at_us: when its latency objective ends, at its deadline at the latest.
        is_client_retry: whether it was seen to be rejected before.
    """

    objective_at_us: int
    is_client_retry: bool


class AdmissionControl:
    """Tells clients' retries from first tries.

    Attributes:
        longest_timeouts_us: most time that a client of a class had left on arrival, by class.
    """

    def __init__(self, settings: Settings) -> None:
        """Begin with nothing seen."""
        self.longest_timeouts_us: dict[str, int] = {}
        self._clients_mark_retries = settings.clients_mark_retries
        self._client_retries = ClientRetries()

    def admit(self, request: Request, request_class: RequestClass, now_us: int) -> Admission:
        """Note a request's arrival and return what is found of it."""
        longest_us = max(self.longest_timeouts_us.get(request_class.name, 0), request.deadline_us - now_us)
        self.longest_timeouts_us[request_class.name] = longest_us
        was_rejected = self._client_retries.record_arrival(identity_of(request), now_us)
        if self._clients_mark_retries:
            is_first_try = not request.is_client_retry
        else:
            is_first_try = not was_rejected and self._client_retries.are_rare()
        first_try_us = now_us if is_first_try else request.deadline_us - longest_us
        objective_at_us = min(request_class.latency_objective_us + first_try_us, request.deadline_us)
        return Admission(objective_at_us, was_rejected)

    def record_rejection(self, request: Request, now_us: int) -> None:
        """Note that a client's first try is rejected."""
        self._client_retries.record_rejection(identity_of(request), now_us)
