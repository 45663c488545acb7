"""Parts of the review's second set of cases: the gateway as a process of its own, and stand-ins for clients, workers,
discovery and the counter, after the operators' pages. Everything is on loopback and on the real clock.

A case is a coroutine `case(run)` that returns a list of breaks (texts); run_case() plays it, writes record.txt and
exits with 3 if there is a break, 0 if there is none and 2 if the case could not run; run.sh makes 1 of 3.
"""
import asyncio
import json
import logging
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MAX_SECONDS = 110


class CannotRun(Exception):
    """The case could not be played, so it says nothing about the rule."""


def bulk(text):
    text = text if isinstance(text, bytes) else text.encode()
    return b"$%d\r\n%s\r\n" % (len(text), text)


def command(*words):
    return b"*%d\r\n" % len(words) + b"".join(bulk(word) for word in words)


def served(value, load=b"queue=0"):
    """A worker's answer: the value, no figures on use, a load report."""
    return b"*3\r\n" + bulk(value) + b"$-1\r\n" + bulk(load)


async def read_command(reader):
    """Reads a RESP2 command and returns its words; None at the end of the connection."""
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


def free_port():
    """A free port below those that the system gives to outgoing connections."""
    for port in random.sample(range(20000, 32000), 200):
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue
    raise CannotRun("no free port")


