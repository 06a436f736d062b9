"""Stand-ins of the platform's store, of workers and of clients, and a launcher of real daemons.

Everything listens on loopback addresses. Each instance has an address of its own, 127.x.N.1, and all
instances use the same ports. Only the Python standard library is used.
"""

import base64
import json
import os
import re
import select
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse

# Time that a worker needs to stop work at its time budget and to answer.
STOP_S = 0.01
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


class Record:
    """Writes record.txt; times are seconds since the start of the script."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f}  {text}\n")
            self.file.flush()


def read_head(sock, buffer):
    """Reads a message head; returns (start line, headers, rest), or None if the connection ended."""
    while b"\r\n\r\n" not in buffer:
        try:
            data = sock.recv(65536)
        except OSError:
            return None
        if not data:
            return None
        buffer += data
    head, rest = buffer.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, value = line.split(":", 1)
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers, rest


def read_body(sock, headers, rest):
    length = int(headers.get("content-length", "0"))
    while len(rest) < length:
        data = sock.recv(65536)
        if not data:
            return None
        rest += data
    return rest[:length], rest[length:]


def response(status, body, headers=()):
    reasons = {200: "OK", 404: "Not Found", 410: "Gone", 421: "Misdirected Request",
               500: "Internal Server Error", 503: "Service Unavailable", 504: "Gateway Timeout"}
    head = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}", f"Content-Length: {len(body)}"]
    head += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


def listener(address):
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(256)
    return sock


def spawn(target, *args):
    thread = threading.Thread(target=target, args=args, daemon=True)
    thread.start()
    return thread


class Store:
    """The platform's metadata store: linearizable reads and watches. Each machine has an address of its own,
    so that the store can be silent to some machines while it serves the others."""

    def __init__(self, record, history_s=20.0):
        self.record, self.history_s = record, history_s
        self.changed = threading.Condition()
        self.items = {}
        self.events = []
        self.times = []
        self.dropped = 0
        self.revision = 1
        self.silent = set()
        self.socks = {}

    def listen(self, machine, address):
        spawn(self.accept, machine, listener(address))

    def add_event(self, event):
        """Appends an event and forgets those that are older than the history."""
        now = time.monotonic()
        self.events.append(event)
        self.times.append(now)
        while self.times[0] < now - self.history_s:
            self.drop_first()

    def drop_first(self):
        self.times.pop(0)
        self.dropped = self.events.pop(0)["revision"]

    def expire(self):
        while self.times and self.times[0] < time.monotonic() - self.history_s:
            self.drop_first()

    def put(self, key, value):
        """Writes a JSON value and returns the time of the confirmation."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        with self.changed:
            self.revision += 1
            created = self.items.get(key, {}).get("created", self.revision)
            item = {"key": key, "value": text, "revision": self.revision, "created": created, "lease": 0}
            self.items[key] = item
            self.add_event(item)
            self.changed.notify_all()
            at = self.record.now()
        self.record.line(f"store confirms {key} = {json.dumps(value)[:160]}")
        return at

    def delete(self, key):
        with self.changed:
            self.revision += 1
            self.items.pop(key, None)
            self.add_event({"key": key, "revision": self.revision, "deleted": True})
            self.changed.notify_all()
        self.record.line(f"store removes {key}")

    def accept(self, machine, server):
        while True:
            sock, _ = server.accept()
            self.socks.setdefault(machine, set()).add(sock)
            spawn(self.serve, machine, sock)

    def reset(self, machine):
        """Resets the open connections of a machine."""
        socks, self.socks[machine] = self.socks.get(machine, set()), set()
        for sock in socks:
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                fd = sock.detach()
                os.close(fd)
            except OSError:
                pass

    def serve(self, machine, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        buffer = b""
        while True:
            head = read_head(sock, buffer)
            if head is None:
                return sock.close()
            line, _, buffer = head
            url = urllib.parse.urlsplit(line.split(" ")[1])
            query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
            answer = self.answer(url.path, query)
            if machine in self.silent:
                # A connection on which an answer is lost returns nothing further.
                while machine in self.silent:
                    time.sleep(0.01)
                return sock.close()
            try:
                sock.sendall(answer)
            except OSError:
                return sock.close()

    def answer(self, path, query):
        time.sleep(0.004)
        prefix = query.get("prefix", "")
        if path == "/api/kv-range":
            after = query.get("after", "")
            with self.changed:
                keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
                body = {"items": [self.items[k] for k in keys[:500]], "hasMore": len(keys) > 500,
                        "storeRevision": self.revision}
        elif path == "/api/kv-watch":
            body = self.watch(prefix, int(query.get("after", "0")), int(query.get("waitMs", "0")))
            if body is None:
                self.record.line(f"store answers 410: the history after {query.get('after')} is gone")
                return response(410, b"{}")
        else:
            return response(404, b"{}")
        return response(200, json.dumps(body).encode(), [("Content-Type", "application/json")])

    def watch(self, prefix, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        with self.changed:
            while True:
                self.expire()
                if after < self.dropped:
                    return None
                events = [e for e in self.events if e["revision"] > after and e["key"].startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    return {"events": events, "storeRevision": self.revision}
                self.changed.wait(left)


class Worker:
    """A worker with `slots` places and a short queue. `work(worker, head line)` returns the work of a
    request in seconds, 'shed' or 'fail'. Work stops when the connection closes, and with 504 at the time budget
    that the worker received."""

    def __init__(self, address, name, service, slots, zone, work, record):
        self.address, self.name, self.service, self.slots = address, name, service, slots
        self.zone, self.work, self.record = zone, work, record
        self.born = int(time.time() * 1000)
        self.lock = threading.Condition()
        self.running = self.waiting = 0
        self.arrivals = []
        self.runs = []
        self.open = True
        self.socks = set()
        self.sock = listener(address)
        spawn(self.accept)

    def entry(self, state="ready"):
        return {"address": "%s:%d" % self.address, "born": self.born,
                "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots},
                "status": {"state": state, "sequence": 1, "coldRemainingS": 0}}

    def exit(self):
        """Ends the worker; what it still runs is cut."""
        self.record.line(f"worker {self.name} exits")
        with self.lock:
            self.open = False
            self.lock.notify_all()
        self.sock.close()
        for sock in list(self.socks):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def accept(self):
        while self.open:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            self.socks.add(sock)
            spawn(self.serve, sock)

    def load(self):
        return ("X-Server-Load", f"{self.running},{self.waiting},{self.slots}")

    def serve(self, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        buffer = b""
        try:
            while self.open:
                head = read_head(sock, buffer)
                if head is None:
                    break
                line, headers, rest = head
                body = read_body(sock, headers, rest)
                if body is None:
                    break
                buffer = body[1]
                answer = self.handle(sock, line, headers)
                if answer is None:
                    break
                sock.sendall(answer)
        except OSError:
            pass
        self.socks.discard(sock)
        sock.close()

    def handle(self, sock, line, headers):
        if line.startswith("GET /health "):
            return response(200, b"ok", [("X-Instance-Id", self.name), self.load()])
        ident = headers.get("x-request-id", "")
        echo = [("X-Request-Id", ident), ("X-Instance-Id", self.name)]
        expect = headers.get("x-expect-instance")
        if expect is not None and expect != self.name:
            return response(421, b"", echo + [("X-Not-Executed", "1")])
        at = self.record.now()
        self.arrivals.append((at, ident, line))
        self.record.line(f"worker {self.name} receives {ident} ({line}), {headers.get('x-deadline-ms')} ms left")
        work = self.work(self, line)
        with self.lock:
            if work == "shed" or self.waiting >= self.slots:
                return response(503, b"", echo + [("X-Not-Executed", "1"), self.load()])
            self.waiting += 1
            while self.running >= self.slots and self.open:
                self.lock.wait(0.05)
            self.waiting -= 1
            self.running += 1
        begun = self.record.now()
        self.record.line(f"worker {self.name} runs {ident}")
        seconds = 0.3 if work == "fail" else work
        budget = int(headers.get("x-deadline-ms", "3600000")) / 1000 - (begun - at)
        cut = self.spend(sock, min(seconds, budget + STOP_S))
        with self.lock:
            self.running -= 1
            self.lock.notify_all()
        ended = self.record.now()
        self.runs.append((begun, ended, ident, cut))
        self.record.line(f"worker {self.name} ends {ident}: {'cut after' if cut else 'done in'} {ended - begun:.2f} s")
        if cut:
            return None
        body = (f"{ident} by {self.name}\n" * 20).encode()
        status = 504 if budget < seconds else 500 if work == "fail" else 200
        seal = f"seal.{len(body)}.{ident}"
        return response(status, body, echo + [("X-Response-Seal", seal), self.load()])

    def spend(self, sock, seconds):
        """Works; returns whether the work was cut by the worker's end or the end of the connection."""
        end = time.monotonic() + seconds
        while True:
            left = end - time.monotonic()
            if left <= 0:
                return False
            if not self.open:
                return True
            readable, _, _ = select.select([sock], [], [], min(left, 0.02))
            if readable and not sock.recv(1, socket.MSG_PEEK):
                return True


class Client:
    """Sends requests as the platform's clients do; each attempt has its own id."""

    clients = 0

    def __init__(self, record):
        self.record = record
        self.lock = threading.Lock()
        Client.clients += 1
        self.number = Client.clients
        self.count = 0
        self.results = []

    def attempt(self, address, method, host, path, deadline_ms, timeout=10.0):
        """One attempt on a new connection; returns (id, sent, answered, status or None, headers)."""
        with self.lock:
            self.count += 1
            ident = f"c{os.getpid():x}{self.number:02x}{self.count:04x}"
        body = b"order" if method == "POST" else b""
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"X-Request-Id: {ident}",
                 f"X-Deadline-Ms: {deadline_ms}"]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        status, headers = None, {}
        sent = self.record.now()
        try:
            sock = socket.create_connection(address, timeout=1.0)
            sock.settimeout(timeout)
            sent = self.record.now()
            sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            head = read_head(sock, b"")
            if head is not None:
                status, headers = int(head[0].split(" ")[1]), head[1]
                if read_body(sock, headers, head[2]) is None:
                    status = None
            sock.close()
        except OSError as error:
            self.record.line(f"client {ident}: {error}")
        answered = self.record.now()
        self.record.line(f"client {ident} {method} {path} at {address[0]}: sent {sent:.3f}, "
                         f"status {status} after {answered - sent:.3f} s"
                         f"{', sealed' if 'x-response-seal' in headers else ''}")
        result = (ident, sent, answered, status, headers, method, path)
        with self.lock:
            self.results.append(result)
        return result


def render(text, fields):
    """Fills in the placeholders of the settings template that DEPLOY.md describes."""

    def value(name):
        here = fields
        for part in name.split("."):
            here = here[int(part)] if isinstance(here, list) else here.get(part)
        return here

    def section(match):
        found = value(match.group(1))
        return match.group(2).replace("{{.}}", str(found)) if found not in (None, False) else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(value(m.group(1))), text)


class Fleet:
    """Daemons, started by the command of the deploy file with settings from its template."""

    def __init__(self, record, grace_s=6):
        self.record, self.grace_s = record, grace_s
        self.folder = tempfile.mkdtemp(prefix="hawthornwall-review-")
        self.network = 16 + os.getpid() % 200
        self.ports = self.free_ports(6)
        self.children = {}
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["balancer"]
        self.command, self.template = role["run"].split(" "), role["template"]
        self.command[0] = os.path.join(ROOT, self.command[0])
        if not os.path.exists(self.command[0]):
            print("the daemon isn't built", file=sys.stderr)
            sys.exit(2)
        self.store = Store(record)

    def free_ports(self, count):
        socks = [socket.socket() for _ in range(count)]
        for sock in socks:
            sock.bind((f"127.{self.network}.1.1", 0))
        ports = [sock.getsockname()[1] for sock in socks]
        for sock in socks:
            sock.close()
        return ports

    def ip(self, number):
        return f"127.{self.network}.{number}.1"

    def outbound(self, number):
        return (self.ip(number), self.ports[0])

    def worker_address(self, number):
        return (self.ip(number), self.ports[4])

    def start(self, number, zone, service):
        ip, ports = self.ip(number), self.ports
        fields = {
            "nodeName": f"sidecar-{zone}-{number}", "zone": zone, "service": service, "ip": ip,
            "appAddr": f"{ip}:{ports[4]}", "internalPorts": [ports[2], ports[3]],
            "listen": {"outbound": f"{ip}:{ports[0]}", "ready": f"{ip}:{ports[1]}"},
            "bounds": {"graceS": self.grace_s},
            "platform": {"address": f"127.{self.network}.{100 + number}.1:{ports[5]}"},
        }
        self.store.listen(number, (f"127.{self.network}.{100 + number}.1", ports[5]))
        with open(os.path.join(ROOT, self.template), encoding="utf-8") as file:
            text = render(file.read(), fields)
        path = os.path.join(self.folder, f"{number}.json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        command = [path if part.startswith("/etc/") else part for part in self.command]
        log = open(os.path.join(self.folder, f"{number}.log"), "ab")
        child = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log)
        self.children[number] = child
        self.record.line(f"daemon {number} at {ip} starts ({service})")

    def log(self, number):
        with open(os.path.join(self.folder, f"{number}.log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def signal(self, number, which):
        self.record.line(f"daemon {number} gets {signal.Signals(which).name}")
        self.children[number].send_signal(which)

    def ready(self, number):
        try:
            sock = socket.create_connection((self.ip(number), self.ports[1]), timeout=1.0)
            sock.settimeout(1.0)
            sock.sendall(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            head = read_head(sock, b"")
            sock.close()
            return head is not None and " 200 " in head[0] + " "
        except OSError:
            return False

    def wait_ready(self, numbers, limit=20.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if all(self.ready(n) for n in numbers):
                return True
            time.sleep(0.1)
        return False

    def stop(self):
        for child in self.children.values():
            if child.poll() is None:
                child.kill()
        for child in self.children.values():
            child.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version, host, rules):
    """rules: (prefix, service, kind, objective_s, timeout_s, priority)"""
    names = sorted({rule[1] for rule in rules})
    return {
        "version": f"r{version}",
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutS": 3, "idleTimeoutS": 15},
        "listeners": [{"host": host, "rules": [
            {"name": f"r-{n}", "kind": kind, "targetLatencyS": objective, "priority": priority,
             "match": {"prefix": prefix},
             "action": {"service": service, "timeoutS": timeout, "maxAttempts": 2}}
            for n, (prefix, service, kind, objective, timeout, priority) in enumerate(rules)]}],
        "clusters": [{"name": n, "healthPath": "/health", "maxConnections": 260, "protocol": "h1",
                      "tls": False} for n in names],
    }


def sleep_until(record, at):
    left = at - record.now()
    if left > 0:
        time.sleep(left)


def run(main):
    """Runs a case: main(fleet, record, trouble) returns the broken rule's lines, or None if it couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # Ends the daemons also if the script runs out of time.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(os.path.join(os.path.dirname(os.path.abspath(sys.argv[0])), "record.txt"))
    fleet = Fleet(record)
    code = 2
    try:
        broken = main(fleet, record, trouble)
        if broken is not None:
            for line in broken:
                record.line("BROKEN: " + line)
                print(line)
            code = 1 if broken else 0
            print("the rule was broken" if broken else "the rule held")
    finally:
        fleet.stop()
        record.line(f"exit {code}")
    sys.stdout.flush()
    os._exit(code)
