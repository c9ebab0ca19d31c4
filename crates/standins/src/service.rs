//! A plain service whose calls count: it records how often each call ran.

use crate::RunningServer;
use poem::{Body, EndpointExt, Request, Response, Route, handler, http::StatusCode, web::Data};
use std::{
    collections::HashMap,
    io,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

/// Faults of a service.
#[derive(Clone, Debug, Default)]
pub struct ServiceFaults {
    /// Time that each call takes.
    pub delay: Duration,
    /// Calls that run, but whose connection breaks before the answer.
    pub lost_responses: usize,
}

#[derive(Default)]
struct ServiceState {
    faults: ServiceFaults,
    runs: HashMap<String, u32>,
}

/// A running service.
pub struct ServiceStandin {
    server: RunningServer,
    state: Arc<Mutex<ServiceState>>,
}

impl ServiceStandin {
    /// Starts a service.
    ///
    /// # Errors
    /// Returns the error of the system when no port can be had.
    pub async fn start() -> io::Result<Self> {
        let state = Arc::new(Mutex::new(ServiceState::default()));
        let app = Route::new().at("/*path", call).data(Arc::clone(&state));
        let server = RunningServer::start(app).await?;
        Ok(Self { server, state })
    }

    /// Its address, `IP:port`.
    #[must_use]
    pub fn address(&self) -> String {
        self.server.address.to_string()
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut ServiceFaults)) {
        change(&mut self.lock().faults);
    }

    /// How often the call with this body ran.
    #[must_use]
    pub fn run_count(&self, body: &str) -> u32 {
        self.lock().runs.get(body).copied().unwrap_or(0)
    }

    /// Calls that ran more than once.
    #[must_use]
    pub fn repeated_calls(&self) -> Vec<String> {
        let state = self.lock();
        let repeated = state.runs.iter().filter(|(_, count)| **count > 1);
        repeated.map(|(body, _)| body.clone()).collect()
    }

    /// Calls that ran at least once.
    #[must_use]
    pub fn distinct_calls(&self) -> usize {
        self.lock().runs.len()
    }

    fn lock(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

#[handler]
async fn call(request: &Request, body: Body, state: Data<&Arc<Mutex<ServiceState>>>) -> Response {
    let text = body.into_string().await.unwrap_or_default();
    let (delay, lost) = {
        let mut state = state.lock().expect("no holder of the lock panics");
        // Reads change nothing, so they do not count.
        if request.method() != poem::http::Method::GET {
            *state.runs.entry(text.clone()).or_default() += 1;
        }
        let lost = state.faults.lost_responses > 0;
        state.faults.lost_responses = state.faults.lost_responses.saturating_sub(1);
        (state.faults.delay, lost)
    };
    tokio::time::sleep(delay).await;
    if lost {
        // A body that ends in an error closes the connection before the answer is complete.
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
