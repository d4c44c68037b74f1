//! The configuration section `shares`: the coordinators, and the budgets and wallets to lease from them.

use lynxtally::{Downstream, Span};
use lynxtally_settings::{BackendSettings, SettingError};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The valid values of `patience_ms`.
const RESPONSE_TIMEOUT_MS: std::ops::RangeInclusive<u64> = 10..=60_000;
/// The default of `patience_ms`.
const DEFAULT_RESPONSE_TIMEOUT_MS: u64 = 500;

/// The validated coordination settings of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The addresses of the coordinators, in the order of their numbers.
    pub coordinators: Vec<SocketAddr>,
    /// How long the node waits for a response before it tries another coordinator.
    pub response_timeout: Span,
    /// The name of the budget for concurrent downstream calls; `None` if calls are not leased.
    pub calls: Option<String>,
    /// The longest time that a call started under a lease can take, including its cancellation lag.
    pub max_call_duration: Span,
    /// The tenants' budgets, in requests per second.
    pub quotas: Vec<QuotaBudget>,
    /// The tenants' wallets.
    pub wallets: Vec<TenantWallet>,
    /// The names of the request classes, in the order of their indices.
    pub classes: Vec<String>,
    /// The number of tenants.
    pub tenants: usize,
}

/// The budget from which a tenant's quota is leased.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaBudget {
    /// The budget's name.
    pub budget: String,
    /// The tenant's index.
    pub tenant: usize,
}

/// A tenant's wallet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantWallet {
    /// The wallet's name.
    pub wallet: String,
    /// The tenant's index.
    pub tenant: usize,
}

/// The section as it appears in the file. Some keys keep their older names, which differ from the field names.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename = "File")]
pub struct CoordinationSection {
    #[serde(rename = "keepers")]
    coordinators: Vec<String>,
    #[serde(default = "default_response_timeout_ms", rename = "patience_ms")]
    response_timeout_ms: u64,
    calls: Option<String>,
    #[serde(default)]
    quotas: BTreeMap<String, String>,
    #[serde(default)]
    wallets: BTreeMap<String, String>,
}

fn default_response_timeout_ms() -> u64 {
    DEFAULT_RESPONSE_TIMEOUT_MS
}

/// Validates the section against the other settings.
///
/// # Errors
/// Returns the first invalid key and the reason.
pub fn validate(section: CoordinationSection, backend: &BackendSettings) -> Result<Settings, SettingError> {
    let coordinators = read_addresses(&section.coordinators)?;
    if !RESPONSE_TIMEOUT_MS.contains(&section.response_timeout_ms) {
        let problem = format!("is {}; 10 to 60000 is expected", section.response_timeout_ms);
        return Err(SettingError::new("shares.patience_ms", problem));
    }
    let cancellation_lag = cancellation_lag(&section, backend)?;
    let deadlines = backend.settings.classes.iter().map(|class| class.deadline);
    let longest_deadline = deadlines.max().unwrap_or_default();
    let mut quotas = Vec::new();
    for (tenant, budget) in &section.quotas {
        quotas.push(QuotaBudget { budget: budget.clone(), tenant: find_tenant("quotas", tenant, backend)? });
    }
    let mut wallets = Vec::new();
    for (tenant, wallet) in &section.wallets {
        wallets
            .push(TenantWallet { wallet: wallet.clone(), tenant: find_tenant("wallets", tenant, backend)? });
    }
    check_distinct(section.calls.iter().chain(quotas.iter().map(|quota| &quota.budget)))?;
    Ok(Settings {
        coordinators,
        response_timeout: Span::from_millis(section.response_timeout_ms),
        calls: section.calls,
        max_call_duration: longest_deadline + cancellation_lag,
        quotas,
        wallets,
        classes: backend.class_names.clone(),
        tenants: backend.tenant_names.len(),
    })
}

fn read_addresses(texts: &[String]) -> Result<Vec<SocketAddr>, SettingError> {
    let mut addresses = Vec::new();
    for (n, text) in texts.iter().enumerate() {
        let address = text.parse().map_err(|_| {
            let problem = format!("is {text:?}; an address such as 127.0.0.1:7601 is expected");
            SettingError::new(format!("shares.keepers[{n}]"), problem)
        })?;
        addresses.push(address);
    }
    if addresses.is_empty() {
        return Err(SettingError::new(
            "shares.keepers",
            "is empty; the addresses of the coordinators are expected",
        ));
    }
    Ok(addresses)
}

/// The time for which the dependency continues to execute a cancelled call.
fn cancellation_lag(section: &CoordinationSection, backend: &BackendSettings) -> Result<Span, SettingError> {
    match backend.settings.downstream {
        Downstream::Shared { cancellation_lag, .. } => Ok(cancellation_lag),
        _ if section.calls.is_some() => {
            Err(SettingError::new("shares.calls", "is set, but the dependency in `settings` is not shared"))
        }
        _ => Ok(Span::ZERO),
    }
}

fn find_tenant(key: &str, tenant: &str, backend: &BackendSettings) -> Result<usize, SettingError> {
    let index = backend.tenant_names.iter().position(|known| known == tenant);
    index.ok_or_else(|| SettingError::new(format!("shares.{key}.{tenant}"), "is not a tenant in `settings`"))
}

fn check_distinct<'a>(budgets: impl Iterator<Item = &'a String>) -> Result<(), SettingError> {
    let mut sorted: Vec<&String> = budgets.collect();
    sorted.sort_unstable();
    match sorted.windows(2).find(|pair| pair[0] == pair[1]) {
        Some(pair) => Err(SettingError::new("shares", format!("names the budget `{}` twice", pair[0]))),
        None => Ok(()),
    }
}
