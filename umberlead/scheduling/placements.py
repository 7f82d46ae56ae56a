"""The shards on which this front recently stored new objects: a client may name an outdated shard."""


class Placements:
    """Shards by key, for the present period and the one before."""

    def __init__(self) -> None:
        """Create a table without objects."""
        self._current: dict[str, int] = {}
        self._previous: dict[str, int] = {}

    def record(self, key: str, shard: int) -> None:
        """Record that the object of `key` was stored on `shard`."""
        self._current[key] = shard

    def shard_of(self, key: str, default: int) -> int:
        """Return the shard where this front stored the object of `key`, or `default` if it is not known."""
        return self._current.get(key, self._previous.get(key, default))

    def rotate(self) -> None:
        """Start a new period and drop all entries older than the previous one."""
        self._previous = self._current
        self._current = {}
