"""Stand-ins and process control for the cases of this review.

Everything runs on loopback addresses and the real clock: the store, the
servers and the requesters in the event loop of the script, the gateways and
the boards as processes of the product, started with the commands of
deploy/system.toml. Needs only python3's standard library.

    async with Fleet(record) as fleet:
        await fleet.start(gateways=1, engines=2, plain=2)
        answer = await fleet.request(0, "hold")
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import zlib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
FRONT_PORT = 8783
READY_PORT = 8780
STORE_PORT = 8781
SERVER_PORT = 8080
INTERNAL_PORTS = (7400, 7415)
HOST = "ficu95.example"
KEYS = {"hule930": ["asnmgkcuyj8pjbvk9m68"], "tigo114": ["k7b2ex5wa5xwyhks8nbk"]}
ENGINE_SERVICE = "huvo11a"
PLAIN_SERVICE = "wuno96b"


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def line(self, text):
        self.file.write("%8.3f %s\n" % (self.now(), text))
        self.file.flush()


def unix_ms():
    return int(time.time() * 1000)


async def read_head(reader):
    """Returns the first line and the headers, names in lower case."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, bytes_per_s=None):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += data[:-2]
    left = int(headers.get("content-length", "0"))
    if bytes_per_s is None:
        return await reader.readexactly(left) if left else b""
    parts = []
    while left:
        data = await reader.read(min(left, 16384))
        if not data:
            raise asyncio.IncompleteReadError(b"", left)
        parts.append(data)
        left -= len(data)
        await asyncio.sleep(len(data) / bytes_per_s)
    return b"".join(parts)


class Store:
    """The platform's store: lists, watches, and a restore from a copy."""

    def __init__(self, ip):
        self.ip = ip
        self.era = 1
        self.revision = 500
        self.objects = {}  # kind -> name -> object
        self.events = []  # (revision, kind, event)
        self.oldest = 500
        self.is_away = False
        self.changed = asyncio.Event()
        self.writers = set()
        self.server = None
        self.calls = 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.ip, STORE_PORT)

    def _object(self, kind, name, specification):
        return {
            "metadata": {"name": name, "revision": self.revision, "created": 1,
                         "finalizers": [], "deleting": False},
            "specification": specification, "status": None}

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, specification):
        objects = self.objects.setdefault(kind, {})
        known = objects.get(name)
        if known is not None and known["specification"] == specification:
            return
        self.revision += 1
        objects[name] = self._object(kind, name, specification)
        self.events.append((self.revision, kind,
                            {"removed": False, "object": objects[name]}))
        self._wake()

    def delete(self, kind, name):
        gone = self.objects.get(kind, {}).pop(name, None)
        if gone is not None:
            self.revision += 1
            self.events.append((self.revision, kind,
                                {"removed": True, "object": gone}))
            self._wake()

    def copy(self):
        return json.loads(json.dumps([self.revision, self.objects]))

    def leave(self):
        """From now on the store is away: channels are reset."""
        self.is_away = True
        for writer in list(self.writers):
            writer.transport.abort()

    def come_back(self, copy=None):
        """Answers again; from an older copy, if one is given."""
        if copy is not None:
            self.revision, self.objects = json.loads(json.dumps(copy))
            self.events = []
            self.oldest = self.revision
            self.era += 1
        self.is_away = False

    async def _serve(self, reader, writer):
        if self.is_away:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                await read_body(reader, headers)
                if self.is_away:
                    writer.transport.abort()
                    return
                self.calls += 1
                status, body = await self._answer(line.split(" ")[1])
                if self.is_away:
                    writer.transport.abort()
                    return
                text = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json"
                             b"\r\nStore-Era: %d\r\nContent-Length: %d\r\n\r\n"
                             % (status, self.era, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, target):
        path, _, query = target.partition("?")
        kind = path.split("/")[3]
        fields = dict(part.partition("=")[::2] for part in query.split("&") if part)
        if "watch" not in fields:
            return 200, {"items": list(self.objects.get(kind, {}).values()),
                         "hasMore": False, "storeRevision": self.revision}
        since = int(fields["watch"])
        until = time.monotonic() + int(fields.get("waitMs", "0")) / 1000
        era = self.era
        while True:
            if since < self.oldest or since > self.revision or era != self.era:
                return 410, {}
            events = [e for r, k, e in self.events if k == kind and r > since]
            left = until - time.monotonic()
            if events or left <= 0 or self.is_away:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 30))
            except asyncio.TimeoutError:
                pass


