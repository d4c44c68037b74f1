//! Fault tests. Each runs the node as a process with test doubles on loopback, or some of its components, and injects
//! one kind of fault.

mod doubles;
use doubles::{
    id, request, request_of_class, wait_until, Addresses, Behavior, Client, Exit, TestNode, PROGRAM,
};
use lynxtally::CallOutcome;
use lynxtally_engine::FinalResponse;
use lynxtally_net::clock::Clock;
use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::timer::Timer;
use lynxtally_node::advertised_state::AdvertisedState;
use lynxtally_node::config::ResourceLimits;
use lynxtally_node::counters::Counters;
use lynxtally_node::downstream::{Call, DownstreamClient};
use lynxtally_node::event_loop::EventLoopParts;
use lynxtally_node::executor_link::ExecutorHandle;
use lynxtally_node::health_reports::HealthReporter;
use lynxtally_node::http::{ReceivedRequest, RequestSchema};
use lynxtally_node::listener::{self, Listener, ListenerParts};
use lynxtally_node::messages::Message;
use lynxtally_node::messages::{
    CallEnd, ConnectionCommand, ConnectionHandle, ExecutorEvent, RequestRead, RunStatus,
};
use lynxtally_node::{config, node};
use may::sync::mpsc::{channel, Sender};
use std::io::Write;
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::process::Command;
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};

/// Returns the value of a counter, given by the path of its key, or 0 if it is not printed.
fn count(line: &str, name: &str) -> u64 {
    let json: serde_json::Value = serde_json::from_str(line).expect("parse the counters");
    json.pointer(&format!("/{name}")).and_then(|value| value.as_u64()).unwrap_or(0)
}

/// Shuts the node down, checks that its final counters are consistent, and returns them. Counters that are printed
/// while the node works may be inconsistent, because they are read one after another.
fn shut_down(mut node: TestNode) -> String {
    node.signal("TERM");
    let Exit { succeeded, output: lines } = node.wait();
    assert!(succeeded, "the node ends with an error");
    let line = lines.lines().last().expect("a printed line").to_owned();
    let read = count(&line, "tasks/a") + count(&line, "tasks/b");
    let answered =
        ["finished", "rejected", "abandoned", "caller_gone", "open"].map(|name| count(&line, name));
    assert_eq!(read, answered.iter().sum::<u64>(), "{line}");
    assert_eq!(count(&line, "open"), 0, "{line}");
    line
}

/// Requests arrive in pieces of a few bytes, and a burst of requests arrives on many connections, each in two halves.
/// Each request must get its own result, unchanged.
#[test]
fn results_are_returned_unchanged_however_the_requests_are_split() {
    let node = TestNode::start();
    let mut client = node.connect();
    let text = request(1, "ok:first\r\n\0") + &request(2, "error");
    for part in text.as_bytes().chunks(7) {
        client.send(std::str::from_utf8(part).expect("ASCII"));
    }
    assert_eq!(client.response(), (200, "first\r\n\0".into()));
    assert_eq!(client.response().0, 500);
    // A burst on many connections. The first half of every request is sent before the second half of any.
    let mut clients: Vec<Client> = (0..20).map(|_| node.connect()).collect();
    let texts: Vec<String> = (10..30).map(|n| request(n, &format!("ok:{n}"))).collect();
    for (client, text) in clients.iter_mut().zip(&texts) {
        client.send(&text[..40]);
    }
    for (client, text) in clients.iter_mut().zip(&texts) {
        client.send(&text[40..]);
    }
    node.signal("USR1");
    let mut finished = 1;
    for (n, client) in (10..30).zip(&mut clients) {
        match client.response() {
            (200, result) => {
                assert_eq!(result, n.to_string());
                finished += 1;
            }
            (status, _) => assert_eq!(status, 503, "requests of a burst are completed or rejected"),
        }
    }
    let line = shut_down(node);
    assert_eq!((count(&line, "finished"), count(&line, "abandoned")), (finished, 1));
    assert!(finished > 4, "more requests are completed than the executor has cores");
}

