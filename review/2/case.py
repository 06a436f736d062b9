"""A store connection that was reset seconds ago makes a daemon keep a worker that is gone for too long."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from fleet import Client, Worker, configuration, run, sleep_until, spawn  # noqa: E402

DRAIN_S = 2.0
TOUCH_S = 3.0
# Time for which a leaving worker serves on after drainS.
EXTRA_S = 0.7
MACHINES = 10
HOST = "lots.example"


def main(fleet, record, trouble):
    def work(worker, line):
        return 0.3

    numbers = range(1, MACHINES + 1)
    zones = {n: "za" if n % 2 else "zb" for n in numbers}
    workers = {n: Worker(fleet.worker_address(n), f"i-{n}", "lotbook", 6, zones[n], work, record) for n in numbers}
    for number in numbers:
        fleet.start(number, zones[number], "lotbook")
    fleet.store.put("op/config", configuration(7, HOST, [("/lots/", "lotbook", "non_idempotent", 1.0, 4, 2)]))
    for worker in workers.values():
        fleet.store.put(f"servers/{worker.name}", worker.entry())
    if not fleet.wait_ready(numbers):
        return None
    sleep_until(record, 6.0)
    # A machine that gets the store's changes from the one that watches the store, so that its store connection is
    # idle.
    level = {n: fleet.log(n).rsplit('"kv":{"level":"', 1)[-1].split('"')[0] for n in numbers
             if "sources of store updates" in fleet.log(n)}
    roots = {zones[n] for n in numbers if level.get(n, "root") == "root"}
    chosen = [n for n in numbers if level.get(n) == "member" and zones[n] in roots]
    if not chosen:
        return None
    machine = chosen[0]
    leaving = workers[machine]
    record.line(f"machine {machine} is chosen")
    if trouble:
        record.line(f"the store connections of machine {machine} are reset")
        fleet.store.reset(machine)
    sleep_until(record, 6.0 + TOUCH_S + 1.0)
    client, stop = Client(record), threading.Event()

    def load():
        while not stop.is_set():
            client.attempt(fleet.outbound(machine), "POST", HOST, "/lots/order", 4000)

    threads = [spawn(load) for _ in range(20)]
    sleep_until(record, 11.0)
    # The worker never reports that it drains; its entry is removed, and it serves on for a while.
    removed = record.now()
    fleet.store.delete(f"servers/{leaving.name}")
    sleep_until(record, removed + DRAIN_S + EXTRA_S)
    leaving.exit()
    time.sleep(0.5)
    stop.set()
    for thread in threads:
        thread.join()
    sent = {r[0]: r[1] for r in client.results}
    before = sum(at <= removed for at, _, _ in leaving.arrivals)
    late = [(at, ident) for at, ident, _ in leaving.arrivals if at > removed + DRAIN_S]
    print(f"{before} requests reached {leaving.name} before its entry was removed, {len(late)} later than {DRAIN_S} s after")
    late_ids = {ident for _, ident in late}
    cut = {ident for _, _, ident, cut in leaving.runs if cut and ident in late_ids}
    statuses = sorted(str(r[3]) for r in client.results if r[0] in cut)
    text = f"of the late requests, {len(cut)} were cut by the worker's exit and answered {' '.join(statuses)}"
    record.line(text)
    print(text)
    if not late:
        return []
    last, ident = late[-1]
    return [f"{len(late)} requests reached {leaving.name} later than {DRAIN_S} s after its entry had been removed, the "
            f"last one {last - removed:.2f} s after; its client had sent it {sent.get(ident, last) - removed:.2f} s after"]


run(main)
