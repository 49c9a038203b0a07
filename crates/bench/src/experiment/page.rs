//! The report page: plots of one run as SVG.

use std::collections::BTreeMap;

use plotters::coord::Shift;
use plotters::prelude::*;

use super::error::ExperimentError;
use super::report::{Percentiles, Report};

const WIDTH: u32 = 1_100;
const HEIGHT: u32 = 800;
const MARGIN: i32 = 12;
const AXIS_WIDTH: i32 = 44;
const TITLE_SIZE: i32 = 18;
const FONT: &str = "sans-serif";

/// Space above the highest value of a plot.
const HEADROOM: f64 = 1.15;

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Draws step times with their bounds, staleness, live latencies and swap times.
///
/// # Errors
/// When the plotting library fails.
pub fn svg(report: &Report) -> Result<String, ExperimentError> {
    let mut page = String::new();
    {
        let area = SVGBackend::with_string(&mut page, (WIDTH, HEIGHT)).into_drawing_area();
        area.fill(&WHITE).map_err(drawing)?;
        let areas = area.split_evenly((2, 2));
        draw_steps(&areas[0], report)?;
        draw_staleness(&areas[1], report)?;
        draw_live(&areas[2], report)?;
        draw_swaps(&areas[3], report)?;
        area.present().map_err(drawing)?;
    }
    Ok(page)
}

fn drawing(error: impl std::fmt::Display) -> ExperimentError {
    ExperimentError::Drawing {
        reason: error.to_string(),
    }
}

/// A series of bars of one colour with the name of each place.
struct Bars<'a> {
    title: &'a str,
    unit: &'a str,
    labels: Vec<String>,
    series: Vec<(RGBColor, Vec<f64>)>,
}

fn draw_bars(area: &Area<'_>, bars: &Bars<'_>) -> Result<(), ExperimentError> {
    let highest = bars.series.iter().flat_map(|(_, values)| values);
    let top = highest.copied().fold(1e-3, f64::max) * HEADROOM;
    let places = bars.labels.len().max(1) as f64;
    let mut chart = ChartBuilder::on(area)
        .caption(bars.title, (FONT, TITLE_SIZE))
        .margin(MARGIN)
        .x_label_area_size(AXIS_WIDTH)
        .y_label_area_size(AXIS_WIDTH)
        .build_cartesian_2d(0.0..places, 0.0..top)
        .map_err(drawing)?;
    let label = |place: &f64| {
        let index = place.floor() as usize;
        bars.labels.get(index).cloned().unwrap_or_default()
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(bars.labels.len().max(1))
        .x_label_formatter(&label)
        .y_desc(bars.unit)
        .draw()
        .map_err(drawing)?;
    let width = 0.8 / bars.series.len().max(1) as f64;
    for (number, (colour, values)) in bars.series.iter().enumerate() {
        let left = 0.1 + width * number as f64;
        let rectangles = values.iter().enumerate().map(|(place, value)| {
            let start = place as f64 + left;
            Rectangle::new([(start, 0.0), (start + width, *value)], colour.filled())
        });
        chart.draw_series(rectangles).map_err(drawing)?;
    }
    Ok(())
}

fn draw_steps(area: &Area<'_>, report: &Report) -> Result<(), ExperimentError> {
    let steps = report
        .training
        .as_ref()
        .map_or(&[][..], |training| training.steps.as_slice());
    let bars = Bars {
        title: "step time (blue) and its lower bound (grey)",
        unit: "seconds",
        labels: (0..steps.len()).map(|step| step.to_string()).collect(),
        series: vec![
            (BLUE, steps.iter().map(|step| step.seconds).collect()),
            (
                RGBColor(150, 150, 150),
                steps.iter().map(|step| step.bound.seconds()).collect(),
            ),
        ],
    };
    draw_bars(area, &bars)
}

fn draw_staleness(area: &Area<'_>, report: &Report) -> Result<(), ExperimentError> {
    let empty = BTreeMap::new();
    let (commit, delivery) = report
        .training
        .as_ref()
        .map_or((&empty, &empty), |training| {
            (
                &training.staleness_at_commit,
                &training.staleness_at_delivery,
            )
        });
    let places: Vec<u64> = commit.keys().chain(delivery.keys()).copied().collect();
    let last = places.into_iter().max().unwrap_or(0);
    let counts = |counts: &BTreeMap<u64, u64>| -> Vec<f64> {
        (0..=last)
            .map(|behind| counts.get(&behind).copied().unwrap_or(0) as f64)
            .collect()
    };
    let bars = Bars {
        title: "versions behind at commit (green) and delivery (magenta)",
        unit: "samples",
        labels: (0..=last).map(|behind| behind.to_string()).collect(),
        series: vec![(GREEN, counts(commit)), (MAGENTA, counts(delivery))],
    };
    draw_bars(area, &bars)
}

fn draw_live(area: &Area<'_>, report: &Report) -> Result<(), ExperimentError> {
    let pick = |pick: fn(&Percentiles) -> u64| -> Vec<f64> {
        let groups = report.live.iter();
        groups.map(|group| pick(&group.total_ms) as f64).collect()
    };
    let bars = Bars {
        title: "live calls: p50 (cyan), p90 (blue), p99 (red)",
        unit: "milliseconds",
        labels: report.live.iter().map(|group| group.name.clone()).collect(),
        series: vec![
            (CYAN, pick(|percentiles| percentiles.p50)),
            (BLUE, pick(|percentiles| percentiles.p90)),
            (RED, pick(|percentiles| percentiles.p99)),
        ],
    };
    draw_bars(area, &bars)
}

fn draw_swaps(area: &Area<'_>, report: &Report) -> Result<(), ExperimentError> {
    let seconds = &report.swaps.seconds;
    let bars = Bars {
        title: "publication until all engines run the version",
        unit: "seconds",
        labels: (0..seconds.len())
            .map(|swap| (swap + 2).to_string())
            .collect(),
        series: vec![(BLUE, seconds.clone())],
    };
    draw_bars(area, &bars)
}
