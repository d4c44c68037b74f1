//! Where uploads lie that can be gone on with: a file for the octets of each, a log of how far each is, and one thread
//! that writes, reads and makes durable, so that no stream waits for another's disk.

use lynxtally_flow::uploads::{Entry, UploadId, UploadLimits, Uploads};
use lynxtally_net::directory::DirectoryStorage;
use lynxtally_net::sync::lock;
use lynxtally_wal::{Storage, WriteAheadLog};
use std::path::Path;
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};
use tracing::{info, warn};

const NAME: &str = "uploads";
/// A log longer than this is shortened by a snapshot, in octets.
const GROWN: u64 = 4 << 20;
/// What is read at once.
pub const PIECE: usize = 128 * 1024;

/// How a job ended: what was read, or why it could not be done.
pub type Done = Result<Vec<u8>, String>;
type Tell = Box<dyn FnOnce(Done) + Send>;

enum Job {
    Append(UploadId, Vec<u8>, Tell),
    Read(UploadId, u64, usize, Tell),
    /// Makes the octets of one durable, and then that it is this far.
    Note {
        entry: Entry,
        tell: Tell,
    },
    Remove(UploadId),
}

/// The uploads of a server.
pub struct Archive {
    /// How far each is.
    pub uploads: Mutex<Uploads>,
    jobs: Sender<Job>,
}

/// What is waited for of a job: whoever waits is woken, and looks here.
#[derive(Clone, Default)]
pub struct Awaited(Arc<Mutex<Option<Done>>>);

impl Awaited {
    /// What became of it, once.
    pub fn take(&self) -> Option<Done> {
        lock(&self.0).take()
    }

    fn tell(&self, wake: impl FnOnce() + Send + 'static) -> Tell {
        let own = self.clone();
        Box::new(move |done| {
            *lock(&own.0) = Some(done);
            wake();
        })
    }
}

/// The file of an upload.
fn file(id: UploadId) -> String {
    format!("{id:016x}.upload")
}

/// Unix time in seconds.
pub fn unix_now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |past| past.as_secs())
}

fn encode(entry: &impl serde::Serialize) -> Vec<u8> {
    postcard::to_allocvec(entry).expect("plain values always have a form")
}

impl Archive {
    /// Opens a folder: what is told of each upload is compared with what is there, and one whose octets are not those
    /// that the log tells of is not kept.
    pub fn open(path: &Path, limits: UploadLimits) -> Result<Arc<Self>, String> {
        let shown = path.display();
        let mut folder = DirectoryStorage::new(path).map_err(|fault| format!("{shown}: {fault}"))?;
        let (mut journal, found) =
            WriteAheadLog::open(&mut folder, NAME).map_err(|fault| format!("{shown}: {fault}"))?;
        for damage in &found.damage {
            warn!(%damage, "the log of uploads is damaged; those that it can't tell of are not kept");
        }
        let mut uploads = Uploads::new(limits);
        if let Some(snapshot) = &found.snapshot {
            let entries: Vec<Entry> = postcard::from_bytes(snapshot)
                .map_err(|fault| format!("{shown}: a snapshot of another form: {fault}"))?;
            entries.into_iter().for_each(|entry| uploads.replay(entry));
        }
        for entry in &found.entries {
            match postcard::from_bytes(entry) {
                Ok(entry) => uploads.replay(entry),
                Err(fault) => warn!(%fault, "an entry of another form is passed over"),
            }
        }
        for id in uploads.ids() {
            if let Err(what) = check(&mut folder, &uploads, id) {
                warn!(upload = file(id), what, "not kept");
                uploads.gone(id);
                // It may be missing altogether.
                let _ = folder.remove(&file(id));
            }
        }
        let listed = folder.list().map_err(|fault| format!("{shown}: {fault}"))?;
        for name in listed.iter().filter(|name| name.ends_with(".upload")) {
            let known = uploads.ids().into_iter().any(|id| file(id) == *name);
            if !known {
                folder.remove(name).map_err(|fault| format!("{shown}/{name}: {fault}"))?;
            }
        }
        info!(uploads = uploads.ids().len(), octets = uploads.sum(), "uploads that can be gone on with");
        let rotation = journal.rotate();
        WriteAheadLog::write_snapshot(&mut folder, NAME, rotation, &encode(&uploads.snapshot()))
            .map_err(|fault| format!("{shown}: {fault}"))?;
        let (jobs, todo) = mpsc::channel();
        // What is durable, apart from how far each has come meanwhile.
        let durable = uploads.clone();
        std::thread::Builder::new()
            .name("archive".to_owned())
            .spawn(move || work(folder, journal, durable, &todo))
            .map_err(|fault| format!("a thread can't be started: {fault}"))?;
        Ok(Arc::new(Self { uploads: Mutex::new(uploads), jobs }))
    }

