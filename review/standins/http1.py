"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of the review cases."""

import asyncio
import itertools


class Request:
    """Head and body of a request that a server received."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def header(self, name):
        return self.headers.get(name, "")


async def read_head(reader):
    """Reads a head; returns its first line and its headers by lower-case name, or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    """Yields the chunks of a chunked body."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_body(reader, headers):
    """Reads a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return b"".join([chunk async for chunk in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", "0")))


def head(status, headers):
    """Encodes the head of a response."""
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def response(status, headers=(), body=b""):
    """Encodes a response with a length."""
    return head(status, [*headers, ("Content-Length", len(body))]) + body


class Server:
    """Accepts connections; `handle(request, writer)` writes each response.

    `handle` returns False to close the connection after the response. It is cancelled when the
    caller closes the connection.
    """

    def __init__(self, handle):
        self.handle = handle
        self.writers = set()
        self.server = None
        self.port = 0

    async def start(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.connection, host, port, limit=1 << 22, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]

    def crash(self):
        """Closes the listener and resets every connection, as the end of the process does."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def connection(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort() if writer.is_closing() else writer.close()

    async def serve(self, reader, writer):
        while True:
            found = await read_head(reader)
            if found is None:
                return
            (method, target, _), headers = found[0].split(" ", 2), found[1]
            body = await read_body(reader, headers)
            request = Request(method, target, headers, body)
            run = asyncio.ensure_future(self.handle(request, writer))
            closed = asyncio.ensure_future(self.closed(reader, writer))
            done, _ = await asyncio.wait({run, closed}, return_when=asyncio.FIRST_COMPLETED)
            closed.cancel()
            if run not in done:
                run.cancel()
                await asyncio.gather(run, return_exceptions=True)
                return
            if run.result() is False:
                await writer.drain()
                return
            await writer.drain()

    @staticmethod
    async def closed(reader, writer):
        """Returns once the caller has closed the connection."""
        while not reader.at_eof() and not writer.transport.is_closing():
            await asyncio.sleep(0.01)


class Reply:
    """What a client got: `status` 0 where no response arrived."""

    def __init__(self, status, headers, body, whole, error=""):
        self.status = status
        self.headers = headers
        self.body = body
        self.whole = whole
        self.error = error


async def send(address, method, target, headers, body=b"", timeout=5.0):
    """Sends one request on a new connection and reads its response."""
    try:
        async with asyncio.timeout(timeout):
            return await exchange(address, method, target, headers, body)
    except TimeoutError:
        return Reply(0, {}, b"", False, "timeout")
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        return Reply(0, {}, b"", False, type(error).__name__)


async def exchange(address, method, target, headers, body):
    connection = await Connection.open(address)
    try:
        return await connection.exchange(method, target, headers, body)
    finally:
        connection.close()


class Connection:
    """A connection of a client, which may be kept for further requests."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.answered = 0
        self.used = 0.0
        self.open = True

    @classmethod
    async def open(cls, address):
        host, port = address.rsplit(":", 1)
        return cls(*await asyncio.open_connection(host, int(port), limit=1 << 22))

    def close(self):
        self.open = False
        self.writer.transport.abort()

    async def exchange(self, method, target, headers, body):
        """Sends one request and reads its response."""
        lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        found = await read_head(self.reader)
        if found is None:
            self.close()
            return Reply(0, {}, b"", False, "closed without a response")
        status, answered = int(found[0].split(" ")[1]), found[1]
        got = bytearray()
        try:
            if answered.get("transfer-encoding", "").lower() == "chunked":
                async for chunk in read_chunks(self.reader):
                    got += chunk
            else:
                got += await read_body(self.reader, answered)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
            self.close()
            return Reply(status, answered, bytes(got), False, type(error).__name__)
        self.answered += 1
        if answered.get("connection", "").lower() == "close":
            self.close()
        return Reply(status, answered, bytes(got), True)


IDS = itertools.count(1)


def request_id(prefix):
    """Returns an id that no other request of this process has."""
    return f"{prefix}{next(IDS):08x}"
