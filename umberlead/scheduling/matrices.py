"""Operations on small dense matrices, stored as lists of rows, for the controller of the plans' shares.

The tests compare them with numpy. The program does not use numpy itself: importing it takes half of a front's
start-up time and a third of its memory, and for 6 by 6 matrices the overhead of its calls exceeds the
arithmetic.
"""

from collections.abc import Sequence

from umberlead.common.errors import UmberleadError

Vector = list[float]
Matrix = list[list[float]]


class SingularMatrixError(UmberleadError, ArithmeticError):
    """A matrix is singular within floating-point precision; the message names the column."""


def dot(a: Sequence[float], b: Sequence[float]) -> float:
    """Return the inner product of two vectors of the same length."""
    return sum(x * y for x, y in zip(a, b, strict=True))


def multiply(m: Matrix, v: Sequence[float]) -> Vector:
    """Return the product of a matrix and a column vector."""
    return [dot(row, v) for row in m]


def transposed(m: Matrix) -> Matrix:
    """Return the transposed matrix."""
    return [list(column) for column in zip(*m, strict=True)]


def diagonal(n: int, value: float) -> Matrix:
    """Return an n by n matrix with `value` on its diagonal."""
    return [[value if i == j else 0.0 for j in range(n)] for i in range(n)]


def add_outer_product(m: Matrix, a: Sequence[float], b: Sequence[float], scale: float = 1.0) -> Matrix:
    """Return `m` plus `scale` times the outer product of `a` and `b`."""
    return [[x + scale * p * q for x, q in zip(row, b, strict=True)] for row, p in zip(m, a, strict=True)]


def gram(m: Matrix, weights: Sequence[float], ridge: float) -> Matrix:
    """Return transposed `m` times the diagonal of squared weights times `m`, plus `ridge` on the diagonal."""
    columns = transposed(m)
    squares = [w * w for w in weights]
    return [
        [
            sum(w * x * y for w, x, y in zip(squares, a, b, strict=True)) + (ridge if i == j else 0.0)
            for j, b in enumerate(columns)
        ]
        for i, a in enumerate(columns)
    ]


def solve(m: Matrix, columns: Matrix) -> Matrix:
    """Return the matrix X with `m` X = `columns`, by Gaussian elimination with partial pivoting.

    Raises:
        SingularMatrixError: `m` is singular.
    """
    n = len(m)
    rows = [list(m[k]) + list(columns[k]) for k in range(n)]
    for k in range(n):
        best = max(range(k, n), key=lambda r: abs(rows[r][k]))
        if not abs(rows[best][k]) > 0.0:  # also for NaN
            raise SingularMatrixError(f"column {k} has no pivot")
        rows[k], rows[best] = rows[best], rows[k]
        pivot = rows[k] = [x / rows[k][k] for x in rows[k]]
        for r in range(n):
            if r != k and (factor := rows[r][k]):
                rows[r] = [x - factor * p for x, p in zip(rows[r], pivot, strict=True)]
    return [row[n:] for row in rows]


def solve_vector(m: Matrix, v: Sequence[float]) -> Vector:
    """Return the vector x with `m` x = `v`; raises `SingularMatrixError` if `m` is singular."""
    return [row[0] for row in solve(m, [[x] for x in v])]


def inverse(m: Matrix) -> Matrix:
    """Return the inverse; raises `SingularMatrixError` if `m` is singular."""
    return solve(m, diagonal(len(m), 1.0))
