"""The only tenant is taken out of the desired state, and its key with it.

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
REVOKE_S = 5
NEVER_HELD = "key-of-nobody"


def serve(server, sock, line, headers, body):
    sock.sendall(deployment.answer_head(headers, 800) + b"a" * 800)
    return True


def ask(site, gateway, request_id, key):
    sock = socket.create_connection(site.gateway_address(gateway), 1)
    sock.settimeout(2)
    sock.sendall(deployment.request_bytes("POST", "/hold/x", request_id, 1500,
                                          b"{}", key=key))
    connection = deployment.Connection(sock)
    line, headers = connection.read_head()
    connection.read_body(headers)
    sock.close()
    site.record("received %s at front-%d: %s, key %s" % (
        request_id, gateway, line, key))
    return line.split(" ")[1]


def main():
    site = deployment.Deployment(FOLDER)
    runs = []
    record = site.record

    def record_run(text):
        record(text)
        if text.startswith("run "):
            runs.append(text.split()[1])

    site.record = record_run
    try:
        site.add_service("desk")
        site.add_route("/hold/", "unsafe", "desk", 1500)
        site.put_configuration()
        for _ in range(3):
            site.add_server("desk", serve, slots=6)
        site.start()
        for gateway in range(2):
            if ask(site, gateway, "before-%d" % gateway,
                   deployment.KEY) != "200":
                return 2
            if ask(site, gateway, "before-nobody-%d" % gateway,
                   NEVER_HELD) != "401":
                return 2
        if TROUBLE:
            site.keys = {}
            site.put_configuration()
            site.record("desired state %d has no tenant any more" %
                        site.version)
        time.sleep(REVOKE_S + 1)
        for number in range(5):
            for gateway in range(2):
                name = "late-%d-%d" % (gateway, number)
                ask(site, gateway, "taken-" + name, deployment.KEY)
                ask(site, gateway, "never-" + name, NEVER_HELD)
            time.sleep(0.5)
        taken = sum(1 for run in runs if run.startswith("taken-")
                    ) if TROUBLE else 0
        never = sum(1 for run in runs if run.startswith("never-"))
        site.record("%d requests ran whose key was taken away over %d s "
                    "before, %d whose key no desired state ever held" %
                    (taken, REVOKE_S, never))
        return 1 if taken or never else 0
    finally:
        site.stop()


try:
    code = main()
except Exception as error:  # The case couldn't run.
    print("could not run: %r" % error, flush=True)
    code = 2
sys.exit(code)
