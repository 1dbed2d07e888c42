"""OWNER: all VMs are killed and the store returns from a copy without a leader's record."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import Connection, Server, new_request_id, now, run_case

KEY = 10000
BUSY_KEY = 20000
OVERLAP = 0.5


async def scenario(deployment, trouble):
    await deployment.start_store()
    deployment.configure(1, [deployment.rule("r-mark", "safe", "/mark/", {"service": "ledger"})],
                         [deployment.cluster("ledger", sharded=True)])

    async def add_ledger(zone):
        server = Server(deployment.record, deployment.store,
                        f"{deployment.subnet}.{20 + len(deployment.servers)}", "ledger", zone, work=0.03, keyed=True)
        await server.start()
        deployment.servers.append(server)

    for zone in "aba":
        await add_ledger(zone)
    old = deployment.store.copy()
    copied_at = now()

    def holders():
        return [server for server in deployment.servers if server.holds_key(KEY)]

    async def ask(vm):
        try:
            connection = await Connection(deployment.record, vm).open()
        except OSError:
            return
        request = new_request_id()
        connection.send("GET", deployment.host, "/mark/1", request, 2000, extra=[("X-Shard-Key", BUSY_KEY)])
        await connection.answer(request, 3)
        connection.close()

    async def keep_asking():
        while True:
            await asyncio.gather(*(ask(vm) for vm in deployment.vms))
            await asyncio.sleep(0.05)

    longest = 0.0

    async def watch():
        nonlocal longest
        since = None
        while True:
            current = holders()
            if len(current) > 1:
                since = since or now()
                if now() - since > OVERLAP >= longest:
                    deployment.record.write(f"two servers hold key {KEY}: {[server.id for server in current]}")
                longest = max(longest, now() - since)
            else:
                since = None
            await asyncio.sleep(0.01)

    await deployment.start_vms(2, settle=0)
    watcher = asyncio.ensure_future(watch())
    while not holders():
        await asyncio.sleep(0.02)
    asker = asyncio.ensure_future(keep_asking())
    first = None
    end = now() + 15
    while now() < end:
        current = holders()
        first = first or (current[0].id if current else None)
        if current and current[0].id != first:
            break
        await asyncio.sleep(0.02)
    asker.cancel()
    deployment.record.write(f"key {KEY} was at {first} and is at {[server.id for server in holders()]}")
    for vm in deployment.vms:
        vm.send(signal.SIGKILL)
        await vm.process.wait()
    if trouble:
        deployment.store.is_away = True
        await asyncio.sleep(0.1)
        deployment.store.return_from(old)
        deployment.record.write(f"the store returns from a copy that is {now() - copied_at:.1f} s old")
        for server in deployment.servers:
            server.register()
    for vm in deployment.vms:
        await vm.start()
    await asyncio.sleep(14)
    watcher.cancel()
    deployment.record.write(f"the longest time for which two servers held key {KEY}: {longest:.3f} s")
    return longest > OVERLAP


run_case(os.path.dirname(os.path.abspath(__file__)), scenario)