/// Clients send messages that can't be parsed. Each message must get a response with its status, its connection must
/// be closed, and it must not count as a request.
#[test]
fn a_message_that_cannot_be_parsed_is_answered_and_does_not_reach_the_scheduler() {
    let node = TestNode::start();
    for (text, status) in
        [("what?\r\n\r\n", 400), ("POST /ops/c HTTP/1.1\r\n\r\n", 400), ("GET / HTTP/1.1\r\n\r\n", 404)]
    {
        let mut client = node.connect();
        client.send(text);
        let (head, _) = client.message().expect("receive a response");
        assert!(head.contains(&status.to_string()) && head.contains("Connection: close"), "{head}");
        assert!(client.message().is_none(), "the connection is closed");
    }
    let line = shut_down(node);
    assert_eq!(["bad_head", "bad_field", "bad_path", "tasks/a"].map(|name| count(&line, name)), [1, 1, 1, 0]);
}

/// The link to the executor loses events and then breaks while one run ends, another waits for a call, and a third is
/// started. All three requests must be answered over the next link.
#[test]
fn a_lost_executor_link_loses_neither_results_nor_calls_nor_commands() {
    let node = TestNode::start();
    let [mut ending, mut calling, mut starting] = [(); 3].map(|()| node.connect());
    node.dependency.set_behavior(Behavior::Wait);
    ending.send(&request(1, "wait"));
    calling.send(&request(2, "call:body"));
    wait_until("the run and the call have started", || {
        node.executor.commands("SCHED") == 2 && node.dependency.calls() == 1
    });
    // The executor does not report the end of the first run or of the third, which is started now.
    node.executor.set_silent(true);
    node.executor.complete_run(&id(1), "kept");
    starting.send(&request(3, "ok:new"));
    wait_until("the executor got the start command", || node.executor.commands("SCHED") == 3);
    node.dependency.set_behavior(Behavior::Echo);
    node.executor.break_link();
    assert_eq!(ending.response(), (200, "kept".into()));
    assert_eq!(starting.response(), (200, "new".into()));
    assert_eq!(calling.response(), (200, "body".into()));
    let line = shut_down(node);
    assert_eq!(count(&line, "kernel_links"), 2);
}

/// The executor sends an event that can't be parsed. The bytes after it can't be parsed either, so the node must make
/// a new link. The run in progress must not be lost.
#[test]
fn an_event_that_cannot_be_parsed_closes_the_link_but_loses_no_request() {
    let node = TestNode::start();
    let mut client = node.connect();
    client.send(&request(1, "wait"));
    wait_until("the run has started", || node.executor.commands("SCHED") == 1);
    node.executor.write(b"NONSENSE\r\n");
    wait_until("a new link is open", || node.executor.commands("OPEN") == 2);
    node.executor.complete_run(&id(1), "well");
    assert_eq!(client.response(), (200, "well".into()));
    shut_down(node);
}

