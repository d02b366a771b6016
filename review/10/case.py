"""Many users come at once, each on a channel of its own that it keeps.

Every request is inside the limits of the desired state. The script does what
the machines do: it ends a process whose memory exceeds limits.memoryMb, and
starts it again. TROUBLE=0 sends the same requests over the channels of a few
users.
"""
import os
import resource
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib2"))
import deployment  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MB = 260
DESCRIPTORS = 4100
CHANNELS = 2800 if TROUBLE else 20  # At each gateway.
REQUESTS = 2800  # At each gateway, in each round.
ROUNDS = 3
IDLE_S = 8  # Below four fifths of idleTimeoutMs.
HEADER_BYTES = 16384


def prompt_headers(request_id):
    """Returns headers that make a head of about 15.8 KB."""
    parts = []
    size = 0
    while size < HEADER_BYTES - 700:
        parts.append("%x:2" % (4096 + len(parts)))
        size += len(parts[-1]) + 1
    return ["Model: m", "Token-Counts: %d,80" % (2 * len(parts)),
            "Prompt-Prefix: " + ",".join(parts)]


def serve(server, sock, line, headers, body):
    sock.sendall(deployment.answer_head(headers, 800) + b"a" * 800)
    return True


class Machine:
    """Watches a gateway's memory; ends it over the limit, and restarts it."""

    def __init__(self, site, index):
        self.site = site
        self.index = index
        self.ends = 0
        self.peak_mb = 0
        self.is_stopping = False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def memory_mb(self):
        try:
            with open("/proc/%d/status" % self.site.process(
                    self.index).pid) as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0

    def run(self):
        while not self.is_stopping:
            memory = self.memory_mb()
            self.peak_mb = max(self.peak_mb, memory)
            process = self.site.process(self.index)
            if memory > MEMORY_MB or process.poll() is not None:
                self.ends += 1
                process.kill()
                process.wait()
                self.site.record(
                    "front-%d exceeds memoryMb=%d: %d MB; it is ended" % (
                        self.index, MEMORY_MB, memory))
                time.sleep(1)
                self.site.start_gateway(self.index)
            time.sleep(0.05)


def users(site, index, machine, counts, lock):
    """The users of one gateway: each round all come, then all are idle."""
    for round_number in range(ROUNDS):
        until = time.monotonic() + 15
        while not site.is_ready(index) and time.monotonic() < until:
            time.sleep(0.1)
        channels = {}
        answered = {}
        for number in range(REQUESTS):
            user = number % CHANNELS
            request_id = "q%d-%d-%d" % (index, round_number, number)
            try:
                connection = channels.get(user)
                if connection is None:
                    sock = socket.create_connection(
                        site.gateway_address(index), 2)
                    connection = channels[user] = deployment.Connection(sock)
                head = deployment.request_bytes(
                    "GET", "/fetch/x", request_id, 1500,
                    more=prompt_headers(request_id))
                assert len(head) <= HEADER_BYTES
                connection.sock.sendall(head)
                line, headers = connection.read_head()
                connection.read_body(headers)
                status = line.split(" ")[1]
            except (OSError, TypeError):
                status = "none"
                channels.pop(user, None)
            answered[status] = answered.get(status, 0) + 1
            if status == "none":
                break  # The channels of the others have ended too.
        site.record("front-%d round %d: %d channels kept, answers %s, %d MB" % (
            index, round_number, len(channels), answered,
            machine.memory_mb()))
        time.sleep(IDLE_S if TROUBLE else 2)
        for connection in channels.values():
            connection.sock.close()
    with lock:
        counts.append(machine.ends)


def main():
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and hard < 3 * CHANNELS:
        print("too few descriptors: %d" % hard)
        return 2
    resource.setrlimit(resource.RLIMIT_NOFILE,
                       (min(hard, 20000) if hard > 0 else 20000, hard))
    site = deployment.Deployment(FOLDER, memory_mb=MEMORY_MB,
                                 descriptors=DESCRIPTORS)
    machines = []
    record = site.record
    # The runs are counted, not listed.
    site.record = lambda text: None if text.startswith("run ") else record(text)
    try:
        site.add_service("desk")
        site.add_route("/fetch/", "safe", "desk", 1500)
        site.put_configuration()
        for _ in range(3):
            site.add_server("desk", serve, slots=6)
        site.start()
        machines = [Machine(site, i) for i in range(2)]
        counts = []
        lock = threading.Lock()
        threads = [threading.Thread(target=users,
                                    args=(site, i, machines[i], counts, lock))
                   for i in range(2)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        for machine in machines:
            site.record("front-%d ended %d times over its memory, peak %d MB" %
                        (machine.index, machine.ends, machine.peak_mb))
        return 1 if all(machine.ends >= 3 for machine in machines) else 0
    finally:
        for machine in machines:
            machine.is_stopping = True
            machine.thread.join()
        site.stop()


try:
    code = main()
except Exception as error:  # The case couldn't run.
    print("could not run: %r" % error, flush=True)
    code = 2
sys.exit(code)
