"""Stand-in for the network between routers, which may delay, drop, double or garble datagrams.

A router sends from its `peer_listen` to a peer's address in `peers`, or to the broadcast address
`peers_all`; the receiver gets the datagram at its `peer_listen` from the sender's address in `peers`
(PROTOCOL, Between routers). Routers that do not listen (`plan.peer_listeners`) are sent nothing.
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

from fleetlab.plan import Plan, peer_listeners
from fleetlab.results import Metric, Role
from fleetlab.standins.lifecycle import Meter, TimedAction, host_port, run_schedule
from fleetlab.standins.schedule import Partition, is_partitioned, loss_share_at, partitions

MAX_DATAGRAM_BYTES = 256  # longer ones are dropped
READ_BATCH = 64  # most datagrams read from a socket before the event loop serves other sockets
RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024  # requested for the broadcast socket


class Network:
    """Forwards datagrams, with a socket for each router's address in `peers` and one for broadcasts."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.loop = asyncio.get_running_loop()
        self.meter = Meter()
        self.rng = Random(f"network {plan.seed}")
        addresses, count = plan.addresses, plan.router_count()
        self.targets = [host_port(addresses.peer_listen(n)) for n in range(count)]
        self.senders = {address: n for n, address in enumerate(self.targets)}
        self.zones = [n % plan.experiment.fleet.zones for n in range(count)]
        self.listening_routers = peer_listeners(plan)
        self.listening_set = frozenset(self.listening_routers)
        self.broadcast_socket = self._socket(addresses.peers_all(), RECEIVE_BUFFER_BYTES)
        self.sockets = [self._socket(addresses.peer_advertised(n)) for n in range(count)]
        self.loss_share = plan.experiment.network.loss
        self.partitions: list[Partition] = partitions(plan)
        self.loop_start = math.inf  # of the schedule, event loop time
        self.overruns_before = 0
        self._update_mode(-math.inf)

    def _socket(self, address: str, buffer: int = 0) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        if buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
        sock.bind(host_port(address))
        return sock

    def open(self) -> None:
        """Begin to forward datagrams."""
        self.loop.add_reader(self.broadcast_socket.fileno(), self._receive, self.broadcast_socket, None)
        for number, sock in enumerate(self.sockets):
            self.loop.add_reader(sock.fileno(), self._receive, sock, number)

    def close(self) -> None:
        """Close all sockets."""
        for sock in [self.broadcast_socket, *self.sockets]:
            self.loop.remove_reader(sock.fileno())
            sock.close()

    def _update_mode(self, at: float) -> None:
        """Determine whether datagrams may be disturbed at all, from this time of the schedule on."""
        network = self.plan.experiment.network
        self.has_partition = any(p.start <= at < p.end for p in self.partitions)
        self.is_undisturbed = not (
            self.has_partition or self.loss_share or network.doubled or network.late_ms or network.garbled
        )

    def _receive(self, sock: socket.socket, receiver: int | None) -> None:
        counts = self.meter.counts
        for _ in range(READ_BATCH):
            try:
                data, address = sock.recvfrom(2048)
            except BlockingIOError:
                return
            except OSError:  # ICMP reports that an earlier datagram reached a closed socket
                continue
            counts["sent"] += 1
            counts["sent.bytes"] += len(data)
            sender = self.senders.get(address)
            if len(data) > MAX_DATAGRAM_BYTES or sender is None:
                counts["broken"] += 1
            elif receiver is not None:
                self._forward(data, sender, [receiver] if receiver in self.listening_set else [])
            else:
                self._forward(data, sender, self.listening_routers)

    def _forward(self, data: bytes, sender: int, receivers: list[int]) -> None:
        if self.is_undisturbed:
            send, targets, count = self.sockets[sender].sendto, self.targets, 0
            for receiver in receivers:
                if receiver != sender:
                    try:
                        send(data, targets[receiver])
                        count += 1
                    except OSError:  # reports that an earlier one reached a closed socket; this one is unsent
                        self._send(sender, receiver, data)
            self.meter.counts["delivered"] += count
            self.meter.counts["delivered.bytes"] += count * len(data)
            return
        for receiver in receivers:
            if receiver != sender:
                self._disturb(data, sender, receiver)

    def _disturb(self, data: bytes, sender: int, receiver: int) -> None:
        """Drop, garble, double or delay one datagram, as the experiment's network and faults say."""
        network, rng = self.plan.experiment.network, self.rng
        zones = self.zones[sender], self.zones[receiver]
        if rng.random() < self.loss_share or (
            self.has_partition and is_partitioned(self.partitions, *zones, self.loop.time() - self.loop_start)
        ):
            self.meter.counts["dropped"] += 1
            return
        if data and rng.random() < network.garbled:
            position = rng.randrange(len(data))
            data = data[:position] + bytes([data[position] ^ rng.randint(1, 255)]) + data[position + 1 :]
            self.meter.counts["garbled"] += 1
        for _ in range(2 if rng.random() < network.doubled else 1):
            if network.late_ms:
                delay = rng.expovariate(1e3 / network.late_ms)
                self.loop.call_later(delay, self._send, sender, receiver, data)
            else:
                self._send(sender, receiver, data)

    def _send(self, sender: int, receiver: int, data: bytes) -> None:
        counts = self.meter.counts
        try:
            self.sockets[sender].sendto(data, self.targets[receiver])
        except OSError:
            counts["dropped"] += 1
        else:
            counts["delivered"] += 1
            counts["delivered.bytes"] += len(data)

    def overruns(self) -> int:
        """Return how many datagrams the kernel has dropped because this process read too slowly."""
        inodes = {str(os.fstat(sock.fileno()).st_ino) for sock in [self.broadcast_socket, *self.sockets]}
        lines = [line.split() for line in Path("/proc/net/udp").read_text().splitlines()[1:]]
        return sum(int(line[-1]) for line in lines if line[9] in inodes)

    def scheduled_actions(self, start: float) -> list[TimedAction]:
        """Return the times at which faults change the network; called when the schedule begins."""
        self.loop_start = self.loop.time()
        self.overruns_before = self.overruns()
        faults = [f for f in self.plan.experiment.faults if f.kind in ("network", "region_cut")]
        times = {change_time for f in faults for change_time in (f.at, f.at + f.lasts)}
        return [(change_time, partial(self._apply_faults, change_time)) for change_time in times]

    def _apply_faults(self, at: float) -> None:
        self.loss_share = loss_share_at(self.plan, at)
        self._update_mode(at)

    def role(self) -> Role:
        """Return the network's figures."""
        meter, elapsed_s = self.meter, self.meter.elapsed_s or 1.0
        metrics = {"cpu.share": meter.cpu()}
        for name in ("sent", "delivered", "dropped", "broken", "garbled"):
            metrics[name] = meter.rate(name)
        for name in ("sent.bytes", "delivered.bytes"):
            metrics[name] = meter.rate(name, "B/s")
        bytes_per_listener = meter.total("delivered.bytes") / elapsed_s / max(1, len(self.listening_routers))
        metrics["bytes.in.peers"] = Metric(bytes_per_listener, "B/s", count=len(self.listening_routers))
        metrics["overruns"] = Metric(float(self.overruns() - self.overruns_before), "datagrams")
        metrics["listening"] = Metric(float(len(self.listening_routers)), "routers")
        return Role(1, metrics, dict(meter.per_second))


async def run(
    plan: Plan, ready: Callable[[], None], schedule_start: Awaitable[float], ended: asyncio.Event
) -> dict[str, Role]:
    """Run the peers' network until the schedule is over or `ended` is set, and return the role `network`."""
    network = Network(plan)
    network.open()
    ready()
    roles: dict[str, Role] = {}

    def finish() -> None:
        roles["network"] = network.role()

    try:
        await run_schedule(
            plan, schedule_start, ended, network.meter, network.scheduled_actions, finish=finish
        )
    finally:
        network.close()
    return roles
