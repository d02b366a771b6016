"""The store is silent for a time; a server leaves after it is back."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib3"))
import fleet as lib  # noqa: E402

SILENT_S = 8.0  # `platform_down` with `silent` in the site file.
STABLE_S = 4.0  # After the silence, at least contactMs (3,000).
DRAIN_S = 2.0  # drainMs
SERVERS = 4  # One more is added: 0.25 (scale_out: 0.3); one of 5 leaves: 0.2.
REQUESTS = 20
REQUESTS_AFTER_S = 2.5  # The confirmation.
EXIT_AFTER_S = 4.0  # "a little longer (at times many seconds)"
EVENTS = 30
GAP_S = 0.1


async def stream(server, head, body, writer):
  server.arrivals.append((head.get("Request-Id"), time.monotonic()))
  more = ["Server-Leaving: 1"] if server.state == "draining" else []
  writer.write(lib.answer_head(head, "Content-Type: text/event-stream",
                               "Transfer-Encoding: chunked", *more))
  for i in range(1, EVENTS + 1):
    writer.write(lib.chunk(lib.event(i, "text")))
    await writer.drain()
    await asyncio.sleep(GAP_S)
  writer.write(b"0\r\n\r\n")
  await writer.drain()


async def call(fleet, gateway, index):
  request_id, data = fleet.request(
      "exam", prompt="%x:350,%x:250" % (0x5c1e07a2 + index, 0xe4402b7d + index))
  reader, writer = await asyncio.open_connection(gateway.ip, fleet.front_port)
  writer.write(data)
  fleet.record("requester sends " + request_id)
  answer = await asyncio.wait_for(lib.read_answer(reader), 14)
  writer.close()
  fleet.record("requester got for %s: %s" % (request_id, answer))
  return answer


async def add_server(fleet):
  server = lib.Server(fleet, fleet.ip(), "brailler", stream)
  server.arrivals = []
  await server.start()
  server.write_entry()
  fleet.start_board(server)
  return server


async def case(folder, trouble):
  async with lib.Fleet(folder) as fleet:
    servers = [await add_server(fleet) for _ in range(SERVERS)]
    fleet.put_config([lib.route("exam", "streaming", "brailler",
                                targetLatencyMs=800)],
                     [fleet.engine_service("brailler")])
    gateways = [fleet.start_gateway() for _ in range(2)]
    for gateway in gateways:
      await fleet.wait_ready(gateway)
    await asyncio.sleep(1.0)
    if trouble:
      fleet.record("the store is silent")
      fleet.store.is_silent = True
    await asyncio.sleep(SILENT_S / 2)
    fleet.record("a server is added, and its entry is written")
    await add_server(fleet)
    await asyncio.sleep(SILENT_S / 2)
    if trouble:
      fleet.record("the store answers again")
      fleet.store.is_silent = False
    await asyncio.sleep(STABLE_S)
    for gateway in gateways:
      await fleet.wait_ready(gateway)
    leaving = servers[0]
    leaving.state = "draining"
    leaving.write_entry()
    confirmed_at = time.monotonic()
    fleet.record("server %s reports draining, confirmed" % leaving.id)
    await asyncio.sleep(REQUESTS_AFTER_S)
    calls = [asyncio.ensure_future(call(fleet, gateways[i % 2], i))
             for i in range(REQUESTS)]
    await asyncio.sleep(confirmed_at + EXIT_AFTER_S - time.monotonic())
    fleet.record("server %s exits" % leaving.id)
    leaving.stop()
    answers = await asyncio.gather(*calls)
    late = [request for request, at in leaving.arrivals
            if at - confirmed_at > DRAIN_S]
    lost = [a for a in answers if not a.complete]
    text = ("%d requests reached the leaving server later than drainMs after "
            "the confirmation; %d of %d answers were cut" % (
                len(late), len(lost), len(answers)))
    fleet.record(text)
    print(text)
    return lib.BROKEN if late else lib.HELD


lib.run_case(case, HERE)
