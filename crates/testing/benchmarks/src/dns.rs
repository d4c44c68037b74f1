//! Benchmarks of the DNS server. For comparison, the same run measures simple alternatives: standard maps instead of the trie,
//! and a plain queue instead of the scheduling policy.

use hdrhistogram::Histogram;
use lynxtally::Pcg;
use lynxtally_baselines::PlainQueue;
use lynxtally_dns::client::{query, Client};
use lynxtally_dns::codec::{write_response, Request, ResponseCode, ResponseContent, ResponseLimits};
use lynxtally_dns::control::{self, Command};
use lynxtally_dns::server::{self, RunningServer, ServerEvent};
use lynxtally_dns::settings::{
    CheckedSettings, ClassesSettings, Limits, RawGrant, RawSettings, RawZoneSettings, TransferAccess,
};
use lynxtally_dns::tsig::{Algorithm, Key};
use lynxtally_dns::udp;
use lynxtally_engine::Scheduler;
use lynxtally_test_doubles::dns::{add, delete_rrset, Updater};
use lynxtally_zones::lookup::lookup;
use lynxtally_zones::rate_limit::CountMinSketch;
use lynxtally_zones::zone_file;
use lynxtally_zones::{Name, RecordType, Zone};
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::hint::black_box;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A response later than this counts as failed. Equals the default latency objective of a query.
const RESPONSE_DEADLINE: Duration = Duration::from_millis(200);

fn apex() -> Name {
    "example.org".parse().expect("the name is valid")
}

fn host_name(n: usize) -> Name {
    format!("track{n}.room{}.example.org", n % 97).parse().expect("the name is valid")
}

/// A zone file with this many address records.
fn zone_text(records: usize) -> String {
    let mut text = "$TTL 300\n@ SOA ns host 1 3600 600 86400 60\n@ NS ns\nns A 192.0.2.1\n".to_owned();
    for n in 0..records {
        let _ = writeln!(text, "track{n}.room{} A 10.{}.{}.{}", n % 97, n >> 16 & 255, n >> 8 & 255, n & 255);
    }
    text
}

fn parse_zone(text: &str) -> Zone {
    let parsed = zone_file::read(
        "z",
        text.as_bytes(),
        Some(&apex()),
        zone_file::ZoneFileLimits::default(),
        &mut |_| Err("none".into()),
    );
    assert!(parsed.faults.is_empty() && parsed.unusable.is_none());
    parsed.zone
}

/// Resident memory of this process in bytes, for pages of 4 KB.
fn resident_bytes() -> f64 {
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    pages.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok()).unwrap_or(0.0) * 4096.0
}

/// Mean nanoseconds per call of `work` over `count` calls.
fn mean_nanos<R>(count: usize, mut work: impl FnMut(usize) -> R) -> f64 {
    let start = Instant::now();
    (0..count).for_each(|n| {
        black_box(work(n));
    });
    start.elapsed().as_secs_f64() * 1e9 / count as f64
}

/// Draws `count` host names at random, so that CPU caches rarely hold the data of the next lookup.
fn random_names(records: usize, count: usize) -> Vec<Name> {
    let mut random = Pcg::new(3);
    (0..count).map(|_| host_name((random.unit() * records as f64) as usize)).collect()
}

