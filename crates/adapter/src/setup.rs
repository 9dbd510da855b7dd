//! Decodes the settings of an instance into the router's own settings.

use crate::error::WireError;
use crate::line::Fields;
use crate::wire_names;
use havenplank::interface::{
    AttemptSettings, DedupScope, EndpointListSettings, ExposureSettings, FleetPosition,
    PodSettings, RouteClass, RouterSettings, VoteSettings,
};

/// The names that the wire protocol uses where the router uses indices; the index is the position in each list.
pub struct Names {
    /// Names of the route classes.
    pub route_classes: Vec<String>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Names of the zones; the endpoint list can add more.
    pub zones: Vec<String>,
    /// Names of the machine types; the endpoint list can add more.
    pub machines: Vec<String>,
    /// Names of the columns of a load report.
    pub load_columns: Vec<String>,
}

/// The settings of an instance.
pub struct Setup {
    /// The wire protocol's names for the router's indices.
    pub names: Names,
    /// The settings from which the router is built.
    pub router: RouterSettings,
}

/// Decodes the settings of an instance.
///
/// # Errors
/// Returns the first field that is missing or invalid.
pub fn decode(settings: &Fields) -> Result<Setup, WireError> {
    let rows = settings.objects("classes")?;
    if rows.is_empty() {
        return Err(settings.error("classes", "expected at least one route class"));
    }
    let route_classes = rows.iter().map(route_class).collect::<Result<_, _>>()?;
    let instances = settings.integer("instances")? as usize;
    if instances == 0 {
        return Err(settings.error("instances", "expected at least one instance"));
    }
    let names = names(settings, &rows)?;
    let position = FleetPosition {
        rank: settings.integer_or("rank", 0)? as usize,
        instances,
        zone: settings.position_of("locality", &names.zones)?,
    };
    let limits = settings.object("limits")?;
    let rules = settings.object("rules")?;
    let release = settings.object("familyInfo")?;
    let router = RouterSettings {
        position,
        route_classes,
        attempts: attempts(settings, &limits)?,
        pods: pods(&rules, &limits)?,
        exposure: exposure(&release)?,
        votes: votes(&release)?,
        endpoint_list: endpoint_list(settings, &rules)?,
    };
    Ok(Setup { names, router })
}

fn route_class(row: &Fields) -> Result<RouteClass, WireError> {
    let idempotency = wire_names::idempotency(row.text("semantics")?)
        .ok_or_else(|| row.error("semantics", "expected free, guarded or single_shot"))?;
    let scope = row.optional_text("keyScope")?;
    let dedup_scope = scope
        .map_or(Some(DedupScope::All), wire_names::dedup_scope)
        .ok_or_else(|| row.error("keyScope", "expected all, zone or cell"))?;
    let client_timeout = row.integer("giveUpNs")?;
    Ok(RouteClass {
        idempotency,
        dedup_scope,
        dedup_window: row.integer_or("windowNs", 0)?,
        latency_objective: row.integer_or("onTimeNs", client_timeout)?,
        client_timeout,
        priority_weight: row.number_or("worth", 1.0)?,
        late_weight: row.number_or("lateValue", 0.0)?,
        stream: row.flag("stream")?,
    })
}

fn names(settings: &Fields, classes: &[Fields]) -> Result<Names, WireError> {
    let load_columns = if settings.has("loadReport") {
        settings.object("loadReport")?.text_list("columns")?
    } else {
        Vec::new()
    };
    let tenants = if settings.has("orgs") {
        row_names(&settings.objects("orgs")?)?
    } else {
        Vec::new()
    };
    Ok(Names {
        route_classes: row_names(classes)?,
        tenants,
        zones: settings.text_list("azs")?,
        machines: settings.text_list("skus")?,
        load_columns,
    })
}

fn row_names(rows: &[Fields]) -> Result<Vec<String>, WireError> {
    let names = rows.iter().map(|row| row.text("name").map(String::from));
    names.collect()
}

fn attempts(settings: &Fields, limits: &Fields) -> Result<AttemptSettings, WireError> {
    let cross_zone_cost = if settings.has("prices") {
        settings.object("prices")?.number_or("crossZone", 0.0)?
    } else {
        0.0
    };
    let max_retry_after = if limits.flag("retryAfter")? {
        limits.integer_or("maxRetryAfterNs", 0)?
    } else {
        0
    };
    Ok(AttemptSettings {
        max_attempts: limits.integer_or("maxAttempts", 1)?.min(u32::MAX as u64) as u32,
        hedging: limits.flag("secondCopies")?,
        may_cancel: limits.flag("mayCancel")?,
        max_retry_after,
        cross_zone_cost,
    })
}

fn pods(rules: &Fields, limits: &Fields) -> Result<PodSettings, WireError> {
    Ok(PodSettings {
        drain_grace: rules.integer("drainGraceNs")?,
        initial_capacity: rules.number("coldShare")?,
        warm_up: rules.integer("warmUpNs")?,
        overload_multiple: rules.number("fallMultiple")?,
        overload_window: rules.integer("fallNs")?,
        health_checks: limits.flag("probing")?,
    })
}

fn exposure(release: &Fields) -> Result<ExposureSettings, WireError> {
    let per_class = match release.text("counts")? {
        "all" => false,
        "each_class" => true,
        _ => return Err(release.error("counts", "expected all or each_class")),
    };
    Ok(ExposureSettings {
        window: release.integer("exposureWindowNs")?,
        free_attempts: release.number("free")?,
        per_class,
        idempotent_only_stages: release.integer_or("shielded", 0)? as usize,
        sticky_keys: release.flag("oneWay")?,
        blue_green: release.optional_text("style")? != Some("replace"),
        caps: release.numbers("mostShares")?,
    })
}

fn votes(release: &Fields) -> Result<VoteSettings, WireError> {
    let control = wire_names::release_control(release.text("control")?)
        .ok_or_else(|| release.error("control", "expected first_voice, by_count or automatic"))?;
    Ok(VoteSettings {
        control,
        advance_quorum: release.integer_or("toAdvance", 0)? as usize,
        rollback_quorum: release.integer_or("noesNeeded", 1)?.max(1) as usize,
        ttl: release.integer("ballotTtlNs")?,
        call_timeout: release.integer("callTimeoutNs")?,
        calls_per_second: release.number_or("votesPerS", 0.0)?,
        stage_duration: release.integer_or("autoAfterNs", 0)?,
    })
}

fn endpoint_list(settings: &Fields, rules: &Fields) -> Result<EndpointListSettings, WireError> {
    let must_watch = match settings.text("discovery")? {
        "automatic" => false,
        "subscribe" => true,
        _ => return Err(settings.error("discovery", "expected automatic or subscribe")),
    };
    Ok(EndpointListSettings {
        must_watch,
        max_watch_retry_delay: rules.integer_or("mustAskInNs", 0)?,
    })
}
