"""Decides which changed fields of a configuration a reload applies and which need a restart."""

from dataclasses import fields
from typing import NamedTuple

from umberlead.configuration.process_config import Config

RELOADABLE_FIELDS = (
    "discovery",
    "max_descriptors",
    "memory_limit_bytes",
    "keepalive_us",
    "retry_after_us",
    "client_idle_timeout_us",
    "log_level",
)
# These are used only at the start, so a different value does not count as a change.
START_ONLY_FIELDS = ("seed", "known_endpoints")


class ChangedFields(NamedTuple):
    """The names of the fields that differ between two configurations.

    Attributes:
        reloadable: The fields that a reload applies.
        restart_needed: The fields that take effect at the next start.
    """

    reloadable: list[str]
    restart_needed: list[str]


def changed_fields(old: Config, new: Config) -> ChangedFields:
    """Return the fields that differ, except those that are used only at the start."""
    changed_names = [
        field.name for field in fields(Config) if getattr(old, field.name) != getattr(new, field.name)
    ]
    fields_without_restart = RELOADABLE_FIELDS + START_ONLY_FIELDS
    return ChangedFields(
        reloadable=[name for name in changed_names if name in RELOADABLE_FIELDS],
        restart_needed=[name for name in changed_names if name not in fields_without_restart],
    )
