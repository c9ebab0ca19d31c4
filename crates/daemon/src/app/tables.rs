//! Tables of the operators' query language.

use crate::app::{AppState, target_runtime::TargetPhase};
use hoplanding_core::{
    config::{AuditOutcome, LoadPolicy, RequestRepeatability, TargetRole, VersionStatus},
    ids::{Instant, PriorityClass},
    language::{CellValue, DataTable, TableName},
    policy::{AdapterState, DemandEstimator},
};

impl AppState {
    /// Returns this daemon's rows of a table.
    pub(super) fn local_table(&mut self, name: TableName, now: Instant) -> DataTable {
        match name {
            TableName::Targets => self.targets_table(),
            TableName::Loaded => self.loaded_table(now),
            TableName::Waiting => self.waiting_table(now),
            TableName::Requests => self.requests_table(now),
            TableName::Vms => self.vms_table(now),
            TableName::Callers => self.callers_table(),
            TableName::Rights => self.rights_table(),
            TableName::Adapters => self.adapters_table(now),
            TableName::Changes => self.changes_table(),
            TableName::Lag => self.lag_table(now),
            TableName::Operators => self.operators_table(),
            TableName::Services => self.services_table(),
            TableName::Weights => self.weights_table(),
        }
    }

    /// Lists the targets that this daemon holds; the first daemon of a zone by name also lists those without a holder.
    fn targets_table(&self) -> DataTable {
        let mut table = DataTable::new(&[
            "target",
            "zone",
            "role",
            "state",
            "holder",
            "token",
            "checks_fencing",
            "predecessors",
            "running",
            "seats",
            "waiting",
            "loaded",
            "slots",
            "address",
        ]);
        for (name, config) in &self.config().targets {
            let ownership = self.folded.ownership.target(name.as_str());
            let holder = ownership.and_then(|ownership| ownership.holder.as_ref());
            let runtime = self
                .held_targets
                .get(name)
                .filter(|runtime| runtime.phase != TargetPhase::Lost);
            let is_unheld = holder.is_none() && config.zone == self.zone && self.is_first_in_zone();
            if runtime.is_none() && !is_unheld {
                continue;
            }
            let (role, seats, slots) = match &config.role {
                TargetRole::Engine { slots, batch } => ("engine".to_owned(), *batch, *slots),
                TargetRole::Service {
                    service,
                    concurrency,
                } => (format!("service {service}"), *concurrency, 0),
            };
            let scheduler = runtime.map(|runtime| &runtime.scheduler);
            table.rows.push(vec![
                CellValue::text(name),
                CellValue::text(&config.zone),
                CellValue::Text(role),
                CellValue::text(self.target_state(name, runtime)),
                CellValue::optional(holder.map(|lease| &lease.daemon.vm)),
                CellValue::optional(holder.map(|lease| lease.token.0)),
                CellValue::Bool(config.checks_fencing),
                CellValue::count(ownership.map_or(0, |ownership| ownership.predecessors.len())),
                CellValue::count(
                    scheduler.map_or(0, hoplanding_core::policy::TargetScheduler::running_len),
                ),
                CellValue::Number(f64::from(seats)),
                CellValue::count(scheduler.map_or(0, |scheduler| scheduler.waiting().len())),
                CellValue::count(scheduler.map_or(0, |scheduler| scheduler.residents().len())),
                CellValue::Number(f64::from(slots)),
                CellValue::text(&config.address),
            ]);
        }
        table
    }

    fn is_first_in_zone(&self) -> bool {
        self.members
            .eligible_daemons()
            .iter()
            .all(|daemon| self.me.vm <= daemon.vm)
    }

