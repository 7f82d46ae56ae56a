API = 1


def request_taken(request):
    return "no writes now" if request["class"] == "write" else {"seen": "yes"}