/// Measures one data structure of one size and returns a row of the table. Runs in a process of its own, because memory that
/// another structure freed would distort the growth of resident memory.
pub fn measure_structure(structure: &str, size: usize) -> String {
    let names: Vec<Name> = (0..size).map(host_name).collect();
    let queried = random_names(size, 200_000);
    let record = |name: &Name| lynxtally_zones::Record {
        name: name.clone(),
        kind: RecordType::A,
        ttl: 300,
        data: vec![10, 0, 0, 1],
    };
    let map_value = || vec![(RecordType::A, 300, vec![vec![10_u8, 0, 0, 1]])];
    // Each change copies the whole map, so larger maps get fewer changes.
    let map_changes = (2_000_000 / size).max(2);
    let before = resident_bytes();
    let (build, lookup, change, memory) = match structure {
        "trie" => {
            let mut zone = Zone::new(apex());
            let build = mean_nanos(size, |n| zone.add(&record(&names[n])));
            let memory = resident_bytes() - before;
            let lookup = mean_nanos(queried.len(), |n| zone.node(queried[n].wire()).is_some());
            let change = mean_nanos(20_000, |n| {
                let mut next = zone.clone();
                let data = vec![10, 1, (n >> 8) as u8, n as u8];
                let outcome = next.add(&lynxtally_zones::Record { data, ..record(&queried[n]) });
                (next, outcome)
            });
            (build, lookup, change, memory)
        }
        "BTreeMap" => {
            let mut map = BTreeMap::new();
            let build = mean_nanos(size, |n| map.insert(names[n].clone(), map_value()));
            let memory = resident_bytes() - before;
            let lookup = mean_nanos(queried.len(), |n| map.contains_key(&queried[n]));
            let change = mean_nanos(map_changes, |n| {
                let mut next = map.clone();
                next.insert(queried[n].clone(), Vec::new());
                next
            });
            (build, lookup, change, memory)
        }
        _ => {
            let mut map = HashMap::new();
            let build = mean_nanos(size, |n| map.insert(names[n].clone(), map_value()));
            let memory = resident_bytes() - before;
            let lookup = mean_nanos(queried.len(), |n| map.contains_key(&queried[n]));
            let change = mean_nanos(map_changes, |n| {
                let mut next = map.clone();
                next.insert(queried[n].clone(), Vec::new());
                next
            });
            (build, lookup, change, memory)
        }
    };
    let memory = memory / size as f64;
    format!("| {size} | {structure} | {build:.0} | {memory:.0} | {lookup:.0} | {change:.0} |")
}

/// Measures each structure at sizes from 10,000 to `largest` names, each in a child process.
fn measure_structures(out: &mut String, largest: usize) -> io::Result<()> {
    let _ = writeln!(out, "\n## The trie of shared versions against plain maps\n");
    let _ = writeln!(out, "Lookups of names at random by the whole name, in process on one core; a change is one address put in, with the version\nbefore it kept. Each row is a process of its own; memory is what the process grew by.\n");
    let _ = writeln!(out, "| names | structure | build, ns a name | memory, octets a name | lookup, ns | a change, the version before kept, ns |");
    let _ = writeln!(out, "| --- | --- | --- | --- | --- | --- |");
    let mut size = 10_000;
    while size <= largest {
        for structure in ["trie", "BTreeMap", "HashMap"] {
            let row = std::process::Command::new(std::env::current_exe()?)
                .args(["structure", structure, &size.to_string()])
                .output()?;
            out.push_str(&String::from_utf8_lossy(&row.stdout));
        }
        size *= 10;
    }
    Ok(())
}

/// An executor whose runs end as soon as they start; it holds the requests that were started.
#[derive(Default)]
struct ImmediateExecutor(Vec<lynxtally::RequestId>);

impl lynxtally_engine::Executor<()> for ImmediateExecutor {
    fn start(&mut self, request: lynxtally::RequestId, _: &mut ()) {
        self.0.push(request);
    }
    fn stop(&mut self, _: lynxtally::RequestId, _: &mut ()) {}
    fn start_call(&mut self, _: lynxtally::RequestId, _: &mut (), _: u64, _: lynxtally::Span) -> bool {
        true
    }
    fn cancel_call(&mut self, _: &mut (), _: u64) {}
}

/// A responder that discards all responses.
struct DiscardingResponder;

impl lynxtally_engine::Responder<()> for DiscardingResponder {
    fn respond(&mut self, (): (), _: lynxtally_engine::FinalResponse) -> bool {
        true
    }
}

