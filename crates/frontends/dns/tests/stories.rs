//! A names server on loopback, one story for each thing that goes wrong.

mod world;

use futures_util::StreamExt;
use hickory_net::client::{Client as Independent, ClientHandle};
use hickory_net::runtime::TokioRuntimeProvider;
use hickory_net::tcp::TcpClientStream;
use hickory_net::udp::UdpClientStream;
use hickory_proto::rr::rdata::tsig::TsigAlgorithm;
use hickory_proto::rr::{
    DNSClass, Name as OtherName, RData, Record as OtherRecord, RecordType as OtherType, TSigner,
};
use lynxtally_dns::client::{query, unix_now};
use lynxtally_dns::codec::{Asked, Question};
use lynxtally_dns::control::Verb;
use lynxtally_dns::tsig::{BadSignature, Keys, Signer};
use lynxtally_test_doubles::dns::{add, delete_rrset, Resolver};
use lynxtally_zones::secondary::TransferResult;
use lynxtally_zones::{Name, RecordType, Serial};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use world::{count, key, name, primary, secondary, text, until, Folder, World};

#[test]
fn an_independent_client_asks_updates_and_transfers() {
    let folder = Folder::new();
    folder.zone(
        1,
        "www CNAME a\na A 192.0.2.2\nbig TXT (\n\"0123456789012345678901234567890123456789\"\n\"x\" )\n",
    );
    let mut settings = primary(&folder);
    // The other library does not turn to a connection by itself where its address is not proven.
    settings.limits.proof = false;
    let world = World::start(settings);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let other = |text: &str| OtherName::from_ascii(text).expect("a name");
    runtime.block_on(async {
        let signer =
            TSigner::new(vec![7; 32], TsigAlgorithm::HmacSha256, other("nodes."), 300).expect("a key");
        let stream = UdpClientStream::builder(world.at, TokioRuntimeProvider::default());
        let stream = stream.with_signer(Some(signer)).build();
        let (mut client, work) = Independent::<TokioRuntimeProvider>::from_sender(stream);
        tokio::spawn(work);
        let answer =
            client.query(other("WWW.example.ORG."), DNSClass::IN, OtherType::A).await.expect("answered");
        assert_eq!(answer.answers.len(), 2);
        let gone =
            client.query(other("gone.example.org."), DNSClass::IN, OtherType::A).await.expect("answered");
        assert_eq!(u16::from(gone.metadata.response_code), 3);
        let record = OtherRecord::from_rdata(
            other("new.example.org."),
            60,
            RData::A(hickory_proto::rr::rdata::A::new(192, 0, 2, 77)),
        );
        // Its answer is signed, and checked by the other library.
        let done = client.create(record.clone(), other("example.org.")).await.expect("answered");
        assert_eq!(u16::from(done.metadata.response_code), 0);
        let again = client.create(record, other("example.org.")).await.expect("answered");
        assert_eq!(u16::from(again.metadata.response_code), 7, "the set is there now");
        let (stream, sender) = TcpClientStream::new(world.at, None, None, TokioRuntimeProvider::default());
        let stream = stream.await.expect("a connection");
        let (mut client, work) = Independent::<TokioRuntimeProvider>::new(stream, sender);
        tokio::spawn(work);
        let answer =
            client.query(other("new.example.org."), DNSClass::IN, OtherType::A).await.expect("answered");
        assert_eq!(answer.answers.len(), 1);
        let mut transfer = client.zone_transfer(other("example.org."), None);
        let mut records = 0;
        while let Some(message) = transfer.next().await {
            records += message.expect("it can be read").answers.len();
        }
        assert_eq!(records, 3 + 4 + 1);
    });
    world.leave();
}

