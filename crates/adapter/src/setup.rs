//! The settings of an instance, decoded into the module's own records.

use crate::line::Fields;
use havenplank::port::*;

/// The names that the wire uses for what the module knows by index.
pub struct Names {
    pub groups: Vec<String>,
    pub customers: Vec<String>,
    pub zones: Vec<String>,
    pub machines: Vec<String>,
    pub load: Vec<String>,
}

pub struct Setup {
    pub names: Names,
    pub place: Place,
    pub groups: Vec<PathGroup>,
    pub forwards: ForwardRules,
    pub pods: PodRules,
    pub exposure: ExposureRules,
    pub votes: VoteRules,
    pub list: ListRules,
}

fn group(row: &Fields) -> Result<PathGroup, String> {
    let kind = match row.text("semantics")? {
        "free" => Kind::Repeatable,
        "guarded" => Kind::Tagged,
        "single_shot" => Kind::Mutating,
        _ => return Err(row.complain("semantics", "not free, guarded or single_shot")),
    };
    let scope = match row.maybe_text("keyScope")? {
        None | Some("all") => Scope::All,
        Some("zone") => Scope::Zone,
        Some("cell") => Scope::Cell,
        Some(_) => return Err(row.complain("keyScope", "not all, zone or cell")),
    };
    let client_timeout = row.whole("giveUpNs")?;
    Ok(PathGroup {
        kind,
        scope,
        repeat_window: row.whole_or("windowNs", 0)?,
        target_latency: row.whole_or("onTimeNs", client_timeout)?,
        client_timeout,
        benefit: row.number_or("worth", 1.0)?,
        late_benefit: row.number_or("lateValue", 0.0)?,
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
    let mut customers = Vec::new();
    if settings.maybe_has("orgs") {
        for row in settings.objects("orgs")? {
            customers.push(row.text("name")?.to_string());
        }
    }
    let load = match settings.maybe_has("loadReport") {
        true => settings.object("loadReport")?.words("columns")?,
        false => Vec::new(),
    };
    let names = Names {
        groups: group_names,
        customers,
        zones,
        machines: settings.words("skus")?,
        load,
    };
    let limits = settings.object("limits")?;
    let rules = settings.object("rules")?;
    let trial = settings.object("familyInfo")?;
    let cross_zone_price = match settings.maybe_has("prices") {
        true => settings.object("prices")?.number_or("crossZone", 0.0)?,
        false => 0.0,
    };
    let max_come_back = if limits.flag("retryAfter")? {
        limits.whole_or("maxRetryAfterNs", 0)?
    } else {
        0
    };
    let must_ask = match settings.text("discovery")? {
        "automatic" => false,
        "subscribe" => true,
        _ => return Err(settings.complain("discovery", "not automatic or subscribe")),
    };
    let control = match trial.text("control")? {
        "first_voice" => Control::Any,
        "by_count" => Control::Count,
        "automatic" => Control::Clock,
        _ => return Err(trial.complain("control", "not first_voice, by_count or automatic")),
    };
    let per_group = match trial.text("counts")? {
        "all" => false,
        "each_class" => true,
        _ => return Err(trial.complain("counts", "not all or each_class")),
    };
    Ok(Setup {
        names,
        place: Place {
            rank: settings.whole_or("rank", 0)? as usize,
            instances,
            zone,
        },
        groups,
        forwards: ForwardRules {
            max_forwards: limits.whole_or("maxAttempts", 1)?.min(u32::MAX as u64) as u32,
            copies: limits.flag("secondCopies")?,
            may_cancel: limits.flag("mayCancel")?,
            max_come_back,
            cross_zone_price,
        },
        pods: PodRules {
            drain_grace: rules.whole("drainGraceNs")?,
            cold_share: rules.number("coldShare")?,
            warm_up: rules.whole("warmUpNs")?,
            fall_multiple: rules.number("fallMultiple")?,
            fall_window: rules.whole("fallNs")?,
            may_probe: limits.flag("probing")?,
        },
        exposure: ExposureRules {
            window: trial.whole("exposureWindowNs")?,
            free: trial.number("free")?,
            per_group,
            guarded_stages: trial.whole_or("shielded", 0)? as usize,
            one_way: trial.flag("oneWay")?,
            beside: trial.maybe_text("style")? != Some("replace"),
            caps: trial.numbers("mostShares")?,
        },
        votes: VoteRules {
            control,
            on_needs: trial.whole_or("toAdvance", 0)? as usize,
            back_needs: trial.whole_or("noesNeeded", 1)?.max(1) as usize,
            life: trial.whole("ballotTtlNs")?,
            call_time_out: trial.whole("callTimeoutNs")?,
            calls_per_s: trial.number_or("votesPerS", 0.0)?,
            step: trial.whole_or("autoAfterNs", 0)?,
        },
        list: ListRules {
            must_ask,
            ask_within: rules.whole_or("mustAskInNs", 0)?,
        },
    })
}
