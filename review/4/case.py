"""Requests that may run once at most, while workers are full and some send an answer a second time, late."""
import asyncio
import os
import random
import sys
import tempfile
import time

from standins import HOST, Node, Record, Store, Worker, configuration, message, read_head, read_body

HERE = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))
# The site's dose of garble with `extra late`: 0.6 of the workers, 0.03 of their answers, for 5 s at a time.
GARBLING_WORKERS = 2  # of 3: 0.6 x 3, rounded
EXTRA_SHARE = 0.03
GARBLE_S = 5.0
PAUSE_S = 1.0
ROUNDS = 12
SLOTS = 6
WORK_S = 0.2
TARGET_MS = 400
DEADLINE_MS = 1_500
FLOOD_CLIENTS = 26
NOTICES_PER_S = 48
NODES = 5


class App(Worker):
    """A worker of an application service: it runs `slots` requests at a time and turns others away."""

    def __init__(self, store, name, record, runs, draw):
        super().__init__(store, "aviso-app", name, record, None, slots=SLOTS)
        self.runs, self.draw = runs, draw
        self.running = 0
        self.is_garbling = False
        self.extra = {}

    async def answer(self, method, target, headers, body, writer):
        request = headers.get("havenstage-request-id", "")
        # One extra answer arrives late, in the place where the next answer should be.
        extra = self.extra.pop(writer, None)
        if extra:
            self.record.write(f"worker {self.name} sends the answer to {extra[0]} once more, as {request} arrives")
            writer.write(extra[1])
        if headers.get("havenstage-expect-instance", self.name) != self.name:
            answer = message("HTTP/1.1 421 Misdirected Request", {"Havenstage-Instance": self.name})
        elif self.running >= SLOTS:
            names = {"Havenstage-Request-Id": request, "Havenstage-Not-Run": "1"}
            answer = message("HTTP/1.1 503 Service Unavailable", names)
        else:
            self.runs.setdefault(request, []).append(self.name)
            if target.startswith("/notice/"):
                self.record.write(f"worker {self.name} runs {request}, run {len(self.runs[request])}")
            self.running += 1
            try:
                await asyncio.sleep(WORK_S)
            finally:
                self.running -= 1
            answer = self.head(request, {"Content-Length": 2}) + b"ok"
        writer.write(answer)
        await writer.drain()
        if self.is_garbling and self.draw.random() < EXTRA_SHARE:
            self.extra[writer] = (request, answer)
        return True


async def call(node, path, request):
    """Sends a request over a new connection; returns the status, or the way in which the connection ended."""
    writer = None
    try:
        reader, writer = await asyncio.open_connection(HOST, node.callers)
        names = {"Host": "aviso.example", "Havenstage-Request-Id": request, "Havenstage-Deadline-Ms": DEADLINE_MS}
        writer.write(message(f"POST {path} HTTP/1.1", names, b'{"plan":1}' + request.encode()))
        first_line, headers = await asyncio.wait_for(read_head(reader), DEADLINE_MS / 1000)
        await asyncio.wait_for(read_body(reader, headers), DEADLINE_MS / 1000)
        return int(first_line.split()[1])
    except asyncio.TimeoutError:
        return "deadline"
    except (OSError, asyncio.IncompleteReadError):
        return "closed"
    finally:
        if writer:
            writer.close()


async def flood(node, number, trouble):
    """A client of the lookup route that sends one request after the other."""
    count = 0
    while not trouble.done():
        count += 1
        if await call(node, "/lookup/1", f"f{number:03x}{count:012x}") != 200:
            await asyncio.sleep(0.05)


async def notice(node, request, answers, record):
    answers[request] = await call(node, "/notice/1", request)
    record.write(f"client {request}: {answers[request]}")


def route(name, prefix, kind):
    return {
        "name": name, "host": "aviso.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": DEADLINE_MS,
        "targetMs": TARGET_MS, "priority": 2, "service": "aviso-app", "attempts": 2,
    }


async def garble(workers, record):
    for _ in range(ROUNDS):
        await asyncio.sleep(PAUSE_S)
        for worker in workers[:GARBLING_WORKERS]:
            worker.is_garbling = TROUBLE
        record.write(f"garble, extra late: {'begins' if TROUBLE else 'left out'}")
        await asyncio.sleep(GARBLE_S)
        for worker in workers:
            worker.is_garbling = False
            worker.extra.clear()


async def play(folder, record):
    store = await Store().start()
    runs, answers, draw = {}, {}, random.Random(SEED)
    workers = [await App(store, f"i-aviso{number}", record, runs, draw).start() for number in range(3)]
    routes = [route("notice", "/notice/", "non_idempotent"), route("lookup", "/lookup/", "idempotent")]
    await store.put("keyed.op", "config", configuration(1, routes, ["aviso-app"]))
    nodes = [Node(f"front-bilbao-a-{number + 1}", store, folder, record) for number in range(NODES)]
    try:
        for node in nodes:
            await node.start()
        for node in nodes:
            if not await node.wait_until_ready():
                return 2
        # Longer than contactMs since the start of the processes.
        await asyncio.sleep(3.5)
        trouble = asyncio.create_task(garble(workers, record))
        clients = [asyncio.create_task(flood(nodes[0], number, trouble)) for number in range(FLOOD_CLIENTS)]
        notices, count = [], 0
        while not trouble.done():
            count += 1
            request = f"5e{count:014x}"
            record.write(f"client sends {request}")
            notices.append(asyncio.create_task(notice(nodes[1 + count % (NODES - 1)], request, answers, record)))
            await asyncio.sleep(1 / NOTICES_PER_S)
        await asyncio.gather(*notices, *clients)
        twice = [request for request in answers if len(runs.get(request, [])) > 1]
        refused = [request for request in answers if answers[request] in (429, 503) and request in runs]
        for request in twice:
            record.write(f"TWICE: {request} ran at {' and '.join(runs[request])}, answered {answers[request]}")
        for request in refused:
            record.write(f"REFUSED: {request} ran at {' and '.join(runs[request])}, answered {answers[request]}")
        statuses = {}
        for status in answers.values():
            statuses[status] = statuses.get(status, 0) + 1
        result = f"{len(answers)} requests, answers {statuses}: {len(twice)} ran twice, {len(refused)} ran and were refused"
        record.write(result)
        print(result)
        return 1 if twice or refused else 0
    finally:
        for node in nodes:
            await node.end()


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    with tempfile.TemporaryDirectory() as folder:
        try:
            sys.exit(asyncio.run(asyncio.wait_for(play(folder, record), 110)))
        except (asyncio.TimeoutError, OSError) as error:
            record.write(f"the case could not run: {error!r}")
            sys.exit(2)


main()
