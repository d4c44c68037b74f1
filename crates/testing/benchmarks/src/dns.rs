//! The names server, measured: each figure beside a plain version in the same run.

use hdrhistogram::Histogram;
use lynxtally::Pcg;
use lynxtally_baselines::PlainQueue;
use lynxtally_dns::client::{query, Client};
use lynxtally_dns::codec::{write, Asked, Code, Reply, Room};
use lynxtally_dns::control::{self, Verb};
use lynxtally_dns::server::{self, Heard, Running};
use lynxtally_dns::settings::{Checked, File, GrantFile, Limits, Stages, Transfer, ZoneFile};
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

/// An answer later than this is none: the due time of a query by default.
const IN_TIME: Duration = Duration::from_millis(200);

fn apex() -> Name {
    "example.org".parse().expect("a name")
}

fn host(n: usize) -> Name {
    format!("track{n}.room{}.example.org", n % 97).parse().expect("a name")
}

fn text(records: usize) -> String {
    let mut text = "$TTL 300\n@ SOA ns host 1 3600 600 86400 60\n@ NS ns\nns A 192.0.2.1\n".to_owned();
    for n in 0..records {
        // A string takes whatever is written to it.
        let _ = writeln!(text, "track{n}.room{} A 10.{}.{}.{}", n % 97, n >> 16 & 255, n >> 8 & 255, n & 255);
    }
    text
}

fn read(text: &str) -> Zone {
    let read = zone_file::read(
        "z",
        text.as_bytes(),
        Some(&apex()),
        zone_file::ZoneFileLimits::default(),
        &mut |_| Err("none".into()),
    );
    assert!(read.faults.is_empty() && read.unusable.is_none());
    read.zone
}

/// Octets of memory that this process has now.
fn resident() -> f64 {
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    pages.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok()).unwrap_or(0.0) * 4096.0
}

fn each<R>(count: usize, mut work: impl FnMut(usize) -> R) -> f64 {
    let start = Instant::now();
    (0..count).for_each(|n| {
        black_box(work(n));
    });
    start.elapsed().as_secs_f64() * 1e9 / count as f64
}

/// Names in an order that no cache foresees.
fn shuffled(records: usize, count: usize) -> Vec<Name> {
    let mut chance = Pcg::new(3);
    (0..count).map(|_| host((chance.unit() * records as f64) as usize)).collect()
}

/// One structure of one size, in a process of its own, so that no other's memory is in the way.
pub fn structure(what: &str, size: usize) -> String {
    let names: Vec<Name> = (0..size).map(host).collect();
    let asked = shuffled(size, 200_000);
    let record = |name: &Name| lynxtally_zones::Record {
        name: name.clone(),
        kind: RecordType::A,
        ttl: 300,
        data: vec![10, 0, 0, 1],
    };
    let plain = || vec![(RecordType::A, 300, vec![vec![10_u8, 0, 0, 1]])];
    let copies = (2_000_000 / size).max(2);
    let before = resident();
    let (build, look, change, memory) = match what {
        "trie" => {
            let mut zone = Zone::new(apex());
            let build = each(size, |n| zone.add(&record(&names[n])));
            let memory = resident() - before;
            let look = each(asked.len(), |n| zone.node(asked[n].wire()).is_some());
            let change = each(20_000, |n| {
                let mut next = zone.clone();
                let data = vec![10, 1, (n >> 8) as u8, n as u8];
                let done = next.add(&lynxtally_zones::Record { data, ..record(&asked[n]) });
                (next, done)
            });
            (build, look, change, memory)
        }
        "BTreeMap" => {
            let mut map = BTreeMap::new();
            let build = each(size, |n| map.insert(names[n].clone(), plain()));
            let memory = resident() - before;
            let look = each(asked.len(), |n| map.contains_key(&asked[n]));
            let change = each(copies, |n| {
                let mut next = map.clone();
                next.insert(asked[n].clone(), Vec::new());
                next
            });
            (build, look, change, memory)
        }
        _ => {
            let mut map = HashMap::new();
            let build = each(size, |n| map.insert(names[n].clone(), plain()));
            let memory = resident() - before;
            let look = each(asked.len(), |n| map.contains_key(&asked[n]));
            let change = each(copies, |n| {
                let mut next = map.clone();
                next.insert(asked[n].clone(), Vec::new());
                next
            });
            (build, look, change, memory)
        }
    };
    let memory = memory / size as f64;
    format!("| {size} | {what} | {build:.0} | {memory:.0} | {look:.0} | {change:.0} |")
}

