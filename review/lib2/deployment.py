"""A small deployment on loopback addresses for the scripts of this review.

The gateways and boards are the project's own programs, started with the
commands of deploy/system.toml. The store, the servers and the requesters are
stand-ins that follow PROTOCOL.md. Needs only Python's standard library.

    site = Deployment(folder, gateways=2)
    site.start()
    answer = request(site.gateway_address(0), "GET", "/fetch/x", headers)
    site.stop()
"""
import json
import os
import select
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BINARY = os.path.join(ROOT, "target/jackdawshunt/cli/jackdawshunt")
HOST = "site.example"
KEY = "key-of-lodge-1"


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()
        self.began = time.monotonic()

    def __call__(self, text):
        with self.lock:
            line = "%8.3f %s" % (time.monotonic() - self.began, text)
            self.file.write(line + "\n")
            self.file.flush()
            print(line, flush=True)


def free_port(ip):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


class Connection:
    """Reads HTTP/1.1 messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def read_head(self):
        while b"\r\n\r\n" not in self.buffer:
            data = self.sock.recv(65536)
            if not data:
                return None
            self.buffer += data
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        return lines[0], headers

    def read_exactly(self, count):
        while len(self.buffer) < count:
            data = self.sock.recv(65536)
            if not data:
                return None
            self.buffer += data
        body, self.buffer = self.buffer[:count], self.buffer[count:]
        return body

    def read_line(self):
        while b"\r\n" not in self.buffer:
            data = self.sock.recv(65536)
            if not data:
                return None
            self.buffer += data
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line

    def read_body(self, headers):
        """Returns the body by its length or chunks; None if it breaks off."""
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                line = self.read_line()
                if line is None:
                    return None
                size = int(line.split(b";")[0], 16)
                piece = self.read_exactly(size + 2)
                if piece is None:
                    return None
                if size == 0:
                    return body
                body += piece[:-2]
        return self.read_exactly(int(headers.get("content-length", "0")))


class Listener:
    """Accepts connections, each served by a thread of its own."""

    def __init__(self, ip, serve, port=0):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((ip, port))
        self.socket.listen(256)
        self.address = self.socket.getsockname()
        self.serve = serve
        self.open = set()
        self.lock = threading.Lock()
        self.is_closed = False
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while not self.is_closed:
            try:
                sock, _ = self.socket.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.open.add(sock)
            threading.Thread(target=self.one, args=(sock,), daemon=True).start()

    def one(self, sock):
        try:
            self.serve(sock)
        except OSError:
            pass
        finally:
            with self.lock:
                self.open.discard(sock)
            try:
                sock.close()
            except OSError:
                pass

    def cut_all(self):
        with self.lock:
            for sock in self.open:
                try:
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    def close(self):
        self.is_closed = True
        # Wakes accept() and frees the port.
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.socket.close()
        self.cut_all()


class Store:
    """The platform's metadata store: lists and watches."""

    def __init__(self, ip):
        self.changed = threading.Condition()
        self.revision = 10
        self.objects = {}  # kind -> name -> object
        self.events = []  # (revision, kind, event)
        self.era = 1
        self.is_away = False
        self.listener = Listener(ip, self.serve)

    def put(self, kind, name, specification):
        with self.changed:
            self.revision += 1
            item = {"metadata": {"name": name, "revision": self.revision,
                                 "created": 1, "finalizers": [],
                                 "deleting": False},
                    "specification": specification, "status": None}
            self.objects.setdefault(kind, {})[name] = item
            self.events.append((self.revision, kind,
                                {"removed": False, "object": item}))
            self.changed.notify_all()

    def copy(self):
        with self.changed:
            return (self.revision, json.dumps(self.objects),
                    json.dumps(self.events))

    def go_away(self):
        """Is away until return_from(): cuts all channels, takes no others."""
        with self.changed:
            self.is_away = True
            self.changed.notify_all()
        self.listener.cut_all()

    def return_from(self, copy=None):
        """Comes back; with `copy`, restored from that older copy."""
        with self.changed:
            if copy is not None:
                self.revision, objects, events = copy
                self.objects = json.loads(objects)
                self.events = json.loads(events)
                self.era += 1
            self.is_away = False

    def delete(self, kind, name):
        with self.changed:
            item = self.objects.get(kind, {}).pop(name, None)
            if item is None:
                return
            self.revision += 1
            self.events.append((self.revision, kind,
                                {"removed": True, "object": item}))
            self.changed.notify_all()

    def serve(self, sock):
        if self.is_away:
            return
        connection = Connection(sock)
        while True:
            head = connection.read_head()
            if head is None or self.is_away:
                return
            method, target, _ = head[0].split(" ")
            connection.read_body(head[1])
            path, _, query = target.partition("?")
            kind = path.split("/")[3]
            fields = dict(f.split("=") for f in query.split("&") if f)
            if "watch" in fields:
                body = self.watch(kind, int(fields["watch"]),
                                  int(fields.get("waitMs", "0")))
            else:
                with self.changed:
                    items = [o for _, o in
                             sorted(self.objects.get(kind, {}).items())]
                    body = {"items": items, "hasMore": False,
                            "storeRevision": self.revision}
            if self.is_away:
                return
            text = json.dumps(body or {}).encode()
            sock.sendall(b"HTTP/1.1 %s\r\nContent-Type: application/json\r\n"
                         b"Store-Era: %d\r\nContent-Length: %d\r\n\r\n" %
                         (b"200 OK" if body is not None else b"410 Gone",
                          self.era, len(text)) + text)

    def watch(self, kind, since, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        with self.changed:
            while True:
                if since > self.revision:
                    return None
                events = [e for r, k, e in self.events
                          if k == kind and r > since]
                left = until - time.monotonic()
                if events or left <= 0 or self.is_away:
                    return {"events": events, "storeRevision": self.revision}
                self.changed.wait(left)


class Server:
    """A server: calls handle(server, sock, line, headers, body) per request.

    `handle` writes the answer and returns whether the channel stays open.
    """

    def __init__(self, ip, name, service, handle, record, slots=64, port=0):
        self.name = name
        self.service = service
        self.slots = slots
        self.handle = handle
        self.record = record
        self.born = int(time.time() * 1000)
        self.listener = Listener(ip, self.serve, port)
        self.address = "%s:%d" % self.listener.address

    def entry(self, state="ready"):
        return {"service": self.service, "address": self.address,
                "zone": "pos-hall-a", "version": "v1", "slots": self.slots,
                "state": state, "coldRemainingMs": 0, "sequence": 1,
                "born": self.born}

    def serve(self, sock):
        connection = Connection(sock)
        while True:
            head = connection.read_head()
            if head is None:
                return
            body = connection.read_body(head[1])
            if body is None:
                return
            line, headers = head
            if " /jackdawshunt/report " in line:
                report = json.dumps(
                    {"stage": "both", "models": [], "busy": False,
                     "sequence": 1, "queueDepth": 0, "activeRequests": 0,
                     "kvUsed": 0, "kvTotal": 486852, "handles": 0,
                     "born": self.born}).encode()
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
                             % len(report) + report)
                continue
            expected = headers.get("expected-instance")
            if expected is not None and expected != self.name:
                sock.sendall(("HTTP/1.1 421 Misdirected Request\r\n"
                              "Instance-Id: %s\r\nRequest-Id: %s\r\n"
                              "Content-Length: 0\r\n\r\n"
                              % (self.name, headers.get("request-id")))
                             .encode())
                continue
            self.record("run      %s at %s: %s, left %s ms" % (
                headers.get("request-id"), self.name, line,
                headers.get("deadline-milliseconds")))
            if not self.handle(self, sock, line, headers, body):
                return


