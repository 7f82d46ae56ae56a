"""The controller, its matrices and the fair queue, compared with results computed independently."""

import numpy as np
import pytest

from tests.helpers import READ_CLASS, T0, handle_events, new_outcome, new_request, new_scheduler, up_endpoint
from umberlead.scheduling import matrices
from umberlead.scheduling.controller import (
    CONTROL_COST_WEIGHT,
    FORGETTING_FACTOR,
    TARGET_LATENCY_RATIO,
    Controller,
)
from umberlead.scheduling.fair_queue import FairQueue
from umberlead.scheduling.pending_request import PendingRequest


def test_least_squares_step_equals_the_matrix_form() -> None:
    controller = Controller([1.0, 2.0])
    phi = np.array(controller.phi)
    y = [1.7, 0.4]
    covariance = np.eye(4) * 100.0
    error = y - np.hstack([-np.eye(2), np.zeros((2, 2))]) @ phi
    expected_x = np.hstack([-np.eye(2), np.zeros((2, 2))]) + np.outer(error, phi) @ covariance / (
        FORGETTING_FACTOR + phi @ covariance @ phi
    )
    retained = 1 + (FORGETTING_FACTOR - 1) * (phi @ np.linalg.inv(covariance) @ phi) / (phi @ phi) ** 2
    controller.learn(y)
    assert np.allclose(controller.x, expected_x)
    assert np.allclose(controller.information, np.linalg.inv(covariance) + retained * np.outer(phi, phi))


def test_matrix_functions_agree_with_numpy() -> None:
    rng = np.random.default_rng(7)
    for n in (1, 2, 3, 6, 10):
        m, b, v = rng.normal(size=(n, n)), rng.normal(size=(n, 3)), rng.normal(size=n)
        w = rng.uniform(0.1, 2, size=n)
        assert np.allclose(matrices.solve(m.tolist(), b.tolist()), np.linalg.solve(m, b))
        assert np.allclose(matrices.inverse(m.tolist()), np.linalg.inv(m))
        assert np.allclose(matrices.solve_vector(m.tolist(), v.tolist()), np.linalg.solve(m, v))
        assert np.allclose(matrices.multiply(m.tolist(), v.tolist()), m @ v)
        expected_gram = (np.diag(w) @ m).T @ (np.diag(w) @ m) + 0.5 * np.eye(n)
        assert np.allclose(matrices.gram(m.tolist(), w.tolist(), 0.5), expected_gram)
        assert np.allclose(
            matrices.add_outer_product(m.tolist(), v.tolist(), w.tolist(), 3.0), m + 3 * np.outer(v, w)
        )
    for singular in ([[1.0, 2.0], [2.0, 4.0]], [[float("nan")]]):
        with pytest.raises(matrices.SingularMatrixError):
            matrices.solve(singular, [[1.0]] * len(singular))


def test_law_returns_shares_of_sum_one_that_minimise_the_cost() -> None:
    controller = Controller([1.0, 2.0, 4.0])
    rng = np.random.default_rng(5)
    controller.x = rng.normal(size=(3, 6)).tolist()
    y, w = [1.4, 0.6, 2.0], np.diag(controller.w)

    def cost(u: np.ndarray) -> float:
        weighted_error = w @ (np.array(controller.x) @ np.concatenate([u, y]) - TARGET_LATENCY_RATIO)
        return float(
            weighted_error @ weighted_error
            + CONTROL_COST_WEIGHT**2 * (u - controller.reference_shares) @ (u - controller.reference_shares)
        )

    u = np.array(controller.law(y))
    assert np.isclose(u.sum(), 1.0)
    for _ in range(50):
        perturbation = rng.normal(size=3)
        perturbation -= perturbation.mean()
        assert cost(u) < cost(u + 0.01 * perturbation)


def test_estimator_recovers_a_known_linear_system() -> None:
    rng = np.random.default_rng(3)
    b, a = np.array([[-2.0, 0.5], [0.3, -1.5]]), np.array([[0.4, 0.1], [0.0, 0.3]])
    controller = Controller([1.0, 1.0])
    y = np.ones(2)
    for _ in range(300):
        u = rng.uniform(0.1, 0.9, size=2)
        controller.phi = [*u, *y]
        y = b @ u + a @ y
        controller.learn(y.tolist())
    assert np.allclose(controller.x, np.hstack([b, a]), atol=1e-3)


