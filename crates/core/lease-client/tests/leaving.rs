//! A node that leaves: what may still be used while it gives its leases back.

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

/// The coordinator's response to a request: the incarnation 5, and a lease on six calls for ten seconds.
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

/// Carries requests until none is due, up to a time; the last one.
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

/// A node drains. Its last call has ended and its request to end the session is on its way, or already applied: the
/// coordinator may have granted its six calls to another node. A request that the drain starts now wants a call. Were
/// the lease in force until the response comes, both nodes would use the same units of the dependency.
#[test]
fn nothing_is_in_force_once_the_session_is_being_ended() {
    let mut client = client();
    exchange_until(&mut client, 0, 1000);
    client.advance(at(1000));
    assert_eq!(client.leased_amount(0), 6, "it has its lease");
    client.leave();
    client.report_usage(0, 2, UsageCounts { requested: 2, started: 2 });
    exchange_until(&mut client, 1000, 1100);
    assert_eq!(client.leased_amount(0), 6, "calls under way go on, and it may make more");
    client.report_usage(0, 0, UsageCounts { requested: 2, started: 2 });
    let last = (1100..3000).find_map(|ms| client.next_request(at(ms)));
    let last = last.expect("a request to end the session");
    assert!(last.request.ends_session, "{last:?}");
    assert_eq!(client.leased_amount(0), 0, "its units may be another's by now");
    client.on_response(at(3000), last.token, Some(accepted(&last.request)));
    assert!(client.has_ended());
}
