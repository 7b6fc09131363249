//! Plots response time over ideal against wasted messages, by policy.

use crate::report::{PolicyFigures, Report};
use plotters::prelude::*;
use std::error::Error;
use std::path::Path;

const WIDTH: u32 = 900;
const HEIGHT: u32 = 600;
const DOT_RADIUS: i32 = 6;

/// Draws for each policy a dot at its mean and a ring at its 99th percentile, as SVG.
pub fn draw(report: &Report, path: &Path) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(path, (WIDTH, HEIGHT)).into_drawing_area();
    area.fill(&WHITE)?;
    let maximum =
        |value: fn(&PolicyFigures) -> f64| report.policies.iter().map(value).fold(0.1, f64::max);
    let right = maximum(|policy| policy.wasted_per_task) * 1.2;
    let top = maximum(|policy| policy.over_ideal.p99) * 1.1;
    let caption = format!(
        "{}, load {}, {}: response over ideal, mean (dot) and p99 (ring)",
        report.deployment, report.load, report.scenario
    );
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 20))
        .margin(20)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..right, (0.9..top).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("wasted messages per task")
        .y_desc("response over ideal")
        .draw()?;
    for (index, policy) in report.policies.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let mean = (policy.wasted_per_task, policy.over_ideal.mean);
        let tail = (policy.wasted_per_task, policy.over_ideal.p99);
        chart
            .draw_series([Circle::new(mean, DOT_RADIUS, color.filled())])?
            .label(policy.name)
            .legend(move |(x, y)| Circle::new((x, y), DOT_RADIUS, color.filled()));
        chart.draw_series([Circle::new(tail, DOT_RADIUS, color)])?;
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