class Server:
    """A server: an engine that streams events, or a plain service."""

    def __init__(self, fleet, ip, server_id, service, version="v1", zone="a"):
        self.fleet = fleet
        self.ip = ip
        self.id = server_id
        self.service = service
        self.version = version
        self.zone = zone
        self.state = "ready"
        self.beats = True  # Writes its entry every heartbeat.
        self.born = unix_ms()
        self.sequence = 0
        self.listener = None
        self.writers = set()
        self.tasks = set()
        self.runs = 0
        self.handler = None  # Replaces the answer of a plain request.
        self.reads_per_s = None  # Bytes of a body; as they come if None.
        self.events = 12
        self.event_gap = 0.05
        self.first_event_after = 0.02

    @property
    def address(self):
        return "%s:%d" % (self.ip, SERVER_PORT)

    async def start(self):
        self.born = unix_ms()
        self.sequence = 0
        self.runs = 0
        self.listener = await asyncio.start_server(
            self._serve, self.ip, SERVER_PORT, limit=32768)

    def crash(self):
        """Ends at once: nothing listens, and all channels are reset."""
        self.listener.close()
        self.listener = None
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                b"\x01\x00\x00\x00\x00\x00\x00\x00")
            writer.transport.abort()
        self.writers.clear()

    def end_in_order(self):
        """Ends as a killed process does whose system closes all channels."""
        self.listener.close()
        self.listener = None
        for writer in list(self.writers):
            writer.close()
            for task in self.tasks:
                task.cancel()
        self.writers.clear()

    def entry(self):
        return {"service": self.service, "address": self.address,
                "zone": self.zone, "version": self.version,
                "slots": 64 if self.service == ENGINE_SERVICE else 6,
                "state": self.state, "coldRemainingMs": 0, "born": self.born,
                "stage": "both",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "sequence": self.sequence}

    def register(self):
        self.sequence += 1
        self.fleet.store.put("servers", self.id, self.entry())

    def seal(self, request_id):
        return "3e1b.%s.%s" % (self.id, request_id)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers, self.reads_per_s)
                if not await self._answer(line, headers, body, reader, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, line, headers, body, reader, writer):
        method, target, _ = line.split(" ")
        if target == "/jackdawshunt/report":
            report = {"stage": "both", "models": [], "busy": False,
                      "born": self.born, "sequence": self.sequence,
                      "queueDepth": 0, "activeRequests": 0, "kvUsed": 0,
                      "kvTotal": 486852, "handles": 0}
            writer.write(self.head(200, None, len(json.dumps(report)))
                         + json.dumps(report).encode())
            await writer.drain()
            return True
        if target == "/health":
            writer.write(b"HTTP/1.1 200 OK\r\nInstance-Id: %s\r\n"
                         b"Content-Length: 0\r\n\r\n" % self.id.encode())
            return True
        request_id = headers.get("request-id", "")
        expected = headers.get("expected-instance", self.id)
        if expected != self.id:
            self.fleet.record.line("421 %s at %s (%s)" %
                                   (request_id, self.id, expected))
            writer.write(b"HTTP/1.1 421 Misdirected\r\nRequest-Id: %s\r\n"
                         b"Instance-Id: %s\r\nContent-Length: 0\r\n\r\n" %
                         (request_id.encode(), self.id.encode()))
            return True
        self.runs += 1
        self.fleet.runs.setdefault(request_id, []).append(
            (self.fleet.record.now(), self.id, self.version,
             headers.get("tenant", ""), int(headers.get("last-event-id", 0))))
        self.fleet.record.line(
            "run %s at %s version %s tenant %s after event %s" %
            (request_id, self.id, self.version, headers.get("tenant", "-"),
             headers.get("last-event-id", "-")))
        if self.handler is not None:
            return await self.handler(self, request_id, headers, body, writer)
        if self.service == ENGINE_SERVICE:
            await self._stream(request_id, headers, writer)
            return True
        text = b"ok %s" % request_id.encode()
        writer.write(self.head(200, request_id, len(text)) + text)
        await writer.drain()
        return True

    def head(self, status, request_id, length):
        lines = ["HTTP/1.1 %d X" % status]
        if request_id is not None:
            lines += ["Request-Id: " + request_id,
                      "Response-Seal: " + self.seal(request_id)]
        lines.append("Transfer-Encoding: chunked" if length is None
                     else "Content-Length: %d" % length)
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def _stream(self, request_id, headers, writer):
        first = int(headers.get("last-event-id", 0)) + 1
        await asyncio.sleep(self.first_event_after)
        head = self.head(200, request_id, None).replace(
            b"\r\n\r\n", b"\r\nContent-Type: text/event-stream\r\n\r\n")
        writer.write(head)
        for number in range(first, self.events + 1):
            event = b"id: %d\ndata: %d of %s\n\n" % (
                number, number, self.version.encode())
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_gap)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Answer:
    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_complete = False
        self.error = ""

    def __str__(self):
        return "%s %d bytes%s%s" % (self.status or "no answer", len(self.body),
                                    "" if self.is_complete else ", not complete",
                                    " (%s)" % self.error if self.error else "")


