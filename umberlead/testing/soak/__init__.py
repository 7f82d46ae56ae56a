"""Soak test: about a dozen real processes on loopback, overlapping faults, and a check of invariants.

`python -m umberlead.testing.soak --seed 7` performs one run and prints its verdict; so does
`make soak`. Fronts run as they do on the platform, with a preloaded library that makes system calls fail
(`faults.c`). Chunk servers, clients and the proxies between fronts and chunk servers are processes of their
own. Each records its observations as lines of JSON with timestamps of the system's monotonic clock; the judge
reads only these records and the logs of the fronts.
"""
