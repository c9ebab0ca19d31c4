//! Admission of requests and selection of their targets.
//!
//! A gateway authenticates the caller, resolves the model, applies quotas and limits, and asks for a target for each
//! attempt.

use crate::{
    app::{
        Admission, AdmissionError, AdmissionRequest, AdmissionSubject, AppState, RouteRequest,
        RouteVia, SelectedRoute, target_runtime::TargetPhase,
    },
    calls::{CallBuffer, CallEnd, SubmitRequest},
    gateway::{CallDriver, DriverContext},
};
use hoplanding_core::{
    config::{CallerQuota, ResolvedModel, TargetRole},
    ids::{AdapterVersion, CallerName, Instant, RequestId, ServiceName, TargetName, TokenHash},
    policy::{RouteChoice, RouteQuery},
    request::{NotRunReason, RequestCall},
};
use std::sync::Arc;

/// Maximum number of target choices per routing attempt before the request is refused.
const MAX_ROUTE_ATTEMPTS: usize = 8;
/// Suggested retry delay, in milliseconds, when no target can take the request.
const NO_TARGET_RETRY_MS: u64 = 1000;
/// Suggested retry delay, in milliseconds, when too many requests are open.
const OVERLOADED_RETRY_MS: u64 = 1000;

impl AppState {
    pub(super) fn caller_of(&self, bearer: &str) -> Result<CallerName, AdmissionError> {
        let caller = self.callers_by_token.get(&TokenHash::of(bearer));
        caller.cloned().ok_or(AdmissionError::UnknownCaller)
    }

    pub(super) fn admit(
        &mut self,
        request: &AdmissionRequest,
        now: Instant,
    ) -> Result<Admission, AdmissionError> {
        let caller = self.caller_of(&request.bearer)?;
        let resolved = self.resolve(&caller, &request.subject)?;
        if self
            .stopping
            .as_ref()
            .is_some_and(super::stopping::StopState::refuses_requests)
        {
            return Err(NotRunReason::Stopping.into());
        }
        if self.open_requests >= self.settings.limits.max_open_requests {
            return Err(NotRunReason::Overloaded {
                retry_after_ms: OVERLOADED_RETRY_MS,
            }
            .into());
        }
        let configured = self.config().callers.get(&caller);
        let quota = configured.map_or_else(CallerQuota::default, |config| config.quota);
        self.caller_limits.admit(&caller, &quota, now)?;
        self.open_requests += 1;
        self.workers.metrics.count("gateway.admitted");
        let class = request
            .class
            .unwrap_or(resolved.priority)
            .max(resolved.priority);
        Ok(Admission {
            caller,
            class,
            resolved,
        })
    }

    fn resolve(
        &self,
        caller: &CallerName,
        subject: &AdmissionSubject,
    ) -> Result<ResolvedModel, AdmissionError> {
        match subject {
            AdmissionSubject::Model(model) => Ok(self.config().resolve(caller.as_str(), model)?),
            AdmissionSubject::Service(service, method, path) => {
                let exists = self
                    .config()
                    .targets
                    .values()
                    .any(|target| is_member(&target.role, service));
                if !exists {
                    return Err(AdmissionError::UnknownService(service.clone()));
                }
                let right = self
                    .config()
                    .right_to_service(caller.as_str(), service.as_str());
                let right = right.ok_or_else(|| {
                    AdmissionError::NoServiceRight(caller.clone(), service.clone())
                })?;
                Ok(ResolvedModel {
                    model: AdapterVersion::new(service.as_str(), "-"),
                    repeatability: self.config().service_rule(service.as_str(), method, path),
                    priority: right.priority,
                })
            }
        }
    }

    pub(super) fn list_models(
        &self,
        bearer: &str,
    ) -> Result<Vec<(AdapterVersion, bool)>, AdmissionError> {
        let caller = self.caller_of(bearer)?;
        let mut models = Vec::new();
        for (adapter, config) in &self.config().adapters {
            if self
                .config()
                .right_to_adapter(caller.as_str(), adapter.as_str())
                .is_none()
            {
                continue;
            }
            for version in &config.versions {
                let model = AdapterVersion {
                    adapter: adapter.clone(),
                    version: version.name.clone(),
                };
                models.push((model, config.current.as_ref() == Some(&version.name)));
            }
        }
        Ok(models)
    }

