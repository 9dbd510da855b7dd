//! The settings of an instance, decoded into the module's own records.

use crate::line::Fields;
use havenplank::interface::*;

/// The names that the wire uses for what the module knows by index.
pub struct Names {
    pub groups: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub machines: Vec<String>,
    pub load: Vec<String>,
}

pub struct Setup {
    pub names: Names,
    pub place: FleetPosition,
    pub groups: Vec<RouteClass>,
    pub forwards: AttemptSettings,
    pub pods: PodSettings,
    pub exposure: ExposureSettings,
    pub votes: VoteSettings,
    pub list: EndpointListSettings,
}

fn group(row: &Fields) -> Result<RouteClass, String> {
    let kind = match row.text("semantics")? {
        "free" => Idempotency::Idempotent,
        "guarded" => Idempotency::Keyed,
        "single_shot" => Idempotency::NonIdempotent,
        _ => return Err(row.complain("semantics", "not free, guarded or single_shot")),
    };
    let scope = match row.maybe_text("keyScope")? {
        None | Some("all") => DedupScope::All,
        Some("zone") => DedupScope::Zone,
        Some("cell") => DedupScope::Cell,
        Some(_) => return Err(row.complain("keyScope", "not all, zone or cell")),
    };
    let client_timeout = row.whole("giveUpNs")?;
    Ok(RouteClass {
        idempotency: kind,
        dedup_scope: scope,
        dedup_window: row.whole_or("windowNs", 0)?,
        latency_objective: row.whole_or("onTimeNs", client_timeout)?,
        client_timeout,
        priority_weight: row.number_or("worth", 1.0)?,
        late_weight: row.number_or("lateValue", 0.0)?,
        stream: row.flag("stream")?,
    })
}

pub fn read(settings: &Fields) -> Result<Setup, String> {
    let rows = settings.objects("classes")?;
    if rows.is_empty() {
        return Err(settings.complain("classes", "no path group"));
    }
    let groups = rows.iter().map(group).collect::<Result<Vec<_>, _>>()?;
    let instances = settings.whole("instances")? as usize;
    if instances == 0 {
        return Err(settings.complain("instances", "zero instances"));
    }
    let group_names = rows
        .iter()
        .map(|row| Ok(row.text("name")?.to_string()))
        .collect::<Result<_, String>>()?;
    let zones = settings.words("azs")?;
    let zone = settings.named("locality", &zones)?;
    let mut tenants = Vec::new();
    if settings.maybe_has("orgs") {
        for row in settings.objects("orgs")? {
            tenants.push(row.text("name")?.to_string());
        }
    }
    let load = match settings.maybe_has("loadReport") {
        true => settings.object("loadReport")?.words("columns")?,
        false => Vec::new(),
    };
    let names = Names {
        groups: group_names,
        tenants,
        zones,
        machines: settings.words("skus")?,
        load,
    };
    let limits = settings.object("limits")?;
    let rules = settings.object("rules")?;
    let trial = settings.object("familyInfo")?;
    let cross_zone_cost = match settings.maybe_has("prices") {
        true => settings.object("prices")?.number_or("crossZone", 0.0)?,
        false => 0.0,
    };
    let max_retry_after = if limits.flag("retryAfter")? {
        limits.whole_or("maxRetryAfterNs", 0)?
    } else {
        0
    };
    let poll_only = match settings.text("discovery")? {
        "automatic" => false,
        "subscribe" => true,
        _ => return Err(settings.complain("discovery", "not automatic or subscribe")),
    };
    let control = match trial.text("control")? {
        "first_voice" => ReleaseControl::AnyVote,
        "by_count" => ReleaseControl::Quorum,
        "automatic" => ReleaseControl::Timed,
        _ => return Err(trial.complain("control", "not first_voice, by_count or automatic")),
    };
    let per_class = match trial.text("counts")? {
        "all" => false,
        "each_class" => true,
        _ => return Err(trial.complain("counts", "not all or each_class")),
    };
    Ok(Setup {
        names,
        place: FleetPosition {
            rank: settings.whole_or("rank", 0)? as usize,
            instances,
            zone,
        },
        groups,
        forwards: AttemptSettings {
            max_attempts: limits.whole_or("maxAttempts", 1)?.min(u32::MAX as u64) as u32,
            hedging: limits.flag("secondCopies")?,
            may_cancel: limits.flag("mayCancel")?,
            max_retry_after,
            cross_zone_cost,
        },
        pods: PodSettings {
            drain_grace: rules.whole("drainGraceNs")?,
            initial_capacity: rules.number("coldShare")?,
            warm_up: rules.whole("warmUpNs")?,
            overload_multiple: rules.number("fallMultiple")?,
            overload_window: rules.whole("fallNs")?,
            health_checks: limits.flag("probing")?,
        },
        exposure: ExposureSettings {
            window: trial.whole("exposureWindowNs")?,
            free_attempts: trial.number("free")?,
            per_class,
            idempotent_only_stages: trial.whole_or("shielded", 0)? as usize,
            sticky_keys: trial.flag("oneWay")?,
            blue_green: trial.maybe_text("style")? != Some("replace"),
            caps: trial.numbers("mostShares")?,
        },
        votes: VoteSettings {
            control,
            advance_quorum: trial.whole_or("toAdvance", 0)? as usize,
            rollback_quorum: trial.whole_or("noesNeeded", 1)?.max(1) as usize,
            ttl: trial.whole("ballotTtlNs")?,
            call_timeout: trial.whole("callTimeoutNs")?,
            calls_per_second: trial.number_or("votesPerS", 0.0)?,
            stage_duration: trial.whole_or("autoAfterNs", 0)?,
        },
        list: EndpointListSettings {
            poll_only,
            poll_interval: rules.whole_or("mustAskInNs", 0)?,
        },
    })
}
