//! The record of a run: one line for each thing that was sent, answered, run or done to a process.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};

use beamwall_platform_stand_ins::EngineStandIn;
use tokio::time::Instant;

/// Writes lines with the time since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    /// Starts a record at `path`.
    ///
    /// # Errors
    /// If the file can't be created.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = BufWriter::new(File::create(path)?);
        Ok(Self { started: Instant::now(), file: Arc::new(Mutex::new(file)) })
    }

    /// Adds a line.
    pub fn note(&self, line: &str) {
        let seconds = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{seconds:8.3} {line}");
    }

    /// Adds a line for each request that an engine ran, with its caller's identifier.
    pub fn note_runs(&self, engine: &EngineStandIn) {
        for run in engine.runs().iter().filter(|run| run.ran) {
            let at = run.at.duration_since(self.started).as_secs_f64();
            let id = run.request.headers.get("x-request-id").map_or("", String::as_str);
            self.note(&format!("{} ran {id} from {at:.3} on", engine.id));
        }
    }

    /// Adds a line that is also printed.
    pub fn tell(&self, line: &str) {
        self.note(line);
        println!("{line}");
    }

    /// Writes what is buffered.
    pub fn flush(&self) {
        let _ = self.file.lock().unwrap_or_else(PoisonError::into_inner).flush();
    }
}