/// Nanoseconds that the engine and the scheduling policy take per request when requests arrive in batches of this size.
fn decision_nanos<P: Scheduler>(policy: P, batch: usize) -> f64 {
    let (mut executor, mut responder) = (ImmediateExecutor::default(), DiscardingResponder);
    let mut engine: lynxtally_engine::Engine<P, (), (), u8> = lynxtally_engine::Engine::new(0);
    let mut micros = 1_000_000_u64;
    engine.start(lynxtally::Instant::from_micros(micros), policy);
    let batches = 400_000 / batch;
    let batch_nanos = mean_nanos(batches, |_| {
        let now = lynxtally::Instant::from_micros(micros);
        for _ in 0..batch {
            let request = lynxtally_engine::IncomingRequest {
                memory_kb: 0.6,
                caller: 3,
                ..lynxtally_engine::IncomingRequest::default()
            };
            let _ = engine.submit(now, None, request, (), ());
        }
        while engine.expire_timers(now, &mut executor).is_some() {}
        loop {
            let now = lynxtally::Instant::from_micros(micros);
            engine.decide(now, &mut executor, &mut responder);
            if executor.0.is_empty() {
                break;
            }
            micros += 3 * executor.0.len() as u64;
            let now = lynxtally::Instant::from_micros(micros);
            for request in std::mem::take(&mut executor.0) {
                engine.run_ended(
                    now,
                    request,
                    lynxtally_engine::RunEnd::Completed(Vec::new()),
                    &mut executor,
                    &mut responder,
                );
            }
        }
    });
    assert!(
        engine.counts().is_consistent() && engine.counts().in_flight == 0 && engine.counts().rejected == 0,
        "{:?}",
        engine.counts()
    );
    batch_nanos / batch as f64
}

/// Measures the time per scheduling decision by the size of the batch in which requests arrive.
pub fn measure_decisions(out: &mut String) -> io::Result<()> {
    let _ = writeln!(out, "\n## What a decision takes, in process\n");
    let _ = writeln!(out, "| tasks that come at once | host and module, ns a task | host alone, ns a task |");
    let _ = writeln!(out, "| --- | --- | --- |");
    let server = TestServer::start(&zone_text(10), server::new_policy)?;
    for batch in [1, 8, 32, 64, 256] {
        let with_policy = decision_nanos(
            server::new_policy(&server.settings, lynxtally::Instant::from_micros(1_000_000)),
            batch,
        );
        let engine_alone = decision_nanos(PlainQueue::unlimited(), batch);
        let _ = writeln!(out, "| {batch} | {with_policy:.0} | {engine_alone:.0} |");
    }
    server.shut_down()?;
    Ok(())
}

/// Measures lookups and the handling of complete messages without a network.
fn measure_in_process(out: &mut String, zone: &Zone, text: &str, parse_seconds: f64) {
    // The SOA, NS and name server address records are not host records.
    let records = zone.record_count() - 3;
    let names = random_names(records, 200_000);
    let queries: Vec<Vec<u8>> = names.iter().map(|name| query(7, name, RecordType::A).write(None)).collect();
    let lookup_nanos = mean_nanos(names.len(), |n| lookup(zone, names[n].wire(), RecordType::A).answer.len());
    let message_nanos = mean_nanos(names.len(), |n| {
        let request = Request::read(&queries[n]).expect("readable");
        let found = lookup(zone, request.name.wire(), request.kind);
        let reply = ResponseContent {
            code: Some(ResponseCode::NOERROR),
            authoritative: true,
            answer: &found.answer,
            ..ResponseContent::default()
        };
        write_response(&request, &reply, ResponseLimits { max_bytes: 1232, udp_payload_bytes: 1232 }, None)
    });
    let _ = writeln!(out, "\n## In process, one core, {records} names\n");
    let _ = writeln!(out, "| what | figure |\n| --- | --- |");
    let _ = writeln!(
        out,
        "| a zone file of {} MB read | {:.2} s, {:.0} ns a record |",
        text.len() >> 20,
        parse_seconds,
        parse_seconds * 1e9 / records as f64
    );
    let _ = writeln!(out, "| lookups a second | {:.0} |", 1e9 / lookup_nanos);
    let _ = writeln!(out, "| messages read, looked up and written a second | {:.0} |", 1e9 / message_nanos);
}