fn structures(out: &mut String, largest: usize) -> io::Result<()> {
    let _ = writeln!(out, "\n## The trie of shared versions against plain maps\n");
    let _ = writeln!(out, "Lookups of names at random by the whole name, in process on one core; a change is one address put in, with the version\nbefore it kept. Each row is a process of its own; memory is what the process grew by.\n");
    let _ = writeln!(out, "| names | structure | build, ns a name | memory, octets a name | lookup, ns | a change, the version before kept, ns |");
    let _ = writeln!(out, "| --- | --- | --- | --- | --- | --- |");
    let mut size = 10_000;
    while size <= largest {
        for what in ["trie", "BTreeMap", "HashMap"] {
            let row = std::process::Command::new(std::env::current_exe()?)
                .args(["structure", what, &size.to_string()])
                .output()?;
            out.push_str(&String::from_utf8_lossy(&row.stdout));
        }
        size *= 10;
    }
    Ok(())
}

/// Runs end at once.
#[derive(Default)]
struct AtOnce(Vec<lynxtally::RequestId>);

impl lynxtally_engine::Executor<()> for AtOnce {
    fn start(&mut self, task: lynxtally::RequestId, _: &mut ()) {
        self.0.push(task);
    }
    fn stop(&mut self, _: lynxtally::RequestId, _: &mut ()) {}
    fn start_call(&mut self, _: lynxtally::RequestId, _: &mut (), _: u64, _: lynxtally::Span) -> bool {
        true
    }
    fn cancel_call(&mut self, _: &mut (), _: u64) {}
}

struct Nobody;

impl lynxtally_engine::Responder<()> for Nobody {
    fn respond(&mut self, (): (), _: lynxtally_engine::FinalResponse) -> bool {
        true
    }
}

/// What host and decision take a task, in nanoseconds, where so many come at once.
fn deciding<P: Scheduler>(decide: P, batch: usize) -> f64 {
    let (mut executor, mut answerer) = (AtOnce::default(), Nobody);
    let mut host: lynxtally_engine::Engine<P, (), (), u8> = lynxtally_engine::Engine::new(0);
    let mut micros = 1_000_000_u64;
    host.start(lynxtally::Instant::from_micros(micros), decide);
    let turns = 400_000 / batch;
    let spent = each(turns, |_| {
        let now = lynxtally::Instant::from_micros(micros);
        for _ in 0..batch {
            let entry = lynxtally_engine::IncomingRequest {
                memory_kb: 0.6,
                caller: 3,
                ..lynxtally_engine::IncomingRequest::default()
            };
            let _ = host.submit(now, None, entry, (), ());
        }
        while host.expire_timers(now, &mut executor).is_some() {}
        loop {
            let now = lynxtally::Instant::from_micros(micros);
            host.decide(now, &mut executor, &mut answerer);
            if executor.0.is_empty() {
                break;
            }
            micros += 3 * executor.0.len() as u64;
            let now = lynxtally::Instant::from_micros(micros);
            for task in std::mem::take(&mut executor.0) {
                host.run_ended(
                    now,
                    task,
                    lynxtally_engine::RunEnd::Completed(Vec::new()),
                    &mut executor,
                    &mut answerer,
                );
            }
        }
    });
    assert!(
        host.counts().is_consistent() && host.counts().in_flight == 0 && host.counts().rejected == 0,
        "{:?}",
        host.counts()
    );
    spent / batch as f64
}

