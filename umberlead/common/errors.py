"""The base class of the errors that the program defines."""


class UmberleadError(Exception):
    """Base class of umberlead's errors; the message says what failed, where, and how to correct it."""