/// Compares the count-min sketch of the rate limiter with exact counts in a map.
fn measure_sketch(out: &mut String) {
    let (mut random, now) = (Pcg::new(9), lynxtally::Instant::from_micros(1));
    // The cube of a uniform number makes low prefixes far more frequent.
    let prefixes: Vec<u64> = (0..1_000_000).map(|_| (random.unit().powi(3) * 200_000.0) as u64).collect();
    let mut sketch = CountMinSketch::new(1 << 12, lynxtally::Span::from_millis(500), 5, now);
    let sketch_nanos = mean_nanos(prefixes.len(), |n| sketch.add(now, prefixes[n]));
    let mut map: HashMap<u64, f64> = HashMap::new();
    let map_nanos = mean_nanos(prefixes.len(), |n| {
        *map.entry(prefixes[n]).and_modify(|count| *count += 1.0).or_insert(1.0)
    });
    let overcounts: Vec<f64> = map.iter().map(|(prefix, count)| sketch.count(now, *prefix) - count).collect();
    let mean = overcounts.iter().sum::<f64>() / overcounts.len() as f64;
    let worst = overcounts.iter().fold(0.0, |a, b| f64::max(a, *b));
    let _ = writeln!(out, "\n## Counts by prefix: sketch against a map\n");
    let _ = writeln!(out, "One million questions from {} prefixes, a few of which ask much.\n", map.len());
    let _ = writeln!(
        out,
        "| structure | memory, KB | ns a question | counted too much: mean, worst (of 1,000,000) |"
    );
    let _ = writeln!(out, "| --- | --- | --- | --- |");
    let _ = writeln!(
        out,
        "| sketch, 4 rows of 4,096 | {} | {sketch_nanos:.0} | {mean:.0}, {worst:.0} |",
        sketch.memory_bytes() / 1024
    );
    let _ = writeln!(
        out,
        "| HashMap (grows with the askers) | {} | {map_nanos:.0} | 0, 0 |",
        // Each slot of a HashMap takes 16 bytes for key and count and one control byte.
        map.capacity() * 17 / 1024
    );
}

/// The key of the key file that [`TestServer::start`] writes.
fn update_key() -> Arc<Key> {
    Arc::new(Key {
        name: "nodes.".parse().expect("the name is valid"),
        algorithm: Algorithm::Sha256,
        secret: vec![7; 32],
    })
}

/// A DNS server in this process, with its files in a temporary folder.
struct TestServer {
    folder: PathBuf,
    settings: CheckedSettings,
    running: RunningServer,
}

impl TestServer {
    fn start<P: Scheduler + Send + 'static>(
        text: &str,
        new_policy: impl FnOnce(&CheckedSettings, lynxtally::Instant) -> P,
    ) -> io::Result<Self> {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("lynxtally-benchmarks-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        std::fs::write(folder.join("zone"), text)?;
        let keys = folder.join("keys");
        std::fs::write(&keys, "hmac-sha256 nodes BwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwc=\n")?;
        std::fs::set_permissions(&keys, std::fs::Permissions::from_mode(0o600))?;
        let grant = RawGrant {
            key: "nodes".into(),
            name: None,
            tree: Some("example.org".into()),
            below: None,
            kinds: vec![],
        };
        let file = RawSettings {
            listen: vec![([127, 78, 0, number as u8 + 1], 0).into()],
            state: folder.join("state"),
            zones: vec![RawZoneSettings {
                apex: "example.org".into(),
                file: Some(folder.join("zone")),
                primaries: vec![],
                key: None,
                notify: vec![],
                transfer: TransferAccess { keys: vec![], anyone: true },
                updates: vec![grant],
                refused_most: 0,
            }],
            keys: vec![keys],
            cookie_secret: None,
            stages: ClassesSettings::default(),
            // All load comes from a few addresses of this machine, so one prefix may
            // use the whole rate, and clients need not prove their address.
            limits: Limits { prefix_share: 1.0, proof: false, ..Limits::default() },
            stop_ms: 3000,
            grace_ms: 1000,
        };
        let settings = file.check().map_err(io::Error::other)?;
        let running = server::start(settings.clone(), new_policy).map_err(io::Error::other)?;
        Ok(Self { folder, settings, running })
    }

    fn address(&self) -> SocketAddr {
        self.running.addresses[0]
    }

    /// Stops the server, checks that each request got one response, and returns the counters.
    fn shut_down(self) -> io::Result<String> {
        self.running.events.push(ServerEvent::Shutdown);
        let ended = self.running.exit.recv_timeout(Duration::from_secs(20)).map_err(io::Error::other)?;
        assert!(ended.counts_consistent, "{}", ended.counters);
        std::fs::remove_dir_all(&self.folder)?;
        Ok(ended.counters)
    }
}

