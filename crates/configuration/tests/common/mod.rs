//! Builders of records that several test files use.

use havenplank_configuration::record::{Record, Tenant, TenantLimits};

pub fn tenant(name: &str, requests_per_s: u32) -> Record {
    let limits = TenantLimits {
        requests_per_s: Some(requests_per_s),
        in_flight: None,
    };
    Tenant {
        name: name.to_string(),
        limits,
    }
    .into()
}
