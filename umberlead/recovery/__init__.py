"""Pacing of the way back to a service after a failure, and the time that endpoints started. No I/O."""
