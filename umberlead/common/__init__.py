"""Utilities that do not depend on requests: counters, a slot table, a timer wheel, the base error class."""