    fn send(&self, job: Job) {
        if let Err(mpsc::SendError(Job::Append(.., tell) | Job::Read(.., tell) | Job::Note { tell, .. })) =
            self.jobs.send(job)
        {
            tell(Err("the archive is closed".to_owned()));
        }
    }

    /// Has octets added to one.
    pub fn append(&self, id: UploadId, octets: Vec<u8>, wake: impl FnOnce() + Send + 'static) -> Awaited {
        let awaited = Awaited::default();
        self.send(Job::Append(id, octets, awaited.tell(wake)));
        awaited
    }

    /// Has octets read.
    pub fn read(&self, id: UploadId, at: u64, most: usize, wake: impl FnOnce() + Send + 'static) -> Awaited {
        let awaited = Awaited::default();
        self.send(Job::Read(id, at, most.min(PIECE), awaited.tell(wake)));
        awaited
    }

    /// Has made durable how one stands, and its octets before.
    pub fn note(&self, entry: Entry, wake: impl FnOnce() + Send + 'static) -> Awaited {
        let awaited = Awaited::default();
        self.send(Job::Note { entry, tell: awaited.tell(wake) });
        awaited
    }

    /// One is over: its octets go.
    pub fn forget(&self, id: UploadId) {
        let entry = lock(&self.uploads).gone(id);
        if let Some(entry) = entry {
            self.note(entry, || ());
            self.send(Job::Remove(id));
        }
    }

    /// Those that nobody went on with for too long go.
    pub fn sweep(&self) {
        let aged = lock(&self.uploads).aged(unix_now());
        for id in aged {
            info!(upload = file(id), "nobody went on with it");
            self.forget(id);
        }
    }
}

/// Compares an upload with what lies there; what is past it was never told to be durable and is cut off.
fn check(folder: &mut DirectoryStorage, uploads: &Uploads, id: UploadId) -> Result<(), String> {
    let upload = uploads.get(id).ok_or("it is not known")?;
    let name = file(id);
    let (mut at, mut sum) = (0, 0);
    while at < upload.offset {
        let most = (upload.offset - at).min(PIECE as u64) as usize;
        let octets = folder.read_at(&name, at, most).map_err(|fault| fault.to_string())?;
        if octets.is_empty() {
            return Err(format!("only {at} octets of {} are there", upload.offset));
        }
        sum = crc32c::crc32c_append(sum, &octets);
        at += octets.len() as u64;
    }
    if sum != upload.sum {
        return Err("its octets are not those that were told of".to_owned());
    }
    if upload.offset > 0 {
        folder.truncate(&name, upload.offset).map_err(|fault| fault.to_string())?;
    }
    Ok(())
}

fn work(
    mut folder: DirectoryStorage,
    mut journal: WriteAheadLog,
    mut durable: Uploads,
    todo: &Receiver<Job>,
) {
    // After a failed sync nobody knows what is on the disk: nothing more is called durable.
    let mut broken: Option<String> = None;
    for job in todo {
        match job {
            Job::Append(id, octets, tell) => {
                tell(
                    folder.append(&file(id), &octets).map(|()| Vec::new()).map_err(|fault| fault.to_string()),
                );
            }
            Job::Read(id, at, most, tell) => {
                tell(folder.read_at(&file(id), at, most).map_err(|fault| fault.to_string()));
            }
            Job::Note { entry, tell } => {
                if broken.is_none() {
                    broken = note(&mut folder, &mut journal, &mut durable, entry).err();
                    if let Some(what) = &broken {
                        warn!(what, "the log of uploads failed: none is called durable any more");
                    }
                }
                tell(broken.clone().map_or(Ok(Vec::new()), Err));
            }
            Job::Remove(id) => {
                // It may never have had an octet.
                let _ = folder.remove(&file(id));
            }
        }
    }
}

fn note(
    folder: &mut DirectoryStorage,
    journal: &mut WriteAheadLog,
    durable: &mut Uploads,
    entry: Entry,
) -> Result<(), String> {
    if let Entry::Moved { id, offset: 1.., .. } = entry {
        folder.sync(&file(id)).map_err(|fault| fault.to_string())?;
    }
    journal.append(&encode(&entry));
    journal.commit(folder).map_err(|fault| fault.to_string())?;
    durable.replay(entry);
    if journal.bytes_since_snapshot() > GROWN {
        let rotation = journal.rotate();
        let snapshot = encode(&durable.snapshot());
        WriteAheadLog::write_snapshot(folder, NAME, rotation, &snapshot)
            .map_err(|fault| fault.to_string())?;
    }
    Ok(())
}
