"""Bad clients send part of a request in small pieces and stay. The sidecar must stay within its memory limit."""

import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from rig import *

MEMORY_MB = 64  # scored days have 32 to 192
SOCKETS = 256  # the fewest on scored days
BAD_CLIENTS = 70
STATED_BODY = 64 << 10  # the most that the protocol has
PIECE = 32
USUAL_CLIENTS = 8
RUN_S = 8.0


def bad_connection(port, number):
    """Connects a bad client and writes the head of a request whose body is within the protocol's limit."""
    bad = socket.create_connection(("127.0.0.1", port))
    bad.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    head = (f"POST /reindex HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: bad-{number}\r\nX-Time-Left-Ms: 3000\r\n"
            f"Idempotency-Key: bad-key-{number}\r\nContent-Length: {STATED_BODY}\r\n\r\n")
    bad.sendall(head.encode())
    return bad


def send_half_requests(record, port, stop):
    """Opens the bad connections and writes all but the last piece of each body, a piece at a time and at full speed.
    Then the clients stop and stay."""
    connections = [bad_connection(port, number) for number in range(BAD_CLIENTS)]
    record.write("bad clients", "connected", count=len(connections))
    sent = 0
    try:
        while sent < STATED_BODY - PIECE and not stop.is_set():
            for connection in connections:
                connection.sendall(b"x" * PIECE)
            sent += PIECE
    except OSError as error:
        record.write("bad clients", "a connection ended", error=type(error).__name__)
    record.write("bad clients", "stopped within their bodies", sent_bytes_each=sent, stated_bytes_each=STATED_BODY)
    for connection in connections:
        threading.Thread(target=read_and_stay, args=(connection, stop), daemon=True).start()
    stop.wait(4)
    stop.set()


def read_and_stay(connection, stop):
    """Reads what the client is sent until the sidecar closes or the test ends."""
    connection.settimeout(0.2)
    while not stop.is_set():
        try:
            if not connection.recv(4096):
                break
        except TimeoutError:
            continue
        except OSError:
            break
    connection.close()


async def use_as_usual(record, sidecar, number, until, answers):
    """A usual client: one request at a time on a kept connection."""
    client, count = None, 0
    while time.monotonic() < until:
        count += 1
        id = f"usual-{number}-{count}"
        try:
            if client is None or client.is_closed():
                client = await Client(record, f"client-{number}", sidecar.port).connect()
            if count % 2:
                await client.send("GET", "/query/a", id, 2000)
            else:
                await client.send("POST", "/reindex/a", id, 3000, b"y" * 500, key=f"key-{number}-{count}")
            answer = await client.answer(id, 3.5)
        except OSError:
            answer = Answer(None, b"", 0, "no connection")
        answers.append((id, answer))
        if answer.status is None:
            return
        await asyncio.sleep(0.2)


async def case(record, trouble):
    pods = [await Pod(record, f"s-{number}").start() for number in range(4)]
    discovery = await Discovery(record, 41, [entry(pod) for pod in pods]).start()
    platform = await Platform(record).start()
    classes = [route_class("query", "free", 800, 2000), route_class("reindex", "guarded", 1200, 3000, 5.0, window_ms=6000)]
    chosen = settings(classes, second_copies=True, instances=3, drain_grace_ms=500)
    sidecar = Sidecar(record, configuration(discovery, platform, pods, chosen, MEMORY_MB, SOCKETS))
    stop = threading.Event()
    broken, answers, peak = [], [], 0
    try:
        await sidecar.start()
        until = time.monotonic() + RUN_S
        usual = [asyncio.ensure_future(use_as_usual(record, sidecar, number, until, answers))
                 for number in range(USUAL_CLIENTS)]
        await asyncio.sleep(1)
        if trouble:
            bad = asyncio.ensure_future(asyncio.to_thread(send_half_requests, record, sidecar.port, stop))
        while time.monotonic() < until:
            # Only memory that no file backs: the platform counts files as well, so this is the lowest reading.
            used = sidecar.memory_kb("RssAnon")
            if used is None:
                if sidecar.process.poll() is None:
                    raise CouldNotRun("the system does not tell the memory of a process")
                broken.append(f"the sidecar ended by itself, status {sidecar.process.poll()}")
                break
            if used > peak:
                peak = used
                record.write("platform", "reads the sidecar's memory", used_kb=used, limit_kb=MEMORY_MB * 1024)
            if used > MEMORY_MB * 1024:
                broken.append(f"the sidecar uses {used} kB, its limit is {MEMORY_MB * 1024} kB: the platform kills it")
                sidecar.signal(signal.SIGKILL)
                break
            await asyncio.sleep(0.01)
        await asyncio.gather(*usual)
        stop.set()
        if trouble:
            await bad
    finally:
        stop.set()
        sidecar.stop()
    unanswered = [id for id, answer in answers if answer.status is None]
    served = [id for id, answer in answers if answer.status == 200]
    record.write("test", "usual clients", served=len(served), unanswered=len(unanswered), peak_kb=peak)
    print(f"peak {peak} kB; usual requests served {len(served)}, unanswered {len(unanswered)}")
    if not served:
        raise CouldNotRun("no usual request was served")
    return broken


run_case(os.path.dirname(os.path.abspath(__file__)), case)
