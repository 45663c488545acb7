#!/usr/bin/env python3
"""The rest of the world for one gatekeeper, to try it by hand: two workers, discovery and a counter.

Nothing here measures anything or stands for real machines. It serves on 127.0.0.1 only:
workers on 7001 and 7002, discovery on 8500, the counter on 6400. End it with Ctrl-C.
"""
import asyncio
import json
import re
import time

WORKERS = {"w-1": 7001, "w-2": 7002}
counts = {}


async def read_command(reader):
    head = await reader.readline()
    if not head.startswith(b"*"):
        return None
    words = []
    for _ in range(int(head[1:])):
        size = int((await reader.readline())[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


def worker(name):
    async def serve(reader, writer):
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
    return serve


async def http(reader, writer, answer):
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


async def discovery(target):
    if wait := re.search(r"since=1&timeout_ms=(\d+)", target):
        await asyncio.sleep(int(wait[1]) / 1000)
        return "200 OK", json.dumps({"index": 1, "snapshot": False, "endpoints": []})
    endpoints = [{"name": name, "address": f"127.0.0.1:{port}", "zone": "north", "type": "small", "group": 0,
                  "status": "Ready", "weight": 1.0, "since_ms": 0} for name, port in WORKERS.items()]
    return "200 OK", json.dumps({"index": 1, "snapshot": True, "endpoints": endpoints})


async def counter(target):
    call = re.fullmatch(r"/v2/numbers/([^?]{1,64})\?delta=([^&]+)&life_ms=(\d+)", target)
    if not call:
        return "400 Bad Request", ""
    total, ends = counts.get(call[1], (0.0, 0.0))
    if ends < time.monotonic():
        total, ends = 0.0, time.monotonic() + min(int(call[3]), 60000) / 1000
    counts[call[1]] = (total + float(call[2]), ends)
    return "200 OK", f"{counts[call[1]][0]:.7g}"


async def main():
    for name, port in WORKERS.items():
        await asyncio.start_server(worker(name), "127.0.0.1", port)
    await asyncio.start_server(lambda r, w: http(r, w, discovery), "127.0.0.1", 8500)
    await asyncio.start_server(lambda r, w: http(r, w, counter), "127.0.0.1", 6400)
    print("workers on 7001 and 7002, discovery on 8500, counter on 6400")
    await asyncio.Event().wait()


if __name__ == "__main__":
    try:
        asyncio.run(main())
    except KeyboardInterrupt:
        pass