/// Two records of one update that an answer carries together: a port, and the address of its target.
fn pair(n: usize, value: u16) -> Vec<lynxtally_zones::update::UpdateRecord> {
    let (service, target) = (name(&format!("s{n}")), name(&format!("t{n}")));
    let mut data = vec![0, 0, 0, 0];
    data.extend(value.to_be_bytes());
    data.extend_from_slice(target.wire());
    vec![
        delete_rrset(&service, RecordType::SRV),
        add(&service, RecordType::SRV, &data),
        delete_rrset(&target, RecordType::A),
        add(&target, RecordType::A, &[10, 0, (value >> 8) as u8, value as u8]),
    ]
}

#[test]
fn ten_thousand_updates_among_queries_and_rereads_are_all_seen_and_no_answer_is_mixed() {
    const UPDATERS: usize = 20;
    const EACH: u16 = 500;
    let folder = Folder::new();
    folder.zone(1, "");
    let world = World::start(primary(&folder));
    let done: Arc<Vec<AtomicU64>> = Arc::new((0..UPDATERS).map(|_| AtomicU64::new(0)).collect());
    let over = Arc::new(AtomicBool::new(false));
    let client = world.client();
    let check = |resolver: &mut Resolver, n: usize, least: u64| -> bool {
        let answer = resolver.query(&name(&format!("s{n}")), RecordType::SRV).expect("answered");
        // Without proof no more comes than was sent: it is asked for on a connection.
        assert!(answer.truncated || answer.sections[0].is_empty());
        let answer = client.ask(&query(7, &name(&format!("s{n}")), RecordType::SRV)).expect("answered");
        let Some(service) = answer.sections[0].first() else {
            assert_eq!(least, 0, "an accepted update is not seen");
            return false;
        };
        let value = u16::from_be_bytes([service.data[4], service.data[5]]);
        let target =
            answer.sections[2].iter().find(|record| record.kind == RecordType::A).expect("it goes along");
        assert_eq!(target.data[2..], value.to_be_bytes(), "two versions in one answer");
        assert!(u64::from(value) >= least, "{value} after {least} was accepted");
        true
    };
    let (mut seen, mut rereads) = (0, 0);
    std::thread::scope(|scope| {
        for n in 0..UPDATERS {
            let (mut updater, done) = (world.updater(n as u16 * 1000), done.clone());
            scope.spawn(move || {
                for value in 1..=EACH {
                    assert_eq!(updater.update(&pair(n, value)).expect("answered"), 0);
                    done[n].store(value.into(), Ordering::SeqCst);
                }
            });
        }
        let resolvers: Vec<_> = (0..2)
            .map(|r| {
                let (mut resolver, done, over) = (world.resolver(), done.clone(), over.clone());
                let check = &check;
                scope.spawn(move || {
                    let mut count = 0;
                    while !over.load(Ordering::SeqCst) {
                        for n in (r..UPDATERS).step_by(2) {
                            let least = done[n].load(Ordering::SeqCst);
                            count += u64::from(check(&mut resolver, n, least));
                        }
                    }
                    count
                })
            })
            .collect();
        for serial in 2.. {
            folder.zone(serial, &format!("static{} A 192.0.2.9\n", serial % 7));
            assert_eq!(world.say(&Verb::Reread("example.org".into())), "{\"reread\":true}");
            rereads += 1;
            if done.iter().all(|done| done.load(Ordering::SeqCst) == u64::from(EACH)) {
                break;
            }
        }
        over.store(true, Ordering::SeqCst);
        seen += resolvers.into_iter().map(|resolver| resolver.join().expect("it ends well")).sum::<u64>();
    });
    let mut resolver = world.resolver();
    (0..UPDATERS).for_each(|n| assert!(check(&mut resolver, n, EACH.into())));
    let line = world.leave();
    println!("10000 updates, {seen} answers checked, {rereads} rereads: {line}");
    assert_eq!(count(&line, "update"), (UPDATERS * EACH as usize) as u64);
    assert!(seen > 100 && rereads > 3, "{seen} {rereads}");
}

