//! Tests of membership and views. Each test covers one kind of failure.

use lynxtally::{Instant, Pcg, Span};
use lynxtally_membership::*;
use proptest::prelude::*;

fn at(millis: u64) -> Instant {
    Instant::from_micros(1_000_000 + millis * 1000)
}

fn limits() -> MembershipLimits {
    MembershipLimits {
        phi_threshold: 8.0,
        min_deviation: Span::from_millis(50),
        slow_start_duration: Span::from_millis(4000),
        max_ejected_fraction: 0.3,
        observer_fault_fraction: 0.4,
        observer_fault_window: Span::from_millis(3000),
        recovery_time: Span::from_millis(2000),
        removal_time: Span::from_millis(60_000),
        tick_interval: Span::from_millis(100),
    }
}

fn publish_limits() -> PublishLimits {
    PublishLimits {
        settle_time: Span::from_millis(200),
        max_views_per_window: 5,
        rate_window: Span::from_millis(10_000),
        min_kept_fraction: 0.6,
        restart_hold: Span::from_millis(5000),
        restart_known_fraction: 0.8,
    }
}

fn report(n: usize) -> Observation {
    Observation {
        name: format!("node{n:03}"),
        address: format!("10.0.{}.{}:80", n / 250, n % 250 + 1).parse().expect("an address"),
        source: Source::Report,
        capacity: 4.0,
        zone: (n % 3) as u16,
        draining: false,
    }
}

/// A fleet whose members report every 400 to 600 ms. Time advances in ticks of 100 ms.
struct Harness {
    fleet: Membership,
    views: ViewPublisher,
    now_millis: u64,
    random: Pcg,
    /// When each member reports next, in milliseconds.
    next_report_millis: Vec<u64>,
    /// Whether the reports of each member are lost.
    silent: Vec<bool>,
    published: Vec<MembershipView>,
}

impl Harness {
    fn new(count: usize) -> Self {
        let mut harness = Self {
            fleet: Membership::new(limits(), at(0)),
            views: ViewPublisher::new(publish_limits(), None, at(0)),
            now_millis: 0,
            random: Pcg::new(5),
            next_report_millis: (0..count as u64).map(|n| n * 7 % 500).collect(),
            silent: vec![false; count],
            published: Vec::new(),
        };
        harness.advance(10_000);
        assert_eq!(harness.fleet.count(MemberState::Ready), count);
        harness
    }

