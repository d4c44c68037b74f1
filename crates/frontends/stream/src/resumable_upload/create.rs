//! Creates uploads.

use super::receive::UploadWriter;
use super::responses::refusal;
use super::{upload_path, UploadRequest, REFUSED_RETRY_AFTER};
use crate::http::{BodyUse, ConnectionUse, Framing, LocalResponse, RequestHead};
use crate::idempotency::{request_identity, ContentDigest};
use crate::proxy::{AfterRequest, Proxy};
use crate::request_manager::RequestHandle;
use crate::upload_archive::unix_seconds;
use lynxtally_engine::{ContentFingerprint, RunEnd, Scheduler};
use lynxtally_flow::uploads::{Upload, UploadId};
use rand::Rng;
use std::fmt::Write;
use std::sync::Arc;

impl<P: Scheduler + Send + 'static> Proxy<P> {
    /// Serves a request that creates an upload.
    pub(super) fn serve_creation(
        self: &Arc<Self>,
        request: &UploadRequest,
        received: &mut Vec<u8>,
    ) -> AfterRequest {
        let class = match self.settings.class(request.head) {
            Ok(class) => class,
            Err(error) => return self.reject(request, error),
        };
        if self.is_repeat_of_execution(class, request.head) {
            // Nothing is stored: the body is compared with that of the earlier request, which has or gets the response.
            return self.proxy_request(request.socket, request.from, request.head.clone(), received);
        }
        match self.admit(request, class, None, None) {
            Ok(handle) => self.create_upload(request, &handle, received),
            Err(after) => after,
        }
    }

    /// Whether a request has all of its content in its body, and the idempotency key of an execution that has begun.
    fn is_repeat_of_execution(&self, class: usize, head: &RequestHead) -> bool {
        let upload = head.known.upload;
        let is_whole = match (upload.length, head.framing) {
            (Some(announced), Framing::Length(length)) => announced == length,
            (Some(announced), Framing::Empty) => announced == 0,
            (Some(_), _) => false,
            (None, _) => true,
        };
        if upload.complete != Some(true) || !is_whole {
            return false;
        }
        let identity = request_identity(&self.settings, class, head, ContentFingerprint::Pending);
        identity.is_some_and(|identity| {
            self.with_manager(|manager, now| manager.is_identity_known(now, &identity))
        })
    }

    /// Creates an upload, and archives the body of the request.
    fn create_upload(
        self: &Arc<Self>,
        request: &UploadRequest,
        handle: &Arc<RequestHandle>,
        received: &mut Vec<u8>,
    ) -> AfterRequest {
        let UploadRequest { archive, socket, head, .. } = *request;
        let id = rand::rng().random::<UploadId>();
        let waker = socket.waker();
        let created = archive.create(id, self.new_upload(head), move || waker.wakeup());
        let (recorded, number) = match created {
            Ok(created) => created,
            Err(error) => {
                let end = RunEnd::Unavailable(REFUSED_RETRY_AFTER);
                return self.end_unread(request, handle, &refusal(error, None), end);
            }
        };
        if let Err(error) = self.await_operation(socket, &recorded) {
            archive.uploads.with(|uploads| uploads.remove(id));
            let response = LocalResponse::new(500, error.to_string());
            return self.end_unread(request, handle, &response, RunEnd::Failed);
        }
        let mut out = Vec::new();
        if !head.is_http_10 {
            LocalResponse { location: Some(upload_path(id)), ..LocalResponse::new(104, "") }.write(
                &mut out,
                ConnectionUse::KeepAlive,
                BodyUse::Omitted,
            );
        }
        if let Err(reason) = self.write_all(socket, &out) {
            self.with_manager(|manager, now| manager.client_gone(now, handle, RunEnd::Stopped));
            return AfterRequest::Close(reason);
        }
        let identity = request_identity(&self.settings, handle.class, head, ContentFingerprint::Pending);
        let digest = identity.map(|_| ContentDigest::new(head));
        let writer = UploadWriter { request, handle, id, number, checksum: 0, digest };
        self.store_body(writer, received, 201)
    }

    /// The record of a new upload, without any bytes.
    fn new_upload(&self, head: &RequestHead) -> Upload {
        let is_whole = head.known.upload.complete == Some(true);
        let length = head.known.upload.length.or(match head.framing {
            Framing::Length(length) if is_whole => Some(length),
            Framing::Empty if is_whole => Some(0),
            _ => None,
        });
        let tenant = self.settings.tenant_name(head);
        Upload {
            tenant: tenant.map(|name| String::from_utf8_lossy(name).into_owned()).unwrap_or_default(),
            request_head: stored_head(head),
            length,
            offset: 0,
            checksum: 0,
            updated_secs: unix_seconds(),
            is_complete: false,
        }
    }
}

/// The head that is stored with an upload for its upstream: that of the request that created it, without the
/// fields about the upload. The length of the body is added once it is known.
fn stored_head(request: &RequestHead) -> Vec<u8> {
    let mut text = String::new();
    let _ = write!(text, "{} {} HTTP/1.1\r\n", request.method, request.target);
    let mut head = text.into_bytes();
    for (name, value) in &request.fields {
        if !name.to_ascii_lowercase().starts_with("upload-") {
            head.extend_from_slice(name.as_bytes());
            head.extend_from_slice(b": ");
            head.extend_from_slice(value);
            head.extend_from_slice(b"\r\n");
        }
    }
    head.extend_from_slice(b"\r\n");
    head
}
