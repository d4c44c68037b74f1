//! A new secondary fetches its zone from a primary that is reached by two paths. The first path is slow for a while, so
//! the first transfer outlasts its time and the secondary takes the zone over the second path. In between a node has
//! registered its address. What the secondary has once answered must not be followed by an older answer.

mod common;
mod dns;
use common::*;
use dns::{Key, Step};
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

const ZONE: &str = "fleet.example.org.";
const NODE: &str = "track7.fleet.example.org.";
const ADDRESS: [u8; 4] = [127, 0, 0, 7];
const PATIENCE: Duration = Duration::from_secs(10);
/// What the first path carries in a second.
const RATE: f64 = 100_000.0;
/// On the pages a part of the machines runs 2.2 to 9.8 times slower for 11 to 35 s.
const SLOWER: f64 = 9.5;
const SLOW_FOR: Duration = Duration::from_secs(35);
/// Names of the zone: what they take goes over the first path in about 7 s.
const NAMES: u32 = 17_000;

/// Passes TCP connections on, and holds back what comes from the server to what the path carries.
fn path(
    server: SocketAddr,
    limited: bool,
    slow_until: Instant,
    recorder: Recorder,
    name: &'static str,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    std::thread::spawn(move || {
        for client in listener.incoming().map_while(Result::ok) {
            let Ok(upstream) = TcpStream::connect(server) else { continue };
            let (Ok(mut from), Ok(mut to)) = (client.try_clone(), upstream.try_clone()) else { continue };
            std::thread::spawn(move || {
                let _ = std::io::copy(&mut from, &mut to);
                let _ = to.shutdown(Shutdown::Write);
            });
            let recorder = recorder.clone();
            std::thread::spawn(move || {
                let (mut upstream, mut client, mut sum) = (upstream, client, 0);
                let mut octets = [0; 1024];
                while let Ok(count @ 1..) = upstream.read(&mut octets) {
                    if limited {
                        let rate = if Instant::now() < slow_until { RATE / SLOWER } else { RATE };
                        std::thread::sleep(Duration::from_secs_f64(count as f64 / rate));
                    }
                    if client.write_all(&octets[..count]).is_err() {
                        break;
                    }
                    sum += count;
                }
                let _ = client.shutdown(Shutdown::Both);
                recorder.note(format!("{name} path: a connection ended after {sum} octets from the primary"));
            });
        }
    });
    address
}

fn write_secret(path: &str, text: &str) -> std::io::Result<()> {
    use std::os::unix::fs::OpenOptionsExt;
    std::fs::OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(true)
        .mode(0o600)
        .open(path)?
        .write_all(text.as_bytes())
}