    /// Spawns a task that runs an admitted request to its end.
    pub(super) fn submit(&mut self, request: SubmitRequest, buffer: Arc<CallBuffer>) {
        let id = RequestId {
            gateway: self.me.incarnation,
            counter: self.next_number(),
        };
        if self
            .stopping
            .as_ref()
            .is_some_and(super::stopping::StopState::refuses_requests)
            && request.idempotency.is_none()
        {
            let call = RequestCall::new(id);
            buffer.end(CallEnd::NotRun(call.refuse(NotRunReason::Stopping)));
            return;
        }
        let context = DriverContext::new(self.workers.events.clone(), self.workers.metrics.clone());
        tokio::spawn(CallDriver::new(context, id, request, buffer).run());
    }

    pub(super) fn request_ended(&mut self, caller: &CallerName) {
        self.open_requests = self.open_requests.saturating_sub(1);
        self.caller_limits.finish(caller.as_str());
    }

    pub(super) fn route(&mut self, request: &RouteRequest) -> Result<SelectedRoute, NotRunReason> {
        if let Some(target) = &request.target {
            return self.route_to(target).ok_or(NotRunReason::NoTarget {
                retry_after_ms: NO_TARGET_RETRY_MS,
            });
        }
        for _ in 0..MAX_ROUTE_ATTEMPTS {
            let Some(choice) = self.choose(request) else {
                break;
            };
            if let Some(answer) = self.route_to(&choice.target) {
                return Ok(answer);
            }
            self.engines.set_reachable(choice.target.as_str(), false);
            self.services.set_reachable(choice.target.as_str(), false);
        }
        Err(NotRunReason::NoTarget {
            retry_after_ms: NO_TARGET_RETRY_MS,
        })
    }

    fn choose(&mut self, request: &RouteRequest) -> Option<RouteChoice> {
        let placeholder = AdapterVersion::new("-", "-");
        let query = RouteQuery {
            model: request.model.as_ref().unwrap_or(&placeholder),
            class: request.class,
            output_tokens: request.output_tokens,
            zone: &self.zone,
            excluded: &request.excluded,
        };
        let Some(service) = &request.service else {
            return self.engines.choose(&query, &self.weights);
        };
        let targets = &self.folded.config.targets;
        let is_service = |target: &TargetName| {
            targets
                .get(target)
                .is_some_and(|config| is_member(&config.role, service))
        };
        self.services
            .choose_service(&query, &self.weights, is_service)
    }

    fn route_to(&self, target: &TargetName) -> Option<SelectedRoute> {
        let lease = self.folded.ownership.holder(target.as_str())?;
        let via = if lease.is_held_by(&self.me) {
            RouteVia::Local
        } else {
            let link = self
                .links
                .get(&lease.daemon.vm)
                .filter(|link| link.is_connected())?;
            RouteVia::Link(link.clone())
        };
        Some(SelectedRoute {
            target: target.clone(),
            via,
        })
    }

    /// Whether the configuration or the VM list excludes a target from new work.
    pub(super) fn is_closed(&self, target: &TargetName) -> bool {
        let draining = self
            .config()
            .targets
            .get(target)
            .is_none_or(|config| config.draining);
        draining || self.leaving_targets.contains(target)
    }

    pub(super) fn close_route(&mut self, target: &TargetName) {
        self.engines.close(target.as_str());
        self.services.close(target.as_str());
    }

    /// Opens and closes targets according to the configuration, the VM list and the targets' own state.
    pub(super) fn apply_targets(&mut self) {
        let closed: Vec<_> = self
            .config()
            .targets
            .keys()
            .filter(|target| self.is_closed(target))
            .cloned()
            .collect();
        for target in &closed {
            self.close_route(target);
        }
        let names: Vec<_> = self.held_targets.keys().cloned().collect();
        for target in names {
            let is_closed = self.is_closed(&target);
            let configured = self.folded.config.targets.get(&target).cloned();
            let Some(runtime) = self.held_targets.get_mut(&target) else {
                continue;
            };
            let was_draining = runtime.config.draining;
            if let Some(config) = configured {
                runtime.is_quarantined &= !was_draining || config.draining;
                runtime.config = config;
            }
            let open = !is_closed
                && !runtime.is_quarantined
                && !runtime.is_leaving
                && runtime.phase != TargetPhase::Lost;
            runtime.scheduler.set_open(open);
            if !open {
                let reason = NotRunReason::NoTarget {
                    retry_after_ms: NO_TARGET_RETRY_MS,
                };
                self.refuse_waiting(&target, &reason);
            }
            self.observe_own_target(&target);
        }
    }
}

fn is_member(role: &TargetRole, service: &ServiceName) -> bool {
    matches!(role, TargetRole::Service { service: name, .. } if name == service)
}
