"""Nothing may be sent for a client that has closed its connection, though it had sent many commands at once."""
import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from parts2 import Client, Counter, Discovery, Gateway, Worker, run_case, served

COMMANDS = 600
ROUNDS = 8
CLOSE_SLACK = 0.1 + 0.05  # an attempt begins at most 0.1 s after the close; each limit is 50 ms longer on sockets


async def case(run):
    first_of = {}

    async def serve(attempt, line):
        # The first request of a client fails after 0.8 s, as a worker's request may; all others take 0.1 s.
        if attempt.ident in first_of and first_of[attempt.ident] is None:
            first_of[attempt.ident] = attempt
            await asyncio.sleep(0.8)
            return b"-ERR failed\r\n"
        await asyncio.sleep(0.1)
        return served(f"{attempt.ident} by {attempt.worker.name}")

    discovery, counter = await Discovery(run).start(), await Counter(run).start()
    workers = [await Worker(run, f"w{number}", serve).start() for number in range(4)]
    for worker in workers:
        discovery.put(worker)
    gateway = await Gateway(run, discovery, counter).start()
    clients = []
    for number in range(ROUNDS):
        client = (await Client(run, gateway, f"client{number}").connect()).read_on()
        clients.append(client)
        ident = f"{number:016x}"
        first_of[ident] = None
        client.calls = [client.send("status", customer=1 + index, ident=ident if index == 0 else None)
                        for index in range(COMMANDS)]
        await asyncio.sleep(0.3)
        if run.has_trouble:
            client.close()
        await asyncio.sleep(2.5)
        if not run.has_trouble:
            run.log(f"{client.name} has {sum(call.answer is not None for call in client.calls)} answers")
    owner = {call.ident: client for client in clients for call in client.calls}
    breaks = []
    for worker in workers:
        for attempt in worker.attempts:
            closed_at = owner[attempt.ident].closed_at
            if closed_at is not None and attempt.came_at > closed_at + CLOSE_SLACK:
                breaks.append(f"{worker.name} got {attempt.route} {attempt.ident} {attempt.came_at - closed_at:.3f} s after "
                              f"its client had closed the connection")
    return breaks


run_case(Path(__file__).parent, case)
