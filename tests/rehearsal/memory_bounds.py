#!/usr/bin/env python3
"""Plays one real gateway under traffic that takes up memory, on loopback, and checks that it keeps its limit.

Each play puts one kind of load on the gateway; beside it, usual clients send a call every 50 ms each. The program
prints how the calls of the usual clients ended, the peak of the process's resident memory, and the peak of that memory
together with what the system takes up for the gateway's sockets, as a limit on a group of processes counts it. It ends
with exit code 1 if either is more than the start document states, if the process ended, or if a usual call got no
answer, or got it later than its timeout.
"""

import argparse
import asyncio
import json
import random
import select
import socket
import sys
import time

from gateway_rehearsal import ANSWER_SLACK_S, CLIENT_TIMEOUT_MS, HOST, Rehearsal, read_command, run_rehearsal
from loopback import bulk, socket_memory_bytes

LONG_BYTES = 64 * 1024
USUAL_CLIENTS = 8
USUAL_CALL_EVERY_S = 0.05
WORK_S = 0.02
LONG_CALLS_PER_SECOND = 100
SLOW_PIECE_BYTES = 2000
SLOW_PIECE_EVERY_S = 0.05
FIELD_CALLS_AT_ONCE = 4
BLOCK_COMMANDS = 2000
LIST_EVERY_S = 0.2
SAMPLE_EVERY_S = 0.05
REQUESTS_AT_ONCE = 40
SLOW_WORK_S = 0.5
KILL_AFTER_S = 3


def has_ended(writer):
    """Whether the end of a connection has come to this machine, also if the event loop has not got to it yet."""
    descriptor = writer.get_extra_info("socket").fileno()
    if descriptor < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP)
    return bool(poll.poll(0))


