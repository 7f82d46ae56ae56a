"""Scheduling of requests to endpoints. The package does no I/O: it takes events and returns actions."""