/// SIGHUP changes the addresses of the executor, the dependency and the control plane during a run and a call, and
/// again during a shutdown. No request may be lost, and an invalid configuration must change nothing.
#[test]
fn a_reload_changes_every_address_and_loses_no_request() {
    let node = TestNode::start();
    let mut clients: Vec<Client> = (0..3).map(|_| node.connect()).collect();
    node.dependency.set_behavior(Behavior::Wait);
    clients[0].send(&request(1, "wait"));
    clients[1].send(&request(2, "call:body"));
    wait_until("the run and the call have started", || {
        node.executor.commands("SCHED") == 2 && node.dependency.calls() == 1
    });
    // Two invalid configurations change neither the link nor the addresses.
    node.reload(&node.config_text.replace("\"kernel\"", "\"colonel\""));
    node.reload("{");
    let control = UdpSocket::bind("127.0.0.1:0").expect("bind a socket");
    let old: serde_json::Value = serde_json::from_str(&node.config_text).expect("parse JSON");
    let mut new = old.clone();
    for (key, address) in [("kernel", node.executor.listen()), ("ledger", node.dependency.listen())] {
        new[key] = address.to_string().into();
    }
    new["control"] = control.local_addr().expect("get the socket's address").to_string().into();
    new["limits"]["sockets"] = 100.into();
    node.reload(&new.to_string());
    wait_until("the executor has a second link", || node.executor.commands("OPEN") == 2);
    // Commands are read on the new link, and none of them starts the run in progress again.
    node.executor.wait_for_gauges();
    node.executor.complete_run(&id(1), "kept");
    node.dependency.set_behavior(Behavior::Echo);
    assert_eq!(clients[0].response(), (200, "kept".into()));
    assert_eq!(clients[1].response(), (200, "body".into()), "the call completes at the previous address");
    clients[2].send(&request(3, "call:new"));
    assert_eq!(clients[2].response(), (200, "new".into()));
    let mut buffer = [0; 64];
    let (n, _) = control.recv_from(&mut buffer).expect("receive a health report");
    assert_eq!(&buffer[..n], b"lease n1 Ready");
    // Restores the first addresses, and changes them again during the shutdown.
    node.reload(&node.config_text);
    wait_until("the executor has a third link", || node.executor.commands("OPEN") == 3);
    clients[2].send(&request(4, "wait"));
    wait_until("the run has started", || node.executor.commands(&format!("SCHED {}", id(4))) == 1);
    node.signal("TERM");
    node.reload(&new.to_string());
    wait_until("the executor has a fourth link", || node.executor.commands("OPEN") == 4);
    node.executor.complete_run(&id(4), "late");
    assert_eq!(clients[2].response(), (200, "late".into()));
    assert_eq!(count(&shut_down(node), "kernel_ends/moved"), 3);
}

/// More clients connect than the table holds, and send nothing or half a message. A client that sends requests must
/// be served in the meantime, and the connections of the silent clients must be closed.
#[test]
fn silent_clients_do_not_block_others_and_are_closed() {
    let node = TestNode::start();
    // The table holds 48 connections.
    let mut silent: Vec<Client> = (0..120).map(|_| node.connect()).collect();
    silent.iter_mut().step_by(2).for_each(|client| client.send("POST /ops/a HT"));
    let mut sidecar = node.connect();
    sidecar.send(&request(1, "ok:well"));
    assert_eq!(sidecar.response(), (200, "well".into()));
    for client in &mut silent {
        assert!(client.message().is_none(), "the silent connection is closed");
    }
    sidecar.send(&request(2, "ok:still"));
    assert_eq!(sidecar.response(), (200, "still".into()), "the serving connection was not evicted");
    let line = shut_down(node);
    assert!(
        count(&line, "connection_ends/expired") + count(&line, "connection_ends/crowded") >= 120,
        "{line}"
    );
}

/// Clients keep more connections open than the table holds, and use each of them once. New connections must be
/// served.
#[test]
fn connections_that_clients_keep_open_do_not_block_new_ones() {
    let node = TestNode::start();
    let mut open_clients: Vec<Client> = Vec::new();
    for n in 0..100 {
        let mut client = node.connect();
        client.send("GET /alive HTTP/1.1\r\n\r\n");
        assert_eq!(client.response().0, 200, "connection {n} is served while the others stay open");
        open_clients.push(client);
    }
    assert!(count(&shut_down(node), "connection_ends/crowded") > 40);
}

/// A client announces a body of 60 MB and sends it. The node must answer at once that the body is too large, and must
/// not read all of it.
#[test]
fn an_oversized_body_gets_its_response_and_then_a_close() {
    let node = TestNode::start();
    let mut client = node.connect();
    client.send("POST /ops/a HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n");
    assert_eq!(client.response().0, 413);
    // Sends more than the node discards while it lingers, so that a write must fail at some point.
    let chunk = [b'x'; 0x10000];
    let stream = client.stream();
    assert!((0..4000).any(|_| stream.write_all(&chunk).is_err()), "the node stops reading the body");
    assert_eq!(count(&shut_down(node), "bad_size"), 1);
}

