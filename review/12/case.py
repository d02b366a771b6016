"""Requesters read their answers slowly while their daemon gets SIGTERM."""

import asyncio
import os
import signal
import socket
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib3"))
import fleet as lib  # noqa: E402

EVENTS = 30
EVENT_BYTES = 4000
BYTES_PER_S = 24000
REQUESTERS = 4
SIGTERM_AFTER_S = 1.0


def whole_body(request_id):
  return b"".join(lib.event(i, request_id + "x" * EVENT_BYTES)
                  for i in range(1, EVENTS + 1))


async def stream(server, head, body, writer):
  request_id = head.get("Request-Id")
  writer.write(lib.answer_head(head, "Content-Type: text/event-stream",
                               "Transfer-Encoding: chunked"))
  for i in range(1, EVENTS + 1):
    writer.write(lib.chunk(lib.event(i, request_id + "x" * EVENT_BYTES)))
    await writer.drain()
    await asyncio.sleep(0.02)
  writer.write(b"0\r\n\r\n")
  await writer.drain()
  server.fleet.record("server %s has answered %s completely" %
                      (server.id, request_id))


async def slow_requester(fleet, gateway, index):
  """Sends one request and reads the answer at BYTES_PER_S."""
  loop = asyncio.get_running_loop()
  request_id, data = fleet.request("textbook", prompt="5c1e07a2:800,%x:250" %
                                   (0xe4402b7d + index))
  channel = socket.socket()
  channel.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
  channel.setblocking(False)
  await loop.sock_connect(channel, (gateway.ip, fleet.front_port))
  sent_at = time.monotonic()
  await loop.sock_sendall(channel, data)
  fleet.record("requester sends " + request_id)
  reader = asyncio.StreamReader(limit=2 ** 24)

  async def feed():
    try:
      while True:
        data = await loop.sock_recv(channel, 2048)
        if not data:
          break
        reader.feed_data(data)
        await asyncio.sleep(len(data) / BYTES_PER_S)
      reader.feed_eof()
    except OSError as error:
      reader.set_exception(error)

  feeding = asyncio.ensure_future(feed())
  answer = await lib.read_answer(reader)
  feeding.cancel()
  channel.close()
  whole = answer.complete and answer.body == whole_body(request_id)
  fleet.record("requester got for %s after %.2f s: %s" % (
      request_id, time.monotonic() - sent_at, answer))
  return answer, whole


async def case(folder, trouble):
  async with lib.Fleet(folder) as fleet:
    server = lib.Server(fleet, fleet.ip(), "brailler", stream)
    await server.start()
    server.write_entry()
    fleet.put_config([lib.route("textbook", "streaming", "brailler")],
                     [fleet.engine_service("brailler")])
    fleet.start_board(server)
    gateway = fleet.start_gateway()
    await fleet.wait_ready(gateway)
    await asyncio.sleep(1.0)
    requests = [asyncio.ensure_future(slow_requester(fleet, gateway, i))
                for i in range(REQUESTERS)]
    await asyncio.sleep(SIGTERM_AFTER_S)
    if trouble:
      fleet.record("SIGTERM to the gateway")
      term_at = time.monotonic()
      gateway.send_signal(signal.SIGTERM)

      async def watch_exit():
        while gateway.poll() is None:
          await asyncio.sleep(0.02)
        fleet.record("the gateway has exited %.2f s after SIGTERM, code %d" % (
            time.monotonic() - term_at, gateway.returncode))

      watching = asyncio.ensure_future(watch_exit())
    results = await asyncio.gather(*requests)
    if trouble:
      await asyncio.wait_for(watching, 15)
    if any(answer.status not in (200,) for answer, _ in results):
      raise lib.CannotRun("a request was refused")
    lost = [answer for answer, whole in results if not whole]
    fleet.record("%d of %d answers weren't whole" % (len(lost), len(results)))
    print("%d of %d answers weren't whole" % (len(lost), len(results)))
    return lib.BROKEN if lost else lib.HELD


lib.run_case(case, HERE)
