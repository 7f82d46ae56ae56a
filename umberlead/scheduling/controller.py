"""The plans' shares: recursive least squares estimate what each share buys, law (14) sets them anew.

After "An Adaptive Optimal Controller for Non-Intrusive Performance Differentiation in Computing Services";
the numbers in brackets are its equations.
"""

from umberlead.scheduling import matrices as la

MIN_SAMPLES = (
    5  # answers under which shares stay (Fig. 3 of the paper): the interval goes on until it has them
)
FORGETTING_FACTOR = 0.95  # forgetting factor: about twenty intervals of memory along an excited direction
CONTROL_COST = 1.0  # diagonal of Q, in the unit of normalised plan weights
TARGET_LATENCY_RATIO = 1.0  # wanted mean time over aim
INITIAL_INFORMATION = 0.01  # diagonal of the initial P^-1: P(0) = 100 I
MIN_SHARE = 0.02  # least share of a plan


class Controller:
    """Owns the plan shares: recursive least squares (4) and law (14), order one."""

    def __init__(self, weights: list[float]) -> None:
        """Begin with the shares that the plans' weights give."""
        n = self.n = len(weights)
        self.share = self.reference_shares = self.w = [
            w / sum(weights) for w in weights
        ]  # W has them on its diagonal
        self.y = [1.0] * n
        self.x = [minus + [0.0] * n for minus in la.diagonal(n, -1.0)]  # [B0 A1]
        self.info = la.diagonal(2 * n, INITIAL_INFORMATION)
        self.phi = self.share + self.y

    def learn(self, y: la.Vector) -> None:
        """Learn from an interval's times over aims by (4), on the information matrix.

        Forgetting acts along phi only and never takes information below nothing, so the covariance stays
        finite however little the input moves.
        """
        phi, p_phi = self.phi, la.solve_one(self.info, self.phi)
        scale = 1 / (FORGETTING_FACTOR + la.dot(phi, p_phi))
        self.x = la.add_outer(
            self.x, [a - b for a, b in zip(y, la.times(self.x, phi), strict=True)], p_phi, scale
        )
        kept = 1 + (FORGETTING_FACTOR - 1) * la.dot(phi, la.times(self.info, phi)) / la.dot(phi, phi) ** 2
        self.info = la.add_outer(self.info, phi, phi, max(kept, 0.0))

    def law(self, y: la.Vector) -> la.Vector:
        """Return the shares, summing to one, that bring the next y nearest the goal, by (14).

        Effort is counted from the plan weights: from zero, the plan of most weight would start with the least
        share.
        """
        b, a = [row[: self.n] for row in self.x], [row[self.n :] for row in self.x]
        s = la.inverse(la.gram(b, self.w, CONTROL_COST**2))
        miss = [w * w * (TARGET_LATENCY_RATIO - seen) for w, seen in zip(self.w, la.times(a, y), strict=True)]
        pull = [
            v + CONTROL_COST**2 * r
            for v, r in zip(la.times(la.transposed(b), miss), self.reference_shares, strict=True)
        ]
        free, sums = la.times(s, pull), [sum(row) for row in s]
        return [u - (sum(free) - 1) / sum(sums) * t for u, t in zip(free, sums, strict=True)]

    def step(self, sums: list[float], counts: list[int]) -> None:
        """One interval: sums and counts of time over aim, a plan each. With few answers it goes on."""
        if sum(counts) >= MIN_SAMPLES:
            y = [s / c if c else old for s, c, old in zip(sums, counts, self.y, strict=True)]
            self.learn(y)
            u = self.law(y)
            lift = min(*u, 0.0)
            u = [v - lift for v in u]
            u = [max(v / sum(u), MIN_SHARE) for v in u]
            self.share, self.y = [v / sum(u) for v in u], y
            sums[:], counts[:] = [0.0] * self.n, [0] * self.n
        self.phi = self.share + self.y
