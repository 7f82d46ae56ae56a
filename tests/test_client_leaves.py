"""A client that has left is owed nothing, and nothing of its is sent on: whatever its request waits for,
and however it leaves. Judged by what chunk servers were asked; nothing here waits for time to pass."""

from dataclasses import replace

import pytest

from tests.exchange import Exchange
from tests.helpers import T0, ask, end, feed, head, up
from umberlead.core import interface as api

WAYS = ["close", "half", "reset"]


def block(n: int) -> str:
    return f"{n:016x}"


def asks(name: str, n: int, units: int = 1, method: str = "PUT /write") -> str:
    return f"{name} >\n& block {name}{n} / {method} / {block(n)} / {units}\n"


DONE = "{} <\n& done\n"


def play(*parts: str) -> None:
    Exchange("".join(parts)).play()


@pytest.mark.parametrize("way", WAYS)
def test_from_the_fair_queue(way: str) -> None:
    """Two requests fill the node's bound and a third waits; a small one behind it goes as soon as the one
    that left is out of the way, and not only when an answer comes."""
    play(
        "node n0 0\nn0 next hold hold\nclient a platform\nclient b platform\n",
        "client c platform\nclient d platform\n",
        asks("a", 1, 6), asks("b", 2, 6), "until attempts_written 2\n",
        asks("c", 3, 6), "until requests_taken 3\n", asks("d", 4, 1), "until requests_taken 4\n",
        f"c {way}\nuntil clients_gone 1\n", DONE.format("d"),
        "n0 release 2\n", DONE.format("a"), DONE.format("b"),
        asks("d", 5, 6), DONE.format("d"),
        f"n0 ran {block(3)} 0\nwrites n0 PUT 4\ncounter attempts_sent 4\n",
    )  # fmt: skip


@pytest.mark.parametrize("way", WAYS)
def test_while_its_connection_comes_up(way: str) -> None:
    play(
        "node n0 0\nclient a platform\nclient b platform\ndials hold\n",
        asks("a", 1), "until attempts_sent 1\n",
        f"a {way}\nuntil clients_gone 1\nuntil attempts_moot 1\ndials go\n",
        asks("b", 2), DONE.format("b"),
        f"n0 ran {block(1)} 0\nwrites n0 PUT 1\ncounter attempts_no_link 0\n",  # nor is it blamed
    )  # fmt: skip


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("again", ["own", "other's"])
def test_between_tries_and_at_a_node_that_rests(way: str, again: str) -> None:
    """A node that turned one away rests; the request waits for it, or another that comes meanwhile."""
    play(
        "node n0 0\nn0 next full\nclient a platform\nclient b platform\nclient c platform\n",
        asks("a", 1), "until attempts_full 1\n",
        "" if again == "own" else asks("c", 3) + "until requests_taken 2\n",
        f"{'a' if again == 'own' else 'c'} {way}\nuntil clients_gone 1\nclock 2000000\n",
        asks("b", 2), DONE.format("b"),
        f"n0 ran {block(3)} 0\nn0 ran {block(1)} {0 if again == 'own' else 1}\n",
    )  # fmt: skip


@pytest.mark.parametrize("way", WAYS)
def test_at_a_node_that_warms_up(way: str) -> None:
    play(
        "set settings.extra.coldUnits 1\nset settings.guarantees.coldShare 0.2\n"
        "set settings.guarantees.fallMultiple 4\nset settings.guarantees.overloadFor 1000000\n"
        "set settings.guarantees.warmUp 4000000\n"
        "node n0 0\nstarted n0\nclient a platform\nclient b platform\n",
        asks("a", 1, 6), "until requests_taken 1\ncounter attempts_sent 0\n",
        f"a {way}\nuntil clients_gone 1\nclock 5000000\n",
        asks("b", 2), DONE.format("b"), f"n0 ran {block(1)} 0\nwrites n0 PUT 1\n",
    )  # fmt: skip


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("more", [1, 60], ids=["read on", "reading paused"])
def test_behind_another_on_its_connection(way: str, more: int) -> None:
    """One is out, others wait behind it; with many, reading is paused, and leaving is looked for."""
    behind = "".join(f"& block x{k} / PUT /write / {block(100 + k)} / 1\n" for k in range(more))
    play(
        "node n0 0\nn0 next hold\nclient a platform\nclient b platform\n",
        asks("a", 1), "until attempts_written 1\na >\n", f"& block y / PUT /write / {block(99)} / 1\n",
        f"a >\n{behind}| X-Pad: {'p' * (0 if more == 1 else 20_000)}\n",
        f"a {way}\nuntil clients_gone 1\nn0 release 1\nuntil attempts_ok 1\n",
        asks("b", 2), DONE.format("b"), "writes n0 PUT 2\ncounter requests_taken 2\n",
    )  # fmt: skip


