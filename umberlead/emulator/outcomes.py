"""Maps outcomes at a server to the attempt results that a front sees; used by the drivers and the judge."""

from umberlead.scheduling.events import AttemptResult

# Rejected, or the connection failed: the request did not run to its end.
RESULT_WITHOUT_RUN = {
    "full": AttemptResult.REJECTED,
    "draining": AttemptResult.REJECTED,
    "astray": AttemptResult.NOT_SENT,
    "early": AttemptResult.CONNECT_FAILED,
    "gone": AttemptResult.CONNECT_FAILED,
    "fallen": AttemptResult.RESET,
}
NEVER_RAN = frozenset(("full", "draining", "astray", "early", "gone"))
# The request ran; None: the server sends no answer.
RESULT_AFTER_RUN = {
    "ok": AttemptResult.OK,
    "lag": AttemptResult.OK,
    "surplus": AttemptResult.OK,
    "error": AttemptResult.ERROR,
    "spoilt": AttemptResult.ERROR,
    "reset": AttemptResult.RESET,
    "half": AttemptResult.RESET,
    "lost": AttemptResult.RESET,
    "silence": None,
}
# The connection stays open after these.
KEEPS_CONNECTION = frozenset(("ok", "lag", "error", "full", "draining", "astray"))
