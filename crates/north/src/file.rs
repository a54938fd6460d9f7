//! The operator's file: read at the start, replaced whole by what startup becomes.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use juniperrail_model::{xml, Data, Schema};

/// A larger file is none of ours.
const LARGEST: u64 = 16 << 20;

/// The XML file that holds startup.
#[derive(Clone, Debug)]
pub struct OperatorFile {
    path: PathBuf,
}

impl OperatorFile {
    pub fn new(path: impl Into<PathBuf>) -> OperatorFile {
        OperatorFile { path: path.into() }
    }

    pub fn path(&self) -> &Path {
        &self.path
    }

    /// A file that it names, relative to the folder that it stands in.
    pub fn resolve(&self, named: &str) -> PathBuf {
        self.path.parent().unwrap_or(Path::new("")).join(named)
    }

    /// What it holds; `None` where there is none. The error is one line that names file, line, path and rule.
    pub fn read(&self, schema: &Schema) -> Result<Option<Data>, String> {
        let shown = self.path.display();
        let unread = |why: io::Error| format!("{shown} cannot be read: {why}");
        match fs::metadata(&self.path) {
            Err(why) if why.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(why) => return Err(unread(why)),
            Ok(known) if known.len() > LARGEST => {
                return Err(format!("{shown} holds {} bytes and at most {LARGEST} are read", known.len()));
            }
            Ok(_) => {}
        }
        let text = fs::read(&self.path).map_err(unread)?;
        xml::file(schema, &text).map(Some).map_err(|fault| format!("{shown}: {fault}"))
    }

    /// Replaces it whole: whoever reads it meanwhile, or after a crash at any step, finds the old or the new one.
    pub fn write(&self, schema: &Schema, data: &Data) -> io::Result<()> {
        let folder = match self.path.parent() {
            Some(folder) if !folder.as_os_str().is_empty() => folder,
            _ => Path::new("."),
        };
        let mut name = self.path.file_name().unwrap_or_default().to_os_string();
        name.push(".new");
        let new = folder.join(name);
        let mut file = File::create(&new)?;
        let written = file
            .write_all(xml::to_file(schema, data).as_bytes())
            .and_then(|()| file.sync_all())
            .and_then(|()| fs::rename(&new, &self.path))
            // Without this the rename itself may be lost with the power.
            .and_then(|()| File::open(folder)?.sync_all());
        if written.is_err() {
            _ = fs::remove_file(&new);
        }
        written
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_file_is_replaced_whole_or_stays_as_it_was() {
        let schema = juniperrail_model::schema();
        let folder = std::env::temp_dir().join(format!("juniperrail-file-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let file = OperatorFile::new(folder.join("operator.xml"));
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
        assert_eq!(fs::read_dir(&folder).unwrap().count(), 1, "nothing is left beside it");
        assert_eq!(file.resolve("host.key"), folder.join("host.key"));
        // Something that cannot be replaced: the old file stays, and nothing beside it.
        fs::create_dir(folder.join("operator.xml.new")).unwrap();
        assert!(file.write(&schema, &Data::default()).is_err());
        assert_eq!(file.read(&schema), Ok(Some(data)));
        fs::write(file.path(), text.replace("<wanted>out", "<wanted>half")).unwrap();
        let why = file.read(&schema).unwrap_err();
        assert!(
            why.contains("operator.xml: line 1: /jrm:workers/worker[name='s-1']/wanted: \"half\" is none"),
            "{why}"
        );
        fs::remove_dir_all(&folder).unwrap();
    }
}