/// A run is stopped while its request for a call is in transit, and then the link breaks. The request for a call does
/// not confirm that the executor has read the stop command, so the command must be resent.
#[test]
fn a_stop_that_crossed_a_call_request_is_sent_again_on_the_next_link() {
    let node = TestNode::start();
    let mut client = node.connect();
    // The short deadline of class `b` leads to the stop command. The executor withholds its events, and then reports
    // a call that the run requested before the stop.
    client.send(&request_of_class("b", 1, "wait"));
    wait_until("the run has started", || node.executor.commands("SCHED") == 1);
    node.executor.set_silent(true);
    assert_eq!(client.response().0, 500);
    wait_until("the run is stopped", || node.executor.commands("PREEMPT") == 1);
    node.executor.set_silent(false);
    node.executor.write(format!("IOREQ 1 {} 0\r\n\r\n", id(1)).as_bytes());
    node.executor.break_link();
    wait_until("the command is resent", || node.executor.commands("PREEMPT") == 2);
    shut_down(node);
}

/// The control plane lists a node for three seconds after a report. When the node sent one report per second, three
/// lost reports in a row removed a healthy node from the list. The test requires six reports in that time.
#[test]
fn a_node_stays_listed_though_most_of_its_reports_are_lost() {
    let node = TestNode::start();
    let six_reports_in_time = || {
        let start = Instant::now();
        (0..6).for_each(|_| assert!(node.control_plane.recv_from(&mut [0; 64]).is_ok()));
        start.elapsed() < Duration::from_secs(3)
    };
    assert!(
        (0..10).any(|_| six_reports_in_time()),
        "six reports arrive in the three seconds that one is valid"
    );
}

/// The executor refuses to start a run, and thus never reports its end. The request must be answered without it.
#[test]
fn a_request_whose_run_the_executor_refuses_is_answered() {
    let node = TestNode::start();
    let mut client = node.connect();
    client.send(&request(1, "wait"));
    wait_until("the executor got the start command", || node.executor.commands("SCHED") == 1);
    node.executor.write(format!("EINVAL SCHED {}\r\nEINVAL SCHED {}\r\n", id(1), id(9)).as_bytes());
    assert_eq!(client.response().0, 500);
    assert_eq!(count(&shut_down(node), "kernel_refused"), 2);
}

/// The dependency refuses calls, never answers, closes connections, and sends invalid responses. Only the requests
/// whose calls meet the fault may fail; after each fault, the next call must succeed.
#[test]
fn a_faulty_dependency_fails_only_the_requests_whose_calls_meet_the_fault() {
    let node = TestNode::start();
    let mut client = node.connect();
    let mut call = |n: u64, behavior| {
        node.dependency.set_behavior(behavior);
        // Calls that can't succeed are made by the class with the short deadline.
        let class = if behavior == Behavior::Echo { "a" } else { "b" };
        client.send(&request_of_class(class, n, &format!("call:{n}")));
        client.response()
    };
    assert_eq!(call(1, Behavior::Echo), (200, "1".into()));
    for (n, behavior) in
        [(2, Behavior::Refuse), (3, Behavior::Hang), (4, Behavior::Close), (5, Behavior::Garble)]
    {
        assert!(call(n, behavior).0 >= 500);
        assert_eq!(call(n + 10, Behavior::Echo), (200, (n + 10).to_string()), "the next call succeeds");
    }
    let line = shut_down(node);
    assert!(count(&line, "calls_never_ran") > 0 && count(&line, "calls_may_have_run") >= 3, "{line}");
    assert_eq!(count(&line, "calls_ok"), 5);
}

/// A duplicate of a response, or other bytes, may arrive late after a response. The node must wait for a quiet time
/// before the next call on the connection, so that it does not read such bytes as the response to the next call.
#[test]
fn late_bytes_after_a_call_response_are_not_read_as_the_next_response() {
    let node = TestNode::start();
    let mut client = node.connect();
    for n in 0..20 {
        client.send(&request(n, &format!("call:{n}")));
        assert_eq!(client.response(), (200, n.to_string()));
    }
    let calls = node.dependency.calls();
    assert_eq!(node.dependency.early_calls(), 0, "no call follows a response without the quiet time");
    let line = shut_down(node);
    // On a busy machine, a response may arrive after the call's timeout. Such a call, and no other, is retried.
    assert_eq!(calls as u64, 20 + count(&line, "calls_may_have_run"), "{line}");
    assert_eq!(count(&line, "calls_ok"), 20, "{line}");
}