#[test]
fn an_update_sent_thrice_and_once_more_after_a_restart_is_run_once() {
    let folder = Folder::new();
    folder.zone(1, "");
    let world = World::start(primary(&folder));
    let mut updater = world.updater(1);
    let need = lynxtally_zones::update::UpdateRecord {
        sense: lynxtally_zones::update::UpdateClass::None,
        ttl: 0,
        ..add(&name("a"), RecordType::ANY, &[])
    };
    let octets = updater.signed_update(&[need], &[add(&name("a"), RecordType::A, &[1, 2, 3, 4])], None);
    for _ in 0..3 {
        assert_eq!(updater.exchange(&octets).expect("answered").code, 0);
    }
    assert_eq!(world.serial(), Serial(2));
    assert_eq!(count(&world.leave(), "repeats"), 2);
    let world = World::start(primary(&folder));
    assert_eq!(world.updater(1).exchange(&octets).expect("answered").code, 0, "its first was accepted");
    assert_eq!(world.serial(), Serial(2));
    assert_eq!(count(&world.leave(), "repeats"), 1);
}

#[test]
fn a_secondary_follows_by_changes_then_by_the_whole_and_never_goes_back() {
    let (one, two) = (Folder::new(), Folder::new());
    one.zone(10, "");
    let mut settings = primary(&one);
    // The log of changes reaches back a few versions only.
    settings.limits.history = 6;
    let first = World::start(settings.clone());
    let at = first.at;
    settings.listen = vec![at];
    let follower = World::start(secondary(&two, &[at]));
    until("it has a version", || follower.serial() == Serial(10));
    let mut updater = first.updater(1);
    assert_eq!(updater.update(&[add(&name("a"), RecordType::A, &[1, 2, 3, 4])]).expect("answered"), 0);
    until("it follows", || follower.serial() == Serial(11));
    assert_eq!(follower.resolver().query(&name("a"), RecordType::A).expect("answered").code, 0);
    assert_eq!(follower.updater(1).update(&[add(&name("b"), RecordType::A, &[1; 4])]).expect("answered"), 5);
    // Away, past the log's reach: what it had lasts, and the whole comes.
    let transfers = count(&follower.leave(), "read");
    assert!(transfers > 0);
    for n in 0..20 {
        assert_eq!(
            updater.update(&[add(&name(&format!("n{n}")), RecordType::A, &[1; 4])]).expect("answered"),
            0
        );
    }
    let follower = World::start(secondary(&two, &[at]));
    until("it caught up", || follower.serial() == Serial(31));
    let TransferResult::Full(records) =
        follower.client().transfer(&name("@"), None, 1000, 5).expect("it comes")
    else {
        panic!("all of it was asked for");
    };
    assert_eq!(records.len(), 3 + 21);
    // The primary loses its state and comes back at peak with an older file.
    first.leave();
    std::fs::remove_dir_all(one.0.join("state")).expect("it is there");
    one.zone(5, "old A 192.0.2.9\n");
    let back = World::start(settings);
    std::thread::sleep(Duration::from_millis(2500));
    assert_eq!((back.serial(), follower.serial()), (Serial(5), Serial(31)));
    assert_eq!(
        follower.resolver().query(&name("n7"), RecordType::A).expect("answered").code,
        0,
        "the old view stays"
    );
    back.leave();
    follower.leave();
}

#[test]
fn a_secondary_that_would_ask_in_an_hour_hears_of_a_new_version_at_once() {
    let (one, two) = (Folder::new(), Folder::new());
    let slow = |serial: u32| text(serial, "").replace(" 1 1 86400 60", " 3600 600 86400 60");
    one.write("zone", &slow(10));
    let mut settings = primary(&one);
    // Taken for a moment, so that the primary can be told of it before it listens.
    let follower_at =
        std::net::UdpSocket::bind((settings.listen[0].ip(), 0)).expect("a port").local_addr().expect("one");
    settings.zones[0].notify = vec![follower_at];
    let first = World::start(settings);
    let mut settings = secondary(&two, &[first.at]);
    settings.listen = vec![follower_at];
    let follower = World::start(settings);
    until("it has a version", || follower.serial() == Serial(10));
    let mut updater = first.updater(1);
    for n in 0..3 {
        assert_eq!(
            updater.update(&[add(&name(&format!("n{n}")), RecordType::A, &[1; 4])]).expect("answered"),
            0
        );
    }
    until("it heard", || follower.serial() == Serial(13));
    assert!(count(&follower.leave(), "notify") >= 1);
    first.leave();
}

