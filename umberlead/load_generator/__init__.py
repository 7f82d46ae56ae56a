"""Open-loop, seeded load generators for fronts; latency is measured from the scheduled send time."""
