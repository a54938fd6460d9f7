//! The operator's file, which stores the startup datastore. It is read when the manager starts and replaced atomically
//! on each write.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use juniperrail_model::{xml, Data, Schema};

/// A larger file is rejected without being read.
const MAX_FILE_BYTES: u64 = 16 << 20;

/// The XML file that stores the startup datastore.
#[derive(Clone, Debug)]
pub struct OperatorFile {
    path: PathBuf,
}

impl OperatorFile {
    /// The operator's file at the path. The file need not exist.
    pub fn new(path: impl Into<PathBuf>) -> OperatorFile {
        OperatorFile { path: path.into() }
    }

    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Resolves a path that the file contains, relative to the file's directory.
    pub fn resolve(&self, path: &str) -> PathBuf {
        self.path.parent().unwrap_or(Path::new("")).join(path)
    }

    /// Reads the data; `None` if the file does not exist. The error is one line that names the file and, for invalid
    /// content, the line, the path of the node and what is wrong with it.
    pub fn read(&self, schema: &Schema) -> Result<Option<Data>, String> {
        let path = self.path.display();
        let read_error = |error: io::Error| format!("{path} cannot be read: {error}");
        match fs::metadata(&self.path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(read_error(error)),
            Ok(metadata) if metadata.len() > MAX_FILE_BYTES => {
                return Err(format!(
                    "{path} is too large: {} of at most {MAX_FILE_BYTES} bytes",
                    metadata.len()
                ));
            }
            Ok(_) => {}
        }
        let text = fs::read(&self.path).map_err(read_error)?;
        xml::parse_config(schema, &text).map(Some).map_err(|error| format!("{path}: {error}"))
    }

    /// Replaces the file atomically: a concurrent reader, or one after a crash at any step, finds either the old or
    /// the new content.
    pub fn write(&self, schema: &Schema, data: &Data) -> io::Result<()> {
        let directory = match self.path.parent() {
            Some(directory) if !directory.as_os_str().is_empty() => directory,
            _ => Path::new("."),
        };
        let mut temporary_name = self.path.file_name().unwrap_or_default().to_os_string();
        temporary_name.push(".new");
        let temporary = directory.join(temporary_name);
        let mut file = File::create(&temporary)?;
        let result = file
            .write_all(xml::write_config(schema, data).as_bytes())
            .and_then(|()| file.sync_all())
            .and_then(|()| fs::rename(&temporary, &self.path))
            // Without syncing the directory, the rename may be lost in a power failure.
            .and_then(|()| File::open(directory)?.sync_all());
        if result.is_err() {
            _ = fs::remove_file(&temporary);
        }
        result
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_write_replaces_the_file_or_leaves_it_unchanged() {
        let schema = juniperrail_model::schema();
        let directory = std::env::temp_dir().join(format!("juniperrail-file-{}", std::process::id()));
        fs::create_dir_all(&directory).unwrap();
        let file = OperatorFile::new(directory.join("operator.xml"));
        assert_eq!(file.read(&schema), Ok(None));
        let text = "<config xmlns=\"urn:ietf:params:xml:ns:netconf:base:1.0\">\
                    <workers xmlns=\"tag:juniperrail.example,2026:yang:manager\"><worker><name>s-1</name>\
                    <wanted>out</wanted></worker></workers></config>";
        fs::write(file.path(), text).unwrap();
        let data = file.read(&schema).unwrap().unwrap();
        file.write(&schema, &Data::default()).unwrap();
        assert_eq!(file.read(&schema), Ok(Some(Data::default())));
        file.write(&schema, &data).unwrap();
        assert_eq!(file.read(&schema), Ok(Some(data.clone())));
        assert_eq!(fs::read_dir(&directory).unwrap().count(), 1, "no temporary file is left");
        assert_eq!(file.resolve("host.key"), directory.join("host.key"));
        // If the temporary file cannot be created, the file stays unchanged.
        fs::create_dir(directory.join("operator.xml.new")).unwrap();
        assert!(file.write(&schema, &Data::default()).is_err());
        assert_eq!(file.read(&schema), Ok(Some(data)));
        fs::write(file.path(), text.replace("<wanted>out", "<wanted>half")).unwrap();
        let error = file.read(&schema).unwrap_err();
        assert!(
            error.contains("operator.xml: line 1: /jrm:workers/worker[name='s-1']/wanted: \"half\" is none"),
            "{error}"
        );
        fs::remove_dir_all(&directory).unwrap();
    }
}
