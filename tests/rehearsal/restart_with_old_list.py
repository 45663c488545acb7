#!/usr/bin/env python3
"""Plays a restart of a real gateway whose cached list of workers is out of date, on loopback.

Every second worker drains, and discovery's agent knows that before the process starts. Clients connect and send
calls from the first moment on, and the process may get a small share of a core (it is stopped and continued in
turn). The program counts the calls whose first byte reaches a draining worker after the grace, and ends with exit
code 1 if there is one, if the gateway isn't ready in time, or if a call gets no answer in its time.
"""

import argparse
import json
import os
import selectors
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

from loopback import bulk, free_port, listen, port_of, send

GRACE_S = 0.25 + 0.05  # of the usual deployment, with the slack for sockets
READY_LIMIT_S = 6.0
CALL_TIMEOUT_MS = 3000
ANSWER_SLACK_S = 0.5
DUTY_PERIOD_S = 0.015
HTTP_HEADER_END = b"\r\n\r\n"
WORKER_REPLY = b"*3\r\n$2\r\nhi\r\n$-1\r\n$-1\r\n"


class Rehearsal:
    def __init__(self, options):
        self.options = options
        self.selector = selectors.DefaultSelector()
        self.actions = []  # (time, function), not sorted
        self.late_calls = []
        self.call_times = {}
        self.overdue_calls = 0
        self.answered_calls = 0
        self.sent_calls = 0
        self.ready_at = None
        self.agent_asked_at = None
        self.client = None
        self.client_input = b""
        self.workers = [listen() for _ in range(options.workers)]
        for index, listener in enumerate(self.workers):
            self.selector.register(listener, selectors.EVENT_READ, lambda l=listener, i=index: self.accept_worker(l, i))
        self.agent = listen()
        self.selector.register(self.agent, selectors.EVENT_READ, self.accept_agent)
        self.gateway_port = free_port()

    def endpoint(self, index, status):
        return {"name": f"s-{index:08x}", "address": f"127.0.0.1:{port_of(self.workers[index])}", "zone": "", "type": "", "group": 0,
                "status": status, "weight": 1.0, "since_ms": 0}

    def start(self, directory):
        indices = range(self.options.workers)
        document = {
            "name": "rehearsed", "listen": f"127.0.0.1:{self.gateway_port}",
            "discovery": f"127.0.0.1:{port_of(self.agent)}",
            "limits": {"memory_mb": 64, "sockets": 1024},
            "known": {"index": 1, "endpoints": [self.endpoint(index, "Ready") for index in indices]},
            "settings": {
                "balancers": 1, "rules": {"rampTimeMs": 1000, "drainGraceMs": 250}, "registryMode": "pushed",
                "classes": [{"name": "status", "effect": "safe", "onTimeMs": 1000, "deadlineMs": CALL_TIMEOUT_MS}],
                "packages": [{"name": "basic"}],
                "permissions": {"cancel": True, "retryAfter": True, "sendCap": 3, "maxRetryAfterMs": 500,
                                "connectTimeoutMs": 250, "keepaliveMs": 10000, "streamsPerConn": 4}}}
        path = os.path.join(directory, "start.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(document, file)
        log = open(os.path.join(directory, "log"), "w", encoding="utf-8")
        self.started_at = time.monotonic()
        self.process = subprocess.Popen([self.options.gateway], env={"EDGE_CONFIG": path}, stdout=log)
        if self.options.share < 1:
            threading.Thread(target=self.limit_processor_time, daemon=True).start()

    def limit_processor_time(self):
        while self.process.poll() is None:
            time.sleep(DUTY_PERIOD_S * self.options.share)
            self.process.send_signal(signal.SIGSTOP)
            time.sleep(DUTY_PERIOD_S * (1 - self.options.share))
            self.process.send_signal(signal.SIGCONT)

    def after(self, delay, function):
        self.actions.append((time.monotonic() + delay, function))

    # Discovery's agent

    def accept_agent(self):
        connection, _ = self.agent.accept()
        state = {"input": b""}
        self.selector.register(connection, selectors.EVENT_READ, lambda: self.read_agent(connection, state))

    def read_agent(self, connection, state):
        data = self.receive(connection)
        if not data:
            return
        state["input"] += data
        if not state["input"].endswith(HTTP_HEADER_END):
            return
        request = state["input"]
        state["input"] = b""
        since = int(request.split(b"since=")[1].split(b"&")[0]) if b"since=" in request else 0
        timeout_ms = int(request.split(b"timeout_ms=")[1].split(b" ")[0]) if b"timeout_ms=" in request else 0
        if self.options.silent:
            return
        if self.agent_asked_at is None:
            self.agent_asked_at = time.monotonic()
        if since >= 2:
            return self.after(timeout_ms / 1000, lambda: send(connection, self.list_answer([])))
        changes = [self.endpoint(index, "Terminating") for index in range(0, self.options.workers, 2)]
        answer = self.list_answer(changes)
        pieces = 20
        for piece in range(pieces):
            part = answer[piece * len(answer) // pieces:(piece + 1) * len(answer) // pieces]
            self.after(self.options.answer_s * (piece + 1) / pieces, lambda part=part: send(connection, part))

    @staticmethod
    def list_answer(changes):
        body = json.dumps({"index": 2, "snapshot": False, "endpoints": changes}).encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)

    # Workers

    def accept_worker(self, listener, index):
        try:
            connection, _ = listener.accept()
        except OSError:
            return
        connection.setblocking(False)
        self.selector.register(connection, selectors.EVENT_READ, lambda: self.read_worker(connection, index))

    def read_worker(self, connection, index):
        data = self.receive(connection)
        if not data:
            return
        age = time.monotonic() - self.started_at
        if index % 2 == 0 and age > GRACE_S and not self.options.silent:
            self.late_calls.append(age)
        for _ in range(data.count(b"first=0")):
            send(connection, WORKER_REPLY)

    # The client: one connection, calls in a row without waiting for answers

    def connect_client(self):
        client = socket.socket()
        try:
            client.connect(("127.0.0.1", self.gateway_port))
        except OSError:
            return self.after(0.005, self.connect_client)
        self.client = client
        self.selector.register(client, selectors.EVENT_READ, self.read_client)
        self.send_call()
        self.ping()

    def ping(self):
        if self.ready_at is None:
            send(self.client, b"*1\r\n$4\r\nPING\r\n")
            self.after(0.02, self.ping)

    def send_call(self):
        self.sent_calls += 1
        request_id = b"%016x" % self.sent_calls
        fields = b"c=status,t=basic,d=%d,units=1,spread=1,first=0" % CALL_TIMEOUT_MS
        one_shot = socket.socket()
        one_shot.setblocking(True)
        try:
            one_shot.connect(("127.0.0.1", self.gateway_port))
        except OSError:
            self.sent_calls -= 1
            return self.after(0.01, self.send_call)
        one_shot.sendall(b"*4\r\n" + bulk(b"Q.ASK") + bulk(b"%016x" % (self.sent_calls % 50)) + bulk(request_id) +
                         bulk(fields))
        self.call_times[request_id] = time.monotonic()
        self.selector.register(one_shot, selectors.EVENT_READ, lambda: self.read_answer(one_shot, request_id))
        self.after(1 / self.options.rate, self.send_call)

    def read_answer(self, connection, request_id):
        data = self.receive(connection)
        if data is None:
            return
        self.answered_calls += bool(data)
        waited = time.monotonic() - self.call_times.pop(request_id, time.monotonic())
        if not data or waited > CALL_TIMEOUT_MS / 1000 + ANSWER_SLACK_S:
            self.overdue_calls += 1
        if data:
            self.selector.unregister(connection)
            connection.close()

    def read_client(self):
        data = self.receive(self.client)
        self.client_input += data or b""
        if self.ready_at is None and b"+PONG" in self.client_input:
            self.ready_at = time.monotonic()

    # Sockets

    def receive(self, connection):
        """Returns the bytes read, b"" if the connection has ended, None if there are none."""
        try:
            data = connection.recv(65536)
        except BlockingIOError:
            return None
        except OSError:
            data = b""
        if not data:
            self.selector.unregister(connection)
            connection.close()
        return data

    def run(self):
        with tempfile.TemporaryDirectory() as directory:
            self.start(directory)
            self.after(0, self.connect_client)
            end = self.started_at + self.options.seconds
            while time.monotonic() < end:
                now = time.monotonic()
                due = [action for action in self.actions if action[0] <= now]
                self.actions = [action for action in self.actions if action[0] > now]
                for _, function in due:
                    function()
                next_at = min([action[0] for action in self.actions] + [end])
                for key, _ in self.selector.select(max(0.0, next_at - time.monotonic())):
                    key.data()
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        return self.report()

    def report(self):
        overdue_at = time.monotonic() - CALL_TIMEOUT_MS / 1000 - ANSWER_SLACK_S
        self.overdue_calls += sum(sent_at < overdue_at for sent_at in self.call_times.values())
        seconds = lambda moment: "never" if moment is None else f"{moment - self.started_at:.3f} s"
        first_late = f", the first after {self.late_calls[0]:.3f} s" if self.late_calls else ""
        print(f"{self.options.workers} workers, share of a core {self.options.share:.3f}, answer takes "
              f"{self.options.answer_s} s{', discovery silent' if self.options.silent else ''}: "
              f"agent asked after {seconds(self.agent_asked_at)}, ready after {seconds(self.ready_at)}, "
              f"{self.sent_calls} calls, {self.answered_calls} answered, {self.overdue_calls} without an answer in "
              f"time, {len(self.late_calls)} at draining workers after the grace{first_late}")
        is_ready_in_time = self.ready_at is not None and (
            self.ready_at - self.started_at < READY_LIMIT_S + self.options.answer_s)
        return 1 if self.late_calls or self.overdue_calls or not is_ready_in_time else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("gateway", help="path of the program")
    parser.add_argument("--workers", type=int, default=3200)
    parser.add_argument("--share", type=float, default=1.0, help="of a core for the process")
    parser.add_argument("--answer-s", type=float, default=0.0, help="seconds that the agent's answer takes to arrive")
    parser.add_argument("--silent", action="store_true", help="the agent never answers")
    parser.add_argument("--rate", type=float, default=200.0, help="calls a second")
    parser.add_argument("--seconds", type=float, default=10.0)
    sys.exit(Rehearsal(parser.parse_args()).run())


if __name__ == "__main__":
    main()
