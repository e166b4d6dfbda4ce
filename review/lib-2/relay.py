"""The front of a runner as a process of its own, which can be killed: passes bytes both ways.

    python3 relay.py HOST:PORT

It prints the address at which it listens, and forwards each connection to HOST:PORT.
"""

import asyncio
import contextlib
import sys

READ_BYTES = 65_536


async def _copy(reader, writer):
    with contextlib.suppress(OSError):
        while data := await reader.read(READ_BYTES):
            writer.write(data)
            await writer.drain()
    with contextlib.suppress(OSError):
        writer.close()


async def main():
    """Serves until the process is killed."""
    host, _, port = sys.argv[1].rpartition(":")

    async def serve(reader, writer):
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(_copy(reader, target_writer), _copy(target_reader, writer))

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    print("{}:{}".format(*server.sockets[0].getsockname()), flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