#[test]
fn a_cookie_got_on_a_connection_lets_whole_answers_come_by_datagram() {
    let folder = Folder::new();
    folder.zone(1, "a A 192.0.2.2\n");
    let world = World::start(primary(&folder));
    let (client, owner) = (world.client(), name("a"));
    let bare = lynxtally_dns::client::Client { key: None, ..client };
    let by_connection =
        bare.ask(&Question { cookie: Some(&[4; 8]), ..query(1, &owner, RecordType::A) }).expect("answered");
    let (own, theirs) = by_connection.cookie.expect("it comes along");
    let both: Vec<u8> = own.iter().chain(&theirs).copied().collect();
    let ask = |cookie: &[u8]| {
        let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a socket");
        socket.set_read_timeout(Some(Duration::from_secs(20))).expect("set");
        let octets = Question { cookie: Some(cookie), ..query(2, &owner, RecordType::A) }.write(None);
        socket.send_to(&octets, world.at).expect("sent");
        let mut room = [0; 1500];
        let length = socket.recv(&mut room).expect("answered");
        let answered = lynxtally_dns::codec::Answered::read(&room[..length]).expect("readable");
        (length <= octets.len(), answered.truncated, answered.sections[0].len())
    };
    assert_eq!(ask(&both), (false, false, 1));
    let mut wrong = both.clone();
    wrong[20] ^= 1;
    for unproven in [&wrong[..], &[4; 8]] {
        assert!(ask(unproven).0, "no longer than the question");
    }
    assert_eq!(ask(&[4; 8]), (true, true, 0), "cut, so that it comes by a connection");
    world.leave();
}

#[test]
fn a_file_that_cannot_be_used_leaves_the_version_in_force_and_a_lower_serial_is_told() {
    let folder = Folder::new();
    folder.zone(7, "a A 192.0.2.2\n");
    let world = World::start(primary(&folder));
    let reread = |text: &str| {
        folder.write("zone", text);
        world.say(&Verb::Reread("example.org".into()))
    };
    assert!(reread(&text(6, "")).contains("the file's serial 6 is not newer than 7"));
    assert!(reread("a A 192.0.2.1\n").contains("the zone has no SOA"));
    assert!(reread(&text(8, &"x A y\n".repeat(6))).contains("6 records refused; 5 are allowed"));
    assert_eq!(world.serial(), Serial(7));
    assert_eq!(
        reread(&text(8, "x A y\nb A 192.0.2.3\n")),
        "{\"reread\":true}",
        "one bad record costs only itself"
    );
    until("it is in force", || world.serial() == Serial(8));
    assert!(world.say(&Verb::Freeze("example.org".into())).contains("true"));
    let mut updater = world.updater(1);
    assert_eq!(updater.update(&[add(&name("c"), RecordType::A, &[1; 4])]).expect("answered"), 2);
    assert!(world.say(&Verb::Thaw("example.org".into())).contains("false"));
    assert_eq!(updater.update(&[add(&name("c"), RecordType::A, &[1; 4])]).expect("answered"), 0);
    assert!(world.say(&Verb::Freeze("other.org".into())).contains("no such zone"));
    world.leave();
}

