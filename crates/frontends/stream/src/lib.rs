//! Long bodies both ways: HTTP/1.1 streams between clients and upstreams, behind the decision module, in flat memory,
//! with one final outcome each.
//!
//! The codec ([`http`], [`body_framing`], [`content_coder`]) and the proxy's state ([`body_pipe`], [`proxied_request`]) are state machines
//! fed bytes; [`proxy`] is the driver; what is chosen is chosen in `lynxtally-flow` and in the module.

#![forbid(unsafe_code)]

pub mod body_framing;
pub mod body_pipe;
pub mod content_coder;
pub mod http;
pub mod output_buffer;
pub mod proxied_request;
pub mod proxy;
pub mod request_manager;
pub mod resumable_upload;
pub mod server;
pub mod settings;
pub mod start_error;
pub mod upload_archive;
