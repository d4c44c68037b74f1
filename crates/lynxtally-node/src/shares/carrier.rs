//! The thread that carries messages to the keepers, one at a time.

use lynxtally::Span;
use lynxtally_lease_client::Outgoing;
use lynxtally_messages::{decode, encode, NodeResponse, MAX_MESSAGE_BYTES};
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Sender};
use std::thread;
use std::time::Duration;
use tracing::debug;

/// The way to the thread.
pub struct Carrier(Sender<Outgoing>);

impl Carrier {
    /// Starts the thread; `told` hears of each message's end.
    ///
    /// # Errors
    /// The thread can't be started.
    pub fn start(
        keepers: Vec<SocketAddr>,
        patience: Span,
        told: impl Fn(u64, Option<NodeResponse>) + Send + 'static,
    ) -> std::io::Result<Self> {
        let (to, outgoing) = channel::<Outgoing>();
        let patience = Duration::from_micros(patience.micros());
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .timeout_global(Some(patience))
            .http_status_as_error(false)
            .max_idle_connections(keepers.len())
            .build()
            .into();
        thread::Builder::new().name("shares".to_owned()).spawn(move || {
            while let Ok(Outgoing { keeper, token, say }) = outgoing.recv() {
                let Some(at) = keepers.get(keeper) else { continue };
                let reply = ask(&agent, *at, &encode(&say));
                if let Err(why) = &reply {
                    debug!(keeper = %at, why, "no reply from a keeper");
                }
                told(token, reply.ok());
            }
        })?;
        Ok(Self(to))
    }

    /// Has a message carried.
    pub fn carry(&self, outgoing: Outgoing) {
        // The thread ends only with this.
        let _ = self.0.send(outgoing);
    }
}

fn ask(agent: &ureq::Agent, at: SocketAddr, message: &[u8]) -> Result<NodeResponse, String> {
    let mut answer =
        agent.post(format!("http://{at}/v1/say")).send(message).map_err(|why| why.to_string())?;
    let octets = answer
        .body_mut()
        .with_config()
        .limit(MAX_MESSAGE_BYTES as u64)
        .read_to_vec()
        .map_err(|why| why.to_string())?;
    decode(&octets).map_err(|why| why.to_string())
}
