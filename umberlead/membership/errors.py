"""The errors of endpoint lists."""

from umberlead.common.errors import UmberleadError


class MembershipError(UmberleadError, ValueError):
    """Base class of the errors of endpoint lists."""
