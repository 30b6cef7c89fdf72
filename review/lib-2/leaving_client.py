"""A bad client: it opens a connection, sends hundreds of requests and takes each back, goes, and comes again.

Usage: leaving_client.py PORT CONNECTIONS REQUESTS. It sends at full speed, reads what it receives, never has more than one
request open, and uses each stream once. What it sends comes again on every twentieth connection. It ends after that number of connections.
"""

import os
import socket
import sys
import threading
import time


def fields(values: dict[str, str]) -> bytes:
    out = bytes([len(values)])
    for name, value in values.items():
        out += bytes([len(name)]) + name.encode() + len(value).to_bytes(2, "big") + value.encode()
    return out


def frame(kind: int, stream: int, payload: bytes = b"") -> bytes:
    return (5 + len(payload)).to_bytes(4, "big") + bytes([kind]) + stream.to_bytes(4, "big") + payload


def requests(count: int) -> bytes:
    """Return requests with new ids, each followed by type 9."""
    out = []
    for stream in range(1, count + 1):
        values = {"route": "video-part", "trace": os.urandom(8).hex(), "patience": "2000", "part": "0", "group": "0",
                  "entity": f"{stream % 50:016x}", "size": "40.0"}
        out += [frame(7, stream, fields(values)), frame(9, stream)]
    return b"".join(out)


def read_all(sock: socket.socket) -> None:
    try:
        while sock.recv(65536):
            pass
    except OSError:
        pass


def main() -> None:
    port, connections, count = map(int, sys.argv[1:])
    outputs = [requests(count) for _ in range(20)]  # made before, so that nothing slows the client down
    begin, done = time.monotonic(), 0
    while done < connections and time.monotonic() < begin + 20:
        output = outputs[done % len(outputs)]  # the same again, after a while
        try:
            with socket.create_connection(("127.0.0.1", port), 5) as sock:
                threading.Thread(target=read_all, args=(sock,), daemon=True).start()
                sock.sendall(output)
        except OSError:
            time.sleep(0.01)
            continue
        done += 1
    print(f"{done} connections in {time.monotonic() - begin:.2f} s, {len(output)} bytes on each")


main()
