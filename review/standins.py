"""Stand-ins for the platform's store, engines, plain servers and clients, and the start of the
project's hosts as processes. Python's standard library only. The cases under review/ use it.

Everything listens on addresses of 127.0.0.0/8 that are drawn anew for each run."""

import asyncio
import base64
import ctypes
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import zlib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "release", "tealshore-platform")
TEMPLATE = os.path.join(ROOT, "deploy", "entry.ini.in")
HOST_NAME = "ficu95.example"
SO_ATTACH_FILTER, SO_DETACH_FILTER = 26, 27


# The exit code of a broken rule, which run.sh turns into 1: Python itself ends with 1 after errors.
BROKEN = 41


class CannotRun(Exception):
    """The case could not be set up."""


# ---- addresses -------------------------------------------------------------------------------

class Net:
    """Free addresses: one IP for each process, the same ports on all of them."""

    def __init__(self):
        for _ in range(50):
            self.prefix = "127.%d.%d." % (random.randint(16, 250), random.randint(1, 250))
            self.base = random.randint(20, 55) * 500
            if self._is_free():
                self.next_ip = itertools.count(1)
                return
        raise CannotRun("no free addresses")

    def _is_free(self):
        for last in (1, 2, 3):
            for port in range(self.base, self.base + 8):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        try:
                            probe.bind((self.prefix + str(last), port))
                        except OSError:
                            return False
        return True

    def ip(self):
        return self.prefix + str(next(self.next_ip))


# ---- HTTP ------------------------------------------------------------------------------------

