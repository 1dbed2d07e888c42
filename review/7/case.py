"""Clients that read a download slowly, around a SIGHUP of the machine that serves them."""

import asyncio
import os
import signal
import socket
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins2 as standins

HOST = "replays.example"
# LOST: a machine closes kept connections on which a request has been passed on, more than three times.
ALLOWED_CLOSES = 3
BODY = bytes(range(256)) * 2000
CLIENTS = 6
DEADLINE_MS = 10000
# How long a client of the case does not read, once, after the first part of a download.
PAUSE = 4.0


async def download(case, machine, number, pause):
    """A first small request on a kept connection, then a download that is read with a pause."""
    loop = asyncio.get_running_loop()
    connection = socket.socket()
    connection.setblocking(False)
    await loop.sock_connect(connection, (machine.address, machine.front))
    for part, path in enumerate(("/replays/small", "/replays/full")):
        identity = f"c{number}-{part}"
        headers = {"Host": HOST, "X-Request-Id": identity, "X-Deadline-Ms": str(DEADLINE_MS)}
        sent_at = case.record.now()
        case.record.write("sent", id=identity)
        await loop.sock_sendall(connection, standins.encode_request(f"GET {path}", headers))
        received = b""
        ended = "complete"
        while True:
            head, separator, rest = received.partition(b"\r\n\r\n")
            if separator:
                fields = head.decode("latin-1").lower()
                length = int(fields.split("content-length:")[1].split("\r\n")[0])
                if len(rest) >= length:
                    break
                if part == 1 and pause:
                    await asyncio.sleep(pause)
                    pause = 0
            try:
                data = await loop.sock_recv(connection, 16384)
            except ConnectionError as error:
                data, ended = b"", repr(error)
            if not data:
                ended = ended if ended != "complete" else "end of the connection"
                break
            received += data
        case.record.write("answered", id=identity, ended=ended, head=received[:15].decode("latin-1"),
                          body_bytes=len(received.partition(b"\r\n\r\n")[2]),
                          after=round(case.record.now() - sent_at, 3))
        if ended != "complete":
            connection.close()
            return False
    connection.close()
    return True


async def play(case):
    servers = [standins.Server(case, f"i-replays-{number}", "replays", body=BODY) for number in range(4)]
    await case.start([standins.route(HOST, "replays", "download", "/replays/", "replays", timeout="8000ms",
                                     target="1500ms")],
                     [standins.cluster("replays")], 2, servers)
    await asyncio.sleep(4)
    machine = case.machines[0]
    pause = PAUSE if standins.trouble() else 0
    work = [case.spawn(download(case, machine, number, pause)) for number in range(CLIENTS)]
    await asyncio.sleep(1)
    # Planned work: the requests were sent less than the bound of a reload before it ends.
    machine.send_signal(signal.SIGHUP)
    results = await asyncio.gather(*work)
    cut = results.count(False)
    print(cut, "of", len(results), "downloads cut")
    return cut > ALLOWED_CLOSES


standins.run_case(__file__, play)
