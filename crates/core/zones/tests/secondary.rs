//! Secondaries: schedule of queries and transfers, validation of transfers, NOTIFY; and the request rate limit.

use lynxtally::{Instant, Span};
use lynxtally_zones::change::{diff, Change};
use lynxtally_zones::rate_limit::{prefix, CountMinSketch, RequestRateLimit};
use lynxtally_zones::secondary::{
    zone_from_records, NotifySender, RetryTimes, SecondaryAction, SecondaryZone, TransferError,
    TransferReader, TransferResult,
};
use lynxtally_zones::zone_file::{self, ZoneFileLimits};
use lynxtally_zones::{Name, Record, RecordType, Serial, Zone};

fn apex() -> Name {
    "example.org".parse().expect("a valid name")
}

fn zone(serial: u32, rest: &str) -> Zone {
    let text = format!("$TTL 300\n@ SOA ns host {serial} 100 10 1000 60\n@ NS ns\nns A 192.0.2.1\n{rest}");
    zone_file::read("z", text.as_bytes(), Some(&apex()), ZoneFileLimits::default(), &mut |_| {
        Err("none".into())
    })
    .zone
}

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1000)
}

fn step(secondary: &mut SecondaryZone, from: u64) -> (u64, SecondaryAction) {
    let millis = from.max((secondary.next_due() - Instant::default()).micros().div_ceil(1000));
    (millis, secondary.due(at(millis)).expect("an action is due"))
}

#[test]
fn a_new_secondary_transfers_the_zone_and_then_follows_the_soa_intervals() {
    let mut secondary = SecondaryZone::new(at(0), 2, None, RetryTimes::default(), 1);
    assert!(!secondary.is_serving());
    assert_eq!(secondary.due(at(0)), Some(SecondaryAction::Transfer(0, None)));
    assert_eq!(secondary.due(at(1)), None, "only one query or transfer at a time");
    secondary.transfer_completed(at(10), zone(5, "").soa().expect("the zone has a SOA"));
    assert!(secondary.is_serving());
    let (when, next) = step(&mut secondary, 0);
    assert_eq!(next, SecondaryAction::QuerySerial(0));
    assert!((90_000..=100_010).contains(&when), "the refresh interval less up to 10 % jitter: {when}");
    assert_eq!(secondary.serial_received(at(when), Serial(5)), None);
    let (when, next) = step(&mut secondary, when);
    assert_eq!(
        (next, secondary.serial_received(at(when), Serial(6))),
        (SecondaryAction::QuerySerial(0), Some(SecondaryAction::Transfer(0, Some(Serial(5)))))
    );
    secondary.incremental_failed(at(when));
    assert_eq!(
        secondary.due(at(when)),
        Some(SecondaryAction::Transfer(0, None)),
        "a full transfer follows a failed incremental one"
    );
}

#[test]
fn an_older_serial_is_ignored_and_the_next_primary_is_queried() {
    let mut secondary = SecondaryZone::new(at(0), 2, zone(50, "").soa(), RetryTimes::default(), 1);
    assert_eq!(secondary.due(at(0)), Some(SecondaryAction::QuerySerial(0)));
    assert_eq!(secondary.serial_received(at(5), Serial(40)), None);
    assert!(secondary.is_serving(), "the version in force stays");
    let (when, next) = step(&mut secondary, 5);
    assert_eq!(next, SecondaryAction::QuerySerial(1));
    assert!(when < 16_000, "after the retry interval of the SOA: {when}");
}

