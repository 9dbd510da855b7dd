"""Stand-ins for the peers of one real sidecar, as the protocol page describes them: discovery, the platform's control
service, pods and clients. Each test of this folder starts the sidecar with the line `run` of deploy/balancer.toml.

Only the standard library is used. Every address is a loopback address, every port is one that the system gave.
"""

import asyncio
import contextlib
import ctypes
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
MS = 1_000_000
SECOND = 1_000 * MS


class CouldNotRun(Exception):
    """The case says nothing about the rule: something that it needs did not happen."""


class Record:
    """What was sent, answered and run, one line each, with the milliseconds since the test began."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now_ms(self):
        return (time.monotonic() - self.began) * 1000

    def write(self, who, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now_ms():10.1f} ms  {who:<12} {what} {text}\n")
        self.file.flush()


def deploy_line(name):
    """Reads one command of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        found = re.search(rf'^{name}\s*=\s*"(.*)"\s*$', file.read(), re.M)
    if not found:
        raise CouldNotRun(f"the deploy file has no line {name}")
    return found.group(1)


def entry(pod, health="active", build=41, born_ms=0):
    """The entry of a pod in discovery's list."""
    return {
        "host": pod.name, "dial": f"127.0.0.1:{pod.port}", "site": "a", "class": "std-core", "block": 3,
        "health": health, "share": 1.0, "born_ms": born_ms, "revision_no": build,
    }


def settings(classes, second_copies=False, zones=("a",), instances=2, drain_grace_ms=2000):
    """The settings of a small deployment; the figures are those of the site file that the case names."""
    return {
        "azs": list(zones), "locality": zones[0], "skus": ["std-core"], "classes": classes, "instances": instances,
        "rank": 0, "discovery": "automatic", "family": "rollout", "loadReport": {"how": "silent", "columns": []},
        "familyInfo": {
            "control": "first_voice", "counts": "all", "exposureWindowNs": 4 * SECOND, "free": 1.0,
            "mostShares": [0.14, 0.49, 1.0], "shares": [0.1, 0.35, 1.0], "oneWay": False, "style": "replace",
            "noesNeeded": 1, "toAdvance": 1, "ballotTtlNs": 4 * SECOND, "callTimeoutNs": 1200 * MS, "votesPerS": 25.0,
            "shielded": 0,
        },
        "limits": {
            "connIdleNs": 30 * SECOND, "dialTimeoutNs": 250 * MS, "maxAttempts": 4, "mayCancel": True,
            "secondCopies": second_copies, "retryAfter": True, "probing": True, "maxRetryAfterNs": 500 * MS,
        },
        "rules": {
            "coldShare": 0.31, "drainGraceNs": drain_grace_ms * MS, "fallMultiple": 2.5, "fallNs": 2 * SECOND,
            "warmUpNs": 5 * SECOND, "answerSlackNs": 20 * MS, "mustAskInNs": 10 * SECOND,
        },
        "orgs": [],
    }


def route_class(name, semantics, aim_ms, deadline_ms, worth=1.0, late=0.0, window_ms=5000):
    return {
        "name": name, "semantics": semantics, "onTimeNs": aim_ms * MS, "giveUpNs": deadline_ms * MS,
        "windowNs": window_ms * MS, "worth": worth, "lateValue": late, "stream": False, "keyScope": "all",
    }


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def close(writer):
    writer.close()
    with contextlib.suppress(Exception):
        await writer.wait_closed()


class Server:
    """A listener on loopback that ends its connections with itself."""

    def __init__(self, record, name):
        self.record, self.name = record, name
        self.server = None
        self.port = None
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def stop(self):
        self.server.close()
        for task in list(self.tasks):
            task.cancel()


