"""Soak test: some dozen real processes on loopback and faults that overlap, judged by invariants.

`python -m umberlead.testing.soak --seed 7` plays one run and prints its verdict; `make soak` does so. Fronts
run as on the platform, under a preloaded library that fails system calls (`faults.c`). Chunk servers, clients
and the proxies between fronts and chunk servers are processes of their own; each writes what it saw as lines
of JSON on the system's monotonic clock, and the judge reads only these and the fronts' logs.
"""
