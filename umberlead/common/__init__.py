"""Parts that know nothing of requests: counters, a slot table, a timer wheel, the base of errors."""
