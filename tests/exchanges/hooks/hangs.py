API = 1


def request_taken(request):
    while True:
        pass
