"""Stand-ins for the review's cases: workers, discovery, the counter and the platform, on loopback addresses.

They follow the operators' protocol page. Where a case needs a disruption, it says so in its own file; without
one, everything here behaves like a sound server. Only the Python standard library is used.
"""
import asyncio
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "127.0.0.1"


class CannotRun(Exception):
    """The case could not be run; says nothing about the program."""


def deploy_command(name):
    """The command of that name in deploy/balancer.toml."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        found = re.search(r'^%s\s*=\s*"([^"]*)"' % name, file.read(), re.M)
    if not found:
        raise CannotRun("no '%s' in deploy/balancer.toml" % name)
    return found[1]


class Record:
    """record.txt: one line for each thing that was sent, answered or run, with seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.path = os.path.join(folder, "record.txt")
        self.file = open(self.path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def line(self, *words):
        self.file.write("%10.4f %s\n" % (self.now(), " ".join(str(word) for word in words)))

    def close(self):
        self.file.close()


def free_port():
    """A free port below those that the system gives to outgoing connections."""
    for port in random.SystemRandom().sample(range(20000, 32000), 200):
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
                return port
            except OSError:
                continue
    raise CannotRun("no free port")


def command(*words):
    """A RESP2 command."""
    words = [word.encode() if isinstance(word, str) else word for word in words]
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


def good_answer(value, queue=0):
    """A worker's answer that serves a request: value, no figures on use, load report."""
    report = b"queue=%d" % queue
    return b"*3\r\n$%d\r\n%s\r\n$-1\r\n$%d\r\n%s\r\n" % (len(value), value, len(report), report)


async def read_command(reader):
    """Reads a RESP2 command; None at the end of the connection."""
    try:
        header = await reader.readline()
        if not header.startswith(b"*"):
            return None
        words = []
        for _ in range(int(header[1:])):
            size = int((await reader.readline())[1:])
            words.append((await reader.readexactly(size + 2))[:-2])
        return words
    except (ConnectionError, asyncio.IncompleteReadError, ValueError):
        return None


async def read_answer(reader):
    """Reads a gateway's answer. Returns ("served", value), ("busy", text) or ("failed", text); None if the
    connection ended before the answer was whole."""
    try:
        line = await reader.readline()
        if not line.endswith(b"\r\n"):
            return None
        if line.startswith(b"$") and line != b"$-1\r\n":
            size = int(line[1:])
            return "served", (await reader.readexactly(size + 2))[:-2]
        if line.startswith(b"-BUSY"):
            return "busy", line[1:-2].decode()
        return "failed", line[1:-2].decode(errors="replace")
    except (ConnectionError, asyncio.IncompleteReadError):
        return None


def fields_of(words):
    """The names and values of an API call, as a dictionary."""
    return dict(field.split("=", 1) for field in words[3].decode().split(",") if "=" in field)


class WorkerConnection:
    """The worker's end of a connection, behind a network that takes `delay` seconds each way."""

    def __init__(self, worker, reader, writer):
        self.worker, self.outer, self.writer = worker, reader, writer
        self.reader = asyncio.StreamReader(limit=1 << 20)
        self.pending = 0  # requests that have come whole and are not answered
        self.received = 0  # requests that have come whole
        self.is_open = True
        self.last_write = 0.0

    async def carry_input(self):
        loop = asyncio.get_running_loop()
        while True:
            try:
                data = await self.outer.read(1 << 16)
            except ConnectionError:
                data = b""
            action = (lambda data=data: self.reader.feed_data(data)) if data else self.reader.feed_eof
            loop.call_later(self.worker.delay, action) if self.worker.delay else action()
            if not data:
                self.is_open = False
                return

    def send(self, data):
        """Sends bytes, which arrive after the delay, in order."""
        loop = asyncio.get_running_loop()
        if not self.worker.delay:
            return self.write_now(data)
        self.last_write = max(self.last_write + 1e-6, loop.time() + self.worker.delay)
        loop.call_at(self.last_write, self.write_now, data)

    def write_now(self, data):
        if not self.writer.is_closing():
            self.writer.write(data)

    def reset(self):
        """Breaks the connection with a reset."""
        sock = self.writer.get_extra_info("socket")
        if sock is not None and sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.writer.transport.abort()


class Worker:
    """A worker. `serve(connection, words)` is the case's coroutine that runs a request and returns the bytes of
    its answer, or None for no answer."""

    def __init__(self, index, serve, delay=0.0):
        self.name = "s-%08x" % (0x5be20000 + 0x101 * index)
        self.index, self.serve, self.delay = index, serve, delay
        self.port = free_port()
        self.status = "Ready"
        self.connections = set()
        self.answering = []
        self.after_answer = None  # called with the connection and the answer when an answer was sent

    async def start(self):
        self.server = await asyncio.start_server(self.handle, HOST, self.port, backlog=256, limit=1 << 20)

    async def handle(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = WorkerConnection(self, reader, writer)
        self.connections.add(connection)
        carrying = asyncio.ensure_future(connection.carry_input())
        previous = None
        while words := await read_command(connection.reader):
            connection.received += 1
            connection.pending += 1
            previous = asyncio.ensure_future(self.answer(connection, words, previous))
            self.answering.append(previous)  # or it could end before its time
        connection.is_open = False
        self.connections.discard(connection)
        carrying.cancel()
        writer.close()

    async def answer(self, connection, words, previous):
        """Runs a request at once and answers it after the one before it."""
        if words[0] in (b"Q.ASK", b"Q.DO"):
            reply = await self.serve(self, connection, words)
        else:
            reply = b"+PONG\r\n" if words[0] == b"PING" else b"-ERR unknown command\r\n"
        if previous is not None:
            await previous
        if reply is None:
            await asyncio.Event().wait()  # no answer, and none to what comes behind it
        connection.pending -= 1
        connection.send(reply)
        if self.after_answer:
            self.after_answer(connection, reply)

    def endpoint(self):
        return {"name": self.name, "address": "%s:%d" % (HOST, self.port), "zone": "north", "type": "gen2",
                "group": 3, "status": self.status, "weight": 1.0, "since_ms": 0}


async def serve_http(reader, writer, answer):
    """Serves HTTP/1.1 calls of a connection in order; answer(target) returns status and body."""
    try:
        while request := await reader.readline():
            length = 0
            while (line := await reader.readline()) not in (b"\r\n", b""):
                if line.lower().startswith(b"content-length:"):
                    length = int(line.split(b":")[1])
            await reader.readexactly(length)
            status, body = await answer(request.split()[1].decode())
            writer.write(f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    writer.close()


class Discovery:
    """Discovery's agent. It answers at once with what it has; a watch waits for news."""

    def __init__(self, workers, record):
        self.workers, self.record = workers, record
        self.port = free_port()
        self.version = 1
        self.changed = {worker.name: 1 for worker in workers}
        self.news = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(
            lambda reader, writer: serve_http(reader, writer, self.answer), HOST, self.port)

    def list(self, since=None):
        chosen = [worker.endpoint() for worker in self.workers
                  if since is None or self.changed[worker.name] > since]
        return {"index": self.version, "snapshot": since is None, "endpoints": chosen}

    def change(self, worker, status):
        self.version += 1
        worker.status = status
        self.changed[worker.name] = self.version
        self.record.line("discovery", worker.name, status)
        news, self.news = self.news, asyncio.Event()
        news.set()

    async def answer(self, target):
        watch = re.search(r"since=(\d+)&timeout_ms=(\d+)", target)
        if not watch:
            return "200 OK", json.dumps(self.list())
        since = int(watch[1])
        if self.version <= since:
            try:
                await asyncio.wait_for(self.news.wait(), min(60000, int(watch[2])) / 1000)
            except asyncio.TimeoutError:
                pass
        return "200 OK", json.dumps(self.list(since))


class Counter:
    """The counter: adds to named numbers."""

    def __init__(self):
        self.port = free_port()
        self.counts = {}

    async def start(self):
        self.server = await asyncio.start_server(
            lambda reader, writer: serve_http(reader, writer, self.answer), HOST, self.port)

    async def answer(self, target):
        match = re.fullmatch(r"/v2/numbers/([^?]{1,64})\?delta=([^&]+)&life_ms=(\d+)", target)
        if not match:
            return "400 Bad Request", ""
        total, expires = self.counts.get(match[1], (0.0, 0.0))
        if expires < time.monotonic():
            total, expires = 0.0, time.monotonic() + min(int(match[3]), 60000) / 1000
        self.counts[match[1]] = (total + float(match[2]), expires)
        await asyncio.sleep(0.001)
        return "200 OK", "%.7g" % self.counts[match[1]][0]


def settings(gateways, rank, **changes):
    """Settings of a small deployment: the figures of the protocol pages' example."""
    classes = [
        {"name": "status", "effect": "safe", "keyScope": "all", "dedupWindowMs": 5000.0, "onTimeMs": 1000.0,
         "deadlineMs": 4000.0, "credit": 3.0, "lateShare": 0.2, "stream": False},
        {"name": "submit", "effect": "keyed", "keyScope": "all", "dedupWindowMs": 8000.0, "onTimeMs": 1500.0,
         "deadlineMs": 4000.0, "credit": 5.0, "lateShare": 0.0, "stream": False},
        {"name": "dispatch", "effect": "unsafe", "keyScope": "all", "dedupWindowMs": 5000.0, "onTimeMs": 800.0,
         "deadlineMs": 4000.0, "credit": 3.0, "lateShare": 0.0, "stream": False}]
    for route in classes:
        route.update(changes.get(route["name"], {}))
    return {
        "azs": ["north", "south", "west"], "balancers": gateways, "rank": rank, "locality": 0, "tickMs": 4.0,
        "classes": classes, "clients": {"marksRetry": True}, "family": "gate",
        "familyInfo": {"countLimitMs": 50.0, "counterPrice": 0.02, "largest": 6, "mailPerS": 40.0,
                       "mayCount": True, "truedUp": False, "usePeriodMs": 0.0},
        "packages": [
            {"name": "basic", "refill": 1.5, "storeSize": 12.0, "open": 0, "pays": 0.88, "neverOverRate": 0.0},
            {"name": "exchange", "refill": 35.0, "storeSize": 64.0, "open": 0, "pays": 1.6,
             "neverOverRate": 0.0}],
        "permissions": {"cancel": True, "connectTimeoutMs": 250.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 500000,
                        "keepaliveMs": 15000.0, "maxRetryAfterMs": 1000.0, "mayDuplicate": False,
                        "mayProbe": True, "mostHeld": 20000, "peerMessages": False, "retryAfter": True,
                        "sendCap": 5, "streamsPerConn": 32},
        "registryMode": "pushed", "report": {"columns": ["q"], "how": "piggyback"},
        "rules": {"answerSlackMs": 16.0, "askWithinMs": 10000.0, "coldFrom": 0.17, "drainGraceMs": 250.0,
                  "fallMs": 2000.0, "rampTimeMs": 16000.0, "tipMultiple": 2.0},
        "shapes": ["gen2", "gen1"], "tier": 0, "tiers": ["wire-nodes"], "weights": "rough"}


class Gateway:
    """A process of the program, started as the platform starts it."""

    def __init__(self, run, rank, count, memory_mb=64, sockets=512, **changes):
        self.run, self.name, self.port = run, "n%d" % rank, free_port()
        self.document = {
            "name": self.name, "listen": "%s:%d" % (HOST, self.port),
            "discovery": "%s:%d" % (HOST, run.discovery.port), "counter": "%s:%d" % (HOST, run.counter.port),
            "seed": "8c1f30d27a5be96%d" % rank, "known": run.discovery.list(),
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "settings": settings(count, rank, **changes)}
        self.process = None

    def start(self):
        folder = os.path.join(self.run.folder, self.name)
        os.makedirs(os.path.join(folder, "tmp"), exist_ok=True)
        config = os.path.join(folder, "config.json")
        with open(config, "w", encoding="utf-8") as file:
            json.dump(self.document, file)
        environment = dict(os.environ, EDGE_CONFIG=config, EDGE_NAME=self.name,
                           EDGE_LISTEN=self.document["listen"], EDGE_DISCOVERY=self.document["discovery"],
                           TMPDIR=os.path.join(folder, "tmp"))
        self.log = os.path.join(folder, "log.txt")
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(["/bin/sh", "-c", deploy_command("run")], cwd=ROOT, stdout=log,
                                            stderr=log, stdin=subprocess.DEVNULL, env=environment)
        self.run.processes.append(self.process)

    async def wait_ready(self):
        """Waits until PING is answered with +PONG, as the front does."""
        end = time.monotonic() + 30
        while time.monotonic() < end:
            if self.process.poll() is not None:
                with open(self.log, encoding="utf-8") as log:
                    raise CannotRun("the gateway has ended: " + log.read()[-500:])
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(command("PING"))
                answer = await asyncio.wait_for(reader.readline(), 2)
                writer.close()
                if answer == b"+PONG\r\n":
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("the gateway was not ready within 30 s")

    def signal(self, number):
        self.process.send_signal(number)


class Run:
    """One run of a case: the stand-ins, the gateways and the record."""

    def __init__(self, folder, has_trouble):
        self.record = Record(folder)
        self.has_trouble = has_trouble
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = self.temporary.name
        self.processes = []
        self.next_id = random.SystemRandom().getrandbits(48) << 16

    async def start_servers(self, workers):
        self.workers = workers
        for worker in workers:
            await worker.start()
        self.discovery, self.counter = Discovery(workers, self.record), Counter()
        await self.discovery.start()
        await self.counter.start()

    def new_id(self):
        self.next_id += 1
        return "%016x" % (self.next_id & (2 ** 64 - 1))

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                for number in (signal.SIGCONT, signal.SIGKILL):
                    process.send_signal(number)
        for process in self.processes:
            process.wait()
        self.temporary.cleanup()
        self.record.close()


def main(play, file):
    """Plays a case: play(run) returns a list of breaches of the rule. Ends with the exit code of the case."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    run = Run(os.path.dirname(os.path.abspath(file)), has_trouble)

    def stop(*_):
        raise CannotRun("the time of the case is over")
    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)

    async def whole():
        try:
            breaches = await play(run)
            for breach in breaches:
                run.record.line("BREACH", breach)
            end(1 if breaches else 0,
                "the rule was broken %d times" % len(breaches) if breaches else "the rule held")
        except Exception as error:  # whatever it is, it says nothing about the program
            end(2, "the case could not run: %s: %s" % (type(error).__name__, error))

    def end(code, verdict):
        run.record.line("with the disruption:" if has_trouble else "without the disruption:", verdict)
        run.end()
        print(verdict)
        sys.stdout.flush()
        os._exit(code)  # at once: what the stand-ins still do is of no interest

    try:
        asyncio.run(whole())
    except CannotRun as error:
        end(2, "the case could not run: %s" % error)
