"""Handover: a process of a front and the one that replaces it share the front's descriptors and state."""
