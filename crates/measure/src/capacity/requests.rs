//! Cost of requests at the ingress daemon, which callers connect to, and at the daemons beside the
//! targets.

use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use serde::Serialize;
use serde_json::{Value, json};

use super::CapacityError;
use super::fit::LinearFit;
use crate::load::{LoadOptions, run_load};
use hawthornwall_testkit::launcher::{Child, Cluster, ClusterOptions, Deployment};
use hawthornwall_testkit::procfs::Usage;
use hawthornwall_testkit::run;

/// Slots of each target, enough for many requests in flight.
const SLOTS: u32 = 100;
/// Index of the daemon that all callers connect to; its own target gets no request.
const INGRESS: usize = 0;
/// Service whose targets get all requests.
const SERVICE: &str = "order";
/// Number of connections opened to measure the memory per connection.
const CONNECTION_COUNT: usize = 500;
/// Number of requests kept in flight to measure the memory per request.
const IN_FLIGHT_COUNT: usize = 200;
/// Duration of the measurement without requests.
const IDLE_WINDOW: Duration = Duration::from_secs(5);

/// Figures at one request rate.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct RateFigures {
    /// Number of answered requests, and of all requests.
    pub answered: [u64; 2],
    /// Processor time of the ingress daemon above idle, in microseconds per request.
    pub ingress_us: f64,
    /// Memory of the ingress daemon after the load, in MiB.
    pub ingress_mib: f64,
    /// Processor time of the daemons beside the targets above idle, in microseconds per request.
    pub gate_us: f64,
    /// Highest memory of a daemon beside a target after the load, in MiB.
    pub gate_mib: f64,
    /// Requests per second.
    pub rate: u32,
}

/// Figures of requests, connections and requests in flight.
#[derive(Clone, Debug, Serialize)]
pub struct RequestFigures {
    /// Processor time without requests, in percent of a core: ingress daemon, and mean of the
    /// daemons beside the targets.
    pub idle_percent: [f64; 2],
    /// Memory of the ingress daemon per open caller connection, in KiB.
    pub caller_kib: f64,
    /// Memory per request in flight, in KiB: ingress daemon, and the daemons beside the targets.
    pub in_flight_kib: [f64; 2],
    /// Processor time fitted over the rates, with the slope in microseconds per request: ingress
    /// daemon, and the daemons beside the targets.
    pub slopes: [LinearFit; 2],
    /// Figures of each rate, in the order measured.
    pub rates: Vec<RateFigures>,
}

/// Measures memory and idle cost, then applies each rate for `seconds`.
///
/// # Errors
///
/// The deployment can't be started or controlled, or the load can't be run.
pub fn measure_requests(rates: &[u32], seconds: u64) -> Result<RequestFigures, CapacityError> {
    let mut plan = Deployment::Ogun.plan();
    plan.slots = SLOTS;
    let mut cluster = Cluster::start_plan(plan, ClusterOptions::default())?;
    thread::sleep(IDLE_WINDOW);
    let gates: Vec<usize> = (0..cluster.nodes.len())
        .filter(|i| cluster.nodes[*i].service == SERVICE)
        .collect();
    // Memory is measured first: memory that a process has freed but not returned would hide later
    // allocations.
    let in_flight_kib = in_flight_memory(&cluster, &gates)?;
    cluster.restart_daemon(INGRESS)?;
    let caller_kib = caller_connection_memory(&cluster)?;
    thread::sleep(IDLE_WINDOW);
    let idle = Costs::measure(&cluster, &gates, || {
        thread::sleep(IDLE_WINDOW);
        Ok(())
    })?;
    let idle = idle.per_second(IDLE_WINDOW);
    let mut figures = Vec::new();
    for rate in rates {
        figures.push(measure_rate(
            &cluster,
            &gates,
            idle,
            [u64::from(*rate), seconds],
        )?);
    }
    let fit = |of: fn(&RateFigures) -> f64| {
        let points = figures.iter().map(|f| {
            let rate = f64::from(f.rate);
            (rate, of(f) * rate)
        });
        LinearFit::of(&points.collect::<Vec<_>>())
    };
    Ok(RequestFigures {
        idle_percent: [idle[0] / 1e4, idle[1] / 1e4 / gates.len() as f64],
        caller_kib,
        in_flight_kib,
        slopes: [fit(|f| f.ingress_us), fit(|f| f.gate_us)],
        rates: figures,
    })
}

/// Processor time in microseconds: ingress daemon, and the sum over the daemons beside the targets.
struct Costs([f64; 2]);

impl Costs {
    fn measure(
        cluster: &Cluster,
        gates: &[usize],
        work: impl FnOnce() -> Result<(), CapacityError>,
    ) -> Result<Self, CapacityError> {
        let read = || {
            let micros = |index: usize| usage(cluster, index).cpu.as_micros() as f64;
            let all: f64 = gates.iter().map(|i| micros(*i)).sum();
            [micros(INGRESS), all]
        };
        let before = read();
        work()?;
        let after = read();
        Ok(Self([after[0] - before[0], after[1] - before[1]]))
    }

    fn per_second(&self, time: Duration) -> [f64; 2] {
        self.0.map(|micros| micros / time.as_secs_f64())
    }
}

