//! A folder on a disk that lasts.

use lynxtally_wal::Disk;
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

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

impl Folder {
    /// Reads at most so many octets of a file from a place on.
    pub fn read_at(&self, name: &str, at: u64, most: usize) -> io::Result<Vec<u8>> {
        let file = File::open(self.path.join(name))?;
        let mut octets = vec![0; most];
        let mut read = 0;
        while read < most {
            match file.read_at(&mut octets[read..], at + read as u64)? {
                0 => break,
                more => read += more,
            }
        }
        octets.truncate(read);
        Ok(octets)
    }
}
