//! The `lynxtally names` commands: check, serve, query and change DNS zones.

use crate::output::{print_answer, print_change};
use crate::{updates, Failed, Format};
use clap::{Args, Subcommand};
use lynxtally_dns::client::{query, Client};
use lynxtally_dns::control::{self, Command as Control};
use lynxtally_dns::server;
use lynxtally_dns::settings::{self, CheckedSettings};
use lynxtally_dns::tsig::Key;
use lynxtally_wal::WriteAheadLog;
use lynxtally_zones::change::diff;
use lynxtally_zones::secondary::TransferResult;
use lynxtally_zones::zone_file;
use lynxtally_zones::zone_store::{decode, Snapshot, ZoneLogEntry};
use lynxtally_zones::Record;
use lynxtally_zones::{Name, RecordType, Zone};
use rand::Rng;
use serde_json::json;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

/// Commands for DNS zones.
#[derive(Subcommand)]
pub enum Verb {
    /// Check zone files: print each refused record, then the numbers of accepted and refused ones
    Check {
        /// The zone files
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Apex of the zone; by default the owner of the SOA
        #[arg(long)]
        apex: Option<Name>,
        /// Maximum number of refused records; a file with more of them is unusable
        #[arg(long, default_value_t = usize::MAX)]
        refused_most: usize,
    },
    /// Run a DNS server until SIGTERM or SIGINT; SIGHUP reloads all zone files
    Serve {
        /// The server's settings
        #[arg(long)]
        settings: PathBuf,
    },
    /// Send a query to a server
    Query {
        #[command(flatten)]
        server: Server,
        /// The name to query
        name: Name,
        /// The record type
        #[arg(default_value = "A", value_parser = kind)]
        kind: RecordType,
        /// Use TCP instead of UDP
        #[arg(long)]
        tcp: bool,
    },
    /// Send an update; all its steps are applied, or none
    Update {
        #[command(flatten)]
        server: Server,
        /// The zone to update
        #[arg(long)]
        zone: Name,
        /// Lease of the added records in seconds; they are removed unless the lease is renewed
        #[arg(long)]
        lease: Option<u32>,
        /// A file with one step per line
        #[arg(long)]
        file: Option<PathBuf>,
        /// A step, such as `add www 300 A 192.0.2.1`, `del www A`, `need www A` or `need-not www`. Names are
        /// relative to the zone. Several steps are separated by `;`
        steps: Vec<String>,
    },
    /// Transfer a zone and print it as a zone file, or print its changes
    Transfer {
        #[command(flatten)]
        server: Server,
        /// The zone to transfer
        zone: Name,
        /// Print only the changes since this serial
        #[arg(long)]
        since: Option<u32>,
    },
    /// Print the records in which two zone files differ
    Diff {
        /// The older file
        old: PathBuf,
        /// The newer file
        new: PathBuf,
        /// Apex of the zone; by default the owner of the SOA
        #[arg(long)]
        apex: Option<Name>,
    },
    /// Make a running server refuse updates to a zone
    Freeze(Running),
    /// Make a running server accept updates to a zone again
    Thaw(Running),
    /// Make a running server reload a zone file
    Reread(Running),
    /// Print the state of a running server
    Status {
        /// The settings that the server was started with
        #[arg(long)]
        settings: PathBuf,
    },
    /// Logs of zones
    #[command(subcommand)]
    Journal(JournalVerb),
}

/// Commands for the logs of zones.
#[derive(Subcommand)]
pub enum JournalVerb {
    /// Print each entry of a zone's log
    Show(Running),
    /// Check a zone's log for damage without changing it
    Verify(Running),
    /// Make a running server replace a zone's log by a snapshot
    Compact(Running),
}

/// A zone of a configured server.
#[derive(Args)]
pub struct Running {
    /// The server's settings
    #[arg(long)]
    settings: PathBuf,
    /// The zone
    zone: Name,
}

/// The server to contact.
#[derive(Args)]
pub struct Server {
    /// Address and port of the server
    #[arg(long, default_value = "127.0.0.1:53")]
    server: SocketAddr,
    /// File with the TSIG key; if it has several, the first one is used
    #[arg(long)]
    key: Option<PathBuf>,
    /// Time to wait for a response, in milliseconds
    #[arg(long, default_value_t = 5000)]
    patience_ms: u64,
}

fn kind(text: &str) -> Result<RecordType, String> {
    RecordType::parse(text).ok_or_else(|| format!("{text:?} is not a record type"))
}

impl Server {
    /// Creates a client for the server.
    pub fn client(&self) -> Result<Client, Failed> {
        let key = match &self.key {
            None => None,
            Some(path) => {
                let keys = settings::read_keys(path).map_err(|what| format!("`--key` {what}"))?;
                keys.first().cloned()
            }
        };
        let key: Option<Arc<Key>> = key;
        Ok(Client { server: self.server, key, timeout: Duration::from_millis(self.patience_ms.max(1)) })
    }
}

