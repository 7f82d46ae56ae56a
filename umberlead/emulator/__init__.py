"""Emulated storage nodes, their faults, and a judge of what fronts did.

One model serves virtual time and real sockets.
"""
