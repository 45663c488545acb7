#!/usr/bin/env python3
"""Sends one command to the gateway that examples/start.json configures, and prints its answer.

usage: ask.py ROUTE PLAN   sends an API call on a route (status, submit, dispatch) and a plan (basic, open)
       ask.py              the same as: ask.py status basic
       ask.py COMMAND      sends a command without arguments (PING, INFO)
"""
import socket
import sys


def encode_command(*words):
    """Returns the RESP2 array that carries a command and its arguments."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


def main():
    if len(sys.argv) == 2:
        request = encode_command(sys.argv[1].encode())
    else:
        route, plan = (sys.argv[1:] + ["status", "basic"][len(sys.argv) - 1:])[:2]
        # Calls of idempotent routes need Q.ASK, all others Q.DO; of the example routes, status is idempotent.
        verb = b"Q.ASK" if route == "status" else b"Q.DO"
        fields = f"c={route},t={plan},d=1000,units=1,spread=1,first=0"
        # Arguments: the customer, the id of the call (an object's address, so it seldom repeats), the fields.
        request = encode_command(verb, b"00000000b4d65521", b"%016x" % id(object()), fields.encode())
    with socket.create_connection(("127.0.0.1", 6379), timeout=3) as gateway:
        gateway.sendall(request)
        print(gateway.recv(65536).decode(), end="")


if __name__ == "__main__":
    main()
