//! `havenplank trace`: tools for recorded traces.

use crate::{write_json, BROKEN, USAGE};
use anyhow::{bail, Context};
use clap::Subcommand;
use havenplank_emulator::drive;
use havenplank_trace::file::{Reader, TraceError, MAJOR};
use havenplank_trace::summary::{Figures, Summary};
use havenplank_trace::{cut, from_wire, merge, replay, show, summary, veil};
use indicatif::ProgressBar;
use serde_json::json;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{BufReader, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, UNIX_EPOCH};

#[derive(Subcommand)]
pub enum Trace {
    /// What a trace holds, by its greeting and index.
    Info { file: PathBuf },
    /// Copy the part between two times: since the trace's beginning ("90s"), or of the day (RFC 3339, UTC).
    Cut {
        file: PathBuf,
        #[arg(long)]
        from: String,
        #[arg(long)]
        to: String,
        #[arg(long, short, value_name = "FILE")]
        output: PathBuf,
    },
    /// Many traces in one, their clocks set by what all sidecars were told; parts of a life in order.
    Merge {
        #[arg(required = true)]
        files: Vec<PathBuf>,
        #[arg(long, short, value_name = "FILE")]
        output: PathBuf,
    },
    /// Copy with stand-ins for names, keys, addresses and log texts. The key is thrown away.
    Anonymise {
        file: PathBuf,
        #[arg(long, short, value_name = "FILE")]
        output: PathBuf,
        /// Use the key of this file, or keep the drawn one there: several traces then share their stand-ins.
        #[arg(long, value_name = "FILE")]
        key: Option<PathBuf>,
    },
    /// Figures by build, path group and pod, and by span where one is told.
    Summarise {
        file: PathBuf,
        #[arg(long)]
        span: Option<String>,
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
    /// Every record as a line of JSON, on standard output.
    Export { file: PathBuf },
    /// All records of one hit.
    Show {
        file: PathBuf,
        #[arg(long)]
        hit: u64,
        /// The sidecar's name, where the trace holds several.
        #[arg(long)]
        source: Option<String>,
    },
    /// Play one sidecar's recorded hits and troubles against a real sidecar with stand-ins, in real time.
    Drive {
        file: PathBuf,
        /// The sidecar's name, where the trace holds several.
        #[arg(long)]
        source: Option<String>,
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
    /// Make a trace of a day of the bench, from what went into the adapter and what came out of it (by tee).
    FromBench {
        input: PathBuf,
        output: PathBuf,
        #[arg(long, short = 'o', value_name = "FILE")]
        trace: PathBuf,
    },
    /// Play what the engines were told through the library and compare all that they do.
    Replay {
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
}

type Opened = Reader<BufReader<File>>;

fn open(file: &Path) -> anyhow::Result<Opened> {
    let opened = File::open(file).with_context(|| format!("{}", file.display()))?;
    let reader =
        Reader::open(BufReader::new(opened)).with_context(|| format!("{}", file.display()))?;
    if let Some(why) = &reader.rebuilt {
        eprintln!("{}: {why}; read by its blocks", file.display());
    }
    if reader.minor > havenplank_trace::file::MINOR {
        let minor = reader.minor;
        eprintln!(
            "{}: version {MAJOR}.{minor} is newer; what is new in it is passed over",
            file.display()
        );
    }
    Ok(reader)
}

/// Writes beside the file and moves it there once it is whole.
fn write<T>(
    file: &Path,
    work: impl FnOnce(&mut BufWriter<File>) -> Result<T, TraceError>,
) -> anyhow::Result<T> {
    let mut beside = file.as_os_str().to_owned();
    beside.push(".new");
    let written = || -> anyhow::Result<T> {
        let mut out = BufWriter::new(File::create(&beside)?);
        let done = work(&mut out)?;
        out.into_inner()?.sync_all()?;
        std::fs::rename(&beside, file)?;
        Ok(done)
    };
    written()
        .inspect_err(|_| drop(std::fs::remove_file(&beside)))
        .with_context(|| format!("{}", file.display()))
}

/// 0, or failed after the damage was printed: what comes before it was used.
fn damage(file: &Path, damage: Option<TraceError>) -> u8 {
    match damage {
        Some(error) => {
            eprintln!("{}: {error}; all before it was read", file.display());
            crate::FAILED
        }
        None => 0,
    }
}

fn span(text: &str) -> Option<u64> {
    u64::try_from(humantime::parse_duration(text).ok()?.as_nanos()).ok()
}

/// A time as it stands on the command line, on the file's clock.
fn time(reader: &Opened, text: &str) -> anyhow::Result<u64> {
    let (first, _) = reader.span().unwrap_or_default();
    if let Some(since) = span(text) {
        return Ok(first.saturating_add(since));
    }
    let Ok(at) = humantime::parse_rfc3339_weak(text) else {
        bail!("{text:?}: expected a span since the beginning such as \"90s\", or a time such as 2026-12-01T08:30:00Z");
    };
    let wall = at
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_nanos() as u64);
    Ok(reader.head.clock(wall))
}

fn day_time(reader: &Opened, at: u64) -> String {
    let wall = UNIX_EPOCH + Duration::from_nanos(reader.head.wall(at));
    humantime::format_rfc3339_millis(wall).to_string()
}

pub fn run(what: Trace) -> anyhow::Result<u8> {
    match what {
        Trace::Info { file } => info(&file),
        Trace::Cut {
            file,
            from,
            to,
            output,
        } => {
            let mut reader = open(&file)?;
            let (from, to) = (time(&reader, &from)?, time(&reader, &to)?);
            if from >= to {
                eprintln!("havenplank: --from is not before --to");
                return Ok(USAGE);
            }
            let (cut, met) = write(&output, |out| cut::cut(&mut reader, out, from, to))?;
            let cut::Cut {
                hits,
                records,
                blocks,
                unfinished,
            } = cut;
            println!(
                "{hits} hits, {records} records, {blocks} of {} blocks read",
                reader.index.len()
            );
            if unfinished > 0 {
                println!("{unfinished} hits are not followed to their end");
            }
            Ok(damage(&file, met))
        }
        Trace::Merge { files, output } => {
            let readers = files
                .iter()
                .map(|file| open(file))
                .collect::<anyhow::Result<Vec<_>>>()?;
            let clocks = write(&output, |out| merge::merge(readers, out))?;
            for clock in clocks {
                let merge::Clock {
                    name,
                    offset,
                    drift,
                    events,
                    spread,
                    ..
                } = clock;
                println!(
                    "{name}: {:+.3} ms, {:+.1} ppm, by {events} shared events, half of them within {:.3} ms",
                    offset as f64 / 1e6,
                    drift * 1e6,
                    spread as f64 / 1e6
                );
            }
            Ok(0)
        }
        Trace::Anonymise { file, output, key } => {
            let mut reader = open(&file)?;
            let key = key_of(key.as_deref())?;
            let mut met = None;
            let count = write(&output, |out| {
                match veil::anonymise(&mut reader, out, key) {
                    Err(error @ TraceError::Damage { .. }) => {
                        met = Some(error);
                        Ok(None)
                    }
                    other => other.map(Some),
                }
            })?;
            if let Some(count) = count {
                println!("{count} records");
            }
            Ok(damage(&file, met))
        }
        Trace::Summarise {
            file,
            span: told,
            json,
        } => {
            let mut reader = open(&file)?;
            let told = match told.as_deref().map(|text| (text, span(text))) {
                Some((text, None | Some(0))) => {
                    bail!("--span {text:?}: expected a span such as \"10s\"")
                }
                told => told.and_then(|(_, span)| span),
            };
            let (summary, met) = summary::summarise(&mut reader, told)?;
            say(&summary_text(&reader, &summary)?)?;
            if let Some(file) = json {
                write_json(&file, &summary_json(&summary))?;
            }
            Ok(damage(&file, met))
        }
        Trace::Export { file } => {
            let mut out = BufWriter::new(std::io::stdout().lock());
            let mut reader = open(&file)?;
            let met = each(&mut reader, |record, head| {
                writeln!(out, "{}", show::line(&record, head))
            })?;
            out.flush()?;
            Ok(damage(&file, met))
        }
        Trace::Show { file, hit, source } => {
            let mut reader = open(&file)?;
            let mut shown = 0;
            let met = each(&mut reader, |record, head| {
                let name = &head.sources[record.source].terms.name;
                if record.hit() == Some(hit) && source.as_ref().is_none_or(|source| source == name)
                {
                    println!("{}", show::line(&record, head));
                    shown += 1;
                }
                Ok(())
            })?;
            if shown == 0 {
                eprintln!("{}: no records of hit {hit}", file.display());
                return Ok(crate::FAILED);
            }
            Ok(damage(&file, met))
        }
        Trace::Drive { file, source, json } => drive(&file, source.as_deref(), json.as_deref()),
        Trace::FromBench {
            input,
            output,
            trace,
        } => {
            let read = |file: &Path| {
                File::open(file)
                    .map(BufReader::new)
                    .with_context(|| format!("{}", file.display()))
            };
            let sources = from_wire::sources(read(&input)?)
                .with_context(|| format!("{}", input.display()))?;
            let (heard, said) = (read(&input)?, read(&output)?);
            let records = write(&trace, |out| from_wire::write(heard, said, sources, out))?;
            println!("{records} records");
            Ok(0)
        }
        Trace::Replay { files } => {
            let readers = files
                .iter()
                .map(|file| open(file))
                .collect::<anyhow::Result<Vec<_>>>()?;
            let (played, met) = replay::replay(readers)?;
            let mut code = 0;
            for (name, outcome) in played {
                let replay::Outcome {
                    hits,
                    compared,
                    records,
                    differs,
                    stopped,
                } = outcome;
                println!("{name}: {hits} hits, {records} records, {compared} decisions compared");
                if let Some(at) = stopped {
                    println!("{name}: played up to {at}, from where records are missing");
                }
                match differs {
                    Some(replay::Difference {
                        record,
                        at,
                        recorded,
                        now,
                    }) => {
                        println!("{name}: differs first at record {record}, time {at}:");
                        println!("  recorded {recorded}\n  now      {now}");
                        code = BROKEN;
                    }
                    None => println!("{name}: identical"),
                }
            }
            if let Some(error) = met {
                eprintln!("{error}; all before it was played");
                code = code.max(crate::FAILED);
            }
            Ok(code)
        }
    }
}

fn drive(file: &Path, source: Option<&str>, json: Option<&Path>) -> anyhow::Result<u8> {
    let mut reader = open(file)?;
    let names: Vec<&str> = reader
        .head
        .sources
        .iter()
        .map(|source| source.terms.name.as_str())
        .collect();
    let number = match source {
        Some(name) => names.iter().position(|known| *known == name),
        None if names.len() == 1 => Some(0),
        None => None,
    };
    let Some(number) = number else {
        eprintln!("havenplank: --source: expected one of {}", names.join(", "));
        return Ok(USAGE);
    };
    let folder = tempfile::tempdir()?;
    let program = std::env::current_exe().context("this program's own path")?;
    let bar = ProgressBar::new(0);
    let tell = |at: u64, of: u64| {
        bar.set_length(of / 1_000_000_000);
        bar.set_position(at / 1_000_000_000);
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let driving = drive::drive(&mut reader, number, program, folder.path(), tell);
    let driven = runtime.block_on(tokio::task::LocalSet::new().run_until(driving))?;
    bar.finish_and_clear();
    println!("             hits  delivered  bounced  errored     left  forwards");
    let votes = |fared: &drive::Fared| -> Vec<serde_json::Value> {
        let vote = |((build, stage, voice), count): (&(u32, usize, String), &u64)| json!({"build": build, "stage": stage, "voice": voice, "votes": count});
        fared.votes.iter().map(vote).collect()
    };
    let figures = |fared: &drive::Fared| {
        json!({
            "hits": fared.hits, "delivered": fared.delivered, "bounced": fared.bounced,
            "errored": fared.errored, "left": fared.left, "forwards": fared.forwards, "votes": votes(fared),
        })
    };
    for (name, fared) in [("recorded", &driven.recorded), ("driven", &driven.driven)] {
        let drive::Fared {
            hits,
            delivered,
            bounced,
            errored,
            left,
            forwards,
            ..
        } = fared;
        println!(
            "{name:<9} {hits:>7} {delivered:>10} {bounced:>8} {errored:>8} {left:>8} {forwards:>9}"
        );
    }
    for (name, fared) in [("recorded", &driven.recorded), ("driven", &driven.driven)] {
        for ((build, stage, voice), count) in &fared.votes {
            println!("{name:<9} votes: build {build} stage {stage} {voice}: {count}");
        }
    }
    println!(
        "{} forwards ended as recorded, {} as their build's did then",
        driven.as_recorded, driven.as_build
    );
    driven
        .troubles
        .iter()
        .for_each(|trouble| eprintln!("{trouble}"));
    if let Some(file) = json {
        let value = json!({
            "recorded": figures(&driven.recorded), "driven": figures(&driven.driven),
            "as_recorded": driven.as_recorded, "as_build": driven.as_build,
        });
        write_json(file, &value)?;
    }
    Ok(if driven.troubles.is_empty() {
        0
    } else {
        crate::FAILED
    })
}

/// Hands out every record; the damage that ended it, if any did.
fn each(
    reader: &mut Opened,
    mut with: impl FnMut(havenplank_trace::Record, &havenplank_trace::Head) -> std::io::Result<()>,
) -> anyhow::Result<Option<TraceError>> {
    loop {
        match reader.record() {
            Ok(Some(record)) => with(record, &reader.head)?,
            Ok(None) => return Ok(None),
            Err(error) => return Ok(Some(error)),
        }
    }
}

fn key_of(file: Option<&Path>) -> anyhow::Result<veil::Key> {
    let Some(file) = file else {
        return Ok(veil::draw_key()?);
    };
    if !file.exists() {
        let key = veil::draw_key()?;
        let text: String = key.iter().map(|byte| format!("{byte:02x}")).collect();
        std::fs::write(file, text + "\n").with_context(|| format!("{}", file.display()))?;
        return Ok(key);
    }
    let text = std::fs::read_to_string(file).with_context(|| format!("{}", file.display()))?;
    let text = text.trim();
    let mut key = [0; 32];
    let wanted = || format!("{}: line 1: expected 64 hexadecimal digits", file.display());
    if text.len() != 64 || !text.is_ascii() {
        bail!(wanted());
    }
    for (byte, at) in key.iter_mut().zip((0..64).step_by(2)) {
        *byte = u8::from_str_radix(&text[at..at + 2], 16)
            .ok()
            .with_context(wanted)?;
    }
    Ok(key)
}

/// Prints a text; a reader that has seen enough of it is no mistake.
fn say(text: &str) -> anyhow::Result<()> {
    match std::io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() == std::io::ErrorKind::BrokenPipe => Ok(()),
        written => Ok(written?),
    }
}

fn info(file: &Path) -> anyhow::Result<u8> {
    let reader = open(file)?;
    let head = &reader.head;
    let sum = |of: fn(&havenplank_trace::file::Entry) -> u32| {
        reader.index.iter().map(|e| of(e) as u64).sum::<u64>()
    };
    println!(
        "version {MAJOR}.{}, written by {}, settings {}",
        reader.minor, head.program, head.settings
    );
    if head.anonymised {
        println!("anonymised: names are stand-ins");
    }
    for source in &head.sources {
        let (name, share) = (&source.terms.name, source.share);
        let whole = if source.whole {
            ""
        } else {
            ", not all records"
        };
        println!(
            "{name}: life {:016x} part {}, seed {}, share {share}{whole}",
            source.life, source.part, source.seed
        );
    }
    if let Some((first, last)) = reader.span() {
        println!(
            "{} to {}",
            day_time(&reader, first),
            day_time(&reader, last)
        );
    }
    let (hits, records, packed) = (sum(|e| e.hits), sum(|e| e.records), sum(|e| e.packed));
    println!(
        "{hits} hits, {records} records in {} blocks",
        reader.index.len()
    );
    println!("{packed} bytes packed, {} unpacked", sum(|e| e.unpacked));
    if hits > 0 {
        println!("{:.1} bytes a hit", packed as f64 / hits as f64);
    }
    Ok(0)
}

fn ends(ends: &BTreeMap<&'static str, u64>) -> String {
    ends.iter()
        .map(|(end, count)| format!("{end} {count}"))
        .collect::<Vec<_>>()
        .join(", ")
}

/// The figures as a text, which goes out at once: whoever reads it may stop early.
fn summary_text(reader: &Opened, summary: &Summary) -> Result<String, std::fmt::Error> {
    let mut out = String::new();
    let (first, last) = (
        day_time(reader, summary.first),
        day_time(reader, summary.last),
    );
    writeln!(
        out,
        "{first} to {last}: {} hits, {} records",
        summary.hits, summary.records
    )?;
    for (count, what) in [
        (summary.lost_hits, "hits were left out when recorded"),
        (summary.lost_records, "records were lost when recorded"),
        (summary.unfinished, "hits are not followed to their end"),
        (
            summary.skipped,
            "records of a newer version were passed over",
        ),
    ] {
        if count > 0 {
            writeln!(out, "{count} {what}")?;
        }
    }
    writeln!(out, "\nbuild  path group        hits  delivered    in time  bounced  errored     left   p50 ms   p99 ms  forwards")?;
    for ((build, group), figures) in &summary.builds {
        let Figures {
            hits,
            delivered,
            in_time,
            bounced,
            errored,
            left,
            ..
        } = figures;
        writeln!(
            out,
            "{build:<6} {group:<14} {hits:>8} {delivered:>10} {in_time:>10} {bounced:>8} {errored:>8} {left:>8} {:>8.1} {:>8.1}  {}",
            figures.latency_ms(0.5), figures.latency_ms(0.99), ends(&figures.forwards)
        )?;
    }
    writeln!(out, "\npod (build)          forwards by end")?;
    for ((pod, build), figures) in &summary.pods {
        writeln!(out, "{:<20} {}", format!("{pod} ({build})"), ends(figures))?;
    }
    if !summary.exposed.is_empty() {
        writeln!(
            out,
            "\nsidecar (build)      exposed    taken   share  most of the cap in a window"
        )?;
    }
    for ((name, build), exposed) in &summary.exposed {
        let share = exposed.hits as f64 / exposed.taken.max(1) as f64;
        let at = format!("{name} ({build})");
        writeln!(
            out,
            "{at:<20} {:>7} {:>8} {share:>7.3}  {:.2}",
            exposed.hits, exposed.taken, exposed.most
        )?;
    }
    for ((build, stage, voice), count) in &summary.votes {
        writeln!(out, "votes: build {build} stage {stage} {voice}: {count}")?;
    }
    if !summary.spans.is_empty() {
        writeln!(
            out,
            "\nfrom                      build     hits  delivered    in time  bounced  errored"
        )?;
    }
    for ((at, build), [hits, delivered, in_time, bounced, errored]) in &summary.spans {
        let at = day_time(reader, *at);
        writeln!(
            out,
            "{at:<25} {build:<5} {hits:>8} {delivered:>10} {in_time:>10} {bounced:>8} {errored:>8}"
        )?;
    }
    Ok(out)
}

fn summary_json(summary: &Summary) -> serde_json::Value {
    let builds = summary.builds.iter().map(|((build, group), f)| {
        json!({
            "build": build, "path_group": group, "hits": f.hits, "delivered": f.delivered,
            "in_time": f.in_time, "bounced": f.bounced, "errored": f.errored, "left": f.left,
            "forwards": f.forwards, "p50_ms": f.latency_ms(0.5), "p99_ms": f.latency_ms(0.99),
        })
    });
    let pods = summary
        .pods
        .iter()
        .map(|((pod, build), ends)| json!({"pod": pod, "build": build, "forwards": ends}));
    let exposed = summary.exposed.iter().map(|((name, build), e)| {
        json!({
            "sidecar": name, "build": build, "exposed": e.hits, "taken": e.taken, "windows": e.windows,
            "most_of_cap": e.most,
        })
    });
    let votes = summary.votes.iter().map(|((build, stage, voice), count)| {
        json!({"build": build, "stage": stage, "voice": voice, "votes": count})
    });
    let spans = summary.spans.iter().map(
        |((at, build), [hits, delivered, in_time, bounced, errored])| {
            json!({
                "at": at, "build": build, "hits": hits, "delivered": delivered, "in_time": in_time,
                "bounced": bounced, "errored": errored,
            })
        },
    );
    json!({
        "hits": summary.hits, "records": summary.records, "skipped": summary.skipped,
        "unfinished": summary.unfinished, "lost_hits": summary.lost_hits, "lost_records": summary.lost_records,
        "builds": builds.collect::<Vec<_>>(), "pods": pods.collect::<Vec<_>>(),
        "exposed": exposed.collect::<Vec<_>>(), "votes": votes.collect::<Vec<_>>(),
        "spans": spans.collect::<Vec<_>>(),
    })
}
