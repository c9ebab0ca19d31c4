//! Queries, over the fleet where each daemon knows only its part.

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

/// Time for the other daemons to answer.
const PEER_ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);

type QueryReply = oneshot::Sender<Result<OperatorResponse, OperatorError>>;

/// A query that waits for other daemons.
pub struct FleetQuery {
    query: ShowQuery,
    table: DataTable,
    waiting: BTreeSet<VmName>,
    reply: QueryReply,
    until: Instant,
}

impl AppState {
    pub(super) fn operator(&mut self, request: &OperatorRequest, reply: QueryReply, now: Instant) {
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

    /// Operators of the configuration go before those of the settings.
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
        if query.scope == QueryScope::Here || !query.table.is_spread() {
            let _ = reply.send(
                table
                    .apply(&query)
                    .map(OperatorResponse::Table)
                    .map_err(OperatorError::from),
            );
            return;
        }
        let number = self.next_number();
        let mut fleet = FleetQuery {
            query,
            table,
            waiting: BTreeSet::new(),
            reply,
            until: now.after(PEER_ANSWER_TIMEOUT),
        };
        for (vm, peer) in self.members.iter() {
            let link = self.links.get(vm);
            let asked =
                link.is_some_and(|link| link.try_send(PeerMessage::Ask(number, text.to_owned())));
            if asked {
                fleet.waiting.insert(vm.clone());
            } else if !matches!(peer.state, hoplanding_core::membership::PeerState::Gone) {
                fleet.table.missing.push(format!("{vm}: no link"));
            }
        }
        self.fleet_queries.insert(number, fleet);
        self.finish_query(number);
    }

    /// Answers another daemon's query from this one's own part; the asker filters.
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
        let Some(fleet) = self.fleet_queries.get_mut(&number) else {
            return;
        };
        if !fleet.waiting.remove(from) {
            return;
        }
        match answer {
            Ok(part) => fleet.table.merge(part),
            Err(error) => fleet.table.missing.push(format!("{from}: {error}")),
        }
        self.finish_query(number);
    }

    fn finish_query(&mut self, number: u64) {
        if self
            .fleet_queries
            .get(&number)
            .is_some_and(|fleet| fleet.waiting.is_empty())
            && let Some(fleet) = self.fleet_queries.remove(&number)
        {
            let answer = fleet
                .table
                .apply(&fleet.query)
                .map(OperatorResponse::Table)
                .map_err(OperatorError::from);
            let _ = fleet.reply.send(answer);
        }
    }

    pub(super) fn tick_queries(&mut self, now: Instant) {
        let late: Vec<_> = self
            .fleet_queries
            .iter()
            .filter(|(_, fleet)| fleet.until <= now)
            .map(|(number, _)| *number)
            .collect();
        for number in late {
            if let Some(fleet) = self.fleet_queries.get_mut(&number) {
                let silent = std::mem::take(&mut fleet.waiting);
                fleet
                    .table
                    .missing
                    .extend(silent.iter().map(|vm| format!("{vm}: no answer in time")));
            }
            self.finish_query(number);
        }
    }
}