class MemoryRehearsal(Rehearsal):
    """A play with `options.connections` connections of clients that take up memory."""

    work_s = WORK_S
    # More clients send calls than may stay connected, so that connections are closed between two calls.
    is_crowded = False

    def __init__(self, options):
        super().__init__(options)
        self.random = random.Random(options.seed)
        self.latencies = []
        self.seconds = options.seconds
        self.load_counts = {}
        self.load_writers = []
        self.peak_resident_kib = self.peak_socket_kib = self.peak_group_kib = 0

    async def serve_worker(self, reader, writer):
        """Answers a call with a body by a value as long as the body."""
        self.writers.add(writer)
        while words := await read_command(reader):
            await asyncio.sleep(self.work_s)
            size = len(words[4]) if len(words) > 4 else 0
            value = (b"value of " + words[2] + b" ").ljust(size, b".")
            self.answered_at[words[2]] = time.monotonic()
            writer.write(b"*3\r\n" + bulk(value) + b"$-1\r\n$-1\r\n")
        writer.close()

    def start_document(self, port, discovery_port, counter_port):
        document = super().start_document(port, discovery_port, counter_port)
        document["limits"]["sockets"] = self.options.sockets
        document["settings"]["classes"].append(
            {"name": "submit", "effect": "keyed", "dedupWindowMs": 8000, "onTimeMs": 1000,
             "deadlineMs": CLIENT_TIMEOUT_MS})
        document["settings"]["packages"].append({"name": "small", "refill": 2, "storeSize": 8})
        document["settings"]["packages"].append({"name": "open", "open": 4})
        document["settings"]["packages"].append({"name": "ceiling", "neverOverRate": 10, "capDepth": 600})
        return document

    def call(self, body=None, customer=0xb4d65521, plan="basic", more_fields=b""):
        """A command with a new id."""
        self.sent += 1
        ident = b"%016x" % self.sent
        fields = b"c=%s,t=%s,d=%d,units=1,spread=1,first=0%s" % (
            b"status" if body is None else b"submit", plan.encode(), CLIENT_TIMEOUT_MS, more_fields)
        words = [b"Q.ASK" if body is None else b"Q.DO", b"%016x" % customer, ident]
        words += [fields] if body is None else [fields + b",k=" + ident, body]
        return ident, b"*%d\r\n" % len(words) + b"".join(bulk(word) for word in words)

    async def connect(self):
        reader, writer = await asyncio.open_connection(HOST, self.gateway_port, limit=1 << 20)
        self.load_writers.append(writer)
        return reader, writer

    async def usual_client(self):
        reader, writer = await self.connect()
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            if self.is_crowded and has_ended(writer):
                reader, writer = await self.connect()
            ident, command = self.call()
            started_at = time.monotonic()
            writer.write(command)
            try:
                is_open = await asyncio.wait_for(self.read_answer(reader, ident),
                                                 CLIENT_TIMEOUT_MS / 1000 + ANSWER_SLACK_S)
            except asyncio.TimeoutError:
                self.faults.append(f"usual call {ident.decode()} got no answer in time")
                return
            if not is_open:
                self.faults.append(f"usual call {ident.decode()} met the end of its connection")
                return
            self.latencies.append(time.monotonic() - started_at)
            await asyncio.sleep(USUAL_CALL_EVERY_S)
        writer.close()

    async def sample_memory(self):
        """Keeps the peaks of the memory of the process, of its sockets, and of both together."""
        server_ports = set(self.ports + [agent.sockets[0].getsockname()[1] for agent in self.agents])
        while True:
            resident_kib = self.memory_kib("VmRSS:")
            socket_kib = socket_memory_bytes(
                lambda local, remote: local == self.gateway_port or remote in server_ports) // 1024
            self.peak_resident_kib = max(self.peak_resident_kib, resident_kib, self.memory_kib())
            self.peak_socket_kib = max(self.peak_socket_kib, socket_kib)
            self.peak_group_kib = max(self.peak_group_kib, resident_kib + socket_kib)
            await asyncio.sleep(SAMPLE_EVERY_S)

    def count(self, what):
        self.load_counts[what] = self.load_counts.get(what, 0) + 1

    async def load_client(self, number):
        raise NotImplementedError

    async def guarded_load_client(self, number):
        try:
            await self.load_client(number)
        except (ConnectionError, asyncio.IncompleteReadError):
            self.count("connections ended by the gateway")

    async def play(self, directory):
        await self.start(directory)
        idle_kib = self.memory_kib()
        sampling = asyncio.ensure_future(self.sample_memory())
        loads = [asyncio.ensure_future(self.guarded_load_client(number)) for number in range(self.options.connections)]
        try:
            await asyncio.gather(*(self.usual_client() for _ in range(USUAL_CLIENTS)))
        except OSError as error:
            self.faults.append(f"a usual client: {error}")
        for load in loads + [sampling]:
            load.cancel()
        await asyncio.gather(*loads, sampling, return_exceptions=True)
        for writer in self.load_writers:
            writer.transport.abort()
        if self.process.poll() is not None:
            self.faults.append(f"the gateway ended with {self.process.returncode}")
            return
        peak_kib = max(self.peak_resident_kib, self.memory_kib())
        self.process.terminate()
        self.process.wait()
        if peak_kib > self.options.memory_mb * 1024:
            self.faults.append(f"{peak_kib} KiB resident, {self.options.memory_mb} MiB allowed")
        if self.peak_group_kib > self.options.memory_mb * 1024:
            self.faults.append(f"{self.peak_group_kib} KiB with the sockets, {self.options.memory_mb} MiB allowed")
        latencies = sorted(self.latencies) or [0]
        print(f"{self.options.play}: memory_mb {self.options.memory_mb}, peak {peak_kib} KiB ({idle_kib} KiB when "
              f"ready), sockets {self.peak_socket_kib} KiB, together {self.peak_group_kib} KiB, usual calls {self.outcomes}, median {1000 * latencies[len(latencies) // 2]:.1f} ms, "
              f"longest {1000 * latencies[-1]:.0f} ms; load: {self.load_counts}")


class LongValues(MemoryRehearsal):
    """Every connection carries a long request with a long answer now and then."""

    async def load_client(self, number):
        reader, writer = await self.connect()
        await asyncio.sleep(self.random.random())
        while True:
            ident, command = self.call(body=b"b" * LONG_BYTES)
            writer.write(command)
            line = await reader.readline()
            self.count("values" if line.startswith(b"$") else "refused or failed")
            if line.startswith(b"$"):
                await reader.readexactly(int(line[1:]) + 2)
            await asyncio.sleep(self.options.connections / LONG_CALLS_PER_SECOND)


class SlowWriters(MemoryRehearsal):
    """Every connection writes a long request in small pieces."""

    async def load_client(self, number):
        reader, writer = await self.connect()
        while True:
            _, command = self.call(body=b"b" * LONG_BYTES)
            for begin in range(0, len(command), SLOW_PIECE_BYTES):
                writer.write(command[begin:begin + SLOW_PIECE_BYTES])
                await asyncio.sleep(SLOW_PIECE_EVERY_S)
            self.count(f"answers {(await reader.readline())[:5]!r}")


class HalfRequests(MemoryRehearsal):
    """Every connection stops half way through a long request and stays; another follows when it is closed."""

    async def load_client(self, number):
        while True:
            reader, writer = await self.connect()
            _, command = self.call(body=b"b" * LONG_BYTES)
            writer.write(command[:len(command) - 2000])
            line = await reader.readline()
            self.count(f"answers {line[:12]!r}")
            writer.close()


