//! The stream frontend: a reverse proxy for HTTP/1.1 requests with long bodies in either direction, behind the
//! scheduling policy. Memory is limited whatever the bodies' lengths, and each request gets exactly one final response.
//!
//! The codecs ([`http`], [`body_framing`], [`content_coder`]) and the proxy's state ([`body_pipe`],
//! [`proxied_request`]) are state machines that are fed bytes and do no I/O. [`proxy`] drives them with sockets,
//! [`resumable_upload`] and [`upload_archive`] serve resumable uploads, and [`request_manager`] applies the scheduling
//! policy and the policies of `lynxtally-flow`.

#![forbid(unsafe_code)]

pub mod body_framing;
pub mod body_pipe;
pub mod content_coder;
pub mod http;
pub mod idempotency;
pub mod output_buffer;
pub mod proxied_request;
pub mod proxy;
pub mod request_manager;
pub mod resumable_upload;
pub mod server;
pub mod settings;
pub mod start_error;
pub mod upload_archive;
