"""The life cycle of a request in a front, from its acceptance to its one final answer. No I/O."""
