//! Tests of the policy with a fake host, one file per topic as in `src/policy`.

#[allow(dead_code)] // Not every helper of the fake host is used here.
#[path = "../host/mod.rs"]
mod host;

mod advertise;
mod arrival;
mod call_budget;
mod call_retry;
mod capacity;
mod deadline;
mod downstream_calls;
mod final_response;
mod idle_connections;
mod learning;
mod selection;
mod shutdown;
