use {
    super::{CommandError, bench_score::BenchScore},
    plotters::{
        backend::SVGBackend,
        chart::ChartBuilder,
        coord::Shift,
        drawing::{DrawingArea, IntoDrawingArea},
        element::PathElement,
        series::LineSeries,
        style::{BLACK, BLUE, Color, GREEN, RED, RGBColor, WHITE},
    },
    std::path::Path,
};

/// Width and height of the plot in pixels.
const SIZE_PX: (u32, u32) = (1000, 760);

/// Line colours of the policies, in the order in which these first appear.
const COLOURS: [RGBColor; 4] = [RED, BLUE, GREEN, BLACK];

/// Part of the plot that holds one chart.
type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Draws goodput and wasted prefill over offered load to an SVG file, with one row per profile.
///
/// # Errors
///
/// Fails if the plot cannot be drawn or the file cannot be written.
pub(super) fn draw(file: &Path, scores: &[BenchScore]) -> Result<(), CommandError> {
    let failed = |error: String| CommandError::failed(format!("cannot write the plot: {error}"));
    let root = SVGBackend::new(file, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)
        .map_err(|error| failed(error.to_string()))?;
    let profiles = distinct(scores, |score| score.profile);
    let areas = root.split_evenly((profiles.len(), 2));
    for (row, profile) in profiles.iter().enumerate() {
        let part: Vec<&BenchScore> = scores
            .iter()
            .filter(|score| score.profile == *profile)
            .collect();
        let title = format!("{profile}: goodput (requests/s)");
        chart(&areas[row * 2], &title, &part, |score| score.goodput).map_err(failed)?;
        let title = format!("{profile}: wasted prefill (%)");
        chart(&areas[row * 2 + 1], &title, &part, |score| score.wasted).map_err(failed)?;
    }
    root.present().map_err(|error| failed(error.to_string()))
}

/// Draws one measure over the offered load, with one line per policy.
fn chart<F>(area: &Area<'_>, title: &str, scores: &[&BenchScore], value: F) -> Result<(), String>
where
    F: Fn(&BenchScore) -> f64,
{
    let top = scores.iter().map(|score| value(score)).fold(1.0, f64::max);
    let loads = scores.iter().map(|score| score.load);
    let right = loads.fold(0.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(45)
        .build_cartesian_2d(0.4..right, 0.0..top * 1.1)
        .map_err(|error| error.to_string())?;
    chart
        .configure_mesh()
        .x_desc("offered load / capacity")
        .draw()
        .map_err(|error| error.to_string())?;
    let policies = distinct(scores.iter().copied(), |score| score.policy);
    for (policy, colour) in policies.into_iter().zip(COLOURS) {
        let line = scores.iter().filter(|score| score.policy == policy);
        let points = line.map(|score| (score.load, value(score)));
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))
            .map_err(|error| error.to_string())?
            .label(policy)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()
        .map_err(|error| error.to_string())
}

/// Returns the distinct names in order of appearance.
fn distinct<'a, I, F>(scores: I, name: F) -> Vec<&'static str>
where
    I: IntoIterator<Item = &'a BenchScore>,
    F: Fn(&BenchScore) -> &'static str,
{
    let mut names = Vec::new();
    for score in scores {
        if !names.contains(&name(score)) {
            names.push(name(score));
        }
    }
    names
}
