"""The answer to `GET /healthz`, which load balancers of clients ask for."""

from umberlead.net.server_connection import ServerConnection


def always_ready() -> str:
    """Return "": there is no reason why the process would not be ready."""
    return ""


def answer_health_check(conn: ServerConnection, unready_reason: str) -> None:
    """Answer a health check with 200, or with 503 and the reason if there is one."""
    if unready_reason:
        conn.send_response(503, (), f"not ready: {unready_reason}\n".encode())
    else:
        conn.send_response(200, (), b"ok\n")