/// Nothing listens at the dependency's address. The call was certainly not executed, so it may be retried.
#[test]
fn a_call_whose_connection_is_refused_was_not_executed() {
    let (event_loop, messages) = channel();
    // Nothing listens at this loopback address.
    let client =
        Arc::new(DownstreamClient::new(Some(([127, 9, 9, 9], 9).into()), event_loop, Arc::default()));
    let deadline = Instant::now() + Duration::from_secs(20);
    let call = Call { id: id(1), number: 7, deadline, body: vec![] };
    assert!(client.start_call(call).is_some());
    let Ok(Message::CallEnded { number: 7, end, .. }) = messages.recv() else { panic!("unexpected message") };
    assert_eq!(end, CallEnd::NoResponse { reason: CloseReason::Refused, written: false });
    assert_eq!(end.outcome(), CallOutcome::NotExecuted);
}

/// One client closes its sending side and waits for its response; another resets its connection. The first must be
/// answered, and the second must be counted as disconnected.
#[test]
fn a_half_closed_client_is_answered_and_a_reset_one_counts_as_disconnected() {
    let node = TestNode::start();
    let mut client = node.connect();
    client.send(&request(1, "wait"));
    client.half_close();
    let mut gone = node.connect();
    gone.send("GET /alive HTTP/1.1\r\n\r\n");
    wait_until("the health check is answered", || gone.has_unread());
    gone.send(&request(2, "wait"));
    wait_until("both runs have started", || node.executor.commands("SCHED") == 2);
    // The response to the health check is unread, so closing the connection resets it.
    drop(gone);
    node.executor.complete_run(&id(1), "late");
    assert_eq!(client.response(), (200, "late".into()));
    let line = shut_down(node);
    assert_eq!(["finished", "caller_gone"].map(|name| count(&line, name)), [1, 1], "{line}");
}

/// A client leaves while its request runs, and a request with the same id comes on another connection, once while the
/// first runs and once after it has ended. The id must not run twice.
#[test]
fn an_id_that_comes_again_after_its_client_left_does_not_run_twice() {
    let node = TestNode::start();
    let mut gone = node.connect();
    gone.send("GET /alive HTTP/1.1\r\n\r\n");
    wait_until("the health check is answered", || gone.has_unread());
    gone.send(&request(1, "wait"));
    wait_until("the run has started", || node.executor.commands("SCHED") == 1);
    drop(gone);
    let mut again = node.connect();
    again.send(&request(1, "wait"));
    assert_eq!(again.response().0, 503);
    node.executor.complete_run(&id(1), "late");
    // The node reads the end of the run before it answers a run that ends later.
    let mut other = node.connect();
    other.send(&request(2, "ok:other"));
    assert_eq!(other.response().0, 200);
    again.send(&request(1, "wait"));
    assert_eq!(again.response().0, 503);
    assert_eq!(node.executor.commands("SCHED"), 2, "one for each id");
    let line = shut_down(node);
    assert_eq!(["caller_gone", "runs_ok"].map(|name| count(&line, name)), [1, 2], "{line}");
}

/// A timed wait of the coroutine library could expire before the coroutine was suspended, and then the coroutine was
/// never woken. The node's own timer must not lose such waits.
#[test]
fn a_timed_wait_that_expires_before_the_coroutine_is_suspended_ends() {
    let timer = Timer::start().expect("start the timer thread");
    let (done, finished) = std::sync::mpsc::channel();
    let waits = move || {
        (0..2000).for_each(|n| timer.sleep(Duration::from_micros(n % 100)));
        done.send(()).expect("report the end of the waits");
    };
    lynxtally_net::coroutine::spawn(0x2000, waits, |text| panic!("{text}")).expect("start the coroutine");
    finished.recv_timeout(Duration::from_secs(20)).expect("every wait ends");
}

