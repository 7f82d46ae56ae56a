"""Errors of the request lifecycle."""

from umberlead.common.errors import UmberleadError


class DuplicateRequestError(UmberleadError, ValueError):
    """The call id of a request that is open, or was a moment ago."""


class UnknownClassOrPlanError(UmberleadError, ValueError):
    """A request of a class or plan that the settings don't have; the text names both."""


class SecondOutcomeError(UmberleadError, RuntimeError):
    """An attempt ended twice; the text names it."""
