//! Decodes the load reports of pods. The settings list the columns of a report.

use crate::error::WireError;
use crate::line::Fields;
use havenplank::interface::LoadReport;
use serde_json::Value;

/// Returns the load report in a line's `gauge` array, which has one number per column.
pub(crate) fn from_gauge(
    columns: &[String],
    fields: &Fields,
) -> Result<Option<LoadReport>, WireError> {
    let Some(values) = fields.optional_numbers("gauge")? else {
        return Ok(None);
    };
    let mut load = LoadReport::default();
    for (column, value) in columns.iter().zip(values) {
        set_column(&mut load, column, value);
    }
    Ok(Some(load))
}

/// Parses a load report from a JSON object whose keys are column names; other keys are ignored. Returns `None` if the
/// report is malformed.
pub fn parse_load_report(columns: &[String], text: &[u8]) -> Option<LoadReport> {
    let report: Value = serde_json::from_slice(text).ok()?;
    let mut load = LoadReport::default();
    let is_listed = |column: &String| columns.contains(column);
    for (column, value) in report
        .as_object()?
        .iter()
        .filter(|(column, _)| is_listed(column))
    {
        set_column(&mut load, column, value.as_f64()?);
    }
    Some(load)
}

fn set_column(load: &mut LoadReport, column: &str, value: f64) {
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
