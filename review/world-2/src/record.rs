//! The clock of a run, and its record.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines with the time since the start of the run, in milliseconds.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> Result<Record, String> {
        let file = File::create(path).map_err(|error| format!("{}: {error}", path.display()))?;
        Ok(Record { started: Instant::now(), file: Arc::new(Mutex::new(BufWriter::new(file))) })
    }

    /// Milliseconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let now = self.now();
        if let Ok(mut file) = self.file.lock() {
            _ = writeln!(file, "{now:9.1} {}", text.as_ref());
            _ = file.flush();
        }
    }
}
