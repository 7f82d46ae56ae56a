"""Zones (failure domains): detection of failed zones, spillover to other zones, and recovery.

Decisions are free of I/O. The package is unused unless the operator's file has a `[rooms]` table. In
settings, endpoint lists, the admin API and counters a zone is called `room`; these names are fixed.
"""
