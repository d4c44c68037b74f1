//! Responses of the proxy's own to requests about uploads.

use crate::http::{LocalResponse, MessageError, UploadState};
use crate::upload_archive::UploadArchive;
use lynxtally_engine::FinalResponse;
use lynxtally_flow::uploads::lifecycle::{ForwardOutcome, UploadPhase};
use lynxtally_flow::uploads::{UploadError, UploadId};

/// The seconds after which a client may repeat a request that was not finished.
const UNFINISHED_RETRY_SECS: u64 = 1;

/// The progress of an upload; `None` if it is unknown.
pub(super) fn upload_state(archive: &UploadArchive, id: UploadId) -> Option<UploadState> {
    archive.uploads.with(|uploads| {
        let upload = uploads.get(id)?;
        Some(UploadState { offset: upload.offset, is_complete: upload.is_complete })
    })
}

/// The response to an operation on an upload that was refused.
pub(super) fn refusal(error: UploadError, upload_state: Option<UploadState>) -> LocalResponse {
    let message_error = match error {
        UploadError::Unknown => MessageError::UnknownUpload,
        UploadError::WrongOffset(_) | UploadError::TakenOver => MessageError::OffsetMismatch,
        UploadError::WrongLength => MessageError::BodyTooLarge,
        UploadError::QuotaExceeded => MessageError::QuotaExceeded,
        UploadError::AlreadyForwarded => MessageError::AlreadyForwarded,
    };
    LocalResponse { upload_state, ..LocalResponse::from_error(message_error) }
}

/// The response to a request on an upload that was executed, if there is no response of an upstream to give. It invites
/// neither a repeat nor another upload with the same content.
pub(super) fn executed_response(outcome: ForwardOutcome, upload_state: Option<UploadState>) -> LocalResponse {
    let text = match outcome {
        ForwardOutcome::Answered => "the upload was executed before, but the response is not kept",
        ForwardOutcome::Unknown => {
            "the upload may have been executed, but no response was received; it is not executed again"
        }
    };
    LocalResponse { upload_state, ..LocalResponse::new(502, text) }
}

/// The response to a request that was not admitted, or was not finished by its deadline.
pub(super) fn unfinished_response(
    response: &FinalResponse,
    upload_state: Option<UploadState>,
) -> LocalResponse {
    match response {
        FinalResponse::Rejected { retry_after, .. } => {
            let retry_after_secs = Some((retry_after.secs().ceil() as u64).max(1));
            LocalResponse {
                retry_after_secs,
                upload_state,
                ..LocalResponse::new(503, "not taken; nothing of it was done")
            }
        }
        // The deadline of the request has passed, but a new request can resume the upload at its offset.
        _ => LocalResponse {
            retry_after_secs: Some(UNFINISHED_RETRY_SECS),
            upload_state,
            ..LocalResponse::new(503, "not done in time")
        },
    }
}

/// The response to a request that failed while its upload is in this phase. It may be repeated for the same upload, unless
/// that was executed.
pub(super) fn failed_response(
    phase: Option<UploadPhase>,
    upload_state: Option<UploadState>,
) -> LocalResponse {
    match phase {
        Some(UploadPhase::Executed(outcome)) => executed_response(outcome, upload_state),
        Some(UploadPhase::Forwarding) => LocalResponse {
            retry_after_secs: Some(UNFINISHED_RETRY_SECS),
            upload_state,
            ..LocalResponse::new(504, "not done in time; the upload is still being executed")
        },
        Some(UploadPhase::Receiving | UploadPhase::Complete) | None => {
            unfinished_response(&FinalResponse::Failed, upload_state)
        }
    }
}
