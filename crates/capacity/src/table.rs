//! The capacity table in Markdown.

use crate::estimate::Estimate;
use std::fmt::Write;

/// Said of a row that no mechanism carries.
pub const MISSING: &str = "missing";
/// Said where there is no figure.
const NONE: &str = "-";

const HEADER: &str = "| role | quantity | by | slope | intercept | std. error | R² | at size | value ± error | limit | headroom | carried by | runs |\n\
                      | --- | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | --- | --- |\n";

/// The table, one row for each estimate, in their order.
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
            short(line.slope),
            short(line.intercept),
            short(line.standard_error),
            format!("{:.2}", line.r_squared),
        ),
        Err(why) => (why.to_string(), NONE.into(), NONE.into(), NONE.into()),
    };
    let value = match (row.value(), row.error()) {
        (Some(value), Some(error)) => format!("{} ± {}", short(value), short(error)),
        _ => NONE.into(),
    };
    let limit = target.limit.map_or_else(|| NONE.into(), short);
    let headroom = row
        .headroom()
        .map_or_else(|| NONE.into(), |share| format!("{:.0}%", share * 100.0));
    let mechanism = match target.mechanism.as_str() {
        "" => MISSING,
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
        short(target.size),
        runs.join(" "),
    );
}

/// Three significant digits, without an exponent for the sizes that occur here.
fn short(value: f64) -> String {
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
