"""An example: refuses writes, and annotates what passes with the plan it came under."""

API = 1
WRITES = {"image-upload"}


def request_taken(request):
    if request["class"] in WRITES:
        return "the archive is read-only at present"
    return {"plan": request["plan"]}
