#!/usr/bin/env python3
"""Plays planned stops of one real gateway on loopback whose clients go on using their open connections, and checks
that it ends by itself and loses no call.

The gateway gets SIGTERM and, at the earliest time that the protocol allows, SIGKILL: 0.7 s after the longest deadline,
which counts as 3 s at most. Until then clients behave as the play says. A call without an answer is lost if a worker
has seen it, or if it was written more than 0.1 s before the end of its connection; a younger one is sent again by its
client. Exit code 1 if a call is lost, gets another's value, or if the process had to be killed.
"""

import argparse
import asyncio
import collections
import contextlib
import json
import random
import signal
import socket
import subprocess
import time

from gateway_rehearsal import HOST, Rehearsal, run_rehearsal
from loopback import bulk

MAX_COUNTED_DEADLINE_S = 3.0
KILL_DELAY_S = 0.7  # after the longest deadline
MAX_UNREAD_S = 0.1  # a command that was written earlier does not cross the end of its connection
HOLD_UP_S = 0.15
DRAIN_GRACE_S = 0.25 + 0.05  # of the settings, with the slack for sockets
NEW_CLIENTS_S = 0.4  # after SIGTERM clients still connect for so long
SETTLE_S = 0.6  # from the first call to SIGTERM
LAG_INTERVAL_S = 0.01
WORKERS = 12
OPEN_CALLS = 8  # on each connection
DEADLINES_MS = (500, 600, 1000, 2838, 3831, 4000)


class WorkerProtocol(asyncio.Protocol):
    """Answers each call after the play's delay; a silent worker takes calls and never answers."""

    def __init__(self, play, index):
        self.play, self.index, self.input = play, index, b""

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.input += data
        words, self.input = parse_commands(self.input)
        for command in words:
            self.play.record_attempt(self.index, command[2])
            if self.index not in self.play.silent_workers:
                self.play.loop.call_later(self.play.worker_delay(), self.answer, command[2])

    def answer(self, call):
        value = (b"value of " + call).ljust(self.play.value_bytes, b".")
        self.transport.write(b"*3\r\n" + bulk(value) + b"$-1\r\n$-1\r\n")


def parse_commands(data):
    """Returns the whole RESP2 commands at the front of `data`, as lists of words, and the rest."""
    commands = []
    while True:
        words, position = [], data.find(b"\r\n") + 2
        if position < 2:
            return commands, data
        for _ in range(int(data[1:position - 2])):
            line_end = data.find(b"\r\n", position)
            if line_end < 0:
                return commands, data
            size = int(data[position + 1:line_end])
            position = line_end + 2 + size + 2
            if position > len(data):
                return commands, data
            words.append(data[line_end + 2:line_end + 2 + size])
        commands.append(words)
        data = data[position:]


class ClientProtocol(asyncio.Protocol):
    """One connection of a client, with the calls that wait for their answers in order."""

    def __init__(self, play):
        self.play, self.input, self.is_open = play, b"", True
        self.waiting = collections.deque()
        self.on_answer = lambda: None

    def connection_made(self, transport):
        self.transport = transport
        self.play.connections.add(self)

    def send_call(self):
        call, command = self.play.command()
        self.write_call(call, command)

    def write_call(self, call, last_bytes):
        """Writes the last bytes of a call."""
        if not self.is_open:
            return
        self.waiting.append(call)
        self.play.sent_at[call] = time.monotonic()
        self.transport.write(last_bytes)

    def data_received(self, data):
        self.input += data
        while (line_end := self.input.find(b"\r\n")) >= 0:
            line = self.input[:line_end]
            end = line_end + 2 + (int(line[1:]) + 2 if line.startswith(b"$") else 0)
            if len(self.input) < end:
                return
            value, self.input = self.input[line_end + 2:end - 2], self.input[end:]
            self.play.record_answer(self.waiting.popleft() if self.waiting else b"none", line, value)
            self.on_answer()

    def connection_lost(self, error):
        self.is_open = False
        self.play.connections.discard(self)
        self.play.record_end(self)


