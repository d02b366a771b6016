"""A desired state moves a route to another service and drops the old one, while
streams that began there go on; two servers of it crash one after the other.

As on the machines, a process that ends is started again. TROUBLE=0: the same
desired state, and no crash.
"""
import os
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib2"))
import deployment  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STREAMS = 16  # At each gateway.
EVENTS = 20
EVENT_GAP_S = 0.4
DEADLINE_MS = 12000
UNSAFE = 4  # Requests at each gateway, on kept channels.
WORK_S = 1.4
DOWN_S = 1.5


class Case:
    def __init__(self, site):
        self.site = site
        self.whole = {}
        self.running = {}  # Streams, by server.

    def serve_stream(self, server, sock, line, headers, body):
        request_id = headers.get("request-id")
        self.running.setdefault(server.name, set()).add(request_id)
        last = int(headers.get("last-event-id", "0"))
        sock.sendall(("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
                      "Response-Seal: seal.%s\r\n"
                      "Content-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n" %
                      (request_id, request_id)).encode())
        for number in range(last + 1, EVENTS + 1):
            text = b"id: %d\ndata: piece\n\n" % number
            sock.sendall(b"%x\r\n" % len(text) + text + b"\r\n")
            time.sleep(EVENT_GAP_S)
        sock.sendall(b"0\r\n\r\n")
        return True

    def serve_unsafe(self, server, sock, line, headers, body):
        if "/hold/slow" in line:
            time.sleep(WORK_S)
        sock.sendall(deployment.answer_head(headers, 800) + b"a" * 800)
        return True

    def crash(self, server):
        self.site.record("crash    %s" % server.name)
        server.listener.close()
        self.site.store.delete("servers", server.name)

    def come_back(self, server):
        """A new boot with a new id, at the same address."""
        new = deployment.Server(server.listener.address[0], "r" + server.name,
                                server.service, self.serve_stream,
                                self.site.record,
                                port=server.listener.address[1])
        self.site.servers.append(new)
        self.site.store.put("servers", new.name, new.entry())
        self.site.record("back     %s as %s" % (server.name, new.name))

    def stream(self, gateway, number):
        request_id = "stream-%d-%d" % (gateway, number)
        body = None
        try:
            sock = socket.create_connection(
                self.site.gateway_address(gateway), 1)
            sock.settimeout(8)
            sock.sendall(deployment.request_bytes(
                "POST", "/notice/x", request_id, DEADLINE_MS, b"{}",
                more=["Model: m", "Token-Counts: 200,20",
                      "Prompt-Prefix: %x:150,%x:50" % (1000003 * (number + 1),
                                                       4096 + number)]))
            self.site.record("sent     %s" % request_id)
            connection = deployment.Connection(sock)
            _, headers = connection.read_head()
            body = connection.read_body(headers)
        except (OSError, TypeError):
            pass
        self.site.record("received %s: %s" % (
            request_id, "broken off" if body is None
            else "complete, %d events" % body.count(b"\n\n")))
        self.whole[request_id] = body is not None

    def keep_channel(self, gateway, request_id):
        sock = socket.create_connection(self.site.gateway_address(gateway), 1)
        sock.settimeout(5)
        sock.sendall(deployment.request_bytes("POST", "/hold/x", request_id,
                                              1500, b"{}"))
        connection = deployment.Connection(sock)
        _, headers = connection.read_head()
        connection.read_body(headers)
        return sock

    def unsafe(self, gateway, request_id, sock):
        line = "closed without an answer"
        try:
            sock.sendall(deployment.request_bytes(
                "POST", "/hold/slow", request_id, 4000, b"{}"))
            self.site.record("sent     %s" % request_id)
            connection = deployment.Connection(sock)
            head = connection.read_head()
            if head is not None and connection.read_body(head[1]) is not None:
                line = head[0]
        except OSError:
            pass
        self.site.record("received %s: %s" % (request_id, line))
        self.whole[request_id] = line.startswith("HTTP/1.1 200")


def main():
    site = deployment.Deployment(FOLDER)
    case = Case(site)
    try:
        site.add_service("llm", is_engine=True)
        site.add_service("llm-2", is_engine=True)
        site.add_service("desk")
        site.add_route("/notice/", "streaming", "llm", DEADLINE_MS,
                       resumable=True, attempts=3,
                       targetLatencyMs=1000, targetGapMs=800)
        site.add_route("/hold/", "unsafe", "desk", 4000)
        site.put_configuration()
        servers = [site.add_server("llm", case.serve_stream) for _ in range(4)]
        for _ in range(2):
            site.add_server("llm-2", case.serve_stream)
        for _ in range(4):
            site.add_server("desk", case.serve_unsafe, slots=6)
        site.start()
        time.sleep(3)  # contactMs: all machines are in touch.
        threads = [threading.Thread(target=case.stream, args=(g, i))
                   for g in range(2) for i in range(STREAMS)]
        for thread in threads:
            thread.start()
        kept = {(g, i): case.keep_channel(g, "first-%d-%d" % (g, i))
                for g in range(2) for i in range(UNSAFE)}
        time.sleep(1)
        site.services = [s for s in site.services if s["name"] != "llm"]
        site.routes[0] = dict(site.routes[0], service="llm-2")
        site.put_configuration()
        site.record("desired state %d: /notice/ goes to llm-2, llm is dropped" %
                    site.version)
        time.sleep(1)
        if TROUBLE:
            case.crash(servers[0])
        time.sleep(DOWN_S)
        if TROUBLE:
            case.come_back(servers[0])
        time.sleep(1)
        for (gateway, i), sock in kept.items():
            threads.append(threading.Thread(
                target=case.unsafe,
                args=(gateway, "unsafe-%d-%d" % (gateway, i), sock)))
            threads[-1].start()
        time.sleep(0.5)
        if TROUBLE:
            # The one that has the most streams.
            second = max(servers[1:], key=lambda server: len(
                case.running.get(server.name, ())))
            case.crash(second)
            time.sleep(DOWN_S)
            case.come_back(second)
        for thread in threads:
            thread.join()

        ended = []
        for gateway in range(2):
            code = site.process(gateway).poll()
            if code is not None:
                ended.append(gateway)
                site.record("front-%d has ended by itself, code %d" %
                            (gateway, code))
        lost = sum(1 for name, whole in case.whole.items()
                   if name.startswith("unsafe-") and not whole)
        site.record("%d gateways ended by themselves; %d unsafe requests from "
                    "kept channels, at sound servers, ended without an answer"
                    % (len(ended), lost))
        return 1 if lost > 3 else 0
    finally:
        site.stop()


try:
    code = main()
except Exception as error:  # The case couldn't run.
    print("could not run: %r" % error, flush=True)
    code = 2
sys.exit(code)
