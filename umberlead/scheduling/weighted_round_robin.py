"""Smooth weighted round robin: each candidate in proportion to its weight, well mixed."""


class SmoothWeightedRoundRobin:
    """Each candidate gains its weight, the highest is selected and pays the sum.

    A candidate that can't take a request is left out, and its credit stands still.
    """

    def __init__(self) -> None:
        """Begin with no credit."""
        self._credit: dict[str, float] = {}

    def select(self, weights: dict[str, float]) -> str:
        """Return the candidate whose turn it is; `weights` are by name, one at least."""
        return max(weights, key=lambda name: self._credit.get(name, 0.0) + weights[name])

    def record_selection(self, selected: str, weights: dict[str, float]) -> None:
        """Let the selected candidate pay.

        One that is no longer among `weights` loses its credit: the table doesn't grow, and it begins anew.
        """
        credit = {name: self._credit.get(name, 0.0) + weight for name, weight in weights.items()}
        credit[selected] -= sum(weights.values())
        self._credit = credit
