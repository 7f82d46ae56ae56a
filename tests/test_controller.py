"""The controller, its matrices and the fair queue, compared with results computed independently."""

import numpy as np
import pytest

from tests.helpers import READ, T0, ask, end, feed, head, up
from umberlead.scheduling import matrices as linear
from umberlead.scheduling.controller import (
    CONTROL_COST_WEIGHT,
    FORGETTING_FACTOR,
    TARGET_LATENCY_RATIO,
    Controller,
)
from umberlead.scheduling.fair_queue import FairQueue
from umberlead.scheduling.pending_request import PendingRequest


def test_one_step_of_least_squares_is_the_matrix_form() -> None:
    c = Controller([1.0, 2.0])
    phi = np.array(c.phi)
    y = [1.7, 0.4]
    p = np.eye(4) * 100.0
    error = y - np.hstack([-np.eye(2), np.zeros((2, 2))]) @ phi
    want_x = np.hstack([-np.eye(2), np.zeros((2, 2))]) + np.outer(error, phi) @ p / (
        FORGETTING_FACTOR + phi @ p @ phi
    )
    factor = 1 + (FORGETTING_FACTOR - 1) * (phi @ np.linalg.inv(p) @ phi) / (phi @ phi) ** 2
    c.learn(y)
    assert np.allclose(c.x, want_x)
    assert np.allclose(c.information, np.linalg.inv(p) + factor * np.outer(phi, phi))


def test_small_matrices_agree_with_the_library() -> None:
    rng = np.random.default_rng(7)
    for n in (1, 2, 3, 6, 10):
        m, b, v = rng.normal(size=(n, n)), rng.normal(size=(n, 3)), rng.normal(size=n)
        w = rng.uniform(0.1, 2, size=n)
        assert np.allclose(linear.solve(m.tolist(), b.tolist()), np.linalg.solve(m, b))
        assert np.allclose(linear.inverse(m.tolist()), np.linalg.inv(m))
        assert np.allclose(linear.solve_one(m.tolist(), v.tolist()), np.linalg.solve(m, v))
        assert np.allclose(linear.times(m.tolist(), v.tolist()), m @ v)
        want = (np.diag(w) @ m).T @ (np.diag(w) @ m) + 0.5 * np.eye(n)
        assert np.allclose(linear.gram(m.tolist(), w.tolist(), 0.5), want)
        assert np.allclose(linear.add_outer(m.tolist(), v.tolist(), w.tolist(), 3.0), m + 3 * np.outer(v, w))
    for bad in ([[1.0, 2.0], [2.0, 4.0]], [[float("nan")]]):
        with pytest.raises(linear.SingularMatrixError):
            linear.solve(bad, [[1.0]] * len(bad))


def test_law_sums_to_one_and_is_the_constrained_minimum() -> None:
    c = Controller([1.0, 2.0, 4.0])
    rng = np.random.default_rng(5)
    c.x = rng.normal(size=(3, 6)).tolist()
    y, w = [1.4, 0.6, 2.0], np.diag(c.w)

    def cost(u: np.ndarray) -> float:
        miss = w @ (np.array(c.x) @ np.concatenate([u, y]) - TARGET_LATENCY_RATIO)
        return float(
            miss @ miss + CONTROL_COST_WEIGHT**2 * (u - c.reference_shares) @ (u - c.reference_shares)
        )

    u = np.array(c.law(y))
    assert np.isclose(u.sum(), 1.0)
    for _ in range(50):
        move = rng.normal(size=3)
        move -= move.mean()
        assert cost(u) < cost(u + 0.01 * move)


def test_estimator_recovers_a_known_linear_system() -> None:
    rng = np.random.default_rng(3)
    b, a = np.array([[-2.0, 0.5], [0.3, -1.5]]), np.array([[0.4, 0.1], [0.0, 0.3]])
    c = Controller([1.0, 1.0])
    y = np.ones(2)
    for _ in range(300):
        u = rng.uniform(0.1, 0.9, size=2)
        c.phi = [*u, *y]
        y = b @ u + a @ y
        c.learn(y.tolist())
    assert np.allclose(c.x, np.hstack([b, a]), atol=1e-3)


