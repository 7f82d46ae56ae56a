"""Load on fronts: open loop and seeded, with latencies counted from when a request was due."""
