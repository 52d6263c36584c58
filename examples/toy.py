#!/usr/bin/env python3
"""Two minimal servers and a minimal discovery service, to try out the balancer. Not suitable for measurements.

Each server accepts every connection, echoes its lines, and sends BYE when the client closes its side.
To change the state of a server in the list, type "drain" or "serve" and its name, as in "drain s-1".
"""

import json
import socketserver
import sys
import threading

HOSTS = {"s-1": ("127.0.0.1", 8101), "s-2": ("127.0.0.1", 8102)}
DISCOVERY = ("127.0.0.1", 8500)

changed = threading.Condition()
states = {uid: "SERVING" for uid in HOSTS}
rev = 1


def whole_list():
    targets = [
        {"uid": uid, "endpoint": f"{host}:{port}", "az": "bkk", "model": "toy", "pod_group": 0,
         "state": states[uid], "capacity_hint": 1.0, "boot_ms": 0}
        for uid, (host, port) in HOSTS.items()
    ]
    return json.dumps({"rev": rev, "all": True, "targets": targets})


class FormHost(socketserver.StreamRequestHandler):
    def handle(self):
        uid = self.server.uid
        line = self.rfile.readline().decode(errors="replace").strip()
        while line in ("PING", "STATS"):
            self.wfile.write(b"PONG x0=0.1,inflight=%d\r\n" % self.server.open)
            line = self.rfile.readline().decode(errors="replace").strip()
        if not line.startswith("OPEN "):
            if line:
                self.wfile.write(b"SYNTAX\r\n")
            return
        self.server.open += 1
        print(f"{uid}: {line}", flush=True)
        try:
            self.wfile.write(f"UP {uid}-{id(self):x}\r\nLOAD 1000\r\n".encode())
            for echo in self.rfile:
                self.wfile.write(echo)
            self.wfile.write(b"BYE\r\n")
        except ConnectionError:
            pass
        self.server.open -= 1
        print(f"{uid}: ended", flush=True)


class Discovery(socketserver.StreamRequestHandler):
    def handle(self):
        path = self.rfile.readline().decode().split()[1]
        while self.rfile.readline().strip():
            pass
        if "watch" not in path:
            body = whole_list().encode()
            self.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            return
        self.wfile.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        sent = 0
        try:
            while True:
                with changed:
                    line = whole_list() if rev != sent else ""
                    sent = rev
                text = (line + "\n").encode()
                self.wfile.write(b"%x\r\n%s\r\n" % (len(text), text))
                with changed:
                    changed.wait_for(lambda: rev != sent, timeout=2)
        except ConnectionError:
            pass


class Server(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True
    open = 0


def main():
    global rev
    for uid, address in HOSTS.items():
        host = Server(address, FormHost)
        host.uid = uid
        threading.Thread(target=host.serve_forever, daemon=True).start()
    discovery = Server(DISCOVERY, Discovery)
    threading.Thread(target=discovery.serve_forever, daemon=True).start()
    print("form hosts", *HOSTS, "and discovery are up; type: drain s-1, serve s-1", flush=True)
    for line in sys.stdin:
        word, _, uid = line.strip().partition(" ")
        state = {"drain": "DRAINING", "serve": "SERVING"}.get(word)
        if state and uid in states:
            with changed:
                states[uid] = state
                rev += 1
                changed.notify_all()
        else:
            print("type: drain NAME or serve NAME", flush=True)
    threading.Event().wait()


if __name__ == "__main__":
    main()