/// What a decision takes, by how many tasks come at once.
pub fn decisions(out: &mut String) -> io::Result<()> {
    let _ = writeln!(out, "\n## What a decision takes, in process\n");
    let _ = writeln!(out, "| tasks that come at once | host and module, ns a task | host alone, ns a task |");
    let _ = writeln!(out, "| --- | --- | --- |");
    let served = Served::start(&text(10), server::module)?;
    for batch in [1, 8, 32, 64, 256] {
        let module =
            deciding(server::module(&served.settings, lynxtally::Instant::from_micros(1_000_000)), batch);
        let alone = deciding(PlainQueue::unlimited(), batch);
        let _ = writeln!(out, "| {batch} | {module:.0} | {alone:.0} |");
    }
    served.leave()?;
    Ok(())
}

fn in_process(out: &mut String, zone: &Zone, text: &str, reading: f64) {
    let records = zone.records() - 3;
    let names = shuffled(records, 200_000);
    let asked: Vec<Vec<u8>> = names.iter().map(|name| query(7, name, RecordType::A).write(None)).collect();
    let look = each(names.len(), |n| lookup(zone, names[n].wire(), RecordType::A).answer.len());
    let whole = each(names.len(), |n| {
        let asked = Asked::read(&asked[n]).expect("readable");
        let found = lookup(zone, asked.name.wire(), asked.kind);
        let reply =
            Reply { code: Some(Code::OK), authoritative: true, answer: &found.answer, ..Reply::default() };
        write(&asked, &reply, Room { most: 1232, payload: 1232 }, None)
    });
    let _ = writeln!(out, "\n## In process, one core, {records} names\n");
    let _ = writeln!(out, "| what | figure |\n| --- | --- |");
    let _ = writeln!(
        out,
        "| a zone file of {} MB read | {:.2} s, {:.0} ns a record |",
        text.len() >> 20,
        reading,
        reading * 1e9 / records as f64
    );
    let _ = writeln!(out, "| lookups a second | {:.0} |", 1e9 / look);
    let _ = writeln!(out, "| messages read, looked up and written a second | {:.0} |", 1e9 / whole);
}

fn sketch(out: &mut String) {
    let (mut chance, now) = (Pcg::new(9), lynxtally::Instant::from_micros(1));
    let asked: Vec<u64> = (0..1_000_000).map(|_| (chance.unit().powi(3) * 200_000.0) as u64).collect();
    let mut sketch = CountMinSketch::new(1 << 12, lynxtally::Span::from_millis(500), 5, now);
    let counting = each(asked.len(), |n| sketch.add(now, asked[n]));
    let mut map: HashMap<u64, f64> = HashMap::new();
    let plain = each(asked.len(), |n| *map.entry(asked[n]).and_modify(|count| *count += 1.0).or_insert(1.0));
    let over: Vec<f64> = map.iter().map(|(prefix, count)| sketch.count(now, *prefix) - count).collect();
    let mean = over.iter().sum::<f64>() / over.len() as f64;
    let worst = over.iter().fold(0.0, |a, b| f64::max(a, *b));
    let _ = writeln!(out, "\n## Counts by prefix: sketch against a map\n");
    let _ = writeln!(out, "One million questions from {} prefixes, a few of which ask much.\n", map.len());
    let _ = writeln!(
        out,
        "| structure | memory, KB | ns a question | counted too much: mean, worst (of 1,000,000) |"
    );
    let _ = writeln!(out, "| --- | --- | --- | --- |");
    let _ = writeln!(
        out,
        "| sketch, 4 rows of 4,096 | {} | {counting:.0} | {mean:.0}, {worst:.0} |",
        sketch.memory_bytes() / 1024
    );
    let _ = writeln!(
        out,
        "| HashMap (grows with the askers) | {} | {plain:.0} | 0, 0 |",
        map.capacity() * 17 / 1024
    );
}

fn key() -> Arc<Key> {
    Arc::new(Key {
        name: "nodes.".parse().expect("a name"),
        algorithm: Algorithm::Sha256,
        secret: vec![7; 32],
    })
}

