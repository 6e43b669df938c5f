"""Starts stand-ins and sends requests to them. Used by the *_check.py scripts."""
import contextlib
import http.client
import json
import socket
import subprocess
import sys
import time
import traceback

TIMEOUT_S = 20


class Process:
    """A program that prints "ROLE listening on IP:PORT" for each address."""

    def __init__(self, build, program, *args, roles=1):
        self.name = program
        self.child = subprocess.Popen([f"{build}/{program}", *map(str, args)],
                                      stdout=subprocess.PIPE, text=True)
        self.addresses = {}
        while len(self.addresses) < roles:
            line = self.child.stdout.readline()
            if not line:
                raise RuntimeError(f"{program} ended with {self.child.wait()}")
            words = line.split()
            if words[1:3] == ["listening", "on"]:
                self.addresses[words[0]] = words[3]

    def stop(self):
        """Ends the program by SIGTERM and checks that it stops cleanly."""
        if self.child.poll() is None:
            self.child.terminate()
        code = self.child.wait(TIMEOUT_S)
        self.child.stdout.close()
        if code != 0:
            raise AssertionError(f"{self.name} ended with {code}")


@contextlib.contextmanager
def started(*processes):
    """Stops the processes when the context ends; kills them if it ends with an exception."""
    try:
        yield
    except BaseException:
        for process in processes:
            process.child.kill()
            process.child.wait()
        raise
    for process in processes:
        process.stop()


class Reply:
    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)


def call(address, method, path, body=None, headers=None, timeout=TIMEOUT_S):
    """Sends one request on a new connection. Raises socket errors."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        data = body if isinstance(body, (str, bytes, type(None))) else json.dumps(body)
        connection.request(method, path, data, headers or {})
        reply = connection.getresponse()
        return Reply(reply.status, dict(reply.getheaders()), reply.read().decode())
    finally:
        connection.close()


def post(address, path, body, expected=200):
    reply = call(address, "POST", path, body)
    equal(reply.status, expected, f"POST {path}: {reply.body}")
    return reply.json()


def get(address, path):
    reply = call(address, "GET", path)
    equal(reply.status, 200, f"GET {path}: {reply.body}")
    return reply.json()


def connect(address, timeout=TIMEOUT_S):
    host, port = address.split(":")
    return socket.create_connection((host, int(port)), timeout)


def read_all(stream):
    """Reads until the peer closes. Returns the data and whether the connection was reset."""
    data = b""
    while True:
        try:
            piece = stream.recv(65536)
        except ConnectionResetError:
            return data, True
        if not piece:
            return data, False
        data += piece


def equal(got, wanted, what):
    if got != wanted:
        raise AssertionError(f"{what}: got {got!r}, wanted {wanted!r}")


def wait_for(condition, what):
    """Polls until the condition returns a true value, and returns that value."""
    end = time.monotonic() + TIMEOUT_S
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.005)
    raise AssertionError(f"timeout after {TIMEOUT_S} s: {what}")


def raises(kinds, action, what):
    try:
        action()
    except kinds:
        return
    raise AssertionError(f"no error: {what}")


def run_checks(checks):
    """Runs each check with the build folder. Exits with 1 if any check fails."""
    build = sys.argv[1]
    only = sys.argv[2:]
    failed = 0
    for check in checks:
        if only and check.__name__ not in only:
            continue
        try:
            check(build)
            print(f"pass {check.__name__}", flush=True)
        except Exception:
            failed += 1
            print(f"FAIL {check.__name__}\n{traceback.format_exc()}", flush=True)
    sys.exit(1 if failed else 0)
