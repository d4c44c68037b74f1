//! Helpers of tests of resumable uploads.

pub use super::directory::TestDirectory;
use super::TestServer;
use lynxtally_test_doubles::stream::{Client, ClientResponse};
use std::path::PathBuf;

/// Creates an upload of `length` bytes and sends its `first` bytes. Returns the connection and the upload's
/// location.
pub fn create_upload(
    server: &TestServer,
    target: &str,
    length: usize,
    first: &[u8],
    fields: &str,
) -> (Client, String) {
    let mut client = server.client();
    let head = format!(
        "PUT {target} HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\nUpload-Complete: ?1\r\n{fields}\r\n"
    );
    client.send(head.as_bytes()).expect("sent");
    let (status, fields) = client.read_head().expect("an interim response");
    assert_eq!(status, 104, "{fields:?}");
    assert_eq!(fields.get("upload-draft-interop-version").map(String::as_str), Some("6"));
    let _ = client.send(first);
    (client, fields["location"].clone())
}

/// The file that holds the bytes of an upload.
pub fn upload_file(directory: &TestDirectory, location: &str) -> PathBuf {
    directory.0.join(format!("{}.upload", &location[10..]))
}

/// Waits until this many bytes of an upload are in the archive.
pub fn wait_for_archived(server: &TestServer, directory: &TestDirectory, location: &str, bytes: u64) {
    let file = upload_file(directory, location);
    server.wait_until("the bytes are archived", |_| {
        std::fs::metadata(&file).map_or(0, |found| found.len()) == bytes
    });
}

pub fn upload_status(server: &TestServer, location: &str) -> (u16, Option<u64>) {
    let mut client = server.client();
    client.send(format!("HEAD {location} HTTP/1.1\r\nHost: h\r\n\r\n").as_bytes()).expect("sent");
    let got = client.read_response("HEAD");
    (got.status, got.fields.get("upload-offset").and_then(|offset| offset.parse().ok()))
}

pub fn append(server: &TestServer, location: &str, offset: u64, complete: u8, body: &[u8]) -> ClientResponse {
    let mut client = server.client();
    let head = format!(
        "PATCH {location} HTTP/1.1\r\nHost: h\r\nContent-Type: application/partial-upload\r\nUpload-Offset: {offset}\r\n\
         Upload-Complete: ?{complete}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    client.send(head.as_bytes()).expect("sent");
    let _ = client.send(body);
    client.read_response("PATCH")
}