struct Served {
    folder: PathBuf,
    settings: Checked,
    running: Running,
}

impl Served {
    fn start<P: Scheduler + Send + 'static>(
        text: &str,
        decide: impl FnOnce(&Checked, lynxtally::Instant) -> P,
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
        let grant = GrantFile {
            key: "nodes".into(),
            name: None,
            tree: Some("example.org".into()),
            below: None,
            kinds: vec![],
        };
        let file = File {
            listen: vec![([127, 78, 0, number as u8 + 1], 0).into()],
            state: folder.join("state"),
            zones: vec![ZoneFile {
                apex: "example.org".into(),
                file: Some(folder.join("zone")),
                primaries: vec![],
                key: None,
                notify: vec![],
                transfer: Transfer { keys: vec![], anyone: true },
                updates: vec![grant],
                refused_most: 0,
            }],
            keys: vec![keys],
            cookie_secret: None,
            stages: Stages::default(),
            // All load comes from a few addresses of this machine: no share by prefix, and no proof, here.
            limits: Limits { prefix_share: 1.0, proof: false, ..Limits::default() },
            stop_ms: 3000,
            grace_ms: 1000,
        };
        let settings = file.check().map_err(io::Error::other)?;
        let running = server::start(settings.clone(), decide).map_err(io::Error::other)?;
        Ok(Self { folder, settings, running })
    }

    fn at(&self) -> SocketAddr {
        self.running.listen[0]
    }

    fn leave(self) -> io::Result<String> {
        self.running.ear.say(Heard::Leave);
        let ended = self.running.end.recv_timeout(Duration::from_secs(20)).map_err(io::Error::other)?;
        assert!(ended.adds_up, "{}", ended.counters);
        std::fs::remove_dir_all(&self.folder)?;
        Ok(ended.counters)
    }
}

/// What a load found.
#[derive(Default)]
struct Load {
    sent: u64,
    good: u64,
    refused: u64,
    seconds: f64,
    behind: f64,
    late: Option<Histogram<u64>>,
}

impl Load {
    fn rate(&self, count: u64) -> f64 {
        count as f64 / self.seconds
    }
}

/// Sends questions on schedule, whatever comes back, from one socket; rate 0 means as fast as answers come, with
/// a window of questions open.
fn load(at: SocketAddr, names: &[Name], rate: f64, span: Duration, over: &AtomicBool) -> io::Result<Load> {
    const WINDOW: usize = 256;
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    socket.set_nonblocking(true)?;
    let octets: Vec<Vec<u8>> = names.iter().map(|name| query(0, name, RecordType::A).write(None)).collect();
    let mut sent: Vec<Option<Instant>> = vec![None; 1 << 16];
    let (mut buffers, mut found) = (udp::Buffers::default(), Load::default());
    let mut late = Histogram::<u64>::new_with_bounds(1, 10_000_000, 3).map_err(io::Error::other)?;
    let (start, mut id, mut open) = (Instant::now(), 0_u16, 0_usize);
    while start.elapsed() < span && !over.load(Ordering::Relaxed) {
        let due = match rate > 0.0 {
            true => {
                ((start.elapsed().as_secs_f64() * rate) as u64).saturating_sub(found.sent).min(64) as usize
            }
            false => WINDOW.saturating_sub(open).min(32),
        };
        let batch: Vec<(SocketAddr, Vec<u8>)> = (0..due)
            .map(|n| {
                let id = id.wrapping_add(n as u16);
                let mut message = octets[(found.sent as usize + n) % octets.len()].clone();
                message[..2].copy_from_slice(&id.to_be_bytes());
                (at, message)
            })
            .collect();
        let went = udp::send(&socket, &batch);
        let now = Instant::now();
        for n in 0..went {
            open += usize::from(sent[usize::from(id.wrapping_add(n as u16))].replace(now).is_none());
        }
        id = id.wrapping_add(went as u16);
        found.sent += went as u64;
        let mut more = true;
        while more {
            more = buffers.receive(&socket, |_, octets, _| {
                let Some(octets) = octets else { return };
                let id = u16::from_be_bytes([octets[0], octets[1]]);
                let Some(at) = sent[usize::from(id)].take() else { return };
                open -= 1;
                let took = at.elapsed();
                if octets[3] & 0xf == 0 && took <= IN_TIME {
                    found.good += 1;
                    late.saturating_record(took.as_micros() as u64);
                } else {
                    found.refused += 1;
                }
            })?;
        }
        if rate == 0.0 && open >= WINDOW {
            // What was lost on the way opens the window again.
            for at in sent.iter_mut().filter(|at| at.is_some_and(|at| at.elapsed() > IN_TIME)) {
                *at = None;
                open -= 1;
            }
        }
    }
    found.seconds = start.elapsed().as_secs_f64();
    found.behind = (rate * found.seconds - found.sent as f64).max(0.0);
    found.late = Some(late);
    Ok(found)
}

