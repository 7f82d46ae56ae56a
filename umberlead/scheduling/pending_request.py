"""What a head notes of its requests and their attempts: plain records, no decisions."""

from dataclasses import dataclass, field
from typing import Any

from umberlead.scheduling import interface as api


@dataclass(slots=True, eq=False)
class Try:
    """One attempt that is out."""

    view: Any  # the node's view that it was sent by
    at: int
    units: float  # under the node's bound; none once written off
    cold: float  # us of the cold node's rest that its being served gives back
    size: float = field(init=False)  # units of the request, written off or not

    def __post_init__(self) -> None:
        self.size = self.units


@dataclass(slots=True, eq=False)
class Item:
    """A request this head answers for, from its arrival to the last outcome of its attempts."""

    req: api.Request
    cls: api.RequestClass
    plan: int
    came: int
    aim_at: int
    seq: int
    shard: int = field(init=False)  # the request's; a new object's once it was sent
    out: dict[int, Try] = field(default_factory=dict)
    tries: int = 0
    again: bool = False  # seen to be a client's further try
    paid: int | None = None  # the attempt that took its units from its volume's limit
    done: bool = False
    held: bool = False
    ran_at: int | None = None  # when the first attempt that may have run was sent

    def __post_init__(self) -> None:
        self.shard = self.req.shard