#[test]
fn a_damaged_log_is_told_and_the_zone_is_served_as_far_as_it_goes_but_takes_nothing() {
    let folder = Folder::new();
    folder.zone(1, "");
    let world = World::start(primary(&folder));
    let mut updater = world.updater(1);
    for n in 0..5 {
        assert_eq!(
            updater.update(&[add(&name(&format!("n{n}")), RecordType::A, &[1; 4])]).expect("answered"),
            0
        );
    }
    world.leave();
    let log = folder.0.join("state/example_org.1.log");
    let mut octets = std::fs::read(&log).expect("it is there");
    let middle = octets.len() / 2;
    octets[middle] ^= 1;
    std::fs::write(&log, octets).expect("written");
    let world = World::start(primary(&folder));
    assert!(world.serial() > Serial(1) && world.serial() < Serial(6));
    assert!(world.say(&Verb::Status).contains("the log failed: example_org.1.log: at octet "));
    assert_eq!(world.updater(1).update(&[add(&name("x"), RecordType::A, &[1; 4])]).expect("answered"), 2);
    world.leave();
}

#[test]
fn a_notice_to_leave_amid_a_transfer_cuts_it_so_that_it_never_looks_whole() {
    let folder = Folder::new();
    let rest: String = (0..100_000).map(|n| format!("h{n} TXT \"{}\"\n", "x".repeat(100))).collect();
    folder.zone(1, &rest);
    let world = World::start(primary(&folder));
    let client = world.client();
    let mut open = client.connect().expect("a connection");
    let mut signer = Signer::asking(key(), unix_now());
    open.send(&query(9, &name("@"), RecordType::AXFR).write(Some(&mut signer))).expect("sent");
    open.receive().expect("the first message");
    // It reads no more; the notice comes. All else is answered, and the end comes before the kill.
    let start = Instant::now();
    let line = world.leave();
    assert!(start.elapsed() < Duration::from_millis(3500), "{:?}", start.elapsed());
    assert_eq!(count(&line, "open"), 0, "{line}");
    assert_eq!(count(&line, "abandoned") + count(&line, "caller_gone"), 1, "{line}");
    let mut soas = 0;
    while let Ok(octets) = open.receive() {
        let answer = lynxtally_dns::codec::Answered::read(&octets).expect("whole messages come");
        soas += answer.sections[0].iter().filter(|record| record.kind == RecordType::SOA).count();
    }
    assert_eq!(soas, 0, "the SOA that ends it never came");
}

#[test]
fn who_takes_a_transfer_as_fast_as_it_comes_does_not_keep_the_others_waiting() {
    let folder = Folder::new();
    let rest: String = (0..100_000).map(|n| format!("h{n} TXT \"{}\"\n", "x".repeat(100))).collect();
    folder.zone(1, &rest);
    let world = World::start(primary(&folder));
    let (mut fast, mut other) =
        (world.client().connect().expect("one"), world.client().connect().expect("two"));
    let mut ask = |id: u16| {
        other.send(&query(id, &name("@"), RecordType::SOA).write(None)).expect("sent");
        other.receive().expect("an answer");
    };
    ask(1);
    let (begun, over) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let told = (begun.clone(), over.clone());
    let taker = std::thread::spawn(move || {
        let mut signer = Signer::asking(key(), unix_now());
        fast.send(&query(9, &name("@"), RecordType::AXFR).write(Some(&mut signer))).expect("sent");
        let (mut messages, mut soas) = (0_u32, 0);
        while soas < 2 {
            let octets = fast.receive().expect("a message");
            told.0.store(true, Ordering::SeqCst);
            let answer = lynxtally_dns::codec::Answered::read(&octets).expect("it can be read");
            soas += answer.sections[0].iter().filter(|record| record.kind == RecordType::SOA).count();
            messages += 1;
        }
        told.1.store(true, Ordering::SeqCst);
        messages
    });
    until("it begins", || begun.load(Ordering::SeqCst));
    let mut answers = 0_u16;
    while !over.load(Ordering::SeqCst) {
        ask(2 + answers);
        answers += 1;
    }
    let messages = taker.join().expect("all of it came");
    assert!(
        u32::from(answers) > messages / 80,
        "{answers} answers while {messages} messages of a transfer went out"
    );
    world.leave();
}

