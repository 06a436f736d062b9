//! Reading and writing history files.

use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;

use super::{Event, Record};
use crate::wall_micros;

/// Appends records to a history file, by default under the name of one party.
#[derive(Debug)]
pub struct Writer {
    file: Option<File>,
    party: String,
}

impl Writer {
    /// Opens a file for appending. Without a path, all records are discarded.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be opened.
    pub fn open(path: Option<&Path>, party: &str) -> io::Result<Self> {
        let open = |path| OpenOptions::new().create(true).append(true).open(path);
        Ok(Self {
            file: path.map(open).transpose()?,
            party: party.to_owned(),
        })
    }

    /// Appends a record with the current time.
    pub fn append(&mut self, event: Event) {
        self.append_at(wall_micros(), event);
    }

    /// Appends a record with the current time under the name of another party.
    pub fn append_for(&mut self, party: &str, event: Event) {
        self.write(wall_micros(), event, party.to_owned());
    }

    /// Appends a record with the given time, in microseconds since the Unix epoch.
    pub fn append_at(&mut self, at: u64, event: Event) {
        self.write(at, event, self.party.clone());
    }

    /// Writes without buffering, so that killing the process loses no record.
    fn write(&mut self, at: u64, event: Event, party: String) {
        let Some(file) = &mut self.file else { return };
        let record = Record { at, event, party };
        let line = serde_json::to_string(&record).map(|text| text + "\n");
        let written = line.map_err(io::Error::from);
        if let Err(e) = written.and_then(|l| file.write_all(l.as_bytes())) {
            eprintln!("failed to write the history of {}: {e}", self.party);
        }
    }
}

/// Reads all records of a history file in file order.
///
/// # Errors
///
/// Returns an error if the file can't be read or a line is not a valid record.
pub fn read_records(path: &Path) -> io::Result<Vec<Record>> {
    let lines = BufReader::new(File::open(path)?).lines();
    lines
        .map(|line| serde_json::from_str(&line?).map_err(io::Error::from))
        .collect()
}
