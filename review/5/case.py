"""Two clients of one tenant ask the same, one 1.5 s after the other. All hosts are killed at once and start again, and both
clients take their streams up with Last-Event-Id: does the later one go on from the memory of the other's request?"""

import asyncio
import os
import random
import sys
import zlib

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins import (HOST_NAME, SERVERS, Case, Host, Net, Server, Store, ask, configuration,  # noqa: E402
                      until)

KEY = "xd9dnn2ctnfzs989anu6"
EVENTS = 100
ROUNDS, PAIRS = 1, 24
DOWN_S = 1.0


async def body(case):
    net = Net()
    store = Store(net)
    await store.start()
    store.write("op", "config", configuration(7, [("huka270", [KEY])]))
    zones = ["pnw-a", "pnw-b", "pnw-c"]
    engines = [Server(net, "i-llm%d" % n, "llm", zones[n % 3], events=EVENTS, pause=0.04)
               for n in range(9)]
    for server in engines:
        await server.start()
        SERVERS["%s:%d" % server.address] = server
        store.write("servers", server.name, server.row())
    case.hosts = hosts = [Host(net, case.temporary, "front-%d" % n, zones[n % 3], store)
                          for n in range(4)]
    seeds = [host.ip for host in hosts[:3]]
    for host in hosts:
        host.start(seeds, True)
    for host in hosts:
        await until("%s is ready" % host.name, host.is_ready)

    async def all_known():
        return all([len(await host.addresses()) == len(hosts) for host in hosts])

    await until("the hosts know each other", all_known)
    await asyncio.sleep(1.0)

    owner, results = {}, []

    async def client(name, thing, host, model, patience):
        """Sends one request. Takes the stream up, at a host that it picks by chance, when it breaks."""
        pieces, attempts, avoid = b"", 0, []
        while attempts < 3:
            attempts += 1
            attempt = "%s-try%d" % (name, attempts)
            owner[attempt] = name
            headers = [("Host", HOST_NAME), ("X-Attempt-Id", attempt), ("Authorization", "Token " + KEY),
                       ("X-Deadline-Ms", "25000"), ("X-Model", model), ("X-Token-Usage", "1460,420"),
                       ("X-Prompt-Prefix", "%08x:200,%08x:1260" % (7, thing))]
            got = pieces.count(b"\n\n")
            if got:
                headers.append(("Last-Event-Id", str(got)))
            answer = await ask(host.callers, "POST", "/stream/%d" % thing, headers,
                               b"the same question " * 40, timeout=27.0)
            if answer.status == 200:
                pieces += answer.body[: answer.body.rfind(b"\n\n") + 2]
                if answer.end == "whole":
                    break
            # The client tries again once hosts listen.
            await asyncio.sleep(DOWN_S + patience)
            host = random.choice([other for other in hosts if other is not host])
            while not await host.is_ready():
                await asyncio.sleep(0.05)
        results.append((name, attempts, pieces, answer))

    things = iter(range(100, 10_000))
    for turn in range(ROUNDS):
        calls = []
        pairs = [next(things) for _ in range(PAIRS)]
        for number, thing in enumerate(pairs):
            calls.append(asyncio.ensure_future(client("first-%d" % thing, thing, hosts[number % 4], "m", 0.8)))
        await asyncio.sleep(1.5)
        for number, thing in enumerate(pairs):
            calls.append(asyncio.ensure_future(client("second-%d" % thing, thing, hosts[(number + 1) % 4], "m", 0.0)))
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.2)
        if case.has_trouble:
            case.note("all hosts are killed")
            for host in hosts:
                host.process.kill()
            for host in hosts:
                host.process.wait()
            await asyncio.sleep(DOWN_S)
            for host in hosts:
                host.start(seeds, False)
        await asyncio.gather(*calls)
        for host in hosts:
            await until("%s is ready" % host.name, host.is_ready)
        await until("the hosts know each other", all_known)

    broken = []
    models = {run["id"]: run["headers"]["x-model"] for server in engines for run in server.runs}
    for server in engines:
        for run in server.runs:
            source = run["headers"].get("kv-from", "").split("/")[-1]
            case.note("%s runs %s%s%s: %s" % (
                server.name, run["id"],
                " after event " + run["headers"]["last-event-id"]
                if "last-event-id" in run["headers"] else "",
                " from the memory of " + source if source else "", run["end"]))
            if source and owner[source] != owner[run["id"]]:
                broken.append("%s for model %s, a request of client %s, continues from the memory of %s for "
                              "model %s, a request of client %s" % (
                                  run["id"], run["headers"]["x-model"], owner[run["id"]], source,
                                  models[source], owner[source]))
    case.note("%d of these are between requests of one model" % sum(
        line.count("for model m,") + line.count("for model m ") > 1 for line in broken))
    for name, attempts, pieces, answer in sorted(results):
        foreign = {}
        for number, piece in enumerate(pieces.split(b"\n\n")[:-1], 1):
            seed = piece.split(b"data: ")[1][:8].decode()
            for attempt, client_name in owner.items():
                made = "%08x" % zlib.crc32(("%s/%d" % (attempt, number)).encode())
                if made == seed and client_name != name:
                    foreign.setdefault(client_name, []).append(number)
        case.note("client %s: %d tries, the last one %s %s, %d events%s" % (
            name, attempts, answer.status, answer.end, pieces.count(b"\n\n"),
            "".join("; events %d to %d are those of client %s" % (min(numbers), max(numbers), other)
                    for other, numbers in foreign.items())))
        if foreign:
            broken.append("client %s got events that were made for %s" % (name, ", ".join(foreign)))
    if not any(answer.end == "whole" for _, _, _, answer in results):
        raise OSError("nothing was served")
    return broken


if __name__ == "__main__":
    Case(FOLDER).run(body)
