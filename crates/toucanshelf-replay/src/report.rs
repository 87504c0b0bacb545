//! HTML report with a throughput plot.

use std::fmt::Write as _;
use std::path::Path;

use plotters::prelude::{
    BLUE, ChartBuilder, IntoDrawingArea as _, LineSeries, RED, SVGBackend, WHITE,
};

use crate::results::Results;

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (800, 320);

/// Writes the results of a replay to an HTML file.
///
/// # Errors
///
/// Returns an error if the plot can't be drawn or the file can't be written.
pub fn write(path: &Path, results: &Results) -> Result<(), Box<str>> {
    let plot = throughput_plot(results).map_err(|e| format!("the plot can't be drawn: {e}"))?;
    let mut html = String::from("<!doctype html><meta charset=\"utf-8\">");
    let _ = write!(html, "<title>{0}</title><h1>{0}</h1>{plot}", results.name);
    let json = serde_json::to_string_pretty(results).expect("results can be serialised");
    let _ = write!(html, "<pre>{json}</pre>");
    std::fs::write(path, html)
        .map_err(|e| format!("`{}` can't be written: {e}", path.display()).into())
}

/// Draws the throughput over time in blue and its bound in red, as SVG.
fn throughput_plot(results: &Results) -> Result<String, Box<dyn std::error::Error>> {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let seconds = results.tokens_by_second.len().max(1) as f64;
        let peak = results.tokens_by_second.iter().copied().fold(0.0, f64::max);
        let top = peak.max(results.bound_tokens_per_s) * 1.1;
        let mut chart = ChartBuilder::on(&root)
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..seconds, 0.0..top)?;
        chart
            .configure_mesh()
            .x_desc("seconds")
            .y_desc("tokens/s")
            .draw()?;
        let points = results.tokens_by_second.iter().enumerate();
        let points = points.map(|(second, tokens)| (second as f64 + 0.5, *tokens));
        chart.draw_series(LineSeries::new(points, &BLUE))?;
        let bound = results.bound_tokens_per_s;
        chart.draw_series(LineSeries::new([(0.0, bound), (seconds, bound)], &RED))?;
        root.present()?;
    }
    Ok(svg)
}