fn main() {
    let mut case = Case::new();
    let (primary, secondary) = (free_address(), free_address());
    let key = Key { name: "nodes.fleet.example.org.", secret: std::array::from_fn(|n| n as u8 * 7 + 1) };
    let at = |name: &str| case.temp.join(name).display().to_string();
    let mut zone =
        "$ORIGIN fleet.example.org.\n$TTL 1h\n@ IN SOA ns1 operators 1 1h 10m 2w 1m\n@ IN NS ns1\nns1 IN A 127.0.0.1\n".to_owned();
    for other in 0..NAMES {
        let _ =
            writeln!(zone, "t{other} IN A 127.{}.{}.{}", other >> 16 & 255, other >> 8 & 255, other & 255);
    }
    let primary_settings = format!(
        "{{ listen: ['{primary}'], state: '{}', keys: ['{}'],
  zones: [{{ apex: '{ZONE}', file: '{}', transfer: {{ anyone: true }}, notify: ['{secondary}'],
    updates: [{{ key: 'nodes.{ZONE}', below: '{ZONE}', kinds: ['A', 'AAAA', 'SRV', 'TXT'] }}] }}],
  limits: {{ memory_mb: 64, connections: 500, log_mb: 64 }}, stop_ms: 5000, grace_ms: 2500 }}",
        at("primary"),
        at("nodes.key"),
        at("fleet.zone")
    );
    let (primary_file, secondary_file) = (at("primary.jsonnet"), at("secondary.jsonnet"));
    let secondary_state = at("secondary");
    let written = std::fs::write(at("fleet.zone"), zone)
        .and_then(|()| std::fs::write(&primary_file, primary_settings))
        .and_then(|()| {
            write_secret(
                &at("nodes.key"),
                &format!("hmac-sha256 {} {}\n", key.name, dns::base64(&key.secret)),
            )
        });
    (case, ()) = case.need("the files", written);
    let serve = ["target/release/lynxtally", "names", "serve", "--settings", &primary_file];
    let started = case.start("primary", &serve, &[]).map(|_| ());
    (case, ()) =
        case.need("start", started.and_then(|()| wait_for_listener(primary, Duration::from_secs(20))));

    let begin = Instant::now();
    let slow_until = if case.trouble { begin + SLOW_FOR } else { begin };
    let first = path(primary, true, slow_until, case.recorder(), "first");
    let second = path(primary, false, slow_until, case.recorder(), "second");
    let secondary_settings = format!(
        "{{ listen: ['{secondary}'], state: '{secondary_state}',
  zones: [{{ apex: '{ZONE}', primaries: ['{first}', '{second}'] }}],
  limits: {{ memory_mb: 64, connections: 500, log_mb: 64 }}, stop_ms: 5000, grace_ms: 2500 }}"
    );
    let written = std::fs::write(&secondary_file, secondary_settings);
    (case, ()) = case.need("the files", written);
    let serve = ["target/release/lynxtally", "names", "serve", "--settings", &secondary_file];
    let started = case.start("secondary", &serve, &[]).map(|_| ());
    (case, ()) =
        case.need("start", started.and_then(|()| wait_for_listener(secondary, Duration::from_secs(20))));

    std::thread::sleep(Duration::from_secs(10));
    let message = dns::update(1, ZONE, &[Step::Add(NODE, ADDRESS)], &key, unix_ms() / 1000);
    let (next, answer) = case.need("the update", dns::exchange(primary, &message, PATIENCE));
    case = next;
    case.note(format!("update at the primary: add {NODE} A {ADDRESS:?}: code {}", answer.code));
    if answer.code != 0 {
        case.end(NOT_RUN, "the update was not taken");
    }
    // The secondary may be behind, but what it has answered once it must not take back.
    let (mut id, mut seen, mut reflected, mut taken_back) = (100, None, None, None);
    while begin.elapsed() < Duration::from_secs(60) {
        id += 1;
        let (next, answer) =
            case.need("a query", dns::exchange(secondary, &dns::query(id, NODE, dns::A), PATIENCE));
        case = next;
        if seen.as_ref() != Some(&answer) {
            let (next, soa) =
                case.need("a query", dns::exchange(secondary, &dns::query(9, ZONE, dns::SOA), PATIENCE));
            case = next;
            let serial = soa
                .records
                .first()
                .and_then(|(_, data)| data.get(data.len() - 20..data.len() - 16))
                .map(|octets| octets.iter().fold(0_u32, |serial, octet| serial << 8 | u32::from(*octet)));
            case.note(format!("secondary, query {NODE} A: {answer:?}, serial {serial:?}"));
            let has_it = answer.records == [(dns::A, ADDRESS.to_vec())];
            if has_it {
                reflected = reflected.or(Some(begin.elapsed()));
            } else if reflected.is_some() {
                taken_back = taken_back.or(Some(begin.elapsed()));
            }
            seen = Some(answer);
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    match (reflected, taken_back) {
        (None, _) => case.end(NOT_RUN, "the secondary never had the update"),
        (Some(_), None) => case.end(HELD, "the secondary did not go back to an older version"),
        (Some(had), Some(back)) => case.end(
            BROKEN,
            format!("the secondary answered with the accepted update after {had:?} and without it again after {back:?}"),
        ),
    }
}
