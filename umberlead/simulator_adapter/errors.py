"""Errors of the simulator adapter."""

from umberlead.common.errors import UmberleadError


class SimulatorProtocolError(UmberleadError):
    """The simulator broke the protocol."""


class SchedulerFailedError(UmberleadError):
    """A scheduler raised an exception; the text is the lines of the reply that tell so."""
