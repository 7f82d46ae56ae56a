"""The base class of errors about endpoint lists."""

from umberlead.common.errors import UmberleadError


class MembershipError(UmberleadError, ValueError):
    """Base class of errors about endpoint lists."""
