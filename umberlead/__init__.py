"""umberlead: an I/O scheduler for fronts that share storage nodes."""
