"""Smooth weighted choice: of those that can take a request, each in proportion to its weight, well mixed."""


class SmoothWeightedRoundRobin:
    """Each candidate gains its weight, the highest goes and pays the sum; who can't take any stands still."""

    def __init__(self) -> None:
        self._credit: dict[str, float] = {}

    def select(self, weights: dict[str, float]) -> str:
        return max(weights, key=lambda n: self._credit.get(n, 0.0) + weights[n])

    def record_selection(self, name: str, weights: dict[str, float]) -> None:
        """Who is no longer among `weights` loses what it had: tables don't grow, and it begins anew."""
        kept = {n: self._credit.get(n, 0.0) + w for n, w in weights.items()}
        kept[name] -= sum(weights.values())
        self._credit = kept
