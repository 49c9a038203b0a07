"""Stand-ins for a small deployment on loopback addresses: the platform's store, workers and clients.

The gateway itself is the project's program, started with the command of the deploy file and with the settings that
`deploy/node.toml.template` gives for a small deployment. Everything else here is Python's standard library.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join("target", "release", "havenstage-gateway")

# Values of a small deployment, as DEPLOY.md and the sheets of the small sites give them.
BOUNDS = {
    "gracePeriodS": 8, "leaseTtlMs": 3000, "thawMs": 300, "statusS": 120, "cancelMs": 3000, "drainTimeoutMs": 2000,
    "contactMs": 3000, "configApplyMs": 2000, "lossSlackMs": 200,
}
PROVIDER = {
    "parts": 8, "record_bytes": 262144, "call_bytes": 2097152, "readsPerS": 2000, "writesPerS": 800,
    "read_mb_per_s": 80.0, "append_ms": 4.0,
}
ZONES = {"zone-a": "region-1", "zone-b": "region-1", "zone-c": "region-1"}


class CannotRun(Exception):
    """The case could not be set up, which says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to a file, with seconds since the start of the script."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")

    def say(self, text):
        self.line(text)
        print(text, flush=True)

    def close(self):
        self.file.close()


# HTTP/1.1


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, self.query = target.partition("?")

    def parameter(self, name):
        for pair in self.query.split("&"):
            key, _, value = pair.partition("=")
            if key == name:
                return value
        return None


async def read_head(reader):
    """First line and headers of a message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    try:
        body = await reader.readexactly(int(head[1].get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    return Request(method, target, head[1], body)


async def read_body(reader, headers, take):
    """Reads a body as its head announces it and awaits `take(bytes)` for each piece; True if it came to its end."""
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            while True:
                left = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                if left == 0:
                    await reader.readuntil(b"\r\n")
                    return True
                await read_exactly(reader, left, take)
                await reader.readexactly(2)
        await read_exactly(reader, int(headers.get("content-length", "0")), take)
        return True
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return False


async def read_exactly(reader, left, take):
    while left > 0:
        piece = await reader.read(min(left, 16 * 1024))
        if not piece:
            raise asyncio.IncompleteReadError(b"", left)
        left -= len(piece)
        await take(piece)


def message(status, headers, body):
    reasons = {200: "OK", 202: "Accepted", 403: "Forbidden", 404: "Not Found", 409: "Conflict",
               421: "Misdirected Request", 429: "Too Many Requests", 500: "Internal Server Error",
               503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def serve(handler, ip, port=0):
    """Serves connections with `handler(reader, writer)`; returns the server and its port."""

    async def guarded(reader, writer):
        try:
            await handler(reader, writer)
        except (ConnectionError, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The other side has left, or the script ends.
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(guarded, ip, port, limit=4 * 1024 * 1024)
    return server, server.sockets[0].getsockname()[1]


# The platform's store


class Rate:
    """At most `per_s` calls in a second; the ones beyond are refused."""

    def __init__(self, per_s):
        self.per_s, self.left, self.at = per_s, float(per_s), time.monotonic()

    def allows(self):
        now = time.monotonic()
        self.left = min(self.per_s, self.left + (now - self.at) * self.per_s)
        self.at = now
        if self.left < 1:
            return False
        self.left -= 1
        return True


class Store:
    """The platform's store: a log with partitions, and keyed topics."""

    def __init__(self):
        self.records, self.locks = {}, {}
        self.changed = asyncio.Event()
        self.reads, self.writes = Rate(PROVIDER["readsPerS"]), Rate(PROVIDER["writesPerS"])

    async def start(self, ip):
        self.server, self.port = await serve(self.handle, ip)
        self.address = f"{ip}:{self.port}"

    def of(self, topic, part):
        return self.records.setdefault((topic, part), [])

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, topic, key, value):
        """What operators, trainers and workers write; an empty value removes the key."""
        key = key.encode()
        self.of(topic, 0).append(bytes([len(key)]) + key + value)
        self.wake()

    async def handle(self, reader, writer):
        while (request := await read_request(reader)) is not None:
            status, body = await self.answer(request)
            kind = "application/json" if body[:1] == b"{" else "application/octet-stream"
            writer.write(message(status, [("Content-Type", kind)], body))
            await writer.drain()

    async def answer(self, request):
        topic, part = request.parameter("topic"), int(request.parameter("part") or 0)
        if request.path == "/v1/log-append":
            if not self.writes.allows():
                return 429, b""
            if topic == "keyed.servers":
                return 403, b""
            return await self.append(topic, part, request.body)
        if not self.reads.allows():
            return 429, b""
        if request.path == "/v1/log-read":
            return await self.read(topic, part, request)
        if request.path == "/v1/log-newest":
            return 200, self.newest(topic, part, request)
        return 404, b""

    async def append(self, topic, part, body):
        async with self.locks.setdefault((topic, part), asyncio.Lock()):
            await asyncio.sleep(PROVIDER["append_ms"] / 1000)
            stored, at = self.of(topic, part), 0
            offset = len(stored)
            while at < len(body):
                length = int.from_bytes(body[at:at + 4], "big")
                stored.append(body[at + 4:at + 4 + length])
                at += 4 + length
            self.wake()
            return 200, json.dumps({"offset": offset, "end": len(stored)}).encode()

    async def read(self, topic, part, request):
        stored, start = self.of(topic, part), int(request.parameter("from"))
        limit = int(request.parameter("max_kb") or 1024) * 1024
        until = time.monotonic() + int(request.parameter("pollWaitMs") or 0) / 1000
        while len(stored) <= start and time.monotonic() < until:
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        parts, size = [], 0
        for record in stored[start:]:
            size += len(record) + 4
            if parts and size > limit:
                break
            parts.append(len(record).to_bytes(4, "big") + record)
        return 200, len(stored).to_bytes(8, "big") + (0).to_bytes(8, "big") + b"".join(parts)

    def newest(self, topic, part, request):
        stored, rows = self.of(topic, part), {}
        for offset, record in enumerate(stored):
            length = record[0]
            key, value = record[1:1 + length].decode(), record[1 + length:]
            rows.pop(key, None)
            if value:
                rows[key] = {"tlsKey": key, "value": base64.b64encode(value).decode(), "offset": offset}
        after = request.parameter("afterRev") or ""
        keys = sorted(key for key in rows if key > after)
        page = {"requests": [rows[key] for key in keys[:500]], "hasMore": len(keys) > 500, "end": len(stored)}
        return json.dumps(page).encode()


