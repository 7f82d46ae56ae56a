"""Where this front put new objects lately: a client may name an older shard."""


class Placements:
    """Shards by key, of the present span and the one before."""

    def __init__(self) -> None:
        """Begin with nothing placed."""
        self._current: dict[str, int] = {}
        self._previous: dict[str, int] = {}

    def record(self, key: str, shard: int) -> None:
        """Note that the object of `key` was stored on `shard`."""
        self._current[key] = shard

    def shard_of(self, key: str, default: int) -> int:
        """Return the shard that holds the object of `key` as far as this front knows, else `default`."""
        return self._current.get(key, self._previous.get(key, default))

    def rotate(self) -> None:
        """Begin a span and forget the one before the last."""
        self._previous = self._current
        self._current = {}