#[test]
fn clocks_that_differ_wrong_keys_and_changed_octets_are_refused_by_name() {
    let keys = Keys(vec![key()]);
    let question = query(5, &name("@"), RecordType::SOA).write(Some(&mut Signer::asking(key(), 1_000_000)));
    let check = |octets: &[u8], keys: &Keys, now: u64| {
        let asked = Asked::read(octets).expect("it can be read");
        let signed = asked.signed.expect("it is signed");
        keys.check(octets, &signed, now).map(|_| ()).map_err(|(bad, _)| bad)
    };
    assert_eq!(check(&question, &keys, 1_000_000), Ok(()));
    assert_eq!(check(&question, &keys, 1_000_300), Ok(()));
    assert_eq!(check(&question, &keys, 999_699), Err(BadSignature::Time));
    assert_eq!(check(&question, &keys, 1_000_301), Err(BadSignature::Time));
    assert_eq!(check(&question, &Keys::default(), 1_000_000), Err(BadSignature::Key));
    let mut changed = question.clone();
    changed[14] ^= 1;
    assert_eq!(check(&changed, &keys, 1_000_000), Err(BadSignature::Signature));
    // During a change of keys the old secret and the new one are both right.
    let mut newer = (*key()).clone();
    newer.secret = vec![9; 32];
    let both = Keys(vec![Arc::new(newer), key()]);
    assert_eq!(check(&question, &both, 1_000_000), Ok(()));
    // Over the wire the refusal says which, and an unsigned update is refused too.
    let folder = Folder::new();
    folder.zone(1, "");
    let world = World::start(primary(&folder));
    let mut open = world.client().connect().expect("a connection");
    let late =
        query(6, &name("@"), RecordType::SOA).write(Some(&mut Signer::asking(key(), unix_now() - 4000)));
    open.send(&late).expect("sent");
    let answer = lynxtally_dns::codec::Answered::read(&open.receive().expect("answered")).expect("readable");
    let signed = answer.signed.expect("signed");
    assert_eq!((answer.code, signed.error, signed.other.len(), signed.mac.len()), (9, 18, 6, 32));
    let edits = [add(&name("a"), RecordType::A, &[1; 4])];
    let zone = name("@");
    let bare = Question { opcode: 5, edits: &edits, ..query(8, &zone, RecordType::SOA) };
    open.send(&bare.write(None)).expect("sent");
    let answer = lynxtally_dns::codec::Answered::read(&open.receive().expect("answered")).expect("readable");
    assert_eq!((answer.code, answer.reason.map(|(code, _)| code)), (5, Some(18)));
    world.leave();
}

#[test]
fn a_flood_from_one_prefix_is_answered_with_what_the_others_leave() {
    let folder = Folder::new();
    folder.zone(1, "a A 192.0.2.2\n");
    let mut settings = primary(&folder);
    (settings.limits.prefix_least, settings.limits.prefix_share) = (200.0, 0.25);
    let world = World::start(settings);
    let over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let socket = std::net::UdpSocket::bind("127.9.9.9:0").expect("a socket");
            let octets = query(1, &name("a"), RecordType::A).write(None);
            while !over.load(Ordering::SeqCst) {
                // What finds no room on the way is lost: so it is with floods. Paced, as this build is not fast.
                (0..20).for_each(|_| drop(socket.send_to(&octets, world.at)));
                std::thread::sleep(Duration::from_millis(1));
            }
        });
        let mut resolver =
            Resolver::new("127.1.1.1:0".parse().expect("an address"), world.at).expect("a socket");
        for _ in 0..200 {
            until("it is answered", || {
                resolver.query(&name("a"), RecordType::A).is_ok_and(|answer| answer.code == 0)
            });
        }
        over.store(true, Ordering::SeqCst);
    });
    let line = world.leave();
    assert!(count(&line, "beyond_share") > 50, "{line}");
}

