//! The machine's file system, with the numbered points of the store.

use std::io;
use std::path::Path;

use juniperrail_faults::{Fault, Point};
use juniperrail_store::{Disk, Folder};

/// A folder whose steps can fail at their points; without the feature `points` it is a folder.
pub struct Watched(Folder);

fn failed(point: Point) -> io::Error {
    io::Error::other(format!("{point} fails"))
}

impl Watched {
    pub fn open(path: &Path) -> io::Result<Watched> {
        Folder::open(path).map(Watched)
    }
}

impl Disk for Watched {
    fn list(&self) -> io::Result<Vec<String>> {
        self.0.list()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.0.read(name)
    }

    fn create(&self, name: &str) -> io::Result<()> {
        match Point::STORE_ROTATE.pass() {
            Some(_) => Err(failed(Point::STORE_ROTATE)),
            None => self.0.create(name),
        }
    }

    fn append(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        match Point::STORE_APPEND.pass() {
            Some(Fault::Tear) => {
                self.0.append(name, &bytes[..bytes.len() / 2])?;
                return Err(failed(Point::STORE_APPEND));
            }
            Some(_) => return Err(failed(Point::STORE_APPEND)),
            None => {}
        }
        self.0.append(name, bytes)?;
        _ = Point::STORE_APPENDED.pass();
        Ok(())
    }

    fn sync(&self, name: &str) -> io::Result<()> {
        if Point::STORE_SYNC.pass().is_some() {
            return Err(failed(Point::STORE_SYNC));
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
            Some(_) => Err(failed(Point::STORE_REMOVE)),
            None => self.0.remove(name),
        }
    }

    fn sync_names(&self) -> io::Result<()> {
        self.0.sync_names()
    }

    fn lock(&self) -> io::Result<()> {
        self.0.lock()
    }
}