class Run:
    """One play of a case: its record, its temporary folder and all that it started."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.started_at = time.monotonic()
        self.record = open(self.folder / "record.txt", "w", encoding="utf-8")
        self.temp = Path(tempfile.mkdtemp(prefix="arrowstile-review-"))
        self.gateways = []
        self.log(f"trouble: {'on' if self.has_trouble else 'off'}")

    def now(self):
        return time.monotonic() - self.started_at

    def log(self, text):
        self.record.write(f"{self.now():9.4f}  {text}\n")

    async def end(self):
        for gateway in self.gateways:
            await gateway.end()
        self.record.close()
        shutil.rmtree(self.temp, ignore_errors=True)


class Call:
    """One request of a client, and what became of it."""

    def __init__(self, ident, route, sent_at, deadline_ms):
        self.ident, self.route, self.sent_at, self.deadline_ms = ident, route, sent_at, deadline_ms
        self.answer = None  # (kind, text): kind is served, refused, failed
        self.answered_at = None


class Client:
    """A connection of the front to a gateway. Answers come in the order of the commands."""

    def __init__(self, run, gateway, name):
        self.run, self.gateway, self.name = run, gateway, name
        self.waiting = []
        self.closed_at = None
        self.ended_by_gateway_at = None

    async def connect(self):
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.input = bytearray()
        self.output = asyncio.Queue()
        await asyncio.get_running_loop().sock_connect(self.socket, ("127.0.0.1", self.gateway.port))
        self.tasks = [asyncio.create_task(self.write_all())]
        return self

    def read_on(self):
        """From now on answers are read as they come."""
        self.tasks.append(asyncio.create_task(self.read_answers()))
        return self

    async def write_all(self):
        try:
            while True:
                await asyncio.get_running_loop().sock_sendall(self.socket, await self.output.get())
        except OSError:
            pass  # the reader notices the end of the connection

    def write(self, data):
        self.output.put_nowait(data)

    async def read_some(self, size=65536):
        """Takes what has come, up to `size` bytes. Raises ConnectionError at the end of the connection."""
        piece = await asyncio.get_running_loop().sock_recv(self.socket, size)
        if not piece:
            raise ConnectionError("end of the connection")
        self.input += piece

    async def take(self, size):
        while len(self.input) < size:
            await self.read_some()
        taken = bytes(self.input[:size])
        del self.input[:size]
        return taken

    async def take_line(self):
        while (end := self.input.find(b"\r\n")) < 0:
            await self.read_some()
        return await self.take(end + 2)

    def send(self, route, *, plan="open", customer=1, ident=None, deadline_ms=4000, units=1, key=None, spread=1,
             body=None, is_written=True):
        """Writes a request, or leaves it in `unwritten`; read_answers() takes its answer."""
        ident = ident or f"{random.getrandbits(64):016x}"
        words = [b"Q.ASK" if route == "status" else b"Q.DO", f"{customer:016x}", ident]
        fields = f"c={route},t={plan},d={deadline_ms}"
        if route == "submit":
            fields += f",k={key or ident}"
        words.append(fields + f",units={units},spread={spread},first=0")
        if route != "status":
            words.append(body or "body of " + ident)
        call = Call(ident, route, self.run.now(), deadline_ms)
        self.waiting.append(call)
        self.run.log(f"{self.name} sends {route} {ident}")
        self.unwritten = command(*words)
        if is_written:
            self.write(self.unwritten)
        return call

    async def read_answer(self):
        """Reads one answer and gives it to the oldest request. Returns the request, or None at the end."""
        try:
            line = await self.take_line()
            kind, text = "failed", line[1:-2].decode(errors="replace")
            if line.startswith(b"$") and line != b"$-1\r\n":
                kind, text = "served", (await self.take(int(text) + 2))[:-2].decode(errors="replace")
            elif line.startswith(b"-BUSY"):
                kind = "refused"
        except OSError as error:
            if self.closed_at is None and self.ended_by_gateway_at is None:
                self.ended_by_gateway_at = self.run.now()
                self.run.log(f"{self.name}: {error}, {len(self.waiting)} requests without an answer")
            return None
        call = self.waiting.pop(0)
        call.answer, call.answered_at = (kind, text), self.run.now()
        self.run.log(f"{self.name} gets {kind} for {call.ident}: {text[:60]}")
        return call

    async def read_answers(self):
        """Reads until the connection ends."""
        while await self.read_answer():
            pass

    def close(self):
        self.closed_at = self.run.now()
        self.run.log(f"{self.name} closes its connection")
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.socket)
        loop.remove_writer(self.socket)
        for task in self.tasks:
            task.cancel()
        self.socket.close()


class Attempt:
    """A command that has come whole to a worker."""

    def __init__(self, worker, words, came_at):
        self.worker, self.words, self.came_at = worker, words, came_at
        self.ident = words[2].decode()
        fields = dict(field.split("=", 1) for field in words[3].decode().split(",") if "=" in field)
        self.route, self.left_ms = fields["c"], float(fields["d"])


class Worker:
    """A worker. `serve(attempt, line)` is a coroutine that returns the answer's bytes, or None for none."""

    def __init__(self, run, name, serve, zone="north"):
        self.run, self.name, self.serve, self.zone = run, name, serve, zone
        self.attempts = []

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def accept(self, reader, writer):
        line = Line(self, reader, writer)
        try:
            await line.work()
        except asyncio.CancelledError:
            pass  # the play is over
        finally:
            writer.close()


class Line:
    """A connection to a worker. Commands begin when they have come, and are answered in their order."""

    def __init__(self, worker, reader, writer):
        self.worker, self.reader, self.writer = worker, reader, writer

    async def work(self):
        last = None
        while words := await read_command(self.reader):
            if words[0] not in (b"Q.ASK", b"Q.DO"):
                self.send(b"+PONG\r\n" if words[0] == b"PING" else b"-ERR unknown command\r\n")
                continue
            last = asyncio.create_task(self.begin(words, last))
        if last:
            await last

    async def begin(self, words, previous):
        attempt = Attempt(self.worker, words, self.worker.run.now())
        self.worker.attempts.append(attempt)
        self.worker.run.log(f"{self.worker.name} begins {attempt.route} {attempt.ident}, d={attempt.left_ms:.0f}")
        answer = await self.worker.serve(attempt, self)
        if previous:
            await previous
        if answer is not None:
            self.send(answer)

    def send(self, data):
        if not self.writer.is_closing():
            self.writer.write(data)


