//! Prints responses of DNS servers and changes of zones.

use crate::Format;
use lynxtally_dns::codec::{Response, ResponseCode};
use lynxtally_zones::change::Change;
use lynxtally_zones::Record;
use serde_json::json;
use std::collections::BTreeMap;

fn record_json(record: &Record) -> serde_json::Value {
    json!({
        "name": record.name.to_string(), "ttl": record.ttl, "kind": record.kind.to_string(),
        "data": record.kind.format_data(&record.data),
    })
}

/// Prints a DNS response: its header, then its records by section.
pub fn print_answer(answered: &Response, format: Format) {
    let names = ["answer", "authority", "additional"];
    if format == Format::Json {
        let sections: BTreeMap<&str, Vec<_>> = names
            .into_iter()
            .zip(&answered.sections)
            .map(|(n, all)| (n, all.iter().map(record_json).collect()))
            .collect();
        let reason = answered.reason.as_ref().map(|(code, text)| json!({"code": code, "text": text}));
        let response = json!({
            "code": ResponseCode(answered.code).to_string(), "authoritative": answered.authoritative, "reason": reason,
            "lease": answered.lease, "sections": sections,
        });
        return println!("{response}");
    }
    let kind = if answered.authoritative { "authoritative" } else { "not authoritative" };
    println!("; {}, {kind}", ResponseCode(answered.code));
    if let Some((code, text)) = &answered.reason {
        println!("; reason {code}: {text}");
    }
    if let Some(lease) = answered.lease {
        println!("; lease {lease} s");
    }
    for (name, records) in names.into_iter().zip(&answered.sections) {
        if !records.is_empty() {
            println!("; {name}");
        }
        records.iter().for_each(|record| println!("{record}"));
    }
}

/// Prints a change as a diff: first the removed records, then the added ones.
pub fn print_change(change: &Change) {
    change.removed.iter().for_each(|record| println!("- {record}"));
    change.added.iter().for_each(|record| println!("+ {record}"));
}