/// The result of a load generator.
#[derive(Default)]
struct LoadResult {
    sent: u64,
    /// Queries that were answered without error within [`RESPONSE_DEADLINE`].
    succeeded: u64,
    /// Queries with an error or a late response.
    failed: u64,
    seconds: f64,
    /// Queries that were due but not sent, because the generator or the socket was too slow.
    unsent: f64,
    /// Response times of the successful queries, in microseconds.
    response_times: Option<Histogram<u64>>,
}

impl LoadResult {
    fn rate(&self, count: u64) -> f64 {
        count as f64 / self.seconds
    }
}

/// Sends queries from one socket at a fixed rate, whether or not they are answered (open loop). With rate 0, keeps a window of
/// queries outstanding instead (closed loop).
fn generate_load(
    address: SocketAddr,
    names: &[Name],
    rate: f64,
    duration: Duration,
    stop: &AtomicBool,
) -> io::Result<LoadResult> {
    const WINDOW: usize = 256;
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    socket.set_nonblocking(true)?;
    let queries: Vec<Vec<u8>> = names.iter().map(|name| query(0, name, RecordType::A).write(None)).collect();
    // The send time of each outstanding query, by message id.
    let mut sent_at: Vec<Option<Instant>> = vec![None; 1 << 16];
    let (mut buffers, mut result) = (udp::ReceiveBuffers::default(), LoadResult::default());
    let mut response_times = Histogram::<u64>::new_with_bounds(1, 10_000_000, 3).map_err(io::Error::other)?;
    let (start, mut id, mut outstanding) = (Instant::now(), 0_u16, 0_usize);
    while start.elapsed() < duration && !stop.load(Ordering::Relaxed) {
        let due = match rate > 0.0 {
            true => {
                ((start.elapsed().as_secs_f64() * rate) as u64).saturating_sub(result.sent).min(64) as usize
            }
            false => WINDOW.saturating_sub(outstanding).min(32),
        };
        let batch: Vec<(SocketAddr, Vec<u8>)> = (0..due)
            .map(|n| {
                let id = id.wrapping_add(n as u16);
                let mut message = queries[(result.sent as usize + n) % queries.len()].clone();
                message[..2].copy_from_slice(&id.to_be_bytes());
                (address, message)
            })
            .collect();
        let sent = udp::send(&socket, &batch);
        let now = Instant::now();
        for n in 0..sent {
            outstanding +=
                usize::from(sent_at[usize::from(id.wrapping_add(n as u16))].replace(now).is_none());
        }
        id = id.wrapping_add(sent as u16);
        result.sent += sent as u64;
        let mut more = true;
        while more {
            more = buffers.receive(&socket, |_, message, _| {
                let Some(message) = message else { return };
                let id = u16::from_be_bytes([message[0], message[1]]);
                let Some(sent_at) = sent_at[usize::from(id)].take() else { return };
                outstanding -= 1;
                let elapsed = sent_at.elapsed();
                // The low four bits of the fourth header byte are the response code.
                if message[3] & 0xf == 0 && elapsed <= RESPONSE_DEADLINE {
                    result.succeeded += 1;
                    response_times.saturating_record(elapsed.as_micros() as u64);
                } else {
                    result.failed += 1;
                }
            })?;
        }
        if rate == 0.0 && outstanding >= WINDOW {
            // Lost queries would fill the window and stop the generator, so they leave the window after the deadline.
            let is_overdue = |sent_at: &Instant| sent_at.elapsed() > RESPONSE_DEADLINE;
            for sent_at in sent_at.iter_mut().filter(|sent_at| sent_at.as_ref().is_some_and(is_overdue)) {
                *sent_at = None;
                outstanding -= 1;
            }
        }
    }
    result.seconds = start.elapsed().as_secs_f64();
    result.unsent = (rate * result.seconds - result.sent as f64).max(0.0);
    result.response_times = Some(response_times);
    Ok(result)
}

