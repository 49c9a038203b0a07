"""All workers of a service crash at once and start again. Later all nodes are killed and start again: the final fault."""
import asyncio
import os
import signal
import sys
import tempfile
import time

from standins import HOST, Node, Record, Store, configuration, message, read_body, read_head

HERE = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WORKERS = 3
NODES = 3
REQUESTS_PER_S = 75
# One request in eight asks for an account of its own; the others read the same summary.
OWN_EVERY = 8
DEADLINE_MS = 1_500
CRASH_AT_S = 11.0
# Below the largest `for_s` of srv_crash in the site file, 4.5 s.
DOWN_S = 3.4
# An entry goes after three heartbeats of silence.
LAPSE_S = 3.6
KILL_AT_S = 16.0
NODES_DOWN_S = 1.5
RECOVERY_S = 12
LENGTH_S = 42.0


class WorkerProcess:
    def __init__(self, name, store, record):
        self.name, self.store, self.record, self.process = name, store, record, None

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, os.path.join(HERE, "worker.py"), self.name, stdout=asyncio.subprocess.PIPE
        )
        port = (await self.process.stdout.readline()).decode().split()[1]
        entry = {
            "service": "aviso-app", "address": f"{HOST}:{port}", "zone": "bilbao-a", "version": "v1",
            "slotCount": 6, "state": "ready", "coldLeftMs": 0, "callSeq": 0,
        }
        await self.store.put("keyed.servers", self.name, entry)
        self.record.write(f"worker {self.name} started at port {port}")
        asyncio.create_task(self.copy_lines())

    async def copy_lines(self):
        while line := await self.process.stdout.readline():
            self.record.write(line.decode().strip())

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def call(node, path, request):
    """Sends a request over a new connection; returns the status, or the way in which the connection ended."""
    writer = None
    try:
        reader, writer = await asyncio.open_connection(HOST, node.callers)
        names = {"Host": "aviso.example", "Havenstage-Request-Id": request, "Havenstage-Deadline-Ms": DEADLINE_MS}
        writer.write(message(f"POST {path} HTTP/1.1", names, b"{}"))
        first_line, headers = await asyncio.wait_for(read_head(reader), DEADLINE_MS / 1000)
        await asyncio.wait_for(read_body(reader, headers), DEADLINE_MS / 1000)
        return int(first_line.split()[1])
    except asyncio.TimeoutError:
        return "deadline"
    except (OSError, asyncio.IncompleteReadError):
        return "no answer"
    finally:
        if writer:
            writer.close()


async def crash(workers, store, record):
    """All workers of the service crash at once; other processes take their place."""
    await asyncio.sleep(CRASH_AT_S)
    record.write("all workers crash")
    old = list(workers)
    for worker in old:
        worker.process.kill()
    await asyncio.sleep(DOWN_S)
    for number in range(WORKERS):
        worker = WorkerProcess(f"i-b{number}", store, record)
        workers.append(worker)
        await worker.start()
    await asyncio.sleep(LAPSE_S - DOWN_S)
    for worker in old:
        await store.remove("keyed.servers", worker.name)


async def final_fault(nodes, record):
    """All processes of the system are killed and start again. Returns when they are back."""
    await asyncio.sleep(KILL_AT_S)
    record.write("final fault: all nodes are killed")
    for node in nodes:
        node.signal(signal.SIGKILL)
    await asyncio.sleep(NODES_DOWN_S)
    for node in nodes:
        await node.start()
    return time.monotonic()


def share(answers):
    return sum(status == 200 for status in answers) / max(1, len(answers))


async def play(folder, record):
    store = await Store().start()
    workers = [WorkerProcess(f"i-a{number}", store, record) for number in range(WORKERS)]
    nodes = []
    try:
        for worker in list(workers):
            await worker.start()
        route = {
            "name": "status", "host": "aviso.example", "pathPrefix": "/status/", "kind": "idempotent",
            "timeoutMs": DEADLINE_MS, "targetMs": 150, "priority": 2, "service": "aviso-app", "attempts": 4,
        }
        await store.put("keyed.op", "config", configuration(1, [route], ["aviso-app"]))
        nodes = [Node(f"front-bilbao-a-{number + 1}", store, folder, record) for number in range(NODES)]
        for node in nodes:
            await node.start()
        for node in nodes:
            if not await node.wait_until_ready():
                return 2
        began = time.monotonic()
        fault = asyncio.create_task(final_fault(nodes, record))
        crashing = asyncio.create_task(crash(workers, store, record)) if TROUBLE else None
        answers, calls, count = [], [], 0

        async def one(number):
            path = f"/status/account-{number}" if number % OWN_EVERY == 0 else "/status/summary"
            request, sent = f"5e{number:014x}", time.monotonic()
            status = await call(nodes[number % NODES], path, request)
            answers.append((sent, status))
            record.write(f"client {request} {path}: sent at {sent - began:.3f} s, {status}")

        while time.monotonic() < began + LENGTH_S:
            count += 1
            calls.append(asyncio.create_task(one(count)))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*calls)
        returned = await fault
        if crashing:
            await crashing
        if any(node.process.returncode is not None for node in nodes):
            return 2
        before = [status for sent, status in answers if sent < began + KILL_AT_S]
        after = [status for sent, status in answers if sent > returned + RECOVERY_S]
        result = (
            f"served before the final fault: {share(before):.3f} of {len(before)}; "
            f"later than {RECOVERY_S} s after it: {share(after):.3f} of {len(after)}"
        )
        record.write(result)
        print(result)
        return 1 if share(before) >= 0.25 > share(after) else 0
    finally:
        for process in nodes + workers:
            await process.end()


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    # So that all processes are ended too when the script runs out of time.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    with tempfile.TemporaryDirectory() as folder:
        try:
            sys.exit(asyncio.run(asyncio.wait_for(play(folder, record), 110)))
        except Exception as error:  # A fault of the script says nothing about the rule.
            record.write(f"the case could not run: {error!r}")
            sys.exit(2)


main()
