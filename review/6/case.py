"""An entry of another writer, with a service that no page names, stands at the address of a live server."""

import asyncio
import json
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins2 as standins

# OWNER: two servers that are up hold the same keys for over half a second.
ALLOWED_OVERLAP = 0.5
HOST = "keys.example"
DRAIN_AFTER = 0.3


async def send_requests(case, duration):
    """Clients ask for keys all over the range, through both machines."""
    end = case.record.now() + duration
    number = 0

    async def send(identity, key, machine):
        headers = {"Host": HOST, "X-Request-Id": identity, "X-Deadline-Ms": "2500", "X-Shard-Key": str(key)}
        case.record.write("sent", id=identity, key=key)
        try:
            status, _, _ = await asyncio.wait_for(
                standins.fetch(machine.address, machine.front, f"GET /stock/{key}", headers), 3)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            status = repr(error)
        case.record.write("answered", id=identity, key=key, status=status)

    while case.record.now() < end:
        number += 1
        machine = case.machines[number % len(case.machines)]
        case.spawn(send(f"r{number}", random.randint(0, 65535), machine))
        await asyncio.sleep(0.04)


def held_times(server, keys, now):
    """For each of the keys the times from which to which the server held it."""
    holds = server.past_holds + server.holds
    times = {}
    for key in keys:
        merged = []
        for start, end in sorted((hold.start, min(hold.until, now)) for hold in holds
                                 if hold.first <= key <= hold.last):
            # A renewal extends a hold.
            if merged and start <= merged[-1][1]:
                merged[-1][1] = max(merged[-1][1], end)
            else:
                merged.append([start, end])
        times[key] = merged
    return times


def find_overlaps(servers, now):
    """Keys that two servers held at the same time for longer than the rule allows."""
    found = []
    # Between two neighbouring borders of grants all keys were held alike.
    keys = {border for server in servers for hold in server.past_holds + server.holds
            for border in (hold.first, hold.last + 1)}
    times = [held_times(server, keys, now) for server in servers]
    for index, one in enumerate(servers):
        for second, other in list(enumerate(servers))[index + 1:]:
            for key in sorted(keys):
                for start, end in times[index][key]:
                    for other_start, other_end in times[second][key]:
                        begin, seconds = max(start, other_start), min(end, other_end) - max(start, other_start)
                        if seconds > ALLOWED_OVERLAP:
                            found.append({"servers": [one.name, other.name], "key": key,
                                          "from": round(begin, 3), "seconds": round(seconds, 3)})
    return found


async def play(case):
    servers = [standins.Server(case, f"i-stock-{number}", "stock", sharded=True, work=0.05) for number in range(4)]
    await case.start([standins.route(HOST, "stock", "safe", "/stock/", "stock")],
                     [standins.cluster("stock", sharded=True)], 2, servers)

    async def are_keys_granted():
        return all(any(server.holds_key(key) for server in servers) for key in range(0, 65536, 256))

    await case.until(are_keys_granted, 20, "all keys are granted")
    requests = case.spawn(send_requests(case, 16))
    await asyncio.sleep(4)
    leaving = servers[0]
    if standins.trouble():
        # As a server's entry, but the service isn't one of the configuration: it names no server to use.
        entry = {"address": leaving.endpoint(),
                 "info": {"service": "inventory", "version": "v1", "zone": case.zone, "slots": 2},
                 "status": {"state": "ready", "seq_no": 1, "cold_left": "0ms"},
                 "born": int(time.time() * 1000)}
        case.record.write("foreign_entry", key="inventory-1", entry=entry)
        await case.store.put("keyed.servers", "inventory-1", json.dumps(entry))
    await asyncio.sleep(DRAIN_AFTER)
    # Planned work: the server reports that it is leaving, and goes on serving what it holds.
    leaving.state = "draining"
    await leaving.register()
    case.record.write("draining", server=leaving.name)
    await requests
    overlaps = find_overlaps(servers, case.record.now())
    for overlap in overlaps:
        case.record.write("overlap", **overlap)
    print(len(overlaps), "overlaps, the longest",
          max((overlap["seconds"] for overlap in overlaps), default=0), "s")
    return bool(overlaps)


standins.run_case(__file__, play)
