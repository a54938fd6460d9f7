//! The seam at which tests put a disk that fails: a folder of files that are only appended to, and replaced whole.

use std::collections::HashMap;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

/// One folder. Names are plain; nothing is below it.
pub trait Disk: Send + Sync {
    fn list(&self) -> io::Result<Vec<String>>;
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// An empty file of that name, whatever was there.
    fn create(&self, name: &str) -> io::Result<()>;
    /// Some of the bytes may have been written where this fails.
    fn append(&self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// What was appended to the file survives a loss of power from here on. After a failure nothing is known of what
    /// was appended since the last success.
    fn sync(&self, name: &str) -> io::Result<()>;
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Names made, replaced and removed survive a loss of power from here on.
    fn sync_directory(&self) -> io::Result<()>;
    /// Nobody else opens this folder until this is dropped.
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

/// A folder of the machine's own file system.
pub struct DirectoryDisk {
    path: PathBuf,
    /// Files that are written to, open.
    open: Mutex<HashMap<String, Arc<File>>>,
    lock: Mutex<Option<File>>,
}

const LOCK: &str = "LOCK";

impl DirectoryDisk {
    /// The folder is made if it is missing.
    pub fn open(path: impl Into<PathBuf>) -> io::Result<DirectoryDisk> {
        let path = path.into();
        fs::create_dir_all(&path)?;
        Ok(DirectoryDisk { path, open: Mutex::default(), lock: Mutex::default() })
    }

    pub fn path(&self) -> &Path {
        &self.path
    }

    fn file(&self, name: &str) -> io::Result<Arc<File>> {
        let mut open = self.open.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if let Some(file) = open.get(name) {
            return Ok(file.clone());
        }
        let file = Arc::new(OpenOptions::new().append(true).open(self.path.join(name))?);
        open.insert(name.to_string(), file.clone());
        Ok(file)
    }

    fn forget(&self, name: &str) {
        self.open.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).remove(name);
    }
}

impl Disk for DirectoryDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let name = entry?.file_name();
            names.extend(name.into_string().ok().filter(|name| name != LOCK));
        }
        names.sort();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn create(&self, name: &str) -> io::Result<()> {
        self.forget(name);
        File::create(self.path.join(name)).map(drop)
    }

    fn append(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        (&*self.file(name)?).write_all(bytes)
    }

    fn sync(&self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.forget(from);
        self.forget(to);
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.forget(name);
        fs::remove_file(self.path.join(name))
    }

    fn sync_directory(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn lock(&self) -> io::Result<()> {
        let file = OpenOptions::new().create(true).truncate(false).write(true).open(self.path.join(LOCK))?;
        match file.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                return Err(io::Error::new(io::ErrorKind::WouldBlock, "another process has the store open"));
            }
            Err(TryLockError::Error(why)) => return Err(why),
        }
        *self.lock.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = Some(file);
        Ok(())
    }
}
