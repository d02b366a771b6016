"""HEAD requests on a kept channel, and a desired state without their route.

TROUBLE=0 sends no new desired state.
"""
import os
import socket
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib2"))
import deployment  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CHANNELS = 4


def serve(server, sock, line, headers, body):
    answer = deployment.answer_head(headers, 800)
    if not line.startswith("HEAD "):
        answer += b"a" * 800
    sock.sendall(answer)
    return True


def exchange(site, connection, method, path, request_id):
    """Sends a request and reads its answer. Returns what was wrong with it."""
    connection.sock.sendall(deployment.request_bytes(method, path, request_id,
                                                     1500))
    site.record("sent     %s: %s %s" % (request_id, method, path))
    line, headers = connection.read_head()
    # An answer to HEAD has no body, whatever its length says.
    body = b"" if method == "HEAD" else connection.read_body(headers)
    site.record("received %s: %r, Request-Id %s, %s bytes of body" % (
        request_id, line[:100], headers.get("request-id"),
        None if body is None else len(body)))
    if not line.startswith("HTTP/1.1 "):
        return "bytes that are no answer: %r" % line
    if headers.get("request-id") != request_id:
        return "an answer without the request's id"
    return ""


def main():
    site = deployment.Deployment(FOLDER)
    try:
        site.add_service("desk")
        site.add_route("/label/", "safe", "desk", 1500)
        site.add_route("/status/", "safe", "desk", 1500)
        site.put_configuration()
        for _ in range(3):
            site.add_server("desk", serve, slots=6)
        site.start()
        channels = []
        for i in range(CHANNELS):
            sock = socket.create_connection(site.gateway_address(i % 2), 5)
            sock.settimeout(5)
            channels.append(deployment.Connection(sock))
        faults = []

        def round_of(name):
            for i, connection in enumerate(channels):
                for method, path in (("HEAD", "/label/x"), ("GET", "/status/x")):
                    fault = exchange(site, connection, method, path, "%s-%d-%s"
                                     % (name, i, method.lower()))
                    if fault:
                        site.record("fault    channel %d: %s" % (i, fault))
                        faults.append(fault)
                        break

        round_of("before")
        if TROUBLE:
            site.routes = [r for r in site.routes
                           if r["pathPrefix"] != "/label/"]
            site.put_configuration()
            site.record("desired state %d has no route /label/" % site.version)
        time.sleep(3)
        round_of("after")
        site.record("%d of %d channels had bytes that are no answer" %
                    (len(faults), CHANNELS))
        return 1 if faults else 0
    finally:
        site.stop()


try:
    code = main()
except Exception as error:  # The case couldn't run.
    print("could not run: %r" % error, flush=True)
    code = 2
sys.exit(code)
