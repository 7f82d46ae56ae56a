"""How many requests are unanswered, and how many were answered, by kind and class."""

from collections.abc import Iterable

from umberlead.requests.types import AnswerKind


class AnswerCounts:
    """The counts of one process, from its start.

    Attributes:
        unanswered_count: number of requests accepted and not yet answered.
        by_kind_and_class: number of answers by kind and class name.
    """

    def __init__(self, class_names: Iterable[str]) -> None:
        """Start with no requests of the classes."""
        self.unanswered_count = 0
        self.by_kind_and_class = {(kind, name): 0 for kind in AnswerKind for name in class_names}

    def record_accepted(self) -> None:
        """Count a request that is owed an answer."""
        self.unanswered_count += 1

    def record_disconnected(self) -> None:
        """Count a request whose client disconnected, so that no answer is owed."""
        self.unanswered_count -= 1

    def record_answer(self, kind: AnswerKind, class_name: str) -> None:
        """Count the answer of a request."""
        self.unanswered_count -= 1
        self.by_kind_and_class[kind, class_name] += 1

    def record_early_rejection(self, class_name: str) -> None:
        """Count the rejection of a request that was not accepted; one of an unknown class is not counted."""
        key = AnswerKind.REJECTED, class_name
        if key in self.by_kind_and_class:
            self.by_kind_and_class[key] += 1

    def record_streamed_answer(self, class_name: str, complete: bool | None) -> None:
        """Count a streamed answer at its end.

        Args:
            class_name: the request's class.
            complete: whether the whole answer was forwarded; None if the client disconnected.
        """
        if complete is None:
            self.record_disconnected()
        else:
            self.record_answer(AnswerKind.SERVED if complete else AnswerKind.FAILED, class_name)
