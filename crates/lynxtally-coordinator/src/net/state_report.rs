//! The JSON report at `/v1/state`. Operators' scripts read its keys, which therefore differ from some names in the code.

use lynxtally_coordination::budgets::BudgetStatus;
use lynxtally_coordination::{CoordinationState, Member};
use serde_json::{json, Map, Value};

/// The report on the whole replicated state, with the number of the coordinator that leads.
pub(super) fn report(leader: Option<u64>, state: &CoordinationState) -> Value {
    json!({ "leader": leader, "register": report_state(state) })
}

fn report_state(state: &CoordinationState) -> Value {
    let budgets: Map<String, Value> =
        state.budgets().map(|(name, status)| (name.to_owned(), report_budget(&status))).collect();
    let wallets: Map<String, Value> = state
        .wallets()
        .map(|(name, balances)| (name.to_owned(), serde_json::to_value(balances).unwrap_or_default()))
        .collect();
    let members: Vec<Value> =
        state.members().map(|(incarnation, member)| report_member(incarnation, member)).collect();
    let routes = state.route_status();
    json!({
        "number": state.applied_index(),
        "digest": state.digest().to_string(),
        "budgets": budgets,
        "wallets": wallets,
        "routes": {
            "versions": routes.schema_versions,
            "document": routes.document_index,
            "waits": routes.waiting,
        },
        "members": members,
    })
}

fn report_budget(status: &BudgetStatus) -> Value {
    json!({
        "whole": status.terms.capacity,
        "counted": status.outstanding,
        "free": status.free,
        "in_force": status.capacity_in_force,
        "holders": status.holders,
    })
}

fn report_member(incarnation: u64, member: &Member) -> Value {
    json!({
        "incarnation": incarnation,
        "name": member.name,
        "program": member.program_version,
        "suspect": member.suspected,
    })
}
