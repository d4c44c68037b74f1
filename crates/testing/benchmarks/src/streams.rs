//! Benchmarks of the stream server. The server runs in a child process; sources and clients run in this process. The same run
//! measures a simple alternative for comparison: a copy loop or a first-come, first-served queue.

use lynxtally::Pcg;
use lynxtally_baselines::PlainQueue;
use lynxtally_experiment::chart::{draw_chart, Series};
use lynxtally_stream::server::{self, ServerCommand};
use lynxtally_stream::settings::SettingsFile;
use lynxtally_test_doubles::stream::{Client, Upstream};
use serde_json::{json, Value};
use std::fmt::Write as _;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const BUFFER_BYTES: usize = 128 * 1024;
const MB: u64 = 1 << 20;

/// Runs a stream server until standard input delivers a line or closes, then prints its counters. `plain` replaces the scheduling
/// policy by a first-come, first-served queue. Called in a child process.
pub fn serve(settings: &str, plain: bool) -> io::Result<()> {
    let file: SettingsFile = serde_json::from_str(settings).map_err(io::Error::other)?;
    let checked = file.check().map_err(io::Error::other)?;
    let slots = checked.limits.at_once as usize;
    let running = match plain {
        true => server::start(checked, |_, _| PlainQueue::new(slots, 1000)),
        false => server::start(checked, server::scheduling_policy),
    };
    let running = running.map_err(io::Error::other)?;
    println!("{}", running.listen_addresses[0]);
    let mut line = String::new();
    io::stdin().read_line(&mut line)?;
    running.commands.send(ServerCommand::Shutdown).map_err(io::Error::other)?;
    let ended = running.exit.recv().map_err(io::Error::other)?;
    println!("{}", ended.counters);
    Ok(())
}

/// Runs the copy loop that the stream server is compared with: one thread that forwards request heads unread and copies responses
/// between sockets as `poll` reports them ready. Called in a child process.
pub fn copy(upstream: SocketAddr) -> io::Result<()> {
    use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
    let listener = TcpListener::bind("127.0.0.1:0")?;
    println!("{}", listener.local_addr()?);
    listener.set_nonblocking(true)?;
    // Client, upstream, bytes that wait for the client, and how many of these were written.
    let mut pairs: Vec<(TcpStream, TcpStream, Vec<u8>, usize)> = Vec::new();
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut input = io::stdin();
    loop {
        let mut fds = vec![
            PollFd::new(listener.as_fd(), PollFlags::POLLIN),
            PollFd::new(input.as_fd(), PollFlags::POLLIN),
        ];
        for (client, upstream, pending, _) in &pairs {
            fds.push(match pending.is_empty() {
                true => PollFd::new(upstream.as_fd(), PollFlags::POLLIN),
                false => PollFd::new(client.as_fd(), PollFlags::POLLOUT),
            });
        }
        poll(&mut fds, PollTimeout::NONE)?;
        let ready: Vec<bool> =
            fds.iter().map(|fd| fd.revents().is_some_and(|events| !events.is_empty())).collect();
        drop(fds);
        if ready[1] {
            return input.read(&mut [0]).map(drop);
        }
        let mut ended = Vec::new();
        for (n, (client, upstream, pending, written)) in pairs.iter_mut().enumerate() {
            if !ready[n + 2] {
                continue;
            }
            if pending.is_empty() {
                match upstream.read(&mut buffer) {
                    Ok(0) => ended.push(n),
                    Ok(read) => match client.write(&buffer[..read]) {
                        Ok(written) if written < read => pending.extend_from_slice(&buffer[written..read]),
                        Ok(_) => {}
                        Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                            pending.extend_from_slice(&buffer[..read]);
                        }
                        Err(_) => ended.push(n),
                    },
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    Err(_) => ended.push(n),
                }
            } else {
                match client.write(&pending[*written..]) {
                    Ok(count) => {
                        *written += count;
                        if *written == pending.len() {
                            pending.clear();
                            *written = 0;
                        }
                    }
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    Err(_) => ended.push(n),
                }
            }
        }
        for n in ended.into_iter().rev() {
            pairs.swap_remove(n);
        }
        if ready[0] {
            while let Ok((mut client, _)) = listener.accept() {
                client.set_nonblocking(false)?;
                let mut head = vec![0; 1024];
                let length = client.read(&mut head)?;
                let mut upstream = TcpStream::connect(upstream)?;
                upstream.write_all(&head[..length])?;
                for socket in [&client, &upstream] {
                    socket.set_nonblocking(true)?;
                    let socket = socket2::SockRef::from(socket);
                    socket.set_send_buffer_size(256 * 1024)?;
                    socket.set_recv_buffer_size(256 * 1024)?;
                }
                pairs.push((client, upstream, Vec::new(), 0));
            }
        }
    }
}

