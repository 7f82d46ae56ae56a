"""Rooms: which are lost, what of their work may go elsewhere and how much, and how they come back. Decisions
are free of I/O; off unless an operator's file has [rooms]."""
