//! Members and views, each story one thing that goes wrong.

use lynxtally::{Instant, Pcg, Span};
use lynxtally_membership::*;
use proptest::prelude::*;

fn at(millis: u64) -> Instant {
    Instant::from_micros(1_000_000 + millis * 1000)
}

fn limits() -> Limits {
    Limits {
        phi: 8.0,
        least_spread: Span::from_millis(50),
        warm: Span::from_millis(4000),
        out_share: 0.3,
        together: 0.4,
        window: Span::from_millis(3000),
        settle: Span::from_millis(2000),
        forget: Span::from_millis(60_000),
        tick: Span::from_millis(100),
    }
}

fn guard() -> Guard {
    Guard {
        hold: Span::from_millis(200),
        most: 5,
        span: Span::from_millis(10_000),
        least: 0.6,
        quiet: Span::from_millis(5000),
        known: 0.8,
    }
}

fn heard(n: usize) -> Heard {
    Heard {
        name: format!("node{n:03}"),
        address: format!("10.0.{}.{}:80", n / 250, n % 250 + 1).parse().expect("an address"),
        source: Source::Report,
        capacity: 4.0,
        zone: (n % 3) as u16,
        leaving: false,
    }
}

/// A fleet that is heard every half second, with some jitter, in steps of a tick.
struct World {
    fleet: Fleet,
    views: Views,
    now: u64,
    chance: Pcg,
    next: Vec<u64>,
    silent: Vec<bool>,
    made: Vec<View>,
}

impl World {
    fn new(count: usize) -> Self {
        let mut world = Self {
            fleet: Fleet::new(limits(), at(0)),
            views: Views::new(guard(), None, at(0)),
            now: 0,
            chance: Pcg::new(5),
            next: (0..count as u64).map(|n| n * 7 % 500).collect(),
            silent: vec![false; count],
            made: Vec::new(),
        };
        world.pass(10_000);
        assert_eq!(world.fleet.count(State::Ready), count);
        world
    }

    fn pass(&mut self, millis: u64) {
        for _ in 0..millis / 100 {
            self.now += 100;
            for n in 0..self.next.len() {
                if self.next[n] <= self.now {
                    self.next[n] = self.now + 400 + (self.chance.unit() * 200.0) as u64;
                    if !self.silent[n] {
                        self.fleet.hear(at(self.now), heard(n));
                    }
                }
            }
            self.look();
        }
    }

    fn look(&mut self) {
        self.fleet.tick(at(self.now));
        let wanted = self.fleet.wanted(at(self.now));
        if let Some(view) = self.views.want(at(self.now), wanted, 0) {
            if let Some(last) = self.made.last() {
                assert!(view.number > last.number, "a rollback");
                assert!(
                    view.members.len() as f64 >= last.members.len() as f64 * 0.6,
                    "emptier than it may be"
                );
            }
            self.made.push((*view).clone());
        }
    }

    fn members(&self) -> usize {
        self.views.now().members.len()
    }
}

#[test]
fn one_that_falls_silent_is_out_and_comes_back_slowly_with_its_reason_told() {
    let mut world = World::new(20);
    world.silent[3] = true;
    world.pass(4000);
    let why = world.fleet.why("node003").expect("it is known");
    assert!(
        why.state == State::Suspect && why.evidence.contains("silent for") && why.kept.is_none(),
        "{why:?}"
    );
    assert_eq!(world.members(), 19);
    world.silent[3] = false;
    world.pass(1500);
    assert_eq!(world.members(), 19, "a single word does not bring it back");
    world.pass(2500);
    let weight = |world: &World| world.views.now().members.get("node003").map_or(0, |entry| entry.weight);
    assert!((1..4000).contains(&weight(&world)), "it gets a part first");
    world.pass(5000);
    assert_eq!(weight(&world), 4000);
}

#[test]
fn when_all_fall_silent_the_observer_is_suspect_and_nobody_is_taken_out() {
    let mut world = World::new(50);
    world.silent = vec![true; 50];
    world.pass(20_000);
    assert!(world.fleet.own_fault().is_some());
    assert_eq!(world.members(), 50);
    let why = world.fleet.why("node007").expect("it is known");
    assert!(why.kept.is_some(), "{why:?}");
    world.silent = vec![false; 50];
    world.pass(10_000);
    assert!(world.fleet.own_fault().is_none());
    assert_eq!((world.members(), world.fleet.count(State::Ready)), (50, 50));
}

#[test]
fn no_more_than_a_share_is_out_however_they_die() {
    let mut world = World::new(20);
    // One after the other, so that it is no common silence.
    for n in 0..14 {
        world.silent[n] = true;
        world.pass(4000);
        assert!(world.members() >= 14, "{} are left after {n}", world.members());
    }
}

#[test]
fn flapping_members_do_not_churn_the_views() {
    let mut world = World::new(20);
    let before = world.made.len();
    for turn in 0..60 {
        for n in 0..10 {
            world.silent[n] = (turn + n) % 2 == 0;
        }
        world.pass(2000);
    }
    let views = world.made.len() - before;
    // A view a change would be hundreds; the budget alone lets 60 through.
    assert!(views <= 60, "{views} views");
    let lapses = world.fleet.why("node004").expect("it is known");
    assert!(matches!(lapses.state, State::Suspect | State::Ready | State::Warming), "{lapses:?}");
}