def test_covariance_stays_finite_without_excitation() -> None:
    controller = Controller([1.0, 2.0])
    phi = list(controller.phi)
    for _ in range(3000):
        controller.phi = phi
        controller.learn([1.0, 1.0])
    covariance = np.linalg.inv(controller.information)
    assert np.isfinite(covariance).all() and np.linalg.eigvalsh(covariance).max() <= 100.0 + 1e-6
    assert np.linalg.eigvalsh(controller.information).min() > 0


def test_few_answers_keep_the_shares_and_an_idle_plan_keeps_its_latency() -> None:
    controller = Controller([1.0, 2.0])
    initial_share = list(controller.share)
    controller.step([9.0, 3.0], [2, 2])
    assert controller.share == initial_share
    controller.step([12.0, 0.0], [6, 0])
    assert controller.y == [2.0, 1.0]
    assert np.isclose(sum(controller.share), 1.0) and min(controller.share) > 0


def test_interval_is_extended_until_it_has_enough_answers() -> None:
    """A front of a large fleet gets only a few answers in one control interval. Answers are added up over
    several intervals until there are enough, and only then the shares change."""
    scheduler = new_scheduler(T0, up_endpoint(), front_count=100)
    initial_share = list(scheduler.controller.share)
    for k in range(3):
        now_us = T0 + 100_000 + k * 500_000
        handle_events(
            scheduler,
            now_us,
            new_request(f"a{k}", now_us),
            new_request(f"b{k}", now_us, plan="plain", volume="w"),
        )
        handle_events(
            scheduler, now_us + 10_000, new_outcome(f"a{k}"), new_outcome(f"b{k}", elapsed_us=90_000)
        )
        handle_events(scheduler, now_us + 390_000, new_outcome(f"b{k}", elapsed_us=90_000))
        handle_events(scheduler, T0 + (k + 1) * 500_000)
        assert (scheduler.controller.share == initial_share) == (k < 2)
    assert scheduler.latency_ratio_counts == [0, 0]


def test_start_tags_match_a_worked_example() -> None:
    """Each plan has a share of 0.5. Plan 0 has volume a, plan 1 has volumes b and c, and all requests have 2
    units. A request advances the finish tag of a by 2 / 0.5 = 4, and that of b or c by 2 / (0.5 / 2) = 8. So
    the order of start tags is a(0) b(0) c(0) a(4), then a(8), b(8) and c(8) in the order of tagging."""
    queue = FairQueue(2)
    for k, (volume, plan) in enumerate(
        [("a", 0), ("b", 1), ("c", 1), ("a", 0), ("a", 0), ("b", 1), ("c", 1)]
    ):
        pending = PendingRequest(new_request(f"r{k}", volume=volume), READ_CLASS, plan, 0, 1000 + k, k)
        is_first = volume not in queue.waiting
        queue.push(pending)
        if is_first:
            queue.tag_volume(volume)
    dequeued = []
    while queue.start_tags:
        start, _, volume = queue.start_tags[0]
        next_pending = queue.most_urgent(volume)
        assert next_pending is not None
        dequeued.append((volume, start))
        queue.dequeue(next_pending, 0.5)
        next_waiting = queue.most_urgent(volume)
        if next_waiting:
            queue.tag_volume(volume)
    assert dequeued[:4] == [("a", 0.0), ("b", 0.0), ("c", 0.0), ("a", 4.0)]
    assert [v for v, _ in dequeued[4:]] == ["b", "c", "a"] and [s for _, s in dequeued[4:]] == [8.0, 8.0, 8.0]


def test_endpoint_latency_is_scaled_by_the_request_size() -> None:
    """The latency of an answer is divided by the size of its request. Otherwise large reads make an endpoint
    look slow, and a sixth of the requests are rejected at low load."""
    means = []
    for units, elapsed in ((2.0, 120_000), (6.0, 360_000)):
        scheduler = new_scheduler()
        handle_events(scheduler, T0, new_request("r", units=units))
        handle_events(scheduler, T0 + 400_000, new_outcome("r", elapsed_us=elapsed))
        means.append(scheduler.directory.endpoints["n0"].relative_latency.read(T0 + 400_000))
    assert np.isclose(means[0], means[1])
