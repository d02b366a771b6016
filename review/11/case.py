"""An entry of another writer, with bytes that can't be read, lies beside the
entries of the servers."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib3"))
import fleet as lib  # noqa: E402

CHANNELS = 8
STARTS = 3
EVENTS = 10
ZONES = ("pos-hall-a", "pos-hall-b")


async def stream(server, head, body, writer):
  server.fleet.passed_on.add(head.get("Request-Id"))
  first = int(head.get("Last-Event-Id", "0") or 0) + 1
  await asyncio.sleep(0.3)
  writer.write(lib.answer_head(head, "Content-Type: text/event-stream",
                               "Transfer-Encoding: chunked"))
  for i in range(first, EVENTS + 1):
    writer.write(lib.chunk(lib.event(i, "text")))
    await writer.drain()
    await asyncio.sleep(0.05)
  writer.write(b"0\r\n\r\n")
  await writer.drain()


async def plain(server, head, body, writer):
  writer.write(lib.answer_head(head, "Content-Length: 2") + b"ok")


async def requester(fleet, gateway, index):
  """Sends two requests on one channel: a plain one, then a stream. Returns
  whether the stream was passed on and the channel closed without an answer."""
  reader, writer = await asyncio.open_connection(gateway.ip, fleet.front_port)
  request_id, data = fleet.request("status", method="GET", deadline_ms=1500)
  writer.write(data)
  answer = await lib.read_answer(reader)
  fleet.record("requester got for %s on a new channel: %s" % (
      request_id, answer))
  if not answer.complete or answer.status != 200:
    raise lib.CannotRun("a plain request wasn't answered")
  request_id, data = fleet.request(
      "notice", deadline_ms=6000,
      prompt="5c1e07a2:800,%x:250" % (0xe4402b7d + index))
  writer.write(data)
  fleet.record("requester sends %s on the same channel" % request_id)
  answer = await lib.read_answer(reader)
  writer.close()
  passed_on = request_id in fleet.passed_on
  fleet.record("requester got for %s: %s; %s" % (
      request_id, answer,
      "a server got it" if passed_on else "no server got it"))
  return passed_on and answer.status == 0


async def case(folder, trouble):
  async with lib.Fleet(folder) as fleet:
    fleet.passed_on = set()
    engines = []
    for i in range(4):
      engine = lib.Server(fleet, fleet.ip(), "brailler", stream,
                          zone=ZONES[i % len(ZONES)])
      engine.id = "i-%d" % i
      await engine.start()
      engine.write_entry()
      fleet.start_board(engine)
      engines.append(engine)
    desk = lib.Server(fleet, fleet.ip(), "desk", plain, slots=6)
    await desk.start()
    desk.write_entry()
    fleet.put_config(
        [lib.route("notice", "streaming", "brailler", timeoutMs=6000,
                   targetLatencyMs=1000, attempts=2, resumable=True),
         lib.route("status", "safe", "desk", timeoutMs=1500,
                   targetLatencyMs=100, attempts=2)],
        [fleet.engine_service("brailler"), fleet.plain_service("desk")])
    if trouble:
      fleet.store.put("servers", "i-other", {
          "service": "brailler",
          "address": "%s:%d" % (engines[0].ip, engines[0].port),
          "zone": lib.UNREADABLE, "version": "v1", "slots": 64,
          "state": "ready", "sequence": 1})
      fleet.record("an entry of another writer is in the store: i-other, with "
                   "the address of i-0 and a zone that can't be read")
    closed = ends = 0
    ip = fleet.ip()
    for _ in range(STARTS):
      gateway = fleet.start_gateway(ip)
      await fleet.wait_ready(gateway)
      await asyncio.sleep(1.0)
      results = await asyncio.gather(
          *[requester(fleet, gateway, i) for i in range(CHANNELS)])
      closed += sum(results)
      await asyncio.sleep(0.3)
      if gateway.poll() is None:
        break
      ends += 1
      fleet.record("the gateway has ended by itself, code %d" %
                   gateway.returncode)
    text = ("the gateway ended by itself %d times; %d requests of kept "
            "channels were passed on and not answered" % (ends, closed))
    fleet.record(text)
    print(text)
    return lib.BROKEN if closed > 3 else lib.HELD


lib.run_case(case, HERE)
