"""An engine runs a request and its answer is lost: does the stream go on elsewhere beside its earlier run?"""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standins2 as s  # noqa: E402

STREAMS = 24
TROUBLE_S = 4.0
STREAM_DEADLINE_MS = 25_000
# The time after which the earlier engine may no longer work on a request that goes on at another engine.
OVERLAP_S = 0.4


def stream(record, ip, number):
    time.sleep(0.15 * number)
    attempt = s.new_attempt()
    headers = [("X-Model", "m"), ("X-Token-Usage", "8000,700"),
               ("X-Prompt-Prefix", f"5c1e07a2:200,{attempt[:8]}:7800")]
    try:
        client = s.Client(ip)
        client.send("POST", "/caption/2f", attempt, STREAM_DEADLINE_MS, headers, b"draft")
        reply = client.receive()
        client.close()
    except OSError as error:
        reply = s.Reply()
        reply.error = str(error)
    pieces = reply.body.count(b"id: ")
    record.line(f"client request={attempt} status={reply.status} whole={reply.is_whole} pieces={pieces}")


def find_overlaps(record, engines):
    """Runs that an engine still worked on 0.4 s after the request went on at another engine."""
    by_request = {}
    for engine in engines:
        for run in engine.all_runs:
            by_request.setdefault(run.attempt, []).append(run)
    overlaps = 0
    for attempt, runs in sorted(by_request.items()):
        runs.sort(key=lambda run: run.began)
        for earlier, later in zip(runs, runs[1:]):
            ended = earlier.ended if earlier.ended is not None else record.now()
            if earlier.engine is not later.engine and ended > later.began + OVERLAP_S:
                overlaps += 1
                record.line(f"TWICE request={attempt} goes on at {later.engine.id} from {later.began:.3f}; "
                            f"{earlier.engine.id} works on it until {ended:.3f}, {ended - later.began:.3f} s longer")
    return overlaps


def case(record, temporary, started):
    ips = s.free_addresses(6)
    store = s.Store(ips[0])
    store.put("op", "config", s.configuration(7, [s.route("caption", "stream", "summary", 25_000, 5, 4_500, True)]))
    zones = ["pnw-a", "pnw-b", "pnw-c", "pnw-a"]
    # Three of the four engines drop a request when its connection closes.
    engines = [s.ModelEngine(store, record, ips[1 + i], "summary", zones[i], 24, 1 + i, drops=i != 0) for i in range(4)]
    for engine in engines:
        engine.by_address = {other.address: other for other in engines}
    started += engines
    machine = s.Machine(temporary, ips[5], "front-pnw-a-1", "pnw-a", store, [ips[5]])
    started.append(machine)
    machine.wait_until_ready()
    time.sleep(1.0)
    if s.TROUBLE:
        for engine in engines[:2]:
            engine.loses_answers = True
            record.line(f"trouble server={engine.id}: runs requests and loses the answer of each third")
    threads = [threading.Thread(target=stream, args=(record, ips[5], number), daemon=True)
               for number in range(STREAMS)]
    for thread in threads:
        thread.start()
    time.sleep(TROUBLE_S)
    for engine in engines:
        engine.loses_answers = False
    record.line("the trouble ends; runs that lost their answers go on" if s.TROUBLE else "no trouble")
    for thread in threads:
        thread.join(40.0)
    time.sleep(1.0)
    overlaps = find_overlaps(record, engines)
    record.line(f"TWICE: {overlaps} requests went on at another engine beside their earlier run; none may")
    return overlaps > 0


s.main(HERE, case)
