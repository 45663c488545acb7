#!/usr/bin/env python3
"""Minimal servers for trying one gateway by hand: two workers, discovery and the counter.

They listen on 127.0.0.1 only: the workers on ports 7001 and 7002, discovery on 8500, the counter on 6400.
They are no model of real servers, so nothing measured against them is meaningful. Ctrl-C ends them.
"""
import asyncio
import json
import re
import time

WORKERS = {"w-1": 7001, "w-2": 7002}
counts = {}  # by name: (total, time at which the count expires)


async def read_command(reader):
    """Reads a RESP2 command and returns its words; None at the end of input or if it is no array."""
    header = await reader.readline()
    if not header.startswith(b"*"):
        return None
    words = []
    for _ in range(int(header[1:])):
        size = int((await reader.readline())[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


def make_worker(name):
    """Returns the connection handler of a worker that answers API calls after 0.1 s, with queue length 0."""
    async def handle(reader, writer):
        while words := await read_command(reader):
            if words[0] in (b"Q.ASK", b"Q.DO"):
                await asyncio.sleep(0.1)
                value = f"{words[2].decode()} done by {name}".encode()
                load = b"queue=0"
                writer.write(b"*3\r\n$%d\r\n%s\r\n$-1\r\n$%d\r\n%s\r\n" % (len(value), value, len(load), load))
            elif words[0] == b"PING":
                writer.write(b"+PONG\r\n")
            else:
                writer.write(b"-ERR unknown command\r\n")
            await writer.drain()
        writer.close()
    return handle


async def serve_http(reader, writer, answer):
    """Serves HTTP requests on a connection; answer(target) returns the status code with reason, and the body."""
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


async def answer_discovery(target):
    """Returns the list of workers, which never changes; a request for changes is held until its timeout."""
    if poll := re.search(r"since=1&timeout_ms=(\d+)", target):
        await asyncio.sleep(int(poll[1]) / 1000)
        return "200 OK", json.dumps({"index": 1, "snapshot": False, "endpoints": []})
    endpoints = [{"name": name, "address": f"127.0.0.1:{port}", "zone": "north", "type": "small", "group": 0,
                  "status": "Ready", "weight": 1.0, "since_ms": 0} for name, port in WORKERS.items()]
    return "200 OK", json.dumps({"index": 1, "snapshot": True, "endpoints": endpoints})


async def answer_counter(target):
    """Adds to a count and returns its total. A count lives for at most 60 s from its first addition."""
    match = re.fullmatch(r"/v2/numbers/([^?]{1,64})\?delta=([^&]+)&life_ms=(\d+)", target)
    if not match:
        return "400 Bad Request", ""
    total, expires_at = counts.get(match[1], (0.0, 0.0))
    if expires_at < time.monotonic():
        total, expires_at = 0.0, time.monotonic() + min(int(match[3]), 60000) / 1000
    counts[match[1]] = (total + float(match[2]), expires_at)
    return "200 OK", f"{counts[match[1]][0]:.7g}"


async def main():
    for name, port in WORKERS.items():
        await asyncio.start_server(make_worker(name), "127.0.0.1", port)
    await asyncio.start_server(lambda r, w: serve_http(r, w, answer_discovery), "127.0.0.1", 8500)
    await asyncio.start_server(lambda r, w: serve_http(r, w, answer_counter), "127.0.0.1", 6400)
    print("workers on 7001 and 7002, discovery on 8500, counter on 6400")
    await asyncio.Event().wait()


if __name__ == "__main__":
    try:
        asyncio.run(main())
    except KeyboardInterrupt:
        pass
