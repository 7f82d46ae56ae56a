"""Errors of the simulator adapter."""

from umberlead.common.errors import UmberleadError


class SimulatorProtocolError(UmberleadError):
    """The simulator violated the protocol."""


class SchedulerFailedError(UmberleadError):
    """A scheduler raised an exception; the error's text is the lines of the reply that report it."""