fn measure_rate(
    cluster: &Cluster,
    gates: &[usize],
    idle: [f64; 2],
    [rate, seconds]: [u64; 2],
) -> Result<RateFigures, CapacityError> {
    let all = LoadOptions::for_cluster(cluster);
    let load = LoadOptions {
        daemons: all.daemons[INGRESS..=INGRESS].to_vec(),
        history: None,
        rate: rate as f64,
        requests: rate * seconds,
        services: all
            .services
            .into_iter()
            .filter(|s| s.name == SERVICE)
            .collect(),
        ..all
    };
    let mut answered = 0;
    let started = std::time::Instant::now();
    let costs = Costs::measure(cluster, gates, || {
        let results = run(run_load(&load))??;
        answered = results.iter().filter(|r| r.is_answered()).count() as u64;
        Ok(())
    })?;
    let idle = idle.map(|i| i * started.elapsed().as_secs_f64());
    let per_request = |index: usize| (costs.0[index] - idle[index]) / load.requests as f64;
    let gate_kib = gates.iter().map(|i| usage(cluster, *i).memory_kib).max();
    Ok(RateFigures {
        answered: [answered, load.requests],
        gate_mib: gate_kib.unwrap_or_default() as f64 / 1024.0,
        gate_us: per_request(1),
        ingress_mib: usage(cluster, INGRESS).memory_kib as f64 / 1024.0,
        ingress_us: per_request(0),
        rate: rate as u32,
    })
}

fn caller_connection_memory(cluster: &Cluster) -> Result<f64, CapacityError> {
    let address = cluster.nodes[INGRESS].addresses.caller;
    let before = usage(cluster, INGRESS).memory_kib;
    let mut open = Vec::new();
    for _ in 0..CONNECTION_COUNT {
        open.push(TcpStream::connect(address)?);
    }
    thread::sleep(Duration::from_millis(500));
    let after = usage(cluster, INGRESS).memory_kib;
    Ok((after as f64 - before as f64) / CONNECTION_COUNT as f64)
}

/// Measures the memory per request while slow targets keep requests in flight.
fn in_flight_memory(cluster: &Cluster, gates: &[usize]) -> Result<[f64; 2], CapacityError> {
    set_behaviour(
        cluster,
        gates,
        &json!({ "mean_us": 2_000_000, "spread": "fixed" }),
    )?;
    let read = || {
        let gates = gates.iter().map(|i| usage(cluster, *i).memory_kib as f64);
        [usage(cluster, INGRESS).memory_kib as f64, gates.sum()]
    };
    let before = read();
    let mut open = Vec::new();
    for number in 0..IN_FLIGHT_COUNT {
        open.push(send(cluster.nodes[INGRESS].addresses.caller, number)?);
    }
    thread::sleep(Duration::from_secs(1));
    let after = read();
    let answered = open.iter().filter(|s| has_answer(s)).count();
    let unanswered = IN_FLIGHT_COUNT.saturating_sub(answered).max(1) as f64;
    set_behaviour(
        cluster,
        gates,
        &json!({ "mean_us": 5_000, "spread": "exponential" }),
    )?;
    Ok([0, 1].map(|i| (after[i] - before[i]) / unanswered))
}

fn set_behaviour(cluster: &Cluster, gates: &[usize], changes: &Value) -> Result<(), CapacityError> {
    for gate in gates {
        cluster.control_target(*gate, changes)?;
    }
    Ok(())
}

fn send(address: SocketAddr, number: usize) -> Result<TcpStream, CapacityError> {
    let mut stream = TcpStream::connect(address)?;
    let request = format!(
        "GET /{SERVICE}/hold HTTP/1.1\r\nhost: {SERVICE}\r\nhawthornwall-deadline: 10000\r\n\
         x-request: {number}\r\n\r\n"
    );
    stream.write_all(request.as_bytes())?;
    stream.set_read_timeout(Some(Duration::from_millis(1)))?;
    Ok(stream)
}

fn has_answer(mut stream: &TcpStream) -> bool {
    stream.read(&mut [0; 64]).is_ok()
}

fn usage(cluster: &Cluster, index: usize) -> Usage {
    let pid = cluster.nodes[index].daemon.as_ref().map(Child::pid);
    pid.and_then(|pid| Usage::of(pid).ok()).unwrap_or_default()
}

/// Renders a table with one row for each rate, followed by the slopes, the idle cost and the memory
/// figures.
pub fn render_requests(figures: &RequestFigures) -> String {
    let mut text =
        String::from("rate/s | answered | ingress us | ingress MiB | gate us | gate MiB\n");
    for f in &figures.rates {
        let _ = writeln!(
            text,
            "{:6} | {} of {} | {:.0} | {:.1} | {:.0} | {:.1}",
            f.rate,
            f.answered[0],
            f.answered[1],
            f.ingress_us,
            f.ingress_mib,
            f.gate_us,
            f.gate_mib
        );
    }
    let [ingress, gate] = figures.slopes;
    let _ = writeln!(
        text,
        "slope: ingress {:.0} +- {:.0} us, beside the target {:.0} +- {:.0} us a request",
        ingress.slope, ingress.slope_error, gate.slope, gate.slope_error
    );
    let _ = writeln!(
        text,
        "idle: ingress {:.2}%, others {:.2}% of a core; caller connection {:.1} KiB; in flight: ingress \
         {:.1} KiB, beside the target {:.1} KiB",
        figures.idle_percent[0],
        figures.idle_percent[1],
        figures.caller_kib,
        figures.in_flight_kib[0],
        figures.in_flight_kib[1]
    );
    text
}
