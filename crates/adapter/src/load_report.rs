//! Load reports of pods, by the columns that the settings name.

use crate::error::WireError;
use crate::line::Fields;
use havenplank::interface::LoadReport;
use serde_json::Value;

/// The load report in a line's row of gauges, one for each of the given columns.
pub(crate) fn from_row(
    columns: &[String],
    fields: &Fields,
) -> Result<Option<LoadReport>, WireError> {
    let Some(row) = fields.optional_numbers("gauge")? else {
        return Ok(None);
    };
    let mut load = LoadReport::default();
    for (column, value) in columns.iter().zip(row) {
        set(&mut load, column, value);
    }
    Ok(Some(load))
}

/// A load report as a JSON object of the given columns; none where it cannot be read.
pub fn parse_load_report(columns: &[String], text: &[u8]) -> Option<LoadReport> {
    let report: Value = serde_json::from_slice(text).ok()?;
    let mut load = LoadReport::default();
    let known = |column: &String| columns.contains(column);
    for (column, value) in report
        .as_object()?
        .iter()
        .filter(|(column, _)| known(column))
    {
        set(&mut load, column, value.as_f64()?);
    }
    Some(load)
}

fn set(load: &mut LoadReport, column: &str, value: f64) {
    match column {
        "busy_reqs" => load.in_flight = Some(value),
        "pending" => load.queued = Some(value),
        "cpu_share" => load.cpu_utilization = Some(value),
        "svc_ms" => load.latency_ms = Some(value),
        "served_ps" => load.served_per_s = Some(value),
        "failed_ps" => load.failed_per_s = Some(value),
        _ => {}
    }
}
