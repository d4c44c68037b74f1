//! Races between an event from outside (bytes from a peer, the response to a call, a signal, a timer) and a step of the
//! node (a read, the write of a response, a close, a handover). docs/design/crossings.md lists the races; each test
//! forces one of them.

mod doubles;
use doubles::{config, id, request, wait_until, Addresses, Behavior, Client, Exit, TestNode};
use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::coroutine::spawn;
use lynxtally_net::listener;
use lynxtally_net::timer::Timer;
use lynxtally_node::advertised_state::AdvertisedState;
use lynxtally_node::config::{parse, ResourceLimits};
use lynxtally_node::downstream::{Call, DownstreamClient};
use lynxtally_node::http::RequestSchema;
use lynxtally_node::listener::{Listener, ListenerParts};
use lynxtally_node::messages::CallEnd;
use lynxtally_node::messages::Message;
use may::sync::mpsc::{channel, Receiver};
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const CHECK: &str = "GET /alive HTTP/1.1\r\n\r\n";

fn loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// Starts a listener with this connection limit. Returns it with its address and the messages that it sends to the
/// event loop.
fn start_listener(max_connections: usize) -> (Arc<Listener>, SocketAddr, Receiver<Message>) {
    let config =
        parse(&config(Addresses::all(([127, 0, 0, 1], 9).into())), |_| None).expect("valid configuration");
    let resource_limits = ResourceLimits {
        max_connections,
        message_timeout: Duration::from_secs(60),
        ..config.resource_limits()
    };
    let schema = RequestSchema { classes: vec!["a".into()], tenants: vec![], max_deadline_ms: 60_000 };
    let (event_loop, messages) = channel();
    let (timer, advertised) =
        (Timer::start().expect("start the timer thread"), Arc::new(AdvertisedState::default()));
    let listener = Arc::new(Listener::new(ListenerParts {
        resource_limits,
        schema,
        advertised,
        timer,
        event_loop,
        counters: Arc::default(),
    }));
    let socket = listener::listen(loopback()).expect("bind a socket");
    let address = socket.local_addr().expect("get the socket's address");
    let accepting = listener.clone();
    spawn(0x2000, move || accepting.accept(socket), |text| panic!("{text}")).expect("start the coroutine");
    (listener, address, messages)
}

/// A client connects between the last `accept` and the close of the listener. The kernel completes the handshake, the
/// client sends its request, and the close resets the connection. To prevent this, new connections are filtered out
/// before the last `accept`, and connections that had begun are still accepted.
#[test]
fn a_closing_listener_filters_new_connections_and_accepts_those_that_had_begun() {
    let listener = listener::listen(loopback()).expect("bind a socket");
    let address = listener.local_addr().expect("get the socket's address");
    let _waiting: Vec<TcpStream> =
        (0..3).map(|_| TcpStream::connect(address).expect("connect to the listener")).collect();
    listener::ignore_new_connections(&listener).expect("install the packet filter");
    // The kernel must not complete the handshake of another client.
    let late = TcpStream::connect_timeout(&address, Duration::from_millis(300));
    assert_eq!(
        late.expect_err("connected although new connections are filtered out").kind(),
        ErrorKind::TimedOut
    );
    listener.set_nonblocking(true).expect("set the socket's blocking mode");
    assert_eq!(std::iter::from_fn(|| listener.accept().ok()).count(), 3);
    drop(listener);
    let refused = TcpStream::connect_timeout(&address, Duration::from_secs(5));
    assert_eq!(refused.expect_err("connected to a closed listener").kind(), ErrorKind::ConnectionRefused);
}

/// A node shuts down while it has no descriptor left and a request waits in the accept queue. The accept loop once
/// ended at the first failed `accept`, and reset all connections in the queue.
#[test]
fn a_listener_that_closes_without_a_descriptor_left_still_accepts_its_queue() {
    let mut node = TestNode::start_with(40, |text| text.replace("\"stop_ms\":3000", "\"stop_ms\":4000"));
    let mut accepted: Vec<Client> = (0..50).map(|_| node.connect()).collect();
    accepted.iter_mut().zip(1..).for_each(|(client, n)| client.send(&request(n, "wait")));
    wait_until("some runs have started", || node.executor.commands("SCHED") > 3);
    let mut queued = node.connect();
    node.signal("TERM");
    // The request arrives after the drain grace of 1000 ms, so it must not run. The listener closes after four fifths
    // of the shutdown timeout, while no descriptor is free. After that, the runs end and descriptors become free.
    std::thread::sleep(Duration::from_millis(1100));
    queued.send(&request(99, "ok:late"));
    std::thread::sleep(Duration::from_millis(2300));
    (1..50).for_each(|n| node.executor.complete_run(&id(n), "done"));
    assert_eq!(queued.response().0, 503, "the connection is accepted and its request rejected");
    assert!(node.wait().succeeded);
}

