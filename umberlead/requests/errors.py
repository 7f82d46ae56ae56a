"""Errors of the request lifecycle."""

from umberlead.common.errors import UmberleadError


class DuplicateRequestError(UmberleadError, ValueError):
    """The call id of a new request is that of another request that is open or recent."""


class CallIdUndecidedError(UmberleadError, RuntimeError):
    """It can't be told now whether another process has an open request with the call id of a new request."""


class UnknownClassOrPlanError(UmberleadError, ValueError):
    """The class or plan of a request is not defined in the settings; the message names both."""


class SecondOutcomeError(UmberleadError, RuntimeError):
    """A second outcome was reported for an attempt; the message names the attempt."""
