"""Backoff and pacing of calls to discovery, and the start times of endpoints. No I/O."""
