//! Text form of the control plane's figures.

use std::fmt::Write;

use super::fit::LinearFit;
use super::measure::FleetFigures;

/// Number of daemons at full size.
const FULL_SIZE: f64 = 540.0;
/// Number of daemons that watch the platform: 2 in each of 6 failure domains by default.
const WATCHERS: usize = 12;

/// Name of a figure, and the function that extracts it.
type Figure = (&'static str, fn(&FleetFigures) -> f64);

/// Renders two tables with one row for each fleet: the steady state, and the phases after it.
pub fn render_fleets(fleets: &[FleetFigures]) -> String {
    let mut text = String::from(
        "daemons | cpu % | max | MiB | max | payload B/s | datagram B/s | max | conns | neighbours \
         | reads/s | waiting\n",
    );
    for f in fleets {
        let s = &f.steady;
        let _ = writeln!(
            text,
            "{:7} | {:.2} | {:.2} | {:.1} | {:.1} | {:.0} | {:.0} | {:.0} | {:.1} | {:.1} | {:.1} | {:.0}",
            f.count,
            s.cpu_percent,
            s.cpu_max_percent,
            s.memory_mib,
            s.memory_max_mib,
            s.control_bytes,
            s.datagram_bytes,
            s.datagram_max,
            s.connections,
            s.neighbours,
            s.platform_reads,
            s.platform_waiting,
        );
    }
    text.push_str(
        "\ndaemons | cpu ms per patch, watchers and others | datagram B per patch, same | first ms p50, max | last ms p50, p99, \
         max (n) | missed | cut: last ms (of) | healed ms | restart reads in 1 s | restart ms | B per \
         replacement\n",
    );
    for f in fleets {
        let _ = writeln!(text, "{:7} | {}", f.count, phase_figures(f));
    }
    text
}

fn phase_figures(f: &FleetFigures) -> String {
    let [(watch_cpu, watch_bytes), (cpu, bytes)] = per_patch(f);
    let partition = f.partition.as_ref().map_or_else(String::new, |c| {
        let r = &c.reachable;
        let healed = c
            .healed_ms
            .map_or("not all".to_owned(), |ms| format!("{ms:.0}"));
        format!(
            "{:.0} ({} of {}) | {healed}",
            r.last_ms, r.daemons, c.reachable_daemons
        )
    });
    format!(
        "{watch_cpu:.2}, {cpu:.2} | {watch_bytes:.0}, {bytes:.0} | {:.0}, {:.0} | {:.0}, {:.0}, {:.0} ({}) | {} | {partition} | {} | {} | {:.0}",
        f.first.p50,
        f.first.max,
        f.last.p50,
        f.last.p99,
        f.last.max,
        f.last.count,
        f.missed,
        f.restart_reads.unwrap_or_default(),
        f.restart_ms.unwrap_or_default(),
        f.replace_bytes.unwrap_or_default(),
    )
}

/// Processor time in milliseconds and datagram bytes per patch: of a daemon that watches the
/// platform, and of one that doesn't.
fn per_patch(f: &FleetFigures) -> [(f64, f64); 2] {
    // Patches are published one per second, so rates above the steady state are the cost of one.
    let Some(patches) = f.patches else {
        return [(f64::NAN, f64::NAN); 2];
    };
    [0, 1].map(|i| {
        let (patches, steady) = (patches[i], f.steady_split[i]);
        let cpu = (patches.cpu_percent - steady.cpu_percent) * 10.0;
        (cpu, patches.datagram_bytes - steady.datagram_bytes)
    })
}

/// Fits a line over the number of daemons to each figure. Fleets in which the figure is unknown are
/// left out.
pub fn fits(fleets: &[FleetFigures]) -> Vec<(&'static str, LinearFit)> {
    let figures: [Figure; 11] = [
        ("cpu, % of a core", |f| f.steady.cpu_percent),
        ("memory, MiB", |f| f.steady.memory_mib),
        ("datagrams, B/s", |f| f.steady.datagram_bytes),
        ("payload, B/s", |f| f.steady.control_bytes),
        ("peer connections", |f| f.steady.connections),
        ("cpu per patch, watcher, ms", |f| per_patch(f)[0].0),
        ("cpu per patch, other, ms", |f| {
            nonwatcher_figure(f, per_patch(f)[1].0)
        }),
        ("datagrams per patch, watcher, B", |f| per_patch(f)[0].1),
        ("datagrams per patch, other, B", |f| {
            nonwatcher_figure(f, per_patch(f)[1].1)
        }),
        ("last in force, median ms", |f| f.last.p50),
        ("datagrams per replacement, B", |f| {
            f.replace_bytes.unwrap_or(f64::NAN)
        }),
    ];
    let fit = |(name, of): Figure| {
        let points = fleets.iter().map(|f| (f.count as f64, of(f)));
        let points: Vec<_> = points.filter(|(_, y)| y.is_finite()).collect();
        (name, LinearFit::of(&points))
    };
    figures.map(fit).to_vec()
}

/// Returns a figure of daemons that don't watch the platform, or NaN for a fleet in which all do.
fn nonwatcher_figure(f: &FleetFigures, figure: f64) -> f64 {
    if f.count > WATCHERS { figure } else { f64::NAN }
}

/// Renders the fitted lines with standard errors, and the values extrapolated to the full size.
pub fn render_fits(fits: &[(&'static str, LinearFit)]) -> String {
    let mut text =
        String::from("figure | at 0 | per daemon | +- | residual | at 540, extrapolated | +-\n");
    for (name, fit) in fits {
        let (full, error) = fit.predict(FULL_SIZE);
        let _ = writeln!(
            text,
            "{name} | {:.3} | {:.5} | {:.5} | {:.3} | {full:.2} | {error:.2}",
            fit.intercept, fit.slope, fit.slope_error, fit.residual
        );
    }
    text
}
