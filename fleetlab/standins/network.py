"""The network between routers: datagrams of up to 256 bytes, late or not at all (PROTOCOL, Between routers).

A router sends from its `peer_listen` to a peer's place in `peers`, or to the address of all; the datagram
arrives at the receiver's `peer_listen` from the sender's place in `peers`. Routers that do not listen
(`plan.listeners`) are sent nothing.
"""

from __future__ import annotations

import asyncio
import math
import os
import socket
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from random import Random

from fleetlab.plan import Plan, listeners
from fleetlab.results import Metric, Role
from fleetlab.standins.lifecycle import Meter, TimedAction, host_port, run_schedule
from fleetlab.standins.schedule import Partition, is_partitioned, loss_share_at, partitions

LONGEST = 256  # bytes of a datagram
AT_ONCE = 64  # datagrams read before others get their turn
BUFFER = 4 * 1024 * 1024  # asked for the socket that all send to


class Network:
    """Sockets for all routers' places in `peers`, and one for the address of all."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.loop = asyncio.get_running_loop()
        self.meter = Meter()
        self.random = Random(f"network {plan.seed}")
        addresses, count = plan.addresses, plan.routers()
        self.targets = [host_port(addresses.peer_listen(n)) for n in range(count)]
        self.senders = {address: n for n, address in enumerate(self.targets)}
        self.zones = [n % plan.experiment.fleet.zones for n in range(count)]
        self.hearing = listeners(plan)
        self.hears = frozenset(self.hearing)
        self.everyone = self._socket(addresses.everyone(), BUFFER)
        self.seen = [self._socket(addresses.peer_seen(n)) for n in range(count)]
        self.loss = plan.experiment.network.loss
        self.partitions: list[Partition] = partitions(plan)
        self.zero = math.inf
        self.overruns_before = 0
        self._choose(-math.inf)

    def _socket(self, address: str, buffer: int = 0) -> socket.socket:
        ours = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        ours.setblocking(False)
        if buffer:
            ours.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
        ours.bind(host_port(address))
        return ours

    def open(self) -> None:
        """Begin to pass on."""
        self.loop.add_reader(self.everyone.fileno(), self._read, self.everyone, None)
        for number, ours in enumerate(self.seen):
            self.loop.add_reader(ours.fileno(), self._read, ours, number)

    def close(self) -> None:
        for ours in [self.everyone, *self.seen]:
            self.loop.remove_reader(ours.fileno())
            ours.close()

    def _choose(self, at: float) -> None:
        """Whether anything at all may happen to a datagram from this moment of the schedule on."""
        network = self.plan.experiment.network
        self.cut = any(c.start <= at < c.end for c in self.partitions)
        self.plain = not (self.cut or self.loss or network.doubled or network.late_ms or network.garbled)

    def _read(self, ours: socket.socket, receiver: int | None) -> None:
        counts = self.meter.counts
        for _ in range(AT_ONCE):
            try:
                data, address = ours.recvfrom(2048)
            except BlockingIOError:
                return
            except OSError:  # an earlier datagram met a socket that is closed
                continue
            counts["sent"] += 1
            counts["sent.bytes"] += len(data)
            sender = self.senders.get(address)
            if len(data) > LONGEST or sender is None:
                counts["broken"] += 1
            elif receiver is not None:
                self._pass(data, sender, [receiver] if receiver in self.hears else [])
            else:
                self._pass(data, sender, self.hearing)

    def _pass(self, data: bytes, sender: int, receivers: list[int]) -> None:
        if self.plain:
            send, targets, count = self.seen[sender].sendto, self.targets, 0
            for receiver in receivers:
                if receiver != sender:
                    try:
                        send(data, targets[receiver])
                        count += 1
                    except OSError:  # tells of an earlier one that nobody was there; this one is not gone yet
                        self._send(sender, receiver, data)
            self.meter.counts["delivered"] += count
            self.meter.counts["delivered.bytes"] += count * len(data)
            return
        for receiver in receivers:
            if receiver != sender:
                self._treat(data, sender, receiver)

    def _treat(self, data: bytes, sender: int, receiver: int) -> None:
        """One datagram on its way through a network that is not plain."""
        network, random = self.plan.experiment.network, self.random
        zones = self.zones[sender], self.zones[receiver]
        if random.random() < self.loss or (
            self.cut and is_partitioned(self.partitions, *zones, self.loop.time() - self.zero)
        ):
            self.meter.counts["dropped"] += 1
            return
        if data and random.random() < network.garbled:
            place = random.randrange(len(data))
            data = data[:place] + bytes([data[place] ^ random.randint(1, 255)]) + data[place + 1 :]
            self.meter.counts["garbled"] += 1
        for _ in range(2 if random.random() < network.doubled else 1):
            if network.late_ms:
                delay = random.expovariate(1e3 / network.late_ms)
                self.loop.call_later(delay, self._send, sender, receiver, data)
            else:
                self._send(sender, receiver, data)

    def _send(self, sender: int, receiver: int, data: bytes) -> None:
        counts = self.meter.counts
        try:
            self.seen[sender].sendto(data, self.targets[receiver])
        except OSError:
            counts["dropped"] += 1
        else:
            counts["delivered"] += 1
            counts["delivered.bytes"] += len(data)

    def overruns(self) -> int:
        """Datagrams that the system dropped before we read them, our own fault."""
        inodes = {str(os.fstat(ours.fileno()).st_ino) for ours in [self.everyone, *self.seen]}
        lines = [line.split() for line in Path("/proc/net/udp").read_text().splitlines()[1:]]
        return sum(int(line[-1]) for line in lines if line[9] in inodes)

    def scheduled_actions(self, start: float) -> list[TimedAction]:
        """When the network changes."""
        self.zero = self.loop.time()  # called as the schedule begins
        self.overruns_before = self.overruns()
        faults = [f for f in self.plan.experiment.faults if f.kind in ("network", "region_cut")]
        moments = {moment for f in faults for moment in (f.at, f.at + f.lasts)}
        return [(moment, partial(self._change, moment)) for moment in moments]

    def _change(self, moment: float) -> None:
        self.loss = loss_share_at(self.plan, moment)
        self._choose(moment)

    def role(self) -> Role:
        meter, elapsed_s = self.meter, self.meter.elapsed_s or 1.0
        metrics = {"cpu.share": meter.cpu()}
        for name in ("sent", "delivered", "dropped", "broken", "garbled"):
            metrics[name] = meter.rate(name)
        for name in ("sent.bytes", "delivered.bytes"):
            metrics[name] = meter.rate(name, "B/s")
        each = meter.total("delivered.bytes") / elapsed_s / max(1, len(self.hearing))
        metrics["bytes.in.peers"] = Metric(each, "B/s", count=len(self.hearing))
        metrics["overruns"] = Metric(float(self.overruns() - self.overruns_before), "datagrams")
        metrics["listening"] = Metric(float(len(self.hearing)), "routers")
        return Role(1, metrics, dict(meter.per_second))


async def run(
    plan: Plan, ready: Callable[[], None], began: Awaitable[float], ended: asyncio.Event
) -> dict[str, Role]:
    """Be the peers' network until the schedule is over or `ended`; answers with the role `network`."""
    network = Network(plan)
    network.open()
    ready()
    roles: dict[str, Role] = {}

    def finish() -> None:
        roles["network"] = network.role()

    try:
        await run_schedule(plan, began, ended, network.meter, network.scheduled_actions, finish=finish)
    finally:
        network.close()
    return roles