#[test]
fn failures_lengthen_the_delay_until_expiry_and_a_notify_triggers_a_query() {
    let mut secondary = SecondaryZone::new(at(0), 1, zone(50, "").soa(), RetryTimes::default(), 1);
    let (mut millis, mut pauses, mut expired) = (0, Vec::new(), None);
    for _ in 0..40 {
        let (when, next) = step(&mut secondary, millis);
        if next == SecondaryAction::Expire {
            expired = Some(when);
            break;
        }
        pauses.push(when - millis);
        millis = when;
        secondary.step_failed(at(millis));
    }
    assert_eq!(expired, Some(1_000_000), "the expire interval of the SOA");
    assert!(!secondary.is_serving());
    assert!(pauses[1] >= 5000 && pauses[1] <= 15_000, "{pauses:?}");
    assert!(pauses.last() > Some(&(pauses[1] * 4)), "{pauses:?}");
    secondary.notified(at(1_000_100), Some(Serial(50)));
    assert!(secondary.next_due() > at(1_000_100), "a NOTIFY of the current serial is ignored");
    secondary.notified(at(1_000_200), Some(Serial(51)));
    assert_eq!(secondary.due(at(1_000_200)), Some(SecondaryAction::QuerySerial(0)));
    secondary.notified(at(1_000_201), Some(Serial(52)));
    secondary.transfer_completed(at(1_000_300), zone(51, "").soa().expect("the zone has a SOA"));
    assert!(secondary.is_serving());
    assert_eq!(
        secondary.due(at(1_000_300)),
        Some(SecondaryAction::QuerySerial(0)),
        "a NOTIFY during the transfer leads to another query"
    );
}

fn feed(asked: Option<u32>, records: &[Record]) -> Result<Option<TransferResult>, TransferError> {
    let mut incoming = TransferReader::new(apex(), asked.map(Serial), 100);
    for record in records {
        incoming.push(record.clone())?;
    }
    Ok(incoming.finish())
}

fn soa(serial: u32) -> Record {
    zone(serial, "").soa_record().expect("the zone has a SOA")
}

#[test]
fn an_incomplete_or_inconsistent_transfer_is_rejected() {
    let new = zone(7, "a A 192.0.2.2\nb A 192.0.2.3\n");
    let mut whole = new.all_records();
    whole.push(soa(7));
    let Ok(Some(TransferResult::Full(records))) = feed(None, &whole) else { panic!("it is whole") };
    assert!(diff(
        &zone_from_records(&apex(), Some(Serial(6)), &records).expect("the transferred serial is newer"),
        &new
    )
    .is_empty());
    assert_eq!(
        zone_from_records(&apex(), Some(Serial(7)), &records).map(|_| ()),
        Err(TransferError::NotNewer { received: Serial(7), current: Serial(7) })
    );
    for cut in 0..whole.len() {
        assert_eq!(feed(None, &whole[..cut]), Ok(None), "a transfer cut after {cut} records is incomplete");
    }
    // An incremental transfer of two changes.
    let (old, mid) = (zone(5, "x A 192.0.2.9\n"), zone(6, "a A 192.0.2.2\n"));
    let steps = [diff(&old, &mid), diff(&mid, &new)];
    let mut stream = vec![soa(7)];
    for Change { removed, added, .. } in &steps {
        for side in [removed, added] {
            let mut side = side.clone();
            side.sort_by_key(|record| record.kind != RecordType::SOA);
            stream.extend(side);
        }
    }
    stream.push(soa(7));
    let Ok(Some(TransferResult::Incremental(changes))) = feed(Some(5), &stream) else {
        panic!("it is whole")
    };
    let there = changes.iter().try_fold(old, |zone, change| change.apply(&zone)).expect("the changes apply");
    assert!(diff(&there, &new).is_empty());
    for cut in 0..stream.len() {
        assert_eq!(feed(Some(5), &stream[..cut]), Ok(None), "cut at {cut}");
    }
    assert!(
        matches!(feed(Some(4), &stream), Err(TransferError::OutOfOrder) | Ok(None)),
        "the changes start from another serial than the requested one"
    );
    let mut behind = stream.clone();
    behind.push(soa(7));
    assert_eq!(feed(Some(5), &behind), Err(TransferError::TrailingRecords));
    assert_eq!(feed(None, &new.all_records()[1..]), Err(TransferError::NoLeadingSoa));
    let stranger = Record { name: "x.test".parse().expect("a valid name"), ..soa(7) };
    assert!(matches!(feed(None, &[soa(7), stranger]), Err(TransferError::Rejected(_))));
    let mut short = TransferReader::new(apex(), Some(Serial(7)), 100);
    short.push(soa(7)).expect("the leading SOA is accepted");
    assert_eq!(short.message_ended(), Some(TransferResult::UpToDate(Serial(7))));
}

