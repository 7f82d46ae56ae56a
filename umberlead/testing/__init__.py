"""Simulated chunk servers and reference models of a front, for tests, measurements and trial set-ups."""