/// The program ends when half of a request has arrived. The client must see a close and not a reset, so that it sends
/// the request to another node. Bytes that arrive after the close must not be forwarded as a request, because its
/// response could not be delivered.
#[test]
fn a_client_with_half_a_request_sees_the_close_and_its_other_half_is_not_read() {
    let (listener, address, messages) = start_listener(9);
    let (mut half, mut idle) = (Client::connect(address), Client::connect(address));
    let text = request(1, "never");
    half.send(&text[..60]);
    idle.send(CHECK);
    assert_eq!(idle.response().0, 503);
    wait_until("both connections are accepted", || listener.len() == 2);
    // The close may be applied before or after the bytes are read. The client sees it in both cases.
    listener.close_all();
    assert_eq!(half.read_to_end().expect("connection closed without a reset"), b"");
    assert_eq!(idle.read_to_end().expect("connection closed without a reset"), b"");
    // One client sends the rest of its request and the other a whole request, as if they had not seen the close yet.
    half.send(&text[60..]);
    idle.send(&request(2, "never"));
    half.half_close();
    idle.half_close();
    wait_until("both connections are closed", || matches!(listener.len(), 0));
    assert!(messages.try_recv().is_err(), "no request is forwarded after the close");
}

/// The table is full, and an idle connection is evicted while its client sends more. The node once closed such a
/// connection with unread bytes, which reset it and could lose the previous response.
#[test]
fn an_evicted_client_sees_the_close_though_it_is_still_sending() {
    let node = TestNode::start();
    let mut evicted = node.connect();
    evicted.send(CHECK);
    wait_until("the health check is answered", || evicted.has_unread());
    let mut others: Vec<Client> = (0..46).map(|_| node.connect()).collect();
    for other in &mut others {
        other.send(CHECK);
        assert_eq!(other.response().0, 200);
    }
    // `late` fills the table, so the oldest connection is evicted for the next one. The node is stopped while `late`
    // connects and more than twice as many bytes as it reads at once arrive on the oldest connection.
    // A connection is not evicted within the first 20 ms in its state.
    std::thread::sleep(Duration::from_millis(50));
    node.signal("STOP");
    evicted.send(&"\r\n".repeat(0x3c00));
    let mut late = node.connect();
    late.send(CHECK);
    node.signal("CONT");
    assert_eq!(late.response().0, 200);
    assert_eq!(evicted.response().0, 200, "the response from before the eviction");
    assert_eq!(evicted.read_to_end().expect("connection closed without a reset"), b"");
}

/// A client sends more requests than the node buffers, and resets its connection while the first of them is open. While
/// its buffer was full, the node did not notice: the first request stayed open, and after its response the next one was
/// begun.
#[test]
fn no_further_request_of_a_client_that_reset_its_connection_is_begun() {
    let (listener, address, messages) = start_listener(9);
    let mut gone = Client::connect(address);
    gone.send(CHECK);
    wait_until("the health check is answered", || gone.has_unread());
    (1..=100).for_each(|number| gone.send(&request(number, &"x".repeat(400))));
    let mut read = Vec::new();
    wait_until("the first request is read", || {
        read.extend(messages.try_iter());
        !read.is_empty()
    });
    // The response to the health check is unread, so closing the connection resets it.
    drop(gone);
    wait_until("the connection is closed", || matches!(listener.len(), 0));
    read.extend(messages.try_iter());
    assert!(matches!(&read[0], Message::Request(first) if first.request.id == id(1)));
    assert!(matches!(&read[1], Message::ClientDisconnected { id: first, .. } if *first == id(1)));
    assert_eq!(read.len(), 2, "no other request is begun");
}

/// SIGTERM arrives before the executor is up, so there is no scheduler whose timer period sets the time of the exit.
/// The program once ended only when it was killed.
#[test]
fn a_shutdown_before_the_executor_is_up_ends_before_the_deadline() {
    let unused_address = "127.9.9.9:9";
    let mut node = TestNode::spawn_with_config(|text| {
        let mut config: serde_json::Value = serde_json::from_str(&text).expect("parse JSON");
        config["kernel"] = unused_address.into();
        config["stop_ms"] = 5000.into();
        config.to_string()
    });
    wait_until("the node listens", || TcpStream::connect(node.address).is_ok());
    let mut half = node.connect();
    half.send("POST /ops/a HT");
    let mut check = node.connect();
    check.send(CHECK);
    assert_eq!(check.response().0, 503, "the executor is not up");
    node.signal("TERM");
    let start = Instant::now();
    assert_eq!(half.read_to_end().expect("connection closed without a reset"), b"");
    let Exit { succeeded, .. } = node.wait();
    // The process would be killed 5000 ms after SIGTERM.
    assert!(succeeded && start.elapsed() < Duration::from_millis(5000), "{:?}", start.elapsed());
}

