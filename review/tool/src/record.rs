//! What was sent, answered and run, for `record.txt`.

use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<std::fs::File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = std::fs::File::create(path).expect("the record can be written");
        Record { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {}", self.started.elapsed().as_secs_f64(), text.as_ref());
    }
}
