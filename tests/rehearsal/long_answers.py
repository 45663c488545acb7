#!/usr/bin/env python3
"""Plays one real gateway whose clients pipeline calls with long answers while a worker is silent, on loopback.

Two clients send 62 calls a second each; one worker of ten falls silent after a few seconds, so the answers behind a
call there wait for as long as the client timeout. Both clients read all the time. The program prints how the calls
ended and the peak of the process's resident memory, and ends with exit code 1 if a call got no answer, if a value was
another call's, or if the process took more memory than its start document states. With --short it measures short
answers instead: calls a second in a closed loop, and the time from a worker's answer to the client.
"""

import argparse
import asyncio
import os
import time

from gateway_rehearsal import ANSWER_SLACK_S, CLIENT_TIMEOUT_MS, HOST, WORKERS, Rehearsal, read_command, run_rehearsal
from loopback import bulk

CLIENTS = 2
CALL_EVERY_S = 0.016
PIPELINED_SHORT_CALLS = 8


class LongAnswers(Rehearsal):
    """Clients that pipeline calls, and a worker that falls silent."""

    async def serve_worker(self, reader, writer):
        port = writer.get_extra_info("sockname")[1]
        self.writers.add(writer)  # keeps the connection open when its reader has ended
        while words := await read_command(reader):
            if port in self.silent_ports:
                await asyncio.Event().wait()
            if not self.options.short:
                await asyncio.sleep(0.04)
            call = words[2]
            self.served[port] += 1
            value = (b"value of " + call + b" ").ljust(self.options.value_bytes, b".")
            self.answered_at[call] = time.monotonic()
            writer.write(b"*3\r\n" + bulk(value) + b"$-1\r\n$-1\r\n")
        writer.close()

    def fall_silent(self):
        """Silences the worker that has served the most calls."""
        self.silent_ports.add(max(self.ports, key=lambda port: self.served[port]))

    async def pipelining_client(self):
        reader, writer = await asyncio.open_connection(HOST, self.gateway_port, limit=1 << 20)
        waiting = []

        async def read_answers():
            while await self.read_answer(reader, waiting[0] if waiting else b""):
                waiting.pop(0)

        reading = asyncio.ensure_future(read_answers())
        end = time.monotonic() + self.options.seconds
        while time.monotonic() < end and not reading.done():
            call, command = self.command()
            waiting.append(call)
            writer.write(command)
            await asyncio.sleep(CALL_EVERY_S)
        await asyncio.sleep(CLIENT_TIMEOUT_MS / 1000 + ANSWER_SLACK_S)
        reading.cancel()
        self.faults.extend(f"call {call.decode()} got no answer" for call in waiting)

    async def closed_loop_client(self):
        reader, writer = await asyncio.open_connection(HOST, self.gateway_port, limit=1 << 20)
        end = time.monotonic() + self.options.seconds
        while time.monotonic() < end:
            calls = [self.command() for _ in range(PIPELINED_SHORT_CALLS)]
            writer.write(b"".join(command for _, command in calls))
            for call, _ in calls:
                if not await self.read_answer(reader, call):
                    self.faults.append("a connection was closed")
                    return

    async def play(self, directory):
        await self.start(directory)
        idle_kib = self.memory_kib()
        if not self.options.short:
            asyncio.get_running_loop().call_later(2, self.fall_silent)
        client = self.closed_loop_client if self.options.short else self.pipelining_client
        await asyncio.gather(*(client() for _ in range(CLIENTS)))
        peak_kib = self.memory_kib()
        with open(f"/proc/{self.process.pid}/stat", encoding="ascii") as file:
            processor_s = sum(int(ticks) for ticks in file.read().split()[13:15]) / os.sysconf("SC_CLK_TCK")
        self.process.terminate()
        self.process.wait()
        if peak_kib > self.options.memory_mb * 1024:
            self.faults.append(f"{peak_kib} KiB resident, {self.options.memory_mb} MiB allowed")
        latencies = sorted(self.latencies) or [0]
        print(f"memory_mb {self.options.memory_mb}: {self.sent} calls, {self.outcomes}, "
              f"peak {peak_kib} KiB ({idle_kib} KiB when ready), processor {processor_s:.2f} s, "
              f"{self.outcomes['value'] / self.options.seconds:.0f} values a second, worker's answer to client: "
              f"median {1000 * latencies[len(latencies) // 2]:.2f} ms, "
              f"p99 {1000 * latencies[len(latencies) * 99 // 100]:.2f} ms")


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("gateway", help="the program")
    parser.add_argument("--memory-mb", type=int, default=32)
    parser.add_argument("--value-bytes", type=int, default=60000)
    parser.add_argument("--listed-workers", type=int, default=WORKERS)
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--short", action="store_true", help="measure short answers")
    options = parser.parse_args()
    if options.short:
        options.value_bytes = 16
    run_rehearsal(LongAnswers(options))


if __name__ == "__main__":
    main()