/// A second SIGTERM and a configuration with a longer shutdown timeout arrive while the node shuts down. Neither
/// postpones the kill that follows the first SIGTERM, so open requests must be answered before it.
#[test]
fn a_second_sigterm_and_a_reload_do_not_postpone_the_shutdown() {
    let mut node = TestNode::start();
    let mut open = node.connect();
    open.send(&request(1, "wait"));
    wait_until("the run has started", || node.executor.commands("SCHED") == 1);
    node.signal("TERM");
    node.signal("TERM");
    node.reload(&node.config_text.replace("\"stop_ms\":3000", "\"stop_ms\":60000"));
    let start = Instant::now();
    assert_eq!(open.response().0, 500, "a failure before the kill that follows the first SIGTERM");
    // The limit is far below the shutdown timeout of the reloaded configuration (60 s), and suffices on slow machines.
    assert!(node.wait().succeeded && start.elapsed() < Duration::from_secs(20), "{:?}", start.elapsed());
}

/// A node is stopped (SIGSTOP) between the start of a call and the write to its connection. When it continued, it
/// once wrote the call although the call had timed out and its share of the dependency could belong to another node
/// by then.
#[test]
fn a_call_that_timed_out_before_it_was_written_is_not_written() {
    let listener = TcpListener::bind(loopback()).expect("bind a socket");
    let address = listener.local_addr().expect("get the socket's address");
    let (event_loop, messages) = channel();
    let client = Arc::new(DownstreamClient::new(Some(address), event_loop, Arc::default()));
    let call = |number, deadline| Call { id: id(number), number, deadline, body: b"body".to_vec() };
    let call_end = || {
        let mut last = None;
        wait_until("the call has ended", || {
            last = messages.try_recv().ok();
            last.is_some()
        });
        let Some(Message::CallEnded { end, .. }) = last else { panic!("unexpected message") };
        end
    };
    assert!(client.start_call(call(1, Instant::now())).is_some());
    assert!(matches!(call_end(), CallEnd::NoResponse { written: false, .. }));
    // The same on a pooled connection: after a call that succeeded, it gets one that has already timed out.
    assert!(client.start_call(call(2, Instant::now() + Duration::from_secs(20))).is_some());
    let mut pooled = loop {
        let mut accepted = Client::new(listener.accept().expect("accept a connection").0);
        if accepted.message().is_some_and(|(head, _)| head.contains(&id(2))) {
            break accepted;
        }
    };
    pooled.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    assert!(matches!(call_end(), CallEnd::Response(_)));
    std::thread::sleep(Duration::from_millis(30));
    assert!(client.start_call(call(3, Instant::now())).is_some());
    assert_eq!(call_end(), CallEnd::NoResponse { reason: CloseReason::TimedOut, written: false });
    assert!(pooled.message().is_none(), "no byte of the call was written");
}

/// The executor reports the end of a run a second time, and then a request for a call by the same run. The node must
/// neither send a second response nor make the call.
#[test]
fn an_event_of_a_run_that_has_ended_changes_nothing() {
    let node = TestNode::start();
    let mut client = node.connect();
    client.send(&request(1, "ok:first"));
    assert_eq!(client.response(), (200, "first".into()));
    client.send(&request(2, "wait"));
    wait_until("the run has started", || node.executor.commands("SCHED") == 2);
    // The events have new numbers, so they are not ignored as replayed events.
    let repeated = format!("REAP 90 {0} OK 1.5 5\r\nagain\r\nIOREQ 91 {0} 0\r\n\r\n", id(1));
    node.executor.write(repeated.as_bytes());
    node.executor.write(format!("REAP 92 {} OK 1.5 4\r\nmine\r\n", id(2)).as_bytes());
    assert_eq!(client.response(), (200, "mine".into()));
    assert_eq!(node.dependency.calls(), 0);
}

