"""A worker's second answer that comes some milliseconds late must not be taken for the answer to another request."""
import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from parts2 import Client, Counter, Discovery, Gateway, Worker, run_case, served

PLAY_SECONDS = 60
CALLS_PER_SECOND = 60
# One way, in the gateway's zone and to the other; the site file's net.same_ms is 0.096 to 0.31, net.cross_ms 1.4 to 2.6.
ZONES = {"north": 0.2, "south": 2.0}
SPOILT_SHARE = 0.05
FULL_SHARE = 0.05  # of the requests find the worker's queue full
LATE_MS = (1.0, 8.0)


async def case(run):
    chance = random.Random(6)
    runs = {}

    async def serve(attempt, line):
        if chance.random() < FULL_SHARE:
            return b"-BUSY queue=20\r\n"
        runs[attempt.ident] = runs.get(attempt.ident, 0) + 1
        await asyncio.sleep(chance.uniform(0.03, 0.08))
        answer = served(f"{attempt.ident} by {attempt.worker.name}")
        # Only where nothing else waits on the connection, as the page says: neither now nor when it is sent.
        if run.has_trouble and chance.random() < SPOILT_SHARE and line.begun == line.answers + 1:
            begun = line.begun

            def send_again():
                if line.begun == begun:
                    run.log(f"{attempt.worker.name} sends the answer to {attempt.ident} once more")
                    line.send(answer)
            asyncio.get_running_loop().call_later(chance.uniform(*LATE_MS) / 1000, send_again)
        return answer

    discovery, counter = await Discovery(run).start(), await Counter(run).start()
    for number in range(4):
        zone = list(ZONES)[number % 2]
        discovery.put(await Worker(run, f"w{number}", serve, ZONES[zone], zone).start())
    gateway = await Gateway(run, discovery, counter).start()
    clients = [(await Client(run, gateway, f"client{number}").connect()).read_on() for number in range(6)]
    calls = []
    end = run.now() + PLAY_SECONDS
    while run.now() < end:
        route = chance.choices(["status", "submit", "dispatch"], [0.44, 0.36, 0.2])[0]
        calls.append(chance.choice(clients).send(route, customer=chance.randrange(1, 500)))
        await asyncio.sleep(chance.expovariate(CALLS_PER_SECOND))
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
