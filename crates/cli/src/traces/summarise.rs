//! `havenplank trace summarise`: prints figures of a trace as tables and writes them as JSON.

use super::files::{format_time, open, parse_span, print, status, Opened};
use crate::write_json;
use anyhow::bail;
use havenplank_trace::summary::{self, Figures, Summary};
use serde_json::json;
use std::collections::BTreeMap;
use std::fmt::{self, Write};
use std::path::Path;

/// Prints the figures of a trace; if `span` gives a length, prints them by time spans of that length as well.
pub(super) fn summarise(
    file: &Path,
    span: Option<&str>,
    json: Option<&Path>,
) -> anyhow::Result<u8> {
    let mut reader = open(file)?;
    let span = span.map(parse_required_span).transpose()?;
    let (summary, damage) = summary::summarise(&mut reader, span)?;
    print(&summary_text(&reader, &summary)?)?;
    if let Some(file) = json {
        write_json(file, &summary_json(&summary))?;
    }
    Ok(status(file, damage))
}

fn parse_required_span(text: &str) -> anyhow::Result<u64> {
    match parse_span(text) {
        None | Some(0) => bail!("--span {text:?}: expected a duration above 0 such as \"10s\""),
        Some(span) => Ok(span),
    }
}

/// Formats the figures as one text. One write prints it, so that a reader that closes the pipe early causes one error.
fn summary_text(reader: &Opened, summary: &Summary) -> Result<String, fmt::Error> {
    let mut out = String::new();
    write_totals(&mut out, reader, summary)?;
    write_builds(&mut out, summary)?;
    write_pods(&mut out, summary)?;
    write_exposure(&mut out, summary)?;
    write_votes(&mut out, summary)?;
    write_spans(&mut out, reader, summary)?;
    Ok(out)
}

fn write_totals(out: &mut String, reader: &Opened, summary: &Summary) -> fmt::Result {
    let first = format_time(reader, summary.first);
    let last = format_time(reader, summary.last);
    let (hits, records) = (summary.requests, summary.records);
    writeln!(out, "{first} to {last}: {hits} requests, {records} records")?;
    let notes = [
        (
            summary.lost_requests,
            "requests were left out of the recording",
        ),
        (
            summary.lost_records,
            "records were lost during the recording",
        ),
        (summary.unfinished, "requests have no recorded end"),
        (summary.skipped, "records of a newer version were skipped"),
    ];
    for (count, note) in notes.iter().filter(|(count, _)| *count > 0) {
        writeln!(out, "{count} {note}")?;
    }
    Ok(())
}

fn write_builds(out: &mut String, summary: &Summary) -> fmt::Result {
    writeln!(out, "\nbuild  path group        hits  delivered    in time  bounced  errored     left   p50 ms   p99 ms  forwards")?;
    for ((build, class), figures) in &summary.builds {
        let Figures {
            requests,
            delivered,
            in_time,
            rejected,
            failed,
            client_left,
            ..
        } = figures;
        let (p50, p99) = (figures.latency_ms(0.5), figures.latency_ms(0.99));
        let ends = format_ends(&figures.attempts);
        writeln!(
            out,
            "{build:<6} {class:<14} {requests:>8} {delivered:>10} {in_time:>10} {rejected:>8} {failed:>8} {client_left:>8} {p50:>8.1} {p99:>8.1}  {ends}"
        )?;
    }
    Ok(())
}

fn write_pods(out: &mut String, summary: &Summary) -> fmt::Result {
    writeln!(out, "\npod (build)          forwards by end")?;
    for ((pod, build), attempts) in &summary.pods {
        let pod = format!("{pod} ({build})");
        writeln!(out, "{pod:<20} {}", format_ends(attempts))?;
    }
    Ok(())
}

/// Formats the counts of attempts by their end.
fn format_ends(attempts: &BTreeMap<&'static str, u64>) -> String {
    let ends = attempts.iter().map(|(end, count)| format!("{end} {count}"));
    ends.collect::<Vec<_>>().join(", ")
}

fn write_exposure(out: &mut String, summary: &Summary) -> fmt::Result {
    if !summary.exposure.is_empty() {
        writeln!(
            out,
            "\nsidecar (build)      exposed    taken   share  highest share of the cap in a window"
        )?;
    }
    for ((name, build), exposed) in &summary.exposure {
        let share = exposed.exposed_requests as f64 / exposed.arrived_requests.max(1) as f64;
        let sidecar = format!("{name} ({build})");
        writeln!(
            out,
            "{sidecar:<20} {:>7} {:>8} {share:>7.3}  {:.2}",
            exposed.exposed_requests, exposed.arrived_requests, exposed.max_allowance_used
        )?;
    }
    Ok(())
}

fn write_votes(out: &mut String, summary: &Summary) -> fmt::Result {
    for ((build, stage, vote), count) in &summary.votes {
        writeln!(out, "votes: build {build} stage {stage} {vote}: {count}")?;
    }
    Ok(())
}

fn write_spans(out: &mut String, reader: &Opened, summary: &Summary) -> fmt::Result {
    if !summary.spans.is_empty() {
        writeln!(
            out,
            "\nfrom                      build     hits  delivered    in time  bounced  errored"
        )?;
    }
    for ((at, build), [requests, delivered, in_time, rejected, failed]) in &summary.spans {
        let at = format_time(reader, *at);
        writeln!(
            out,
            "{at:<25} {build:<5} {requests:>8} {delivered:>10} {in_time:>10} {rejected:>8} {failed:>8}"
        )?;
    }
    Ok(())
}

/// Returns the figures as JSON. The field names carry the units.
fn summary_json(summary: &Summary) -> serde_json::Value {
    let builds = summary.builds.iter().map(|((build, class), figures)| {
        json!({
            "build": build, "path_group": class, "hits": figures.requests, "delivered": figures.delivered,
            "in_time": figures.in_time, "bounced": figures.rejected, "errored": figures.failed, "left": figures.client_left,
            "forwards": figures.attempts, "p50_ms": figures.latency_ms(0.5), "p99_ms": figures.latency_ms(0.99),
        })
    });
    let pods = summary
        .pods
        .iter()
        .map(|((pod, build), ends)| json!({"pod": pod, "build": build, "forwards": ends}));
    let exposed = summary.exposure.iter().map(|((name, build), exposure)| {
        json!({
            "sidecar": name, "build": build, "exposed": exposure.exposed_requests, "taken": exposure.arrived_requests, "windows": exposure.windows,
            "most_of_cap": exposure.max_allowance_used,
        })
    });
    let votes = summary.votes.iter().map(|((build, stage, vote), count)| {
        json!({"build": build, "stage": stage, "voice": vote, "votes": count})
    });
    let spans = summary.spans.iter().map(
        |((at, build), [requests, delivered, in_time, rejected, failed])| {
            json!({
                "at": at, "build": build, "hits": requests, "delivered": delivered, "in_time": in_time,
                "bounced": rejected, "errored": failed,
            })
        },
    );
    json!({
        "hits": summary.requests, "records": summary.records, "skipped": summary.skipped,
        "unfinished": summary.unfinished, "lost_hits": summary.lost_requests, "lost_records": summary.lost_records,
        "builds": builds.collect::<Vec<_>>(), "pods": pods.collect::<Vec<_>>(),
        "exposed": exposed.collect::<Vec<_>>(), "votes": votes.collect::<Vec<_>>(),
        "spans": spans.collect::<Vec<_>>(),
    })
}