    fn advance(&mut self, millis: u64) {
        for _ in 0..millis / 100 {
            self.now_millis += 100;
            for n in 0..self.next_report_millis.len() {
                if self.next_report_millis[n] <= self.now_millis {
                    self.next_report_millis[n] = self.now_millis + 400 + (self.random.unit() * 200.0) as u64;
                    if !self.silent[n] {
                        self.fleet.observe(at(self.now_millis), report(n));
                    }
                }
            }
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.fleet.tick(at(self.now_millis));
        let desired = self.fleet.desired_view(at(self.now_millis));
        if let Some(view) = self.views.propose(at(self.now_millis), desired, 0) {
            if let Some(last) = self.published.last() {
                assert!(view.number > last.number, "view numbers must grow");
                assert!(
                    view.members.len() as f64 >= last.members.len() as f64 * 0.6,
                    "the view must keep its minimum size"
                );
            }
            self.published.push((*view).clone());
        }
    }

    fn members(&self) -> usize {
        self.views.current().members.len()
    }
}

/// A node hangs, so its reports stop. It must leave the view, and the reason must be available. After its reports resume,
/// it must return only after the recovery time, and with a reduced weight during slow start.
#[test]
fn a_silent_member_is_ejected_and_returns_with_slow_start_after_the_recovery_time() {
    let mut harness = Harness::new(20);
    harness.silent[3] = true;
    harness.advance(4000);
    let explanation = harness.fleet.explain("node003").expect("the member is known");
    assert!(
        explanation.state == MemberState::Suspect
            && explanation.reason.to_string().contains("silent for")
            && explanation.kept_in_view.is_none(),
        "{explanation:?}"
    );
    assert_eq!(harness.members(), 19);
    harness.silent[3] = false;
    harness.advance(1500);
    assert_eq!(harness.members(), 19, "the recovery time is not over");
    harness.advance(2500);
    let weight =
        |harness: &Harness| harness.views.current().members.get("node003").map_or(0, |entry| entry.weight);
    assert!((1..4000).contains(&weight(&harness)), "the weight is reduced during slow start");
    harness.advance(5000);
    assert_eq!(weight(&harness), 4000);
}

/// The observer's network fails, so it receives no reports. The members have not failed, so all must stay in the view.
#[test]
fn when_all_members_fall_silent_the_observer_assumes_its_own_fault_and_ejects_none() {
    let mut harness = Harness::new(50);
    harness.silent = vec![true; 50];
    harness.advance(20_000);
    assert!(harness.fleet.observer_fault().is_some());
    assert_eq!(harness.members(), 50);
    let explanation = harness.fleet.explain("node007").expect("the member is known");
    assert!(explanation.kept_in_view.is_some(), "{explanation:?}");
    harness.silent = vec![false; 50];
    harness.advance(10_000);
    assert!(harness.fleet.observer_fault().is_none());
    assert_eq!((harness.members(), harness.fleet.count(MemberState::Ready)), (50, 50));
}

/// Members fail one after another. The view must keep enough of them that the remaining members are not overloaded.
#[test]
fn the_ejected_fraction_is_limited_when_members_fail_one_after_another() {
    let mut harness = Harness::new(20);
    // The failures are 4 s apart, so they do not count as falling silent together.
    for n in 0..14 {
        harness.silent[n] = true;
        harness.advance(4000);
        assert!(harness.members() >= 14, "{} members are left after member {n} failed", harness.members());
    }
}

/// Half of the members alternate between silent and heard. A new view must not be published for each of these changes.
#[test]
fn flapping_members_do_not_churn_the_views() {
    let mut harness = Harness::new(20);
    let before = harness.published.len();
    for round in 0..60 {
        for n in 0..10 {
            harness.silent[n] = (round + n) % 2 == 0;
        }
        harness.advance(2000);
    }
    let views = harness.published.len() - before;
    // One view for each change would be hundreds of views; the rate limit alone allows 60.
    assert!(views <= 60, "{views} views");
    let explanation = harness.fleet.explain("node004").expect("the member is known");
    assert!(
        matches!(explanation.state, MemberState::Suspect | MemberState::Ready | MemberState::SlowStart),
        "{explanation:?}"
    );
}

/// The observer is paused for 30 s, and then its clock jumps back by 25 s. No member may become suspect because of this.
#[test]
fn a_pause_or_clock_jump_of_the_observer_makes_no_member_suspect() {
    let mut harness = Harness::new(20);
    let views = harness.published.len();
    harness.now_millis += 30_000;
    harness.next_report_millis.iter_mut().for_each(|next_report| *next_report += 30_000);
    harness.tick();
    // The clock jumps back; this tick must have no effect.
    harness.fleet.tick(at(harness.now_millis - 25_000));
    harness.advance(3000);
    assert_eq!((harness.members(), harness.published.len()), (20, views));
}

/// A node moves: it reports under its name from another address, while a static list still contains the old address. The
/// view must get the new address and keep it.
#[test]
fn a_member_with_a_new_address_starts_again_and_a_static_list_does_not_restore_the_old_address() {
    let mut harness = Harness::new(10);
    let moved = Observation { address: "10.9.9.9:80".parse().expect("an address"), ..report(4) };
    harness.next_report_millis[4] = u64::MAX;
    for _ in 0..8 {
        harness.fleet.observe(at(harness.now_millis), moved.clone());
        harness.advance(500);
    }
    let entry = harness.views.current().members["node004"];
    assert_eq!(entry.address, moved.address);
    assert!(
        entry.weight < 4000
            || harness.fleet.explain("node004").map(|explanation| explanation.state)
                == Some(MemberState::Ready)
    );
    // A static list with the old address must not change the view.
    harness.fleet.observe(at(harness.now_millis), Observation { source: Source::StaticList, ..report(4) });
    harness.advance(1000);
    assert_eq!(harness.views.current().members["node004"].address, moved.address);
}

/// A member that announces a graceful shutdown must leave the view. Members known only from a static list must be used as
/// long as no member has sent a report itself.
#[test]
fn a_draining_member_leaves_the_view_and_a_static_list_is_used_until_a_member_reports() {
    let mut harness = Harness::new(10);
    harness.next_report_millis[2] = u64::MAX;
    harness.fleet.observe(at(harness.now_millis), Observation { draining: true, ..report(2) });
    harness.advance(300);
    assert_eq!(harness.members(), 9);
    let mut fleet = Membership::new(limits(), at(0));
    (0..5).for_each(|n| fleet.observe(at(0), Observation { source: Source::StaticList, ..report(n) }));
    fleet.tick(at(100));
    assert_eq!(fleet.desired_view(at(100)).len(), 5);
    fleet.observe(at(200), report(1));
    assert_eq!(fleet.desired_view(at(200)).len(), 1, "a member that reports itself replaces the static list");
}

/// The publisher restarts and has heard only a few members yet. It must not publish a view of only these members, and must
/// not use a view number again.
#[test]
fn after_a_restart_no_view_is_published_until_enough_members_are_known_and_numbers_continue() {
    let harness = Harness::new(20);
    let last = (**harness.views.current()).clone();
    let mut views = ViewPublisher::new(publish_limits(), Some(last.clone()), at(50_000));
    let quarter: Vec<_> = last.members.clone().into_iter().take(5).collect();
    assert_eq!(views.propose(at(51_000), quarter.clone(), 0), None);
    assert_eq!(views.propose(at(52_000), quarter, 0), None, "too few members are known again");
    let mut most: Vec<_> = last.members.clone().into_iter().take(18).collect();
    most[0].1.weight += 1;
    assert_eq!(views.propose(at(53_000), most.clone(), 0), None, "the settle time is not over");
    let next = views.propose(at(53_300), most, last.number + 7).expect("a view");
    assert_eq!(
        (next.number, next.members.len()),
        (last.number + 8, 18),
        "the number is above the highest number used"
    );
    // Few members are known when the hold after the restart ends: the view keeps its minimum size.
    let mut views = ViewPublisher::new(publish_limits(), Some(last.clone()), at(0));
    let few: Vec<_> = last.members.clone().into_iter().take(2).collect();
    assert_eq!(views.propose(at(4000), few.clone(), 0), None);
    let next = views.propose(at(6000), few, 0).expect("a view");
    assert_eq!((next.members.len(), views.retained()), (12, 10));
    assert_eq!(ViewDifference::between(&last, &next).removed.len(), 8);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// For any sequence of observations: view numbers grow, no view is empty after the first one, and applying the
    /// differences in order gives the last view.
    #[test]
    fn view_numbers_grow_and_views_are_never_empty(
        steps in proptest::collection::vec((0..12_usize, 0..5_u8, 0..2000_u64), 1..250),
    ) {
        let moved_address = "10.7.7.7:1".parse().expect("an address");
        let mut fleet = Membership::new(limits(), at(0));
        let mut views = ViewPublisher::new(publish_limits(), None, at(0));
        let (mut now, mut applied, mut last) =
            (0, std::collections::BTreeMap::new(), MembershipView::default());
        for (n, kind, wait) in steps {
            match kind {
                0 => fleet.observe(at(now), Observation { draining: true, ..report(n) }),
                1 => fleet.observe(at(now), Observation { address: moved_address, ..report(n) }),
                2 => fleet.observe(at(now), Observation { source: Source::StaticList, ..report(n) }),
                3 => fleet.observe(at(now), report(n)),
                _ => now += wait,
            }
            now += 50;
            fleet.tick(at(now));
            let desired = fleet.desired_view(at(now));
            if let Some(view) = views.propose(at(now), desired, 0) {
                prop_assert!(view.number > last.number);
                prop_assert!(!view.members.is_empty() || last.members.is_empty());
                let change = ViewDifference::between(&last, &view);
                applied.retain(|name, _| !change.removed.contains(name));
                applied.extend(change.upserted);
                prop_assert_eq!(&applied, &view.members);
                last = (*view).clone();
            }
        }
    }
}
