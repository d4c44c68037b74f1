//! Asking another keeper.

use super::PEER_MOST;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::{connect::HttpConnector, Client};
use hyper_util::rt::TokioExecutor;
use std::fmt;
use std::net::SocketAddr;
use std::sync::OnceLock;
use std::time::Duration;

/// Why there was no answer.
#[derive(Debug)]
pub enum Unheard {
    /// Nobody is there, or the connection ended.
    Lost(String),
    /// Nothing came in time.
    Late,
    /// It was refused.
    Refused(StatusCode, String),
}

impl fmt::Display for Unheard {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Lost(why) => f.write_str(why),
            Self::Late => f.write_str("no answer in time"),
            Self::Refused(status, why) => write!(f, "{status}: {why}"),
        }
    }
}

impl std::error::Error for Unheard {}

/// Posts a body and returns the answer's.
///
/// # Errors
/// There was none, or it says that the body was refused.
pub async fn post(to: SocketAddr, path: &str, body: Vec<u8>, patience: Duration) -> Result<Bytes, Unheard> {
    static CLIENT: OnceLock<Client<HttpConnector, Full<Bytes>>> = OnceLock::new();
    let client = CLIENT.get_or_init(|| {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Client::builder(TokioExecutor::new()).build(connector)
    });
    let lost = |why: &dyn fmt::Display| Unheard::Lost(why.to_string());
    let ask = async {
        let message = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{to}{path}"))
            .body(Full::new(Bytes::from(body)))
            .map_err(|why| lost(&why))?;
        let answer = client.request(message).await.map_err(|why| lost(&why))?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), PEER_MOST).collect().await.map_err(|why| lost(&why))?;
        let body = body.to_bytes();
        if status == StatusCode::OK {
            Ok(body)
        } else {
            Err(Unheard::Refused(status, String::from_utf8_lossy(&body).into_owned()))
        }
    };
    tokio::time::timeout(patience, ask).await.unwrap_or(Err(Unheard::Late))
}
