"""Runs each recorded exchange under tests/exchanges as a test."""

import unittest
from collections.abc import Callable
from pathlib import Path

from tests.exchange import FOLDER, Exchange


class TestExchanges(unittest.TestCase):
    pass


def _test(path: Path) -> Callable[[unittest.TestCase], None]:
    return lambda _: Exchange(path).play()


for _path in sorted(FOLDER.glob("*.txt")):
    setattr(TestExchanges, f"test_{_path.stem}", _test(_path))
