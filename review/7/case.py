"""Some long requests and answers must not drive the gateway over its limit on memory."""
import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from parts2 import Client, Counter, Discovery, Gateway, Worker, run_case, served

MEMORY_MB, SOCKETS = 32, 512
CONNECTIONS = 126        # clients hold at most a third of the descriptors
CALLS_PER_SECOND = 130
LONG_BYTES = 64 * 1024   # a value holds at most 64 KiB
LONG_SHARE = 0.1
PLAY_SECONDS = 90


async def case(run):
    chance = random.Random(7)

    async def serve(attempt, line):
        await asyncio.sleep(0.1)
        is_long = len(attempt.words[4]) == LONG_BYTES
        return served(f"{attempt.ident} by {attempt.worker.name}".ljust(LONG_BYTES if is_long else 200, "."))

    discovery, counter = await Discovery(run).start(), await Counter(run).start()
    for number in range(10):
        discovery.put(await Worker(run, f"w{number}", serve).start())
    gateway = await Gateway(run, discovery, counter, memory_mb=MEMORY_MB, sockets=SOCKETS).start()
    breaks, calls = [], []

    async def watch_memory():
        """The platform: over memory_mb the gateway is killed."""
        logged, peak = 0.0, 0.0
        while gateway.process.returncode is None:
            for line in Path(f"/proc/{gateway.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    peak = max(peak, float(line.split()[1]) / 1024)
            if peak > logged + 1:
                logged = peak
                run.log(f"the gateway has {peak:.1f} MB of memory")
            if peak > MEMORY_MB:
                unanswered = sum(call.answer is None for call in calls)
                breaks.append(f"the gateway has {peak:.1f} MB of memory, its limit is {MEMORY_MB}; it is killed, and "
                              f"{unanswered} requests get no answer")
                return gateway.signal(signal.SIGKILL)
            await asyncio.sleep(0.05)

    watching = asyncio.create_task(watch_memory())
    clients = [None] * CONNECTIONS  # connected when they are needed, and again if the gateway has closed them
    while run.now() < PLAY_SECONDS and not breaks:
        is_long = run.has_trouble and chance.random() < LONG_SHARE
        number = chance.randrange(CONNECTIONS)
        if clients[number] is None or clients[number].ended_by_gateway_at is not None:
            clients[number] = (await Client(run, gateway, f"client{number}").connect()).read_on()
        calls.append(clients[number].send("submit", customer=chance.randrange(1, 1 << 30),
                                          body="b" * (LONG_BYTES if is_long else 200)))
        await asyncio.sleep(chance.expovariate(CALLS_PER_SECOND))
    await asyncio.sleep(0 if breaks else 5)
    watching.cancel()
    for client in filter(None, clients):
        client.close()
    kinds = {}
    for call in calls:
        kinds[call.answer and call.answer[0]] = kinds.get(call.answer and call.answer[0], 0) + 1
    run.log(f"{len(calls)} requests: {kinds}")
    return breaks


run_case(Path(__file__).parent, case)
