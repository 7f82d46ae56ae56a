"""The simulator's protocol on standard input and output: parses events, runs schedulers, prints actions.

It decides nothing. The input is a sequence of batches. Each begins with `sync NOW_US NUMBER`, has lines for
one or more scheduler instances, and ends with `eof_batch`. The answer to each is the actions of each instance
below a line `as INSTANCE`, and the line `ready NUMBER`.
"""
