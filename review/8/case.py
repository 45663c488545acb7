"""A planned restart must not cost a client the answers that it has not read yet."""
import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from parts2 import Client, Counter, Discovery, Gateway, Worker, run_case, served

CALLS = 16
VALUE_BYTES = 60 * 1024       # a value holds at most 64 KiB
READ_BYTES_PER_SECOND = 320 * 1024
PAUSE_SECONDS = 0.25          # between two requests on the connection
# The earliest time for SIGKILL is the longest deadline, counted as 3 s, plus 0.7 s after SIGTERM.
KILL_AFTER_SECONDS = 3.7


async def case(run):
    async def serve(attempt, line):
        await asyncio.sleep(0.1)
        return served(attempt.ident.ljust(VALUE_BYTES, "."))

    discovery, counter = await Discovery(run).start(), await Counter(run).start()
    for number in range(4):
        discovery.put(await Worker(run, f"w{number}", serve).start())
    gateway = await Gateway(run, discovery, counter).start()
    client = await Client(run, gateway, "client").connect()
    calls = [client.send("status", customer=1 + number) for number in range(CALLS)]

    async def read_slowly():
        """Takes some seconds for the answers, in pieces, as a slow peer does."""
        try:
            while True:
                size = len(client.input)
                await client.read_some(16 * 1024)
                await asyncio.sleep((len(client.input) - size) / READ_BYTES_PER_SECOND)
        except OSError as error:
            client.ended_by_gateway_at = run.now()
            run.log(f"client: {error}, after {len(client.input)} bytes")

    reading = asyncio.create_task(read_slowly())
    client.tasks.append(reading)
    await asyncio.sleep(0.6)  # all answers are made
    if run.has_trouble:
        gateway.signal(signal.SIGTERM)
    stopped_at = run.now()
    # Clients go on using the connections that they have for as long as these stay open.
    while run.now() < stopped_at + KILL_AFTER_SECONDS and not reading.done():
        client.send("status", customer=100)
        await asyncio.sleep(PAUSE_SECONDS)
    await asyncio.wait([reading], timeout=1)
    breaks = []
    for call in calls:
        is_begun = call.ident.encode() in client.input
        is_whole = call.ident.ljust(VALUE_BYTES, ".").encode() in client.input
        run.log(f"{call.ident}: {'served' if is_whole else 'answer begun' if is_begun else 'no answer'}")
        if not is_begun:
            breaks.append(f"status {call.ident}, sent before SIGTERM, never got an answer")
    client.close()
    return breaks


run_case(Path(__file__).parent, case)
