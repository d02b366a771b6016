"""A small installation on loopback addresses for the cases in review/11 to 15.

The product runs as separate processes with the commands of the deploy file. The
platform's store, the servers and the requesters are stand-ins in this process,
written from the published pages. Each machine has an address of its own in
127.0.0.0/8; ports are free ones that the kernel gives out.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse
import uuid

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
BINARY = os.path.join(ROOT, "target", "jackdawshunt", "cli", "jackdawshunt")

HELD, BROKEN, CANNOT_RUN = 0, 1, 2

HOST = "ficu95.example"
KEY = "asnmgkcuyj8pjbvk9m68"
TENANT = "hule930"
# In a text of an object, stands for bytes that can't be read.
UNREADABLE = "UNREADABLE-BYTES"


class CannotRun(Exception):
  """The case couldn't run, whatever the product does."""


class Record:
  """Writes what was sent, answered and run into record.txt."""

  def __init__(self, folder):
    self.file = open(os.path.join(folder, "record.txt"), "w")
    self.start = time.monotonic()

  def __call__(self, text):
    line = "%8.3f s  %s" % (time.monotonic() - self.start, text)
    self.file.write(line + "\n")
    self.file.flush()


def free_ports(count):
  """Returns different free ports in ascending order."""
  probes = [socket.socket() for _ in range(count)]
  for probe in probes:
    probe.bind(("127.0.0.1", 0))
  ports = sorted(probe.getsockname()[1] for probe in probes)
  for probe in probes:
    probe.close()
  return ports


class Head:
  """Start line and headers of a message."""

  def __init__(self, text):
    lines = text.decode("latin-1").split("\r\n")
    self.start = lines[0]
    self.fields = []
    for line in lines[1:]:
      if line:
        name, _, value = line.partition(":")
        self.fields.append((name.strip(), value.strip()))

  def get(self, name, default=""):
    for field, value in self.fields:
      if field.lower() == name.lower():
        return value
    return default


async def read_head(reader):
  text = await reader.readuntil(b"\r\n\r\n")
  return Head(text[:-4])


async def read_request_body(reader, head):
  if head.get("Transfer-Encoding").lower() == "chunked":
    body = b""
    while True:
      size = int((await reader.readline()).strip().split(b";")[0], 16)
      body += await reader.readexactly(size)
      await reader.readline()
      if size == 0:
        return body
  return await reader.readexactly(int(head.get("Content-Length", "0") or 0))


class Store:
  """The platform's store: lists and watches of objects by kind and name."""

  def __init__(self, ip):
    self.ip = ip
    self.port = 0
    self.revision = 100
    self.objects = {}  # (kind, name) -> object
    self.events = []  # (revision, kind, object, removed)
    self.changed = asyncio.Event()
    self.server = None
    self.is_silent = False  # Loses the responses that are due meanwhile.

  async def start(self):
    self.server = await asyncio.start_server(self._serve, self.ip, 0)
    self.port = self.server.sockets[0].getsockname()[1]

  def _note(self, kind, item, removed):
    self.events.append((self.revision, kind, item, removed))
    self.changed.set()
    self.changed = asyncio.Event()

  def put(self, kind, name, specification):
    self.revision += 1
    item = {"metadata": {"name": name, "revision": self.revision,
                         "created": self.revision, "finalizers": [],
                         "deleting": False},
            "specification": specification, "status": None}
    self.objects[(kind, name)] = item
    self._note(kind, item, False)

  def remove(self, kind, name):
    item = self.objects.pop((kind, name), None)
    if item is not None:
      self.revision += 1
      self._note(kind, item, True)

  async def _watch(self, kind, since, wait_ms):
    end = time.monotonic() + wait_ms / 1000.0
    while True:
      found = [e for e in self.events if e[0] > since and e[1] == kind]
      left = end - time.monotonic()
      if found or left <= 0:
        return {"events": [{"object": e[2], "removed": e[3]} for e in found],
                "storeRevision": self.revision}
      try:
        await asyncio.wait_for(self.changed.wait(), left)
      except asyncio.TimeoutError:
        pass

  async def _serve(self, reader, writer):
    try:
      while True:
        head = await read_head(reader)
        await read_request_body(reader, head)
        method, target, _ = head.start.split(" ")
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        kind = url.path.rsplit("/", 1)[-1]
        if method != "GET":
          answer = {}
        elif "watch" in query:
          answer = await self._watch(kind, int(query["watch"]),
                                     int(query.get("waitMs", "0")))
        else:
          answer = {"items": [o for (k, n), o in sorted(self.objects.items())
                              if k == kind and n > query.get("after", "")],
                    "hasMore": False, "storeRevision": self.revision}
        if self.is_silent:
          # The channel returns nothing further.
          await reader.read()
          return
        body = json.dumps(answer).encode().replace(UNREADABLE.encode(),
                                                   b"\xff\xfe")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                     b"Store-Era: 1\r\nContent-Length: %d\r\n\r\n" % len(body)
                     + body)
        await writer.drain()
    except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
      pass
    finally:
      writer.close()


