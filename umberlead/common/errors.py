"""The base of every error that the program raises on purpose."""


class UmberleadError(Exception):
    """Base of umberlead's own errors: the text says what went wrong, where, and what to do about it."""