class Discovery(Server):
    """The agent of discovery on the sidecar's machine. `answer_after` is how long a new watch waits for its answer."""

    def __init__(self, record, seq, hosts):
        super().__init__(record, "discovery")
        self.seq, self.hosts = seq, {host["host"]: host for host in hosts}
        self.answer_after = 0.0
        self.silent = False
        self.watches = set()
        self.changed = asyncio.Condition()
        self.delivered = []

    async def update(self, hosts):
        """Changes entries and tells the open watches."""
        async with self.changed:
            self.seq += 1
            for host in hosts:
                self.hosts[host["host"]] = host
            self.record.write(self.name, "has a change", seq=self.seq,
                              hosts=",".join(f"{host['host']}:{host['health']}" for host in hosts))
            self.changed.notify_all()

    def whole_list(self):
        hosts = [host for host in self.hosts.values() if host["health"] != "left"]
        return {"seq": self.seq, "whole": True, "hosts": hosts}

    async def serve(self, reader, writer):
        line, _ = await read_head(reader)
        target = line.split(" ")[1]
        since = re.search(r"since=(\d+)", target)
        since = int(since.group(1)) if since else None
        self.record.write(self.name, "a watch is asked for", target=target)
        if "follow=1" not in target:
            body = json.dumps(self.whole_list()).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            await writer.drain()
            return
        watcher = asyncio.ensure_future(reader.read(1))
        try:
            if self.answer_after:
                done, _ = await asyncio.wait([watcher], timeout=self.answer_after)
                if done:
                    self.record.write(self.name, "a watch was closed unanswered", target=target)
                    return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            known = None
            while not watcher.done():
                if known != self.seq:
                    known = self.seq
                    self._chunk(writer, json.dumps(self.whole_list()) + "\n")
                    self.record.write(self.name, "wrote a list", seq=known)
                    self.delivered.append((time.monotonic(), known))
                else:
                    self._chunk(writer, "\n")
                await writer.drain()
                async with self.changed:
                    with contextlib.suppress(asyncio.TimeoutError):
                        await asyncio.wait_for(self.changed.wait_for(lambda: self.seq != known), 2.0)
        finally:
            watcher.cancel()

    @staticmethod
    def _chunk(writer, text):
        data = text.encode()
        writer.write(b"%x\r\n" % len(data) + data + b"\r\n")


class Platform(Server):
    """The platform's control service: one released build."""

    def __init__(self, record, build=41):
        super().__init__(record, "platform")
        self.state = {"image": build, "ring": 2, "progress": "stable", "ceiling": 1.0, "lag_ms": 600_000}

    async def serve(self, reader, writer):
        pinger = None
        try:
            while line := await reader.readline():
                call = json.loads(line)
                if call["method"] == "follow":
                    self._line(writer, {"jsonrpc": "2.0", "id": call["id"], "result": True})
                    self._line(writer, {"jsonrpc": "2.0", "method": "progress", "params": self.state})
                    pinger = asyncio.ensure_future(self._ping(writer))
                else:
                    self._line(writer, {"jsonrpc": "2.0", "id": call["id"], "result": self.state})
                await writer.drain()
        finally:
            if pinger:
                pinger.cancel()

    async def _ping(self, writer):
        while True:
            await asyncio.sleep(1)
            self._line(writer, {"jsonrpc": "2.0", "method": "ping"})
            await writer.drain()

    @staticmethod
    def _line(writer, message):
        writer.write(json.dumps(message).encode() + b"\n")


class Pod(Server):
    """A pod. It answers each request with its own name and the request's id, after `work_ms`; while `hangs` is set it
    takes requests and answers none."""

    def __init__(self, record, name, work_ms=5):
        super().__init__(record, name)
        self.work_ms, self.hangs = work_ms, False
        self.got = []

    async def serve(self, reader, writer):
        while True:
            line, headers = await read_head(reader)
            body = await reader.readexactly(int(headers.get("content-length", 0)))
            id = headers.get("x-correlation-id")
            self.got.append((time.monotonic(), id))
            self.record.write(self.name, "got", line=line.rsplit(" ", 1)[0].replace(" ", "_"), id=id,
                              body_bytes=len(body), time_left_ms=headers.get("x-time-left-ms"), hangs=self.hangs)
            if id is None:
                writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                continue
            if self.hangs:
                await asyncio.sleep(3600)
            await asyncio.sleep(self.work_ms / 1000)
            answer = f"{self.name} {id}".encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(answer) + answer)
            await writer.drain()
            self.record.write(self.name, "ran and answered", id=id)


class Answer:
    """What came back for a request. `status` is None where the connection ended without a whole answer."""

    def __init__(self, status, body, took_ms, how):
        self.status, self.body, self.took_ms, self.how = status, body, took_ms, how