class Server:
  """A server of one service. `handler(server, head, body, writer)` answers a
  request that it runs; it returns False to close the channel."""

  def __init__(self, fleet, ip, service, handler, slots=64, address=None,
               zone="pos-hall-a"):
    self.fleet = fleet
    self.ip = ip
    self.service = service
    self.handler = handler
    self.slots = slots
    self.zone = zone
    self.id = "i-" + uuid.uuid4().hex[:8]
    self.listed_address = address  # Where the platform's list says it is.
    self.port = 0
    self.state = "ready"
    self.version = "v1"
    self.sequence = 0
    self.born = int(time.time() * 1000)
    self.server = None
    self.writers = set()
    self.tasks = set()

  async def start(self, port=0):
    self.server = await asyncio.start_server(self._serve, self.ip, port,
                                             limit=2 ** 24)
    self.port = self.server.sockets[0].getsockname()[1]

  def write_entry(self):
    self.sequence += 1
    self.fleet.store.put("servers", self.id, {
        "service": self.service,
        "address": self.listed_address or "%s:%d" % (self.ip, self.port),
        "zone": self.zone, "version": self.version, "slots": self.slots,
        "state": self.state, "coldRemainingMs": 0, "stage": "both",
        "models": [{"name": "m", "version": 1, "adapters": []}],
        "sequence": self.sequence, "born": self.born})

  def stop(self):
    """Ends as a killed process does: its listener and channels close."""
    self.server.close()
    for writer in list(self.writers):
      writer.close()
    for task in list(self.tasks):
      task.cancel()

  def report(self):
    return {"stage": "both", "born": self.born,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False, "sequence": 0, "queueDepth": 0,
            "activeRequests": 0, "kvUsed": 0, "kvTotal": 486852,
            "handles": 0}

  async def _serve(self, reader, writer):
    self.writers.add(writer)
    self.tasks.add(asyncio.current_task())
    try:
      while True:
        head = await read_head(reader)
        body = await read_request_body(reader, head)
        path = head.start.split(" ")[1]
        if path == "/jackdawshunt/report":
          text = json.dumps(self.report()).encode()
          writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                       b"Content-Length: %d\r\n\r\n" % len(text) + text)
        elif path == "/health":
          writer.write(("HTTP/1.1 200 OK\r\nInstance-Id: %s\r\n"
                        "Content-Length: 0\r\n\r\n" % self.id).encode())
        elif head.get("Expected-Instance") not in ("", self.id):
          writer.write(("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\n"
                        "Request-Id: %s\r\nContent-Length: 0\r\n\r\n" %
                        (self.id, head.get("Request-Id"))).encode())
        else:
          self.fleet.record("server %s gets %s, %s" % (
              self.id, head.get("Request-Id"), head.start))
          if await self.handler(self, head, body, writer) is False:
            break
        await writer.drain()
    except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
      pass
    finally:
      self.writers.discard(writer)
      self.tasks.discard(asyncio.current_task())
      writer.close()


def answer_head(head, *more, status="200 OK"):
  lines = ["HTTP/1.1 " + status, "Request-Id: " + head.get("Request-Id"),
           "Response-Seal: 3e1b.07." + head.get("Request-Id")]
  return ("\r\n".join(lines + list(more)) + "\r\n\r\n").encode()


def chunk(data):
  return b"%x\r\n" % len(data) + data + b"\r\n"


def event(number, text):
  return ("id: %d\ndata: %s\n\n" % (number, text)).encode()


def route(name, kind, service, **more):
  row = {"name": name, "host": HOST, "pathPrefix": "/%s/" % name,
         "kind": kind, "timeoutMs": 12000, "targetLatencyMs": 1200,
         "priority": 1, "service": service, "attempts": 1, "public": False,
         "sticky": kind == "streaming", "resumable": False,
         "targetGapMs": 800}
  row.update(more)
  return row