class PlannedStop(Rehearsal):
    """One process: its clients, its stop, and what became of the calls."""

    connection_count = 4
    command_interval_s = 0.02
    mean_worker_delay_s = 0.03
    value_bytes = 16
    silent_workers_share = 0.0
    signal_delays_s = (0.0,)
    hold_ups = 0
    hold_ups_before_end_s = 10.0  # not earlier than so long before the kill
    is_discovery_silent = False
    hang_up_before_s = None  # SIGHUP comes so long before SIGTERM
    drain_after_s = None  # after SIGTERM, a quarter of the workers

    def __init__(self, options, seed):
        super().__init__(options)
        self.draw = random.Random(f"{self.play_name()} {seed}")
        self.deadline_ms = options.deadline_ms or self.draw.choice(DEADLINES_MS)
        self.seen_by_worker, self.sent_at, self.connections = {}, {}, set()
        self.silent_workers, self.draining_workers, self.tasks = set(), set(), []
        self.list_changed = asyncio.Event()
        self.totals = collections.Counter()
        self.terminated_at, self.held_up_s = None, 0.0
        self.oldest_lost_s = 0.0
        self.own_lag_s = 0.0  # the longest by which this program was late: ages are overestimated by it

    @classmethod
    def play_name(cls):
        return next(name for name, play in PLAYS.items() if play is cls)

    # Servers

    def worker_delay(self):
        return self.draw.uniform(0.5, 1.5) * self.mean_worker_delay_s

    async def start_workers(self):
        self.loop = asyncio.get_running_loop()
        servers = [await self.loop.create_server(lambda index=index: WorkerProtocol(self, index), HOST, 0, backlog=512)
                   for index in range(WORKERS)]
        return [server.sockets[0].getsockname()[1] for server in servers]

    async def serve_discovery(self, reader, writer):
        if self.is_discovery_silent:
            await asyncio.Event().wait()
        await self.serve_http(reader, writer, self.discovery_answer)

    def discovery_answer(self, target):
        """The whole list, or for a watch the workers that drain."""
        changes = self.worker_list(is_snapshot=True)
        if b"since=" in target:
            changes["snapshot"] = False
            changes["endpoints"] = [changes["endpoints"][index] for index in sorted(self.draining_workers)]
        for endpoint in changes["endpoints"]:
            if self.ports.index(int(endpoint["address"].split(":")[1])) in self.draining_workers:
                endpoint["status"] = "Terminating"
        changes["index"] = 2 if self.draining_workers else 1
        return json.dumps(changes)

    def begin_drains(self):
        self.drained_at = time.monotonic()
        self.draining_workers.update(self.draw.sample(range(WORKERS), WORKERS // 4))
        self.list_changed.set()

    async def wait_for_change(self, timeout_s):
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(self.list_changed.wait(), timeout_s)

    def record_attempt(self, worker, call):
        now = time.monotonic()
        self.seen_by_worker[call] = now
        if worker in self.draining_workers and now - self.drained_at > DRAIN_GRACE_S + self.held_up_s:
            self.faults.append(f"drain: call {call.decode()} at a worker {now - self.drained_at:.3f} s after it drains")

    def start_document(self, port, discovery_port, counter_port):
        document = super().start_document(port, discovery_port, counter_port)
        document["settings"]["classes"] = [
            {"name": name, "effect": effect, "dedupWindowMs": 1200, "onTimeMs": self.deadline_ms,
             "deadlineMs": self.deadline_ms} for name, effect in (("status", "safe"), ("submit", "keyed"), ("dispatch", "unsafe"))]
        return document

    # Clients

    def command(self, body=b"BODY"):
        self.sent += 1
        call = b"%016x" % self.sent
        route = (b"status", b"submit", b"dispatch")[self.sent % 3]
        fields = b"c=%s,t=basic,d=%d,k=%s,units=1,spread=1,first=0" % (route, self.deadline_ms, call)
        words = [b"Q.ASK" if route == b"status" else b"Q.DO", b"00000000b4d65521", call, fields, body]
        return call, b"*5\r\n" + b"".join(bulk(word) for word in words)

    async def use_connection(self, connection):
        """What a client does on a connection, for as long as it is open."""
        while connection.is_open:
            connection.send_call()
            await asyncio.sleep(self.command_interval_s)

    async def run_client(self):
        """Uses a connection, and a new one when that has ended, while clients come to this gateway."""
        while self.terminated_at is None or time.monotonic() - self.terminated_at < NEW_CLIENTS_S:
            try:
                _, connection = await self.loop.create_connection(lambda: ClientProtocol(self), HOST, self.gateway_port)
                connection.transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                await self.use_connection(connection)
            except OSError:
                await asyncio.sleep(0.02)

    # What became of the calls

    def record_answer(self, call, line, value):
        now = time.monotonic()
        if line.startswith(b"$"):
            kind = "served"
            if not value.startswith(b"value of " + call):
                self.faults.append(f"foreign: call {call.decode()} got another value")
        else:
            kind = "refused" if line.startswith(b"-BUSY") else "failed"
        if self.terminated_at is not None and now >= self.terminated_at:
            self.totals[kind] += 1

    def record_end(self, connection):
        now = time.monotonic()
        for call in connection.waiting:
            age = now - self.sent_at[call]
            was_sent = call in self.seen_by_worker
            if not was_sent and age <= MAX_UNREAD_S + self.held_up_s + self.own_lag_s:
                self.totals["sent again"] += 1
                continue
            self.totals["lost"] += 1
            self.oldest_lost_s = max(self.oldest_lost_s, age)
            what = "a worker has seen" if was_sent else "nobody has read"
            since_term = f", {now - self.terminated_at:.3f} s after SIGTERM" if self.terminated_at else ""
            self.faults.append(f"lost: call {call.decode()}, which {what}, written {age:.3f} s before the end of its "
                               f"connection{since_term}")

    async def measure_own_lag(self):
        while True:
            asleep_at = time.monotonic()
            await asyncio.sleep(LAG_INTERVAL_S)
            self.own_lag_s = max(self.own_lag_s, time.monotonic() - asleep_at - LAG_INTERVAL_S)

    # The stop

    def signal_gateway(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def hold_up(self):
        self.held_up_s = HOLD_UP_S
        self.signal_gateway(signal.SIGSTOP)
        self.loop.call_later(HOLD_UP_S, self.signal_gateway, signal.SIGCONT)

    def begin_stop(self):
        self.terminated_at = time.monotonic()
        self.silent_workers = set(self.draw.sample(range(WORKERS), int(WORKERS * self.silent_workers_share)))
        for delay in self.signal_delays_s:
            self.loop.call_later(delay, self.signal_gateway, signal.SIGTERM)
        end = min(self.deadline_ms / 1000, MAX_COUNTED_DEADLINE_S) + KILL_DELAY_S
        if self.drain_after_s is not None:
            self.loop.call_later(self.drain_after_s, self.begin_drains)
        for _ in range(self.hold_ups):
            self.loop.call_later(self.draw.uniform(max(0, end - self.hold_ups_before_end_s), end - HOLD_UP_S), self.hold_up)
        return self.terminated_at + end

    async def play(self, directory):
        await self.start(directory)
        self.tasks = [asyncio.ensure_future(self.measure_own_lag())]
        self.tasks += [asyncio.ensure_future(self.run_client()) for _ in range(self.connection_count)]
        await asyncio.sleep(SETTLE_S + self.draw.uniform(0, 0.1))
        if self.hang_up_before_s is not None:
            self.signal_gateway(signal.SIGHUP)
            await asyncio.sleep(self.hang_up_before_s)
        kill_at = self.begin_stop()
        while self.process.poll() is None and time.monotonic() < kill_at:
            await asyncio.sleep(0.002)
        ended_after = time.monotonic() - self.terminated_at
        is_killed = self.process.poll() is None
        if is_killed:
            self.process.kill()
            self.faults.append(f"killed {ended_after:.3f} s after SIGTERM: the process did not end by itself")
        elif self.process.returncode != 0:
            self.faults.append(f"crash: the process ended with {self.process.returncode}")
        await asyncio.sleep(0.1)
        for task in self.tasks:
            task.cancel()
        counts = ", ".join(f"{kind} {self.totals[kind]}" for kind in ("served", "failed", "refused", "sent again", "lost"))
        oldest = f", the oldest {self.oldest_lost_s:.3f} s" if self.totals["lost"] else ""
        print(f"{self.title}: deadline {self.deadline_ms} ms, {'KILLED' if is_killed else 'ended'} after {ended_after:.3f} s, "
              f"{counts}{oldest}")
        if self.own_lag_s > MAX_UNREAD_S / 2:
            print(f"this program was late by up to {self.own_lag_s:.3f} s")
        self.log.flush()
        if self.options.show_log:
            with open(self.log.name, encoding="utf-8") as file:
                print(file.read())


class Interval(PlannedStop):
    """Commands come at fixed times, so that several are open on each connection."""

    command_interval_s = 0.004


class Steady(PlannedStop):
    """A command each 20 ms on each connection."""


class Refill(PlannedStop):
    """Several calls are open on each connection, and one more comes after each answer."""

    async def use_connection(self, connection):
        connection.on_answer = connection.send_call
        for _ in range(OPEN_CALLS):
            connection.send_call()
        while connection.is_open:
            await asyncio.sleep(0.05)


class One(Refill):
    """One call is open on each connection, and the next comes right after its answer."""

    async def use_connection(self, connection):
        connection.on_answer = connection.send_call
        connection.send_call()
        while connection.is_open:
            await asyncio.sleep(0.05)


class SlowWorkers(Refill):
    """The same as 'refill' with workers that take 0.3 s."""

    mean_worker_delay_s = 0.3


class Silent(PlannedStop):
    """A third of the workers is silent from SIGTERM on."""

    silent_workers_share = 1 / 3


class SilentOne(One):
    """The same with one call open on each of many connections."""

    connection_count = 30
    silent_workers_share = 1 / 3


class AllSilent(PlannedStop):
    """All workers are silent from SIGTERM on."""

    silent_workers_share = 1.0


class Halves(PlannedStop):
    """Each command's last bytes come with the first ones of the next, so that one is always incomplete."""

    connection_count = 8

    async def use_connection(self, connection):
        call, command = self.command()
        connection.transport.write(command[:-9])
        while connection.is_open:
            await asyncio.sleep(0.03)
            next_call, next_command = self.command()
            connection.write_call(call, command[-9:] + next_command[:-9])
            call, command = next_call, next_command


class Trickle(PlannedStop):
    """Clients feed commands a byte at a time."""

    async def use_connection(self, connection):
        while connection.is_open:
            call, command = self.command()
            for position in range(len(command) - 1):
                if not connection.is_open:
                    return
                connection.transport.write(command[position:position + 1])
                await asyncio.sleep(0.01)
            connection.write_call(call, command[-1:])


class Burst(PlannedStop):
    """Clients send more commands at once than are read, again and again."""

    connection_count = 4
    command_interval_s = 0.2

    async def use_connection(self, connection):
        while connection.is_open:
            for _ in range(600):
                connection.send_call()
            await asyncio.sleep(self.command_interval_s)


class CallAtOnce(ClientProtocol):
    """Sends a call as soon as it is connected."""

    def connection_made(self, transport):
        super().connection_made(transport)
        self.send_call()


class Connecting(PlannedStop):
    """Clients connect without pause, each with a call, also after others have stopped to."""

    connection_count = 8

    async def run_client(self):
        while self.process.poll() is None:
            try:
                await self.loop.create_connection(lambda: CallAtOnce(self), HOST, self.gateway_port)
            except OSError:
                pass
            await asyncio.sleep(0.005)


class BurstSilent(Burst):
    """The same with a third of the workers silent from SIGTERM on: commands wait while reading is paused."""

    silent_workers_share = 1 / 3


class LongAnswers(PlannedStop):
    """Answers have 60,000 bytes, and clients fetch a little all the time."""

    value_bytes = 60000
    command_interval_s = 0.05

    async def use_connection(self, connection):
        sender = asyncio.ensure_future(super().use_connection(connection))
        while connection.is_open:
            connection.transport.pause_reading()
            await asyncio.sleep(0.02)
            connection.transport.resume_reading()
            await asyncio.sleep(0.002)
        sender.cancel()


class EarlyStop(PlannedStop):
    """SIGTERM comes before the list of workers is usable, while discovery is silent."""

    is_discovery_silent = True

    async def start_gateway(self):
        self.process = subprocess.Popen([self.options.gateway], env=self.environment, stdout=self.log)
        await asyncio.sleep(0.3)


class Series(Refill):
    """As 'refill', with SIGTERM three times."""

    signal_delays_s = (0.0, 0.2, 0.6)


class HangUp(Refill):
    """As 'refill', with SIGHUP before SIGTERM, and workers that drain during the stop."""

    hang_up_before_s = 0.45
    drain_after_s = 0.3


class HeldUp(PlannedStop):
    """Kinds of clients are mixed, the process is held up at drawn moments, and SIGTERM comes three times."""

    connection_count = 16
    signal_delays_s = (0.0, 0.3, 1.0)
    hold_ups = 5

    async def use_connection(self, connection):
        await self.draw.choice(MIXED_PLAYS).use_connection(self, connection)


class HeldUpSilent(HeldUp):
    """The same with a third of the workers silent from SIGTERM on."""

    silent_workers_share = 1 / 3


class HeldUpAtEnd(AllSilent):
    """All workers are silent, and the process is held up about when it answers the pending calls and ends."""

    hold_ups = 1
    hold_ups_before_end_s = 0.35


MIXED_PLAYS = [Interval, Steady, Refill, One, Halves, Trickle]
PLAYS = {"interval": Interval, "steady": Steady, "refill": Refill, "one": One, "slow-workers": SlowWorkers,
         "silent": Silent, "silent-one": SilentOne, "all-silent": AllSilent, "halves": Halves, "trickle": Trickle, "burst": Burst, "burst-silent": BurstSilent,
         "connecting": Connecting, "long-answers": LongAnswers, "early": EarlyStop, "series": Series, "hang-up": HangUp,
         "held-up": HeldUp, "held-up-silent": HeldUpSilent,
         "held-up-at-end": HeldUpAtEnd}


class Stops:
    """Plays several stops, one process after the other."""

    def __init__(self, options):
        self.options, self.faults = options, []

    async def play(self, directory):
        for name in self.options.plays or PLAYS:
            for seed in range(self.options.seed, self.options.seed + self.options.stops):
                stop = PLAYS[name](self.options, seed)
                stop.title = f"{name}, seed {seed}"
                try:
                    await stop.play(directory)
                finally:
                    if stop.process.poll() is None:
                        stop.process.kill()
                self.faults += [f"{stop.title}: {fault}" for fault in stop.faults]


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("gateway", help="the program")
    parser.add_argument("plays", nargs="*", help="all if none is named")
    parser.add_argument("--deadline-ms", type=int, help="of all calls; drawn if it is not given")
    parser.add_argument("--seed", type=int, default=1, help="of the first stop of each play")
    parser.add_argument("--stops", type=int, default=1, help="of each play, with the seeds that follow")
    parser.add_argument("--memory-mb", type=int, default=32)
    parser.add_argument("--show-log", action="store_true")
    options = parser.parse_args()
    options.short, options.listed_workers = True, WORKERS
    run_rehearsal(Stops(options))


if __name__ == "__main__":
    main()