/// The link breaks after the executor has read the response to a call. The node once resent every such response on
/// the next link unless the run had ended or requested another call. If the run requested another call at that
/// moment, it took the old response for the response to the new call.
#[test]
fn a_call_response_that_was_read_is_not_resent_to_the_runs_next_call() {
    let node = TestNode::start();
    let mut client = node.connect();
    client.send(&request(1, "calls:x"));
    wait_until("the executor got the call's response", || node.executor.commands("IODONE") == 1);
    node.executor.wait_for_gauges();
    node.executor.break_link();
    wait_until("a new link is open", || node.executor.commands("OPEN") == 2);
    node.executor.wait_for_gauges();
    assert_eq!(node.executor.commands("IODONE"), 1, "the response was read on the previous link");
    node.executor.complete_run(&id(1), "done");
    assert_eq!(client.response(), (200, "done".into()));
}

/// The link breaks, and the node can't know whether the executor has read the response to a call. The response must
/// be resent, as the run could wait for it forever otherwise.
#[test]
fn a_call_response_that_may_not_have_been_read_is_resent() {
    let node = TestNode::start();
    let mut client = node.connect();
    node.dependency.set_behavior(Behavior::Wait);
    client.send(&request(1, "calls:x"));
    wait_until("the dependency got the call", || node.dependency.calls() == 1);
    // Without reports of gauges, the node does not know which commands the executor has read.
    node.executor.set_silent(true);
    node.dependency.set_behavior(Behavior::Echo);
    wait_until("the executor got the call's response", || node.executor.commands("IODONE") == 1);
    node.executor.break_link();
    wait_until("the command is resent", || node.executor.commands("IODONE") == 2);
    node.executor.complete_run(&id(1), "done");
    assert_eq!(client.response(), (200, "done".into()));
}

/// A client reads a large response one byte at a time. Other connections must not wait for it.
#[test]
fn the_largest_response_reaches_a_client_that_reads_byte_by_byte_and_others_do_not_wait() {
    let node = TestNode::start();
    let (mut slow, mut other) = (node.connect(), node.connect());
    let result = "r".repeat(4096);
    slow.send(&request(1, "wait"));
    wait_until("the run has started", || node.executor.commands("SCHED") == 1);
    node.executor.complete_run(&id(1), &result);
    wait_until("the response has begun", || slow.has_unread());
    other.send(&request(2, "ok:well"));
    assert_eq!(other.response(), (200, "well".into()));
    let (mut byte, mut received) = ([0], Vec::new());
    while !received.ends_with(result.as_bytes()) {
        std::io::Read::read_exact(slow.stream(), &mut byte).expect("read one byte");
        received.push(byte[0]);
    }
}

/// Forty clients send without pause, and four send health checks as fast as they are answered. One such client once
/// kept the node from all other work. All of them together must get only one turn per millisecond, so that others are
/// served.
#[test]
fn clients_that_never_stop_sending_do_not_keep_others_waiting() {
    let node = TestNode::start();
    // Empty lines before a message are ignored, so these clients never complete a message.
    let lines = b"\r\n".repeat(0x4000);
    let (sent, end) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(false)));
    let floods: Vec<_> = (0..40)
        .map(|_| {
            let (mut client, lines, sent, end) = (node.connect(), lines.clone(), sent.clone(), end.clone());
            std::thread::spawn(move || {
                while !end.load(Ordering::Relaxed) && client.stream().write_all(&lines).is_ok() {
                    sent.fetch_add(lines.len(), Ordering::Relaxed);
                }
            })
        })
        .collect();
    // The other clients send health checks as fast as they are answered.
    let health_checks: Vec<_> = (0..4)
        .map(|_| {
            let (mut client, checks) = (node.connect(), CHECK.repeat(1024));
            std::thread::spawn(move || {
                while client.try_send(&checks) && (0..1024).all(|_| client.message().is_some()) {}
            })
        })
        .collect();
    // After this time the socket buffers are full, and the clients send only as fast as the node reads.
    std::thread::sleep(Duration::from_millis(500));
    let (start, before) = (Instant::now(), sent.load(Ordering::Relaxed));
    let mut other = node.connect();
    for n in 0..50 {
        other.send(&request(n, "ok:well"));
        assert_eq!(other.response(), (200, "well".into()));
    }
    std::thread::sleep(Duration::from_millis(500));
    let read = (sent.load(Ordering::Relaxed) - before) as f64 / start.elapsed().as_secs_f64();
    end.store(true, Ordering::Relaxed);
    drop(node);
    floods.into_iter().chain(health_checks).for_each(|client| client.join().expect("join the client thread"));
    // All clients together get one turn of 10 KiB per millisecond, independent of their number.
    println!("the node read {:.1} MB/s from the flooding clients", read / 1e6);
    assert!(read < 30e6, "{read} bytes per second");
}

