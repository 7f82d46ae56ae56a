"""Errors of routing tests."""

from umberlead.common.errors import UmberleadError


class SuiteError(UmberleadError, ValueError):
    """A statement of a suite is misplaced, refers to an unknown name, or exceeds a limit."""
