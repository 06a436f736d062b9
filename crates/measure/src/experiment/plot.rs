//! Plot of the latency percentiles and probe cost of each variant.

use std::path::Path;

use plotters::prelude::*;

use super::run::Experiment;
use super::table::{median, medians, names};

const SIZE: (u32, u32) = (900, 520);
const COLOURS: [RGBColor; 4] = [
    RGBColor(86, 160, 211),
    RGBColor(46, 139, 87),
    RGBColor(230, 140, 30),
    RGBColor(190, 40, 50),
];
const LABELS: [&str; 4] = ["p50", "p90", "p99", "p99.9"];

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;
type PlotError = Box<dyn std::error::Error>;

/// Writes the plot of an experiment as an SVG file.
///
/// # Errors
///
/// The file can't be written.
pub fn draw(experiment: &Experiment, path: &Path) -> Result<(), PlotError> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let options = &experiment.options;
    let title = format!(
        "{} / {}: {}",
        options.scope.deployment,
        options.plan,
        options.plan.summary()
    );
    let root = root.titled(&title, ("sans-serif", 17))?;
    let (left, right) = root.split_horizontally(620);
    latencies(experiment, &left)?;
    costs(experiment, &right)?;
    root.present()?;
    Ok(())
}

/// Draws a ring for each seed and a filled circle for the median over the seeds.
fn latencies(experiment: &Experiment, area: &Area<'_>) -> Result<(), PlotError> {
    let names = names(&experiment.results);
    let runs = || experiment.results.iter().flat_map(|(_, runs)| runs);
    let lowest = runs().map(|f| f.all.p50).min().unwrap_or(1).max(1) as f64 / 1e3;
    let highest = runs().map(|f| f.all.p999).max().unwrap_or(1).max(2) as f64 / 1e3;
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(
            (0..names.len()).into_segmented(),
            (lowest * 0.8..highest * 1.2).log_scale(),
        )?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_label_style(("sans-serif", 11))
        .x_label_formatter(&|value| label(&names, value))
        .y_desc("ms from the planned arrival, all answered calls")
        .draw()?;
    for (index, colour) in COLOURS.iter().enumerate() {
        let points = experiment.results.iter().enumerate();
        let rings = points.clone().flat_map(|(x, (_, runs))| {
            let values = runs
                .iter()
                .map(move |f| medians(std::slice::from_ref(f))[index]);
            values.map(move |us| {
                Circle::new(
                    (SegmentValue::CenterOf(x), us / 1e3),
                    3,
                    colour.stroke_width(1),
                )
            })
        });
        chart.draw_series(rings)?;
        let circles = points.map(|(x, (_, runs))| {
            let ms = medians(runs)[index] / 1e3;
            Circle::new((SegmentValue::CenterOf(x), ms), 5, colour.filled())
        });
        chart
            .draw_series(circles)?
            .label(LABELS[index])
            .legend(move |(x, y)| Circle::new((x + 8, y), 5, colour.filled()));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .border_style(BLACK)
        .background_style(WHITE.mix(0.8))
        .draw()?;
    Ok(())
}

/// Draws bars for the probes' share of the run time.
fn costs(experiment: &Experiment, area: &Area<'_>) -> Result<(), PlotError> {
    let names = names(&experiment.results);
    let share = |(_, runs): &(super::Variant, Vec<super::Figures>)| {
        median(runs.iter().map(|f| f.cost.probe_percent()))
    };
    let shares: Vec<f64> = experiment.results.iter().map(share).collect();
    let highest = shares.iter().copied().fold(0.001, f64::max);
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d((0..names.len()).into_segmented(), 0.0..highest * 1.2)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_label_style(("sans-serif", 8))
        .x_label_formatter(&|value| short(&label(&names, value)))
        .y_desc("probe time, % of run time")
        .draw()?;
    let bars = shares.iter().enumerate().map(|(x, share)| {
        let corners = [
            (SegmentValue::Exact(x), 0.0),
            (SegmentValue::Exact(x + 1), *share),
        ];
        Rectangle::new(corners, COLOURS[0].filled())
    });
    chart.draw_series(bars)?;
    Ok(())
}

fn label(names: &[String], value: &SegmentValue<usize>) -> String {
    match value {
        SegmentValue::CenterOf(x) => names.get(*x).cloned().unwrap_or_default(),
        SegmentValue::Exact(_) | SegmentValue::Last => String::new(),
    }
}

/// Abbreviates a variant's name to its initials, since the panel is narrow.
fn short(name: &str) -> String {
    let words = name.split([' ', '-']);
    words.filter_map(|word| word.chars().next()).collect()
}