@pytest.mark.parametrize("way", WAYS)
def test_behind_what_is_no_http(way: str) -> None:
    """Reading ends there, and the request before it still waits in the queue."""
    play(
        "node n0 0\nn0 next hold hold\nclient a platform\nclient b platform\nclient c platform\n",
        asks("a", 1, 6), asks("b", 2, 6), "until attempts_written 2\n",
        asks("c", 3, 6), "c >\n" + "| noise\n" * 4 + f"| {'x' * 40_000}\nuntil bad_requests_400 1\n",
        f"c {way}\nuntil clients_gone 1\nn0 release 2\n", DONE.format("a"), DONE.format("b"),
        asks("a", 4, 6), DONE.format("a"), f"n0 ran {block(3)} 0\nwrites n0 PUT 3\n",
    )  # fmt: skip


@pytest.mark.parametrize("way", WAYS)
def test_an_object_s_blocks_that_were_not_begun(way: str) -> None:
    """Of an object of four blocks one is out: it runs on, the others and the manifest do not begin."""
    play(
        "node n0 0\nn0 next hold\nclient o objects\nclient b platform\n",
        "o >\n| PUT /scans/k HTTP/1.1\n| Content-Length: 4096\n|\n@ 0 4096\nuntil attempts_written 1\n",
        f"o {way}\nuntil clients_gone 1\nn0 release 1\nuntil attempts_ok 1\n",
        asks("b", 2), DONE.format("b"), "writes n0 PUT 2\ncounter attempts_sent 2\n",
    )  # fmt: skip


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("method", ["PUT", "GET"])
def test_an_object_that_waits(way: str, method: str) -> None:
    """Its first block waits for a connection; a part whose client left is free for a retry."""
    body = "| Content-Length: 8\n|\n= abcdefgh\n" if method == "PUT" else "|\n"
    play(
        "node n0 0\nclient o objects\nclient b platform\ndials hold\n",
        f"o >\n| {method} /scans/k HTTP/1.1\n{body}until attempts_sent 1\n",
        f"o {way}\nuntil clients_gone 1\nuntil attempts_moot 1\ndials go\n",
        asks("b", 2), DONE.format("b"), "writes n0 PUT 1\nn0 ran GET 0\n",
    )  # fmt: skip


@pytest.mark.parametrize("way", WAYS)
def test_a_part_whose_client_left_goes_on_with_what_is_missing(way: str) -> None:
    """The retry of a part sends the blocks that were not begun, and none twice."""
    part = "PUT /scans/big?partNumber=1&uploadId={id} HTTP/1.1\n| Content-Length: 4096\n|\n@ 0 4096\n"
    play(
        "node n0 0\nn0 next hold\nclient o objects\nclient b objects\n",
        "o >\n| POST /scans/big?uploads HTTP/1.1\n|\no <\n& created big / id\n",
        f"o >\n| {part}until attempts_written 1\n",
        f"o {way}\nuntil clients_gone 1\nb >\n| {part}until objects_requests 3\nn0 release 1\n",
        "b <\n& stored etag\nwrites n0 PUT 4\ncounter attempts_sent 4\n",
    )  # fmt: skip


@pytest.mark.parametrize("way", WAYS)
def test_what_its_attempt_does_is_still_counted(way: str) -> None:
    """Written before its client left, it is out until it ends: the bound holds, then its place is free."""
    play(
        "node n0 0\nn0 next hold hold\nclient a platform\nclient b platform\nclient c platform\n",
        asks("a", 1, 6), asks("b", 2, 6), "until attempts_written 2\n",
        f"a {way}\nuntil clients_gone 1\n",
        asks("c", 3, 6), "until requests_taken 3\nclock 1000\ncounter attempts_sent 2\n",
        "n0 release 1\n", DONE.format("c"), "counter attempts_ok 2\n",
    )  # fmt: skip


@pytest.mark.parametrize("order", ["left first", "outcome first"])
def test_a_plan_s_limit_is_not_charged_for_what_was_not_sent(order: str) -> None:
    """Both orders within one batch; where it may have run, it stays charged."""
    limited = (api.Plan("gold", limit_rate=1.0, limit_burst=16.0, limit_slack=16.0),)
    for result in (api.Result.MOOT, api.Result.RESET):
        h = head(T0, up(), plans=limited)
        feed(h, T0, ask("a"))
        before = h.volumes["v"].limit.have
        news: list[api.Event] = [api.ClientGone("a"), replace(end("a", result), final=True)]
        feed(h, T0, *(news if order == "left first" else news[::-1]))
        given = 2.0 if result is api.Result.MOOT else 0.0
        assert h.volumes["v"].limit.have == before + given and not h.items
        assert h.nodes["n0"].out == 0
