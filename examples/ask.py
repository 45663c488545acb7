#!/usr/bin/env python3
"""One API call to the gatekeeper of examples/start.json, or its counters: ask.py ROUTE PLAN | ask.py INFO."""
import socket
import sys


def command(*words):
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


def main():
    if len(sys.argv) == 2:
        text = command(sys.argv[1].encode())
    else:
        route, plan = (sys.argv[1:] + ["status", "basic"][len(sys.argv) - 1:])[:2]
        verb = b"Q.ASK" if route == "status" else b"Q.DO"
        names = f"c={route},t={plan},d=1000,units=1,spread=1,first=0"
        text = command(verb, b"00000000b4d65521", b"%016x" % id(object()), names.encode())
    with socket.create_connection(("127.0.0.1", 6379), timeout=3) as gatekeeper:
        gatekeeper.sendall(text)
        print(gatekeeper.recv(65536).decode(), end="")


if __name__ == "__main__":
    main()
