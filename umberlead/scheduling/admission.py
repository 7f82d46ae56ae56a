"""Admission: sets the end of an arriving request's latency objective, counted from the client's first try.

A retry keeps the deadline of its first try, so it arrives with less time left than the longest seen for its
class. Its first try is taken to have begun that longest time before the deadline. If clients mark their
retries, every other request is a first try, however little time it has left. If they don't, little time left
looks like a retry, unless clients are known to retry rarely after a rejection.
"""

from dataclasses import dataclass

from umberlead.scheduling.client_retries import ClientRetries, RequestIdentity
from umberlead.scheduling.events import Request
from umberlead.scheduling.settings import RequestClass, Settings


def identity_of(request: Request) -> RequestIdentity:
    """Return the properties that a client's retry shares with its first try."""
    return request.volume, request.key, request.class_name


@dataclass(frozen=True, slots=True)
class Admission:
    """The result of admitting a request.

    Attributes:
        objective_at_us: end of the latency objective, at the deadline at the latest.
        is_client_retry: whether it looks like the retry of a request that this front rejected.
    """

    objective_at_us: int
    is_client_retry: bool


class AdmissionControl:
    """Distinguishes clients' retries from first tries.

    Attributes:
        longest_timeouts_us: longest time from arrival to deadline seen so far, by class.
    """

    def __init__(self, settings: Settings) -> None:
        """Create an instance without earlier requests."""
        self.longest_timeouts_us: dict[str, int] = {}
        self._clients_mark_retries = settings.clients_mark_retries
        self._client_retries = ClientRetries()

    def admit(self, request: Request, request_class: RequestClass, now_us: int) -> Admission:
        """Record a request's arrival and return the end of its objective and whether it is a retry."""
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
        """Record that a client's first try is rejected."""
        self._client_retries.record_rejection(identity_of(request), now_us)
