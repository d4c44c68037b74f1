//! The stored and sent formats of a coordinator: its folder, its settings and the messages to its peers. The fixtures are from
//! an earlier version of the program. A coordinator that is upgraded opens the folder of its predecessor, and its peers may
//! still run the earlier version, so the formats must be readable and must be written byte for byte the same.

use lynxtally_coordination::{Command, TimestampedCommand};
use lynxtally_coordinator::net::{AcknowledgedIndex, StartupCheck};
use lynxtally_coordinator::settings;
use lynxtally_coordinator::store::{self, RaftLog, StateMachine};
use lynxtally_coordinator::Types;
use lynxtally_fault_injection::process::TempFolder as TestFolder;
use lynxtally_messages::{AdminAction, AdminRequest, IdempotencyKey};
use lynxtally_net::directory::DirectoryStorage;
use openraft::storage::{RaftLogStorage, RaftLogStorageExt, RaftStateMachine};
use openraft::{
    BasicNode, CommittedLeaderId, Entry, EntryPayload, LogId, Membership, RaftLogReader, RaftSnapshotBuilder,
    Vote,
};
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

fn fixtures() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures")
}

fn at(term: u64, index: u64) -> LogId<u64> {
    LogId::new(CommittedLeaderId::new(term, 1), index)
}

fn entry(term: u64, index: u64, payload: EntryPayload<Types>) -> Entry<Types> {
    Entry { log_id: at(term, index), payload }
}

fn membership() -> EntryPayload<Types> {
    let voters = BTreeSet::from([1, 2, 3]);
    let nodes: BTreeMap<u64, BasicNode> =
        (1..=3).map(|id| (id, BasicNode::new(format!("127.0.0.1:760{id}")))).collect();
    EntryPayload::Membership(Membership::new(vec![voters], nodes))
}

/// Commands from the log of a coordinator.
fn commands() -> Vec<TimestampedCommand> {
    let path = "../core/coordination/tests/fixtures/log.jsonl";
    let text = std::fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join(path))
        .expect("the fixture is readable");
    text.lines().take(9).map(|line| serde_json::from_str(line).expect("the line is a command")).collect()
}

/// Writes every kind of record to a folder: a vote, entries of every kind, a truncation, a purge, and a snapshot.
async fn write_folder(path: &Path) {
    let opened = store::open(DirectoryStorage::new(path).expect("the folder is accessible"))
        .expect("the empty folder is opened");
    let (mut log, mut state_machine) =
        (RaftLog::new(&opened), StateMachine::new(&opened).expect("an empty folder has no state"));
    log.save_vote(&Vote::new(1, 1)).await.expect("the write succeeds");
    let mut entries = vec![entry(0, 0, membership()), entry(1, 1, EntryPayload::Blank)];
    for (index, command) in (2..).zip(commands()) {
        entries.push(entry(1, index, EntryPayload::Normal(command)));
    }
    log.blocking_append(entries.clone()).await.expect("the write succeeds");
    log.truncate(at(1, 10)).await.expect("the write succeeds");
    log.save_vote(&Vote::new_committed(2, 3)).await.expect("the write succeeds");
    log.blocking_append([entry(2, 10, EntryPayload::Blank)]).await.expect("the write succeeds");
    state_machine.apply(entries.into_iter().take(10)).await.expect("the entries are applied");
    state_machine.get_snapshot_builder().await.build_snapshot().await.expect("the write succeeds");
    log.purge(at(1, 4)).await.expect("the write succeeds");
}

fn files(folder: &Path) -> BTreeMap<String, Vec<u8>> {
    let entries = std::fs::read_dir(folder).expect("the folder is accessible").flatten();
    let read = |path: &Path| std::fs::read(path).expect("the file is written");
    entries
        .map(|entry| (entry.file_name().into_string().expect("the name is UTF-8"), read(&entry.path())))
        .collect()
}

#[tokio::test]
async fn a_written_folder_has_the_same_bytes_as_the_fixture() {
    let folder = TestFolder::new("formats-written");
    write_folder(&folder.0).await;
    let (written, stored) = (files(&folder.0), files(&fixtures().join("folder")));
    assert_eq!(written.keys().collect::<Vec<_>>(), stored.keys().collect::<Vec<_>>());
    for (name, bytes) in stored {
        let (text, expected) = (String::from_utf8_lossy(&written[&name]), String::from_utf8_lossy(&bytes));
        assert_eq!(text, expected, "{name}");
        assert_eq!(written[&name], bytes, "{name}");
    }
}

