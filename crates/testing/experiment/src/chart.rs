//! Draws line charts to SVG files.

use plotters::prelude::*;
use std::io;
use std::path::Path;

/// One line of a chart.
pub struct Series {
    /// Name in the legend.
    pub name: String,
    /// Points (x, y), in the order in which they are connected.
    pub points: Vec<(f64, f64)>,
}

/// Draws all series to the SVG file `path`. `axis` is the label of the x axis, which is logarithmic if `log_x` is set; the y
/// axis starts at zero.
///
/// # Errors
/// If the file can't be written, or the axis can't be drawn.
pub fn draw_chart(path: &Path, title: &str, axis: &str, log_x: bool, all: &[Series]) -> io::Result<()> {
    let points = || all.iter().flat_map(|series| series.points.iter().copied());
    let top = points().map(|(_, y)| y).fold(0.0, f64::max) * 1.1;
    let (left, right) = points().fold((f64::MAX, f64::MIN), |(l, r), (x, _)| (l.min(x), r.max(x)));
    let area = SVGBackend::new(path, (720, 400)).into_drawing_area();
    let io_error = |error: String| io::Error::other(error);
    area.fill(&WHITE).map_err(|error| io_error(error.to_string()))?;
    let mut builder = ChartBuilder::on(&area);
    builder.caption(title, ("sans-serif", 18)).margin(12).x_label_area_size(36).y_label_area_size(56);
    macro_rules! draw {
        ($range:expr) => {{
            let mut chart = builder
                .build_cartesian_2d($range, 0.0..top.max(1e-9))
                .map_err(|error| io_error(error.to_string()))?;
            chart.configure_mesh().x_desc(axis).draw().map_err(|error| io_error(error.to_string()))?;
            for (n, series) in all.iter().enumerate() {
                let color = Palette99::pick(n).to_rgba();
                let line = LineSeries::new(series.points.clone(), color.stroke_width(2)).point_size(3);
                chart
                    .draw_series(line)
                    .map_err(|error| io_error(error.to_string()))?
                    .label(series.name.clone())
                    .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2)));
            }
            chart
                .configure_series_labels()
                .background_style(WHITE.mix(0.8))
                .border_style(BLACK)
                .draw()
                .map_err(|error| io_error(error.to_string()))?;
        }};
    }
    if log_x {
        draw!((left..right).log_scale());
    } else {
        draw!(left..right);
    }
    area.present().map_err(|error| io_error(error.to_string()))
}
