//! A node registers its address by an update while the operators' new zone file is being read. The old file still lists
//! the address, the new one leaves it to the nodes. The accepted update must be seen in every answer after it.

mod common;
mod dns;
use common::*;
use dns::{Key, Step};
use std::fmt::Write as _;
use std::time::{Duration, Instant};

const ZONE: &str = "fleet.example.org.";
const NODE: &str = "track7.fleet.example.org.";
const ADDRESS: [u8; 4] = [127, 0, 0, 7];
/// So many other names that reading the file takes about a second.
const OTHERS: u32 = 400_000;
const PATIENCE: Duration = Duration::from_secs(20);

fn zone_file(serial: u32, lists_node: bool) -> String {
    let mut text = format!(
        "$ORIGIN fleet.example.org.\n$TTL 1h\n@ IN SOA ns1 operators {serial} 1h 10m 2w 1m\n@ IN NS ns1\nns1 IN A 127.0.0.1\n"
    );
    if lists_node {
        text += "track7 60 IN A 127.0.0.7\n";
    }
    for other in 0..OTHERS {
        let _ =
            writeln!(text, "t{other} IN A 127.{}.{}.{}", other >> 16 & 255, other >> 8 & 255, other & 255);
    }
    text
}

fn write_secret(path: &str, text: &str) -> std::io::Result<()> {
    use std::io::Write;
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
    let server = free_address();
    let key = Key { name: "nodes.fleet.example.org.", secret: std::array::from_fn(|n| n as u8 * 7 + 1) };
    let at = |name: &str| case.temp.join(name).display().to_string();
    let settings = format!(
        "{{ listen: ['{server}'], state: '{}', keys: ['{}'],
  zones: [{{ apex: '{ZONE}', file: '{}',
    updates: [{{ key: 'nodes.{ZONE}', below: '{ZONE}', kinds: ['A', 'AAAA', 'SRV', 'TXT'] }}] }}],
  limits: {{ memory_mb: 64, connections: 500, log_mb: 64 }}, stop_ms: 5000, grace_ms: 2500 }}",
        at("state"),
        at("nodes.key"),
        at("fleet.zone")
    );
    let (settings_file, zone_path) = (at("fleet.jsonnet"), at("fleet.zone"));
    let written = std::fs::write(&zone_path, zone_file(1, true))
        .and_then(|()| std::fs::write(&settings_file, settings))
        .and_then(|()| {
            write_secret(
                &at("nodes.key"),
                &format!("hmac-sha256 {} {}\n", key.name, dns::base64(&key.secret)),
            )
        });
    (case, ()) = case.need("the files", written);
    let serve = ["target/release/lynxtally", "names", "serve", "--settings", &settings_file];
    let started = case.start("names", &serve, &[]).map(|_| ());
    (case, ()) =
        case.need("start", started.and_then(|()| wait_for_listener(server, Duration::from_secs(40))));

    let reread = ["target/release/lynxtally", "names", "reread", "--settings", &settings_file, ZONE];
    if case.trouble {
        let written = std::fs::write(&zone_path, zone_file(2, false));
        (case, ()) = case.need("the new file", written);
        let started = case.start("reread", &reread, &[]).map(|_| ());
        (case, ()) = case.need("reread", started);
        std::thread::sleep(Duration::from_millis(200));
    }
    let message = dns::update(1, ZONE, &[Step::Add(NODE, ADDRESS)], &key, unix_ms() / 1000);
    let (next, answer) = case.need("the update", dns::exchange(server, &message, PATIENCE));
    case = next;
    case.note(format!("update: add {NODE} A {ADDRESS:?}: code {}", answer.code));
    let accepted = Instant::now();
    if answer.code != 0 {
        case.end(HELD, "the update was refused, and the node was told so");
    }
    let mut id = 100;
    let mut seen = None;
    while accepted.elapsed() < Duration::from_secs(15) {
        id += 1;
        let (next, answer) =
            case.need("a query", dns::exchange(server, &dns::query(id, NODE, dns::A), PATIENCE));
        case = next;
        if seen.as_ref() != Some(&answer) {
            case.note(format!(
                "query {NODE} A, {} ms after the update: {answer:?}",
                accepted.elapsed().as_millis()
            ));
            seen = Some(answer);
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    if case.trouble {
        let code = case.wait_for_end("reread", Duration::from_secs(1));
        let said = case.log_of("reread");
        case.note(format!("reread: {code:?} {}", said.trim()));
        if code != Some(0) {
            case.end(NOT_RUN, "the file was not read again");
        }
    }
    match seen {
        Some(last) if last.records == [(dns::A, ADDRESS.to_vec())] => {
            case.end(HELD, "all answers after the accepted update reflect it")
        }
        last => {
            case.end(BROKEN, format!("an answer after the accepted update does not reflect it: {last:?}"))
        }
    }
}