/// SIGTERM arrives while requests run and wait, one client is idle, and another sends more requests. All requests
/// must be answered, no connection may be reset, and the program must end before it would be killed.
#[test]
fn a_shutdown_answers_every_request_and_ends_before_the_deadline() {
    let mut node = TestNode::start();
    let mut buffer = [0; 64];
    let next_report = |node: &TestNode, buffer: &mut [u8]| {
        let (n, _) = node.control_plane.recv_from(buffer).expect("receive a health report");
        String::from_utf8_lossy(&buffer[..n]).into_owned()
    };
    assert_eq!(next_report(&node, &mut buffer), "lease n1 Ready");
    let mut clients: Vec<Client> = (0..30).map(|_| node.connect()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&request(n as u64, "wait"));
    }
    wait_until("some runs have started", || node.executor.commands("SCHED") > 0);
    let mut idle = node.connect();
    node.signal("TERM");
    wait_until("the node reports that it is not ready", || {
        next_report(&node, &mut buffer) == "lease n1 NotReady"
    });
    let mut check = node.connect();
    check.send("GET /alive HTTP/1.1\r\n\r\n");
    assert_eq!(check.response().0, 503);
    // Requests that arrive after SIGTERM are answered too. Their connection stays open while endpoint lists may still
    // contain the node.
    let mut late = node.connect();
    let sent = 3;
    for n in 0..sent {
        late.send(&request(99 + n, "ok:late"));
        let (head, _) = late.message().expect("receive a response");
        assert!(!head.contains("Connection: close"), "the connection stays open for further requests");
    }
    for client in &mut clients {
        assert!([500, 503].contains(&client.response().0));
    }
    assert!(idle.message().is_none(), "the idle connection is closed");
    let Exit { succeeded, output: line } = node.wait();
    assert!(succeeded);
    assert_eq!(count(&line, "tasks/a"), 30 + sent);
    assert_eq!(
        ["finished", "rejected", "abandoned"].map(|n| count(&line, n)).iter().sum::<u64>(),
        30 + sent,
        "{line}"
    );
}

fn schema() -> RequestSchema {
    RequestSchema { classes: vec!["a".into()], tenants: vec![], max_deadline_ms: 60_000 }
}

/// Returns limits for this number of connections, with a message timeout that suffices on slow machines.
fn resource_limits(max_connections: usize) -> ResourceLimits {
    let address = ([127, 0, 0, 1], 9).into();
    let config =
        config::parse(&doubles::config(Addresses::all(address)), |_| None).expect("valid configuration");
    ResourceLimits { max_connections, message_timeout: Duration::from_secs(60), ..config.resource_limits() }
}

/// Starts a listener as in a node. `waiting` clients connect before it accepts connections.
fn start_listener(
    schema: RequestSchema,
    advertised: Arc<AdvertisedState>,
    event_loop: Sender<Message>,
    resource_limits: ResourceLimits,
    waiting: usize,
) -> (Arc<Listener>, SocketAddr, Vec<Client>) {
    let timer = Timer::start().expect("start the timer thread");
    let listener = Arc::new(Listener::new(ListenerParts {
        resource_limits,
        schema,
        advertised,
        timer,
        event_loop,
        counters: Arc::default(),
    }));
    let socket = listener::listen(([127, 0, 0, 1], 0).into()).expect("bind a socket");
    let address = socket.local_addr().expect("get the socket's address");
    let clients = (0..waiting).map(|_| Client::connect(address)).collect();
    let accepting = listener.clone();
    let failed = |text| panic!("{text}");
    lynxtally_net::coroutine::spawn(0x2000, move || accepting.accept(socket), failed)
        .expect("start the coroutine");
    (listener, address, clients)
}

/// Twice as many clients connect at once as the table holds. The node once sent the same connection several eviction
/// commands and counted a free slot for each of them, although the table stayed full.
#[test]
fn each_evicted_connection_frees_one_slot_however_many_clients_connect_at_once() {
    let (event_loop, _messages) = channel();
    let (listener, _, mut clients) =
        start_listener(schema(), Arc::default(), event_loop, resource_limits(48), 96);
    wait_until("all connections are accepted", || listener.accepted() == 96);
    wait_until("evicted connections have closed", || listener.len() <= 48);
    let last = clients.last_mut().expect("at least one client");
    last.send("GET /alive HTTP/1.1\r\n\r\n");
    assert_eq!(last.response().0, 503, "the last client is served; the node is not healthy");
}

