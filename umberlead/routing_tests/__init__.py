"""Routing tests: check the expectations of a suite against a configuration and a list, in virtual time.

`language`, `model`, `verdict`, `proportion` and `reach` do no I/O, and neither does `world`, which runs the
request lifecycle of the program against modelled servers. `suites` reads the files, `running` plays the
scenarios in several processes, and `report` formats the results.
"""
