"""Handover between processes of a front, which share its file descriptors and state while both run."""
