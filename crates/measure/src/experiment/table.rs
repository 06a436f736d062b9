//! Report of an experiment as Markdown tables. Latencies of a variant are medians over its seeds;
//! costs are totals.

use std::collections::BTreeMap;
use std::fmt::Write;

use super::figures::{Figures, Percentiles};
use super::plan::PlanName;
use super::run::Experiment;
use super::variant::Variant;

type Pick = fn(&Figures) -> Percentiles;

const KINDS: [(&str, Pick); 2] = [("GET", |f| f.gets), ("POST", |f| f.posts)];

/// Renders all tables of an experiment.
pub fn render(experiment: &Experiment) -> String {
    let mut out = String::new();
    latencies(&mut out, experiment);
    ratios(&mut out, experiment);
    costs(&mut out, experiment);
    if experiment.options.plan == PlanName::Overload {
        overload(&mut out, experiment);
    }
    conditions(&mut out, experiment);
    out
}

fn latencies(out: &mut String, experiment: &Experiment) {
    let _ = writeln!(
        out,
        "| ms | GET p50 | p90 | p99 | p99.9 | POST p50 | p90 | p99 | p99.9 |"
    );
    let _ = writeln!(out, "|---|---|---|---|---|---|---|---|---|");
    for (variant, runs) in &experiment.results {
        let _ = write!(out, "| {variant}");
        for (_, pick) in KINDS {
            let of = |field: fn(&Percentiles) -> u64| {
                median(runs.iter().map(|f| field(&pick(f)) as f64 / 1e3))
            };
            let fields = [of(|p| p.p50), of(|p| p.p90), of(|p| p.p99), of(|p| p.p999)];
            for field in fields {
                let _ = write!(out, " | {field:.1}");
            }
        }
        let _ = writeln!(out, " |");
    }
}

/// Tail latency of the product relative to the best baseline. The best baseline is determined for
/// each seed and percentile separately.
fn ratios(out: &mut String, experiment: &Experiment) {
    let baselines: Vec<_> = experiment
        .results
        .iter()
        .filter(|(v, _)| v.is_baseline())
        .collect();
    if baselines.is_empty() {
        return;
    }
    let _ = writeln!(
        out,
        "\n| ratio to the best baseline of the same seed: median (min-max) | GET p99 | GET p99.9 | POST p99 | POST p99.9 |"
    );
    let _ = writeln!(out, "|---|---|---|---|---|");
    for (variant, runs) in experiment.results.iter().filter(|(v, _)| !v.is_baseline()) {
        let _ = write!(out, "| {variant}");
        for (_, pick) in KINDS {
            for field in [(|p| p.p99) as fn(&Percentiles) -> u64, |p| p.p999] {
                let ratio = |(seed, figures): (usize, &Figures)| {
                    let best = baselines
                        .iter()
                        .map(|(_, runs)| field(&pick(&runs[seed])))
                        .min();
                    field(&pick(figures)) as f64 / best.unwrap_or(1).max(1) as f64
                };
                let ratios: Vec<f64> = runs.iter().enumerate().map(ratio).collect();
                let _ = write!(out, " | {}", format_range(&ratios));
            }
        }
        let _ = writeln!(out, " |");
    }
}

fn costs(out: &mut String, experiment: &Experiment) {
    let _ = writeln!(
        out,
        "\n| all seeds | calls by outcome | probes per request | probe time / run time | over budget | hedges | retries | reroutes | cancelled run time | mismatches |"
    );
    let _ = writeln!(out, "|---|---|---|---|---|---|---|---|---|---|");
    for (variant, runs) in &experiment.results {
        let sum = |field: fn(&Figures) -> u64| runs.iter().map(field).sum::<u64>();
        let attempts =
            |kind: &str| -> u64 { runs.iter().filter_map(|f| f.attempts.get(kind)).sum() };
        let run_us = sum(|f| f.cost.run_us).max(1) as f64;
        let percent = |us: u64| 100.0 * us as f64 / run_us;
        let _ = writeln!(
            out,
            "| {variant} | {} | {:.4} | {:.4}% | {} | {} | {} | {} | {:.2}% | {} |",
            outcomes(runs),
            sum(|f| f.cost.probes) as f64 / attempts("first").max(1) as f64,
            percent(sum(|f| f.cost.probe_us)),
            sum(|f| f.cost.over_budget as u64),
            attempts("hedge"),
            attempts("retry"),
            attempts("reroute"),
            percent(sum(|f| f.cost.unused_us)),
            sum(|f| f.mismatches as u64),
        );
    }
}

