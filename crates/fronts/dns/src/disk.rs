//! The folder that lasts, and the thread that makes logs durable: all that waits is written, and then made
//! durable once for all of it.

use lynxtally_journal::{Batch, Disk};
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::Receiver;

/// A folder on a disk.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    open: BTreeMap<String, File>,
}

impl Folder {
    /// Takes a folder, making it where it is not there.
    pub fn new(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        Ok(Self { path: path.to_owned(), open: BTreeMap::new() })
    }

    fn sync_names(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

impl Disk for Folder {
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>> {
        match fs::read(self.path.join(name)) {
            Ok(octets) => Ok(Some(octets)),
            Err(why) if why.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(why) => Err(why),
        }
    }

    fn list(&mut self) -> io::Result<Vec<String>> {
        let mut names: Vec<String> = fs::read_dir(&self.path)?
            .filter_map(|entry| entry.ok()?.file_name().into_string().ok())
            .collect();
        names.sort();
        Ok(names)
    }

    fn append(&mut self, name: &str, octets: &[u8]) -> io::Result<()> {
        if !self.open.contains_key(name) {
            let file = OpenOptions::new().append(true).create(true).open(self.path.join(name))?;
            self.sync_names()?;
            // Old generations are not written any more.
            if self.open.len() > 64 {
                self.open.clear();
            }
            self.open.insert(name.to_owned(), file);
        }
        self.open.get_mut(name).ok_or(io::ErrorKind::NotFound)?.write_all(octets)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        match self.open.get(name) {
            Some(file) => file.sync_data(),
            None => File::open(self.path.join(name))?.sync_all(),
        }
    }

    fn replace(&mut self, name: &str, octets: &[u8]) -> io::Result<()> {
        let aside = self.path.join(format!("{name}.new"));
        let mut file = File::create(&aside)?;
        file.write_all(octets)?;
        file.sync_all()?;
        fs::rename(&aside, self.path.join(name))?;
        self.sync_names()
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.open.remove(name);
        let file = OpenOptions::new().write(true).open(self.path.join(name))?;
        file.set_len(length)?;
        file.sync_all()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open.remove(name);
        fs::remove_file(self.path.join(name))
    }
}

/// What the log's thread is to make durable.
pub struct Job {
    /// Whose it is.
    pub zone: usize,
    /// What.
    pub batch: Batch,
}

/// Works until nobody sends any more; `done` hears of each zone up to which number its entries are durable, or
/// that the log failed.
pub fn work(mut folder: impl Disk, jobs: &Receiver<Job>, mut done: impl FnMut(usize, Result<u64, String>)) {
    let mut failed: BTreeMap<usize, String> = BTreeMap::new();
    while let Ok(first) = jobs.recv() {
        let mut all = vec![first];
        all.extend(jobs.try_iter());
        let (mut files, mut reached): (BTreeMap<String, usize>, BTreeMap<usize, u64>) = Default::default();
        for Job { zone, batch } in all {
            if failed.contains_key(&zone) {
                continue;
            }
            match folder.append(&batch.file, &batch.octets) {
                Ok(()) => {
                    files.insert(batch.file, zone);
                    reached.insert(zone, batch.up_to);
                }
                Err(why) => {
                    failed.insert(zone, format!("{}: {why}", batch.file));
                }
            }
        }
        for (file, zone) in files {
            // After a failed sync nobody knows what is on the disk: trying again could call lost octets durable.
            if let Err(why) = folder.sync(&file) {
                failed.insert(zone, format!("{file}: {why}"));
            }
        }
        for (zone, up_to) in reached {
            done(zone, failed.get(&zone).map_or(Ok(up_to), |why| Err(why.clone())));
        }
        for (zone, why) in &failed {
            done(*zone, Err(why.clone()));
        }
    }
}
