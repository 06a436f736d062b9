//! A machine is stopped, and its worker, which was leaving, terminates meanwhile: a second SIGTERM; see claim.txt.

#[path = "../common-2.rs"]
mod common;

use std::path::Path;
use std::thread;

use common::*;

/// Work of an `enrol` request, below the site's most of 1.2 s.
const WORK_MS: u64 = 900;
/// Time that the clients wait.
const BUDGET_MS: u64 = 2_500;
const CLIENTS: usize = 6;
const DRAIN_MS: u64 = 2_000;

fn main() {
    run_case("review/6/record.txt", case);
}

fn case(record: &Record, folder: &Path) -> End {
    let net = Net::choose();
    let store = Store::start(net.store());
    store.put("op/config", &config(7, &[("enrol", "non_idempotent", 1.2, "tilmelding")]));
    let zones = ["dk-east-a", "dk-east-b", "dk-east-c"];
    let machines = [1, 2, 3];
    let mut daemons = Vec::new();
    let mut workers = Vec::new();
    for (machine, zone) in machines.into_iter().zip(zones) {
        let worker = Worker::start(net.app(machine), &format!("i-{machine}"), "tilmelding", record, |_, _| Act::Work(ms(WORK_MS)));
        worker.register(&store, net.app(machine), zone, "ready");
        workers.push(worker);
        let settings = Machine { grace_s: 6, relayed: false, machine, service: "tilmelding", zone };
        daemons.push(Daemon::start(&net, folder, &settings));
    }
    if !wait_ready(&net, &machines, ms(15_000)) {
        record.line("the daemons aren't ready: the case can't run");
        return End::NotRun;
    }
    // Longer than `touchS`: nothing disturbs the machines before the requests.
    thread::sleep(ms(4_000));
    if trouble() {
        workers[0].register(&store, net.app(1), zones[0], "draining");
        record.line("worker i-1 reports draining (scale_in); the store confirms");
    }
    thread::sleep(ms(DRAIN_MS));
    record.line("SIGTERM to the daemon of machine 1 (roll_term)");
    daemons[0].signal(TERM);
    thread::sleep(ms(100));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (to, record) = (net.outbound(1), record.clone());
            thread::spawn(move || {
                let id = format!("enrol-{client}");
                let bytes = request("POST", "enrol.example", "/enrol/berth", &id, BUDGET_MS, b"pupil=1");
                record.line(&format!("client sends {id}"));
                let answer = ask(to, &bytes, ms(BUDGET_MS + 1_000));
                record.line(&format!("client got for {id}: {}", answer.text()));
                (id, answer)
            })
        })
        .collect();
    thread::sleep(ms(400));
    if trouble() {
        store.delete("servers/i-1");
        workers[0].end();
        record.line("worker i-1 terminates; a node receives SIGTERM after its worker has terminated: SIGTERM to the daemon of machine 1");
        daemons[0].signal(TERM);
    }
    let mut lost = 0;
    for client in clients {
        let (id, answer) = client.join().unwrap();
        let run = workers.iter().any(|w| w.runs.lock().unwrap().iter().any(|m| m.header("x-request-id") == Some(&id)));
        if run && !matches!(answer, Answer::Whole(_)) {
            record.line(&format!("LOST: {id} was passed on to a worker, and its connection ended without an answer"));
            lost += 1;
        }
    }
    let ended = daemons[0].ended(ms(8_000));
    record.line(&format!("the daemon of machine 1 ended: {ended:?}"));
    record.line(&format!("{lost} of {CLIENTS} requests were lost"));
    if lost > 0 { End::Broken } else { End::Held }
}
