"""A small HTTP/1.1 reader and writer for the stand-ins."""

import asyncio


async def read_message(reader):
    """Return the start line, the headers in lower case and the body of a message."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = text.split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding") == "chunked":
        return start, headers, await read_chunks(reader)
    length = int(headers.get("content-length", 0))
    return start, headers, await reader.readexactly(length)


async def read_chunks(reader):
    """Return the content of a chunked body."""
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
    return body


def encode(start, headers, body=b""):
    """Return an encoded message with a length."""
    lines = [start]
    for name, value in {**headers, "Content-Length": len(body)}.items():
        lines.append(f"{name}: {value}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def ask(address, port, method, path, headers, limit_s=10.0, body=b""):
    """Send a request on a new connection; return status, headers and body.

    The status is 0 if the connection ends without an answer.
    """
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(address, port)
            try:
                writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
                start, found, content = await read_message(reader)
            finally:
                writer.close()
    except (OSError, EOFError, TimeoutError) as error:
        return 0, {}, repr(error).encode()
    return int(start.split(" ")[1]), found, content