/// Reads and checks the settings of a DNS server.
pub fn settings(path: &Path) -> Result<CheckedSettings, String> {
    let file: settings::RawSettings = lynxtally_template::read(path).map_err(|error| error.to_string())?;
    file.check().map_err(|fault| format!("{}: {fault}", path.display()))
}

fn failure(what: impl std::fmt::Display) -> Failed {
    Failed::Error(what.to_string())
}

/// Runs a `lynxtally names` command.
pub fn run(verb: Verb, format: Format) -> Result<(), Failed> {
    match verb {
        Verb::Check { files, apex, refused_most } => check(&files, apex.as_ref(), refused_most, format),
        Verb::Serve { settings: path } => serve(&path),
        Verb::Query { server, name, kind, tcp } => {
            let client = server.client()?;
            let question = query(rand::rng().random(), &name, kind);
            let answered = if tcp { client.exchange_tcp(&question) } else { client.exchange_udp(&question) };
            let answered = answered.map_err(|fault| failure(format!("{}: {fault}", server.server)))?;
            print_answer(&answered, format);
            if answered.code == 0 {
                Ok(())
            } else {
                Err(Failed::CheckFailed)
            }
        }
        Verb::Update { server, zone, lease, file, steps } => {
            updates::send(&server.client()?, &zone, lease, file.as_deref(), &steps, format)
        }
        Verb::Transfer { server, zone, since } => transfer(&server.client()?, &zone, since),
        Verb::Diff { old, new, apex } => {
            let read = |path: &Path| read_zone(path, apex.as_ref());
            let change = diff(&read(&old)?, &read(&new)?);
            print_change(&change);
            if change.is_empty() {
                Ok(())
            } else {
                Err(Failed::CheckFailed)
            }
        }
        Verb::Freeze(running) => send_zone_command(&running, Control::Freeze),
        Verb::Thaw(running) => send_zone_command(&running, Control::Thaw),
        Verb::Reread(running) => send_zone_command(&running, Control::Reread),
        Verb::Status { settings: path } => send_command(&settings(&path)?.state, &Control::Status),
        Verb::Journal(JournalVerb::Compact(running)) => send_zone_command(&running, Control::Compact),
        Verb::Journal(JournalVerb::Show(running)) => inspect_log(&running, true, format),
        Verb::Journal(JournalVerb::Verify(running)) => inspect_log(&running, false, format),
    }
}

fn send_zone_command(running: &Running, verb: impl FnOnce(String) -> Control) -> Result<(), Failed> {
    send_command(&settings(&running.settings)?.state, &verb(running.zone.to_string()))
}

fn send_command(state: &Path, verb: &Control) -> Result<(), Failed> {
    let response = control::send(state, verb).map_err(|fault| {
        failure(format!("can't reach the server with the state directory {}: {fault}", state.display()))
    })?;
    println!("{response}");
    if response.starts_with("{\"error\"") {
        Err(Failed::CheckFailed)
    } else {
        Ok(())
    }
}

fn read_file(path: &Path, apex: Option<&Name>, refused: usize) -> Result<zone_file::ParsedZoneFile, Failed> {
    let shown = path.display().to_string();
    let text = std::fs::read(path).map_err(|fault| failure(format!("{shown}: {fault}")))?;
    let folder = path.parent().map(Path::to_owned).unwrap_or_default();
    let limits = zone_file::ZoneFileLimits { max_refused: refused, ..zone_file::ZoneFileLimits::default() };
    Ok(zone_file::read(&shown, &text, apex, limits, &mut |name| server::read_include(&folder, name)))
}

fn read_zone(path: &Path, apex: Option<&Name>) -> Result<Zone, Failed> {
    let read = read_file(path, apex, usize::MAX)?;
    read.faults.iter().for_each(|fault| eprintln!("{fault}"));
    match read.unusable {
        Some(fault) => Err(failure(fault)),
        None => Ok(read.zone),
    }
}

fn check(files: &[PathBuf], apex: Option<&Name>, refused: usize, format: Format) -> Result<(), Failed> {
    let (mut kept, mut all_refused, mut usable, mut errors) = (0, 0, true, Vec::new());
    for path in files {
        let read = read_file(path, apex, refused)?;
        kept += read.zone.record_count();
        all_refused += read.refused;
        usable &= read.unusable.is_none();
        let unusable = read.unusable.iter().filter(|fault| !read.faults.contains(fault));
        for fault in read.faults.iter().chain(unusable) {
            match format {
                Format::Text => println!("{fault}"),
                Format::Json => errors.push(json!({
                    "file": &*fault.file, "line": fault.line, "column": fault.column, "reason": fault.reason,
                })),
            }
        }
    }
    match format {
        Format::Text => println!("{kept} records kept, {all_refused} refused"),
        Format::Json => {
            println!("{}", json!({"kept": kept, "refused": all_refused, "usable": usable, "faults": errors}))
        }
    }
    if usable && all_refused == 0 {
        Ok(())
    } else {
        Err(Failed::CheckFailed)
    }
}

