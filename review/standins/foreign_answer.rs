//! A customer books with an idempotency key; a bad client sends the key of this open request with a body of its own.

mod common;

use common::*;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::Duration;

/// How long the upstream works on a booking.
const WORK: Duration = Duration::from_secs(2);

fn post(address: SocketAddr, customer: &str, key: &str, body: &str) -> Result<(u16, String), String> {
    let exchanged = Client::connect(address).and_then(|mut client| {
        let head = format!(
            "POST /bookings HTTP/1.1\r\nHost: front\r\nX-Org: {customer}\r\nIdempotency-Key: \"{key}\"\r\n\
             Content-Type: text/plain\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        client.send(head.as_bytes())?;
        client.send(body.as_bytes())?;
        client.response(true)
    });
    exchanged
        .map(|response| (response.status, String::from_utf8_lossy(&response.body).into_owned()))
        .map_err(|error| error.to_string())
}

fn main() {
    let case = Case::begin();
    let upstream = Upstream::start(&case, WORK, |request| {
        let customer = request.head.field("x-org");
        format!("booked for {customer}: {}", String::from_utf8_lossy(&request.body))
    });
    let address: SocketAddr = format!("127.0.0.1:{}", free_port()).parse().expect("an address");
    let settings = format!(
        "{{ listen: ['{address}'], upstreams: ['{}'],\n\
           stages: [\n\
             {{ name: 'booking', methods: ['POST'], paths: ['/bookings'], utility: 8, due_ms: 20000, limit_ms: 60000,\n\
                effect: 'fingerprinted', body_mb: 64 }},\n\
             {{ name: 'other', utility: 1, due_ms: 60000, limit_ms: 300000, effect: 'side-effecting' }},\n\
           ],\n\
           customer_field: 'X-Org',\n\
           customers: [{{ name: 'tamale-union', quota: 50 }}, {{ name: 'wa-union', quota: 50 }}],\n\
           limits: {{ memory_mb: 64, connections: 2000, link_mbit: 0 }},\n\
           stop_ms: 20000, grace_ms: 2500 }}\n",
        upstream.address,
    );
    let settings = case.write_file("front.jsonnet", &settings);
    let mut server = Process::start(&case, &["stream", "serve", "--settings", &settings]);
    wait_for_listener(&case, &mut server, address);

    // Whoever books, under which key, and what.
    let first = ("tamale-union", "5f1c-17", "plough 3 acres of A. Iddrisu, phone 0244 123 456");
    let copied = ("wa-union", if case.has_trouble { first.1 } else { "77aa-02" }, "plough 9 acres at Wa");
    let send = |case: &Arc<Case>, who: &str, request: (&'static str, &'static str, &'static str)| {
        let (case, who) = (case.clone(), who.to_owned());
        thread::spawn(move || {
            let (customer, key, body) = request;
            case.note(&format!("{who}: POST /bookings, X-Org {customer}, Idempotency-Key {key}: {body:?}"));
            let got = post(address, customer, key, body);
            case.note(&format!("{who}: answered {got:?}"));
            got
        })
    };
    let open = send(&case, "customer", first);
    sleep(WORK / 4);
    let other = send(&case, "second client", copied);
    let open = open.join().expect("the first client");
    let other = other.join().expect("the second client");
    // The customer repeats its own request, as it may within the window.
    let again = send(&case, "customer, again", first).join().expect("the first client");
    drop(server);

    let own = |request: (&str, &str, &str)| format!("booked for {}: {}", request.0, request.2);
    let runs = upstream.all();
    let ran = |request: (&str, &str, &str)| {
        runs.iter().filter(|run| run.body == request.2.as_bytes() && run.head.field("x-org") == request.0).count()
    };
    if open != Ok((200, own(first))) || again != open || ran(first) != 1 {
        case.end(NOT_RUN, "the customer's booking was not made once, as without any second client");
    }
    let (status, text) = other.unwrap_or_else(|error| case.end(NOT_RUN, &format!("no answer: {error}")));
    case.note(&format!("the second client's body ran {} times", ran(copied)));
    if status == 200 && text != own(copied) {
        case.end(BROKEN, "BROKEN: answered 'served' with what no run made for the request; it is another customer's answer");
    }
    if status == 200 && case.has_trouble {
        case.note("the second client was answered with the result of a run of its own");
    }
    case.end(HELD, "held: no request was answered with the result of another one");
}
