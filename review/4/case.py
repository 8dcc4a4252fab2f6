"""The last keys of the only tenant are taken away: do requests with such a key, or with a key that never was, still run?"""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standins2 as s  # noqa: E402

REVOKE_S = 5.0
UNKNOWN_KEY = "nokeynokeynokeynokey"
REQUESTS = 6


class Service(s.PlainService):
    """Keeps the tenant that each request came with."""

    def __init__(self, *arguments):
        self.tenants = {}
        super().__init__(*arguments)

    def run(self, connection, attempt, target, headers, body):
        self.tenants[attempt] = headers.get("x-tenant")
        return super().run(connection, attempt, target, headers, body)


def call(record, ip, key, what):
    attempt = s.new_attempt()
    s.KEY, kept = key, s.KEY
    try:
        client = s.Client(ip)
        client.send("POST", "/crop/2f", attempt, 3_000, body=b"crop")
        reply = client.receive()
        client.close()
    except OSError as error:
        reply = s.Reply()
        reply.error = str(error)
    finally:
        s.KEY = kept
    record.line(f"client request={attempt} key={what} status={reply.status}")
    return attempt


def case(record, temporary, started):
    ips = s.free_addresses(5)
    store = s.Store(ips[0])
    routes = [s.route("crop", "unsafe", "thumbs", 1_500, 1, 300)]
    store.put("op", "config", s.configuration(7, routes))
    services = [Service(store, record, ips[1 + i], "thumbs", "pnw-a", 6, 11 + i) for i in range(2)]
    machines = []
    for number, ip in enumerate(ips[3:5]):
        machines.append(s.Machine(temporary, ip, f"front-pnw-a-{number + 1}", "pnw-a", store, [ips[3]]))
        started.append(machines[-1])
    started += services
    for machine in machines:
        machine.wait_until_ready()
    time.sleep(1.0)
    for machine in machines:
        call(record, machine.ip, s.KEY, "held")
        call(record, machine.ip, UNKNOWN_KEY, "never held")
    acknowledged = time.monotonic()
    if s.TROUBLE:
        store.put("op", "config", s.configuration(9, routes, keys=()))
        record.line(f"trouble: version 9 is acknowledged, which takes away the keys of {s.TENANT}, the only tenant")
    else:
        store.put("op", "config", s.configuration(9, routes))
        record.line(f"version 9 is acknowledged, {s.TENANT} keeps its key")
    time.sleep(max(0.0, acknowledged + REVOKE_S + 1.0 - time.monotonic()))
    revoked, unknown = [], []
    for _ in range(REQUESTS // len(machines)):
        for machine in machines:
            revoked.append(call(record, machine.ip, s.KEY, "taken away" if s.TROUBLE else "held"))
            unknown.append(call(record, machine.ip, UNKNOWN_KEY, "never held"))
    tenants = {attempt: tenant for service in services for attempt, tenant in service.tenants.items()}
    ran = [attempt for attempt in revoked if attempt in tenants] if s.TROUBLE else []
    ran_unknown = [attempt for attempt in unknown if attempt in tenants]
    for attempt in ran:
        record.line(f"ran request={attempt} X-Tenant={tenants[attempt]}")
    record.line(f"CONFIG: {len(ran)} of {len(revoked)} requests ran that were sent more than {REVOKE_S} s after their "
                "key was taken away; none may")
    record.line(f"ROUTE: {len(ran_unknown)} of {len(unknown)} requests ran whose key was never held; none may")
    return bool(ran or ran_unknown)


s.main(HERE, case)
