"""The open requests of a front, found by slot, by the id that the scheduler uses, or by call id."""

from collections.abc import Callable, Iterator

from umberlead.common.slot_table import SlotTable
from umberlead.requests.call_ids import RecentCallIds
from umberlead.requests.types import Answer, IncomingRequest, InFlightRequest


class OpenRequests:
    """Requests that are not answered or have an attempt in flight.

    Attributes:
        call_ids: the call ids of recent requests.
    """

    def __init__(self, clock: Callable[[], int]) -> None:
        """Start without requests; `clock` returns microseconds."""
        self.call_ids = RecentCallIds(clock)
        self._clock = clock
        self._slots: SlotTable[InFlightRequest] = SlotTable()
        self._by_call_id: dict[bytes, InFlightRequest] = {}
        self._added_count = 0

    def add(
        self, incoming: IncomingRequest, on_answer: Callable[[Answer], None], is_idempotent: bool
    ) -> InFlightRequest:
        """Open a request.

        Args:
            incoming: the request.
            on_answer: called once, with its answer.
            is_idempotent: whether it does no harm if the request runs twice.

        Raises:
            DuplicateRequestError: another request that is open or recent has its call id.
            CallIdUndecidedError: it can't be told now whether another process has its call id.
        """
        call_id = incoming.call_id
        if call_id:
            is_open = call_id in self._by_call_id
            self.call_ids.reserve(call_id, is_open, incoming.deadline_us, is_idempotent)
        request = InFlightRequest(incoming, on_answer, accepted_us=self._clock())
        if call_id:
            self._by_call_id[call_id] = request
        request.slot = self._slots.add(request)
        self._added_count += 1
        request.id = f"{request.slot}.{self._added_count}"
        return request

    def find(self, request_id: str) -> InFlightRequest | None:
        """Return the open request with this id, or None if it is no longer open."""
        request = self._slots.get(int(request_id.partition(".")[0]))
        return request if request is not None and request.id == request_id else None

    def is_open(self, request: InFlightRequest) -> bool:
        """Return whether a request is open."""
        return self._slots.get(request.slot) is request

    def remove(self, request: InFlightRequest) -> None:
        """Close a request."""
        self._by_call_id.pop(request.incoming.call_id, None)
        self._slots.free(request.slot)

    def __len__(self) -> int:
        """Return the number of open requests."""
        return len(self._slots)

    def __iter__(self) -> Iterator[InFlightRequest]:
        """Iterate over the open requests; a request may be removed during the iteration."""
        return iter(self._slots)