fn serve(path: &Path) -> Result<(), Failed> {
    let checked = settings(path)?;
    let running = server::start(checked.clone(), server::new_policy)?;
    for at in &running.addresses {
        println!("listening on {at}");
    }
    let events = running.events.clone();
    let zones: Vec<String> =
        checked.zones.iter().filter(|z| z.file.is_some()).map(|z| z.apex.to_string()).collect();
    let mut signals =
        signal_hook::iterator::Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(|fault| fault.to_string())?;
    std::thread::spawn(move || {
        for signal in signals.forever() {
            if signal != SIGHUP {
                events.push(server::ServerEvent::Shutdown);
                continue;
            }
            for zone in &zones {
                let (answer, _) = std::sync::mpsc::channel();
                events.push(server::ServerEvent::Command(Control::Reread(zone.clone()), answer));
            }
        }
    });
    let ended = running.exit.recv().map_err(|_| "the server failed; the log says why".to_owned())?;
    let _ = std::fs::remove_file(control::path(&checked.state));
    println!("{}", ended.counters);
    if ended.counts_consistent {
        Ok(())
    } else {
        Err(failure("the counters are inconsistent: a request got no response, or more than one"))
    }
}

fn transfer(client: &Client, zone: &Name, since: Option<u32>) -> Result<(), Failed> {
    let soa = since.map(|serial| {
        let mut data = vec![0, 0];
        data.extend(serial.to_be_bytes());
        data.extend([0; 16]);
        Record { name: zone.clone(), kind: RecordType::SOA, ttl: 0, data }
    });
    let transferred = client
        .transfer(zone, soa.as_ref(), usize::MAX / 2, rand::rng().random())
        .map_err(|fault| failure(format!("{}: {fault}", client.server)))?;
    match transferred {
        TransferResult::UpToDate(serial) => println!("; no changes: the server has serial {serial}"),
        TransferResult::Incremental(changes) => changes.iter().for_each(print_change),
        TransferResult::Full(records) => {
            let version =
                lynxtally_zones::secondary::zone_from_records(zone, None, &records).map_err(failure)?;
            print!("{}", zone_file::write(&version));
        }
    }
    Ok(())
}

fn inspect_log(running: &Running, show: bool, format: Format) -> Result<(), Failed> {
    let checked = settings(&running.settings)?;
    let zone = checked.zones.iter().find(|zone| zone.apex == running.zone);
    let zone = zone.ok_or_else(|| failure(format!("the settings have no zone {}", running.zone)))?;
    let name = server::journal_name(zone);
    let mut folder = server::open_state_folder(&checked.state)?;
    let (_, found) = WriteAheadLog::inspect(&mut folder, &name).map_err(failure)?;
    let mut faults: Vec<String> = found.damage.iter().map(ToString::to_string).collect();
    let snapshot = found.snapshot.as_deref().map(decode::<Snapshot>).transpose();
    if let Ok(Some(snapshot)) = &snapshot {
        if server::read_base(&mut folder, &snapshot.base).is_none() {
            faults.push(format!("{}: the base file is missing or damaged", snapshot.base));
        }
        if show {
            println!("; snapshot: base {}, {} records changed since", snapshot.base, snapshot.overlay.len());
            println!(
                "; {} changes kept, {} leases, {} known updates",
                snapshot.history.len(),
                snapshot.leases.len(),
                snapshot.known_updates.len()
            );
        }
    }
    faults.extend(snapshot.err().map(|fault| fault.to_string()));
    let mut count = 0;
    for octets in &found.entries {
        match decode::<ZoneLogEntry>(octets) {
            Ok(entry) if show => show_entry(&entry),
            Ok(_) => {}
            Err(what) => faults.push(format!("entry {count}: {what}")),
        }
        count += 1;
    }
    if let Some(cut) = &found.torn_tail {
        // An incomplete last entry was never acknowledged, so it is reported but is no fault.
        println!(
            "; {}: {} octets at offset {} are an incomplete entry and will be cut off",
            cut.file, cut.length, cut.offset
        );
    }
    match format {
        Format::Text => {
            faults.iter().for_each(|fault| println!("{fault}"));
            println!("{count} entries, {} faults", faults.len());
        }
        Format::Json => {
            println!("{}", json!({"entries": count, "faults": faults, "cut": found.torn_tail.is_some()}))
        }
    }
    if faults.is_empty() {
        Ok(())
    } else {
        Err(Failed::CheckFailed)
    }
}

fn show_entry(entry: &ZoneLogEntry) {
    match entry {
        ZoneLogEntry::Changed { change, lease, .. } => {
            let held = if *lease > 0 { format!(", lease {lease} s") } else { String::new() };
            println!("; {} to {}{held}", change.from, change.to);
            print_change(change);
        }
        ZoneLogEntry::Kept(records) => {
            for (name, kind, data) in records {
                println!("; lease released: {name} {kind} {}", kind.format_data(data));
            }
        }
        ZoneLogEntry::Based { base, serial, .. } => {
            println!("; {serial}: the zone file was reloaded, base {base}")
        }
        ZoneLogEntry::Followed { base } => println!("; full transfer from a primary, base {base}"),
    }
}
