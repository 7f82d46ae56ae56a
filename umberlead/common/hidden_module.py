"""Imports without an optional dependency of the imported package."""

import contextlib
import sys
from collections.abc import Iterator


@contextlib.contextmanager
def hidden_module(name: str) -> Iterator[None]:
    """Let imports within the context find no module of this name, unless it is loaded already."""
    if name in sys.modules:
        yield
        return
    sys.modules[name] = None  # type: ignore[assignment]
    try:
        yield
    finally:
        del sys.modules[name]