fn together(at: SocketAddr, names: &[Name], rate: f64, threads: usize, span: Duration) -> io::Result<Load> {
    let over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let all: Vec<_> = (0..threads)
            .map(|n| {
                let names = &names[n * names.len() / threads..(n + 1) * names.len() / threads];
                let over = &over;
                scope.spawn(move || load(at, names, rate / threads as f64, span, over))
            })
            .collect();
        let mut sum = Load::default();
        for one in all {
            let one = one.join().map_err(|_| io::Error::other("a load failed"))??;
            (sum.sent, sum.good, sum.refused) =
                (sum.sent + one.sent, sum.good + one.good, sum.refused + one.refused);
            (sum.seconds, sum.behind) = (sum.seconds.max(one.seconds), sum.behind + one.behind);
            match (&mut sum.late, one.late) {
                (Some(all), Some(late)) => all.add(late).map_err(io::Error::other)?,
                (none, late) => *none = late,
            }
        }
        Ok(sum)
    })
}

/// What the server's thread has run so far, in nanoseconds.
fn owner_ran() -> u64 {
    let tasks = std::fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
    let names = tasks.filter(|task| {
        std::fs::read_to_string(task.path().join("comm")).is_ok_and(|name| name.trim() == "names")
    });
    let ran = |text: String| text.split(' ').next().and_then(|ns| ns.parse::<u64>().ok());
    names.filter_map(|task| ran(std::fs::read_to_string(task.path().join("schedstat")).ok()?)).sum()
}