# Workers


class Worker:
    """What all stand-ins of workers share: their entry in the store, and the check of `Havenstage-Expect-Instance`."""

    def __init__(self, record, store, service, zone, name, slots):
        self.record, self.store, self.service, self.zone = record, store, service, zone
        self.name, self.slots = name, slots
        self.stamps = 0

    async def start(self, ip):
        self.server, self.port = await serve(self.handle, ip)
        self.address = f"{ip}:{self.port}"
        self.publish()

    def publish(self, state="ready"):
        entry = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                 "slotCount": self.slots, "state": state, "coldLeftMs": 0, "callSeq": 0}
        entry.update(self.more_of_entry())
        self.store.put("keyed.servers", self.name, json.dumps(entry).encode())

    def more_of_entry(self):
        return {}

    def is_for_another(self, request):
        return request.headers.get("havenstage-expect-instance", self.name) != self.name

    def stamp(self):
        self.stamps += 1
        return f"{self.name}.{self.stamps}"

    def headers(self, request):
        return [("Havenstage-Request-Id", request.headers.get("havenstage-request-id", "")),
                ("Havenstage-Server-Stamp", self.stamp())]

    async def handle(self, reader, writer):
        raise NotImplementedError


# The gateway


def render(template, values):
    """Fills a settings template as DEPLOY.md tells it, as far as this repository's template goes."""

    def find(name, scope):
        value = scope
        for part in name.split("."):
            if part.isdigit() and isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
            if value is None:
                return None
        return value

    def text(value):
        if value is None:
            return ""
        return str(value).lower() if isinstance(value, bool) else str(value)

    block = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)

    def fill_gaps(piece, scope, key, item):
        def gap(match):
            name, _, form = match.group(1).partition("|")
            value = item if name == "." else key if name == "@" else find(name, scope)
            return json.dumps(value) if form == "json" else text(value)
        return re.sub(r"\{\{([@\w.|]+)\}\}", gap, piece)

    def fill(piece):
        def one(match):
            value = find(match.group(1), values)
            if value in (None, False, [], {}):
                return ""
            entries = list(value.items()) if isinstance(value, dict) else [(0, value)]
            return "".join(fill_gaps(match.group(2), values, key, item) for key, item in entries)
        return block.sub(one, piece)

    return fill_gaps(fill(template), values, None, None)


