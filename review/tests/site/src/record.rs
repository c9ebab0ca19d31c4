//! What was sent, answered and run, in the order in which it was seen.

use std::{
    collections::HashMap,
    fs::File,
    io::{self, BufWriter, Write},
    path::Path,
    sync::Mutex,
    time::Instant,
};

pub struct Record {
    started: Instant,
    state: Mutex<State>,
}

struct State {
    file: BufWriter<File>,
    /// How often work was begun on each request, over all servers.
    runs: HashMap<String, u32>,
    /// Services whose workers ran each request.
    services: HashMap<String, Vec<String>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            state: Mutex::new(State {
                file: BufWriter::new(File::create(path)?),
                runs: HashMap::new(),
                services: HashMap::new(),
            }),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut state = self.state.lock().unwrap();
        let _ = writeln!(state.file, "{at:9.3} {text}");
    }

    /// A server begins work on a request.
    pub fn run(&self, id: &str, server: &str) {
        let count = {
            let mut state = self.state.lock().unwrap();
            let count = state.runs.entry(id.to_owned()).or_default();
            *count += 1;
            *count
        };
        self.line(&format!("run       {id} at {server}, time {count}"));
    }

    /// A worker of this service runs a request.
    pub fn served(&self, id: &str, service: &str) {
        let mut state = self.state.lock().unwrap();
        let services = state.services.entry(id.to_owned()).or_default();
        services.push(service.to_owned());
    }

    pub fn services(&self, id: &str) -> Vec<String> {
        let state = self.state.lock().unwrap();
        state.services.get(id).cloned().unwrap_or_default()
    }

    pub fn runs(&self, id: &str) -> u32 {
        let state = self.state.lock().unwrap();
        state.runs.get(id).copied().unwrap_or(0)
    }

    /// Requests that were run more than once.
    pub fn repeated(&self) -> Vec<String> {
        let state = self.state.lock().unwrap();
        let repeated = state.runs.iter().filter(|(_, count)| **count > 1);
        repeated.map(|(id, _)| id.clone()).collect()
    }

    pub fn finish(&self) {
        let _ = self.state.lock().unwrap().file.flush();
    }
}
