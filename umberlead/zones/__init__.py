"""Zones (failure domains): which are down, what spills over to others, and how they come back.

Decisions are free of I/O; off unless an operator's file has a `[rooms]` table. A zone is a `room` in
settings, endpoint lists, the admin API and counters, whose names are fixed.
"""
