"""Small dense matrices as lists of rows: what the estimator needs, at the sizes it has (a few plans).

numpy does the same, and the tests hold this against it; but loading it takes half of a front's start-up and a
third of its memory, and at six by six its calls cost more than the sums.
"""

from collections.abc import Sequence

from umberlead.common.errors import UmberleadError

Vector = list[float]
Matrix = list[list[float]]


class SingularMatrixError(UmberleadError, ArithmeticError):
    """A matrix has no inverse within the precision of its figures; the text names the column."""


def dot(a: Sequence[float], b: Sequence[float]) -> float:
    """Return the inner product of two vectors of one length."""
    return sum(x * y for x, y in zip(a, b, strict=True))


def times(m: Matrix, v: Sequence[float]) -> Vector:
    """Return the matrix times a column."""
    return [dot(row, v) for row in m]


def transposed(m: Matrix) -> Matrix:
    """Return the matrix with rows and columns exchanged."""
    return [list(column) for column in zip(*m, strict=True)]


def diagonal(n: int, value: float) -> Matrix:
    """Return an n by n matrix with `value` on its diagonal."""
    return [[value if i == j else 0.0 for j in range(n)] for i in range(n)]


def add_outer(m: Matrix, a: Sequence[float], b: Sequence[float], by: float = 1.0) -> Matrix:
    """Return `m` plus `by` times the outer product of `a` and `b`."""
    return [[x + by * p * q for x, q in zip(row, b, strict=True)] for row, p in zip(m, a, strict=True)]


def gram(m: Matrix, weights: Sequence[float], ridge: float) -> Matrix:
    """Return transposed `m` times the squared weights times `m`, plus `ridge` on the diagonal."""
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
    """Return the matrix X with `m` X = `columns`, by elimination with row exchanges.

    Raises:
        SingularMatrixError: there is none.
    """
    n = len(m)
    rows = [list(m[k]) + list(columns[k]) for k in range(n)]
    for k in range(n):
        best = max(range(k, n), key=lambda r: abs(rows[r][k]))
        if not abs(rows[best][k]) > 0.0:  # a NaN too
            raise SingularMatrixError(f"column {k} has no pivot")
        rows[k], rows[best] = rows[best], rows[k]
        pivot = rows[k] = [x / rows[k][k] for x in rows[k]]
        for r in range(n):
            if r != k and (factor := rows[r][k]):
                rows[r] = [x - factor * p for x, p in zip(rows[r], pivot, strict=True)]
    return [row[n:] for row in rows]


def solve_one(m: Matrix, v: Sequence[float]) -> Vector:
    """Return the vector x with `m` x = `v`; raises `SingularMatrixError` if there is none."""
    return [row[0] for row in solve(m, [[x] for x in v])]


def inverse(m: Matrix) -> Matrix:
    """Return the inverse; raises `SingularMatrixError` if there is none."""
    return solve(m, diagonal(len(m), 1.0))
