"""Errors of routing tests."""

from umberlead.common.errors import UmberleadError


class SuiteError(UmberleadError, ValueError):
    """A statement of a suite has no meaning where it stands, or asks for too much."""
