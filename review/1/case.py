"""Hundreds of requests at once, each within the protocol's limits. The sidecar must stay within its memory limit."""

import collections
import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from rig import *

MEMORY_MB, SOCKETS = 48, 672  # what the operators' bench gave the sidecars on a day of the site
CLIENTS = 200  # under a third of the descriptors, the usual clients counted
BODY = 64 << 10  # "No body exceeds 64 KiB"
SEGMENT = 1460  # what a segment carries on an Ethernet link
ROUND_PAUSE_S = CLIENTS * (SEGMENT + 78) * 8 / 1e9  # that link has 1 Gbit/s, and all clients send at full speed
LEFT_MS = 3000
USUAL_CLIENTS = 8
RUN_S = 10.0


def client_connection(port):
    connection = socket.create_connection(("127.0.0.1", port))
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def whole_request(number):
    head = (f"POST /reindex/a HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: burst-{number}\r\nX-Time-Left-Ms: {LEFT_MS}\r\n"
            f"Idempotency-Key: burst-key-{number}\r\nContent-Length: {BODY}\r\n\r\n")
    return head.encode() + b"x" * BODY


def read_status(connection):
    """Returns the status of the answer, or how the connection ended without one."""
    connection.settimeout(LEFT_MS / 1000 + 0.5)
    try:
        data = connection.recv(4096)
        return data[9:12].decode() if data else "closed"
    except OSError as error:
        return type(error).__name__


def send_at_once(record, port, numbers):
    """Sends one request on each of as many connections, a segment at a time, and reads the answers."""
    requests = {number: whole_request(number) for number in numbers}
    connections = {number: client_connection(port) for number in numbers}
    record.write("clients", "connected", count=len(connections))
    position, ended = 0, collections.Counter()
    while position < max(map(len, requests.values())):
        for number, connection in list(connections.items()):
            try:
                connection.sendall(requests[number][position:position + SEGMENT])
            except OSError as error:
                ended[type(error).__name__ + " while it wrote"] += 1
                del connections[number]
        position += SEGMENT
        time.sleep(ROUND_PAUSE_S * len(numbers) / CLIENTS)
    record.write("clients", "wrote their requests", count=len(connections), bytes_each=position)
    for connection in connections.values():
        ended[read_status(connection)] += 1
        connection.close()
    record.write("clients", "answers", **{name.replace(" ", "_"): count for name, count in ended.items()})
    return ended


def send_requests(record, port, trouble, answers):
    """The same requests: at once, or one after the other."""
    if trouble:
        answers.update(send_at_once(record, port, range(CLIENTS)))
        return
    with contextlib.suppress(OSError):
        for number in range(CLIENTS):
            answers.update(send_at_once(record, port, [number]))


async def use_as_usual(record, sidecar, number, until, answers):
    """A usual client: one request at a time on a kept connection."""
    client, count = None, 0
    while time.monotonic() < until:
        count += 1
        id = f"usual-{number}-{count}"
        try:
            if client is None or client.is_closed():
                client = await Client(record, f"client-{number}", sidecar.port).connect()
            await client.send("GET", "/query/a", id, 2000)
            answer = await client.answer(id, 2.5)
        except OSError:
            answer = Answer(None, b"", 0, "no connection")
        answers.append(answer.status)
        if answer.status is None:
            return
        await asyncio.sleep(0.2)


async def case(record, trouble):
    pods = [await Pod(record, f"s-{number}", work_ms=20).start() for number in range(15)]
    discovery = await Discovery(record, 41, [entry(pod) for pod in pods]).start()
    platform = await Platform(record).start()
    classes = [route_class("query", "free", 800, 2000),
               route_class("reindex", "guarded", 1200, LEFT_MS, 5.0, window_ms=6000)]
    chosen = settings(classes, second_copies=True, instances=3, drain_grace_ms=500)
    sidecar = Sidecar(record, configuration(discovery, platform, pods, chosen, MEMORY_MB, SOCKETS))
    broken, usual_answers, answers, peak, limit = [], [], collections.Counter(), 0, MEMORY_MB * 1024
    try:
        await sidecar.start()
        until = time.monotonic() + RUN_S
        usual = [asyncio.ensure_future(use_as_usual(record, sidecar, number, until, usual_answers))
                 for number in range(USUAL_CLIENTS)]
        await asyncio.sleep(1)
        sending = asyncio.ensure_future(asyncio.to_thread(send_requests, record, sidecar.port, trouble, answers))
        while time.monotonic() < until or not sending.done():
            # Only memory that no file backs: the platform counts files as well, so this is the lowest reading.
            used = sidecar.memory_kb("RssAnon")
            if used is None:
                if sidecar.process.poll() is None:
                    raise CouldNotRun("the system does not tell the memory of a process")
                broken.append(f"the sidecar ended by itself, status {sidecar.process.poll()}")
                break
            if used > peak:
                peak = used
                record.write("platform", "reads the sidecar's memory", used_kb=used, limit_kb=limit)
            if used > limit and not os.environ.get("NO_KILL"):
                broken.append(f"the sidecar uses {used} kB, its limit is {limit} kB: the platform kills it")
                sidecar.signal(signal.SIGKILL)
                break
            await asyncio.sleep(0.005)
        await asyncio.gather(*usual)
        await sending
    finally:
        sidecar.stop()
    record.write("test", "ends", peak_kb=peak, usual_served=usual_answers.count(200))
    print(f"peak {peak} kB of {limit}; requests sent {CLIENTS}: {dict(answers)}; usual requests {len(usual_answers)}, "
          f"served {usual_answers.count(200)}")
    if not usual_answers.count(200):
        raise CouldNotRun("no usual request was served")
    return broken


run_case(os.path.dirname(os.path.abspath(__file__)), case)