class Fleet:
    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes = {}
        self.runs = {}
        self.servers = []
        self.store = None
        self.version = 7
        self.keys = json.loads(json.dumps(KEYS))
        self.limits = {"headerBytes": 16384, "bodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
                       "tokensPerS": 230000}
        self.timeouts = {"hold": 12000, "fetch": 12000, "draft": 12000,
                         "revise": 12000}
        self.next_request = random.getrandbits(32)
        self.tasks = []

    async def __aenter__(self):
        for _ in range(20):
            self.net = "127.%d.%d" % (random.randint(20, 250),
                                      random.randint(1, 250))
            if self._is_net_free():
                return self
        raise RuntimeError("no free loopback addresses")

    def _is_net_free(self):
        """Returns whether nothing listens at the addresses of this run."""
        wanted = [(1, STORE_PORT)]
        for i in range(4):
            wanted += [(10 + i, FRONT_PORT), (10 + i, READY_PORT),
                       (50 + i, SERVER_PORT), (100 + i, SERVER_PORT)]
            wanted += [(10 + i, port) for port in INTERNAL_PORTS]
        for number, port in wanted:
            with socket.socket() as probe:
                try:
                    probe.bind((self.ip(number), port))
                except OSError:
                    return False
        return True

    async def __aexit__(self, *_):
        for process, log in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
            log.close()
        for task in self.tasks:
            task.cancel()
        if "KEEP_LOGS" in os.environ:
            print("logs of the processes: " + self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def ip(self, number):
        return "%s.%d" % (self.net, number)

    def desired_state(self):
        def route(name, kind, service, attempts, resumable=False):
            return {"name": "r-" + name, "host": HOST,
                    "pathPrefix": "/%s/" % name, "kind": kind,
                    "timeoutMs": self.timeouts[name], "targetLatencyMs": 1000,
                    "priority": 1, "service": service, "attempts": attempts,
                    "public": False, "sticky": service == ENGINE_SERVICE,
                    "resumable": resumable, "targetGapMs": 800}
        return {
            "version": self.version,
            "routes": [route("draft", "streaming", ENGINE_SERVICE, 1),
                       route("revise", "streaming", ENGINE_SERVICE, 2, True),
                       route("hold", "unsafe", PLAIN_SERVICE, 1),
                       route("fetch", "safe", PLAIN_SERVICE, 2)],
            "services": [
                {"name": ENGINE_SERVICE, "healthPath": "/health",
                 "connectionLimit": 360, "protocol": "h1", "tls": False,
                 "engine": {"slots": 64, "kvTokens": 486852, "kvBytes": 18432,
                            "linkMbps": 370000.0, "models": [{"name": "m"}]}},
                {"name": PLAIN_SERVICE, "healthPath": "/health",
                 "connectionLimit": 100, "protocol": "h1", "tls": False}],
            "limits": self.limits,
            "tenants": [{"name": n, "apiKeys": k, "priority": 1}
                        for n, k in self.keys.items()]}

    def write_desired_state(self):
        self.store.put("config", "main", self.desired_state())

    def settings(self, name, role_class, ip, zone, extra):
        lines = {
            "node": name, "role": role_class, "machineClass": role_class,
            "serves": role_class, "ip": ip, "zone": zone, "region": "r",
            "zones.a": "r", "zones.b": "r",
            "internalPorts": "%d,%d" % INTERNAL_PORTS,
            "seeds": "", "bootstrap": "true", "countsAsLoss": "false",
            "limits.cpuShare": "0.19", "limits.cores": "1",
            "limits.memoryMb": "260" if role_class == "front" else "192",
            "limits.fileDescriptors": "4100", "limits.linkMbps": "1000.0",
            "limits.diskMb": "0", "discovery": "platform",
            "entry": "virtual_ip", "heartbeatMs": "1200",
            "contracts": "base,drain,config,cost,retry,recover,engine,stream,"
                         "tenants,platform",
            "tolerate.machines": "1", "tolerate.zones": "0",
            "tolerate.regions": "0", "bounds.seedLagS": "3",
            "bounds.reuseAfterS": "2", "bounds.contactMs": "3000",
            "bounds.acknowledgeMs": "4000", "bounds.catchUpS": "4",
            "bounds.drainMs": "2000", "bounds.graceS": "8",
            "bounds.lossSlackMs": "200", "bounds.configurationMs": "2000",
            "bounds.rollbackSlackMs": "250", "bounds.outerMs": "5000",
            "bounds.strictRevocation": "true", "bounds.revokeMs": "5000",
            "bounds.budgetRatio": "0.2", "bounds.budgetWindowS": "10",
            "bounds.budgetSlack": "54", "bounds.recoveryS": "12",
            "bounds.passMs": "120", "bounds.reuseWindowS": "10",
            "bounds.quotaWindowS": "4",
            "platform.address": "%s:%d" % (self.store.ip, STORE_PORT),
            "platform.form": "objects", "platform.writesPerS": "400",
            "platform.readsPerS": "2000", "platform.historyS": "20",
            "platform.valueBytes": "1048576", "platform.ttlMinMs": "1000"}
        lines.update(extra)
        path = os.path.join(self.folder, name + ".conf")
        with open(path, "w") as file:
            file.write("".join("%s=%s\n" % row for row in lines.items()))
        return path

    async def launch(self, name, role, path):
        with open(os.path.join(ROOT, "deploy/system.toml")) as file:
            command = re.search(r'\[roles\.%s\]\s*run = "([^"]+)"' % role,
                                file.read()).group(1).split(" ")
        command[0] = os.path.join(ROOT, command[0])
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=log,
            stderr=log, env={"PATH": os.environ["PATH"], "LANG": "C.UTF-8",
                             "HOME": self.folder, "JACKDAWSHUNT_BOOT": path})
        self.processes[name] = (process, log)
        self.record.line("started %s" % name)
        return process

    async def start(self, gateways=1, engines=2, plain=2, versions=("v1",)):
        self.store = Store(self.ip(1))
        await self.store.start()
        self.write_desired_state()
        for i in range(engines):
            ip = self.ip(100 + i)
            server = Server(self, ip, "i-e%d" % i, ENGINE_SERVICE,
                            versions[i % len(versions)], "ab"[i % 2])
            await server.start()
            server.register()
            self.servers.append(server)
            await self.start_board(i)
        for i in range(plain):
            server = Server(self, self.ip(50 + i), "i-p%d" % i, PLAIN_SERVICE,
                            "v1", "ab"[i % 2])
            await server.start()
            server.register()
            self.servers.append(server)
        for i in range(gateways):
            await self.start_gateway(i)
        for i in range(gateways):
            await self.await_ready(i)
        self.tasks.append(asyncio.ensure_future(self._heartbeats()))

    async def _heartbeats(self):
        while True:
            await asyncio.sleep(1.2)
            for server in self.servers:
                if server.listener is not None and server.beats \
                        and not self.store.is_away:
                    server.register()

    async def start_board(self, i):
        """Starts the board beside the engine `i`."""
        server = self.servers[i]
        path = self.settings("side-%d" % i, "side", server.ip, server.zone,
                             {"app": server.address,
                              "service": ENGINE_SERVICE})
        return await self.launch("side-%d" % i, "board", path)

    async def start_gateway(self, i):
        ip = self.ip(10 + i)
        path = self.settings(
            "front-%d" % i, "front", ip, "ab"[i % 2],
            {"listen.front": "%s:%d" % (ip, FRONT_PORT),
             "listen.ready": "%s:%d" % (ip, READY_PORT)})
        return await self.launch("front-%d" % i, "gateway", path)

    async def is_ready(self, i):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                self.ip(10 + i), READY_PORT), 1)
            writer.write(b"GET /jackdawshunt/readiness HTTP/1.1\r\n"
                         b"Host: x\r\n\r\n")
            line, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return line.split(" ")[1] == "200"
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    async def await_ready(self, i, limit=15):
        until = time.monotonic() + limit
        while not await self.is_ready(i):
            if time.monotonic() > until:
                raise RuntimeError("gateway %d does not become ready" % i)
            await asyncio.sleep(0.05)
        self.record.line("front-%d is ready" % i)

    def process(self, name):
        return self.processes[name][0]

    def new_id(self):
        self.next_request += 1
        return "%016x" % (self.next_request & 0xffffffffffffffff)

    def request_bytes(self, route, request_id, deadline_ms=12000, key=None,
                      extra=(), body=b"{}"):
        lines = ["%s /%s/2f HTTP/1.1" % ("GET" if route == "fetch" else "POST",
                                         route),
                 "Host: " + HOST, "Request-Id: " + request_id,
                 "Deadline-Milliseconds: %d" % deadline_ms,
                 "Authorization: Token " + (key or KEYS["hule930"][0])]
        if route in ("draft", "revise"):
            lines += ["Model: m", "Token-Counts: 1460,80",
                      "Prompt-Prefix: %x:800,%x:410,%s:250"
                      % (0x5c1e07a2 + zlib.crc32(request_id.encode()) % 4,
                         0x91bd3f06 + zlib.crc32(request_id.encode()) % 24,
                         request_id[-8:])]
        if route == "fetch":
            body = b""
        else:
            lines.append("Content-Length: %d" % len(body))
        lines += list(extra)
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    async def request(self, gateway, route, limit=20, **options):
        """One request on a channel of its own."""
        request_id = options.pop("request_id", None) or self.new_id()
        answer = Answer()
        answer.id = request_id
        self.record.line("send %s on %s to front-%d" %
                         (request_id, route, gateway))
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                self.ip(10 + gateway), FRONT_PORT), 1)
            writer.write(self.request_bytes(route, request_id, **options))
            await asyncio.wait_for(self._read_answer(reader, answer), limit)
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            answer.error = type(error).__name__
        except asyncio.TimeoutError:
            answer.error = "no end after %d s" % limit
        if writer is not None:
            writer.close()
        self.record.line("answer %s: %s" % (request_id, answer))
        return answer

    async def _read_answer(self, reader, answer):
        line, answer.headers = await read_head(reader)
        answer.status = int(line.split(" ")[1])
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    break
                answer.body += data[:-2]
        else:
            left = int(answer.headers.get("content-length", "0"))
            while left:
                data = await reader.read(min(left, 65536))
                if not data:
                    raise asyncio.IncompleteReadError(b"", left)
                answer.body += data
                left -= len(data)
        answer.is_complete = True


def run(case, limit=110):
    """Runs `case(fleet, has_trouble)`, which returns whether the rule held."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.path.join(folder, "record.txt"))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        async with Fleet(record) as fleet:
            return await asyncio.wait_for(case(fleet, has_trouble), limit)

    try:
        held = asyncio.run(main())
    except Exception as error:  # The case could not run.
        record.line("could not run: %r" % error)
        print("could not run: %r" % error)
        sys.exit(2)
    record.line("the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
