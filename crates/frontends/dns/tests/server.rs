//! Tests of a DNS server on loopback, one for each kind of failure.

mod test_server;

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
use lynxtally_dns::codec::{OutgoingRequest, Request};
use lynxtally_dns::control::Command;
use lynxtally_dns::tsig::{Keys, Signer, TsigError};
use lynxtally_test_doubles::dns::{add, delete_rrset, Resolver};
use lynxtally_zones::secondary::TransferResult;
use lynxtally_zones::{Name, RecordType, Serial};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use test_server::{counter, key, name, primary, secondary, wait_until, zone_text, TempFolder, TestServer};

#[test]
fn an_independent_client_can_query_update_and_transfer() {
    let folder = TempFolder::new();
    folder.zone(
        1,
        "www CNAME a\na A 192.0.2.2\nbig TXT (\n\"0123456789012345678901234567890123456789\"\n\"x\" )\n",
    );
    let mut settings = primary(&folder);
    // Without a cookie the response would be truncated, and the client of `hickory` does not retry over TCP by itself.
    settings.limits.proof = false;
    let server = TestServer::start(settings);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let other = |text: &str| OtherName::from_ascii(text).expect("a name");
    runtime.block_on(async {
        let signer =
            TSigner::new(vec![7; 32], TsigAlgorithm::HmacSha256, other("nodes."), 300).expect("a key");
        let stream = UdpClientStream::builder(server.address, TokioRuntimeProvider::default());
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
        // The client of `hickory` verifies the signature of the response.
        let done = client.create(record.clone(), other("example.org.")).await.expect("answered");
        assert_eq!(u16::from(done.metadata.response_code), 0);
        let again = client.create(record, other("example.org.")).await.expect("answered");
        assert_eq!(u16::from(again.metadata.response_code), 7, "the RRset exists now");
        let (stream, sender) =
            TcpClientStream::new(server.address, None, None, TokioRuntimeProvider::default());
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
    server.shut_down();
}

/// One update of two records that a response returns together: an SRV record, and the address of its target. The port and
/// the address hold the same value, so that a response from two versions is noticed.
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
fn updates_during_queries_and_reloads_are_all_visible_and_no_response_mixes_versions() {
    const UPDATERS: usize = 20;
    const EACH: u16 = 500;
    let folder = TempFolder::new();
    folder.zone(1, "");
    let server = TestServer::start(primary(&folder));
    let done: Arc<Vec<AtomicU64>> = Arc::new((0..UPDATERS).map(|_| AtomicU64::new(0)).collect());
    let over = Arc::new(AtomicBool::new(false));
    let client = server.client();
    let check = |resolver: &mut Resolver, n: usize, least: u64| -> bool {
        let answer = resolver.query(&name(&format!("s{n}")), RecordType::SRV).expect("answered");
        // Without a cookie the UDP response is no longer than the request, so the records are queried over TCP.
        assert!(answer.truncated || answer.sections[0].is_empty());
        let answer =
            client.exchange_tcp(&query(7, &name(&format!("s{n}")), RecordType::SRV)).expect("answered");
        let Some(service) = answer.sections[0].first() else {
            assert_eq!(least, 0, "an accepted update is not visible");
            return false;
        };
        let value = u16::from_be_bytes([service.data[4], service.data[5]]);
        let target = answer.sections[2]
            .iter()
            .find(|record| record.kind == RecordType::A)
            .expect("the additional section has the address");
        assert_eq!(target.data[2..], value.to_be_bytes(), "records of two versions in one response");
        assert!(u64::from(value) >= least, "{value} after {least} was accepted");
        true
    };
    let (mut seen, mut rereads) = (0, 0);
    std::thread::scope(|scope| {
        for n in 0..UPDATERS {
            let (mut updater, done) = (server.updater(n as u16 * 1000), done.clone());
            scope.spawn(move || {
                for value in 1..=EACH {
                    assert_eq!(updater.update(&pair(n, value)).expect("answered"), 0);
                    done[n].store(value.into(), Ordering::SeqCst);
                }
            });
        }
        let resolvers: Vec<_> = (0..2)
            .map(|r| {
                let (mut resolver, done, over) = (server.resolver(), done.clone(), over.clone());
                let check = &check;
                scope.spawn(move || {
                    let mut counter = 0;
                    while !over.load(Ordering::SeqCst) {
                        for n in (r..UPDATERS).step_by(2) {
                            let least = done[n].load(Ordering::SeqCst);
                            counter += u64::from(check(&mut resolver, n, least));
                        }
                    }
                    counter
                })
            })
            .collect();
        for serial in 2.. {
            folder.zone(serial, &format!("static{} A 192.0.2.9\n", serial % 7));
            assert_eq!(server.command(&Command::Reread("example.org".into())), "{\"reread\":true}");
            rereads += 1;
            if done.iter().all(|done| done.load(Ordering::SeqCst) == u64::from(EACH)) {
                break;
            }
        }
        over.store(true, Ordering::SeqCst);
        seen += resolvers
            .into_iter()
            .map(|resolver| resolver.join().expect("the resolver thread does not panic"))
            .sum::<u64>();
    });
    let mut resolver = server.resolver();
    (0..UPDATERS).for_each(|n| assert!(check(&mut resolver, n, EACH.into())));
    let line = server.shut_down();
    println!("10000 updates, {seen} answers checked, {rereads} rereads: {line}");
    assert_eq!(counter(&line, "update"), (UPDATERS * EACH as usize) as u64);
    assert!(seen > 100 && rereads > 3, "{seen} {rereads}");
}

#[test]
fn a_repeated_update_is_executed_once_also_across_a_restart() {
    let folder = TempFolder::new();
    folder.zone(1, "");
    let server = TestServer::start(primary(&folder));
    let mut updater = server.updater(1);
    let need = lynxtally_zones::update::UpdateRecord {
        class: lynxtally_zones::update::UpdateClass::None,
        ttl: 0,
        ..add(&name("a"), RecordType::ANY, &[])
    };
    let octets = updater.signed_update(&[need], &[add(&name("a"), RecordType::A, &[1, 2, 3, 4])], None);
    for _ in 0..3 {
        assert_eq!(updater.exchange(&octets).expect("answered").code, 0);
    }
    assert_eq!(server.serial(), Serial(2));
    assert_eq!(counter(&server.shut_down(), "repeats"), 2);
    let server = TestServer::start(primary(&folder));
    assert_eq!(
        server.updater(1).exchange(&octets).expect("answered").code,
        0,
        "a repeat gets the result of the first update"
    );
    assert_eq!(server.serial(), Serial(2));
    assert_eq!(counter(&server.shut_down(), "repeats"), 1);
}

#[test]
fn a_secondary_uses_incremental_then_full_transfers_and_never_goes_back() {
    let (one, two) = (TempFolder::new(), TempFolder::new());
    one.zone(10, "");
    let mut settings = primary(&one);
    // The change history covers only a few versions.
    settings.limits.history = 6;
    let first = TestServer::start(settings.clone());
    let at = first.address;
    settings.listen = vec![at];
    let follower = TestServer::start(secondary(&two, &[at]));
    wait_until("the secondary has a version", || follower.serial() == Serial(10));
    let mut updater = first.updater(1);
    assert_eq!(updater.update(&[add(&name("a"), RecordType::A, &[1, 2, 3, 4])]).expect("answered"), 0);
    wait_until("the secondary has the new version", || follower.serial() == Serial(11));
    assert_eq!(follower.resolver().query(&name("a"), RecordType::A).expect("answered").code, 0);
    assert_eq!(follower.updater(1).update(&[add(&name("b"), RecordType::A, &[1; 4])]).expect("answered"), 5);
    // While the secondary is down, the primary changes by more than its history holds: a full transfer is needed.
    let transfers = counter(&follower.shut_down(), "read");
    assert!(transfers > 0);
    for n in 0..20 {
        assert_eq!(
            updater.update(&[add(&name(&format!("n{n}")), RecordType::A, &[1; 4])]).expect("answered"),
            0
        );
    }
    let follower = TestServer::start(secondary(&two, &[at]));
    wait_until("the secondary has caught up", || follower.serial() == Serial(31));
    let TransferResult::Full(records) =
        follower.client().transfer(&name("@"), None, 1000, 5).expect("the transfer succeeds")
    else {
        panic!("a full transfer was requested");
    };
    assert_eq!(records.len(), 3 + 21);
    // The primary loses its state and restarts with an older file: the secondary must not go back to it.
    first.shut_down();
    std::fs::remove_dir_all(one.0.join("state")).expect("it is there");
    one.zone(5, "old A 192.0.2.9\n");
    let back = TestServer::start(settings);
    std::thread::sleep(Duration::from_millis(2500));
    assert_eq!((back.serial(), follower.serial()), (Serial(5), Serial(31)));
    assert_eq!(
        follower.resolver().query(&name("n7"), RecordType::A).expect("answered").code,
        0,
        "the secondary keeps its newer version"
    );
    back.shut_down();
    follower.shut_down();
}

#[test]
fn a_notify_refreshes_a_secondary_before_its_refresh_interval() {
    let (one, two) = (TempFolder::new(), TempFolder::new());
    let slow = |serial: u32| zone_text(serial, "").replace(" 1 1 86400 60", " 3600 600 86400 60");
    one.write("zone", &slow(10));
    let mut settings = primary(&one);
    // Reserves a port, so that the primary's settings can name the secondary before it listens.
    let follower_at =
        std::net::UdpSocket::bind((settings.listen[0].ip(), 0)).expect("a port").local_addr().expect("one");
    settings.zones[0].notify = vec![follower_at];
    let first = TestServer::start(settings);
    let mut settings = secondary(&two, &[first.address]);
    settings.listen = vec![follower_at];
    let follower = TestServer::start(settings);
    wait_until("the secondary has a version", || follower.serial() == Serial(10));
    let mut updater = first.updater(1);
    for n in 0..3 {
        assert_eq!(
            updater.update(&[add(&name(&format!("n{n}")), RecordType::A, &[1; 4])]).expect("answered"),
            0
        );
    }
    wait_until("the secondary was notified and refreshed", || follower.serial() == Serial(13));
    assert!(counter(&follower.shut_down(), "notify") >= 1);
    first.shut_down();
}

#[test]
fn a_cookie_received_over_tcp_permits_full_udp_responses() {
    let folder = TempFolder::new();
    folder.zone(1, "a A 192.0.2.2\n");
    let server = TestServer::start(primary(&folder));
    let (client, owner) = (server.client(), name("a"));
    let unsigned_client = lynxtally_dns::client::Client { key: None, ..client };
    let tcp_response = unsigned_client
        .exchange_tcp(&OutgoingRequest { cookie: Some(&[4; 8]), ..query(1, &owner, RecordType::A) })
        .expect("answered");
    let (client_cookie, server_cookie) = tcp_response.cookie.expect("the response has a cookie");
    let full_cookie: Vec<u8> = client_cookie.iter().chain(&server_cookie).copied().collect();
    let ask = |cookie: &[u8]| {
        let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a socket");
        socket.set_read_timeout(Some(Duration::from_secs(20))).expect("set");
        let octets = OutgoingRequest { cookie: Some(cookie), ..query(2, &owner, RecordType::A) }.write(None);
        socket.send_to(&octets, server.address).expect("sent");
        let mut buffer = [0; 1500];
        let length = socket.recv(&mut buffer).expect("answered");
        let response = lynxtally_dns::codec::Response::read(&buffer[..length]).expect("readable");
        (length <= octets.len(), response.truncated, response.sections[0].len())
    };
    assert_eq!(ask(&full_cookie), (false, false, 1));
    let mut wrong = full_cookie.clone();
    wrong[20] ^= 1;
    for unproven in [&wrong[..], &[4; 8]] {
        assert!(ask(unproven).0, "the response is no longer than the request");
    }
    assert_eq!(ask(&[4; 8]), (true, true, 0), "truncated, so that the client retries over TCP");
    server.shut_down();
}

#[test]
fn an_unusable_zone_file_or_a_lower_serial_is_refused_and_the_version_stays() {
    let folder = TempFolder::new();
    folder.zone(7, "a A 192.0.2.2\n");
    let server = TestServer::start(primary(&folder));
    let reread = |text: &str| {
        folder.write("zone", text);
        server.command(&Command::Reread("example.org".into()))
    };
    assert!(reread(&zone_text(6, "")).contains("the file's serial 6 is not newer than 7"));
    assert!(reread("a A 192.0.2.1\n").contains("the zone has no SOA"));
    assert!(reread(&zone_text(8, &"x A y\n".repeat(6))).contains("6 records refused; 5 are allowed"));
    assert_eq!(server.serial(), Serial(7));
    assert_eq!(
        reread(&zone_text(8, "x A y\nb A 192.0.2.3\n")),
        "{\"reread\":true}",
        "one bad record does not prevent the reload"
    );
    wait_until("the reloaded version is in force", || server.serial() == Serial(8));
    assert!(server.command(&Command::Freeze("example.org".into())).contains("true"));
    let mut updater = server.updater(1);
    assert_eq!(updater.update(&[add(&name("c"), RecordType::A, &[1; 4])]).expect("answered"), 2);
    assert!(server.command(&Command::Thaw("example.org".into())).contains("false"));
    assert_eq!(updater.update(&[add(&name("c"), RecordType::A, &[1; 4])]).expect("answered"), 0);
    assert!(server.command(&Command::Freeze("other.org".into())).contains("no such zone"));
    server.shut_down();
}

#[test]
fn a_zone_with_a_damaged_log_is_served_up_to_the_damage_and_refuses_updates() {
    let folder = TempFolder::new();
    folder.zone(1, "");
    let server = TestServer::start(primary(&folder));
    let mut updater = server.updater(1);
    for n in 0..5 {
        assert_eq!(
            updater.update(&[add(&name(&format!("n{n}")), RecordType::A, &[1; 4])]).expect("answered"),
            0
        );
    }
    server.shut_down();
    let log = folder.0.join("state/example_org.1.log");
    let mut octets = std::fs::read(&log).expect("it is there");
    let middle = octets.len() / 2;
    octets[middle] ^= 1;
    std::fs::write(&log, octets).expect("written");
    let server = TestServer::start(primary(&folder));
    assert!(server.serial() > Serial(1) && server.serial() < Serial(6));
    assert!(server.command(&Command::Status).contains("the log failed: example_org.1.log: at octet "));
    assert_eq!(server.updater(1).update(&[add(&name("x"), RecordType::A, &[1; 4])]).expect("answered"), 2);
    server.shut_down();
}

#[test]
fn a_shutdown_during_a_transfer_aborts_it_so_that_it_never_looks_complete() {
    let folder = TempFolder::new();
    let rest: String = (0..100_000).map(|n| format!("h{n} TXT \"{}\"\n", "x".repeat(100))).collect();
    folder.zone(1, &rest);
    let server = TestServer::start(primary(&folder));
    let client = server.client();
    let mut connection = client.connect().expect("a connection");
    let mut signer = Signer::for_request(key(), unix_now());
    connection.send(&query(9, &name("@"), RecordType::AXFR).write(Some(&mut signer))).expect("sent");
    connection.receive().expect("the first message");
    // The client stops reading, and the server is told to stop: it must end before it would be killed.
    let start = Instant::now();
    let line = server.shut_down();
    assert!(start.elapsed() < Duration::from_millis(3500), "{:?}", start.elapsed());
    assert_eq!(counter(&line, "open"), 0, "{line}");
    assert_eq!(counter(&line, "abandoned") + counter(&line, "caller_gone"), 1, "{line}");
    let mut soas = 0;
    while let Ok(octets) = connection.receive() {
        let answer = lynxtally_dns::codec::Response::read(&octets).expect("the message can be parsed");
        soas += answer.sections[0].iter().filter(|record| record.kind == RecordType::SOA).count();
    }
    assert_eq!(soas, 0, "the closing SOA must not be sent");
}

#[test]
fn a_fast_transfer_does_not_delay_other_connections() {
    let folder = TempFolder::new();
    let rest: String = (0..100_000).map(|n| format!("h{n} TXT \"{}\"\n", "x".repeat(100))).collect();
    folder.zone(1, &rest);
    let server = TestServer::start(primary(&folder));
    let (mut fast, mut other) =
        (server.client().connect().expect("one"), server.client().connect().expect("two"));
    let mut ask = |id: u16| {
        other.send(&query(id, &name("@"), RecordType::SOA).write(None)).expect("sent");
        other.receive().expect("an answer");
    };
    ask(1);
    let (begun, over) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let told = (begun.clone(), over.clone());
    let taker = std::thread::spawn(move || {
        let mut signer = Signer::for_request(key(), unix_now());
        fast.send(&query(9, &name("@"), RecordType::AXFR).write(Some(&mut signer))).expect("sent");
        let (mut messages, mut soas) = (0_u32, 0);
        while soas < 2 {
            let octets = fast.receive().expect("a message");
            told.0.store(true, Ordering::SeqCst);
            let answer = lynxtally_dns::codec::Response::read(&octets).expect("it can be read");
            soas += answer.sections[0].iter().filter(|record| record.kind == RecordType::SOA).count();
            messages += 1;
        }
        told.1.store(true, Ordering::SeqCst);
        messages
    });
    wait_until("the transfer has started", || begun.load(Ordering::SeqCst));
    let mut answers = 0_u16;
    while !over.load(Ordering::SeqCst) {
        ask(2 + answers);
        answers += 1;
    }
    let messages = taker.join().expect("the transfer was received completely");
    assert!(
        u32::from(answers) > messages / 80,
        "{answers} answers while {messages} messages of a transfer went out"
    );
    server.shut_down();
}

#[test]
fn tsig_errors_are_reported_for_wrong_clocks_keys_and_content() {
    let keys = Keys(vec![key()]);
    let question =
        query(5, &name("@"), RecordType::SOA).write(Some(&mut Signer::for_request(key(), 1_000_000)));
    let check = |octets: &[u8], keys: &Keys, now: u64| {
        let request = Request::read(octets).expect("it can be read");
        let tsig = request.tsig.expect("it is signed");
        keys.verify(octets, &tsig, now).map(|_| ()).map_err(|(bad, _)| bad)
    };
    assert_eq!(check(&question, &keys, 1_000_000), Ok(()));
    assert_eq!(check(&question, &keys, 1_000_300), Ok(()));
    assert_eq!(check(&question, &keys, 999_699), Err(TsigError::BadTime));
    assert_eq!(check(&question, &keys, 1_000_301), Err(TsigError::BadTime));
    assert_eq!(check(&question, &Keys::default(), 1_000_000), Err(TsigError::BadKey));
    let mut changed = question.clone();
    changed[14] ^= 1;
    assert_eq!(check(&changed, &keys, 1_000_000), Err(TsigError::BadSig));
    // While a key is being replaced, the old and the new secret are both accepted.
    let mut newer = (*key()).clone();
    newer.secret = vec![9; 32];
    let both = Keys(vec![Arc::new(newer), key()]);
    assert_eq!(check(&question, &both, 1_000_000), Ok(()));
    // The response names the TSIG error; an unsigned update is refused too.
    let folder = TempFolder::new();
    folder.zone(1, "");
    let server = TestServer::start(primary(&folder));
    let mut connection = server.client().connect().expect("a connection");
    let late =
        query(6, &name("@"), RecordType::SOA).write(Some(&mut Signer::for_request(key(), unix_now() - 4000)));
    connection.send(&late).expect("sent");
    let answer =
        lynxtally_dns::codec::Response::read(&connection.receive().expect("answered")).expect("readable");
    let tsig = answer.tsig.expect("signed");
    assert_eq!((answer.code, tsig.error, tsig.other_data.len(), tsig.mac.len()), (9, 18, 6, 32));
    let updates = [add(&name("a"), RecordType::A, &[1; 4])];
    let zone = name("@");
    let unsigned_update =
        OutgoingRequest { opcode: 5, updates: &updates, ..query(8, &zone, RecordType::SOA) };
    connection.send(&unsigned_update.write(None)).expect("sent");
    let answer =
        lynxtally_dns::codec::Response::read(&connection.receive().expect("answered")).expect("readable");
    assert_eq!((answer.code, answer.reason.map(|(code, _)| code)), (5, Some(18)));
    server.shut_down();
}

#[test]
fn a_flood_from_one_prefix_does_not_keep_others_from_being_answered() {
    let folder = TempFolder::new();
    folder.zone(1, "a A 192.0.2.2\n");
    let mut settings = primary(&folder);
    (settings.limits.prefix_least, settings.limits.prefix_share) = (200.0, 0.25);
    let server = TestServer::start(settings);
    /// Ends the flood when the test ends, also by a failed assertion: the scope below waits for the flood's thread.
    struct EndOfFlood<'a>(&'a AtomicBool);
    impl Drop for EndOfFlood<'_> {
        fn drop(&mut self) {
            self.0.store(true, Ordering::SeqCst);
        }
    }
    let over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let _end_of_flood = EndOfFlood(&over);
        scope.spawn(|| {
            let socket = std::net::UdpSocket::bind("127.9.9.9:0").expect("a socket");
            let octets = query(1, &name("a"), RecordType::A).write(None);
            while !over.load(Ordering::SeqCst) {
                // Datagrams that don't fit into the buffers are lost. The pause keeps the flood within what a debug build reads.
                (0..20).for_each(|_| drop(socket.send_to(&octets, server.address)));
                std::thread::sleep(Duration::from_millis(1));
            }
        });
        let mut resolver =
            Resolver::new("127.1.1.1:0".parse().expect("an address"), server.address).expect("a socket");
        // The flood fills the socket's buffer, so the kernel may drop a query: it is repeated, as a resolver does.
        resolver.set_response_timeout(Duration::from_millis(500)).expect("a read timeout");
        for _ in 0..200 {
            wait_until("the query is answered", || {
                resolver.query(&name("a"), RecordType::A).is_ok_and(|answer| answer.code == 0)
            });
        }
    });
    let line = server.shut_down();
    assert!(counter(&line, "beyond_share") > 50, "{line}");
}