#[test]
fn notify_is_repeated_until_acknowledged_or_the_limit_is_reached() {
    let mut notify_sender = NotifySender::new(2, RetryTimes::default(), 3);
    assert!(notify_sender.due(at(0)).is_empty());
    notify_sender.serial_changed(at(0), Serial(5));
    assert_eq!(notify_sender.due(at(0)), [(0, Serial(5)), (1, Serial(5))]);
    notify_sender.acknowledged(0, Some(Serial(5)));
    notify_sender.acknowledged(1, Some(Serial(4)));
    let (mut told, mut last) = (1, 0);
    while let Some(due) = notify_sender.next_due() {
        let millis = (due - Instant::default()).micros().div_ceil(1000);
        assert!(millis > last);
        last = millis;
        assert_eq!(notify_sender.due(at(millis)), [(1, Serial(5))]);
        told += 1;
    }
    assert_eq!(told, 8);
    notify_sender.serial_changed(at(last), Serial(5));
    assert_eq!(notify_sender.next_due(), None, "the same serial is not announced again");
    notify_sender.serial_changed(at(last), Serial(6));
    assert_eq!(notify_sender.due(at(last)).len(), 2);
}

#[test]
fn a_sketch_never_underestimates_and_a_flood_affects_only_its_prefix() {
    let turn = Span::from_millis(500);
    let mut sketch = CountMinSketch::new(1 << 10, turn, 7, at(0));
    let mut exact = std::collections::BTreeMap::new();
    let mut chance = lynxtally::Pcg::new(5);
    for _ in 0..50_000 {
        // Few prefixes send many requests, and many send few.
        let who = (chance.unit().powi(4) * 3000.0) as u64;
        sketch.add(at(1), who);
        *exact.entry(who).or_insert(0.0) += 1.0;
    }
    let over: Vec<f64> = exact.iter().map(|(who, count)| sketch.count(at(1), *who) - count).collect();
    assert!(over.iter().all(|over| *over >= 0.0), "an estimate is never below the true count");
    // The bound of Cormode and Muthukrishnan (2005) for four rows: with a probability of at most e^-4, an estimate exceeds
    // the true count by more than e/width of the total.
    let bound = 50_000.0 * std::f64::consts::E / 1024.0;
    let bad = over.iter().filter(|over| **over > bound).count() as f64 / over.len() as f64;
    assert!(bad < 0.02, "{bad}");
    assert!(sketch.count(at(1500), 0) <= sketch.count(at(1), 0) / 3.9, "counts decay");
    // 1,000 prefixes send 10 requests each, and one prefix sends 20,000.
    let mut shares = RequestRateLimit::new(CountMinSketch::new(1 << 12, turn, 7, at(0)), 0.25, 100.0);
    let flood = prefix([198, 51, 100, 7].into());
    let mut beyond = [0, 0];
    for n in 0..30_000_u32 {
        let well = n % 3 == 0;
        let who = if well {
            prefix([10, (n / 3 % 1000 / 250) as u8, (n / 3 % 250) as u8, 1].into())
        } else {
            flood
        };
        beyond[usize::from(well)] += u32::from(shares.exceeds_share(at(u64::from(n / 100)), who));
    }
    assert_eq!(beyond[1], 0, "other prefixes do not exceed their share");
    assert!(beyond[0] > 19_500, "{beyond:?}");
    assert_eq!(prefix("::ffff:192.0.2.1".parse().expect("a valid address")), prefix([192, 0, 2, 77].into()));
    let v6 = |text: &str| prefix(text.parse().expect("a valid address"));
    assert_eq!(v6("2001:db8:1:2::1"), v6("2001:db8:1:ff::9"));
    assert_ne!(v6("2001:db8:1:2::1"), v6("2001:db8:1:100::9"));
}
