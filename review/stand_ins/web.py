"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of the review."""

import asyncio
import json
from urllib.parse import parse_qs, urlsplit


class Request:
    """One request as the server has read it."""

    def __init__(self, method, target, headers, body):
        parts = urlsplit(target)
        self.method = method
        self.path = parts.path
        self.query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)


async def read_head(reader):
    """Reads a start line and the headers, whose names are in lower case."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines[1:] if ":" in line)
    return lines[0], {key.strip().lower(): value.strip() for key, value in pairs}


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", 0)))


async def serve(host, port, handle):
    """Serves `handle(request)`, which gives a status, a body and its type, or None to hang up."""

    async def connection(reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                answer = await handle(Request(method, target, headers, body))
                if answer is None:
                    break
                status, body, kind = answer
                head = f"HTTP/1.1 {status} X\r\ncontent-type: {kind}\r\ncontent-length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, host, port, limit=1 << 20)


def json_answer(status, value):
    return status, json.dumps(value).encode(), "application/json"


async def call(address, method, path, headers, body, limit):
    """Sends one request over a connection of its own. Gives the status, the headers and the body;
    raises ConnectionError if the connection breaks and TimeoutError if no answer comes in time."""

    async def exchange():
        host, port = address
        try:
            reader, writer = await asyncio.open_connection(host, port)
        except OSError as error:
            raise ConnectionError(str(error)) from error
        try:
            fields = {"content-type": "application/json", "content-length": str(len(body)), **headers}
            fields.setdefault("host", f"{host}:{port}")
            head = "".join(f"{key}: {value}\r\n" for key, value in fields.items())
            writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
            await writer.drain()
            line, answered = await read_head(reader)
            return int(line.split(" ")[1]), answered, await read_body(reader, answered)
        except asyncio.IncompleteReadError as error:
            raise ConnectionError("closed without an answer") from error
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), limit)
