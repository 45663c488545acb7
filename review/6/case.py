"""A request that its worker drops without a word, for lack of time, must not get the answer to the one behind it."""
import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from parts2 import Client, Counter, Discovery, Gateway, Worker, run_case, served

PLAY_SECONDS = 60
BURST, BURST_SECONDS = 140, 0.5  # 280 requests a second, in bursts
WORK_SECONDS = 0.1              # the mean
LITTLE_MS, LITTLE_SHARE = 40, 0.1
SOCKETS, WORKERS = 256, 20


async def case(run):
    chance = random.Random(6)
    runs = {}

    async def serve(attempt, line):
        work = chance.expovariate(1 / WORK_SECONDS)
        if run.has_trouble and attempt.left_ms <= LITTLE_MS and work * 1000 > attempt.left_ms:
            run.log(f"{attempt.worker.name} drops {attempt.ident} without a word")
            return None
        runs[attempt.ident] = runs.get(attempt.ident, 0) + 1
        await asyncio.sleep(work)
        return served(f"{attempt.ident} by {attempt.worker.name}")

    discovery, counter = await Discovery(run).start(), await Counter(run).start()
    for number in range(WORKERS):
        discovery.put(await Worker(run, f"w{number}", serve).start())
    gateway = await Gateway(run, discovery, counter, sockets=SOCKETS).start()
    clients = [(await Client(run, gateway, f"client{number}").connect()).read_on() for number in range(7)]
    calls = []
    end = run.now() + PLAY_SECONDS
    while run.now() < end:
        for number in range(BURST):
            route = chance.choices(["status", "submit", "dispatch"], [0.44, 0.36, 0.2])[0]
            little = chance.random() < LITTLE_SHARE
            calls.append(clients[number % 7].send(route, customer=chance.randrange(1, 500),
                                                  deadline_ms=LITTLE_MS if little else 4000))
        await asyncio.sleep(BURST_SECONDS)
    await asyncio.sleep(5)
    for client in clients:
        client.close()
    kinds = {}
    for call in calls:
        kinds[call.answer and call.answer[0]] = kinds.get(call.answer and call.answer[0], 0) + 1
    run.log(f"{len(calls)} requests: {kinds}")
    breaks = [f"dispatch {call.ident} ran {runs[call.ident]} times" for call in calls
              if call.route == "dispatch" and runs.get(call.ident, 0) > 1]
    return breaks + [f"{call.route} {call.ident} was answered with the value of another request: {call.answer[1]}"
                     for call in calls
                     if call.answer and call.answer[0] == "served" and not call.answer[1].startswith(call.ident)]


run_case(Path(__file__).parent, case)