class RequestAndByte(MemoryRehearsal):
    """Every connection sends a long request and the first byte of another."""

    async def load_client(self, number):
        while True:
            reader, writer = await self.connect()
            _, command = self.call(body=b"b" * LONG_BYTES)
            writer.write(command + b"*")
            while line := await reader.readline():
                if line.startswith(b"$"):
                    await reader.readexactly(int(line[1:]) + 2)
                self.count(f"answers {line[:6]!r}")
            writer.close()


class PipelinedLong(MemoryRehearsal):
    """Every connection sends many long requests at once, whose workers take half a second, and reads its answers."""

    work_s = SLOW_WORK_S
    is_crowded = True

    async def load_client(self, number):
        reader, writer = await self.connect()
        while True:
            for _ in range(REQUESTS_AT_ONCE):
                writer.write(self.call(body=b"b" * LONG_BYTES)[1])
            for _ in range(REQUESTS_AT_ONCE):
                line = await reader.readline()
                if not line:
                    raise ConnectionError
                if line.startswith(b"$"):
                    await reader.readexactly(int(line[1:]) + 2)
                self.count(f"answers {line[:6]!r}")


class UnreadAnswers(MemoryRehearsal):
    """Every connection asks for long answers and reads none of them."""

    async def load_client(self, number):
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.setblocking(False)
        await asyncio.get_running_loop().sock_connect(connection, (HOST, self.gateway_port))
        while True:
            command = self.call(body=b"b" * LONG_BYTES)[1]
            await asyncio.get_running_loop().sock_sendall(connection, command)
            self.count("requests")
            await asyncio.sleep(self.options.connections / LONG_CALLS_PER_SECOND)


class SlowCrowd(MemoryRehearsal):
    """Every connection writes long requests at 40 KB a second, and the gateway is killed and started again."""

    async def load_client(self, number):
        if number == 0:
            await asyncio.sleep(KILL_AFTER_S)
            self.process.kill()
            self.process.wait()
            return await self.start_gateway()
        while True:
            try:
                await self.write_requests()
            except (ConnectionError, asyncio.IncompleteReadError, OSError):
                self.count("connections ended by the gateway")
                await asyncio.sleep(0.1)

    async def write_requests(self):
        reader, writer = await self.connect()
        while True:
            _, command = self.call(body=b"b" * LONG_BYTES)
            for begin in range(0, len(command), SLOW_PIECE_BYTES):
                writer.write(command[begin:begin + SLOW_PIECE_BYTES])
                await asyncio.sleep(SLOW_PIECE_EVERY_S)
            line = await reader.readline()
            if not line:
                raise ConnectionError
            if line.startswith(b"$"):
                await reader.readexactly(int(line[1:]) + 2)
            self.count(f"answers {line[:5]!r}")

    async def usual_client(self):
        """Usual clients come when the new process is ready."""
        await asyncio.sleep(KILL_AFTER_S + 1)
        await super().usual_client()