#[test]
fn a_start_that_cannot_succeed_names_the_key() {
    let folder = Folder::new();
    folder.zone(1, "");
    let fault = |change: &dyn Fn(&mut lynxtally_dns::settings::File)| {
        let mut file = primary(&folder);
        change(&mut file);
        file.check().expect_err("it is wrong").to_string()
    };
    assert_eq!(
        fault(&|file| file.listen.clear()),
        "`listen` is empty; an address such as 127.0.0.1:53 is expected"
    );
    assert!(fault(&|file| file.zones[0].updates[0].key = "no".into())
        .starts_with("`zones[0].updates[0].key` is \"no\""));
    assert!(fault(&|file| file.stages.query.limit_ms = 1).starts_with("`stages.query.limit_ms` is 1"));
    assert!(fault(&|file| file.limits.payload = 100).starts_with("`limits.payload` is 100"));
    assert!(fault(&|file| file.zones.push(file.zones[0].clone())).starts_with("`zones[1].apex`"));
    use std::os::unix::fs::PermissionsExt;
    std::fs::set_permissions(primary(&folder).keys[0].clone(), std::fs::Permissions::from_mode(0o644))
        .expect("set");
    let mut open = primary(&folder);
    open.keys[0] = folder.0.join("open");
    std::fs::copy(folder.0.join("keys"), &open.keys[0]).expect("copied");
    std::fs::set_permissions(&open.keys[0], std::fs::Permissions::from_mode(0o644)).expect("set");
    let said = open.check().expect_err("others may read it").to_string();
    assert!(said.starts_with("`keys[0]` is ") && said.contains("mode 644"), "{said}");
}

#[test]
fn names_held_for_a_time_lapse_unless_renewed_and_a_shortened_log_keeps_all() {
    let folder = Folder::new();
    folder.zone(1, "");
    let mut settings = primary(&folder);
    settings.limits.lease_least_s = 1;
    let world = World::start(settings.clone());
    let mut updater = world.updater(1);
    let mut hold = |name: &Name, last: u8, lease: Option<u32>| {
        let octets = updater.signed_update(&[], &[add(name, RecordType::A, &[10, 0, 0, last])], lease);
        let answered = updater.exchange(&octets).expect("answered");
        assert_eq!(answered.code, 0);
        answered.lease
    };
    assert_eq!(hold(&name("pool"), 1, Some(1)), Some(1), "granted as asked");
    assert_eq!(
        hold(&name("pool"), 2, Some(100_000_000)),
        Some(86_400),
        "granted for no longer than is allowed"
    );
    assert_eq!(hold(&name("pool"), 3, None), None);
    let addresses = |world: &World| {
        world.client().ask(&query(1, &name("pool"), RecordType::A)).expect("answered").sections[0].len()
    };
    assert_eq!(addresses(&world), 3);
    // A base whose entry is still on its way to the log must outlast the shortening.
    let coming = folder.write("state/example_org.0123456789abcdef.base", "x");
    assert!(world.say(&Verb::Compact("example.org".into())).contains("true"));
    until("the one that was not renewed is gone", || addresses(&world) == 2);
    until("a snapshot is there", || folder.0.join("state/example_org.2.snap").exists());
    std::thread::sleep(Duration::from_millis(200));
    assert!(coming.exists(), "a base was taken away before its entry came");
    assert_eq!(count(&world.leave(), "lapsed"), 1);
    let world = World::start(settings);
    assert_eq!((addresses(&world), world.serial()), (2, Serial(5)));
    world.leave();
}

#[test]
fn names_of_files_follow_names_of_zones() {
    let folder = Folder::new();
    folder.zone(1, "");
    let settings = primary(&folder).check().expect("they fit");
    assert_eq!(lynxtally_dns::server::journal_name(&settings.zones[0]), "example_org");
    let mut root = settings.zones[0].clone();
    root.apex = Name::root();
    assert_eq!(lynxtally_dns::server::journal_name(&root), "root");
}