    fn target_state(
        &self,
        name: &hoplanding_core::ids::TargetName,
        runtime: Option<&crate::app::target_runtime::TargetRuntime>,
    ) -> &'static str {
        match runtime {
            None => "nobody holds it",
            Some(runtime) if runtime.is_quarantined => "quarantined",
            Some(runtime) if !runtime.is_reachable => "unreachable",
            Some(runtime) if runtime.is_leaving || self.leaving_targets.contains(name) => "leaving",
            Some(runtime) if runtime.config.draining => "draining",
            Some(runtime) if runtime.is_serving() => "serving",
            Some(_) => "preparing",
        }
    }

    fn loaded_table(&self, now: Instant) -> DataTable {
        let mut table = DataTable::new(&[
            "adapter",
            "version",
            "target",
            "zone",
            "state",
            "in_flight",
            "rate",
            "idle_s",
        ]);
        for (name, runtime) in &self.held_targets {
            for resident in runtime.scheduler.residents() {
                let state = match resident.state {
                    AdapterState::Loading => "loading",
                    AdapterState::Loaded => "loaded",
                    AdapterState::Unloading => "unloading",
                };
                table.rows.push(vec![
                    CellValue::text(&resident.model.adapter),
                    CellValue::text(&resident.model.version),
                    CellValue::text(name),
                    CellValue::text(&runtime.config.zone),
                    CellValue::text(state),
                    CellValue::Number(f64::from(resident.in_flight)),
                    CellValue::Number(self.popularity.rate(&resident.model, now)),
                    CellValue::Number(now.since(resident.used_at).as_secs_f64()),
                ]);
            }
        }
        table
    }

    fn waiting_table(&self, now: Instant) -> DataTable {
        let mut table = DataTable::new(&[
            "target",
            "adapter",
            "version",
            "class",
            "caller",
            "requests",
            "longest_s",
        ]);
        for (name, runtime) in &self.held_targets {
            for (model, queue) in runtime.scheduler.waiting().iter() {
                for class in PriorityClass::ALL {
                    let count = queue.counts()[class.index()];
                    let Some(head) = queue.head(class) else {
                        continue;
                    };
                    table.rows.push(vec![
                        CellValue::text(name),
                        CellValue::text(&model.adapter),
                        CellValue::text(&model.version),
                        CellValue::text(class),
                        CellValue::text(&head.caller),
                        CellValue::count(count),
                        CellValue::Number(now.since(head.queued_at).as_secs_f64()),
                    ]);
                }
            }
        }
        table
    }

    fn requests_table(&self, now: Instant) -> DataTable {
        let mut table = DataTable::new(&[
            "request", "state", "target", "adapter", "class", "caller", "waited_s",
        ]);
        for (name, runtime) in &self.held_targets {
            for (_, queue) in runtime.scheduler.waiting().iter() {
                for request in queue.iter() {
                    table.rows.push(vec![
                        CellValue::text(request.id),
                        CellValue::text("waiting"),
                        CellValue::text(name),
                        CellValue::text(&request.model),
                        CellValue::text(request.class),
                        CellValue::text(&request.caller),
                        CellValue::Number(now.since(request.queued_at).as_secs_f64()),
                    ]);
                }
            }
            for id in runtime.scheduler.running_ids() {
                let state = if runtime.unconfirmed_streams.contains_key(&id) {
                    "ending"
                } else {
                    "running"
                };
                table.rows.push(vec![
                    CellValue::text(id),
                    CellValue::text(state),
                    CellValue::text(name),
                    CellValue::Empty,
                    CellValue::Empty,
                    CellValue::Empty,
                    CellValue::Empty,
                ]);
            }
        }
        table
    }

    fn vms_table(&self, now: Instant) -> DataTable {
        let mut table = DataTable::new(&[
            "vm",
            "zone",
            "state",
            "heard_s",
            "listed",
            "silent_to",
            "link",
            "address",
        ]);
        table.rows.push(vec![
            CellValue::text(&self.me.vm),
            CellValue::text(&self.zone),
            CellValue::text(if self.stopping.is_some() {
                "leaving"
            } else {
                "this daemon"
            }),
            CellValue::Number(0.0),
            CellValue::Empty,
            CellValue::Number(0.0),
            CellValue::Empty,
            CellValue::Empty,
        ]);
        for (vm, peer) in self.members.iter() {
            let listed = peer.listed.map(|state| format!("{state:?}").to_lowercase());
            table.rows.push(vec![
                CellValue::text(vm),
                CellValue::text(&peer.zone),
                CellValue::text(peer.state),
                peer.heard_at.map_or(CellValue::Empty, |heard| {
                    CellValue::Number(now.since(heard).as_secs_f64())
                }),
                CellValue::optional(listed),
                CellValue::Number(f64::from(peer.silence_reports)),
                CellValue::Bool(
                    self.links
                        .get(vm)
                        .is_some_and(crate::peers::PeerLink::is_connected),
                ),
                CellValue::text(&peer.address),
            ]);
        }
        table
    }

    fn callers_table(&self) -> DataTable {
        let mut table = DataTable::new(&[
            "caller",
            "requests_per_second",
            "waiting_most",
            "open_here",
            "revision",
        ]);
        for (name, caller) in &self.config().callers {
            table.rows.push(vec![
                CellValue::text(name),
                CellValue::Number(caller.quota.requests_per_second),
                CellValue::Number(f64::from(caller.quota.waiting)),
                CellValue::Number(f64::from(self.caller_limits.open_requests(name.as_str()))),
                CellValue::text(caller.revision),
            ]);
        }
        table
    }

    fn rights_table(&self) -> DataTable {
        let mut table = DataTable::new(&["caller", "covers", "priority", "revision"]);
        for right in self.config().rights.values().flatten() {
            table.rows.push(vec![
                CellValue::text(&right.caller),
                CellValue::text(&right.pattern),
                CellValue::text(right.priority),
                CellValue::text(right.revision),
            ]);
        }
        table
    }

    fn adapters_table(&self, now: Instant) -> DataTable {
        let mut table = DataTable::new(&[
            "adapter",
            "current",
            "versions",
            "retired",
            "repeatable",
            "kept",
            "rate",
            "resident",
            "revision",
        ]);
        for (name, config) in &self.config().adapters {
            let retired = config
                .versions
                .iter()
                .filter(|version| version.status == VersionStatus::Retired)
                .count();
            let model =
                config
                    .current
                    .as_ref()
                    .map(|version| hoplanding_core::ids::AdapterVersion {
                        adapter: name.clone(),
                        version: version.clone(),
                    });
            table.rows.push(vec![
                CellValue::text(name),
                CellValue::optional(config.current.as_ref()),
                CellValue::count(config.versions.len()),
                CellValue::count(retired),
                CellValue::Bool(config.repeatability == RequestRepeatability::Repeatable),
                CellValue::Bool(config.load_policy == LoadPolicy::Kept),
                CellValue::Number(
                    model
                        .as_ref()
                        .map_or(0.0, |model| self.popularity.rate(model, now)),
                ),
                CellValue::Bool(
                    model
                        .as_ref()
                        .is_some_and(|model| self.engines.is_resident(model)),
                ),
                CellValue::text(config.revision),
            ]);
        }
        table
    }

    fn changes_table(&self) -> DataTable {
        let mut table = DataTable::new(&[
            "offset", "id", "operator", "via", "at_ms", "outcome", "reason", "object", "text",
            "before", "after",
        ]);
        for entry in self.config().audit.iter().rev() {
            let (outcome, reason) = match &entry.outcome {
                AuditOutcome::Accepted => ("accepted", CellValue::Empty),
                AuditOutcome::Refused(conflict) => ("refused", CellValue::text(conflict)),
            };
            table.rows.push(vec![
                CellValue::Number(entry.offset.0 as f64),
                CellValue::text(&entry.id),
                CellValue::text(&entry.operator),
                CellValue::text(&entry.via),
                CellValue::Number(entry.at_ms as f64),
                CellValue::text(outcome),
                reason,
                CellValue::text(entry.objects.join(", ")),
                CellValue::text(&entry.text),
                CellValue::text(&entry.before),
                CellValue::text(&entry.after),
            ]);
        }
        table
    }

    fn lag_table(&self, now: Instant) -> DataTable {
        let mut table = DataTable::new(&[
            "vm",
            "zone",
            "applied",
            "log",
            "log_read_s",
            "ready",
            "adapters",
            "requests",
        ]);
        let read = self.feed.read_at.map_or(CellValue::Empty, |at| {
            CellValue::Number(now.since(at).as_secs_f64())
        });
        table.rows.push(vec![
            CellValue::text(&self.me.vm),
            CellValue::text(&self.zone),
            CellValue::Number(self.folded.applied.0 as f64),
            CellValue::text(if self.feed.is_reachable { "up" } else { "out" }),
            read,
            CellValue::Bool(self.is_ready()),
            CellValue::count(self.config().adapters.len()),
            CellValue::count(self.open_requests),
        ]);
        table
    }

    fn operators_table(&self) -> DataTable {
        let mut table = DataTable::new(&["operator", "role", "source", "revision"]);
        for (name, operator) in &self.config().operators {
            table.rows.push(vec![
                CellValue::text(name),
                CellValue::text(operator.role),
                CellValue::text("configuration"),
                CellValue::text(operator.revision),
            ]);
        }
        for operator in &self.settings.operators {
            table.rows.push(vec![
                CellValue::text(&operator.name),
                CellValue::text(operator.role),
                CellValue::text("settings"),
                CellValue::Empty,
            ]);
        }
        table
    }

    fn services_table(&self) -> DataTable {
        let mut table = DataTable::new(&["service", "method", "path", "repeatable", "revision"]);
        for rule in &self.config().service_rules {
            table.rows.push(vec![
                CellValue::text(&rule.service),
                CellValue::text(&rule.method),
                CellValue::text(&rule.path),
                CellValue::Bool(rule.rule == RequestRepeatability::Repeatable),
                CellValue::text(rule.revision),
            ]);
        }
        table
    }

    fn weights_table(&self) -> DataTable {
        let mut table = DataTable::new(&["weight", "value", "low", "high", "unit", "revision"]);
        for weight in self.weights.list() {
            let revision = self
                .config()
                .weights
                .get(weight.name)
                .map(|(_, revision)| *revision);
            table.rows.push(vec![
                CellValue::text(weight.name),
                CellValue::Number(weight.value),
                CellValue::Number(weight.low),
                CellValue::Number(weight.high),
                CellValue::text(weight.unit),
                CellValue::optional(revision),
            ]);
        }
        table
    }
}
