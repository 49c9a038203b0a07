"""A worker of the application service, as a process of its own. It says its port on standard output."""
import asyncio
import sys

from standins import Worker

WORK_S = 0.1


class NoStore:
    """The case writes the worker's entry itself."""

    async def put(self, topic, key, value):
        pass


class Log:
    def write(self, text):
        print(text, flush=True)


async def run(worker, request, headers, body, writer):
    await asyncio.sleep(WORK_S)
    writer.write(worker.head(request, {"Content-Length": 2}) + b"ok")
    await writer.drain()
    return True


async def main():
    worker = await Worker(NoStore(), "aviso-app", sys.argv[1], Log(), run).start()
    print(f"port {worker.port}", flush=True)
    await asyncio.Event().wait()


asyncio.run(main())
