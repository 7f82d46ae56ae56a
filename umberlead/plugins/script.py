"""One operator's script: loading it, and its hooks."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

from umberlead.configuration import ConfigError
from umberlead.plugins.interface import API_VERSION, HOOK_NAMES, CallFailedError, CallTimeoutError
from umberlead.plugins.interruptible_call import InterruptibleCaller

LOAD_TIMEOUT_US = 2_000_000  # a process has to be ready within 6 s of its start

Hooks = dict[str, Callable[..., Any]]


def _load(path: Path) -> Hooks | None:
    """Run a script, and return its hooks by name; None if it is for another version of the interface."""
    namespace: dict[str, Any] = {"__name__": f"umberlead_plugin_{path.stem}", "__file__": str(path)}
    exec(compile(path.read_text(), str(path), "exec"), namespace)
    if namespace.get("API") != API_VERSION:
        return None
    return {name: namespace[name] for name in HOOK_NAMES if callable(namespace.get(name))}


class Plugin:
    """One script.

    Attributes:
        name: the name of its file without the suffix.
        enabled: whether its hooks are called.
        hooks: the hooks that it defines, by name.
    """

    def __init__(self, path: Path, key: str, caller: InterruptibleCaller) -> None:
        """Run a script.

        Args:
            path: the script's file.
            key: the configuration key that names the file, for error messages.
            caller: calls the script's code.

        Raises:
            ConfigError: the script fails or does not end, or is written for another version of the interface.
        """
        self.name = path.stem
        self.enabled = True
        try:
            hooks = caller.call(lambda: _load(path), LOAD_TIMEOUT_US)
        except CallFailedError as error:
            raise ConfigError(key, f"{path.name} failed to load: {error}") from None
        except CallTimeoutError:
            seconds = LOAD_TIMEOUT_US / 1e6
            raise ConfigError(key, f"{path.name} did not load within {seconds:g} s") from None
        if hooks is None:
            raise ConfigError(key, f"{path.name} must set API = {API_VERSION}")
        self.hooks: Hooks = hooks
