//! A file system directory as storage for logs and snapshots.

use lynxtally_wal::Storage;
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// If more files than this are open, all are closed. A file that is still in use is opened again at its next append.
const MAX_OPEN_FILES: usize = 64;

/// Storage in a directory. A file stays open after the first append to it.
#[derive(Debug)]
pub struct DirectoryStorage {
    path: PathBuf,
    open_files: BTreeMap<String, File>,
}

impl DirectoryStorage {
    /// Opens a directory, and creates it if it does not exist.
    ///
    /// # Errors
    /// The directory can't be created.
    pub fn new(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        Ok(Self { path: path.to_owned(), open_files: BTreeMap::new() })
    }

    /// Makes the names of created and renamed files durable. Syncing a file does not write its directory entry.
    fn sync_directory(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

impl Storage for DirectoryStorage {
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>> {
        match fs::read(self.path.join(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn list(&mut self) -> io::Result<Vec<String>> {
        let mut names: Vec<String> = fs::read_dir(&self.path)?
            .filter_map(|entry| entry.ok()?.file_name().into_string().ok())
            .collect();
        names.sort();
        Ok(names)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        if !self.open_files.contains_key(name) {
            let file = OpenOptions::new().append(true).create(true).open(self.path.join(name))?;
            self.sync_directory()?;
            // Logs of old generations are not appended to any more, so their files need not stay open.
            if self.open_files.len() > MAX_OPEN_FILES {
                self.open_files.clear();
            }
            self.open_files.insert(name.to_owned(), file);
        }
        self.open_files.get_mut(name).ok_or(io::ErrorKind::NotFound)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        match self.open_files.get(name) {
            Some(file) => file.sync_data(),
            None => File::open(self.path.join(name))?.sync_all(),
        }
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let temporary = self.path.join(format!("{name}.new"));
        let mut file = File::create(&temporary)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&temporary, self.path.join(name))?;
        self.sync_directory()
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.open_files.remove(name);
        let file = OpenOptions::new().write(true).open(self.path.join(name))?;
        file.set_len(length)?;
        file.sync_all()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open_files.remove(name);
        fs::remove_file(self.path.join(name))
    }
}

impl DirectoryStorage {
    /// Reads at most `max_bytes` bytes of a file, starting at an offset.
    ///
    /// # Errors
    /// The file can't be read.
    pub fn read_at(&self, name: &str, offset: u64, max_bytes: usize) -> io::Result<Vec<u8>> {
        let file = File::open(self.path.join(name))?;
        let mut bytes = vec![0; max_bytes];
        let mut read = 0;
        while read < max_bytes {
            match file.read_at(&mut bytes[read..], offset + read as u64)? {
                0 => break,
                more => read += more,
            }
        }
        bytes.truncate(read);
        Ok(bytes)
    }
}
