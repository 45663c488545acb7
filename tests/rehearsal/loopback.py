"""Sockets on loopback and RESP2 encoding, for the rehearsals."""

import os
import random
import socket
import sys
import time


def listen():
    """Returns a listening socket on a free port that does not block."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(512)
    listener.setblocking(False)
    return listener


def port_of(listener):
    return listener.getsockname()[1]


def free_port():
    """A free port below those that the system gives to other sockets."""
    for port in random.Random(os.getpid() + time.monotonic_ns()).sample(range(20000, 32000), 100):
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue
    sys.exit("no free port")


def send(sock, data):
    """Sends all of the data, waiting if necessary. A connection that has ended is left to its reader."""
    try:
        sock.setblocking(True)
        sock.sendall(data)
        sock.setblocking(False)
    except OSError:
        pass


def bulk(text):
    """Encodes a RESP2 bulk string."""
    return b"$%d\r\n%s\r\n" % (len(text), text)
