//! Statements of operators, and queries over the fleet.
//!
//! For a table of which each daemon has only its own rows, the queried daemon asks its peers and merges their rows with
//! its own. Peers that do not answer in time are listed as missing.

use crate::{
    app::{AppState, OperatorError, OperatorRequest, OperatorResponse},
    peers::PeerMessage,
};
use hoplanding_core::{
    config::OperatorRole,
    ids::{Instant, OperatorName, TokenHash, VmName},
    language::{DataTable, QueryScope, ShowQuery, Statement, parse},
};
use std::{collections::BTreeSet, time::Duration};
use tokio::sync::oneshot;

/// Time for peers to answer a query.
const PEER_ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);

type QueryReply = oneshot::Sender<Result<OperatorResponse, OperatorError>>;

/// A query that waits for answers of peers.
pub struct FleetQuery {
    query: ShowQuery,
    table: DataTable,
    awaited_peers: BTreeSet<VmName>,
    reply: QueryReply,
    deadline: Instant,
}

impl AppState {
    pub(super) fn operator_requested(
        &mut self,
        request: &OperatorRequest,
        reply: QueryReply,
        now: Instant,
    ) {
        match self.start_statement(request, now) {
            Err(error) => {
                let _ = reply.send(Err(error));
            }
            Ok((_, Statement::Show(query))) => self.show(query, &request.text, reply, now),
            Ok((_, Statement::ExplainAdapter(adapter))) => {
                let _ = reply.send(
                    self.explain_adapter(&adapter, now)
                        .map(OperatorResponse::Table),
                );
            }
            Ok((_, Statement::ExplainRequest(id))) => {
                let _ = reply.send(self.explain_request(&id, now).map(OperatorResponse::Table));
            }
            Ok((operator, Statement::Commands(commands))) => {
                self.start_change(&operator, &commands, reply, now)
            }
        }
    }

    fn start_statement(
        &self,
        request: &OperatorRequest,
        _now: Instant,
    ) -> Result<(OperatorName, Statement), OperatorError> {
        let (operator, role) = self
            .operator_of(&request.bearer)
            .ok_or(OperatorError::UnknownOperator)?;
        let statement = parse(&request.text)?;
        if let Statement::Commands(commands) = &statement {
            let needed = commands.required_role();
            if !role.includes(needed) {
                return Err(OperatorError::InsufficientRole {
                    operator: operator.to_string(),
                    role: role.to_string(),
                    needed: needed.to_string(),
                });
            }
        }
        Ok((operator, statement))
    }

    /// Looks up an operator by token, first in the configuration and then in the settings.
    fn operator_of(&self, bearer: &str) -> Option<(OperatorName, OperatorRole)> {
        let hash = TokenHash::of(bearer);
        if let Some((name, config)) = self.config().operator_by_token(&hash) {
            return Some((name.clone(), config.role));
        }
        let mut settings = self.settings.operators.iter();
        let found = settings.find(|operator| TokenHash::of(&operator.token) == hash)?;
        Some((OperatorName::new(&found.name), found.role))
    }

    fn show(&mut self, query: ShowQuery, text: &str, reply: QueryReply, now: Instant) {
        let table = self.local_table(query.table, now);
        if query.scope == QueryScope::Local || !query.table.is_distributed() {
            let _ = reply.send(
                table
                    .apply(&query)
                    .map(OperatorResponse::Table)
                    .map_err(OperatorError::from),
            );
            return;
        }
        let number = self.next_number();
        let mut fleet_query = FleetQuery {
            query,
            table,
            awaited_peers: BTreeSet::new(),
            reply,
            deadline: now.after(PEER_ANSWER_TIMEOUT),
        };
        for (vm, peer) in self.members.iter() {
            let link = self.links.get(vm);
            let asked =
                link.is_some_and(|link| link.try_send(PeerMessage::Ask(number, text.to_owned())));
            if asked {
                fleet_query.awaited_peers.insert(vm.clone());
            } else if !matches!(peer.state, hoplanding_core::membership::PeerState::Gone) {
                fleet_query.table.missing.push(format!("{vm}: no link"));
            }
        }
        self.fleet_queries.insert(number, fleet_query);
        self.finish_query(number);
    }

    /// Returns this daemon's rows for a peer's query; the peer applies the filter.
    pub(super) fn local_answer(&mut self, text: &str, now: Instant) -> Result<DataTable, String> {
        match parse(text) {
            Ok(Statement::Show(query)) => Ok(self.local_table(query.table, now)),
            Ok(_) => Err("only queries are answered for other daemons".to_owned()),
            Err(error) => Err(error.to_string()),
        }
    }

    pub(super) fn query_answered(
        &mut self,
        number: u64,
        from: &VmName,
        answer: Result<DataTable, String>,
    ) {
        let Some(fleet_query) = self.fleet_queries.get_mut(&number) else {
            return;
        };
        if !fleet_query.awaited_peers.remove(from) {
            return;
        }
        match answer {
            Ok(part) => fleet_query.table.merge(part),
            Err(error) => fleet_query.table.missing.push(format!("{from}: {error}")),
        }
        self.finish_query(number);
    }

    fn finish_query(&mut self, number: u64) {
        if self
            .fleet_queries
            .get(&number)
            .is_some_and(|fleet_query| fleet_query.awaited_peers.is_empty())
            && let Some(fleet_query) = self.fleet_queries.remove(&number)
        {
            let answer = fleet_query
                .table
                .apply(&fleet_query.query)
                .map(OperatorResponse::Table)
                .map_err(OperatorError::from);
            let _ = fleet_query.reply.send(answer);
        }
    }

    pub(super) fn tick_queries(&mut self, now: Instant) {
        let timed_out: Vec<_> = self
            .fleet_queries
            .iter()
            .filter(|(_, fleet_query)| fleet_query.deadline <= now)
            .map(|(number, _)| *number)
            .collect();
        for number in timed_out {
            if let Some(fleet_query) = self.fleet_queries.get_mut(&number) {
                let unanswered = std::mem::take(&mut fleet_query.awaited_peers);
                fleet_query.table.missing.extend(
                    unanswered
                        .iter()
                        .map(|vm| format!("{vm}: no answer in time")),
                );
            }
            self.finish_query(number);
        }
    }
}
