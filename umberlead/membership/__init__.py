"""Which chunk servers there are: watched lists, discovery and marks by hand, merged into one list in force.

`model`, `grammar`, `formatting`, `checks`, `damping` and `machine` are free of I/O; `files`, `resolve`,
`snapshot` and `watching` do it; `service` joins them to a front. Nothing here is loaded unless a front's
configuration has a `[membership]` table."""
