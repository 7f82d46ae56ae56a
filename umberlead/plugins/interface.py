"""The interface of scripts: its version and the names of hooks, and the errors of calling them."""

from umberlead.common.errors import UmberleadError

API_VERSION = 1
REQUEST_HOOK = "request_taken"
OUTCOME_HOOK = "outcome"
ANSWER_HOOK = "answer"
HOOK_NAMES = (REQUEST_HOOK, OUTCOME_HOOK, ANSWER_HOOK)


class CallTimeoutError(UmberleadError):
    """A call did not return within its timeout."""


class CallFailedError(UmberleadError):
    """A call raised an exception; the message describes it."""