class HttpServer:
    """Serves HTTP/1.1. answer(target) returns (status, body). With `has_length` False an answer has no length and ends
    with the connection, in good order."""

    def __init__(self, run, name):
        self.run, self.name = run, name
        self.has_length = True

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def accept(self, reader, writer):
        try:
            while request := await reader.readline():
                while (await reader.readline()) not in (b"\r\n", b""):
                    pass
                status, body = await self.answer(request.split()[1].decode())
                if self.has_length:
                    writer.write(f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
                    await writer.drain()
                    continue
                writer.write(f"HTTP/1.1 {status}\r\nConnection: close\r\n\r\n{body}".encode())
                await writer.drain()
                break
        except (ConnectionError, asyncio.IncompleteReadError, IndexError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Discovery(HttpServer):
    """Discovery's agent: answers at once with what it has."""

    def __init__(self, run):
        super().__init__(run, "discovery")
        self.version, self.entries, self.changes = 0, {}, []
        self.news = asyncio.Event()

    def put(self, worker, status="Ready", since_ms=0):
        """Lists a worker, or changes its entry."""
        self.version += 1
        name = worker.name
        entry = {"name": name, "address": f"127.0.0.1:{worker.port}", "zone": worker.zone, "type": "small", "group": 0, "status": status,
                 "weight": 1.0, "since_ms": since_ms}
        self.entries[name] = entry
        if status == "Gone":
            del self.entries[name]
        self.changes.append((self.version, entry))
        self.news.set()
        self.news = asyncio.Event()

    def whole(self):
        return {"index": self.version, "snapshot": True, "endpoints": list(self.entries.values())}

    async def answer(self, target):
        if not (match := re.search(r"since=(\d+)&timeout_ms=(\d+)", target)):
            self.run.log(f"discovery answers with the whole list, version {self.version}")
            return "200 OK", json.dumps(self.whole())
        since, timeout = int(match[1]), min(int(match[2]), 60000) / 1000
        if since >= self.version:
            try:
                await asyncio.wait_for(self.news.wait(), timeout)
            except asyncio.TimeoutError:
                pass
        changed = [entry for version, entry in self.changes if version > since]
        self.run.log(f"discovery answers since={since} with version {self.version}: "
                     + ", ".join(f"{entry['name']} {entry['status']}" for entry in changed))
        return "200 OK", json.dumps({"index": self.version, "snapshot": False, "endpoints": changed})


class Counter(HttpServer):
    """The counter."""

    def __init__(self, run):
        super().__init__(run, "counter")
        self.counts = {}

    async def answer(self, target):
        match = re.fullmatch(r"/v2/numbers/([^?]{1,64})\?delta=([^&]+)&life_ms=(\d+)", target)
        if not match:
            return "404 Not Found", ""
        total, ends_at = self.counts.get(match[1], (0.0, 0.0))
        if ends_at < time.monotonic():
            total, ends_at = 0.0, time.monotonic() + min(int(match[3]), 60000) / 1000
        self.counts[match[1]] = (total + float(match[2]), ends_at)
        return "200 OK", f"{total + float(match[2]):.7g}"


def settings(**changes):
    """Settings like those of the operators' first site, at one gateway. Plan `open` has no quota."""
    document = {
        "azs": ["north", "south"], "shapes": ["small"], "balancers": 1, "rank": 0, "locality": 0, "tickMs": 4.0,
        "classes": [
            {"name": "status", "effect": "safe", "onTimeMs": 1000, "deadlineMs": 4000, "credit": 3, "lateShare": 0.2},
            {"name": "submit", "effect": "keyed", "keyScope": "all", "dedupWindowMs": 8000, "onTimeMs": 1500,
             "deadlineMs": 4000, "credit": 5},
            {"name": "dispatch", "effect": "unsafe", "onTimeMs": 800, "deadlineMs": 4000, "credit": 3}],
        "packages": [{"name": "basic", "refill": 2, "storeSize": 8, "pays": 0.9}, {"name": "open", "pays": 1.2}],
        "familyInfo": {"mayCount": True, "countLimitMs": 50, "counterPrice": 0.02, "largest": 6},
        "permissions": {"cancel": True, "retryAfter": True, "sendCap": 5, "maxRetryAfterMs": 1000, "mayDuplicate": False,
                        "connectTimeoutMs": 250, "keepaliveMs": 15000, "streamsPerConn": 32},
        "registryMode": "pushed", "report": {"how": "piggyback", "columns": ["q"]},
        "rules": {"answerSlackMs": 16, "askWithinMs": 10000, "coldFrom": 0.2, "drainGraceMs": 250, "fallMs": 2000,
                  "rampTimeMs": 16000, "tipMultiple": 2}}
    document.update(changes)
    return document


class Gateway:
    """The project's gateway, started by the deploy file's command."""

    def __init__(self, run, discovery, counter, *, known=None, memory_mb=192, sockets=1024, name="n0", **changes):
        self.run, self.port, self.name = run, free_port(), name
        self.document = {"name": name, "listen": f"127.0.0.1:{self.port}", "discovery": f"127.0.0.1:{discovery.port}",
                         "counter": f"127.0.0.1:{counter.port}", "seed": f"{random.getrandbits(64):016x}",
                         "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
                         "known": known or discovery.whole(), "settings": settings(**changes)}
        self.process = None
        run.gateways.append(self)

    async def start(self, is_ready_awaited=True):
        path = self.run.temp / f"{self.name}.json"
        path.write_text(json.dumps(self.document))
        start = re.search(r'^run = "(.*)"', (ROOT / "deploy" / "balancer.toml").read_text(), re.MULTILINE)[1]
        scratch = self.run.temp / f"{self.name}.tmp"
        scratch.mkdir(exist_ok=True)
        environment = dict(os.environ, EDGE_NAME=self.name, EDGE_LISTEN=self.document["listen"], TMPDIR=str(scratch),
                           EDGE_DISCOVERY=self.document["discovery"], EDGE_CONFIG=str(path))
        self.log = open(self.run.temp / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", start, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log, stderr=self.log)
        self.run.log(f"gateway {self.name} starts")
        if is_ready_awaited:
            await self.wait_ready(30)
        return self

    async def wait_ready(self, seconds):
        """Waits until PING gets PONG."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.process.returncode is not None:
                raise CannotRun("the gateway did not start: " + self.log_text()[-500:])
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(command("PING"))
                line = await asyncio.wait_for(reader.readline(), 2)
                writer.close()
                if line == b"+PONG\r\n":
                    self.run.log(f"gateway {self.name} is ready")
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("the gateway was not ready in time")

    def signal(self, number):
        self.run.log(f"gateway {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def log_text(self):
        return (self.run.temp / f"{self.name}.log").read_text(errors="replace")

    async def end(self):
        if self.process is None:
            return
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        self.log.close()
        self.run.record.write(f"\nlog of gateway {self.name} (exit {self.process.returncode}):\n{self.log_text()}")
        self.process = None


def run_case(folder, case):
    """Plays a case and ends the process with its result."""
    if not (ROOT / "build" / "arrowstile").exists():
        print("build/arrowstile is missing: build by the deploy file first")
        sys.exit(2)

    logging.getLogger("asyncio").setLevel(logging.CRITICAL)  # tasks that the end of the play cuts off

    async def play():
        run = Run(folder)
        try:
            breaks = await asyncio.wait_for(case(run), MAX_SECONDS)
            for gateway in run.gateways:
                if gateway.process and gateway.process.returncode not in (None, 0, -signal.SIGKILL):
                    breaks.append(f"gateway {gateway.name} ended with {gateway.process.returncode}")
            for text in breaks:
                run.log("BREAK: " + text)
            run.log(f"result: {len(breaks)} breaks")
            return breaks
        finally:
            await run.end()

    try:
        breaks = asyncio.run(play())
    except Exception as error:  # whatever it was, the rule was not tested
        traceback.print_exc()
        print("could not run:", repr(error))
        sys.exit(2)
    for text in breaks[:10]:
        print("BREAK:", text)
    print("rule broken" if breaks else "rule held")
    sys.exit(3 if breaks else 0)
