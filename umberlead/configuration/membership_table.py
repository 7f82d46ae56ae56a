"""Parses the table `[membership]` of an operator's file: watched endpoint lists."""

import os
from dataclasses import dataclass
from pathlib import Path

from umberlead.configuration.keys import Keys

KNOWN_KEYS = (
    "flap_half_life_s",
    "flap_reuse",
    "flap_suppress",
    "gate",
    "gate_within_s",
    "list",
    "poll_ms",
    "settle_ms",
    "snapshot",
    "withdrawn_most",
)


@dataclass(frozen=True, slots=True)
class WatchedListConfig:
    """The configuration of watched endpoint lists.

    Attributes:
        main_path: The main file of the list.
        snapshot_path: The file in which the last valid list is saved; None to save none.
        settle_us: How long a load is delayed after a change of the files, to let a burst of changes end.
        poll_interval_us: The interval at which the files are compared with the list last read.
        max_withdrawn_ratio: The share of ready endpoints that one list may withdraw without confirmation.
        flap_half_life_us: The time in which the penalty of a flapping endpoint halves.
        flap_suppress_threshold: The penalty, in returns of the endpoint, above which it is suppressed.
        flap_reuse_threshold: The penalty below which a suppressed endpoint is used again.
        gate_suite_path: A suite of routing tests that must pass with a new list.
        gate_timeout_seconds: The time limit of this suite.
    """

    main_path: Path
    snapshot_path: Path | None
    settle_us: int
    poll_interval_us: int
    max_withdrawn_ratio: float
    flap_half_life_us: int
    flap_suppress_threshold: float
    flap_reuse_threshold: float
    gate_suite_path: Path | None = None
    gate_timeout_seconds: float = 30.0


def parse_membership(keys: Keys, folder: Path) -> WatchedListConfig:
    """Parse the table `[membership]`; its paths are relative to `folder`.

    Raises:
        ConfigError: A key is unknown, a value is invalid, or a required file or folder does not exist.
    """
    keys.reject_unknown(KNOWN_KEYS)
    snapshot = keys.text("snapshot", "")
    config = WatchedListConfig(
        main_path=(folder / keys.text("list")).absolute(),
        snapshot_path=(folder / snapshot).absolute() if snapshot else None,
        settle_us=int(keys.number("settle_ms", 10, 0, 200) * 1000),
        poll_interval_us=int(keys.number("poll_ms", 250, 20, 400) * 1000),
        max_withdrawn_ratio=keys.number("withdrawn_most", 0.25, 0, 1),
        flap_half_life_us=int(keys.number("flap_half_life_s", 15, 0.1, 3600) * 1_000_000),
        flap_suppress_threshold=keys.number("flap_suppress", 3, 1, 8),
        flap_reuse_threshold=keys.number("flap_reuse", 1, 0.1, 8),
        gate_suite_path=(folder / keys.text("gate")).absolute() if "gate" in keys.values else None,
        gate_timeout_seconds=keys.number("gate_within_s", 30, 1, 600),
    )
    if config.gate_suite_path is not None and not os.path.isfile(config.gate_suite_path):
        raise keys.error("gate", f"no such file: {config.gate_suite_path}")
    if config.flap_reuse_threshold >= config.flap_suppress_threshold:
        raise keys.error("flap_reuse", "must be below flap_suppress")
    if config.snapshot_path is not None and not os.path.isdir(config.snapshot_path.parent):
        raise keys.error("snapshot", f"no such folder: {config.snapshot_path.parent}")
    return config