def answer_head(headers, length, more=""):
    return ("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
            "Response-Seal: seal.%s\r\n%sContent-Length: %d\r\n\r\n"
            % (headers.get("request-id"), headers.get("request-id"), more,
               length)).encode()


class Deployment:
    """Gateways, a board beside each engine, the store."""

    def __init__(self, folder, gateways=2, memory_mb=260, descriptors=4100):
        if not os.path.exists(BINARY):
            raise FileNotFoundError(BINARY)
        self.record = Record(folder)
        self.temporary = tempfile.mkdtemp(prefix="review-")
        # Scripts that run at the same time do not share addresses.
        self.network = "127.%d.%d" % (32 + os.getpid() % 190,
                                      os.getpid() // 190 % 250)
        self.count = gateways
        self.memory_mb = memory_mb
        self.descriptors = descriptors
        self.store = Store(self.network + ".1")
        self.servers = []
        self.processes = {}
        self.logs = []
        self.version = 0
        self.public_port = free_port(self.network + ".10")
        self.ready_port = free_port(self.network + ".10")
        self.internal = [free_port(self.network + ".10"),
                         free_port(self.network + ".10")]
        self.internal.sort()
        self.routes = []
        self.services = []
        self.keys = {"lodge": [KEY]}
        self.limits = {"headerBytes": 16384, "bodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
                       "tokensPerS": 230000}

    # The desired state.
    def add_service(self, name, is_engine=False, **more):
        row = {"name": name, "healthPath": "/health", "connectionLimit": 360,
               "protocol": "h1", "tls": False}
        if is_engine:
            row["engine"] = {"slots": 64, "kvTokens": 486852,
                             "kvBytes": 18432, "linkMbps": 370000.0,
                             "models": [{"name": "m"}]}
        row.update(more)
        self.services.append(row)

    def add_route(self, prefix, kind, service, timeout_ms, **more):
        row = {"name": "r-" + prefix.strip("/"), "host": HOST,
               "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout_ms,
               "targetLatencyMs": 300, "priority": 1, "service": service,
               "attempts": 2, "public": False, "sticky": kind == "streaming",
               "resumable": False}
        row.update(more)
        self.routes.append(row)

    def configuration(self):
        return {"version": self.version, "routes": list(self.routes),
                "services": list(self.services), "limits": dict(self.limits),
                "tenants": [{"name": n, "apiKeys": list(k), "priority": 1}
                            for n, k in self.keys.items()]}

    def put_configuration(self):
        self.version += 3
        self.store.put("config", "main", self.configuration())

    def add_server(self, service, handle, slots=64):
        index = len(self.servers)
        server = Server("%s.%d" % (self.network, 100 + index), "i-%d" % index,
                        service, handle, self.record, slots)
        self.servers.append(server)
        self.store.put("servers", server.name, server.entry())
        return server

    # Processes.
    def settings(self, name, ip, machine, more):
        lines = ["node=" + name, "role=" + machine, "machineClass=" + machine,
                 "serves=" + machine, "ip=" + ip, "zone=pos-hall-a",
                 "region=tt-north", "zones.pos-hall-a=tt-north",
                 "internalPorts=%d,%d" % tuple(self.internal), "seeds=",
                 "bootstrap=true", "countsAsLoss=false", "limits.cpuShare=0.19",
                 "limits.cores=1", "limits.memoryMb=%d" % self.memory_mb,
                 "limits.fileDescriptors=%d" % self.descriptors,
                 "limits.linkMbps=1000.0", "limits.diskMb=0",
                 "discovery=platform", "entry=virtual_ip", "heartbeatMs=1200",
                 "contracts=base,drain,config,cost,retry,recover,engine,"
                 "stream,tenants,platform",
                 "bounds.seedLagS=3", "bounds.reuseAfterS=2",
                 "bounds.contactMs=3000", "bounds.acknowledgeMs=4000",
                 "bounds.catchUpS=4", "bounds.drainMs=2000",
                 "bounds.graceS=8", "bounds.lossSlackMs=200",
                 "bounds.configurationMs=2000", "bounds.rollbackSlackMs=250",
                 "bounds.outerMs=5000", "bounds.strictRevocation=true",
                 "bounds.revokeMs=5000", "bounds.budgetRatio=0.2",
                 "bounds.budgetWindowS=10", "bounds.budgetSlack=54",
                 "bounds.recoveryS=12", "bounds.passMs=120",
                 "bounds.reuseWindowS=10", "bounds.quotaWindowS=4",
                 "platform.address=%s:%d" % self.store.listener.address,
                 "platform.form=objects", "platform.writesPerS=400",
                 "platform.readsPerS=2000", "platform.historyS=20",
                 "platform.valueBytes=1048576", "platform.ttlMinMs=1000"]
        path = os.path.join(self.temporary, name + ".conf")
        with open(path, "w") as file:
            file.write("\n".join(lines + more) + "\n")
        return path

    def spawn(self, name, role, path):
        log = open(os.path.join(self.temporary, name + ".log"), "ab")
        self.logs.append(log)
        self.processes[name] = subprocess.Popen(
            [BINARY, role, "--settings", path], cwd=ROOT, stdout=log,
            stderr=log, stdin=subprocess.DEVNULL)

    def gateway_ip(self, index):
        return "%s.%d" % (self.network, 10 + index)

    def gateway_address(self, index):
        return (self.gateway_ip(index), self.public_port)

    def start_gateway(self, index):
        ip = self.gateway_ip(index)
        path = self.settings("front-%d" % index, ip, "front", [
            "listen.front=%s:%d" % (ip, self.public_port),
            "listen.ready=%s:%d" % (ip, self.ready_port)])
        self.spawn("front-%d" % index, "gateway", path)

    def start_board(self, server):
        ip = server.listener.address[0]
        path = self.settings("side-" + server.name, ip, "side", [
            "app=" + server.address, "service=" + server.service])
        self.spawn("side-" + server.name, "board", path)

    def is_ready(self, index):
        try:
            with socket.create_connection((self.gateway_ip(index),
                                           self.ready_port), 1) as s:
                s.sendall(b"GET /jackdawshunt/readiness HTTP/1.1\r\n"
                          b"Host: x\r\nConnection: close\r\n\r\n")
                s.settimeout(1)
                return s.recv(100).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def start(self):
        engines = {s["name"] for s in self.services if "engine" in s}
        for server in self.servers:
            if server.service in engines:
                self.start_board(server)
        for index in range(self.count):
            self.start_gateway(index)
        until = time.monotonic() + 20
        while not all(self.is_ready(i) for i in range(self.count)):
            if time.monotonic() > until:
                raise RuntimeError("the gateways are not ready")
            time.sleep(0.05)
        time.sleep(1)

    def process(self, index):
        return self.processes["front-%d" % index]

    def log_of(self, name):
        with open(os.path.join(self.temporary, name + ".log"), "rb") as file:
            return file.read().decode("utf-8", "replace")

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for server in self.servers:
            server.listener.close()
        self.store.listener.close()
        for log in self.logs:
            log.close()
        shutil.rmtree(self.temporary, ignore_errors=True)


def request_bytes(method, path, request_id, deadline_ms, body=None, more=(),
                  key=KEY):
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + HOST,
             "Request-Id: " + request_id,
             "Deadline-Milliseconds: %d" % deadline_ms,
             "Authorization: Token " + key]
    lines += list(more)
    if body is not None:
        lines.append("Content-Length: %d" % len(body))
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b"")
