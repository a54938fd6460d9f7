//! The disk that a store is kept on, as a trait that tests implement with injected faults. Files are only appended to
//! or replaced as a whole.

use std::collections::HashMap;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

/// One flat directory of files.
pub trait Disk: Send + Sync {
    fn list(&self) -> io::Result<Vec<String>>;
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Creates an empty file, replacing an existing one.
    fn create(&self, name: &str) -> io::Result<()>;
    /// If this fails, some of the bytes may have been written.
    fn append(&self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Makes all appended bytes of the file survive a power loss. After a failure it is unknown which
    /// of the bytes that were appended since the last successful sync survive.
    fn sync(&self, name: &str) -> io::Result<()>;
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Makes all created, replaced and removed names survive a power loss.
    fn sync_directory(&self) -> io::Result<()>;
    /// Locks the directory until this value is dropped. Fails with `WouldBlock` if another process holds the lock.
    fn lock(&self) -> io::Result<()>;
}

impl<D: Disk + ?Sized> Disk for Arc<D> {
    fn list(&self) -> io::Result<Vec<String>> {
        (**self).list()
    }
    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        (**self).read(name)
    }
    fn create(&self, name: &str) -> io::Result<()> {
        (**self).create(name)
    }
    fn append(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        (**self).append(name, bytes)
    }
    fn sync(&self, name: &str) -> io::Result<()> {
        (**self).sync(name)
    }
    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        (**self).rename(from, to)
    }
    fn remove(&self, name: &str) -> io::Result<()> {
        (**self).remove(name)
    }
    fn sync_directory(&self) -> io::Result<()> {
        (**self).sync_directory()
    }
    fn lock(&self) -> io::Result<()> {
        (**self).lock()
    }
}

/// A directory on the file system.
pub struct DirectoryDisk {
    path: PathBuf,
    /// Open handles of the files that are written to.
    open_files: Mutex<HashMap<String, Arc<File>>>,
    /// The locked file, once [`Disk::lock`] has succeeded: closing it releases the lock.
    lock_file: Mutex<Option<File>>,
}

const LOCK_FILE: &str = "LOCK";

impl DirectoryDisk {
    /// Creates the directory if it is missing.
    pub fn open(path: impl Into<PathBuf>) -> io::Result<DirectoryDisk> {
        let path = path.into();
        fs::create_dir_all(&path)?;
        Ok(DirectoryDisk { path, open_files: Mutex::default(), lock_file: Mutex::default() })
    }

    pub fn path(&self) -> &Path {
        &self.path
    }

    /// The handle to append to a file; opens the file at its first use.
    fn open_file(&self, name: &str) -> io::Result<Arc<File>> {
        let mut open_files = self.open_files.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if let Some(file) = open_files.get(name) {
            return Ok(file.clone());
        }
        let file = Arc::new(OpenOptions::new().append(true).open(self.path.join(name))?);
        open_files.insert(name.to_string(), file.clone());
        Ok(file)
    }

    fn close_file(&self, name: &str) {
        self.open_files.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).remove(name);
    }
}

impl Disk for DirectoryDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let name = entry?.file_name();
            names.extend(name.into_string().ok().filter(|name| name != LOCK_FILE));
        }
        names.sort();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn create(&self, name: &str) -> io::Result<()> {
        self.close_file(name);
        File::create(self.path.join(name)).map(drop)
    }

    fn append(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        (&*self.open_file(name)?).write_all(bytes)
    }

    fn sync(&self, name: &str) -> io::Result<()> {
        self.open_file(name)?.sync_data()
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.close_file(from);
        self.close_file(to);
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.close_file(name);
        fs::remove_file(self.path.join(name))
    }

    fn sync_directory(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn lock(&self) -> io::Result<()> {
        let file =
            OpenOptions::new().create(true).truncate(false).write(true).open(self.path.join(LOCK_FILE))?;
        match file.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                return Err(io::Error::new(io::ErrorKind::WouldBlock, "another process has the store open"));
            }
            Err(TryLockError::Error(error)) => return Err(error),
        }
        *self.lock_file.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = Some(file);
        Ok(())
    }
}