fn outcomes(runs: &[Figures]) -> String {
    let mut total: BTreeMap<&str, u64> = BTreeMap::new();
    for (name, count) in runs.iter().flat_map(|f| &f.outcomes) {
        *total.entry(name).or_default() += count;
    }
    let parts = total.iter().map(|(name, count)| format!("{name}: {count}"));
    parts.collect::<Vec<_>>().join(", ")
}

fn overload(out: &mut String, experiment: &Experiment) {
    let _ = writeln!(
        out,
        "\n| overload: median over seeds | goodput / capacity | ms to refuse p50 | p99 | recovery ms (min-max) | second service p99 ms calm | flooded | second service failed |"
    );
    let _ = writeln!(out, "|---|---|---|---|---|---|---|---|");
    for (variant, runs) in &experiment.results {
        let of = |field: fn(&Figures) -> f64| median(runs.iter().map(field));
        let recovery: Vec<f64> = runs.iter().map(|f| f.overload.recovery_ms as f64).collect();
        let _ = writeln!(
            out,
            "| {variant} | {:.3} | {:.1} | {:.1} | {:.0}-{:.0} | {:.1} | {:.1} | {} |",
            of(|f| f.overload.goodput),
            of(|f| f.overload.refused.p50 as f64 / 1e3),
            of(|f| f.overload.refused.p99 as f64 / 1e3),
            recovery.iter().copied().fold(f64::INFINITY, f64::min),
            recovery.iter().copied().fold(0.0, f64::max),
            of(|f| f.overload.second_normal.p99 as f64 / 1e3),
            of(|f| f.overload.second_overloaded.p99 as f64 / 1e3),
            runs.iter().map(|f| f.overload.second_failed).sum::<usize>(),
        );
    }
}

/// Load of the machine and CPU use of the test's processes, which show whether the figures are
/// valid.
fn conditions(out: &mut String, experiment: &Experiment) {
    let all = || experiment.results.iter().flat_map(|(_, runs)| runs);
    let highest = |name: &str| {
        let shares = all().filter_map(|f| f.cpu_percent[name].as_f64());
        shares.fold(0.0, f64::max)
    };
    let one_minute =
        |f: &Figures| -> Option<f64> { f.load_averages.split(' ').next()?.parse().ok() };
    let loads = || all().filter_map(one_minute);
    let _ = writeln!(
        out,
        "\nLoad average of the machine {:.1} to {:.1}; generator late p99 at most {:.2} ms; most of one core used: generator {}%, a target {}%, relay {}%, a daemon {}%.",
        loads().fold(f64::INFINITY, f64::min),
        loads().fold(0.0, f64::max),
        all().map(|f| f.lateness.p99).max().unwrap_or(0) as f64 / 1e3,
        highest("generator"),
        highest("busiest_target"),
        highest("relay"),
        highest("busiest_daemon"),
    );
}

fn format_range(values: &[f64]) -> String {
    let lowest = values.iter().copied().fold(f64::INFINITY, f64::min);
    let highest = values.iter().copied().fold(0.0, f64::max);
    format!(
        "{:.2} ({lowest:.2}-{highest:.2})",
        median(values.iter().copied())
    )
}

/// Median; the lower of the two middle values if their number is even.
pub(super) fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut all: Vec<f64> = values.collect();
    all.sort_by(f64::total_cmp);
    all.get(all.len().saturating_sub(1) / 2)
        .copied()
        .unwrap_or(0.0)
}

/// Medians of the latency percentiles over `runs`, in microseconds, for plots.
pub(super) fn medians(runs: &[Figures]) -> [f64; 4] {
    let of = |field: fn(&Percentiles) -> u64| median(runs.iter().map(|f| field(&f.all) as f64));
    [of(|p| p.p50), of(|p| p.p90), of(|p| p.p99), of(|p| p.p999)]
}

/// Names of the variants, in the order of the results.
pub(super) fn names(results: &[(Variant, Vec<Figures>)]) -> Vec<String> {
    results.iter().map(|(v, _)| v.to_string()).collect()
}