fn served(out: &mut String, text: &str, names: &[Name]) -> io::Result<f64> {
    let _ = writeln!(out, "\n## Over loopback: what the module costs\n");
    let _ = writeln!(out, "One server thread; two threads keep 512 questions open. Turns of 1 s, module and no decision in turn; the ratio is of each pair.\n");
    let _ = writeln!(out, "| turn | answers a second, module | without a decision | CPU of the server's thread an answer, module, ns | without, ns | module costs |");
    let _ = writeln!(out, "| --- | --- | --- | --- | --- | --- |");
    let (mut rates, mut costs) = (Vec::new(), Vec::new());
    for turn in 1..=9 {
        let one = |straight: bool| -> io::Result<(f64, f64)> {
            let served = match straight {
                true => Served::start(text, |_, _| PlainQueue::unlimited())?,
                false => Served::start(text, server::module)?,
            };
            let before = owner_ran();
            let found = together(served.at(), names, 0.0, 2, Duration::from_secs(1))?;
            let ran = owner_ran() - before;
            served.leave()?;
            Ok((found.rate(found.good), ran as f64 / found.good as f64))
        };
        let (with, without) = (one(false)?, one(true)?);
        let cost = 1.0 - without.1 / with.1;
        let _ = writeln!(
            out,
            "| {turn} | {:.0} | {:.0} | {:.0} | {:.0} | {:.1}% |",
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

/// Updates at a steady pace beside other load: how many were answered well in a second.
fn updating(at: SocketAddr, n: usize, over: &AtomicBool) -> io::Result<(u64, u64)> {
    let mut updater = Updater::new(at, key(), apex(), n as u16 * 500)?;
    let (mut sent, mut good) = (0, 0);
    let name: Name = format!("u{n}.example.org").parse().expect("a name");
    while !over.load(Ordering::Relaxed) {
        sent += 1;
        let edits = [
            delete_rrset(&name, RecordType::A),
            add(&name, RecordType::A, &[10, 9, (sent >> 8) as u8, sent as u8]),
        ];
        let start = Instant::now();
        let code = updater.update(&edits)?;
        good += u64::from(code == 0 && start.elapsed() <= Duration::from_secs(1));
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok((sent, good))
}

fn overload(out: &mut String, text: &str, names: &[Name], capacity: f64) -> io::Result<()> {
    let _ = writeln!(out, "\n## Overload: the module against a plain bounded queue\n");
    let _ = writeln!(out, "Queries on schedule from three threads, answered within 200 ms; ten updaters, an update each 20 ms, answered within 1 s. 100% is the median above, {capacity:.0} a second. What the system's buffer for datagrams had no room for was never read.\n");
    let _ = writeln!(out, "| load | policy | asked a second | answered well a second | refused | 99% within | updates well | load tool behind |");
    let _ = writeln!(out, "| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (share, module) in [(1.0, true), (1.0, false), (1.6, true), (1.6, false)] {
        let served = match module {
            true => Served::start(text, server::module)?,
            false => Served::start(text, |_, _| PlainQueue::new(16, 1024))?,
        };
        let (at, over) = (served.at(), AtomicBool::new(false));
        let (found, updates) = std::thread::scope(|scope| -> io::Result<_> {
            let updaters: Vec<_> = (0..10)
                .map(|n| {
                    scope.spawn({
                        let over = &over;
                        move || updating(at, n, over)
                    })
                })
                .collect();
            let found = together(at, names, capacity * share, 3, Duration::from_secs(4));
            over.store(true, Ordering::Relaxed);
            let mut sum = (0, 0);
            for updater in updaters {
                let (sent, good) = updater.join().map_err(|_| io::Error::other("an updater failed"))??;
                sum = (sum.0 + sent, sum.1 + good);
            }
            Ok((found?, sum))
        })?;
        served.leave()?;
        let late = found.late.as_ref().map_or(0, |late| late.value_at_quantile(0.99));
        let _ = writeln!(
            out,
            "| {:.0}% | {} | {:.0} | {:.0} | {:.1}% | {:.1} ms | {} of {} | {:.1}% |",
            share * 100.0,
            if module { "module" } else { "plain queue" },
            found.rate(found.sent),
            found.rate(found.good),
            found.refused as f64 * 100.0 / found.sent as f64,
            late as f64 / 1000.0,
            updates.1,
            updates.0,
            found.behind * 100.0 / (found.sent as f64 + found.behind),
        );
    }
    Ok(())
}

fn updates(out: &mut String, text: &str) -> io::Result<()> {
    let _ = writeln!(out, "\n## Updates, signed and durable\n");
    let _ = writeln!(out, "| updaters at once | updates a second |\n| --- | --- |");
    for updaters in [1, 8, 64] {
        let served = Served::start(text, server::module)?;
        let (at, over) = (served.at(), AtomicBool::new(false));
        let start = Instant::now();
        let done = std::thread::scope(|scope| -> io::Result<u64> {
            let all: Vec<_> = (0..updaters)
                .map(|n| {
                    let over = &over;
                    scope.spawn(move || -> io::Result<u64> {
                        let mut updater = Updater::new(at, key(), apex(), n as u16 * 500)?;
                        let name: Name = format!("u{n}.example.org").parse().expect("a name");
                        let mut done = 0_u64;
                        while !over.load(Ordering::Relaxed) {
                            let data = [10, 9, (done >> 8) as u8, done as u8];
                            let edits =
                                [delete_rrset(&name, RecordType::A), add(&name, RecordType::A, &data)];
                            done += u64::from(updater.update(&edits)? == 0);
                        }
                        Ok(done)
                    })
                })
                .collect();
            std::thread::sleep(Duration::from_secs(2));
            over.store(true, Ordering::Relaxed);
            all.into_iter().map(|one| one.join().map_err(|_| io::Error::other("an updater failed"))?).sum()
        })?;
        let _ = writeln!(out, "| {updaters} | {:.0} |", done as f64 / start.elapsed().as_secs_f64());
        served.leave()?;
    }
    Ok(())
}

/// How many tasks a server's counters say that it read.
fn read_of(counters: &str) -> f64 {
    let after = counters.split("\"read\":").nth(1).unwrap_or("");
    after.chars().take_while(char::is_ascii_digit).collect::<String>().parse().unwrap_or(0.0)
}

fn reread(out: &mut String, text: &str, names: &[Name]) -> io::Result<()> {
    let served = Served::start(text, server::module)?;
    let (at, over) = (served.at(), AtomicBool::new(false));
    let changed = text.replacen("host 1 ", "host 2 ", 1).replacen(" A 10.0.0.5\n", " A 10.0.0.250\n", 1);
    std::fs::write(served.folder.join("zone"), changed)?;
    let state = served.settings.state.clone();
    let (quiet, found, took) = std::thread::scope(|scope| -> io::Result<_> {
        let quiet = load(at, names, 20_000.0, Duration::from_secs(2), &over)?;
        let loading = scope.spawn(|| load(at, names, 20_000.0, Duration::from_secs(60), &over));
        let start = Instant::now();
        let said = control::ask(&state, &Verb::Reread("example.org".into()))?;
        assert_eq!(said, "{\"reread\":true}");
        let took = start.elapsed();
        std::thread::sleep(Duration::from_millis(500));
        over.store(true, Ordering::Relaxed);
        Ok((quiet, loading.join().map_err(|_| io::Error::other("the load failed"))??, took))
    })?;
    let client = Client { server: at, key: None, patience: Duration::from_secs(5) };
    let serial = client.serial(&apex(), 1).map_err(io::Error::other)?;
    let counters = served.leave()?;
    let most = |load: &Load| load.late.as_ref().map_or(0.0, |late| late.max() as f64 / 1000.0);
    let _ = writeln!(out, "\n## A file read again under way\n");
    let _ = writeln!(out, "{} records read again while 20,000 questions a second come; {:.2} s until it was taken, serial {serial} in force. Longest answer {:.1} ms (in the quiet 2 s before: {:.1} ms), answered well {:.2}% (before: {:.2}%), refused {:.2}%. Read by the server: {:.2}% of what was sent.", text.lines().count(), took.as_secs_f64(), most(&found), most(&quiet), found.good as f64 * 100.0 / found.sent as f64, quiet.good as f64 * 100.0 / quiet.sent as f64, found.refused as f64 * 100.0 / found.sent as f64, read_of(&counters) * 100.0 / (found.sent + quiet.sent) as f64);
    Ok(())
}

/// A file of so many records read again under way.
pub fn rereading(records: usize) -> io::Result<String> {
    let mut out = String::new();
    reread(&mut out, &text(records), &shuffled(records, 20_000))?;
    Ok(out)
}

/// All of it.
pub fn measure(largest: usize) -> io::Result<String> {
    let mut out = String::from("# The names server, measured\n\nMade by `cargo run --release -p lynxtally-benchmarks -- names`: loopback, load and server on one machine of 8 cores.\nRatios are of one run; absolute figures are this machine's.\n");
    structures(&mut out, largest)?;
    sketch(&mut out);
    decisions(&mut out)?;
    let whole = text(largest);
    let start = Instant::now();
    let zone = read(&whole);
    let reading = start.elapsed().as_secs_f64();
    in_process(&mut out, &zone, &whole, reading);
    drop(zone);
    let small = text(10_000);
    let names = shuffled(10_000, 20_000);
    let capacity = served(&mut out, &small, &names)?;
    overload(&mut out, &small, &names, capacity)?;
    updates(&mut out, &small)?;
    drop(whole);
    out.push_str(&rereading(largest)?);
    Ok(out)
}
