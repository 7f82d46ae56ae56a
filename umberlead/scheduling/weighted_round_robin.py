"""Smooth weighted round robin: selects candidates in proportion to their weights, evenly interleaved."""


class SmoothWeightedRoundRobin:
    """In each round, the credit of every candidate grows by its weight.

    The candidate with the highest credit is selected and pays the sum of the weights. A candidate that can't
    take a request is left out of the round, and its credit does not change.
    """

    def __init__(self) -> None:
        """Create an instance without credits."""
        self._credit: dict[str, float] = {}

    def select(self, weights: dict[str, float]) -> str:
        """Return the next candidate; `weights` maps at least one candidate name to its weight."""
        return max(weights, key=lambda name: self._credit.get(name, 0.0) + weights[name])

    def record_selection(self, selected: str, weights: dict[str, float]) -> None:
        """Charge the selected candidate for its selection.

        A candidate that is not among `weights` loses its credit, so that the table does not grow.
        """
        credit = {name: self._credit.get(name, 0.0) + weight for name, weight in weights.items()}
        credit[selected] -= sum(weights.values())
        self._credit = credit
