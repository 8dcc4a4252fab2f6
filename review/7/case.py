"""Many users come at once, with long prompts inside the operator's limits: does the machine stay within its memory?"""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standins2 as s  # noqa: E402

MEMORY_MB = 260
# The limit of the configuration, which clients stay inside: max_body_bytes.
BODY = b"p" * 4_194_304
USUAL_STREAMS = 45
# burst: x = 1.7, for 3 s.
BURST_STREAMS = 31
BURST_S = 3.0
CALLERS = 12
STREAM_DEADLINE_MS = 25_000
ALLOWED_LOST = 3


def stream(record, ip):
    attempt = s.new_attempt()
    headers = [("X-Model", "m"), ("X-Token-Usage", "800,700"), ("X-Prompt-Prefix", f"5c1e07a2:200,{attempt[:8]}:600")]
    try:
        client = s.Client(ip)
        client.send("POST", "/caption/2f", attempt, STREAM_DEADLINE_MS, headers, BODY)
        reply = client.receive()
        client.close()
    except OSError as error:
        reply = s.Reply()
        reply.error = str(error)
    record.line(f"client caption-draft request={attempt} status={reply.status} whole={reply.is_whole} "
                f"error={reply.error}")


def case(record, temporary, started):
    ips = s.free_addresses(9)
    store = s.Store(ips[0])
    store.put("op", "config", s.configuration(7, [
        s.route("caption", "stream", "summary", 25_000, 5, 4_500, True),
        s.route("crop", "unsafe", "thumbs", 1_500, 1, 300),
    ]))
    zones = ["pnw-a", "pnw-b", "pnw-c"]
    engines = [s.ModelEngine(store, record, ips[1 + i], "summary", zones[i % 3], 24, 1 + i) for i in range(4)]
    for engine in engines:
        engine.by_address = {other.address: other for other in engines}
        engine.pieces, engine.piece_s = 140, 0.1
    services = [s.PlainService(store, record, ips[5 + i], "thumbs", zones[i], 6, 11 + i) for i in range(3)]
    started += engines + services
    machine = s.Machine(temporary, ips[8], "front-pnw-a-1", "pnw-a", store, [ips[8]], MEMORY_MB)
    started.append(machine)
    machine.wait_until_ready()
    time.sleep(1.0)
    platform = s.Platform(record, machine)
    platform.start()
    until = time.monotonic() + 20.0
    lost = []
    calls = [threading.Thread(target=s.call_again_and_again, args=(record, ips[8], services, until, lost), daemon=True)
             for _ in range(CALLERS)]
    streams = []
    for thread in calls:
        thread.start()

    def begin(count, seconds):
        for _ in range(count):
            thread = threading.Thread(target=stream, args=(record, ips[8]), daemon=True)
            thread.start()
            streams.append(thread)
            time.sleep(seconds / count)

    record.line(f"usual load: {USUAL_STREAMS} streams with bodies of {len(BODY)} bytes")
    begin(USUAL_STREAMS, 4.0)
    if s.TROUBLE:
        record.line(f"trouble: burst of {BURST_STREAMS} more streams within {BURST_S} s")
        begin(BURST_STREAMS, BURST_S)
    for thread in calls + streams:
        thread.join(60.0)
    platform.end()
    record.line(f"memory peak_mb={platform.peak_mb:.0f} of {MEMORY_MB} killed={platform.has_killed}")
    record.line(f"LOST: {len(lost)} requests on kept connections were handed to a sound service and their connection "
                f"closed without an answer; {ALLOWED_LOST} are allowed")
    return len(lost) > ALLOWED_LOST


s.main(HERE, case)
