"""A deduplicated request is repeated only while its endpoint drops repeats. What is decided within the window
may be written later: the connection comes up late, or the endpoint does not read."""

import pytest

from tests.test_client_disconnects import DONE, asks, block, play

WINDOW_US = 1_000_000
# The front may be held up for 0.15 s between its look at the clock and the write.
LATEST_CHECK_US = WINDOW_US - 150_000
CLOCK_TOLERANCE_US = 100_000  # the clock also runs while the steps are played
DEDUPLICATED = (
    'set objects.write.class "read"\nset settings.grades.1.effect "deduplicated"\n'
    'set settings.grades.1.group "all"\n'
    f"set settings.grades.1.memorySpan {WINDOW_US}\nset settings.bounds.dialTimeout 4000000\n"
    "patch umberlead.net.endpoint_pool REUSE_DELAY_US 0\nnode n0 0\nclient a platform\n"
)
IDLE_CONNECTION = asks("a", 9) + DONE.format("a")
FAILED = "a <\n& failed\n"


def large_request(size_bytes: int) -> str:
    return (
        f"a >\n| PUT /write?block={block(1)} HTTP/1.1\n& ask a1 / 0\n"
        f"| Content-Length: {size_bytes}\n|\n@ 0 {size_bytes}\n"
    )


def test_repeat_is_not_written_to_a_connection_that_comes_up_after_the_window() -> None:
    """It was decided within the window, and ran a second time."""
    play(
        DEDUPLICATED,
        IDLE_CONNECTION,
        "n0 next error\ndials hold\n",
        asks("a", 1),
        f"until attempts_sent 3\nclock {LATEST_CHECK_US + 1}\ndials go\n",
        "until node_connections_too_late 1\n",
        FAILED,
        f"n0 ran {block(1)} 1\ncounter attempts_barred_may_have_run 1\n",
        "counter invariant_violations 0\nclean\n",
    )


def test_repeat_is_written_to_a_connection_that_comes_up_within_the_window() -> None:
    play(
        DEDUPLICATED,
        IDLE_CONNECTION,
        "n0 next error\ndials hold\n",
        asks("a", 1),
        f"until attempts_sent 3\nclock {LATEST_CHECK_US - CLOCK_TOLERANCE_US}\ndials go\n",
        DONE.format("a"),
        "counter attempts_written 3\ncounter invariant_violations 0\nclean\n",
    )


@pytest.mark.parametrize(
    ("size_bytes", "written_count"),
    [(200_000, 2), (60_000, 3)],
    ids=["in the front", "in the socket's send buffer"],
)
def test_repeat_whose_end_is_held_back_until_the_window_is_over_is_not_completed(
    size_bytes: int, written_count: int
) -> None:
    """The endpoint reads the rest after the window, and the repeat ran a second time."""
    is_partly_written = written_count == 2
    play(
        DEDUPLICATED,
        IDLE_CONNECTION,
        "n0 next error\nn0 deaf\n",
        large_request(size_bytes),
        "partly\n" if is_partly_written else f"until attempts_written {written_count}\n",
        f"counter attempts_written {written_count}\nclock {LATEST_CHECK_US}\n",
        "until attempts_written_too_late 1\nn0 hears\n",
        FAILED,
        f"n0 ran {block(1)} 1\nclean\n",
    )


def test_repeat_that_has_reached_its_endpoint_may_take_longer_than_the_window() -> None:
    play(
        DEDUPLICATED,
        IDLE_CONNECTION,
        "n0 next error hold\n",
        asks("a", 1),
        f"until attempts_written 3\nclock {LATEST_CHECK_US + CLOCK_TOLERANCE_US}\nn0 release 1\n",
        DONE.format("a"),
        "counter attempts_written_too_late 0\nclean\n",
    )
