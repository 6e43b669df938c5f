#!/usr/bin/env python3
"""Sends what no caller inside the limits sends, in crowds, to a real entry instance.

  crowd_check.py BUILD_DIR

After each crowd: the process lives, the peak of its memory stayed under the bound, its
descriptors and its memory come back, and one ordinary request is answered. Crowds are
small, since the settings of the instance lower its limits. Nothing depends on times.
"""
import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import jobs_check  # noqa: E402

MIB = 1 << 20
# Limits of the instance that the crowds press on, and of the one for descriptors.
MEMORY_MB, MAX_FDS = 64, 4096
FEW_FDS = 400
# Bounds. The memory after a crowd may be half of the machine's.
PEAK_BOUND_MB, AFTER_BOUND_MB, AFTER_FDS_BOUND = MEMORY_MB, MEMORY_MB // 2, 48
# Clients of a crowd of endless streams, and the bytes that each sends at most.
STREAMS, STREAM_BYTES = 4, 24 * MIB
POLL_LIMIT_S = 30
SEND_TIMEOUT_S = 20
# Requests beside a crowd that is held; each lets the process read on.
ORDINARY_BESIDE = 20
# Statuses that the API defines.
STATUSES = (200, 404, 410, 503)

POST = b"POST /asks/0123456789abcdef HTTP/1.1\r\nHost: jobs.example\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
FIELD = b"X-T: " + b"a" * 8185 + b"\r\n"
BODY_BYTES = 250000
UNFINISHED = POST + b"Content-Length: %d\r\n\r\n" % (BODY_BYTES + 6000) + b"a" * BODY_BYTES
# Answered with a refusal that names the long path, 12 KB.
LARGE_REPLY = b"GET /asks/" + b"b" * 12000 + b" HTTP/1.1\r\nHost: jobs.example\r\n\r\n"


def connect(address, receive_buffer=None):
    host, port = address.split(":")
    client = socket.socket()
    if receive_buffer:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    client.settimeout(SEND_TIMEOUT_S)
    client.connect((host, int(port)))
    return client


def status_of(reply):
    """The status of a reply's first bytes; 0 if the connection was closed without."""
    return int(reply.split()[1]) if reply.startswith(b"HTTP/1.1 ") else 0


def send_endless(address, first, piece, out):
    """Sends the first bytes and then pieces until it is stopped; adds (sent, status)."""
    sent, reply = 0, b""
    try:
        with connect(address) as client:
            try:
                client.sendall(first)
                while sent < STREAM_BYTES:
                    client.sendall(piece)
                    sent += len(piece)
            except OSError:
                pass
            client.shutdown(socket.SHUT_WR)
            reply = client.recv(64)
    except OSError:
        pass
    out.append((sent, status_of(reply)))


