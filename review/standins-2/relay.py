"""Passes the bytes of TCP connections on, over segments of the size that networks have.

relay.py PORT: listens on a free port of 127.0.0.1, prints it, and connects each caller with 127.0.0.1:PORT. The loopback
interface takes segments of 64 KB, so that a socket there buffers megabytes; with 1,460 bytes it buffers as on a network.
An end of either side is passed on as an end, a reset as a reset.
"""
import select
import socket
import struct
import sys
import threading


LIMIT = 16384


def reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def step(pairs, held, ended):
    """Waits for either side and passes on what can be passed on; returns whether bytes may still come."""
    reading = [s for s, t in pairs if not ended[s] and len(held[t]) < LIMIT]
    writing = [t for s, t in pairs if held[t]]
    if not reading and not writing:
        return False
    readable, writable, _ = select.select(reading, writing, [])
    for source, target in pairs:
        if source in readable:
            data = source.recv(16384)
            held[target] += data
            ended[source] = not data
        if target in writable and held[target]:
            del held[target][: target.send(held[target])]
        if ended[source] and not held[target] and not ended.get((source, target)):
            ended[(source, target)] = True
            target.shutdown(socket.SHUT_WR)
    return True


def serve(caller, port):
    server = socket.socket()
    server.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
    server.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, LIMIT)
    server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, LIMIT)
    try:
        server.connect(("127.0.0.1", port))
    except OSError:
        reset(caller)
        return
    for s in (caller, server):
        s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        s.setblocking(False)
    pairs = ((caller, server), (server, caller))
    held = {caller: bytearray(), server: bytearray()}
    ended = {caller: False, server: False}
    try:
        while step(pairs, held, ended):
            pass
        caller.close()
        server.close()
    except OSError:
        reset(caller)
        reset(server)


def main():
    listener = socket.socket()
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, LIMIT)
    listener.bind(("127.0.0.1", 0))
    listener.listen(500)
    print(listener.getsockname()[1], flush=True)
    while True:
        caller, _ = listener.accept()
        threading.Thread(target=serve, args=(caller, int(sys.argv[1])), daemon=True).start()


main()
