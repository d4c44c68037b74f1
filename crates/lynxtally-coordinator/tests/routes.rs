//! Route documents among cluster and readers, each test about one thing that goes wrong.

mod support;

use lynxtally_fault_injection::http_client;
use lynxtally_fault_injection::wait_until;
use lynxtally_messages::*;
use std::time::Duration;
use support::{budget, Cluster};

/// One that reads versions, and speaks to whichever coordinator leads.
struct Reader {
    name: String,
    incarnation: u64,
    number: u64,
    versions: Vec<u32>,
}

impl Reader {
    fn join(cluster: &Cluster, name: &str, drawn: u64, versions: &[u32]) -> Self {
        let mut reader =
            Self { name: name.into(), incarnation: 0, number: drawn, versions: versions.to_vec() };
        reader.incarnation = reader.say(cluster).incarnation;
        reader.number = 0;
        reader.ask(cluster);
        reader
    }

    fn say(&self, cluster: &Cluster) -> LeaseUpdate {
        let say = NodeRequest {
            name: self.name.clone(),
            incarnation: self.incarnation,
            sequence: self.number,
            program_version: "1".into(),
            schema_versions: self.versions.clone(),
            budgets: vec![],
            wallets: vec![],
            applied_document: Some(AppliedDocument { index: 0, version: 0 }),
            ends_session: false,
        };
        let mut granted = None;
        wait_until("it is heard", || {
            let reply = |at: &std::net::SocketAddr| {
                http_client::post::<_, NodeResponse>(*at, "/v1/say", &say, Duration::from_secs(2))
            };
            granted = cluster.at.iter().find_map(|at| match reply(at) {
                Ok(NodeResponse::Accepted(granted)) => Some(granted),
                _ => None,
            });
            granted.is_some()
        });
        granted.expect("a reply")
    }

    fn ask(&mut self, cluster: &Cluster) -> LeaseUpdate {
        self.number += 1;
        self.say(cluster)
    }
}

fn whole(least: i64, most: i64) -> Field {
    let kind = FieldKind::Integer { min: least, max: most };
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

fn order(cluster: &Cluster, word: &str, what: AdminAction) {
    let outcome = cluster.admin_request(&AdminRequest { action: what, ..budget(word, 1) });
    assert!(matches!(outcome, AdminResponse::Applied { .. }), "{outcome:?}");
}

fn schema(version: u32, fields: &[(&str, Field)]) -> AdminAction {
    let fields = fields.iter().map(|(name, field)| ((*name).to_owned(), field.clone())).collect();
    AdminAction::ProposeSchema { schema: Schema { version, fields } }
}

fn publish(version: u32, body: serde_json::Value) -> AdminAction {
    AdminAction::PublishDocument { version, body }
}

fn routes(cluster: &Cluster) -> serde_json::Value {
    let leader = cluster.leader();
    http_client::state(cluster.at[leader]).expect("a state")["register"]["routes"].clone()
}

#[test]
fn a_schema_proposed_while_an_old_node_is_cut_off_waits_for_it_and_the_leaders_end_changes_nothing() {
    let mut cluster = Cluster::start(3);
    order(&cluster, "s1", schema(1, &[("limit", whole(0, 100))]));
    let old = Reader::join(&cluster, "old", 1, &[1]);
    let mut new = Reader::join(&cluster, "new", 2, &[1, 2]);
    // The old one is not heard any more; nobody knows whether it is gone.
    let drain = Field { must_understand: true, ..whole(0, 1) };
    order(&cluster, "s2", schema(2, &[("limit", whole(0, 100)), ("drain", drain)]));
    assert!(routes(&cluster)["waits"].to_string().contains("read by"), "{}", routes(&cluster));
    // The leader is killed between the check and publishing.
    let leader = cluster.leader();
    cluster.kill(leader);
    cluster.leader();
    let early = cluster.admin_request(&AdminRequest {
        action: publish(2, serde_json::json!({"drain": 1})),
        ..budget("early", 1)
    });
    assert!(matches!(early, AdminResponse::Rejected(Rejection::Invalid { .. })), "{early:?}");
    cluster.start_replica(leader);
    order(&cluster, "gone", AdminAction::EndIncarnation { incarnation: old.incarnation });
    wait_until("the schema is in force", || routes(&cluster)["versions"] == serde_json::json!([1, 2]));
    order(&cluster, "d", publish(2, serde_json::json!({"limit": 7, "drain": 1})));
    let given = new.ask(&cluster).document.expect("a document");
    assert_eq!((given.version, given.body), (2, serde_json::json!({"limit": 7, "drain": 1})));
    cluster.agree();
}

#[test]
fn a_program_rolled_back_by_one_version_goes_on_with_the_document_in_force() {
    let cluster = Cluster::start(1);
    order(&cluster, "s1", schema(1, &[("limit", whole(0, 100))]));
    let mut reader = Reader::join(&cluster, "n", 1, &[1, 2]);
    let spill = Field { default: Some(10.into()), ..whole(0, 50) };
    order(&cluster, "s2", schema(2, &[("limit", whole(0, 100)), ("spill", spill)]));
    order(&cluster, "d", publish(2, serde_json::json!({"limit": 7, "spill": 20})));
    assert_eq!(reader.ask(&cluster).document.map(|document| document.version), Some(2));
    // Started again as the program before, which reads version 1 alone.
    let mut back = Reader::join(&cluster, "n", 2, &[1]);
    let given = back.ask(&cluster).document.expect("a document");
    assert_eq!((given.version, given.body), (1, serde_json::json!({"limit": 7})));
    assert!(back.incarnation > reader.incarnation);
}
