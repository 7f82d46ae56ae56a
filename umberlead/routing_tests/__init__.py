"""Routing tests: expectations of a suite checked against a configuration and a list, in virtual time.

`language`, `model`, `verdict`, `proportion` and `reach` are free of I/O, as is `world`, which drives the
serving engine; `suites` reads files, `running` plays suites over processes, `report` words what came of
it.
"""
