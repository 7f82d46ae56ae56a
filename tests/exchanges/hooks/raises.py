API = 1


def outcome(request, outcome):
    assert request["notes"] == {"seen": "no"}
