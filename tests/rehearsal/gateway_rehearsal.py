"""What the rehearsals of one real gateway share: its process, its start document, workers, discovery and the counter."""

import asyncio
import collections
import json
import os
import subprocess
import sys
import tempfile
import time

from loopback import bulk, free_port

HOST = "127.0.0.1"
WORKERS = 10
CLIENT_TIMEOUT_MS = 4000
ANSWER_SLACK_S = 0.6


async def read_command(reader):
    """Reads a RESP2 command; None at the end of the connection."""
    try:
        count = int((await reader.readline())[1:] or 0)
        words = []
        for _ in range(count):
            size = int((await reader.readline())[1:])
            words.append((await reader.readexactly(size + 2))[:-2])
        return words or None
    except (ConnectionError, asyncio.IncompleteReadError, ValueError):
        return None


class Rehearsal:
    """A gateway among emulated servers on loopback. Subclasses serve the workers' connections and play clients."""

    def __init__(self, options):
        self.options = options
        self.ports = []
        self.silent_ports = set()
        self.served = collections.Counter()  # calls by the worker's port
        self.writers = set()
        self.answered_at = {}
        self.sent = 0
        self.outcomes = {"value": 0, "busy": 0, "failed": 0}
        self.faults = []
        self.latencies = []

    async def serve_worker(self, reader, writer):
        """Serves a connection to a worker."""
        raise NotImplementedError

    async def play(self, directory):
        """Plays the whole rehearsal. Its files lie in `directory`."""
        raise NotImplementedError

    async def serve_discovery(self, reader, writer):
        """Discovery's agent, which knows of no changes."""
        await self.serve_http(reader, writer, lambda target: json.dumps(self.worker_list(b"since=" not in target)))

    async def serve_counter(self, reader, writer):
        """A counter that always gives the same total."""
        await self.serve_http(reader, writer, lambda _: "1")

    async def serve_http(self, reader, writer, answer):
        try:
            while request := await reader.readline():
                while (await reader.readline()).strip():
                    pass
                if b"timeout_ms=" in request:
                    await self.wait_for_change(min(60, int(request.split(b"timeout_ms=")[1].split(b" ")[0]) / 1000))
                body = answer(request)
                writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
        except ConnectionError:
            pass
        writer.close()

    async def wait_for_change(self, timeout_s):
        """Waits until a watch of the list is to be answered."""
        await asyncio.sleep(timeout_s)

    def worker_list(self, is_snapshot):
        endpoints = [{"name": f"s-{port:08x}", "address": f"{HOST}:{port}", "zone": "", "type": "", "group": 0,
                      "status": "Ready", "weight": 1.0, "since_ms": 0} for port in self.ports]
        # Names without anything behind them, as a large fleet has them in its list.
        endpoints += [{"name": f"s-{index:08x}", "address": f"{HOST}:1", "zone": "", "type": "", "group": 0,
                       "status": "Terminating", "weight": 1.0, "since_ms": 0}
                      for index in range(self.options.listed_workers - len(self.ports))]
        return {"index": 1, "snapshot": is_snapshot, "endpoints": endpoints if is_snapshot else []}

    def start_document(self, port, discovery_port, counter_port):
        return {
            "name": "rehearsed", "listen": f"{HOST}:{port}", "discovery": f"{HOST}:{discovery_port}",
            "counter": f"{HOST}:{counter_port}", "known": self.worker_list(is_snapshot=True),
            "limits": {"memory_mb": self.options.memory_mb, "sockets": 512},
            "settings": {
                "balancers": 1, "rules": {"rampTimeMs": 1000, "drainGraceMs": 250}, "registryMode": "pushed",
                "classes": [{"name": "status", "effect": "safe", "onTimeMs": 1000, "deadlineMs": CLIENT_TIMEOUT_MS}],
                "packages": [{"name": "basic", "refill": 1e6, "storeSize": 1e6}],
                "familyInfo": {"mayCount": True, "countLimitMs": 50},
                "permissions": {"cancel": True, "retryAfter": True, "sendCap": 3, "maxRetryAfterMs": 500,
                                "connectTimeoutMs": 250, "keepaliveMs": 10000, "streamsPerConn": 4}}}

    async def start_workers(self):
        """Starts the workers and returns their ports."""
        self.servers = [await asyncio.start_server(self.serve_worker, HOST, 0, backlog=512, limit=1 << 20)
                        for _ in range(WORKERS)]
        return [server.sockets[0].getsockname()[1] for server in self.servers]

    async def start(self, directory):
        servers = [await asyncio.start_server(handler, HOST, 0, backlog=512, limit=1 << 20)
                   for handler in (self.serve_discovery, self.serve_counter)]
        ports = [server.sockets[0].getsockname()[1] for server in servers]
        self.ports, self.gateway_port = await self.start_workers(), free_port()
        self.agents = servers
        path = os.path.join(directory, "start.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.start_document(self.gateway_port, ports[0], ports[1]), file)
        self.log = open(os.path.join(directory, "log"), "w", encoding="utf-8")
        self.environment = {"EDGE_CONFIG": path}
        await self.start_gateway()

    async def start_gateway(self):
        """Starts the process and waits until it is ready."""
        self.process = subprocess.Popen([self.options.gateway], env=self.environment, stdout=self.log)
        deadline = time.monotonic() + 10
        while time.monotonic() < deadline:
            try:
                reader, writer = await asyncio.open_connection(HOST, self.gateway_port)
                writer.write(b"*1\r\n$4\r\nPING\r\n")
                answer = await reader.readline()
                writer.close()
                if answer.startswith(b"+PONG"):
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        sys.exit("the gateway was not ready in time")

    def command(self):
        self.sent += 1
        call = b"%016x" % self.sent
        fields = b"c=status,t=basic,d=%d,units=1,spread=1,first=0" % CLIENT_TIMEOUT_MS
        words = [b"Q.ASK", b"00000000b4d65521", call, fields]
        return call, b"*4\r\n" + b"".join(bulk(word) for word in words)

    async def read_answer(self, reader, call):
        """Reads the answer to a call and records its outcome. Returns False if the connection has ended."""
        line = await reader.readline()
        if not line:
            return False
        if line.startswith(b"$"):
            value = (await reader.readexactly(int(line[1:]) + 2))[:-2]
            self.outcomes["value"] += 1
            self.latencies.append(time.monotonic() - self.answered_at.get(call, 0))
            if not value.startswith(b"value of " + call):
                self.faults.append(f"call {call.decode()} got another value")
        else:
            self.outcomes["busy" if line.startswith(b"-BUSY") else "failed"] += 1
        return True

    def memory_kib(self, name="VmHWM:"):
        """The peak of the process's resident memory, or another line of its status file."""
        with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
            return int(next(line for line in file if line.startswith(name)).split()[1])


def run_rehearsal(rehearsal):
    """Plays a rehearsal, prints its faults and ends this process with exit code 1 if there are any."""
    with tempfile.TemporaryDirectory() as directory:
        try:
            loop = asyncio.new_event_loop()
            loop.set_exception_handler(lambda *_: None)  # servers that are cut off at the end
            loop.run_until_complete(rehearsal.play(directory))
        finally:
            if getattr(rehearsal, "process", None) and rehearsal.process.poll() is None:
                rehearsal.process.kill()
    for fault in rehearsal.faults[:10]:
        print(fault)
    if rehearsal.faults:
        print(f"{len(rehearsal.faults)} faults")
    sys.stdout.flush()
    os._exit(1 if rehearsal.faults else 0)  # without the ends of the connections that are left