#[test]
fn a_pause_or_a_jump_of_the_observers_clock_is_nobodys_silence() {
    let mut world = World::new(20);
    let views = world.made.len();
    world.now += 30_000;
    world.next.iter_mut().for_each(|next| *next += 30_000);
    world.look();
    // Back again: nothing that was told before is unsaid.
    world.fleet.tick(at(world.now - 25_000));
    world.pass(3000);
    assert_eq!((world.members(), world.made.len()), (20, views));
}

#[test]
fn a_member_back_under_its_name_with_another_address_begins_anew() {
    let mut world = World::new(10);
    let moved = Heard { address: "10.9.9.9:80".parse().expect("an address"), ..heard(4) };
    world.next[4] = u64::MAX;
    for _ in 0..8 {
        world.fleet.hear(at(world.now), moved.clone());
        world.pass(500);
    }
    let entry = world.views.now().members["node004"];
    assert_eq!(entry.address, moved.address);
    assert!(entry.weight < 4000 || world.fleet.why("node004").map(|why| why.state) == Some(State::Ready));
    // A list that still has the old address changes nothing.
    world.fleet.hear(at(world.now), Heard { source: Source::List, ..heard(4) });
    world.pass(1000);
    assert_eq!(world.views.now().members["node004"].address, moved.address);
}

#[test]
fn one_that_says_that_it_leaves_is_out_at_once_and_a_list_alone_is_better_than_nobody() {
    let mut world = World::new(10);
    world.next[2] = u64::MAX;
    world.fleet.hear(at(world.now), Heard { leaving: true, ..heard(2) });
    world.pass(300);
    assert_eq!(world.members(), 9);
    let mut fleet = Fleet::new(limits(), at(0));
    (0..5).for_each(|n| fleet.hear(at(0), Heard { source: Source::List, ..heard(n) }));
    fleet.tick(at(100));
    assert_eq!(fleet.wanted(at(100)).len(), 5);
    fleet.hear(at(200), heard(1));
    assert_eq!(fleet.wanted(at(200)).len(), 1, "who speaks for itself is better than a list");
}

#[test]
fn after_a_restart_nothing_is_said_until_the_view_is_known_again_and_numbers_go_on() {
    let world = World::new(20);
    let last = (**world.views.now()).clone();
    let mut views = Views::new(guard(), Some(last.clone()), at(50_000));
    let some: Vec<_> = last.members.clone().into_iter().take(5).collect();
    assert_eq!(views.want(at(51_000), some.clone(), 0), None);
    assert_eq!(views.want(at(52_000), some, 0), None, "a fresh look knows few of them");
    let mut most: Vec<_> = last.members.clone().into_iter().take(18).collect();
    most[0].1.weight += 1;
    assert_eq!(views.want(at(53_000), most.clone(), 0), None, "it has to stand for a while");
    let next = views.want(at(53_300), most, last.number + 7).expect("a view");
    assert_eq!((next.number, next.members.len()), (last.number + 8, 18), "above all that was ever said");
    // Known to nobody for long: then what is kept is no emptier than it may be.
    let mut views = Views::new(guard(), Some(last.clone()), at(0));
    let few: Vec<_> = last.members.clone().into_iter().take(2).collect();
    assert_eq!(views.want(at(4000), few.clone(), 0), None);
    let next = views.want(at(6000), few, 0).expect("a view");
    assert_eq!((next.members.len(), views.held()), (12, 10));
    assert_eq!(difference(&last, &next).taken.len(), 8);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever is heard in whatever order: views go forward, are never empty once there was one, and applying the
    /// differences one after the other gives the last.
    #[test]
    fn views_only_go_forward_and_are_never_empty(steps in proptest::collection::vec((0..12_usize, 0..5_u8, 0..2000_u64), 1..250)) {
        let mut fleet = Fleet::new(limits(), at(0));
        let mut views = Views::new(guard(), None, at(0));
        let (mut now, mut applied, mut last) = (0, std::collections::BTreeMap::new(), View::default());
        for (n, what, wait) in steps {
            match what {
                0 => fleet.hear(at(now), Heard { leaving: true, ..heard(n) }),
                1 => fleet.hear(at(now), Heard { address: "10.7.7.7:1".parse().expect("an address"), ..heard(n) }),
                2 => fleet.hear(at(now), Heard { source: Source::List, ..heard(n) }),
                3 => fleet.hear(at(now), heard(n)),
                _ => now += wait,
            }
            now += 50;
            fleet.tick(at(now));
            let wanted = fleet.wanted(at(now));
            if let Some(view) = views.want(at(now), wanted, 0) {
                prop_assert!(view.number > last.number);
                prop_assert!(!view.members.is_empty() || last.members.is_empty());
                let change = difference(&last, &view);
                applied.retain(|name, _| !change.taken.contains(name));
                applied.extend(change.put);
                prop_assert_eq!(&applied, &view.members);
                last = (*view).clone();
            }
        }
    }
}
