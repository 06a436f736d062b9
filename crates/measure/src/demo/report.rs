//! Report of the demonstration as text.

use std::collections::BTreeMap;
use std::fmt::Write;

use super::figures::{DaemonFigures, Figures, ProbeFigures};
use crate::load::Quantiles;

/// Maximum number of lines shown of the history checker's report; further lines repeat the same
/// faults.
const HISTORY_LINES: usize = 20;

const NOTES: &str = "\
Latency counts from the planned arrival; of a POST with a key, from its own sending.
Outside targets = latency - time in which at least one target ran the call, by their records
  - emulated way to the first and from the answering target, if in another domain than the ingress.
Added = through daemons - direct, outside targets, at the same quantile.
The callers' own distance to the system is emulated on neither side and so left out of both.
";

/// Renders the report.
pub fn render(figures: &Figures) -> String {
    let mut out = String::new();
    let seconds = figures.duration.as_secs_f64();
    let _ = writeln!(out, "Requests in {seconds:.1} s");
    let [before, after] = &figures.machine_load;
    let _ = writeln!(
        out,
        "  load average of the machine: {before} before, {after} after"
    );
    outcomes(&mut out, "through daemons", &figures.through_outcomes);
    outcomes(
        &mut out,
        "repeats under a used key",
        &figures.repeat_outcomes,
    );
    outcomes(&mut out, "direct", &figures.direct_outcomes);
    mismatches(&mut out, figures);
    history(&mut out, figures);
    latencies(&mut out, figures);
    probes(&mut out, &figures.probes);
    daemons(&mut out, &figures.daemons);
    let _ = match &figures.killed[..] {
        [] => writeln!(
            out,
            "\nAll daemons ended after a request for a graceful shutdown."
        ),
        killed => writeln!(
            out,
            "\nKilled after the limit of a graceful shutdown: {killed:?}"
        ),
    };
    out
}

fn outcomes(out: &mut String, title: &str, counts: &BTreeMap<String, u64>) {
    let total: u64 = counts.values().sum();
    let _ = writeln!(out, "  {title}: {total}");
    for (name, count) in counts {
        let _ = writeln!(out, "    {name:<40} {count:>8}");
    }
}

fn mismatches(out: &mut String, figures: &Figures) {
    let found = &figures.mismatches;
    let _ = writeln!(
        out,
        "\nMismatches between callers and targets: {}",
        found.total()
    );
    let lists = [
        ("altered or foreign answers", &found.altered),
        ("answers without a run", &found.without_run),
        ("refused but run", &found.refused_but_ran),
        ("non-idempotent, run twice", &found.repeated),
    ];
    for (name, list) in lists {
        let first: Vec<_> = list.iter().take(5).collect();
        let _ = write!(out, "    {name:<40} {:>8}", list.len());
        let _ = match first[..] {
            [] => writeln!(out),
            _ => writeln!(out, "  requests {first:?}"),
        };
    }
}

fn history(out: &mut String, figures: &Figures) {
    out.push_str("\nHistory checker, on the records of all parties\n");
    for line in figures.history.to_string().lines().take(HISTORY_LINES) {
        let _ = writeln!(out, "    {line}");
    }
}

fn latencies(out: &mut String, figures: &Figures) {
    let (direct, through) = (&figures.direct, &figures.through);
    let _ = writeln!(
        out,
        "\nLatency in ms{:>33} {:>9} {:>9} {:>9}",
        "count", "p50", "p99", "p99.9"
    );
    let rows = [
        ("direct", direct.whole),
        ("through daemons", through.whole),
        ("direct, outside targets", direct.overhead),
        ("through daemons, outside targets", through.overhead),
    ];
    for (name, q) in rows {
        let Quantiles {
            count,
            p50,
            p99,
            p999,
        } = q;
        let [p50, p99, p999] = [p50, p99, p999].map(|us| us as f64 / 1e3);
        let _ = writeln!(
            out,
            "  {name:<36} {count:>7} {p50:>9.3} {p99:>9.3} {p999:>9.3}"
        );
    }
    let added = |a: u64, b: u64| (a as f64 - b as f64) / 1e3;
    let p50 = added(through.overhead.p50, direct.overhead.p50);
    let p99 = added(through.overhead.p99, direct.overhead.p99);
    let _ = writeln!(out, "  {:<44} {p50:>9.3} {p99:>9.3}", "added");
    out.push_str(NOTES);
}

fn probes(out: &mut String, figures: &ProbeFigures) {
    let ProbeFigures {
        probes,
        probe_time,
        runs,
        run_time,
    } = figures;
    let per_run = *probes as f64 / (*runs).max(1) as f64;
    let share = 100.0 * probe_time.as_secs_f64() / run_time.as_secs_f64().max(1e-9);
    let _ = writeln!(
        out,
        "\nProbes: {probes} for {runs} runs ({per_run:.4} each); probe work is {share:.3}% of run time"
    );
}

fn daemons(out: &mut String, daemons: &[DaemonFigures]) {
    let _ = writeln!(
        out,
        "\n{:<16} {:>9} {:>9} {:>9} {:>9} {:>9} {:>7} {:>8} {:>8} {:>7}",
        "Daemon",
        "ctl out/s",
        "ctl in/s",
        "peer kB/s",
        "reads",
        "MiB",
        "threads",
        "idle cpu",
        "load cpu",
        "uring"
    );
    for d in daemons {
        let field = |value: Option<f64>| value.map_or("-".to_owned(), |v| format!("{v:.0}"));
        let _ = writeln!(
            out,
            "{:<16} {:>9} {:>9} {:>9} {:>9} {:>9.1} {:>7} {:>7.2}% {:>7.2}% {:>7}",
            d.name,
            field(d.control_sent),
            field(d.control_received),
            field(d.peer_bytes.map(|b| b / 1e3)),
            field(d.platform_reads),
            d.memory_mib,
            d.threads,
            d.cpu_idle,
            d.cpu_loaded,
            d.io_urings,
        );
    }
    out.push_str("Control bytes are per second without load; reads are since the start.\n");
    let _ = writeln!(out, "\nLoad reports after the load");
    for d in daemons {
        let _ = writeln!(out, "  {:<16} {}", d.name, d.report);
    }
}
