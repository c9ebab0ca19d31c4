//! Answers to `explain` statements: where an adapter is loaded, and why a request waits.

use crate::app::{AppState, OperatorError};
use hoplanding_core::{
    ids::{AdapterName, AdapterVersion, Instant},
    language::{CellValue, DataTable},
    policy::{AdapterState, DemandEstimator},
};

impl AppState {
    pub(super) fn explain_adapter(
        &self,
        adapter: &AdapterName,
        now: Instant,
    ) -> Result<DataTable, OperatorError> {
        let Some(config) = self.config().adapters.get(adapter) else {
            return Err(OperatorError::NotFound(format!(
                "adapter `{adapter}` does not exist: `show adapters` lists them"
            )));
        };
        let mut table = DataTable::new(&["what", "answer"]);
        let mut add_row = |what: &str, answer: String| {
            table
                .rows
                .push(vec![CellValue::text(what), CellValue::Text(answer)])
        };
        let Some(version) = &config.current else {
            add_row("current version", "none: publish one".to_owned());
            return Ok(table);
        };
        let model = AdapterVersion {
            adapter: adapter.clone(),
            version: version.clone(),
        };
        add_row("current version", version.to_string());
        add_row(
            "requests a second, as this daemon sees it",
            format!("{:.4}", self.popularity.rate(&model, now)),
        );
        add_row(
            "kept loaded by an operator",
            (self.kept_models.contains(&model)).to_string(),
        );
        add_row(
            "on some target",
            self.engines.is_resident(&model).to_string(),
        );
        let homes = self
            .config()
            .targets
            .keys()
            .filter(|target| self.engines.is_home(&model, target.as_str()));
        let homes: Vec<_> = homes.map(ToString::to_string).collect();
        add_row(
            "home by rendezvous, where its first load goes",
            homes.join(", "),
        );
        for (name, runtime) in &self.held_targets {
            for resident in runtime
                .scheduler
                .residents()
                .iter()
                .filter(|resident| resident.model == model)
            {
                let state = match resident.state {
                    AdapterState::Loaded if resident.in_flight > 0 => format!(
                        "{} requests in flight: it can't be evicted",
                        resident.in_flight
                    ),
                    AdapterState::Loaded => format!(
                        "idle for {:.1} s: it goes when another one is wanted more",
                        now.since(resident.used_at).as_secs_f64()
                    ),
                    AdapterState::Loading => "its load is under way".to_owned(),
                    AdapterState::Unloading => "its unload is announced or under way".to_owned(),
                };
                add_row(&format!("on {name}"), state);
            }
            if let Some(queue) = runtime.scheduler.waiting().adapter(&model) {
                add_row(
                    &format!("waiting at {name}"),
                    format!("{} requests", queue.len()),
                );
            }
            if let Some(pause) = runtime.scheduler.backoff().remaining_backoff(&model, now) {
                add_row(
                    &format!("failed to load on {name}"),
                    format!("next try in {:.1} s", pause.as_secs_f64()),
                );
            }
        }
        Ok(table)
    }

    pub(super) fn explain_request(
        &self,
        id: &str,
        now: Instant,
    ) -> Result<DataTable, OperatorError> {
        let mut table = DataTable::new(&["what", "answer"]);
        for (name, runtime) in &self.held_targets {
            let waiting = runtime
                .scheduler
                .waiting()
                .iter()
                .flat_map(|(_, queue)| queue.iter());
            let Some(request) = waiting
                .into_iter()
                .find(|request| request.id.to_string() == id)
            else {
                continue;
            };
            let reason = self.wait_reason(runtime, &request.model);
            let mut add_row = |what: &str, answer: String| {
                table
                    .rows
                    .push(vec![CellValue::text(what), CellValue::Text(answer)])
            };
            add_row("target", name.to_string());
            add_row("adapter", request.model.to_string());
            add_row("class", request.class.to_string());
            add_row(
                "waited",
                format!("{:.3} s", now.since(request.queued_at).as_secs_f64()),
            );
            add_row("because", reason);
            return Ok(table);
        }
        Err(OperatorError::NotFound(format!(
            "request `{id}` does not wait at this daemon: `show requests` lists those of the fleet; ask the holder of its target"
        )))
    }

    fn wait_reason(
        &self,
        runtime: &crate::app::target_runtime::TargetRuntime,
        model: &AdapterVersion,
    ) -> String {
        if !runtime.is_serving() {
            return "the target is being prepared after a takeover or a restart".to_owned();
        }
        let resident = runtime
            .scheduler
            .residents()
            .iter()
            .find(|resident| resident.model == *model);
        match resident.map(|resident| resident.state) {
            Some(AdapterState::Loading) => "its adapter is being loaded".to_owned(),
            Some(AdapterState::Unloading) => {
                "its adapter is being unloaded and comes back after that".to_owned()
            }
            Some(AdapterState::Loaded) => format!(
                "{} of {} seats are taken, or the rest is kept for more urgent work",
                runtime.scheduler.running_len(),
                runtime.scheduler.limits().seats
            ),
            None if runtime.order.is_some() => "another adapter's load goes first".to_owned(),
            None => {
                "its adapter waits for its turn at the weight store, or for a slot that falls idle"
                    .to_owned()
            }
        }
    }
}