def test_covariance_stays_finite_without_excitation() -> None:
    c = Controller([1.0, 2.0])
    phi = list(c.phi)
    for _ in range(3000):
        c.phi = phi
        c.learn([1.0, 1.0])
    p = np.linalg.inv(c.information)
    assert np.isfinite(p).all() and np.linalg.eigvalsh(p).max() <= 100.0 + 1e-6
    assert np.linalg.eigvalsh(c.information).min() > 0


def test_few_answers_leave_shares_and_a_quiet_plan_keeps_its_measure() -> None:
    c = Controller([1.0, 2.0])
    before = list(c.share)
    c.step([9.0, 3.0], [2, 2])
    assert c.share == before
    c.step([12.0, 0.0], [6, 0])
    assert c.y == [2.0, 1.0]
    assert np.isclose(sum(c.share), 1.0) and min(c.share) > 0


def test_an_interval_goes_on_until_it_has_enough_answers() -> None:
    """A front of a large fleet gets only a few answers in one control interval. Answers are added up over
    several intervals until there are enough, and only then the shares change."""
    h = head(T0, up(), front_count=100)
    before = list(h.controller.share)
    for k in range(3):
        at = T0 + 100_000 + k * 500_000
        feed(h, at, ask(f"a{k}", at), ask(f"b{k}", at, plan="plain", volume="w"))
        feed(h, at + 10_000, end(f"a{k}"), end(f"b{k}", elapsed=90_000))
        feed(h, at + 390_000, end(f"b{k}", elapsed=90_000))
        feed(h, T0 + (k + 1) * 500_000)
        assert (h.controller.share == before) == (k < 2)
    assert h.latency_ratio_counts == [0, 0]


def test_tags_follow_a_hand_worked_example() -> None:
    """Each plan has a share of 0.5. Plan 0 has volume a, plan 1 has volumes b and c, and all requests have 2
    units. A request advances the finish tag of a by 2 / 0.5 = 4, and that of b or c by 2 / (0.5 / 2) = 8. So
    the order of start tags is a(0) b(0) c(0) a(4), then a(8), b(8) and c(8) in the order of tagging."""
    lane = FairQueue(2)
    for k, (volume, plan) in enumerate(
        [("a", 0), ("b", 1), ("c", 1), ("a", 0), ("a", 0), ("b", 1), ("c", 1)]
    ):
        item = PendingRequest(ask(f"r{k}", volume=volume), READ, plan, 0, 1000 + k, k)
        first = volume not in lane.waiting
        lane.push(item)
        if first:
            lane.tag_volume(volume)
    left = []
    while lane.start_tags:
        start, _, volume = lane.start_tags[0]
        item_or_none = lane.most_urgent(volume)
        assert item_or_none is not None
        left.append((volume, start))
        lane.dequeue(item_or_none, 0.5)
        following = lane.most_urgent(volume)
        if following:
            lane.tag_volume(volume)
    assert left[:4] == [("a", 0.0), ("b", 0.0), ("c", 0.0), ("a", 4.0)]
    assert [v for v, _ in left[4:]] == ["b", "c", "a"] and [s for _, s in left[4:]] == [8.0, 8.0, 8.0]


def test_a_nodes_mean_time_counts_a_large_answer_by_its_size() -> None:
    """The latency of an answer is divided by the size of its request. Otherwise large reads make an endpoint
    look slow: a sixth of the requests were rejected although the load was low."""
    means = []
    for units, elapsed in ((2.0, 120_000), (6.0, 360_000)):
        h = head()
        feed(h, T0, ask("r", units=units))
        feed(h, T0 + 400_000, end("r", elapsed=elapsed))
        means.append(h.directory.endpoints["n0"].relative_latency.read(T0 + 400_000))
    assert np.isclose(means[0], means[1])