/// Generates load from several threads and sums their results.
fn generate_parallel_load(
    address: SocketAddr,
    names: &[Name],
    rate: f64,
    threads: usize,
    duration: Duration,
) -> io::Result<LoadResult> {
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let generators: Vec<_> = (0..threads)
            .map(|n| {
                let names = &names[n * names.len() / threads..(n + 1) * names.len() / threads];
                let stop = &stop;
                scope.spawn(move || generate_load(address, names, rate / threads as f64, duration, stop))
            })
            .collect();
        let mut sum = LoadResult::default();
        for generator in generators {
            let part =
                generator.join().map_err(|_| io::Error::other("a load generator thread panicked"))??;
            (sum.sent, sum.succeeded, sum.failed) =
                (sum.sent + part.sent, sum.succeeded + part.succeeded, sum.failed + part.failed);
            (sum.seconds, sum.unsent) = (sum.seconds.max(part.seconds), sum.unsent + part.unsent);
            match (&mut sum.response_times, part.response_times) {
                (Some(total), Some(response_times)) => total.add(response_times).map_err(io::Error::other)?,
                (total, response_times) => *total = response_times,
            }
        }
        Ok(sum)
    })
}

/// CPU time of the server's thread so far, in nanoseconds. The thread is found by its name.
fn server_thread_cpu_nanos() -> u64 {
    let threads = std::fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
    let server_threads = threads.filter(|thread| {
        std::fs::read_to_string(thread.path().join("comm")).is_ok_and(|name| name.trim() == "names")
    });
    let cpu_nanos = |text: String| text.split(' ').next().and_then(|ns| ns.parse::<u64>().ok());
    server_threads
        .filter_map(|thread| cpu_nanos(std::fs::read_to_string(thread.path().join("schedstat")).ok()?))
        .sum()
}

/// Measures the CPU cost of the scheduling policy per response, and returns the median of responses per second with the policy.
fn measure_policy_cost(out: &mut String, text: &str, names: &[Name]) -> io::Result<f64> {
    let _ = writeln!(out, "\n## Over loopback: what the module costs\n");
    let _ = writeln!(out, "One server thread; two threads keep 512 questions open. Turns of 1 s, module and no decision in turn; the ratio is of each pair.\n");
    let _ = writeln!(out, "| turn | answers a second, module | without a decision | CPU of the server's thread an answer, module, ns | without, ns | module costs |");
    let _ = writeln!(out, "| --- | --- | --- | --- | --- | --- |");
    let (mut rates, mut costs) = (Vec::new(), Vec::new());
    for round in 1..=9 {
        let measure_once = |without_policy: bool| -> io::Result<(f64, f64)> {
            let server = match without_policy {
                true => TestServer::start(text, |_, _| PlainQueue::unlimited())?,
                false => TestServer::start(text, server::new_policy)?,
            };
            let cpu_before = server_thread_cpu_nanos();
            let result = generate_parallel_load(server.address(), names, 0.0, 2, Duration::from_secs(1))?;
            let cpu_nanos = server_thread_cpu_nanos() - cpu_before;
            server.shut_down()?;
            Ok((result.rate(result.succeeded), cpu_nanos as f64 / result.succeeded as f64))
        };
        let (with, without) = (measure_once(false)?, measure_once(true)?);
        let cost = 1.0 - without.1 / with.1;
        let _ = writeln!(
            out,
            "| {round} | {:.0} | {:.0} | {:.0} | {:.0} | {:.1}% |",
            with.0,
            without.0,
            with.1,
            without.1,
            cost * 100.0
        );
        rates.push(with.0);
        costs.push(cost);
    }
    costs.sort_by(f64::total_cmp);
    rates.sort_by(f64::total_cmp);
    let _ = writeln!(out, "\nMedian cost {:.1}% of the CPU of a served query.", costs[4] * 100.0);
    Ok(rates[4])
}