class Fleet:
  """The whole installation. Use as `async with Fleet(folder) as fleet`."""

  def __init__(self, folder):
    self.record = Record(folder)
    self.network = "127.%d.%d" % (random.randint(20, 250),
                                  random.randint(1, 250))
    self.next_ip = 10
    self.folder = tempfile.mkdtemp(prefix="jackdawshunt-review-")
    self.processes = []
    self.store = Store(self.ip())
    (self.front_port, self.ready_port, self.first_port,
     self.last_port) = free_ports(4)
    self.gateways = []
    self.version = 0
    self.request_id = random.getrandbits(48)

  def ip(self):
    self.next_ip += 1
    return "%s.%d" % (self.network, self.next_ip)

  async def __aenter__(self):
    if not os.access(BINARY, os.X_OK):
      raise CannotRun("no program at " + BINARY)
    await self.store.start()
    return self

  async def __aexit__(self, *_):
    for process in self.processes:
      if process.poll() is None:
        process.send_signal(signal.SIGCONT)
        process.kill()
      process.wait()
    if os.environ.get("KEEP"):
      print("kept", self.folder)
    else:
      shutil.rmtree(self.folder, ignore_errors=True)

  def put_config(self, routes, services, limits=None, keys=(KEY,)):
    self.version += 7
    self.store.put("config", "main", {
        "version": self.version, "routes": routes, "services": services,
        "limits": dict({"headerBytes": 16384, "bodyBytes": 4194304,
                        "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
                        "tokensPerS": 230000}, **(limits or {})),
        "tenants": [{"name": TENANT, "apiKeys": list(keys), "priority": 1}]})

  @staticmethod
  def plain_service(name):
    return {"name": name, "healthPath": "/health", "connectionLimit": 100,
            "protocol": "h1", "tls": False}

  @staticmethod
  def engine_service(name):
    return {"name": name, "healthPath": "/health", "connectionLimit": 360,
            "protocol": "h1", "tls": False,
            "engine": {"slots": 64, "kvTokens": 486852, "kvBytes": 18432,
                       "linkMbps": 370000.0, "moves": True, "backups": True,
                       "stride": 4, "most": 12, "pinMs": 4000.0,
                       "holdMs": 2000.0, "handleS": 5.0,
                       "models": [{"name": "m"}]}}

  def _settings(self, role, ip, more):
    machine = "front" if role == "gateway" else "side"
    lines = ["node=%s-%s" % (machine, ip), "role=" + role,
             "machineClass=" + machine, "serves=" + machine, "ip=" + ip,
             "zone=pos-hall-a", "region=tt-north",
             "zones.pos-hall-a=tt-north", "zones.pos-hall-b=tt-north",
             "internalPorts=%d,%d" % (self.first_port, self.last_port),
             "seeds=", "bootstrap=true", "countsAsLoss=false",
             "limits.cpuShare=0.19", "limits.cores=1",
             "limits.memoryMb=%d" % (260 if role == "gateway" else 192),
             "limits.fileDescriptors=4100", "limits.linkMbps=1000.0",
             "limits.diskMb=0", "discovery=platform", "entry=virtual_ip",
             "heartbeatMs=1200",
             "contracts=base,drain,config,cost,retry,recover,engine,stream,"
             "tenants,platform",
             "tolerate.machines=1", "tolerate.zones=0", "tolerate.regions=0",
             "bounds.seedLagS=3", "bounds.reuseAfterS=2",
             "bounds.contactMs=3000", "bounds.acknowledgeMs=4000",
             "bounds.catchUpS=4", "bounds.drainMs=2000", "bounds.graceS=8",
             "bounds.lossSlackMs=200", "bounds.configurationMs=2000",
             "bounds.rollbackSlackMs=250", "bounds.outerMs=5000",
             "bounds.strictRevocation=true", "bounds.revokeMs=5000",
             "bounds.budgetRatio=0.2", "bounds.budgetWindowS=10",
             "bounds.budgetSlack=54", "bounds.recoveryS=12",
             "bounds.passMs=120", "bounds.reuseWindowS=10",
             "bounds.quotaWindowS=4",
             "platform.address=%s:%d" % (self.store.ip, self.store.port),
             "platform.form=objects", "platform.writesPerS=400",
             "platform.readsPerS=2000", "platform.historyS=20",
             "platform.valueBytes=1048576", "platform.ttlMinMs=1000"]
    path = os.path.join(self.folder, "%s-%s.conf" % (role, ip))
    with open(path, "w") as out:
      out.write("\n".join(lines + more) + "\n")
    return path

  def start_process(self, role, ip, more):
    settings = self._settings(role, ip, more)
    log = open(settings + ".log", "ab")
    environment = {"PATH": os.environ.get("PATH", ""),
                   "HOME": os.environ.get("HOME", "/"),
                   "JACKDAWSHUNT_BOOT": settings}
    process = subprocess.Popen(
        [BINARY, role, "--settings", settings], cwd=ROOT, stdout=log,
        stderr=log, stdin=subprocess.DEVNULL, env=environment)
    process.log = settings + ".log"
    process.ip = ip
    self.processes.append(process)
    self.record("%s %s starts" % (role, ip))
    return process

  def start_gateway(self, ip=None):
    ip = ip or self.ip()
    process = self.start_process(
        "gateway", ip, ["listen.front=%s:%d" % (ip, self.front_port),
                        "listen.ready=%s:%d" % (ip, self.ready_port)])
    self.gateways.append(process)
    return process

  def start_board(self, server):
    return self.start_process(
        "board", server.ip, ["app=%s:%d" % (server.ip, server.port),
                             "service=" + server.service])

  async def is_ready(self, gateway):
    try:
      reader, writer = await asyncio.wait_for(
          asyncio.open_connection(gateway.ip, self.ready_port), 1)
      writer.write(b"GET /jackdawshunt/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
      head = await asyncio.wait_for(read_head(reader), 1)
      writer.close()
      return head.start.split(" ")[1] == "200"
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
      return False

  async def wait_ready(self, gateway, limit_s=15):
    end = time.monotonic() + limit_s
    while not await self.is_ready(gateway):
      if time.monotonic() > end:
        raise CannotRun("the gateway isn't ready")
      await asyncio.sleep(0.05)

  def request(self, route_name, method="POST", body=b"{}", deadline_ms=12000,
              prompt=None, key=KEY, extra=()):
    """Returns the id and the bytes of a request."""
    self.request_id += 1
    request_id = "%016x" % self.request_id
    lines = ["%s /%s/2f HTTP/1.1" % (method, route_name), "Host: " + HOST,
             "Request-Id: " + request_id,
             "Deadline-Milliseconds: %d" % deadline_ms,
             "Authorization: Token " + key]
    if prompt is not None:
      lines += ["Model: m", "Token-Counts: 1460,80",
                "Prompt-Prefix: " + prompt]
    lines += list(extra)
    if method == "GET":
      body = b""
    else:
      lines.append("Content-Length: %d" % len(body))
    return request_id, ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Answer:
  """What a requester got on one channel for one request."""

  def __init__(self):
    self.status = 0
    self.head = None
    self.body = b""
    self.complete = False
    self.how = ""  # How it ended.

  def __str__(self):
    return "status %d, %d bytes of body, %s" % (
        self.status, len(self.body),
        "complete" if self.complete else "incomplete: " + self.how)


async def read_answer(reader, head_only=False, pace=None):
  """Reads one answer. `pace(count)` is awaited after `count` bytes more were
  read."""
  answer = Answer()

  async def take(count):
    left = count
    while left > 0:
      data = await reader.read(min(left, 4096))
      if not data:
        raise asyncio.IncompleteReadError(b"", left)
      answer.body += data
      left -= len(data)
      if pace is not None:
        await pace(len(data))

  try:
    answer.head = await read_head(reader)
    answer.status = int(answer.head.start.split(" ")[1])
    if answer.head.get("Transfer-Encoding").lower() == "chunked":
      while True:
        size = int((await reader.readline()).strip() or b"x", 16)
        await take(size)
        await reader.readline()
        if size == 0:
          break
    else:
      await take(int(answer.head.get("Content-Length", "0")))
    answer.complete = True
  except (asyncio.IncompleteReadError, ValueError):
    answer.how = "the channel ended"
  except (ConnectionError, OSError) as error:
    answer.how = "the channel was reset (%s)" % error
  return answer


def run_case(case, folder):
  """Runs `case(folder, trouble)` and exits with its result."""
  trouble = os.environ.get("TROUBLE", "1") != "0"
  try:
    result = asyncio.run(asyncio.wait_for(case(folder, trouble), 115))
  except Exception as error:  # Whatever it is, it doesn't show a broken rule.
    print("couldn't run: %r" % error)
    result = CANNOT_RUN
  print({HELD: "the rule held", BROKEN: "the rule was broken",
         CANNOT_RUN: "the case couldn't run"}[result])
  sys.stdout.flush()
  sys.exit(result)