/// A child process that serves streams.
struct ChildServer {
    child: Child,
    stdout: BufReader<std::process::ChildStdout>,
    address: SocketAddr,
}

impl ChildServer {
    /// Starts this program with the arguments and reads the address that it prints.
    fn start(arguments: &[&str]) -> io::Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let mut stdout = BufReader::new(child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?);
        let mut line = String::new();
        stdout.read_line(&mut line)?;
        Ok(Self { child, stdout, address: line.trim().parse().map_err(io::Error::other)? })
    }

    fn stream_server(settings: &Value, plain: bool) -> io::Result<Self> {
        let text = settings.to_string();
        let mut arguments = vec!["stream-server", "--settings", &text];
        arguments.extend(plain.then_some("--plain"));
        Self::start(&arguments)
    }

    /// A figure in KB of `/proc/PID/status`; 0 if it can't be read.
    fn status_kb(&self, key: &str) -> f64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with(key)).unwrap_or("");
        line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).unwrap_or(0.0)
    }

    /// CPU time so far, in seconds, for 100 clock ticks per second.
    fn cpu_seconds(&self) -> f64 {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let ticks: Vec<f64> =
            text.split(' ').skip(13).take(2).filter_map(|ticks| ticks.parse().ok()).collect();
        ticks.iter().sum::<f64>() / 100.0
    }

    /// Shuts the child down and returns its counters; null for the copy loop, which has none.
    fn shut_down(mut self) -> io::Result<Value> {
        drop(self.child.stdin.take());
        let mut line = String::new();
        self.stdout.read_line(&mut line)?;
        self.child.wait()?;
        Ok(serde_json::from_str(&line).unwrap_or(Value::Null))
    }
}

/// Starts an upstream that responds with as many zero bytes as the last segment of the path says. Returns its address.
fn start_source() -> io::Result<SocketAddr> {
    let listener = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
    listener.listen(2048)?;
    let listener = TcpListener::from(listener);
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let send = move || send_zeros(stream);
            let _ = thread::Builder::new().stack_size(64 * 1024).spawn(send);
        }
    });
    Ok(address)
}

fn send_zeros(mut client: TcpStream) -> io::Result<()> {
    static ZEROS: [u8; BUFFER_BYTES] = [0; BUFFER_BYTES];
    let mut head = Vec::new();
    let mut buffer = [0; 1024];
    while !head.ends_with(b"\r\n\r\n") {
        let read = client.read(&mut buffer)?;
        if read == 0 {
            return Ok(());
        }
        head.extend_from_slice(&buffer[..read]);
    }
    let text = String::from_utf8_lossy(&head);
    let length = text.split(' ').nth(1).and_then(|path| path.rsplit('/').next()?.parse().ok()).unwrap_or(0);
    write!(client, "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n")?;
    let mut left: u64 = length;
    while left > 0 {
        let count = left.min(BUFFER_BYTES as u64) as usize;
        client.write_all(&ZEROS[..count])?;
        left -= count as u64;
    }
    Ok(())
}

