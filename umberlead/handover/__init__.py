"""Handover: a process of a front and the one that replaces it divide the front's descriptors by use."""
