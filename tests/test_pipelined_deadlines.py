"""Pipelined requests whose deadlines have passed before they are handled: each is rejected."""

from tests.exchange import Exchange

REQUEST = """| GET /read?block=7f3a9c21e0b4d65{n} HTTP/1.1
| X-Call-Id: id{n}
| X-Plan: gold
| X-Budget: {budget}
| X-IO: volume=b4,units=1,shard=0
|
"""


def test_each_pipelined_request_past_its_deadline_is_rejected() -> None:
    """Each gets its own rejection, in order, although all are rejected in one event-loop iteration."""
    requests = "".join(
        REQUEST.format(n=n, budget=budget) for n, budget in enumerate(("0.400", "0.300", "0.200", "0.100"))
    )
    rejection = "| HTTP/1.1 503 Service Unavailable\n| Retry-After: 0.5\n"
    rejection += "| Content-Length: 22\n|\n~ refused: no time left\n"
    first_rejection = "& refused\n"
    script = (
        "node s 0\ns next stall\nclient c platform\nc >\n"
        + requests
        + "c <\n"
        + first_rejection
        + rejection * 3
    )
    Exchange(script).play()
