"""umberlead: the decisions of an I/O scheduler for heads that share storage nodes."""
