"""A fleet of 3,200 pods whose list comes indented. Some of them drain; the sidecar must stop sending to them."""

import os
import random
import resource
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from rig import *

PODS, DRAINING = 3200, 800  # "3,200 at most"; the second of the site's stages is 25% of the fleet
SIDECARS = 900  # "up to 900 sidecars"
CLIENTS, PAUSE_S, DEADLINE_MS = 16, (0.2, 0.7), 2000  # some 30 requests a second
DRAIN_AT_S, END_S = 4.0, 22.0
GRACE_S = 0.5 + 0.05  # of the site, and 50 ms on sockets
TOLD_LATEST_S = 6.0  # "counts as told 6 s later at the latest, whether it arrived or not"
HELD_UP_S = 0.15  # "a sidecar that is held up for up to 0.15 s ...: the grace of drain has to cover it"; allowed here on top


class DrainingPod(Pod):
    """A pod that turns requests away once it drains, as the protocol page has it."""

    leaving = False

    async def serve(self, reader, writer):
        while True:
            line, headers = await read_head(reader)
            await reader.readexactly(int(headers.get("content-length", 0)))
            id = headers.get("x-correlation-id")
            self.got.append((time.monotonic(), id))
            self.record.write(self.name, "got", id=id, leaving=self.leaving)
            if id is None:
                writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                continue
            if self.leaving:
                writer.write(b"HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
                await writer.drain()
                continue
            await asyncio.sleep(0.08)
            answer = f"{self.name} {id}".encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(answer) + answer)
            await writer.drain()
            self.record.write(self.name, "ran and answered", id=id)


class Agent(Discovery):
    """The agent of discovery. A new watch gets the whole list at once, then each change and an empty line every 2 s."""

    indent = None

    def __init__(self, record, seq, hosts):
        super().__init__(record, seq, hosts)
        self.changes = []

    def text(self, message):
        return json.dumps(message, indent=self.indent) + "\n"

    async def change(self, hosts):
        async with self.changed:
            self.seq += 1
            for host in hosts:
                self.hosts[host["host"]] = host
            self.changes.append({"seq": self.seq, "whole": False, "hosts": hosts})
            self.record.write(self.name, "has a change", seq=self.seq, hosts=len(hosts))
            self.changed.notify_all()

    async def serve(self, reader, writer):
        line, _ = await read_head(reader)
        target = line.split(" ")[1]
        text = self.text(self.whole_list())
        self.record.write(self.name, "was asked", target=target, list_bytes=len(text))
        if "follow=1" not in target:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text.encode())
            await writer.drain()
            return
        ended = asyncio.ensure_future(reader.read(1))
        try:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            known = self.seq
            self._chunk(writer, text)
            await writer.drain()
            self.record.write(self.name, "wrote the whole list", seq=known)
            while not ended.done():
                async with self.changed:
                    with contextlib.suppress(asyncio.TimeoutError):
                        await asyncio.wait_for(self.changed.wait_for(lambda: self.seq != known), 2.0)
                    news = [change for change in self.changes if change["seq"] > known]
                for change in news:
                    known = change["seq"]
                    self._chunk(writer, self.text(change))
                    self.record.write(self.name, "wrote a change", seq=known)
                if not news:
                    self._chunk(writer, "\n")
                await writer.drain()
        finally:
            ended.cancel()
            self.record.write(self.name, "a watch ended")


def listed(pod, health="active"):
    """An entry with the names of the site: its zone, its kind of machine, and when the pod started."""
    return {"host": pod.name, "dial": f"127.0.0.1:{pod.port}", "site": "krakow-1", "class": "three-core",
            "block": pod.block, "health": health, "share": 1.0, "born_ms": pod.born_ms, "revision_no": 41}


async def use(record, sidecar, name, chance, until, answers):
    """A usual client: one request at a time on a connection that it keeps."""
    client, count = None, 0
    await asyncio.sleep(chance.random() * 0.6)
    while time.monotonic() < until:
        try:
            if client is None or client.is_closed():
                client = await Client(record, name, sidecar.port).connect()
            count += 1
            id = f"{name}-{count}"
            await client.send("GET", "/query/a", id, DEADLINE_MS)
        except ConnectionError:
            client = None
            continue
        answer = await client.answer(id, DEADLINE_MS / 1000 + 0.5)
        answers.append(answer.status)
        if answer.status is None:
            client = None
        await asyncio.sleep(chance.uniform(*PAUSE_S))


def allow_descriptors(needed):
    """Lets this test open a listener for each pod, as far as the system lets an ordinary user."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < needed:
        if hard < needed:
            raise CouldNotRun(f"the test needs {needed} descriptors, the system allows {hard}")
        resource.setrlimit(resource.RLIMIT_NOFILE, (needed, hard))


async def case(record, trouble):
    allow_descriptors(PODS + 1000)
    chance = random.Random(9)
    names = chance.sample(range(1 << 32), PODS)
    pods = []
    for number in range(PODS):
        pod = await DrainingPod(record, f"search-node-{names[number]:08x}.krakow-1").start()
        pod.block, pod.born_ms = 100 + number // 4, int(time.time() * 1000) - 3_600_000 - number
        pods.append(pod)
    agent = await Agent(record, 41, [listed(pod) for pod in pods]).start()
    if trouble:
        agent.indent = 4
    platform = await Platform(record).start()
    chosen = settings([route_class("query", "free", 800, DEADLINE_MS)], second_copies=True, zones=("krakow-1",),
                      instances=SIDECARS, drain_grace_ms=500)
    chosen["skus"] = ["three-core"]
    config = configuration(agent, platform, [], chosen)
    config["known"]["hosts"] = [listed(pod) for pod in pods]
    sidecar, answers = Sidecar(record, config), []
    try:
        await sidecar.start()
        began = time.monotonic()
        users = [asyncio.ensure_future(use(record, sidecar, f"client-{number}", random.Random(number), began + END_S,
                                           answers)) for number in range(CLIENTS)]
        await asyncio.sleep(DRAIN_AT_S)
        draining = chance.sample(pods, DRAINING)
        for pod in draining:
            pod.leaving = True
        told = time.monotonic()
        await agent.change([listed(pod, "leaving") for pod in draining])
        await asyncio.gather(*users)
        log = sidecar.read_log()
    finally:
        sidecar.stop()
    limit = told + TOLD_LATEST_S + GRACE_S + HELD_UP_S
    early = [(at, id) for pod in draining for at, id in pod.got if told + GRACE_S + HELD_UP_S < at <= limit]
    late = [(at, id, pod.name) for pod in draining for at, id in pod.got if at > limit]
    endings = [line for line in log.splitlines() if "connection ended" in line]
    if endings:
        record.write("sidecar", "log", lines_like_this=len(endings), line=endings[-1].strip())
    size = len(agent.text(agent.whole_list()))
    print(f"list {size} bytes; answers 200: {answers.count(200)} of {len(answers)}; attempts at draining pods: "
          f"{len(early)} from the grace to 6 s later, {len(late)} after that; watches that the sidecar ended: {len(endings)}")
    if not answers.count(200):
        raise CouldNotRun("no request was served")
    return [f"{id} was sent to {name} {at - told:.2f} s after discovery had told that it drains" for at, id, name in late]


run_case(os.path.dirname(os.path.abspath(__file__)), case, limit_s=115)
