//! What the configuration says of shares, under `shares`.

use lynxtally::{Downstream, Span};
use lynxtally_settings::{BackendSettings, SettingError};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Which shares a node has a part in.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Where the keepers are.
    pub keepers: Vec<SocketAddr>,
    /// How long a reply is waited for before another keeper is tried.
    pub patience: Span,
    /// The budget of calls in hand below.
    pub calls: Option<String>,
    /// How long a call that begins under a grant may go on at most, with its lingering.
    pub longest: Span,
    /// Budgets of customers' tasks a second, and the customers' indices.
    pub quotas: Vec<(String, usize)>,
    /// Customers' wallets, and the customers' indices.
    pub wallets: Vec<(String, usize)>,
    /// The stages, in the order of their indices.
    pub stages: Vec<String>,
    /// How many customers there are.
    pub customers: usize,
}

/// The part of the file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    keepers: Vec<String>,
    #[serde(default = "patience_ms")]
    patience_ms: u64,
    calls: Option<String>,
    #[serde(default)]
    quotas: BTreeMap<String, String>,
    #[serde(default)]
    wallets: BTreeMap<String, String>,
}

fn patience_ms() -> u64 {
    500
}

/// Checks what the file says.
///
/// # Errors
/// The key and what is wrong with it.
pub fn read(file: File, declared: &BackendSettings) -> Result<Settings, SettingError> {
    let keeper = |(n, text): (usize, &String)| {
        let what = || format!("is {text:?}; an address such as 127.0.0.1:7601 is expected");
        text.parse().map_err(|_| SettingError::new(format!("shares.keepers[{n}]"), what()))
    };
    let keepers = file.keepers.iter().enumerate().map(keeper).collect::<Result<Vec<SocketAddr>, _>>()?;
    if keepers.is_empty() {
        return Err(SettingError::new("shares.keepers", "is empty; the keepers' addresses are expected"));
    }
    if !(10..=60_000).contains(&file.patience_ms) {
        let what = format!("is {}; 10 to 60000 is expected", file.patience_ms);
        return Err(SettingError::new("shares.patience_ms", what));
    }
    let settings = &declared.settings;
    let longest = settings.classes.iter().map(|stage| stage.deadline).max().unwrap_or_default();
    let linger = match settings.downstream {
        Downstream::Shared { cancellation_lag: linger, .. } => linger,
        _ if file.calls.is_some() => {
            return Err(SettingError::new(
                "shares.calls",
                "is there, but `settings` names no shared dependency",
            ));
        }
        _ => Span::ZERO,
    };
    let own = |key: &str, named: &BTreeMap<String, String>| {
        let one = |(customer, name): (&String, &String)| {
            let at = declared.tenant_names.iter().position(|known| known == customer);
            let unknown =
                || SettingError::new(format!("shares.{key}.{customer}"), "names no customer of `settings`");
            at.map(|at| (name.clone(), at)).ok_or_else(unknown)
        };
        named.iter().map(one).collect::<Result<Vec<_>, _>>()
    };
    let quotas = own("quotas", &file.quotas)?;
    let wallets = own("wallets", &file.wallets)?;
    let mut names: Vec<&String> = file.calls.iter().chain(quotas.iter().map(|(name, _)| name)).collect();
    names.sort_unstable();
    if let Some(pair) = names.windows(2).find(|pair| pair[0] == pair[1]) {
        return Err(SettingError::new("shares", format!("names the budget `{}` twice", pair[0])));
    }
    Ok(Settings {
        keepers,
        patience: Span::from_millis(file.patience_ms),
        calls: file.calls,
        longest: longest + linger,
        quotas,
        wallets,
        stages: declared.class_names.clone(),
        customers: declared.tenant_names.len(),
    })
}
