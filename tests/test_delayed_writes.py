"""A rate limit holds for the times at which requests reach endpoints, also if they are written late."""

import pytest

from tests.test_client_disconnects import DONE, asks, play

FULL_BUCKET = (
    "set settings.plans.0.neverOver 10.0\nset settings.plans.0.mostAtOnce 12.0\n"
    "set settings.bounds.dialTimeout 4000000\nnode n0 0\nnode n1 0\nclient z platform\nclock 2000000\n"
    + asks("z", 1)  # the volume is known from now on
    + DONE.format("z")
    + "n0 breaks\nn1 breaks\nclock 4000000\nclient a platform\nclient b platform\nclient c platform\n"
)
FILL_TIME_US = 600_000  # in which 6 units are added to the bucket


@pytest.mark.parametrize("is_written", [False, True])
def test_units_of_a_request_that_waits_for_a_connection_are_not_added_to_a_full_bucket_again(
    is_written: bool,
) -> None:
    """The bucket filled up while the request waited, and three requests reached the endpoint at once."""
    play(
        FULL_BUCKET,
        "" if is_written else "dials hold\n",
        asks("a", 2, 6),
        DONE.format("a") if is_written else "until attempts_sent 2\n",
        "dials hold\n",
        f"clock {FILL_TIME_US}\n",
        asks("b", 3, 6),
        asks("c", 4, 6),
        f"until requests_taken 4\nclock 1000\ncounter attempts_sent {4 if is_written else 3}\n",
        "dials go\n",
        "" if is_written else DONE.format("a"),
        DONE.format("b"),
        "clock 1200000\n",
        DONE.format("c"),
        "counter attempts_sent 4\nclean\n",
    )