class ManyFields(MemoryRehearsal):
    """Every connection sends requests with very many short fields, whose workers take a second."""

    async def load_client(self, number):
        fields = b",a=1" * (LONG_BYTES // 4 - 100)
        reader, writer = await self.connect()
        waiting = 0
        while True:
            for _ in range(FIELD_CALLS_AT_ONCE):
                writer.write(self.call(more_fields=fields, customer=self.random.randrange(1 << 33))[1])
                waiting += 1
            while waiting > 0:
                line = await reader.readline()
                if not line:
                    raise ConnectionError
                if line.startswith(b"$"):
                    await reader.readexactly(int(line[1:]) + 2)
                waiting -= 1
                self.count(f"answers {line[:6]!r}")


class Flood(MemoryRehearsal):
    """One client, in a process of its own, sends as fast as it can for some seconds, on one connection. All other
    connections carry a call every second."""

    async def load_client(self, number):
        if number > 0:
            reader, writer = await self.connect()
            await asyncio.sleep(self.random.random())
            while True:
                writer.write(self.call()[1])
                await reader.readline()
                await reader.readline()
                await asyncio.sleep(1)
        process = await asyncio.create_subprocess_exec(
            sys.executable, __file__, "flood", self.options.play, "--port", str(self.gateway_port), "--seconds",
            str(self.seconds - 2), stdout=asyncio.subprocess.PIPE)
        output, _ = await process.communicate()
        self.load_counts = output.decode().strip()


class LongLists(MemoryRehearsal):
    """Discovery sends the whole list five times a second, indented. The connections carry nothing."""

    async def serve_discovery(self, reader, writer):
        try:
            while await reader.readline():
                while (await reader.readline()).strip():
                    pass
                await asyncio.sleep(LIST_EVERY_S)
                body = json.dumps(self.worker_list(is_snapshot=True), indent=4)
                writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
                self.count("lists")
        except ConnectionError:
            pass
        writer.close()

    async def load_client(self, number):
        await self.connect()


class EndlessLists(MemoryRehearsal):
    """Discovery's answers to all requests but the first are lists that never end."""

    async def serve_discovery(self, reader, writer):
        try:
            while await reader.readline():
                while (await reader.readline()).strip():
                    pass
                if self.load_counts.get("lists", 0) == 0:
                    self.count("lists")
                    body = json.dumps(self.worker_list(is_snapshot=True))
                    writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
                    continue
                self.count("endless lists")
                writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n{"endpoints":[')
                while True:
                    writer.write(b'{"name":"s","address":"127.0.0.1:1","status":"Terminating"},' * 1000)
                    await writer.drain()
        except ConnectionError:
            pass
        writer.close()

    async def load_client(self, number):
        await self.connect()


def flood_block(kind, block_number):
    """Some thousand commands, different in each block where the kind says new names."""
    if kind == "flood-ping":
        return b"*1\r\n$4\r\nPING\r\n" * BLOCK_COMMANDS
    if kind == "flood-info":
        return b"*1\r\n$4\r\nINFO\r\n" * BLOCK_COMMANDS
    first = block_number * BLOCK_COMMANDS
    if kind == "flood-malformed":
        return b"*1\r\n$4\r\nPING\r\n*9\r\nnonsense\r\n"
    if kind == "flood-unknown":
        return b"".join(b"*2\r\n$8\r\n%08x\r\n$1\r\nx\r\n" % (first + index) for index in range(BLOCK_COMMANDS))
    commands = []
    for index in range(first, first + BLOCK_COMMANDS):
        plan = FLOOD_PLANS.get(kind) or (b"p%07x" % index if kind == "flood-new-plans" else None)
        plan = plan or (b"basic", b"small", b"open", b"ceiling")[index % 4]
        customer = b"%016x" % (index * 7919 % (1 << 33) if kind != "flood-new-ids" else 1)
        if kind == "flood-bad-customers":
            customer = b"%016x" % (index + (1 << 40))
        fields = b"c=status,t=%s,d=4000,units=1,spread=1,first=0" % plan
        commands.append(b"*4\r\n$5\r\nQ.ASK\r\n" + bulk(customer) + bulk(b"%016x" % (index + (1 << 48))) + bulk(fields))
    return b"".join(commands)


def run_flood(kind, port, seconds):
    """Sends blocks and reads answers as fast as both sides can. Connects again if the connection ends."""
    end, block_number, sent, received, ends = time.monotonic() + seconds, 0, 0, 0, 0
    connection = None
    while time.monotonic() < end:
        if connection is None:
            connection = socket.create_connection((HOST, port))
            connection.setblocking(False)
            rest = b""
        if not rest:
            rest = flood_block(kind, block_number)
            block_number += 1
        readable, writable, _ = select.select([connection], [connection], [], 0.1)
        try:
            if writable:
                size = connection.send(rest)
                rest, sent = rest[size:], sent + size
            if readable:
                data = connection.recv(1 << 20)
                received += len(data)
                if not data:
                    raise ConnectionError
        except BlockingIOError:
            pass
        except OSError:
            connection, ends = None, ends + 1
    print(f"{block_number} blocks of {BLOCK_COMMANDS} commands, {sent} bytes sent, {received} received, {ends} ends")


FLOOD_PLANS = {"flood-open": b"open", "flood-quota": b"small", "flood-ceiling": b"ceiling"}
FLOODS = ["flood-ping", "flood-malformed", "flood-info", "flood-unknown", "flood-bad-customers", "flood-new-plans", "flood-new-ids",
          "flood-new-customers", *FLOOD_PLANS]
PLAYS = {"long-values": LongValues, "slow-writers": SlowWriters, "half-requests": HalfRequests,
         "request-and-byte": RequestAndByte, "pipelined-long": PipelinedLong, "unread-answers": UnreadAnswers, "slow-crowd": SlowCrowd, "many-fields": ManyFields, "long-lists": LongLists, "endless-lists": EndlessLists, **{kind: Flood for kind in FLOODS}}


def main():
    if sys.argv[1] == "flood":
        return run_flood(sys.argv[2], int(sys.argv[4]), float(sys.argv[6]))
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("gateway", help="the program")
    parser.add_argument("play", choices=PLAYS)
    parser.add_argument("--memory-mb", type=int, default=32)
    parser.add_argument("--sockets", type=int, default=1024)
    parser.add_argument("--connections", type=int, default=400)
    parser.add_argument("--listed-workers", type=int, default=10)
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    run_rehearsal(PLAYS[options.play](options))


if __name__ == "__main__":
    main()
