"""Which endpoints there are: watched lists, discovery and manual drains, merged into one list in force.

`model`, `grammar`, `formatting`, `checks`, `flap_damping` and `list_merge` are free of I/O; `files`,
`name_resolution`, `snapshot`, `watching` and `change_gate` do it. `loading` joins the steps from files to a
checked list; `service` watches the files and keeps the list in force; `integration` joins that to a front
process. Nothing here is loaded unless the configuration has a `[membership]` table.
"""
