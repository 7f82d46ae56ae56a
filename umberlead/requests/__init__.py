"""The life of a request in a front, from its acceptance to its one final answer. Free of I/O."""