/// Downloads one stream and returns the number of body bytes received; 0 if the status is not 200. `progress` is increased with
/// every read.
fn download(address: SocketAddr, path: &str, length: u64, progress: &AtomicU64) -> io::Result<u64> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(6)))?;
    // One write, because the copy loop forwards only what its first read returns as the request.
    stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n").as_bytes())?;
    let mut buffer = vec![0; BUFFER_BYTES];
    let (mut head, mut received) = (Vec::new(), 0);
    while received < length {
        let read = stream.read(&mut buffer)?;
        if read == 0 {
            break;
        }
        let body_bytes = if head.ends_with(b"\r\n\r\n") {
            read
        } else {
            // The search assumes that the blank line is not split between reads; the head is short enough for that.
            let head_end = buffer[..read]
                .windows(4)
                .position(|window| window == b"\r\n\r\n")
                .map_or(read, |offset| offset + 4);
            head.extend_from_slice(&buffer[..head_end]);
            if !head.starts_with(b"HTTP/1.1 200") {
                return Ok(0);
            }
            read - head_end
        };
        received += body_bytes as u64;
        progress.fetch_add(body_bytes as u64, Ordering::Relaxed);
    }
    Ok(received)
}

/// Downloads this many streams in parallel and returns the sum of received body bytes.
fn download_parallel(address: SocketAddr, streams: usize, length: u64) -> u64 {
    let received = AtomicU64::new(0);
    thread::scope(|scope| {
        for _ in 0..streams {
            let (path, received) = (format!("/a/{length}"), &received);
            let work = move || download(address, &path, length, received);
            let spawned = thread::Builder::new().stack_size(128 * 1024).spawn_scoped(scope, work);
            spawned.expect("the system can start a thread");
        }
    });
    received.into_inner()
}

/// Settings of a server with the request classes `a` (utility 1) and `b` (utility 3); `limits` overrides the default limits.
fn server_settings(upstreams: &[SocketAddr], limits: Value) -> Value {
    let class = |name: &str, utility: f64| {
        json!({"name": name, "paths": [format!("/{name}/")], "utility": utility, "due_ms": 60_000,
               "limit_ms": 120_000, "effect": "restartable"})
    };
    let mut settings = json!({
        "listen": ["127.0.0.1:0"], "upstreams": upstreams, "stages": [class("a", 1.0), class("b", 3.0)],
        "limits": {"at_once": 2000, "connections": 4000, "memory_mb": 128}, "stop_ms": 3000, "grace_ms": 500,
    });
    let base_limits = settings["limits"].as_object_mut().expect("the limits are an object");
    base_limits.extend(limits.as_object().cloned().unwrap_or_default());
    settings
}

/// Measures the server's memory per stream by number of streams and body size.
fn measure_memory(out: &mut String, charts: &Path) -> io::Result<()> {
    out.push_str(
        "## Memory a stream against body size\n\nThe server's resident memory at its most during the run, less that of the \
         server at rest after one stream, over the streams at once; clients take as fast as they can; windows go up to 128 KB. Bodies are as large as one machine \
         passes on in seconds: 4 GB with one stream, less with more (scaled down, as the table shows).\n\n\
         | streams | body | resident, KB a stream | held in the pool at most, KB a stream |\n| --- | --- | --- | --- |\n",
    );
    let source = start_source()?;
    let mut series = Vec::new();
    for (streams, sizes) in [
        (1, &[1 << 10, 64 << 10, MB, 64 * MB, 1024 * MB, 4096 * MB][..]),
        (100, &[1 << 10, 64 << 10, MB, 16 * MB, 64 * MB][..]),
        (1000, &[1 << 10, 64 << 10, MB, 8 * MB][..]),
    ] {
        let mut points = Vec::new();
        for &size in sizes {
            let server =
                ChildServer::stream_server(&server_settings(&[source], json!({"window_kb": 128})), false)?;
            // Memory that the server keeps after its first stream doesn't count; writing 5 resets the peak (VmHWM).
            download_parallel(server.address, 1, 8 * MB);
            std::fs::write(format!("/proc/{}/clear_refs", server.child.id()), "5")?;
            let idle_kb = server.status_kb("VmRSS");
            // Short transfers are repeated, so that the peak reflects a steady state rather than the start.
            let rounds = if size < MB { 3 } else { 1 };
            for _ in 0..rounds {
                download_parallel(server.address, streams, size);
            }
            let kb_per_stream = (server.status_kb("VmHWM") - idle_kb) / streams as f64;
            let counters = server.shut_down()?;
            let held_kb = counters["held_most"].as_f64().unwrap_or(0.0) / 1024.0 / streams as f64;
            let _ =
                writeln!(out, "| {streams} | {} | {kb_per_stream:.1} | {held_kb:.1} |", format_size(size));
            points.push((size as f64, kb_per_stream));
        }
        series.push(Series { name: format!("{streams} at once"), points });
    }
    draw_chart(&charts.join("streams-memory.svg"), "Memory a stream, KB", "body, octets", true, &series)?;
    out.push_str("\n![memory a stream against body size](streams-memory.svg)\n\n");
    Ok(())
}