#[test]
fn an_invalid_setting_is_named_in_the_error() {
    let folder = TempFolder::new();
    folder.zone(1, "");
    let fault = |change: &dyn Fn(&mut lynxtally_dns::settings::RawSettings)| {
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
    let mut settings = primary(&folder);
    settings.keys[0] = folder.0.join("open");
    std::fs::copy(folder.0.join("keys"), &settings.keys[0]).expect("copied");
    std::fs::set_permissions(&settings.keys[0], std::fs::Permissions::from_mode(0o644)).expect("set");
    let error = settings.check().expect_err("others may read it").to_string();
    assert!(error.starts_with("`keys[0]` is ") && error.contains("mode 644"), "{error}");
}

#[test]
fn leased_records_expire_unless_renewed_and_a_snapshot_keeps_all_state() {
    let folder = TempFolder::new();
    folder.zone(1, "");
    let mut settings = primary(&folder);
    settings.limits.lease_least_s = 1;
    let server = TestServer::start(settings.clone());
    let mut updater = server.updater(1);
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
    let addresses = |server: &TestServer| {
        server.client().exchange_tcp(&query(1, &name("pool"), RecordType::A)).expect("answered").sections[0]
            .len()
    };
    assert_eq!(addresses(&server), 3);
    // A recent base file whose log entry is not written yet must survive the snapshot.
    let coming = folder.write("state/example_org.0123456789abcdef.base", "x");
    assert!(server.command(&Command::Compact("example.org".into())).contains("true"));
    wait_until("the record whose lease was not renewed is removed", || addresses(&server) == 2);
    wait_until("the snapshot is written", || folder.0.join("state/example_org.2.snap").exists());
    std::thread::sleep(Duration::from_millis(200));
    assert!(coming.exists(), "a base file was deleted before its log entry was written");
    assert_eq!(counter(&server.shut_down(), "lapsed"), 1);
    let server = TestServer::start(settings);
    assert_eq!((addresses(&server), server.serial()), (2, Serial(5)));
    server.shut_down();
}

#[test]
fn journal_names_are_derived_from_zone_names() {
    let folder = TempFolder::new();
    folder.zone(1, "");
    let settings = primary(&folder).check().expect("they fit");
    assert_eq!(lynxtally_dns::server::journal_name(&settings.zones[0]), "example_org");
    let mut root = settings.zones[0].clone();
    root.apex = Name::root();
    assert_eq!(lynxtally_dns::server::journal_name(&root), "root");
}
