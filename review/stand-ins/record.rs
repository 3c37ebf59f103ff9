//! The record of a case: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

/// Writes `record.txt` in the folder of the case.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    /// Begins the record in a folder.
    pub fn begin(folder: &str) -> std::io::Result<Self> {
        let file = File::create(format!("{folder}/record.txt"))?;
        Ok(Self { file: Mutex::new(file), started: Instant::now() })
    }

    /// Adds a line.
    pub fn add(&self, line: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} s  {line}");
    }

    /// Adds a line and prints it.
    pub fn tell(&self, line: &str) {
        println!("{line}");
        self.add(line);
    }
}