def free_port(ip, kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def free_loopback_addresses(count):
    """Loopback addresses on which the fixed port of the deploy file's metrics is free."""
    for _ in range(50):
        base = f"127.{random.randint(64, 127)}.{random.randint(1, 250)}"
        found = [f"{base}.{number}" for number in range(10, 10 + count)]
        try:
            for ip in found:
                with socket.socket() as probe:
                    probe.bind((ip, 9464))
            return found
        except OSError:
            continue
    raise CannotRun("no free loopback address")


class Gateway:
    """A machine with one process of the gateway."""

    def __init__(self, record, folder, name, zone, ip, store_address):
        self.record, self.name, self.ip = record, name, ip
        self.front, self.ready_port = free_port(ip), free_port(ip)
        with open(os.path.join(ROOT, "deploy", "node.toml.template"), encoding="utf-8") as file:
            template = file.read()
        values = {
            "nodeName": name, "zone": zone, "bindIp": ip, "zones": ZONES, "limits": {"memoryMb": 270},
            "listen": {"front": f"{ip}:{self.front}", "ready": f"{ip}:{self.ready_port}"},
            "portRange": [free_port(ip, socket.SOCK_DGRAM)],
            "provider": dict(PROVIDER, address=store_address), "bounds": BOUNDS,
        }
        self.settings = os.path.join(folder, f"{name}.toml")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(render(template, values))
        self.log_path = os.path.join(folder, f"{name}.log")
        self.process = None

    def start(self):
        if not os.path.exists(os.path.join(ROOT, PROGRAM)):
            raise CannotRun(f"{PROGRAM} is not built")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["HAVENSTAGE_NODE_FILE"] = self.settings
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen([PROGRAM, "--settings", self.settings], cwd=ROOT, env=environment,
                                            stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.record.line(f"{self.name}: started")

    async def wait_until_ready(self, timeout=15):
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended with status {self.process.returncode}")
            try:
                reader, writer = await asyncio.open_connection(self.ip, self.ready_port)
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                if head and " 200 " in head[0] + " ":
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} did not become ready")

    def signal(self, number):
        self.record.line(f"{self.name}: signal {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self):
        """Ends the process, which this script has started."""
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Deployment:
    """The store and the machines of the gateway, each in its own zone."""

    def __init__(self, record, machines=3):
        self.record, self.count = record, machines
        self.folder = tempfile.mkdtemp(prefix="havenstage-review-")
        self.gateways = []

    async def start(self, configuration):
        addresses = free_loopback_addresses(self.count)
        self.store = Store()
        await self.store.start("127.0.0.1")
        self.store.put("keyed.op", "config", json.dumps(configuration).encode())
        for number, (ip, zone) in enumerate(zip(addresses, list(ZONES) * self.count)):
            gateway = Gateway(self.record, self.folder, f"front-{zone}-{number + 1}", zone, ip, self.store.address)
            self.gateways.append(gateway)
            gateway.start()

    async def wait_until_ready(self):
        await asyncio.gather(*(gateway.wait_until_ready() for gateway in self.gateways))

    def end(self):
        for gateway in self.gateways:
            gateway.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            os.makedirs(keep, exist_ok=True)
            for gateway in self.gateways:
                if os.path.exists(gateway.log_path):
                    shutil.copy(gateway.log_path, keep)
        shutil.rmtree(self.folder, ignore_errors=True)


LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}


def new_id():
    return f"{random.getrandbits(64):016x}"


async def ended_by_signals(work, limit_s):
    """Awaits `work`; a signal that ends the script cancels it, so that it ends what it has started."""
    task = asyncio.ensure_future(work)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await asyncio.wait_for(task, limit_s)


def run_case(record_path, case, limit_s=115):
    """Runs `case(record, has_trouble)`, which returns True if the rule held, and exits as the issue asks."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(record_path)
    record.line(f"TROUBLE={int(has_trouble)}")
    try:
        held = asyncio.run(ended_by_signals(case(record, has_trouble), limit_s))
        status = 0 if held else 1
    except (Exception, asyncio.CancelledError) as error:
        # A fault of the script must not look like a broken rule.
        record.say(f"the case could not run: {error!r}")
        status = 2
    record.say(f"exit status {status}")
    record.close()
    sys.exit(status)
