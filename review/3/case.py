"""Case 3: a worker falls silent while clients pipeline requests with long answers. See claim.txt."""
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins  # noqa: E402

VALUE_BYTES = 60000   # of an answer; the protocol page has 64 KiB at most
MEMORY_MB = 64        # the pages have 32 to 192 MB
SEND_EVERY_S = 0.016  # of each connection; two of them are 125 requests a second, the pages have up to 140
CONNECTIONS, GATEWAYS, WORKERS, SILENT_WORKERS = 2, 3, 10, 1
QUIET_S, SILENT_S = 4.0, 13.0


async def play(run):
    draw = random.Random(34)
    loop = asyncio.get_running_loop()
    breaches, silent, counts = [], set(), {}

    async def serve(worker, connection, words):
        run.record.line("run", words[2].decode(), "at", worker.name)
        if worker in silent:
            await asyncio.Event().wait()
        await asyncio.sleep(draw.uniform(0.03, 0.06))
        return standins.good_answer((b"value of " + words[2] + b" ").ljust(VALUE_BYTES, b"."))

    workers = [standins.Worker(index, serve) for index in range(WORKERS)]
    await run.start_servers(workers)
    gateways = [standins.Gateway(run, rank, GATEWAYS, memory_mb=MEMORY_MB) for rank in range(GATEWAYS)]
    for gateway in gateways:
        gateway.start()
    for gateway in gateways:
        await gateway.wait_ready()

    def fall_silent():
        for worker in workers[:SILENT_WORKERS]:
            silent.add(worker)
            run.record.line("silent", worker.name)
    if run.has_trouble:
        loop.call_later(QUIET_S, fall_silent)

    end = loop.time() + QUIET_S + SILENT_S

    async def client(gateway):
        """A client that pipelines requests of several customers and fetches its answers at once."""
        reader, writer = await asyncio.open_connection(standins.HOST, gateway.port, limit=1 << 24)
        waiting = []

        async def fetch_answers():
            while answer := await standins.read_answer(reader):
                kind, value = answer
                request = waiting.pop(0)
                counts[kind] = counts.get(kind, 0) + 1
                run.record.line("answered", request, kind, len(value), "bytes")
                if kind == "served" and not value.startswith(b"value of " + request.encode()):
                    breaches.append("request %s was served with another value" % request)
            run.record.line("connection-ended by", gateway.name, "with", len(waiting), "requests unanswered")
            breaches.extend("request %s has no answer: gateway %s ended its connection"
                            % (request, gateway.name) for request in waiting)

        fetching = asyncio.ensure_future(fetch_answers())
        while loop.time() < end and not fetching.done():
            request = run.new_id()
            waiting.append(request)
            run.record.line("sent", request, "to", gateway.name)
            fields = "c=status,t=exchange,d=4000,units=1,spread=%d,first=0" % GATEWAYS
            writer.write(standins.command("Q.ASK", "%016x" % draw.randrange(1, 100), request, fields))
            await asyncio.sleep(SEND_EVERY_S)
        await asyncio.sleep(4.6)  # the client timeout and half a second
        if not fetching.done():
            breaches.extend("request %s has no answer" % request for request in waiting)
            fetching.cancel()

    await asyncio.gather(*(client(gateway) for gateway in gateways for _ in range(CONNECTIONS)))
    run.record.line("answers", counts)
    for gateway in gateways:
        with open(gateway.log, encoding="utf-8") as log:
            for line in log:
                if "let go" in line:
                    run.record.line("log of", gateway.name, line.strip())
        with open("/proc/%d/status" % gateway.process.pid, encoding="ascii") as file:
            peak = next(line for line in file if line.startswith("VmHWM:")).split()[1:]
        run.record.line("peak memory of", gateway.name, *peak)
    if counts.get("served", 0) < 300:
        raise standins.CannotRun("too few requests were served: %s" % counts)
    return breaches


standins.main(play, __file__)
