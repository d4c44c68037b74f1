//! A node that leaves must stop using its leases before it returns them.

use lynxtally::{Instant, Span};
use lynxtally_lease_client::{BudgetSettings, LeaseClient, Settings, UsageCounts};
use lynxtally_messages::{Lease, LeaseUpdate, NodeRequest, NodeResponse};

fn client() -> LeaseClient {
    let settings = Settings {
        name: "n".into(),
        program_version: "1".into(),
        schema_versions: vec![],
        budgets: vec![BudgetSettings { name: "calls".into(), max_in_flight: Span::from_millis(100) }],
        wallets: vec![],
        coordinators: 1,
        response_timeout: Span::from_millis(200),
    };
    LeaseClient::new(settings, 1, at(0))
}

fn at(ms: u64) -> Instant {
    Instant::from_micros(ms * 1000)
}

/// The coordinator's response to a request: incarnation 5 and, unless the request joins or ends the session, a lease on six
/// calls for ten seconds.
fn accepted(request: &NodeRequest) -> NodeResponse {
    let lease = Lease { budget: "calls".into(), version: 1, amount: 6, duration_us: 10_000_000 };
    NodeResponse::Accepted(LeaseUpdate {
        incarnation: 5,
        sequence: request.sequence,
        leases: if request.budgets.is_empty() { vec![] } else { vec![lease] },
        reservations: vec![],
        document: None,
        unreadable_reason: None,
    })
}

/// Accepts each request that becomes due from `from_ms` until `until_ms`, and returns the last one.
fn exchange_until(client: &mut LeaseClient, from_ms: u64, until_ms: u64) -> Option<NodeRequest> {
    let mut last = None;
    for ms in from_ms..until_ms {
        if let Some(outgoing) = client.next_request(at(ms)) {
            client.on_response(at(ms), outgoing.token, Some(accepted(&outgoing.request)));
            last = Some(outgoing.request);
        }
    }
    last
}

/// A node drains, its last call has ended, and it has sent the request that ends the session. The coordinator may already have
/// granted its six calls to another node. If the lease stayed in force until the response arrives, a request that the
/// draining node starts now would use units that the other node uses too.
#[test]
fn no_lease_is_in_force_after_the_request_that_ends_the_session() {
    let mut client = client();
    exchange_until(&mut client, 0, 1000);
    client.advance(at(1000));
    assert_eq!(client.leased_amount(0), 6, "the node has a lease");
    client.leave();
    client.report_usage(0, 2, UsageCounts { requested: 2, started: 2 });
    exchange_until(&mut client, 1000, 1100);
    assert_eq!(client.leased_amount(0), 6, "pending calls continue, and the node may make more");
    client.report_usage(0, 0, UsageCounts { requested: 2, started: 2 });
    let last = (1100..3000).find_map(|ms| client.next_request(at(ms)));
    let last = last.expect("a request to end the session");
    assert!(last.request.ends_session, "{last:?}");
    assert_eq!(client.leased_amount(0), 0, "the units may already be granted to another node");
    client.on_response(at(3000), last.token, Some(accepted(&last.request)));
    assert!(client.has_ended());
}
