"""The id of the machine's current boot, which tells whether stored monotonic times are still comparable."""

from pathlib import Path

BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")
UNKNOWN_BOOT_ID = b"-"


def read_boot_id() -> bytes:
    """Return the id of the current boot, or `UNKNOWN_BOOT_ID` if it can't be read."""
    try:
        return BOOT_ID_PATH.read_bytes().strip()
    except OSError:
        return UNKNOWN_BOOT_ID
