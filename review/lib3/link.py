"""The link between the daemons and one server, which can be cut.

While it is cut, no bytes and no ends of channels pass in either direction; they
are held up and pass when the cut heals, as TCP would deliver them.
"""

import asyncio


class Link:

  def __init__(self, ip):
    self.ip = ip
    self.port = 0
    self.target = None  # (ip, port) of the server.
    self.is_open = asyncio.Event()
    self.is_open.set()
    self.server = None

  async def start(self):
    self.server = await asyncio.start_server(self._accept, self.ip, 0)
    self.port = self.server.sockets[0].getsockname()[1]

  @property
  def address(self):
    return "%s:%d" % (self.ip, self.port)

  def cut(self):
    self.is_open.clear()

  def heal(self):
    self.is_open.set()

  async def _copy(self, reader, writer):
    try:
      while True:
        data = await reader.read(65536)
        await self.is_open.wait()
        if not data:
          break
        writer.write(data)
        await writer.drain()
    except OSError:
      await self.is_open.wait()
    except asyncio.CancelledError:
      pass
    writer.close()

  async def _accept(self, reader, writer):
    try:
      await self.is_open.wait()
      to_reader, to_writer = await asyncio.open_connection(*self.target)
    except (asyncio.CancelledError, OSError):
      writer.transport.abort()
      return
    try:
      await asyncio.gather(self._copy(reader, to_writer),
                           self._copy(to_reader, writer))
    except asyncio.CancelledError:
      pass