async def read_head(reader):
    """Returns the first line and the headers of a message; None at the end of the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunk(reader):
    """Returns the next chunk; b"" is the last one."""
    size = int((await reader.readline()).split(b";")[0].strip() or b"x", 16)
    data = await reader.readexactly(size) if size else b""
    await reader.readline()
    return data


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    headers, body = head[1], b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        while chunk := await read_chunk(reader):
            body += chunk
    path, _, query = target.partition("?")
    return {"method": method, "path": path, "query": query, "headers": headers, "body": body}


def message(status, body=b"", headers=()):
    lines = ["HTTP/1.1 %d %s" % (status, "OK" if status < 400 else "Status")]
    lines += ["%s: %s" % pair for pair in headers]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Answer:
    """What a client got. `end` is "whole" only where HTTP/1.1 says that the answer is complete."""

    def __init__(self):
        self.status, self.headers, self.body, self.end = None, {}, b"", "no answer"
        self.started, self.ended = time.monotonic(), None


async def ask(address, method, path, headers=(), body=b"", timeout=30.0, on_data=None):
    """Sends one request on a connection of its own."""
    answer = Answer()
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(*address)
        lines = ["%s %s HTTP/1.1" % (method, path)] + ["%s: %s" % pair for pair in headers]
        if body or method == "POST":
            lines.append("Content-Length: %d" % len(body))
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        head = await read_head(reader)
        if head is None:
            answer.end = "closed without an answer"
            return
        answer.status, answer.headers = int(head[0].split(" ")[1]), head[1]
        answer.end = "broken off"
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            while chunk := await read_chunk(reader):
                answer.body += chunk
                if on_data:
                    on_data(answer)
        elif "content-length" in answer.headers:
            answer.body = await reader.readexactly(int(answer.headers["content-length"]))
        else:
            answer.body = await reader.read()
        answer.end = "whole"

    try:
        await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        answer.end = "timed out"
    except (OSError, ValueError, asyncio.IncompleteReadError) as error:
        if answer.status is None:
            answer.end = "failed: %s" % type(error).__name__
    finally:
        answer.ended = time.monotonic()
        if writer:
            writer.transport.abort()
    return answer


# ---- the platform's store --------------------------------------------------------------------

class Store:
    """The rows of the platform's store, linearizable, with one counter of versions. It can go back to
    an older copy of itself, which begins another era."""

    def __init__(self, net):
        self.address = (net.ip(), net.base)
        self.rows, self.version, self.era = {}, 500, None
        self.started = time.monotonic()
        self.changed = asyncio.Event()
        self.is_away = False
        self.last_writes = {}

    async def start(self):
        self.server = await asyncio.start_server(self._connection, *self.address)

    def write(self, table, key, value):
        """A write of the operator or of an engine; the version that it got."""
        self.last_writes[(table, key)] = value
        return self._write(table, key, value)

    def _write(self, table, key, value):
        self.version += 1
        text = None if value is None else base64.b64encode(json.dumps(value).encode()).decode()
        self.rows[(table, "", key)] = (text, self.version)
        self._wake()
        return self.version

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def copy(self):
        return dict(self.rows), self.version

    def restore(self, copy):
        self.rows, self.version = dict(copy[0]), copy[1]
        self.era = (self.era or 0) + 1
        self._wake()

    def write_again(self, tables):
        """The operator and the engines write again what is gone."""
        for (table, key), value in self.last_writes.items():
            if table not in tables:
                continue
            text = None if value is None else base64.b64encode(json.dumps(value).encode()).decode()
            if self.rows.get((table, "", key), (None, 0))[0] != text:
                self._write(table, key, value)

    async def _connection(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                if self.is_away:
                    break
                era = self.era
                status, body = await self._answer(request)
                if self.is_away or era != self.era:
                    break
                headers = [("Content-Type", "application/json")]
                if era is not None:
                    headers.append(("Store-Era", str(era)))
                writer.write(message(status, json.dumps(body).encode(), headers))
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    async def _answer(self, request):
        query = dict(pair.split("=", 1) for pair in request["query"].split("&") if "=" in pair)
        if request["path"] == "/v1/rows-get":
            start = query.get("from", "").replace("%00", "\0")
            found = [(key, row) for (table, part, key), row in self.rows.items()
                     if table == query["table"] and part == query.get("part", "")
                     and row[0] is not None and key >= start]
            found.sort(key=lambda pair: pair[0].encode())
            limit = min(int(query.get("limit", 500)), 500)
            return 200, self._page(query["table"], found[:limit], len(found) > limit)
        if request["path"] == "/v1/rows-feed":
            return await self._feed(query)
        if request["path"] == "/v1/rows-tx":
            return self._transaction(json.loads(request["body"]))
        return 404, {}

    def _page(self, table, found, more=False):
        rows = []
        for key, (value, version) in found:
            row = {"table": table, "part": "", "private_key": key, "ver": version}
            row.update({"gone": True} if value is None else {"value": value})
            rows.append(row)
        return {"rows": rows, "more": more, "ver": self.version, "now_ms": self.now_ms()}

    def now_ms(self):
        return 51_000 + (time.monotonic() - self.started) * 1000

    async def _feed(self, query):
        after, until = int(query["after_rev"]), time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if after > self.version:
                return 410, {}
            found = [(key, row) for (table, _, key), row in self.rows.items()
                     if table == query["table"] and row[1] > after]
            left = until - time.monotonic()
            if found or left <= 0:
                found.sort(key=lambda pair: pair[1][1])
                return 200, self._page(query["table"], found)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _transaction(self, call):
        name = lambda row: (row["table"], row.get("part", ""), row["private_key"])
        for row in call.get("expected_rev", []):
            if self.rows.get(name(row), (None, 0))[1] != row["ver"]:
                return 412, {"rows": [], "ver": self.version, "now_ms": self.now_ms()}
        self.version += 1
        for row in call.get("put", []):
            self.rows[name(row)] = (row["value"], self.version)
        for row in call.get("drop", []):
            self.rows[name(row)] = (None, self.version)
        self._wake()
        return 200, {"ver": self.version, "now_ms": self.now_ms()}


def configuration(version, tenants, timeout_ms=25000):
    """A configuration as the operator writes it, of the shape that `fleetbench wire` shows."""
    engines = {"slots": 24, "kv_capacity": 88000, "kv_token_bytes": 327680, "link_mbps": 1100000.0,
               "moves": True, "backups": True, "stride": 7, "most": 12, "handle_s": 4.0,
               "models": [{"name": "m"}, {"name": "m2"}]}
    return {
        "version": version,
        "routes": [
            {"name": "r-stream", "host": HOST_NAME, "path_prefix": "/stream/", "kind": "stream",
             "timeout_ms": timeout_ms, "target_latency_ms": 4500, "priority": 1, "service": "llm",
             "max_attempts": 5, "public": False, "sticky": True, "resumable": True,
             "gap_target_ms": 700},
            {"name": "r-unsafe", "host": HOST_NAME, "path_prefix": "/unsafe/", "kind": "unsafe",
             "timeout_ms": 3000, "target_latency_ms": 300, "priority": 2, "service": "api",
             "max_attempts": 1, "public": False},
            {"name": "r-safe", "host": HOST_NAME, "path_prefix": "/safe/", "kind": "safe",
             "timeout_ms": 3000, "target_latency_ms": 1500, "priority": 2, "service": "api",
             "max_attempts": 2, "public": False},
        ],
        "services": [
            {"name": "llm", "health_path": "/healthz", "max_connections": 210, "protocol": "h1",
             "tls": False, "engine": engines},
            {"name": "api", "health_path": "/healthz", "max_connections": 110, "protocol": "h1",
             "tls": False},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        "tenants": [{"name": name, "api_keys": keys, "priority": 1} for name, keys in tenants],
    }


# ---- engines and plain servers ---------------------------------------------------------------

class Server:
    """An engine (`events` > 0) or a plain server. Answers are unframed (neither a length nor chunks,
    ended by the end of the connection) where `is_unframed` says so."""

    def __init__(self, net, name, service, zone, events=0, pause=0.05, plain_bytes=4800,
                 is_unframed=lambda request: False):
        self.address = (net.ip(), net.base + 1)
        self.name, self.service, self.zone = name, service, zone
        self.events, self.pause, self.plain_bytes = events, pause, plain_bytes
        self.is_unframed = is_unframed
        self.runs, self.running, self.copies = [], {}, {}
        self.leaving = False

    async def start(self):
        self.socket = socket.create_server(self.address, backlog=256)
        self.server = await asyncio.start_server(self._connection, sock=self.socket)

    def row(self, state="ready"):
        return {"service": self.service, "address": "%s:%d" % self.address, "zone": self.zone,
                "version": "v1", "slots": 24, "state": state, "cold_left_ms": 0, "seq": 1}

    def cut(self, ips):
        """New connections from these addresses hang from now on, and no others: their packets to the
        listening socket are dropped."""
        listener = self.server.sockets[0]
        if not ips:
            try:
                listener.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
            except OSError:
                pass
            return
        code = [(0x20, 0, 0, 0xFFF0000C)]  # load the source address
        for ip in ips:
            number = struct.unpack("!I", socket.inet_aton(ip))[0]
            code += [(0x15, 0, 1, number), (0x06, 0, 0, 0)]
        code.append((0x06, 0, 0, 0xFFFFFFFF))
        packed = b"".join(struct.pack("HBBI", *step) for step in code)
        buffer = ctypes.create_string_buffer(packed)
        program = struct.pack("HL", len(code), ctypes.addressof(buffer))
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)

    def event(self, request, number):
        seed = zlib.crc32(("%s/%d" % (request, number)).encode())
        return b"id: %d\ndata: %08x%s\n\n" % (number, seed, b"." * 40)

    def whole(self, request, after=0):
        return b"".join(self.event(request, n) for n in range(after + 1, self.events + 1))

    def plain_body(self, request):
        seed = b"%08x" % zlib.crc32(request.encode())
        return (seed * (self.plain_bytes // 8 + 1))[: self.plain_bytes]

    async def _connection(self, reader, writer):
        peer = writer.get_extra_info("peername")
        try:
            while (request := await read_request(reader)) is not None:
                if not await self._answer(request, reader, writer, peer[0] if peer else "-"):
                    break
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            # An orderly end: it closes after what was written.
            writer.close()

    async def _answer(self, request, reader, writer, peer):
        path, headers = request["path"], request["headers"]
        if path == "/healthz":
            writer.write(message(200, b"", [("X-Instance-Id", self.name)]))
            return True
        if path == "/v1/report":
            runs = [[name, 8000, made, 4] for name, made in self.running.items() if made]
            report = {"stage": "both",
                      "models": [{"name": name, "version": 1, "adapters": []} for name in ("m", "m2")],
                      "occupancy": False, "seq": 2, "waiting": 0, "running": len(self.running),
                      "kv_used": 0, "kv_total": 88000, "handles": 0, "next_token": 0,
                      "runs": runs}
            writer.write(message(200, json.dumps(report).encode(),
                                 [("Content-Type", "application/json")]))
            return True
        if path.startswith("/v1/"):
            writer.write(message(503 if path == "/v1/kv-move" else 404))
            return True
        request_id = headers.get("x-attempt-id", "")
        base = [("X-Attempt-Id", request_id)]
        if headers.get("x-expect-instance", self.name) != self.name:
            writer.write(message(421, b"", base + [("X-Instance-Id", self.name)]))
            return True
        if "kv-from" in headers and headers["kv-from"].split("/")[-1] not in self.copies:
            writer.write(message(503, b"", base + [("X-Not-Executed", "1")]))
            return True
        run = {"id": request_id, "at": time.monotonic(), "server": self.name, "via": peer,
               "headers": headers, "path": path, "method": request["method"], "sent": 0,
               "end": "running", "unframed": self.is_unframed(request)}
        self.runs.append(run)
        if self.events:
            await self._stream(run, headers, reader, writer, base)
        else:
            await self._plain(run, reader, writer, base)
        return not run["unframed"]

    async def _until_closed(self, reader):
        try:
            await reader.read(1)
        except OSError:
            pass

    async def _work(self, seconds, closed):
        """Works for so long. Raises if the caller's connection closes meanwhile."""
        done, _ = await asyncio.wait([closed], timeout=seconds)
        if done:
            raise ConnectionResetError

    def _head(self, run, base, length, kind):
        lines = ["HTTP/1.1 200 OK"] + ["%s: %s" % pair for pair in base]
        lines.append("X-Response-Signature: 3e1b.07.5a2.600.0.%08x" % zlib.crc32(run["id"].encode()))
        lines.append("Content-Type: " + kind)
        if not run["unframed"]:
            lines.append("Transfer-Encoding: chunked" if length is None
                         else "Content-Length: %d" % length)
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def _stream(self, run, headers, reader, writer, base):
        after = int(headers.get("last-event-id", 0))
        # Whose memory the run has: a new run has its own, one that goes on from a copy that of the copy.
        run["memory"] = run["id"]
        if "kv-from" in headers:
            run["memory"] = self.copies[headers["kv-from"].split("/")[-1]]
        backup = headers.get("x-kv-backup")
        if backup and backup in SERVERS:
            SERVERS[backup].copies[run["id"]] = run["memory"]
        closed = asyncio.ensure_future(self._until_closed(reader))
        self.running[run["id"]] = after
        try:
            await self._work(self.pause * 3, closed)
            writer.write(self._head(run, base, None, "text/event-stream"))
            for number in range(after + 1, self.events + 1):
                event = self.event(run["memory"], number)
                writer.write(event if run["unframed"] else b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                run["sent"] = self.running[run["id"]] = number
                await self._work(self.pause, closed)
            if not run["unframed"]:
                writer.write(b"0\r\n\r\n")
            await writer.drain()
            run["end"] = "made whole"
        except OSError:
            run["end"] = "its connection ended after event %d" % run["sent"]
            writer.transport.abort()
        finally:
            await self._end(closed)
            self.running.pop(run["id"], None)

    async def _plain(self, run, reader, writer, base):
        body = self.plain_body(run["id"])
        closed = asyncio.ensure_future(self._until_closed(reader))
        try:
            await self._work(self.pause, closed)
            writer.write(self._head(run, base, len(body), "application/octet-stream"))
            half = len(body) // 2
            for part in (body[:half], body[half:]):
                writer.write(part)
                await writer.drain()
                run["sent"] += len(part)
                if run["sent"] < len(body):
                    await self._work(self.plain_pause, closed)
            run["end"] = "made whole"
        except OSError:
            run["end"] = "its connection ended after byte %d" % run["sent"]
            writer.transport.abort()
        finally:
            await self._end(closed)

    async def _end(self, closed):
        """Ends the wait for the caller's end, so that its next request can be read."""
        closed.cancel()
        await asyncio.wait([closed])

    plain_pause = 0.0


SERVERS = {}


# ---- the project's hosts ---------------------------------------------------------------------

def render(text, fields):
    """Fills a template as DEPLOY.md says, as far as deploy/entry.ini.in needs it."""

    def look_up(name, scopes):
        for scope in scopes:
            value = scope
            for part in name.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def show(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(show(item) for item in value)
        return json.dumps(value) if isinstance(value, dict) else str(value)

    def fill(text, scopes, key=None):
        def section(match):
            value = look_up(match.group(1), scopes)
            if isinstance(value, dict):
                return "".join(fill(match.group(2), [item] + scopes, name)
                               for name, item in value.items())
            if isinstance(value, list):
                return "".join(fill(match.group(2), [item] + scopes, str(index))
                               for index, item in enumerate(value))
            return fill(match.group(2), scopes, key) if value not in (None, False) else ""

        text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
        text = text.replace("{{@}}", key or "").replace("{{.}}", show(scopes[0]) if scopes else "")
        return re.sub(r"\{\{([\w.]+)\}\}", lambda match: show(look_up(match.group(1), scopes)), text)

    return fill(text, [fields])


def end_with_parent():
    """Lets the kernel end a host if the script is killed and can't do so."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Host:
    """One process of the project's program, with the settings that the template gives."""

    BOUNDS = {"drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
              "strict_revoke": True, "revoke_ms": 5000, "retry_budget_ratio": 0.8,
              "retry_window_s": 10, "retry_budget_slack": 150, "ttl_max_s": 5, "contact_ms": 3000}

    def __init__(self, net, folder, name, zone, store):
        self.ip, self.name, self.zone = net.ip(), name, zone
        self.net, self.folder, self.store = net, folder, store
        self.process, self.starts = None, 0
        self.callers = (self.ip, net.base + 2)
        self.readiness = (self.ip, net.base + 3)
        self.directory = (self.ip, net.base + 4)

    def start(self, seeds, first_start):
        base = self.net.base
        zones = {"pnw-a": "pnw-west", "pnw-b": "pnw-west", "pnw-c": "pnw-west"}
        fields = {
            "node_name": self.name, "zone": self.zone, "ip": self.ip, "zones": zones,
            "listen": {"front": "%s:%d" % self.callers, "readiness": "%s:%d" % self.readiness,
                       "directory": "%s:%d" % self.directory,
                       "control": "%s:%d" % (self.ip, base + 5)},
            "port_range": [base + 6, base + 7],
            "seeds": ["%s:%d" % (ip, base + 5) for ip in seeds],
            "first_start": first_start, "bounds": self.BOUNDS,
            "limits": {"memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0},
            "platform": {"address": "%s:%d" % self.store.address},
        }
        with open(TEMPLATE) as template:
            text = render(template.read(), fields)
        # On loopback a host's connections come from its own address only if it is told so.
        text = text.replace("[host]\n", "[host]\nsource_address = %s\n" % self.ip)
        settings = os.path.join(self.folder, self.name + ".ini")
        with open(settings, "w") as file:
            file.write(text)
        self.starts += 1
        log = open(os.path.join(self.folder, "%s.%d.log" % (self.name, self.starts)), "wb")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["TEALSHORE_NODE_FILE"] = settings
        self.process = subprocess.Popen([PROGRAM], cwd=ROOT, env=environment, stdout=log, stderr=log,
                                        preexec_fn=end_with_parent)
        log.close()

    def send(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            try:
                self.process.send_signal(signal.SIGCONT)
            except OSError:
                pass
            self.process.kill()
        if self.process:
            self.process.wait()

    def log(self):
        text = ""
        for number in range(1, self.starts + 1):
            with open(os.path.join(self.folder, "%s.%d.log" % (self.name, number)),
                      errors="replace") as file:
                text += file.read()
        return text

    async def is_ready(self):
        answer = await ask(self.readiness, "GET", "/v1/readyz", [("Host", "x")], timeout=1.0)
        return answer.status == 200

    async def addresses(self):
        path = "/v1/resolve?name=%s&region=pnw-west&zone=none" % HOST_NAME
        answer = await ask(self.directory, "GET", path, [("Host", "x")], timeout=1.0)
        return json.loads(answer.body)["addresses"] if answer.status == 200 else []


async def until(what, condition, seconds=15.0):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if await condition():
            return
        await asyncio.sleep(0.05)
    raise CannotRun("not within %g s: %s" % (seconds, what))


class Case:
    """Runs a case: `body(case)` returns the list of what broke the rule."""

    def __init__(self, folder):
        self.folder = folder
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.lines, self.began = [], time.monotonic()
        self.hosts = []

    def note(self, text):
        line = "%7.3f %s" % (time.monotonic() - self.began, text)
        self.lines.append(line)
        print(line, flush=True)

    def run(self, body, seconds=100):
        # Ends the hosts also where the script itself is told to end.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self.temporary = tempfile.mkdtemp(prefix="tealshore-review-")
        try:
            if not os.path.exists(PROGRAM):
                raise CannotRun("the program is not built: see deploy/system.toml")
            broken = asyncio.run(asyncio.wait_for(body(self), seconds))
            code = BROKEN if broken else 0
            for line in broken:
                self.note("BROKEN " + line)
            self.note("result: %s" % ("the rule was broken" if broken else "the rule held"))
        except Exception as error:  # whatever went wrong, it says nothing of the rule
            self.note("result: the case could not run: %s %s" % (type(error).__name__, error))
            code = 2
        finally:
            for host in self.hosts:
                host.kill()
            if os.environ.get("KEEP_LOGS"):
                print("logs: " + self.temporary)
            else:
                shutil.rmtree(self.temporary, ignore_errors=True)
        with open(os.path.join(self.folder, "record.txt"), "w") as record:
            record.write("\n".join(self.lines) + "\n")
        sys.exit(code)
