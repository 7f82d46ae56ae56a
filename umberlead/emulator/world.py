"""State of a running rehearsal that both drivers share: servers, open requests and records.

The module has no I/O and no clock: times are microseconds from the scenario's start.
"""

from collections import Counter

from umberlead.emulator.node import Job, Meter, Node
from umberlead.emulator.plan import NodeStart, Plan, StateChange
from umberlead.emulator.records import Answered, Asked, Came, Ended, Left, Life, Records, Told
from umberlead.load_generator.clients import Clients, Try
from umberlead.load_generator.day import noise


class ScenarioState:
    """Servers and clients of a plan, and the records of both.

    Attributes:
        plan: the rehearsal's plan.
        records: the records so far.
        clients: decide whether a client retries.
        nodes: the servers, by name.
        meter: meters the use of volumes.
        placed: the shard of each new object, by the number of the write that stored it.
        tries: all tries, by call id.
        open: tries without an answer, by call id.
    """

    def __init__(self, plan: Plan) -> None:
        """Start without servers."""
        self.plan = plan
        self.records = Records()
        self.clients = Clients(plan.day)
        self.nodes: dict[str, Node] = {}
        self.meter = Meter(*plan.meter, plan.rates)
        self.placed: dict[int, int] = {}
        self.tries: dict[str, Try] = {}
        self.open: dict[str, Try] = {}
        self._attempts: Counter[str] = Counter()

    # Servers

    def start_node(self, birth: NodeStart) -> Node:
        """Start a server."""
        node = self.plan.node(birth, 0)
        self.nodes[birth.name] = node
        word = "cold" if birth.slow_start else "born"
        power = birth.traits.speed * birth.traits.cores
        self.records.lives.append(Life(birth.at_us, birth.name, word, birth.shard, power))
        return node

    def change_state(self, at: int, turn: StateChange) -> list[Job]:
        """Change a server's state; return the requests that are lost if its process ends."""
        node = self.nodes[turn.server]
        if node.state == "fallen" and turn.state != "cold":
            return []
        lost: list[Job] = []
        if turn.state in ("gone", "cold"):
            lost = self.drop_jobs(at, node)
        if turn.state == "cold":
            self.nodes[turn.server] = again = Node(
                node.name, node.shard, node.traits, self.plan.seed, at, True, node.zone
            )
            again.impairments = node.impairments
        else:
            node.state = turn.state
        power = node.traits.speed * node.traits.cores
        self.records.lives.append(Life(at, turn.server, turn.state, node.shard, power))
        return lost

    def drop_jobs(self, at: int, node: Node) -> list[Job]:
        """End a server's process; return the requests that are lost with it."""
        lost = node.fall()
        for job in lost:
            self.records.ended.append(Ended(at, node.name, job.id, "lost"))
        return lost

    def record_notice(self, at: int, front: int, server: str, state: str) -> None:
        """Record a notice of a server's state to a front."""
        self.records.told.append(Told(at, front, server, state))

    # Clients

    def record_request(self, at: int, of: Try) -> tuple[str, int]:
        """Record a try; return its block and shard.

        A read of a new object goes to the shard on which the object was stored.
        """
        r = of.of
        shard = self.placed.get(r.of, r.shard) if r.of >= 0 else r.shard
        self.tries[of.id] = self.open[of.id] = of
        self.records.asked.append(
            Asked(
                at,
                of.id,
                r.number,
                r.front,
                r.class_name,
                r.plan,
                r.volume,
                r.block,
                shard,
                r.units,
                r.write,
                of.until,
                r.block if r.write else "",
            )
        )
        return r.block, shard

    def answer(self, at: int, of: Try, kind: str, body: str = "", behind: int = 0) -> Try | None:
        """Record an answer; return the client's retry, if it makes one."""
        self.records.answered.append(Answered(at, of.id, kind, body, behind))
        if self.open.pop(of.id, None) is None:
            return None  # the client gave up, or has an answer already
        return self.clients.again(of, kind, at)

    def leave(self, at: int, of: Try) -> Try | None:
        """End a try whose deadline passed without an answer; return the client's retry, if it makes one."""
        return None if self.open.pop(of.id, None) is None else self.clients.again(of, "none", at)

    # Requests at servers

    def record_arrival(
        self,
        at: int,
        node: Node,
        front: int,
        name: str,
        class_name: str,
        block: str,
        shard: int,
        body: str = "",
    ) -> tuple[str, Job]:
        """Record that a server received a whole request; return the outcome of `Node.offer`, and the job."""
        of = self.tries.get(name)
        number = self._attempts[name]
        self._attempts[name] += 1
        work, write, units, volume = 1000.0, False, 1, ""
        if of is not None:
            r = of.of
            kind = self.clients.kinds[r.class_name]
            work, write = r.work * noise(self.plan.seed, name, number, kind), r.write
            units, volume = r.units, r.volume
        job = Job(name, class_name, volume, block, shard, units, work, write, front)
        word = node.offer(at, job)
        self.records.came.append(Came(at, node.name, front, name, class_name, block, shard, word, work, body))
        if word == "fallen":
            self.records.lives.append(Life(at, node.name, "fallen", node.shard))
        return word, job

    def record_end(self, node: Node, job: Job, body: str) -> None:
        """Record that a job has finished."""
        at = job.answer_at_us or job.arrived_us
        self.records.ended.append(Ended(at, node.name, job.id, job.end, job.work, body))
        of = self.tries.get(job.id)
        if of is not None:
            if job.write:
                self.placed.setdefault(of.of.number, node.shard)
            self.meter.add(at, job.volume, job.units)

    def record_leave(self, at: int, node: Node, name: str) -> None:
        """Record that a front closed an attempt's connection before the answer."""
        self.records.left.append(Left(at, node.name, name))
