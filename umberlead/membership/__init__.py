"""Endpoint membership: merges watched list files, discovery and manual drains into the list in force.

`model`, `grammar`, `formatting`, `checks`, `flap_damping`, `pending_list`, `list_merge` and `status` do no
I/O; `files`, `name_resolution`, `snapshot`, `snapshot_store`, `watching` and `change_gate` do. `loading` runs
the steps from files to a checked list; `service` watches the files and keeps the list in force up to date;
`integration` applies its changes to a front process. A front imports this package only if its configuration
has a `[membership]` table.
"""