class Client:
    """A client's connection to the sidecar."""

    def __init__(self, record, name, port):
        self.record, self.name, self.port = record, name, port
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        # Nothing is left behind in the process: after a drain the system has every byte.
        self.writer.transport.set_write_buffer_limits(0)
        self.record.write(self.name, "connected")
        return self

    def is_closed(self):
        return self.reader.at_eof() or self.writer.is_closing()

    async def send(self, method, path, id, left_ms, body=b"", key=None, pause=0.0):
        """Writes one request; `pause` is the time between its head and its body."""
        head = f"{method} {path} HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id}\r\nX-Time-Left-Ms: {left_ms}\r\n"
        if key:
            head += f"Idempotency-Key: {key}\r\n"
        if method != "GET":
            head += f"Content-Length: {len(body)}\r\n"
        self.writer.write(head.encode() + b"\r\n")
        if pause:
            await self.writer.drain()
            await asyncio.sleep(pause)
        self.writer.write(body)
        await self.writer.drain()
        self.record.write(self.name, "sent", line=f"{method}_{path}", id=id, time_left_ms=left_ms, body_bytes=len(body))

    async def answer(self, id, limit):
        """Waits for the answer to the request just sent."""
        began = time.monotonic()
        try:
            status, body = await asyncio.wait_for(self._read_answer(), limit)
            result = Answer(status, body, (time.monotonic() - began) * 1000, "answered")
        except asyncio.TimeoutError:
            result = Answer(None, b"", (time.monotonic() - began) * 1000, "no answer in time")
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            how = "connection reset" if isinstance(error, ConnectionError) else "connection closed"
            result = Answer(None, b"", (time.monotonic() - began) * 1000, f"{how} without an answer")
        self.record.write(self.name, "answer", id=id, status=result.status, body=result.body[:60],
                          took_ms=round(result.took_ms), how=result.how.replace(" ", "_"))
        return result

    async def _read_answer(self):
        line, headers = await read_head(self.reader)
        body = await self.reader.readexactly(int(headers.get("content-length", 0)))
        return int(line.split(" ")[1]), body

    async def close(self):
        await close(self.writer)


class Sidecar:
    """The sidecar under test, a process of its own."""

    def __init__(self, record, config):
        self.record, self.config = record, config
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.path = os.path.join(self.folder, "config.json")
        self.process = None
        self.port = None
        self.log = open(os.path.join(self.folder, "log"), "w", encoding="utf-8")

    def write_config(self):
        part = self.path + ".new"
        with open(part, "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        os.replace(part, self.path)

    async def start(self):
        self.port = free_port()
        self.config["listen"] = f"127.0.0.1:{self.port}"
        self.write_config()
        temporary = os.path.join(self.folder, "tmp")
        os.makedirs(temporary, exist_ok=True)
        environment = {
            "PATH": os.environ["PATH"], "TMPDIR": temporary, "PROXY_CONFIG": self.path, "PROXY_NAME": self.config["name"],
            "PROXY_LISTEN": self.config["listen"], "PROXY_DISCOVERY": self.config["discovery"],
        }
        self.process = subprocess.Popen(["/bin/sh", "-c", deploy_line("run")], cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log,
                                        preexec_fn=end_with_parent)
        self.record.write("sidecar", "started", pid=self.process.pid)
        for _ in range(200):
            if self.process.poll() is not None:
                raise CouldNotRun("the sidecar ended at its start: " + self.read_log()[-500:])
            if await self.is_ready():
                self.record.write("sidecar", "ready")
                return self
            await asyncio.sleep(0.05)
        raise CouldNotRun("the sidecar was not ready in 10 s")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return False
        try:
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
            line, _ = await read_head(reader)
            return " 200 " in line
        except (ConnectionError, asyncio.IncompleteReadError):
            return False
        finally:
            await close(writer)

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)
        self.record.write("sidecar", "signal", sent=signal.Signals(number).name)

    def memory_kb(self, field):
        """Reads a field of the process's memory status; None once it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
                found = re.search(rf"^{field}:\s+(\d+) kB", file.read(), re.M)
            return int(found.group(1)) if found else None
        except OSError:
            return None

    def read_log(self):
        with open(os.path.join(self.folder, "log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.log.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def end_with_parent():
    """Has the kernel end the process should the test itself be killed."""
    PR_SET_PDEATHSIG = 1
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def configuration(discovery, platform, pods, chosen_settings, memory_mb=64, sockets=256):
    return {
        "name": "n0", "listen": "", "discovery": discovery.address, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "deployer": {"address": platform.address, "news": platform.state},
        "known": {"seq": discovery.seq, "whole": True, "hosts": [entry(pod) for pod in pods]},
        "settings": chosen_settings,
    }


def end_early(number, _):
    """Ends the test by an exception, so that it still ends what it started."""
    raise CouldNotRun(f"the test was told to end by {signal.Signals(number).name}")


def run_case(folder, case, limit_s=110):
    """Runs a case and exits: 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, end_early)
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("test", "begins", trouble=trouble)
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, trouble), limit_s))
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as error:  # whatever goes wrong in the test itself says nothing about the rule
        record.write("test", f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        sys.exit(COULD_NOT_RUN)
    for line in broken:
        record.write("test", "BROKEN: " + line)
        print("broken: " + line)
    if not broken:
        record.write("test", "the rule held")
        print("the rule held")
    sys.exit(BROKEN if broken else HELD)
