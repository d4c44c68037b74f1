//! Ranking of arrivals, and duplicates.

use crate::host::{two_core_settings, FakeHost};
use lynxtally::*;

#[test]
fn a_tenant_beyond_its_quota_ranks_lower() {
    // This is one of 200 backends, so its part of each quota is far below one request a second.
    let mut host =
        FakeHost::new(Settings { tenant_quotas: vec![50.0, 50.0], backends: 200, ..two_core_settings() });
    let running = [host.arrive(0, 0), host.arrive(0, 0)];
    for _ in 0..12 {
        host.arrive_with(1, 0, |a| a.tenant = Some(0));
    }
    let within_quota = host.arrive_with(2, 0, |a| a.tenant = Some(1));
    host.end_run(10, running[0]);
    let first = host.started(within_quota);
    host.end_run(11, running[1]);
    assert!(
        first || host.started(within_quota),
        "at most the first request of the tenant beyond its quota goes before it"
    );
}

/// The utilities of two classes differ by a tenth. Without the random factor in the rate, overload rejected every
/// request of the lower class and none of the other.
#[test]
fn of_two_similar_classes_neither_is_rejected_completely() {
    let mut settings = two_core_settings();
    settings.classes[1].utility = 1.1;
    let mut host = FakeHost::new(settings);
    let mut running = [host.arrive(0, 0), host.arrive(0, 0)];
    let mut first = [0, 0];
    for round in 1..25 {
        let queued = [host.arrive(round * 50, 0), host.arrive(round * 50, 1)];
        host.end_run(round * 50 + 1, running[0]);
        first[usize::from(host.started(queued[1]))] += u32::from(round > 8);
        host.end_run(round * 50 + 2, running[1]);
        running = queued;
    }
    assert!(first[0] > 0 && first[1] > 0, "starts by class: {first:?}");
}

#[test]
fn a_lower_tier_has_a_part_of_the_latency_objective() {
    let mut host = FakeHost::new(Settings { tier_depth: 1, ..two_core_settings() });
    let queued = [0, 0, 0].map(|class| host.arrive(0, class))[2];
    host.fire_timer(320, 1.0);
    assert!(host.rejected(queued), "its caller, a backend of the tier above, has given up by then");
}

#[test]
fn a_duplicate_is_answered_from_the_first_run() {
    let mut settings = two_core_settings();
    settings.classes[0].effect = Effect::Deduplicated;
    let mut host = FakeHost::new(settings);
    let first = host.arrive(0, 0);
    assert!(host
        .actions
        .iter()
        .any(|a| matches!(a, Action::RetainKey(t, span) if *t == first && span.secs() >= 5.0)));
    assert!(host.started(first));
    host.end_run(100, first);
    assert!(!host.actions.contains(&Action::ReleaseId(first)), "its key is still retained");
    let again = host.arrive_with(200, 0, |a| a.duplicate = Duplicate::Of(first));
    assert!(host.actions.contains(&Action::Coalesce(again)) && !host.started(again));
    host.fire_timer(5200, 0.0);
    assert!(host.actions.contains(&Action::ReleaseId(first)));
}

/// A duplicate of an executed request arrives after the grace of a shutdown, or is not prepaid. When the shutdown and
/// the prepayment were checked first, the duplicate was rejected, which tells the caller that the request was never
/// executed.
#[test]
fn a_duplicate_of_an_executed_request_is_not_rejected_in_a_shutdown_or_without_prepayment() {
    let mut settings = two_core_settings();
    settings.classes[0].effect = Effect::Deduplicated;
    for (in_shutdown, prepaid) in [(true, true), (false, false)] {
        let mut host = FakeHost::new(settings.clone());
        let first = host.arrive(0, 0);
        host.end_run(100, first);
        if in_shutdown {
            host.handle(200, [Event::Drain(host.instant(3200))]);
        }
        for (ms, duplicate) in [(1500, Duplicate::Of(first)), (1600, Duplicate::OfReleased)] {
            let again = host.arrive_with(ms, 0, |a| (a.duplicate, a.prepaid) = (duplicate, prepaid));
            assert!(
                host.actions.contains(&Action::Coalesce(again)) && !host.rejected(again),
                "{duplicate:?}"
            );
        }
        let new = host.arrive_with(1700, 0, |a| a.prepaid = prepaid);
        assert!(host.rejected(new) && !host.started(new));
        // Executing an idempotent request again does no harm, so a duplicate of one is rejected like a new request if
        // it is not prepaid.
        let read = host.arrive_with(1800, 1, |a| (a.duplicate, a.prepaid) = (Duplicate::OfReleased, prepaid));
        assert_eq!(host.rejected(read), !prepaid);
    }
}

/// Memory is full. If the key of a request is not retained, a duplicate of it looks new and both could run.
#[test]
fn without_room_for_its_key_a_deduplicated_request_is_not_started() {
    let mut settings = Settings { idempotency_key_kb: 9000.0, ..two_core_settings() };
    settings.classes[0].effect = Effect::Deduplicated;
    let mut host = FakeHost::new(settings);
    let request = host.arrive(0, 0);
    assert!(host.rejected(request) && !host.started(request));
}

/// A retry already waited unread at other backends, so its client gives up sooner than that of a new request. Before
/// this was taken into account, retries were run and responded too late.
#[test]
fn a_retry_has_less_time_by_the_receive_delay_of_its_earlier_attempts() {
    for (is_retry, late) in [(false, false), (true, true)] {
        let mut host = FakeHost::new(two_core_settings());
        for i in 0..20 {
            let request = host.arrive_with(i * 20, 0, |a| a.receive_delay = Span::from_millis(400));
            host.end_run(i * 20 + 10, request);
        }
        let running = [host.arrive(400, 0), host.arrive(400, 0)];
        let retry = host.arrive_with(401, 0, |a| a.is_retry = is_retry);
        host.fire_timer(980, 1.0);
        assert_eq!(host.rejected(retry), late, "the client of a retry has given up by then");
        assert_eq!(running.len(), 2);
    }
}

#[test]
fn a_leased_quota_replaces_the_quota_of_the_settings() {
    let mut settings = two_core_settings();
    settings.tenant_quotas = vec![0.0];
    settings.over_quota_utility_fraction = 0.1;
    settings.cores = 1;
    settings.max_running_per_core = 2.0;
    let goes_first = |quotas: Option<LeasedQuotas>| {
        let mut host = FakeHost::new(settings.clone());
        host.handle(0, quotas.map(Event::QuotasChanged));
        let running = host.arrive(1, 0);
        // The tenant's request has the higher utility and goes ahead of the others in the queue only within its quota.
        let own = host.arrive_with(2, 1, |arrival| arrival.tenant = Some(0));
        for n in 0..3 {
            host.arrive(3 + n, 0);
        }
        host.end_run(10, running);
        host.started(own)
    };
    assert!(goes_first(Some(LeasedQuotas { calls: None, tenants: vec![Some(1000.0)] })));
    assert!(!goes_first(None), "beyond its quota a request has a tenth of its utility");
}