fn format_size(bytes: u64) -> String {
    match bytes {
        0..1024 => format!("{bytes} B"),
        1024..MB => format!("{} KB", bytes >> 10),
        _ => format!("{} MB", bytes >> 20),
    }
}

/// Compares throughput and CPU time with those of the copy loop.
fn measure_throughput(out: &mut String) -> io::Result<()> {
    out.push_str(
        "## Throughput against a plain copy loop\n\nThe loop is one thread with `poll`, a head passed on unread, the same \
         buffers and sockets' bounds. Medians of five runs, the two in turns.\n\n\
         | streams | stream server, MB/s | plain loop, MB/s | ratio | server, core seconds a GB | loop, core seconds a GB |\n\
         | --- | --- | --- | --- | --- | --- |\n",
    );
    let source = start_source()?;
    for (streams, length) in [(1, 2048 * MB), (100, 32 * MB)] {
        let (mut rates, mut costs) = ([Vec::new(), Vec::new()], [Vec::new(), Vec::new()]);
        for _ in 0..5 {
            // 0 is the stream server, 1 the copy loop.
            for variant in 0..2 {
                let process = match variant {
                    0 => ChildServer::stream_server(&server_settings(&[source], json!({})), false)?,
                    _ => ChildServer::start(&["stream-copy", "--upstream", &source.to_string()])?,
                };
                download_parallel(process.address, 1, MB);
                let (start, cpu_before) = (Instant::now(), process.cpu_seconds());
                let received = download_parallel(process.address, streams, length) as f64;
                rates[variant].push(received / MB as f64 / start.elapsed().as_secs_f64());
                costs[variant].push((process.cpu_seconds() - cpu_before) / (received / 1e9));
                process.shut_down()?;
            }
        }
        let [rate, loop_rate] = rates.map(median);
        let [cost, loop_cost] = costs.map(median);
        let ratio = rate / loop_rate;
        let _ = writeln!(
            out,
            "| {streams} | {rate:.0} | {loop_rate:.0} | {ratio:.2} | {cost:.2} | {loop_cost:.2} |"
        );
    }
    out.push('\n');
    Ok(())
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Measures how streams of two utilities share a link that is the bottleneck.
fn measure_fairness(out: &mut String) -> io::Result<()> {
    let source = start_source()?;
    let server = ChildServer::stream_server(&server_settings(&[source], json!({"link_mbit": 400})), false)?;
    let address = server.address;
    let counts: Vec<Arc<AtomicU64>> = (0..20).map(|_| Arc::default()).collect();
    for (n, count) in counts.iter().enumerate() {
        let (count, path) = (count.clone(), format!("/{}/{}", if n < 10 { "a" } else { "b" }, 4096 * MB));
        thread::spawn(move || download(address, &path, 4096 * MB, &count));
    }
    // Wait until all streams are under way.
    thread::sleep(Duration::from_millis(1500));
    let before: Vec<u64> = counts.iter().map(|count| count.load(Ordering::Relaxed)).collect();
    thread::sleep(Duration::from_secs(5));
    let transferred: Vec<f64> = counts
        .iter()
        .zip(before)
        .map(|(count, before)| (count.load(Ordering::Relaxed) - before) as f64)
        .collect();
    let jain_index = |values: &[f64]| {
        values.iter().sum::<f64>().powi(2) / (values.len() as f64 * values.iter().map(|x| x * x).sum::<f64>())
    };
    let (light, heavy) = (&transferred[..10], &transferred[10..]);
    let ratio = heavy.iter().sum::<f64>() / light.iter().sum::<f64>();
    let link_mbit = transferred.iter().sum::<f64>() / 5.0 * 8.0 / 1e6;
    let _ = write!(
        out,
        "## Fairness on a scarce link\n\nTen streams of utility 1 and ten of utility 3 for five seconds on a link of 400 \
         Mbit/s.\n\n| figure | value | wanted |\n| --- | --- | --- |\n| Jain's index among the ten light ones | {:.4} | 0.95 |\n\
         | among the ten heavy ones | {:.4} | 0.95 |\n| heavy over light | {ratio:.2} | 3, within a tenth |\n\
         | carried, Mbit/s | {link_mbit:.0} | 400 at most |\n\n",
        jain_index(light),
        jain_index(heavy),
    );
    // The shutdown interrupts the streams; their threads end with an error that is ignored.
    server.shut_down()?;
    Ok(())
}

/// Offers streams of two request classes as a Poisson process. Returns the share of the offered utility that was served within
/// the latency objective, and for each class the share of its streams that was.
fn offer_load(address: SocketAddr, load: f64, seconds: f64) -> (f64, [f64; 2]) {
    const LENGTH: u64 = 250_000;
    // The link of 80 Mbit/s carries 10 million bytes per second.
    let rate = load * 10e6 / LENGTH as f64;
    let (mut random, start) = (Pcg::new(11), Instant::now());
    let (offered, in_time) = ([AtomicU64::new(0), AtomicU64::new(0)], [AtomicU64::new(0), AtomicU64::new(0)]);
    let (offered, in_time) = (&offered, &in_time);
    thread::scope(|scope| {
        let mut arrival_s = 0.0;
        while arrival_s < seconds {
            arrival_s -= random.unit().max(1e-9).ln() / rate;
            let class = usize::from(random.unit() < 0.25);
            let arrival = start + Duration::from_secs_f64(arrival_s);
            thread::sleep(arrival.saturating_duration_since(Instant::now()));
            offered[class].fetch_add(1, Ordering::Relaxed);
            let work = move || {
                let path = format!("/{}/{LENGTH}", if class == 1 { "b" } else { "a" });
                let received = download(address, &path, LENGTH, &AtomicU64::new(0)).unwrap_or(0);
                if received == LENGTH && arrival.elapsed() <= Duration::from_secs(2) {
                    in_time[class].fetch_add(1, Ordering::Relaxed);
                }
            };
            let spawned = thread::Builder::new().stack_size(256 * 1024).spawn_scoped(scope, work);
            spawned.expect("the system can start a thread");
        }
    });
    let count = |counts: &[AtomicU64; 2], class: usize| counts[class].load(Ordering::Relaxed) as f64;
    let utility = |counts: &[AtomicU64; 2]| count(counts, 0) + 8.0 * count(counts, 1);
    let class_share = |class| count(in_time, class) / count(offered, class).max(1.0);
    (utility(in_time) / utility(offered), [0, 1].map(class_share))
}

/// Compares the scheduling policy with a first-come, first-served queue at loads below and above the capacity of the link.
fn measure_overload(out: &mut String, charts: &Path) -> io::Result<()> {
    out.push_str(
        "## Service by utility past what the link carries\n\nStreams of 250 KB come at random times for six seconds to a link \
         of 80 Mbit/s, one in four of utility 8, the others of 1, each wanted within 2 s. Share of the utility offered that \
         was answered whole and in time; the plain queue takes first come, first served, into the same 64 places.\n\n\
         | load | module | plain queue | module: utility 8, utility 1 | plain: utility 8, utility 1 |\n| --- | --- | --- | --- | --- |\n",
    );
    let source = start_source()?;
    let mut series = [("module", Vec::new()), ("first come, first served", Vec::new())];
    for load in [0.6, 1.0, 1.6, 2.0] {
        let mut figures = Vec::new();
        for plain in [false, true] {
            let mut settings =
                server_settings(&[source], json!({"link_mbit": 80, "at_once": 64, "memory_mb": 32}));
            for (n, utility) in [(0, 1.0), (1, 8.0)] {
                settings["stages"][n]["utility"] = json!(utility);
                settings["stages"][n]["due_ms"] = json!(2000);
                settings["stages"][n]["limit_ms"] = json!(4000);
            }
            let server = ChildServer::stream_server(&settings, plain)?;
            let figure = offer_load(server.address, load, 6.0);
            server.shut_down()?;
            series[usize::from(plain)].1.push((load, figure.0));
            figures.push(figure);
        }
        let [(module, module_classes), (plain, plain_classes)] = [figures[0], figures[1]];
        let _ = writeln!(
            out,
            "| {:.0} % | {module:.3} | {plain:.3} | {:.2}, {:.2} | {:.2}, {:.2} |",
            load * 100.0,
            module_classes[1],
            module_classes[0],
            plain_classes[1],
            plain_classes[0]
        );
    }
    let series: Vec<Series> =
        series.into_iter().map(|(name, points)| Series { name: name.to_owned(), points }).collect();
    draw_chart(
        &charts.join("streams-overload.svg"),
        "Share of utility answered in time",
        "load",
        false,
        &series,
    )?;
    out.push_str("\n![service against load](streams-overload.svg)\n\n");
    Ok(())
}

/// Interrupts transfers at random points while servers shut down. Each stream must have one outcome in the counters of its
/// server, and no client may take an incomplete or mixed body for a complete one.
fn measure_interruptions(out: &mut String) -> io::Result<()> {
    const ROUNDS: u64 = 60;
    const STREAMS_PER_ROUND: u64 = 25;
    let upstreams: Vec<Upstream> =
        (0..2).map(|_| Upstream::start(SocketAddr::from(([127, 0, 0, 1], 0)))).collect::<io::Result<_>>()?;
    let addresses: Vec<SocketAddr> = upstreams.iter().map(|upstream| upstream.address).collect();
    let (mut read, mut outcomes, mut sent, mut counters_agree) = (0, [0; 4], 0, true);
    let (complete, failed, incomplete, client_resets, corrupt) =
        (AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0));
    for round in 0..ROUNDS {
        let mut settings = server_settings(&addresses, json!({"memory_mb": 16}));
        settings["stages"] = json!([{"name": "all", "utility": 1, "due_ms": 10_000, "limit_ms": 20_000,
                                "effect": if round % 2 == 0 { "restartable" } else { "side-effecting" }}]);
        (settings["stop_ms"], settings["grace_ms"]) = (json!(600), json!(100));
        let server = ChildServer::stream_server(&settings, false)?;
        let address = server.address;
        let (complete, failed, incomplete) = (&complete, &failed, &incomplete);
        let (client_resets, corrupt) = (&client_resets, &corrupt);
        let counters = thread::scope(|scope| -> io::Result<Value> {
            for n in 0..STREAMS_PER_ROUND {
                sent += 1;
                scope.spawn(move || {
                    let mut random = Pcg::new(round * 1000 + n);
                    let mut draw = |bound: f64| (random.unit() * bound) as u64;
                    let (action, offset, delay_ms) = (draw(5.0), draw(2e6), draw(120.0));
                    thread::sleep(Duration::from_millis(delay_ms));
                    let Ok(mut client) = Client::connect(address) else { return };
                    let response = match action {
                        0 => client.get("/bytes/2000000", ""),
                        1 => client.get(&format!("/die/2000000/{offset}"), ""),
                        2 => {
                            client.put("/count", "", &lynxtally_test_doubles::stream::object_bytes(0, offset))
                        }
                        3 => client.put(
                            &format!("/break/{}", offset / 2),
                            "",
                            &lynxtally_test_doubles::stream::object_bytes(0, offset),
                        ),
                        _ => {
                            let _ = client.send(b"GET /bytes/2000000 HTTP/1.1\r\nHost: h\r\n\r\n");
                            client.read_bytes(offset as usize / 2);
                            client.reset();
                            client_resets.fetch_add(1, Ordering::Relaxed);
                            return;
                        }
                    };
                    let response = response.unwrap_or_default();
                    let has_expected_body = match action {
                        0 | 1 => response.body.len() == 2_000_000 && response.matches_object(),
                        _ => response.body == format!("{offset} true\n").as_bytes(),
                    };
                    match (response.status, response.is_complete) {
                        (200, true) if has_expected_body => complete.fetch_add(1, Ordering::Relaxed),
                        // Complete by its framing, but not the expected body: the fault that must never occur.
                        (200, true) => corrupt.fetch_add(1, Ordering::Relaxed),
                        (status, true) if status >= 500 => failed.fetch_add(1, Ordering::Relaxed),
                        _ => incomplete.fetch_add(1, Ordering::Relaxed),
                    };
                });
            }
            // Shut the server down while streams are under way.
            thread::sleep(Duration::from_millis(120 + round * 4));
            server.shut_down()
        })?;
        let number = |key: &str| counters[key].as_u64().unwrap_or(0);
        read += number("read");
        for (n, key) in ["finished", "rejected", "abandoned", "gone"].into_iter().enumerate() {
            outcomes[n] += number(key);
        }
        counters_agree &= counters["adds_up"] == true && number("open") == 0;
    }
    let outcome_count: u64 = outcomes.iter().sum();
    let [finished, rejected, abandoned, client_gone] = outcomes;
    let value = |count: AtomicU64| count.into_inner();
    let (complete, failed, incomplete) = (value(complete), value(failed), value(incomplete));
    let (client_resets, corrupt) = (value(client_resets), value(corrupt));
    let _ = write!(
        out,
        "## One outcome each\n\n{ROUNDS} servers, each told to leave while {STREAMS_PER_ROUND} streams were under way: downloads, uploads, \
         upstreams that break off and clients that reset at drawn points.\n\n| counted by servers | streams |\n| --- | --- |\n\
         | read | {read} |\n| finished, rejected, abandoned, caller gone | {finished}, {rejected}, {abandoned}, {client_gone} |\n\
         | one outcome each | {} |\n\n| seen by clients ({sent} began) | streams |\n| --- | --- |\n| whole and right | {complete} |\n\
         | refused or failed, in whole words | {failed} |\n| cut, and seen to be, or not connected any more | {incomplete} |\n\
         | reset by the client | {client_resets} |\n| cut or mixed, and looks whole | {corrupt} |\n\n",
        if counters_agree && outcome_count == read { "yes" } else { "NO" },
    );
    upstreams.iter().for_each(Upstream::stop);
    Ok(())
}

/// Runs the benchmarks named in `only`, or all if it is empty, and returns the Markdown page. Charts are written to the folder
/// `charts`.
pub fn measure(charts: &Path, only: &[String]) -> io::Result<String> {
    let is_selected = |part: &str| only.is_empty() || only.iter().any(|name| name == part);
    let mut out = "# The stream server, measured\n\nMade by `cargo run --release -p lynxtally-benchmarks -- streams`: loopback, \
                   the server in a process of its own, sources and clients in another, on one machine of 8 cores. Ratios \
                   are of one run; absolute figures are this machine's.\n\n"
        .to_owned();
    if is_selected("throughput") {
        measure_throughput(&mut out)?;
    }
    if is_selected("memory") {
        measure_memory(&mut out, charts)?;
    }
    if is_selected("fairness") {
        measure_fairness(&mut out)?;
    }
    if is_selected("overload") {
        measure_overload(&mut out, charts)?;
    }
    if is_selected("cuts") {
        measure_interruptions(&mut out)?;
    }
    Ok(out)
}
