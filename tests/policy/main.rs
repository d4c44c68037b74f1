//! The decisions alone, driven by a fake host: a file for each question, as in `src/policy`.

#[allow(dead_code)] // The test doubles on loopback are for the node.
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