/// A client sends messages without pause and reads no responses. The node once read all its messages and buffered the
/// responses without limit.
#[test]
fn a_client_that_never_reads_its_responses_is_not_read_without_limit() {
    let node = TestNode::start();
    let mut sending = node.connect();
    sending.stream().set_write_timeout(Some(Duration::from_secs(1))).expect("set the timeout");
    // 64 MiB are far more than the socket buffers of both sides hold.
    let (checks, mut sent) = (CHECK.repeat(4096), 0);
    while sent < 64 << 20 && sending.stream().write_all(checks.as_bytes()).is_ok() {
        sent += checks.len();
    }
    assert!(sent < 64 << 20, "the node stops reading the client");
    let mut other = node.connect();
    other.send(&request(1, "ok:well"));
    assert_eq!(other.response(), (200, "well".into()));
}

/// A client reads no responses for a while, so the node stops reading from it. Then the client reads all responses.
/// The node must handle the messages that it had left unread, although no new bytes arrive that would wake the
/// connection.
#[test]
fn messages_left_unread_are_handled_when_the_client_reads_its_responses() {
    let node = TestNode::start();
    let mut sending = node.connect();
    sending.stream().set_write_timeout(Some(Duration::from_millis(200))).expect("set the timeout");
    let (checks, mut written) = (CHECK.repeat(4096), 0);
    // Bytes are counted, as the last write may have been partial.
    let written = loop {
        match sending.stream().write(&checks.as_bytes()[written % CHECK.len()..]) {
            Ok(bytes) => written += bytes,
            Err(_) => break written,
        }
    };
    // From here on, the client sends nothing that could wake the connection.
    let checks_sent = written / CHECK.len();
    assert_eq!((0..checks_sent).filter(|_| sending.response().0 == 200).count(), checks_sent);
}

/// Idle clients fill the connection table of a node whose descriptor limit is the one in its configuration.
/// Descriptors must remain for a new link to the executor, new calls and health reports.
#[test]
fn idle_clients_that_fill_the_table_leave_descriptors_for_executor_calls_and_reports() {
    // The configuration has the same limit.
    let node = TestNode::with_descriptors(64);
    let connect_idle = |n: usize| {
        let mut client = node.connect();
        if n.is_multiple_of(2) {
            client.send(CHECK);
        }
        client
    };
    let mut idle: Vec<Client> = (0..100).map(connect_idle).collect();
    wait_until("the table is full", || node.open_descriptors() > 48);
    // A new link, each new call and a new report need a descriptor.
    node.executor.break_link();
    wait_until("a new link is open", || node.executor.commands("OPEN") == 2);
    let mut clients: Vec<Client> = (1..5).map(|_| node.connect()).collect();
    for (n, client) in (1..).zip(&mut clients) {
        client.send(&request(n, "call:body"));
    }
    for client in &mut clients {
        assert_eq!(client.response(), (200, "body".into()));
    }
    while node.control_plane.set_nonblocking(true).is_ok()
        && node.control_plane.recv_from(&mut [0; 64]).is_ok()
    {}
    node.control_plane.set_nonblocking(false).expect("set the socket's blocking mode");
    assert!(node.control_plane.recv_from(&mut [0; 64]).is_ok(), "the node still reports its health");
    let mut check = node.connect();
    check.send(CHECK);
    assert_eq!(check.response().0, 200);
    // After the idle clients have closed, the node serves requests without a restart.
    idle.clear();
    wait_until("the idle connections have closed", || node.open_descriptors() < 30);
    clients[0].send(&request(9, "call:body"));
    assert_eq!(clients[0].response(), (200, "body".into()));
}

/// The control plane is down when the node starts. The node must serve requests nevertheless, and report its health
/// when the control plane is back.
#[test]
fn a_control_plane_that_was_down_at_the_start_gets_reports_once_it_is_back() {
    let control = std::net::UdpSocket::bind(loopback()).expect("bind a socket");
    let address = control.local_addr().expect("get the socket's address");
    drop(control);
    let node = TestNode::with_config(|text| {
        let mut config: serde_json::Value = serde_json::from_str(&text).expect("parse JSON");
        config["control"] = address.to_string().into();
        config.to_string()
    });
    let mut client = node.connect();
    client.send(&request(1, "ok:well"));
    assert_eq!(client.response(), (200, "well".into()), "requests are served without the control plane");
    let control = std::net::UdpSocket::bind(address).expect("bind the previous address again");
    control.set_read_timeout(Some(Duration::from_secs(20))).expect("set the timeout");
    let mut text = [0; 64];
    let (length, _) = control.recv_from(&mut text).expect("receive a health report");
    assert_eq!(&text[..length], b"lease n1 Ready");
}
