//! Plots of a report, as SVG.

use crate::errors::EmulatorError;
use crate::report::Times;
use crate::samples::Sample;
use plotters::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

const SIZE: (u32, u32) = (900, 500);
const MARGIN: u32 = 12;
const LABEL_AREA_SIZE: u32 = 56;
/// Length of an axis relative to the largest value.
const AXIS_LENGTH_FACTOR: f64 = 1.05;
/// Largest quantile drawn: quantile 1 can't be shown on a logarithmic axis.
const MAX_QUANTILE: f64 = 0.99999;

/// A named line.
struct Line {
    name: String,
    points: Vec<(f64, f64)>,
}

/// A plot with its axis labels.
struct Plot<'a> {
    title: &'a str,
    x: &'a str,
    y: &'a str,
    lines: Vec<Line>,
}

/// Returns one line for each controller.
fn node_lines(samples: &[Sample], value: fn(&Sample) -> f64) -> Vec<Line> {
    let nodes: BTreeSet<usize> = samples.iter().map(|s| s.node).collect();
    let line = |node: usize| Line {
        name: format!("node-{node}"),
        points: samples
            .iter()
            .filter(|s| s.node == node)
            .map(|s| (s.at_s, value(s)))
            .collect(),
    };
    nodes.into_iter().map(line).collect()
}

/// Returns a line of a value that is the same for all controllers.
fn cluster_line(samples: &[Sample], name: &str, value: fn(&Sample) -> f64) -> Line {
    let points: BTreeMap<u64, f64> = samples.iter().map(|s| (s.at_s.round() as u64, value(s))).collect();
    Line {
        name: name.into(),
        points: points.into_iter().map(|(at, value)| (at as f64, value)).collect(),
    }
}

/// Returns lines of the times over the quantiles, on an axis of the number of nines.
fn quantile_lines(times: &BTreeMap<&'static str, Times>) -> Vec<Line> {
    let nines = |quantile: f64| -(1.0 - quantile.min(MAX_QUANTILE)).log10();
    let line = |(name, times): (&&'static str, &Times)| Line {
        name: name.to_string(),
        points: times.curve.iter().map(|(q, ms)| (nines(*q), *ms)).collect(),
    };
    times.iter().map(line).collect()
}

/// Draws all plots into a directory.
pub(crate) fn draw(dir: &Path, samples: &[Sample], times: &BTreeMap<&'static str, Times>) -> Result<(), EmulatorError> {
    let plot = |title, y, lines| Plot {
        title,
        x: "seconds",
        y,
        lines,
    };
    let received = |s: &Sample| s.workers_in + s.users_in + s.state_in + s.cloud_in;
    let sent = |s: &Sample| s.workers_out + s.users_out + s.state_out + s.cloud_out;
    let plots = [
        ("cpu", plot("Processor time", "cores", node_lines(samples, |s| s.cpu))),
        (
            "memory",
            plot("Memory", "MB", node_lines(samples, |s| s.memory_kb as f64 / 1024.0)),
        ),
        (
            "sockets",
            plot("Sockets", "sockets", node_lines(samples, |s| s.sockets as f64)),
        ),
        (
            "received",
            plot("Received", "bytes a second", node_lines(samples, received)),
        ),
        ("sent", plot("Sent", "bytes a second", node_lines(samples, sent))),
        (
            "tasks",
            plot(
                "Tasks and machines",
                "number",
                vec![
                    cluster_line(samples, "running", |s| s.running as f64),
                    cluster_line(samples, "starts a second", |s| s.starts),
                    cluster_line(samples, "machines", |s| s.machines as f64),
                    cluster_line(samples, "open jobs", |s| s.open_jobs as f64),
                ],
            ),
        ),
        (
            "times",
            Plot {
                title: "Times by quantile",
                x: "nines of the quantile (1: 90%, 2: 99%)",
                y: "ms",
                lines: quantile_lines(times),
            },
        ),
    ];
    for (name, plot) in plots {
        let path = dir.join(format!("{name}.svg"));
        draw_plot(&path, &plot).map_err(|e| EmulatorError::Plot {
            path: path.clone(),
            message: e.to_string(),
        })?;
    }
    Ok(())
}

/// Draws one plot into a file.
fn draw_plot(path: &Path, plot: &Plot) -> Result<(), Box<dyn std::error::Error>> {
    let points = || plot.lines.iter().flat_map(|line| &line.points);
    let largest = |of: fn(&(f64, f64)) -> f64| points().map(of).fold(0.0, f64::max).max(1e-3) * AXIS_LENGTH_FACTOR;
    let (right, top) = (largest(|p| p.0), largest(|p| p.1));
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(plot.title, ("sans-serif", 20))
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA_SIZE)
        .y_label_area_size(LABEL_AREA_SIZE)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().x_desc(plot.x).y_desc(plot.y).draw()?;
    for (number, line) in plot.lines.iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), &colour))?
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
