"""The controller of the plans' shares: a recursive least-squares estimator and control law (14).

The estimator models how the plans' latencies depend on the shares, and the law sets the shares from the
model. Both follow "An Adaptive Optimal Controller for Non-Intrusive Performance Differentiation in Computing
Services"; numbers in brackets are its equations. Its terms, for n plans: u, the shares (here `share`); y,
each plan's mean latency over its objective; phi = [u, y], the regressor (2n); X = [B0 A1], the parameters
(n by 2n); W, the plans' weights (a diagonal); Q, the cost of control.
"""

from umberlead.scheduling import matrices
from umberlead.scheduling.matrices import Matrix, Vector

MIN_INTERVAL_REQUESTS = 5  # an interval with fewer answers is extended (Fig. 3 of the paper)
FORGETTING_FACTOR = 0.95  # a memory of about twenty intervals along an excited direction
CONTROL_COST_WEIGHT = 1.0  # diagonal of Q, on the scale of the normalised plan weights
TARGET_LATENCY_RATIO = 1.0  # reference value of y
INITIAL_INFORMATION_WEIGHT = 0.01  # diagonal of the initial P^-1: P(0) = 100 I
MIN_SHARE = 0.02  # of a plan


class Controller:
    """Sets the plans' shares with the estimator (4) and law (14), for a model of order one.

    Attributes:
        share: u, by plan; adds up to 1.
        reference_shares: shares in proportion to the plans' weights.
        w: the diagonal of W.
        y: each plan's mean latency over its objective, in the latest interval.
        x: X, n rows of 2n.
        information: the inverse of the covariance P, 2n by 2n.
        phi: the regressor of the next interval.
    """

    def __init__(self, weights: list[float]) -> None:
        """Create a controller whose shares are in proportion to the plans' weights."""
        self._plan_count = len(weights)
        normalised_weights = [weight / sum(weights) for weight in weights]
        self.w = normalised_weights
        self.reference_shares = normalised_weights
        self.share = normalised_weights
        self.y = [1.0] * self._plan_count
        self.x = [row + [0.0] * self._plan_count for row in matrices.diagonal(self._plan_count, -1.0)]
        self.information = matrices.diagonal(2 * self._plan_count, INITIAL_INFORMATION_WEIGHT)
        self.phi = self.share + self.y

    def learn(self, y: Vector) -> None:
        """Update the estimator (4) with an interval's `y`, in the form for the information matrix.

        Forgetting acts only along phi and never makes the information negative, so the covariance stays
        finite even if the input hardly changes.
        """
        phi = self.phi
        gain = matrices.solve_vector(self.information, phi)
        scale = 1 / (FORGETTING_FACTOR + matrices.dot(phi, gain))
        errors = [
            actual - predicted for actual, predicted in zip(y, matrices.multiply(self.x, phi), strict=True)
        ]
        self.x = matrices.add_outer_product(self.x, errors, gain, scale)
        information_along_phi = matrices.dot(phi, matrices.multiply(self.information, phi))
        retained = 1 + (FORGETTING_FACTOR - 1) * information_along_phi / matrices.dot(phi, phi) ** 2
        self.information = matrices.add_outer_product(self.information, phi, phi, max(retained, 0.0))

    def law(self, y: Vector) -> Vector:
        """Return the shares, with sum 1, that minimise the cost (14) of the next y.

        The cost of control is measured from the reference shares. Measured from zero, the plan with the
        highest weight would start with the smallest share.
        """
        b0 = [row[: self._plan_count] for row in self.x]
        a1 = [row[self._plan_count :] for row in self.x]
        inverse = matrices.inverse(matrices.gram(b0, self.w, CONTROL_COST_WEIGHT**2))
        right_hand_side = self._right_hand_side(b0, matrices.multiply(a1, y))
        unconstrained = matrices.multiply(inverse, right_hand_side)
        row_sums = [sum(row) for row in inverse]
        excess = (sum(unconstrained) - 1) / sum(row_sums)
        return [share - excess * row_sum for share, row_sum in zip(unconstrained, row_sums, strict=True)]

    def _right_hand_side(self, b0: Matrix, predicted: Vector) -> Vector:
        """Return the right-hand side of (14): the target weighted by W, the reference shares by Q."""
        weighted_errors = [
            weight * weight * (TARGET_LATENCY_RATIO - ratio)
            for weight, ratio in zip(self.w, predicted, strict=True)
        ]
        towards_target = matrices.multiply(matrices.transposed(b0), weighted_errors)
        return [
            target + CONTROL_COST_WEIGHT**2 * reference
            for target, reference in zip(towards_target, self.reference_shares, strict=True)
        ]

    def step(self, sums: list[float], counts: list[int]) -> None:
        """End an interval and set new shares, or extend it if it has too few answers.

        Args:
            sums: sums of latency over objective, by plan; reset to zero when the interval ends.
            counts: numbers of answers, by plan; reset to zero when the interval ends.
        """
        if sum(counts) >= MIN_INTERVAL_REQUESTS:
            y = [
                total / count if count else earlier
                for total, count, earlier in zip(sums, counts, self.y, strict=True)
            ]
            self.learn(y)
            self.share = self._bounded(self.law(y))
            self.y = y
            sums[:] = [0.0] * self._plan_count
            counts[:] = [0] * self._plan_count
        self.phi = self.share + self.y

    @staticmethod
    def _bounded(shares: Vector) -> Vector:
        """Return the shares shifted to be non-negative, raised to `MIN_SHARE` and normalised to sum 1."""
        shift = min(*shares, 0.0)
        shifted = [share - shift for share in shares]
        total = sum(shifted)
        bounded = [max(share / total, MIN_SHARE) for share in shifted]
        total = sum(bounded)
        return [share / total for share in bounded]
