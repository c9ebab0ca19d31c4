//! Simulated plain service that counts how often each call ran, identified by its body.
//!
//! Tests use the counts to detect calls that were repeated or lost.

use crate::RunningServer;
use poem::{Body, EndpointExt, Request, Response, Route, handler, http::StatusCode, web::Data};
use std::{
    collections::HashMap,
    io,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

/// Faults to inject into a service.
#[derive(Clone, Debug, Default)]
pub struct ServiceFaults {
    /// Delay between running a call and its response.
    pub delay: Duration,
    /// Number of calls still to run and lose their connection before the response is complete.
    pub lost_responses: usize,
}

#[derive(Default)]
struct ServiceState {
    faults: ServiceFaults,
    runs: HashMap<String, u32>,
}

/// A simulated service that serves HTTP on loopback; it stops when dropped.
pub struct ServiceStandin {
    server: RunningServer,
    state: Arc<Mutex<ServiceState>>,
}

impl ServiceStandin {
    /// Starts a service that accepts any path and method.
    ///
    /// # Errors
    /// Returns the I/O error if no loopback port can be bound.
    pub async fn start() -> io::Result<Self> {
        let state = Arc::new(Mutex::new(ServiceState::default()));
        let app = Route::new().at("/*path", call).data(Arc::clone(&state));
        let server = RunningServer::start(app).await?;
        Ok(Self { server, state })
    }

    /// Listening address, `IP:port`.
    #[must_use]
    pub fn address(&self) -> String {
        self.server.address.to_string()
    }

    /// Edits the injected faults in place.
    pub fn set_faults(&self, change: impl FnOnce(&mut ServiceFaults)) {
        change(&mut self.lock().faults);
    }

    /// How often a call with this body ran, `GET` calls excepted.
    #[must_use]
    pub fn run_count(&self, body: &str) -> u32 {
        self.lock().runs.get(body).copied().unwrap_or(0)
    }

    /// Bodies of calls that ran more than once.
    #[must_use]
    pub fn repeated_calls(&self) -> Vec<String> {
        let state = self.lock();
        let repeated = state.runs.iter().filter(|(_, count)| **count > 1);
        repeated.map(|(body, _)| body.clone()).collect()
    }

    /// Number of distinct bodies that ran at least once.
    #[must_use]
    pub fn distinct_calls(&self) -> usize {
        self.lock().runs.len()
    }

    fn lock(&self) -> MutexGuard<'_, ServiceState> {
        self.state
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}

#[handler]
async fn call(request: &Request, body: Body, state: Data<&Arc<Mutex<ServiceState>>>) -> Response {
    let text = body.into_string().await.unwrap_or_default();
    let (delay, is_lost) = {
        let mut state = state
            .lock()
            .expect("no thread panics while it holds the lock");
        // GET calls change nothing and may be repeated, so they are not counted.
        if request.method() != poem::http::Method::GET {
            *state.runs.entry(text.clone()).or_default() += 1;
        }
        let is_lost = state.faults.lost_responses > 0;
        state.faults.lost_responses = state.faults.lost_responses.saturating_sub(1);
        (state.faults.delay, is_lost)
    };
    tokio::time::sleep(delay).await;
    if is_lost {
        // A body that ends in an error closes the connection before the response is complete.
        let broken =
            futures_util::stream::iter([Err::<Vec<u8>, _>(io::Error::other("connection lost"))]);
        return Response::builder()
            .header("content-length", "1000")
            .body(Body::from_bytes_stream(broken));
    }
    let mut response = Response::builder()
        .status(StatusCode::OK)
        .header("x-method", request.method().as_str());
    if let Some(value) = request.header("x-echo") {
        response = response.header("x-echo", value);
    }
    response.body(format!("{} {} {text}", request.method(), request.uri()))
}