class CrowdCheck:
    def __init__(self, build, folder, platform, memory_mb, max_fds):
        self.entry = jobs_check.Entry(build, folder, max_fds, platform)
        text = self.entry.settings.read_text()
        self.entry.settings.write_text(text.replace(
            "cpu-share: 0.5", f"cpu-share: 0.5, memory-mb: {memory_mb}, max-fds: {max_fds}"))
        self.entry.start()
        self.faults = []
        self.until("it is ready", lambda: jobs_check.call(self.entry.ready, "GET", "/")[0] == 200)

    def until(self, what, test):
        end = time.monotonic() + POLL_LIMIT_S
        while time.monotonic() < end:
            if test():
                return True
            time.sleep(0.05)
        self.faults.append(f"not within {POLL_LIMIT_S} s: {what}")
        return False

    def memory_mb(self, field):
        for line in pathlib.Path(f"/proc/{self.entry.process.pid}/status").read_text().splitlines():
            if line.startswith(field + ":"):
                return int(line.split()[1]) / 1024
        return 0.0

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.entry.process.pid}/fd"))

    def reset_peak(self):
        pathlib.Path(f"/proc/{self.entry.process.pid}/clear_refs").write_text("5")

    def expect(self, holds, what):
        if not holds:
            self.faults.append(what)

    def ordinary(self, address=None):
        """Sends one ordinary request, beside the crowd or after it."""
        status, reply = jobs_check.call(address or self.entry.callers, "GET", "/asks/")
        self.expect(status in STATUSES, f"ordinary request: {status} {reply}")

    def play(self, name, crowd):
        """Plays a crowd, which returns after its connections are closed. Returns whether all
        bounds were kept."""
        self.faults = []
        self.reset_peak()
        notes = crowd()
        if not self.entry.is_up():
            self.faults.append(f"the process has ended: {self.entry.process.poll()}")
            print(f"FAIL {name}: {'; '.join(self.faults)}", flush=True)
            return False
        self.until(f"descriptors under {AFTER_FDS_BOUND}",
                   lambda: self.descriptors() <= AFTER_FDS_BOUND)
        # Not before: the process may read for a while after the clients have gone.
        peak = self.memory_mb("VmHWM")
        self.expect(peak <= PEAK_BOUND_MB, f"peak over {PEAK_BOUND_MB} MB")
        self.until(f"memory under {AFTER_BOUND_MB} MB",
                   lambda: self.memory_mb("VmRSS") <= AFTER_BOUND_MB)
        self.ordinary()
        print(f"{'FAIL' if self.faults else 'ok'} {name}: peak {peak:.0f} MB, "
              f"after {self.memory_mb('VmRSS'):.0f} MB and {self.descriptors()} descriptors; "
              f"{notes}{'; ' if self.faults else ''}{'; '.join(self.faults)}", flush=True)
        return not self.faults

    def endless(self, address, first, piece, refusals):
        """Endless requests, each of which has to be refused before all of it is taken."""
        def crowd():
            out = []
            clients = [threading.Thread(target=send_endless, args=(address, first, piece, out))
                       for _ in range(STREAMS)]
            for client in clients:
                client.start()
            for client in clients:
                client.join()
            self.expect(all(sent < STREAM_BYTES for sent, _ in out), "all bytes were taken")
            # A reply may be lost, since the connection is closed with bytes unread.
            self.expect({status for _, status in out} <= {0, *refusals}, "other statuses")
            return f"statuses {sorted({status for _, status in out})}"
        return crowd

    def held(self, count, data, receive_buffer=None, max_descriptors=None):
        """Connections that send the data and are then held open until all have sent."""
        def crowd():
            clients = []
            for _ in range(count):
                client = connect(self.entry.callers, receive_buffer)
                clients.append(client)
                client.settimeout(1 if receive_buffer else SEND_TIMEOUT_S)
                try:
                    client.sendall(data)
                except OSError:
                    pass  # Closed by the server, or full since no reply is read.
            for _ in range(ORDINARY_BESIDE):
                self.ordinary()
            descriptors = self.descriptors()
            self.expect(max_descriptors is None or descriptors <= max_descriptors,
                        f"more than {max_descriptors} descriptors")
            for client in clients:
                client.close()
            return f"{count} clients, {descriptors} descriptors beside them"
        return crowd

    def close(self):
        if self.entry.is_up():
            self.entry.kill()


def streams(check):
    entry = check.entry
    for where, address in (("callers", entry.callers), ("readiness", entry.ready),
                           ("metrics", entry.metrics)):
        yield (f"trailers without end, {where}",
               check.endless(address, CHUNKED + b"1\r\na\r\n0\r\n", FIELD, (400, 431)))
        yield (f"a chunk extension without end, {where}",
               check.endless(address, CHUNKED + b"1;", b"a" * 8192, (400, 431)))
    yield "a header without end", check.endless(entry.callers, POST, FIELD, (400, 431))
    yield "one-byte chunks", check.endless(entry.callers, CHUNKED, b"1\r\na\r\n" * 1000, (413,))


def crowds(check):
    yield from streams(check)
    yield "unfinished bodies", check.held(400, UNFINISHED)
    yield "replies that nobody reads", check.held(60, LARGE_REPLY * 300, receive_buffer=4096)


def descriptor_crowds(check):
    yield "idle connections", check.held(600, b"", max_descriptors=FEW_FDS)
    yield "unfinished headers", check.held(600, POST, max_descriptors=FEW_FDS)


def main():
    build = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else "build").resolve()
    standin = subprocess.Popen(
        [sys.executable, str(jobs_check.ROOT / "standins/jobs/job_platform.py"), "--seed", "1"],
        stdout=subprocess.PIPE, text=True)
    all_kept = True
    try:
        platform = json.loads(standin.stdout.readline())
        with tempfile.TemporaryDirectory() as folder:
            for cases, max_fds in ((crowds, MAX_FDS), (descriptor_crowds, FEW_FDS)):
                check = CrowdCheck(build, pathlib.Path(folder), platform, MEMORY_MB, max_fds)
                try:
                    for name, crowd in cases(check):
                        all_kept &= check.play(name, crowd)
                finally:
                    check.close()
    finally:
        standin.kill()
        standin.wait()
    print(f"crowd_check: {'ok' if all_kept else 'failed'}")
    sys.exit(not all_kept)


if __name__ == "__main__":
    main()