#[tokio::test]
async fn the_fixture_folder_is_read_completely() {
    let folder = TestFolder::new("formats-read");
    for (name, bytes) in files(&fixtures().join("folder")) {
        std::fs::write(folder.0.join(name), bytes).expect("the file is written");
    }
    let opened = store::open(DirectoryStorage::new(&folder.0).expect("the folder is accessible"))
        .expect("the folder is opened");
    assert_eq!(opened.truncated_tail, None);
    let (mut log, mut state_machine) =
        (RaftLog::new(&opened), StateMachine::new(&opened).expect("the state is read"));
    assert_eq!((log.last_index(), log.is_new()), (10, false));
    assert_eq!(log.read_vote().await.expect("the vote is read"), Some(Vote::new_committed(2, 3)));
    assert_eq!(log.get_log_state().await.expect("the state is read").last_purged_log_id, Some(at(1, 4)));
    let entries = log.try_get_log_entries(0..100).await.expect("the entries are read");
    let normal = (5..10).zip(commands().into_iter().skip(3));
    let mut expected: Vec<_> =
        normal.map(|(index, command)| entry(1, index, EntryPayload::Normal(command))).collect();
    expected.push(entry(2, 10, EntryPayload::Blank));
    assert_eq!(entries, expected);
    let (applied, members) = state_machine.applied_state().await.expect("the state is read");
    assert_eq!(applied, Some(at(1, 9)));
    assert_eq!(EntryPayload::<Types>::Membership(members.membership().clone()), membership());
    assert_eq!(state_machine.shared().read(|state| state.applied_index()), 9);
}

/// The log is compacted once it has grown by 8 MB, which a single entry of that size causes. In the fixture the word `LARGE`
/// stands for the text of that entry.
#[tokio::test]
async fn a_compacted_log_has_the_same_bytes_as_the_fixture() {
    let folder = TestFolder::new("formats-anew");
    let large = "x".repeat(9 << 20);
    let stored =
        std::fs::read_to_string(fixtures().join("rewritten_log.json")).expect("the fixture is readable");
    let opened = store::open(DirectoryStorage::new(&folder.0).expect("the folder is accessible"))
        .expect("the empty folder is opened");
    let mut log = RaftLog::new(&opened);
    let action = AdminAction::PublishDocument { version: 1, body: large.as_str().into() };
    let request = AdminRequest { key: IdempotencyKey { observed_index: 3, token: "w".into() }, action };
    let command = TimestampedCommand {
        term: 2,
        leader_clock: lynxtally::Instant::from_micros(70),
        command: Command::Admin(request),
    };
    log.save_vote(&Vote::new_committed(2, 3)).await.expect("the write succeeds");
    log.blocking_append([entry(0, 0, membership()), entry(2, 1, EntryPayload::Blank)])
        .await
        .expect("the write succeeds");
    log.purge(at(0, 0)).await.expect("the write succeeds");
    log.blocking_append([entry(2, 2, EntryPayload::Normal(command.clone()))])
        .await
        .expect("the write succeeds");
    // The storage thread compacts the log before it handles this job, so the compacted log exists afterwards.
    log.save_vote(&Vote::new_committed(3, 1)).await.expect("the write succeeds");
    let snapshot = std::fs::read(folder.0.join("log.1.snap")).expect("the log was compacted");
    let snapshot = lynxtally_wal::decode_checksummed_file(&snapshot).expect("the checksum matches");
    let written = String::from_utf8(snapshot.content.to_vec()).expect("JSON");
    assert_eq!(written.replace(&large, "LARGE"), stored);
    // The compacted log of the fixture is readable.
    let fixture_folder = TestFolder::new("formats-anew-read");
    std::fs::write(
        fixture_folder.0.join("log.1.snap"),
        lynxtally_wal::encode_checksummed_file(snapshot.number, stored.as_bytes()),
    )
    .expect("the file is written");
    let opened = store::open(DirectoryStorage::new(&fixture_folder.0).expect("the folder is accessible"))
        .expect("the folder is opened");
    let mut log = RaftLog::new(&opened);
    assert_eq!(log.read_vote().await.expect("the vote is read"), Some(Vote::new_committed(2, 3)));
    assert_eq!(log.try_get_log_entries(0..9).await.expect("the entries are read").len(), 2);
}

#[test]
fn the_messages_of_the_startup_check_keep_their_format() {
    let request: StartupCheck = serde_json::from_str("{\"id\":2}").expect("the request is decoded");
    assert_eq!(serde_json::to_string(&request).expect("JSON"), "{\"id\":2}");
    let response: AcknowledgedIndex = serde_json::from_str("{\"had\":70}").expect("the response is decoded");
    assert_eq!(serde_json::to_string(&response).expect("JSON"), "{\"had\":70}");
}

/// Reads the settings files of an earlier version of the program and the current ones in deploy/shares: the keys must not change.
#[test]
fn settings_keep_their_keys() {
    let today = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/shares");
    for (folder, name) in [(fixtures().join("settings"), "keeper"), (today, "coordinator")] {
        let one = settings::read(&folder.join(format!("{name}.jsonnet"))).expect("the settings are valid");
        assert_eq!((one.id, one.coordinators.len(), one.entries_per_snapshot), (1, 1, 20_000));
        assert_eq!((one.election_timeout.as_millis(), one.tick_interval.as_millis()), (1000, 250));
        for id in 1..=3 {
            let three =
                settings::read(&folder.join(format!("{name}-{id}.jsonnet"))).expect("the settings are valid");
            assert_eq!((three.id, three.coordinators.len(), three.entries_per_snapshot), (id, 3, 20_000));
            assert_eq!(three.folder, Path::new(&format!("state/keeper-{id}")));
            assert_eq!((three.election_timeout.as_millis(), three.tick_interval.as_millis()), (1000, 250));
        }
    }
}
