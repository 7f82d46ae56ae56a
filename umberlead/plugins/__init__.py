"""Operators' plug-ins: Python scripts with hooks for requests, attempt outcomes and final answers.

Scripts can't send attempts or override a rule: they get copies, and the request lifecycle decides how their
return values are used.

In version 1 of the interface, a script sets `API = 1` and defines any of

    request_taken(request)  -> None to accept, a dict of annotations, or a string: the reason to reject
    outcome(request, outcome)
    answer(request, answer)

where each argument is a dict of plain values. If a hook raises an exception, returns another type or runs
longer than `plugins.limit_ms`, this is logged and counted, and its script is disabled. A hook that does not
return is abandoned in the middle: whatever it has opened or locked stays so. docs/plugins.md has the rules
for scripts, and what can't be prevented.
"""

from umberlead.plugins.hooks import PluginHooks

__all__ = ["PluginHooks"]
