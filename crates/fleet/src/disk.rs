//! A directory on the file system with the store's fault points.

use std::io;
use std::path::Path;

use juniperrail_faults::{Fault, Point};
use juniperrail_store::{DirectoryDisk, Disk};

/// A directory whose operations can fail at fault points. Without the feature `points` it is a plain directory.
pub struct FaultDisk(DirectoryDisk);

fn injected_error(point: Point) -> io::Error {
    io::Error::other(format!("{point} fails"))
}

impl FaultDisk {
    pub fn open(path: &Path) -> io::Result<FaultDisk> {
        DirectoryDisk::open(path).map(FaultDisk)
    }
}

impl Disk for FaultDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        self.0.list()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.0.read(name)
    }

    fn create(&self, name: &str) -> io::Result<()> {
        match Point::STORE_ROTATE.pass() {
            Some(_) => Err(injected_error(Point::STORE_ROTATE)),
            None => self.0.create(name),
        }
    }

    fn append(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        match Point::STORE_APPEND.pass() {
            Some(Fault::Tear) => {
                self.0.append(name, &bytes[..bytes.len() / 2])?;
                return Err(injected_error(Point::STORE_APPEND));
            }
            Some(_) => return Err(injected_error(Point::STORE_APPEND)),
            None => {}
        }
        self.0.append(name, bytes)?;
        _ = Point::STORE_APPENDED.pass();
        Ok(())
    }

    fn sync(&self, name: &str) -> io::Result<()> {
        if Point::STORE_SYNC.pass().is_some() {
            return Err(injected_error(Point::STORE_SYNC));
        }
        self.0.sync(name)?;
        _ = Point::STORE_SYNCED.pass();
        Ok(())
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.0.rename(from, to)?;
        _ = Point::STORE_MANIFEST_REPLACED.pass();
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        match Point::STORE_REMOVE.pass() {
            Some(_) => Err(injected_error(Point::STORE_REMOVE)),
            None => self.0.remove(name),
        }
    }

    fn sync_directory(&self) -> io::Result<()> {
        self.0.sync_directory()
    }

    fn lock(&self) -> io::Result<()> {
        self.0.lock()
    }
}
