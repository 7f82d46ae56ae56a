"""The simulator's protocol on standard input and output: parses events, runs schedulers, prints actions.

The adapter makes no decisions; the schedulers do. The input is a sequence of batches. Each begins with the
line `sync NOW_US NUMBER`, has lines for one or more scheduler instances, and ends with `eof_batch`. The reply
to a batch has a line `as INSTANCE` for each instance with actions, followed by the actions, and ends with the
line `ready NUMBER`.
"""
