"""A completion with `If-None-Match: *` while another client stores the object: is it overwritten?"""

import hashlib
import re
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

from objects import SHARD_COUNT, ObjectFront
from rig import TROUBLE, Case, ask, main

PATH = "/scans/1897/plate-12.tif"


async def conditional_completion_is_refused_or_kept(case: Case) -> bool:
    """Complete an upload on a condition, and return whether the other client's object is still there."""
    discovery = await case.discovery()
    for shard in range(SHARD_COUNT):
        discovery.tell(await case.server(f"s-{shard}", shard, {}), "ready")
    ports = ObjectFront()
    config = case.folder / "front.toml"
    config.write_text(ports.text(discovery.port))
    front = case.front()
    await front.start({"UMBERLEAD_CONFIG": str(config)})
    await front.require_ready(ports.objects)

    async def call(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
        answer = await ask(case.record, ports.objects, method, target, headers, body)
        statuses.append(answer.status)
        return answer.body

    statuses: list[int] = []
    created = (await call("POST", f"{PATH}?uploads", {})).decode()
    found = re.search(r"<UploadId>(.+?)</UploadId>", created)
    assert found is not None
    upload = found[1]
    mine, other = b"the cataloguing tool's scan " * 5000, b"the museum's corrected scan " * 4000
    await call("PUT", f"{PATH}?partNumber=1&uploadId={upload}", {}, mine)
    if TROUBLE:  # another client stores the object meanwhile, and is told so
        await call("PUT", PATH, {}, other)
    if set(statuses) != {200}:
        raise RuntimeError(f"the uploads got {statuses}")
    document = (
        "<CompleteMultipartUpload><Part><PartNumber>1</PartNumber>"
        f"<ETag>{etag_of(mine)}</ETag></Part></CompleteMultipartUpload>"
    )
    await call("POST", f"{PATH}?uploadId={upload}", {"If-None-Match": "*"}, document.encode())
    completed = statuses[-1]
    read = await call("GET", PATH, {})
    case.record.add("judged", completion=completed, read_is_other=read == other, read_is_mine=read == mine)
    if TROUBLE:
        return read == other
    return completed == 501 or (completed == 200 and read == mine)


def etag_of(content: bytes) -> str:
    """Return the entity tag that the API gives a part with this content."""
    return hashlib.md5(content, usedforsecurity=False).hexdigest()


if __name__ == "__main__":
    main(conditional_completion_is_refused_or_kept)