/// Sends updates with pauses of 20 ms until `stop` is set. Returns how many were sent, and how many succeeded within 1 s.
fn send_updates(address: SocketAddr, n: usize, stop: &AtomicBool) -> io::Result<(u64, u64)> {
    let mut updater = Updater::new(address, update_key(), apex(), n as u16 * 500)?;
    let (mut sent, mut succeeded) = (0, 0);
    let name: Name = format!("u{n}.example.org").parse().expect("the name is valid");
    while !stop.load(Ordering::Relaxed) {
        sent += 1;
        let records = [
            delete_rrset(&name, RecordType::A),
            add(&name, RecordType::A, &[10, 9, (sent >> 8) as u8, sent as u8]),
        ];
        let start = Instant::now();
        let code = updater.update(&records)?;
        succeeded += u64::from(code == 0 && start.elapsed() <= Duration::from_secs(1));
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok((sent, succeeded))
}

/// Compares the scheduling policy with a bounded queue at and above the capacity of the server.
fn measure_overload(out: &mut String, text: &str, names: &[Name], capacity: f64) -> io::Result<()> {
    let _ = writeln!(out, "\n## Overload: the module against a plain bounded queue\n");
    let _ = writeln!(out, "Queries on schedule from three threads, answered within 200 ms; ten updaters, an update each 20 ms, answered within 1 s. 100% is the median above, {capacity:.0} a second. What the system's buffer for datagrams had no room for was never read.\n");
    let _ = writeln!(out, "| load | policy | asked a second | answered well a second | refused | 99% within | updates well | load tool behind |");
    let _ = writeln!(out, "| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (load_factor, with_policy) in [(1.0, true), (1.0, false), (1.6, true), (1.6, false)] {
        let server = match with_policy {
            true => TestServer::start(text, server::new_policy)?,
            false => TestServer::start(text, |_, _| PlainQueue::new(16, 1024))?,
        };
        let (address, stop) = (server.address(), AtomicBool::new(false));
        let (result, (updates_sent, updates_succeeded)) = std::thread::scope(|scope| -> io::Result<_> {
            let updaters: Vec<_> = (0..10)
                .map(|n| {
                    scope.spawn({
                        let stop = &stop;
                        move || send_updates(address, n, stop)
                    })
                })
                .collect();
            let result =
                generate_parallel_load(address, names, capacity * load_factor, 3, Duration::from_secs(4));
            stop.store(true, Ordering::Relaxed);
            let mut sum = (0, 0);
            for updater in updaters {
                let (sent, succeeded) =
                    updater.join().map_err(|_| io::Error::other("an updater thread panicked"))??;
                sum = (sum.0 + sent, sum.1 + succeeded);
            }
            Ok((result?, sum))
        })?;
        server.shut_down()?;
        let p99_micros = result.response_times.as_ref().map_or(0, |times| times.value_at_quantile(0.99));
        let _ = writeln!(
            out,
            "| {:.0}% | {} | {:.0} | {:.0} | {:.1}% | {:.1} ms | {} of {} | {:.1}% |",
            load_factor * 100.0,
            if with_policy { "module" } else { "plain queue" },
            result.rate(result.sent),
            result.rate(result.succeeded),
            result.failed as f64 * 100.0 / result.sent as f64,
            p99_micros as f64 / 1000.0,
            updates_succeeded,
            updates_sent,
            result.unsent * 100.0 / (result.sent as f64 + result.unsent),
        );
    }
    Ok(())
}

/// Measures signed updates per second, each acknowledged after it is durable, by the number of concurrent updaters.
fn measure_updates(out: &mut String, text: &str) -> io::Result<()> {
    let _ = writeln!(out, "\n## Updates, signed and durable\n");
    let _ = writeln!(out, "| updaters at once | updates a second |\n| --- | --- |");
    for updater_count in [1, 8, 64] {
        let server = TestServer::start(text, server::new_policy)?;
        let (address, stop) = (server.address(), AtomicBool::new(false));
        let start = Instant::now();
        let completed = std::thread::scope(|scope| -> io::Result<u64> {
            let updaters: Vec<_> = (0..updater_count)
                .map(|n| {
                    let stop = &stop;
                    scope.spawn(move || -> io::Result<u64> {
                        let mut updater = Updater::new(address, update_key(), apex(), n as u16 * 500)?;
                        let name: Name = format!("u{n}.example.org").parse().expect("the name is valid");
                        let mut completed = 0_u64;
                        while !stop.load(Ordering::Relaxed) {
                            let data = [10, 9, (completed >> 8) as u8, completed as u8];
                            let records =
                                [delete_rrset(&name, RecordType::A), add(&name, RecordType::A, &data)];
                            completed += u64::from(updater.update(&records)? == 0);
                        }
                        Ok(completed)
                    })
                })
                .collect();
            std::thread::sleep(Duration::from_secs(2));
            stop.store(true, Ordering::Relaxed);
            updaters
                .into_iter()
                .map(|updater| updater.join().map_err(|_| io::Error::other("an updater thread panicked"))?)
                .sum()
        })?;
        let _ =
            writeln!(out, "| {updater_count} | {:.0} |", completed as f64 / start.elapsed().as_secs_f64());
        server.shut_down()?;
    }
    Ok(())
}

/// The number of requests that the server read, according to its counters.
fn requests_read(counters: &str) -> f64 {
    let after = counters.split("\"read\":").nth(1).unwrap_or("");
    after.chars().take_while(char::is_ascii_digit).collect::<String>().parse().unwrap_or(0.0)
}

/// Measures how the reload of a zone file affects queries at 20,000 per second.
fn measure_reload(out: &mut String, text: &str, names: &[Name]) -> io::Result<()> {
    let server = TestServer::start(text, server::new_policy)?;
    let (address, stop) = (server.address(), AtomicBool::new(false));
    let changed = text.replacen("host 1 ", "host 2 ", 1).replacen(" A 10.0.0.5\n", " A 10.0.0.250\n", 1);
    std::fs::write(server.folder.join("zone"), changed)?;
    let state = server.settings.state.clone();
    let (baseline, result, reload_time) = std::thread::scope(|scope| -> io::Result<_> {
        let baseline = generate_load(address, names, 20_000.0, Duration::from_secs(2), &stop)?;
        let generator =
            scope.spawn(|| generate_load(address, names, 20_000.0, Duration::from_secs(60), &stop));
        let start = Instant::now();
        let response = control::send(&state, &Command::Reread("example.org".into()))?;
        assert_eq!(response, "{\"reread\":true}");
        let reload_time = start.elapsed();
        std::thread::sleep(Duration::from_millis(500));
        stop.store(true, Ordering::Relaxed);
        let result =
            generator.join().map_err(|_| io::Error::other("the load generator thread panicked"))??;
        Ok((baseline, result, reload_time))
    })?;
    let client = Client { server: address, key: None, timeout: Duration::from_secs(5) };
    let serial = client.serial(&apex(), 1).map_err(io::Error::other)?;
    let counters = server.shut_down()?;
    let max_ms =
        |result: &LoadResult| result.response_times.as_ref().map_or(0.0, |times| times.max() as f64 / 1000.0);
    let _ = writeln!(out, "\n## A file read again under way\n");
    let _ = writeln!(out, "{} records read again while 20,000 questions a second come; {:.2} s until it was taken, serial {serial} in force. Longest answer {:.1} ms (in the quiet 2 s before: {:.1} ms), answered well {:.2}% (before: {:.2}%), refused {:.2}%. Read by the server: {:.2}% of what was sent.", text.lines().count(), reload_time.as_secs_f64(), max_ms(&result), max_ms(&baseline), result.succeeded as f64 * 100.0 / result.sent as f64, baseline.succeeded as f64 * 100.0 / baseline.sent as f64, result.failed as f64 * 100.0 / result.sent as f64, requests_read(&counters) * 100.0 / (result.sent + baseline.sent) as f64);
    Ok(())
}

/// Measures the reload of a zone file with this many records under load.
pub fn reload(records: usize) -> io::Result<String> {
    let mut out = String::new();
    measure_reload(&mut out, &zone_text(records), &random_names(records, 20_000))?;
    Ok(out)
}

/// Runs all DNS benchmarks and returns the Markdown page. `largest` is the number of records of the largest zone.
pub fn measure(largest: usize) -> io::Result<String> {
    let mut out = String::from("# The names server, measured\n\nMade by `cargo run --release -p lynxtally-benchmarks -- names`: loopback, load and server on one machine of 8 cores.\nRatios are of one run; absolute figures are this machine's.\n");
    measure_structures(&mut out, largest)?;
    measure_sketch(&mut out);
    measure_decisions(&mut out)?;
    let largest_zone = zone_text(largest);
    let start = Instant::now();
    let zone = parse_zone(&largest_zone);
    let parse_seconds = start.elapsed().as_secs_f64();
    measure_in_process(&mut out, &zone, &largest_zone, parse_seconds);
    drop(zone);
    let small_zone = zone_text(10_000);
    let names = random_names(10_000, 20_000);
    let capacity = measure_policy_cost(&mut out, &small_zone, &names)?;
    measure_overload(&mut out, &small_zone, &names, capacity)?;
    measure_updates(&mut out, &small_zone)?;
    drop(largest_zone);
    out.push_str(&reload(largest)?);
    Ok(out)
}
