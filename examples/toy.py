"""Toy cache servers, origin and discovery on loopback, to try a node with."""

import json
import socketserver
import threading
import time

CACHES = [("127.0.0.1", 21211), ("127.0.0.1", 21212)]
ORIGIN = ("127.0.0.1", 21300)
DISCOVERY = ("127.0.0.1", 21500)
stores = {address: {} for address in CACHES}
missed = {}


class Cache(socketserver.StreamRequestHandler):
    """Speaks the part of the meta commands that nodes send."""

    def handle(self):
        store = stores[self.server.server_address]
        for line in self.rfile:
            words = line.split()
            request = next(w[1:] for w in words[2:] if w.startswith(b"O"))
            value = store.get(words[1])
            if value is None:
                missed.setdefault(request, []).append(store)
                self.wfile.write(b"EN O%s h0\r\n" % request)
            else:
                self.wfile.write(b"VA %d O%s h1\r\n%s\r\n" % (len(value), request, value))


class Http(socketserver.StreamRequestHandler):
    """The origin and discovery, told apart by their ports."""

    def handle(self):
        while line := self.rfile.readline():
            method, path = line.split()[:2]
            headers = {}
            while (header := self.rfile.readline()).strip():
                name, value = header.split(b":", 1)
                headers[name.lower()] = value.strip()
            self.rfile.read(int(headers.get(b"content-length", 0)))
            if self.server.server_address == DISCOVERY:
                body = discover(path)
            else:
                body = originate(method, path[1:], headers[b"req-id"])
            self.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


def originate(method, key, request):
    if method == b"PUT":
        for store in stores.values():
            store.pop(key, None)
        return b"%x" % time.time_ns()
    value = b"origin made " + key
    for store in missed.pop(request, []):
        store[key] = value
    return value


def discover(path):
    query = dict(p.split(b"=") for p in path.partition(b"?")[2].split(b"&") if p)
    if b"from" in query:
        time.sleep(int(query.get(b"hold_ms", 0)) / 1000)
        return json.dumps({"rev": 1, "all": False, "targets": []}).encode()
    listed = [("cache-%d" % n, a, "cache") for n, a in enumerate(CACHES)] + [("origin", ORIGIN, "origin")]
    targets = [
        {"uid": uid, "endpoint": "%s:%d" % at, "az": "here", "model": model, "pod_group": 0, "state": "up"}
        for uid, at, model in listed
    ]
    return json.dumps({"rev": 1, "all": True, "targets": targets}).encode()


class Server(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True


if __name__ == "__main__":
    servers = [Server(at, Cache) for at in CACHES] + [Server(at, Http) for at in (ORIGIN, DISCOVERY)]
    for server in servers[1:]:
        threading.Thread(target=server.serve_forever, daemon=True).start()
    servers[0].serve_forever()
