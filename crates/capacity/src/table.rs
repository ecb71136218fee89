//! The capacity table in Markdown.

use crate::estimate::Estimate;
use std::fmt::Write;

/// Text for a target without a mechanism.
pub const NO_MECHANISM: &str = "missing";
/// Text in place of a figure that is not available.
const NO_FIGURE: &str = "-";

const HEADER: &str = "| role | quantity | by | slope | intercept | std. error | R² | at size | value ± error | limit | headroom | carried by | runs |\n\
                      | --- | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | --- | --- |\n";

/// Returns the table as Markdown, with one row for each estimate, in order.
pub fn markdown(rows: &[Estimate]) -> String {
    let mut text = HEADER.to_string();
    for row in rows {
        push_row(&mut text, row);
    }
    text
}

fn push_row(text: &mut String, row: &Estimate) {
    let target = &row.target;
    let (slope, intercept, error, r_squared) = match &row.line {
        Ok(line) => (
            format_figure(line.slope),
            format_figure(line.intercept),
            format_figure(line.standard_error),
            format!("{:.2}", line.r_squared),
        ),
        Err(error) => (error.to_string(), NO_FIGURE.into(), NO_FIGURE.into(), NO_FIGURE.into()),
    };
    let value = match (row.value(), row.error()) {
        (Some(value), Some(error)) => format!("{} ± {}", format_figure(value), format_figure(error)),
        _ => NO_FIGURE.into(),
    };
    let limit = target.limit.map_or_else(|| NO_FIGURE.into(), format_figure);
    let headroom = row
        .headroom()
        .map_or_else(|| NO_FIGURE.into(), |share| format!("{:.0}%", share * 100.0));
    let mechanism = match target.mechanism.as_str() {
        "" => NO_MECHANISM,
        named => named,
    };
    let runs: Vec<&str> = row.journal.iter().map(String::as_str).collect();
    // Writing to a string does not fail.
    let _ = writeln!(
        text,
        "| {} | {} | {} | {slope} | {intercept} | {error} | {r_squared} | {} | {value} | {limit} | {headroom} | {mechanism} | {} |",
        target.role,
        target.quantity,
        target.by,
        format_figure(target.size),
        runs.join(" "),
    );
}

/// Formats a figure with three significant digits, or as a whole number from 100 on. Only values
/// below 0.0001 have an exponent.
fn format_figure(value: f64) -> String {
    if value == 0.0 {
        return "0".into();
    }
    let digits = value.abs().log10().floor() as i32;
    if digits >= 2 {
        return format!("{value:.0}");
    }
    if digits < -4 {
        return format!("{value:.2e}");
    }
    format!("{value:.*}", (2 - digits) as usize)
}
