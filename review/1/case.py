"""Requests that wait at the daemon of a leaving worker are sent to it after drainS."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from fleet import Client, Worker, configuration, run, sleep_until, spawn  # noqa: E402

DRAIN_S = 2.0
# Time for which a leaving worker serves on after drainS.
EXTRA_S = 0.4
WORK_S = 0.4
SLOW_FACTOR = 6.0
SLOW_FOR_S = 2.0
HOST = "lots.example"


def main(fleet, record, trouble):
    slow = {"until": 0.0}

    def work(worker, line):
        return WORK_S * SLOW_FACTOR if record.now() < slow["until"] else WORK_S

    old = Worker(fleet.worker_address(1), "i-old", "lotbook", 6, "za", work, record)
    new = Worker(fleet.worker_address(2), "i-new", "lotbook", 6, "zb", work, record)
    desk = Worker(fleet.worker_address(3), "i-desk", "matchdesk", 6, "zc", work, record)
    for number, zone, service in ((1, "za", "lotbook"), (2, "zb", "lotbook"), (3, "zc", "matchdesk")):
        fleet.start(number, zone, service)
    fleet.store.put("op/config", configuration(7, HOST, [
        ("/lots/", "lotbook", "non_idempotent", 1.0, 4, 2), ("/desk/", "matchdesk", "idempotent", 0.5, 1.5, 2)]))
    for worker in (old, desk):
        fleet.store.put(f"servers/{worker.name}", worker.entry())
    if not fleet.wait_ready((1, 2, 3)):
        return None
    client, entry = Client(record), fleet.outbound(3)

    def order():
        client.attempt(entry, "POST", HOST, "/lots/order", 8000)

    # Usual load, from which the daemon learns how long work takes.
    threads = []
    for step in range(24):
        sleep_until(record, 3.0 + 0.35 * step)
        threads.append(spawn(order))
    sleep_until(record, 12.5)
    for thread in threads:
        thread.join()
    if sum(r[3] == 200 for r in client.results) < 20:
        return None
    # The worker turns slow; six requests take its slots and three wait at its daemon.
    slow["until"] = record.now() + SLOW_FOR_S
    record.line(f"workers are {SLOW_FACTOR:.0f} times slower for {SLOW_FOR_S} s")
    threads = []
    for step in range(9):
        threads.append(spawn(order))
        time.sleep(0.01)
    time.sleep(0.05)
    # The release of the service: the new worker has started, and the old one reports that it drains.
    fleet.store.put(f"servers/{new.name}", new.entry())
    acked = None
    if trouble:
        acked = fleet.store.put(f"servers/{old.name}", old.entry("draining"))
        sleep_until(record, acked + DRAIN_S + EXTRA_S)
        fleet.store.delete(f"servers/{old.name}")
        old.exit()
    for thread in threads:
        thread.join()
    statuses = sorted(str(r[3]) for r in client.results[-9:])
    record.line(f"answers to the nine requests: {' '.join(statuses)}")
    print(f"answers to the nine requests: {' '.join(statuses)}")
    if acked is None:
        return []
    late = [(at, ident) for at, ident, _ in old.arrivals if at > acked + DRAIN_S]
    lost = {ident for _, _, ident, cut in old.runs if cut}
    return [f"{ident} reached {old.name} {at - acked:.2f} s after the store had confirmed that it drains"
            f"{'; its run was cut when the worker left' if ident in lost else ''}" for at, ident in late]


run(main)
