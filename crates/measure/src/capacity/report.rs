//! Text form of the control plane's figures.

use std::fmt::Write;

use super::fit::Fit;
use super::measure::FleetFigures;

/// Daemons at full size.
const FULL: f64 = 540.0;
/// Daemons that watch the platform: 2 in each of 6 failure domains, by the settings' default.
const WATCHERS: usize = 12;

/// A figure's name and how it is read.
type Figure = (&'static str, fn(&FleetFigures) -> f64);

/// A table with one row for each fleet.
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
        let _ = writeln!(text, "{:7} | {}", f.count, events(f));
    }
    text
}

fn events(f: &FleetFigures) -> String {
    let [(watch_cpu, watch_bytes), (cpu, bytes)] = per_patch(f);
    let cut = f.cut.as_ref().map_or_else(String::new, |c| {
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
        "{watch_cpu:.2}, {cpu:.2} | {watch_bytes:.0}, {bytes:.0} | {:.0}, {:.0} | {:.0}, {:.0}, {:.0} ({}) | {} | {cut} | {} | {} | {:.0}",
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

/// Processor time in milliseconds and datagram bytes for each patch, of a daemon that watches the
/// platform and of another.
fn per_patch(f: &FleetFigures) -> [(f64, f64); 2] {
    // One patch a second, so rates above the steady state are costs of one patch.
    let Some(patches) = f.patches else {
        return [(f64::NAN, f64::NAN); 2];
    };
    [0, 1].map(|i| {
        let (patches, steady) = (patches[i], f.steady_split[i]);
        let cpu = (patches.cpu_percent - steady.cpu_percent) * 10.0;
        (cpu, patches.datagram_bytes - steady.datagram_bytes)
    })
}

/// Lines through the figures of several fleets, by name.
pub fn fits(fleets: &[FleetFigures]) -> Vec<(&'static str, Fit)> {
    let figures: [Figure; 11] = [
        ("cpu, % of a core", |f| f.steady.cpu_percent),
        ("memory, MiB", |f| f.steady.memory_mib),
        ("datagrams, B/s", |f| f.steady.datagram_bytes),
        ("payload, B/s", |f| f.steady.control_bytes),
        ("peer connections", |f| f.steady.connections),
        ("cpu per patch, watcher, ms", |f| per_patch(f)[0].0),
        ("cpu per patch, other, ms", |f| other(f, per_patch(f)[1].0)),
        ("datagrams per patch, watcher, B", |f| per_patch(f)[0].1),
        ("datagrams per patch, other, B", |f| {
            other(f, per_patch(f)[1].1)
        }),
        ("last in force, median ms", |f| f.last.p50),
        ("datagrams per replacement, B", |f| {
            f.replace_bytes.unwrap_or(f64::NAN)
        }),
    ];
    let fit = |(name, of): Figure| {
        let points = fleets.iter().map(|f| (f.count as f64, of(f)));
        let points: Vec<_> = points.filter(|(_, y)| y.is_finite()).collect();
        (name, Fit::of(&points))
    };
    figures.map(fit).to_vec()
}

/// A figure of daemons that don't watch the platform; absent in a fleet where all do.
fn other(f: &FleetFigures, figure: f64) -> f64 {
    if f.count > WATCHERS { figure } else { f64::NAN }
}

/// Slopes with their standard errors, and values extrapolated to the full size.
pub fn render_fits(fits: &[(&'static str, Fit)]) -> String {
    let mut text =
        String::from("figure | at 0 | per daemon | +- | residual | at 540, extrapolated | +-\n");
    for (name, fit) in fits {
        let (full, error) = fit.predict(FULL);
        let _ = writeln!(
            text,
            "{name} | {:.3} | {:.5} | {:.5} | {:.3} | {full:.2} | {error:.2}",
            fit.at_zero, fit.slope, fit.slope_error, fit.residual
        );
    }
    text
}
