"""Emulation of storage nodes and clients with faults, and a judge that checks the fronts' behaviour.

The same node model runs in virtual time and on real sockets.
"""
