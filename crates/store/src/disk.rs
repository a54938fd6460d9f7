//! The directory that holds a store's files, as a trait, so that tests can inject I/O errors and power loss. A file is
//! only appended to or replaced; bytes in the middle of a file are never overwritten.

use std::collections::HashMap;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

/// A flat directory of files.
pub trait Disk: Send + Sync {
    /// The names of all files in ascending order, without the lock file.
    fn list(&self) -> io::Result<Vec<String>>;
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Creates an empty file, replacing an existing one.
    fn create(&self, name: &str) -> io::Result<()>;
    /// If this fails, some of the bytes may have been written.
    fn append(&self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Syncs the file, so that all appended bytes survive a power loss. After a failure it is unknown which of the
    /// bytes that were appended since the last successful sync survive.
    fn sync(&self, name: &str) -> io::Result<()>;
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Syncs the directory, so that files that were created, renamed or removed stay so after a power loss.
    fn sync_directory(&self) -> io::Result<()>;
    /// Locks the directory for exclusive use. Fails with `WouldBlock` if it is already locked, by another process or by
    /// another instance in this one.
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

/// A directory on the file system. Dropping it releases the lock.
pub struct DirectoryDisk {
    path: PathBuf,
    /// Append handles that stay open, by file name.
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

    /// Returns the append handle of a file, which is opened on first use.
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