/// Idle connections are closed while a request arrives on one of them. The request must be read before the close and
/// served.
#[test]
fn a_request_that_has_arrived_is_not_lost_when_idle_connections_are_closed() {
    let (event_loop, messages) = channel();
    let (listener, address, _) = start_listener(schema(), Arc::default(), event_loop, resource_limits(9), 0);
    for n in 1..200 {
        let mut stream = TcpStream::connect(address).expect("connect to the listener");
        wait_until("the connection is accepted", || listener.len() == 1);
        stream.write_all(request(n, "").as_bytes()).expect("write to the connection");
        listener.close_idle(Duration::ZERO);
        let mut first = None;
        wait_until("the request is forwarded", || {
            first = messages.try_recv().ok();
            first.is_some()
        });
        let Some(Message::Request(read)) = first else { panic!("unexpected message") };
        assert_eq!(read.request.id, id(n));
        read.connection.push(ConnectionCommand::Respond(FinalResponse::Failed));
        drop(stream);
        wait_until("the connection is closed", || listener.is_empty());
    }
}

/// More clients connect than there are descriptors. A connection with an open request must never be evicted, and the
/// last client must be served when others close their connections.
#[test]
fn connections_beyond_the_descriptor_limit_wait_until_others_close() {
    // With 1024 descriptors, the limit in the configuration applies first; with 40, the descriptor limit does.
    for descriptors in [1024, 40] {
        let node = TestNode::with_descriptors(descriptors);
        // The first client has an open request, as an idle connection could be evicted, and a request that arrives
        // during the eviction would have to be sent again.
        let mut clients = vec![node.connect()];
        clients[0].send(&request(2, "wait"));
        wait_until("the run has started", || node.executor.commands("SCHED") == 1);
        clients.extend((1..80).map(|_| node.connect()));
        clients[79].send(&request(1, "ok:last"));
        // Connections are accepted in batches, until one of the two limits is reached.
        let limit = if descriptors == 40 { 40 } else { 48 };
        wait_until("the node accepts no more connections", || node.open_descriptors() >= limit);
        std::thread::sleep(Duration::from_millis(50));
        node.executor.complete_run(&id(2), "first");
        assert_eq!(clients[0].response(), (200, "first".into()), "the first client");
        // The last connection is accepted when the others close.
        let mut last = clients.pop().expect("at least one client");
        clients.clear();
        assert_eq!(last.response(), (200, "last".into()), "the last client");
        let line = shut_down(node);
        assert_eq!(count(&line, "accepts_failed") > 0, descriptors == 40, "{line}");
    }
}

/// A start must fail with one line that has the cause, if the configuration file does not exist or the address is in
/// use, and with the usage if an option is unknown.
#[test]
fn a_failed_start_prints_its_cause_in_one_line() {
    let run = |arguments: &[&str]| {
        let out = Command::new(PROGRAM)
            .args(arguments)
            .env_remove("RELAY_CONFIG")
            .output()
            .expect("run the program");
        (
            out.status.success(),
            String::from_utf8_lossy(&out.stderr).into_owned() + &String::from_utf8_lossy(&out.stdout),
        )
    };
    let (succeeded, text) = run(&["/nowhere/config.json"]);
    assert!(!succeeded && text.contains("/nowhere/config.json: ") && text.lines().count() == 1, "{text}");
    assert!(run(&["--what"]).1.starts_with("usage: "));
    assert!(!run(&[]).0);
    assert!(run(&["--help"]).0 && run(&["--version"]).0);
    let node = TestNode::start();
    let path = std::env::temp_dir().join(format!("lynxtally-taken-{}.json", std::process::id()));
    std::fs::write(&path, doubles::config(Addresses::all(node.address))).expect("write the file");
    let (succeeded, text) = run(&[path.to_str().expect("valid UTF-8")]);
    std::fs::remove_file(&path).expect("remove the file");
    assert!(!succeeded && text.contains("`listen`") && text.lines().count() == 1, "{text}");
}

