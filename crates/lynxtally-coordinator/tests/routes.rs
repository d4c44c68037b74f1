//! Route documents and schemas while coordinators fail and nodes have different versions of the program.

mod support;

use lynxtally_fault_injection::http_client;
use lynxtally_fault_injection::wait_until;
use lynxtally_messages::*;
use std::time::Duration;
use support::{budget, Cluster};

/// A node that reads route documents and sends its requests to whichever coordinator leads.
struct Reader {
    name: String,
    incarnation: u64,
    sequence: u64,
    schema_versions: Vec<u32>,
}

impl Reader {
    /// Joins with the given nonce and sends a first request.
    fn join(cluster: &Cluster, name: &str, nonce: u64, schema_versions: &[u32]) -> Self {
        let schema_versions = schema_versions.to_vec();
        let mut reader = Self { name: name.into(), incarnation: 0, sequence: nonce, schema_versions };
        reader.incarnation = reader.send(cluster).incarnation;
        reader.sequence = 0;
        reader.send_next(cluster);
        reader
    }

    /// Sends a request with the current sequence number until a coordinator accepts it.
    fn send(&self, cluster: &Cluster) -> LeaseUpdate {
        let request = NodeRequest {
            name: self.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            program_version: "1".into(),
            schema_versions: self.schema_versions.clone(),
            budgets: vec![],
            wallets: vec![],
            applied_document: Some(AppliedDocument { index: 0, version: 0 }),
            ends_session: false,
        };
        let mut update = None;
        wait_until("a coordinator accepts the node's request", || {
            let post = |address: &std::net::SocketAddr| {
                http_client::post::<_, NodeResponse>(*address, "/v1/say", &request, Duration::from_secs(2))
            };
            update = cluster.addresses.iter().find_map(|address| match post(address) {
                Ok(NodeResponse::Accepted(update)) => Some(update),
                _ => None,
            });
            update.is_some()
        });
        update.expect("the request was accepted")
    }

    /// Sends a request with the next sequence number.
    fn send_next(&mut self, cluster: &Cluster) -> LeaseUpdate {
        self.sequence += 1;
        self.send(cluster)
    }
}

fn integer_field(min: i64, max: i64) -> Field {
    let kind = FieldKind::Integer { min, max };
    Field {
        kind,
        is_list: false,
        required: false,
        default: None,
        since_version: 1,
        must_understand: false,
        renamed_from: None,
    }
}

/// Sends an operator's request and asserts that it is applied. `token` is its idempotency key.
fn apply(cluster: &Cluster, token: &str, action: AdminAction) {
    let response = cluster.admin_request(&AdminRequest { action, ..budget(token, 1) });
    assert!(matches!(response, AdminResponse::Applied { .. }), "{response:?}");
}

fn schema(version: u32, fields: &[(&str, Field)]) -> AdminAction {
    let fields = fields.iter().map(|(name, field)| ((*name).to_owned(), field.clone())).collect();
    AdminAction::ProposeSchema { schema: Schema { version, fields } }
}

fn publish(version: u32, body: serde_json::Value) -> AdminAction {
    AdminAction::PublishDocument { version, body }
}

/// The route documents in the leader's state report.
fn routes(cluster: &Cluster) -> serde_json::Value {
    let leader = cluster.leader();
    http_client::state(cluster.addresses[leader]).expect("a state report")["register"]["routes"].clone()
}

/// A schema version that an unreachable node can't read must not come into force until that node's session has ended,
/// also if the leader is killed meanwhile.
#[test]
fn a_schema_waits_for_a_node_that_cannot_read_it_even_if_the_leader_is_killed() {
    let mut cluster = Cluster::start(3);
    apply(&cluster, "s1", schema(1, &[("limit", integer_field(0, 100))]));
    let old = Reader::join(&cluster, "old", 1, &[1]);
    let mut new = Reader::join(&cluster, "new", 2, &[1, 2]);
    // The old node sends no more requests; the coordinators can't know whether it still runs.
    let drain = Field { must_understand: true, ..integer_field(0, 1) };
    apply(&cluster, "s2", schema(2, &[("limit", integer_field(0, 100)), ("drain", drain)]));
    assert!(routes(&cluster)["waits"].to_string().contains("read by"), "{}", routes(&cluster));
    // The leader is killed between the proposal and the publication.
    let leader = cluster.leader();
    cluster.kill(leader);
    cluster.leader();
    let early = cluster.admin_request(&AdminRequest {
        action: publish(2, serde_json::json!({"drain": 1})),
        ..budget("early", 1)
    });
    assert!(matches!(early, AdminResponse::Rejected(Rejection::Invalid { .. })), "{early:?}");
    cluster.start_replica(leader);
    apply(&cluster, "gone", AdminAction::EndIncarnation { incarnation: old.incarnation });
    wait_until("the schema is in force", || routes(&cluster)["versions"] == serde_json::json!([1, 2]));
    apply(&cluster, "d", publish(2, serde_json::json!({"limit": 7, "drain": 1})));
    let document = new.send_next(&cluster).document.expect("the update has a document");
    assert_eq!((document.version, document.body), (2, serde_json::json!({"limit": 7, "drain": 1})));
    cluster.wait_until_equal();
}

#[test]
fn a_program_that_is_rolled_back_by_one_version_can_read_the_document_in_force() {
    let cluster = Cluster::start(1);
    apply(&cluster, "s1", schema(1, &[("limit", integer_field(0, 100))]));
    let mut reader = Reader::join(&cluster, "n", 1, &[1, 2]);
    let spill = Field { default: Some(10.into()), ..integer_field(0, 50) };
    apply(&cluster, "s2", schema(2, &[("limit", integer_field(0, 100)), ("spill", spill)]));
    apply(&cluster, "d", publish(2, serde_json::json!({"limit": 7, "spill": 20})));
    assert_eq!(reader.send_next(&cluster).document.map(|document| document.version), Some(2));
    // The node is restarted with the previous version of the program, which reads only schema version 1.
    let mut rolled_back = Reader::join(&cluster, "n", 2, &[1]);
    let document = rolled_back.send_next(&cluster).document.expect("the update has a document");
    assert_eq!((document.version, document.body), (1, serde_json::json!({"limit": 7})));
    assert!(rolled_back.incarnation > reader.incarnation);
}