/// Starts an event loop with its other components as in a node. The last returned receiver gets the outcome.
fn start_event_loop(
    schema: RequestSchema,
) -> (Sender<Message>, SocketAddr, Arc<AdvertisedState>, mpsc::Receiver<node::Outcome>) {
    let unused_address = ([127, 0, 0, 1], 9).into();
    let config = config::parse(&doubles::config(Addresses::all(unused_address)), |_| None)
        .expect("valid configuration");
    let (event_loop, messages) = channel();
    let (reports, _) = channel();
    let (counters, advertised) = (Arc::new(Counters::new(&[])), Arc::new(AdvertisedState::default()));
    let (listener, listen_address, _) =
        start_listener(schema, advertised.clone(), event_loop.clone(), resource_limits(9), 0);
    let parts = EventLoopParts {
        timer: Timer::start().expect("start the timer thread"),
        event_loop: event_loop.clone(),
        health_reporter: HealthReporter::new(reports),
        executor: Arc::new(ExecutorHandle::new(unused_address)),
        downstream: Arc::new(DownstreamClient::new(
            Some(unused_address),
            event_loop.clone(),
            counters.clone(),
        )),
        listener,
        advertised: advertised.clone(),
        counters,
        coordination: None,
    };
    let (ended, end) = mpsc::channel();
    std::thread::spawn(move || node::run_event_loop(config, parts, &messages, &ended));
    assert!(event_loop
        .send(Message::Executor(ExecutorEvent::Started { cold_start: false, uptime_ms: 0.0 }))
        .is_ok());
    wait_until("the node is healthy", || advertised.is_healthy());
    (event_loop, listen_address, advertised, end)
}

/// The event loop panics because of a defect. Every open request must be answered with a failure, and the program
/// must end with an error.
#[test]
fn an_event_loop_that_panics_answers_every_open_request() {
    // The simulated defect: the listener accepts a class `c`, which the event loop's settings don't have.
    let schema = RequestSchema { classes: ["a", "b", "c"].map(str::to_owned).to_vec(), ..schema() };
    let (_, address, advertised, end) = start_event_loop(schema);
    let [mut open, mut panicking] = [Client::connect(address), Client::connect(address)];
    open.send(&request(1, "wait"));
    panicking.send(&request_of_class("c", 2, ""));
    assert_eq!([open.response().0, panicking.response().0], [500, 500]);
    assert_eq!(end.recv_timeout(Duration::from_secs(20)), Ok(node::Outcome::Failed));
    assert!(advertised.is_draining() && !advertised.is_healthy());
}

/// Two requests arrive with the same id, and the connection of the second one breaks. The first must still get its
/// result.
#[test]
fn a_request_with_the_id_of_an_open_one_does_not_affect_it() {
    let (event_loop, ..) = start_event_loop(schema());
    let [first, second] = [(); 2].map(|()| ConnectionHandle::default());
    let arrived_ms = Clock::default().micros() / 1000;
    for connection in [&first, &second] {
        let request = ReceivedRequest { id: id(1), arrived_ms, memory_kb: 1.0, ..ReceivedRequest::default() };
        assert!(event_loop
            .send(Message::Request(RequestRead { request, connection: connection.clone() }))
            .is_ok());
    }
    // The connection of the second request breaks.
    assert!(event_loop
        .send(Message::ClientDisconnected {
            id: id(1),
            connection: second.clone(),
            reason: CloseReason::Reset
        })
        .is_ok());
    let ended = ExecutorEvent::RunEnded { id: id(1), status: RunStatus::Succeeded, result: b"mine".to_vec() };
    assert!(event_loop.send(Message::Executor(ended)).is_ok());
    let response = |handle: &ConnectionHandle| {
        let mut command = None;
        wait_until("a response has arrived", || {
            command = handle.take();
            command.is_some()
        });
        let Some(ConnectionCommand::Respond(response)) = command else { panic!("unexpected command") };
        response
    };
    assert!(matches!(response(&second), FinalResponse::Rejected { .. }));
    assert_eq!(response(&first), FinalResponse::Completed(b"mine".to_vec()));
}
