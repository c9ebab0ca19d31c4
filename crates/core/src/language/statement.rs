//! Parsed statements: queries, explanations and command lists.

use crate::{
    config::{ConfigChange, ConfigState, OperatorRole},
    ids::AdapterName,
    language::CellValue,
    log::ChangePart,
};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A parsed statement.
#[derive(Clone, Debug, PartialEq)]
pub enum Statement {
    /// A query of one table.
    Show(ShowQuery),
    /// Explains the placement of an adapter.
    ExplainAdapter(AdapterName),
    /// Explains why the request with this id waits.
    ExplainRequest(String),
    /// Commands that make one atomic change.
    Commands(CommandList),
}

/// The tables that can be queried. Names of variants are sent between daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TableName {
    /// Targets with their holder and state.
    Targets,
    /// Loaded adapters by target.
    Loaded,
    /// Waiting requests, by target, adapter, priority class and caller.
    Waiting,
    /// VMs with their state as the daemon knows it.
    Vms,
    /// Callers with their quotas.
    Callers,
    /// Rights of callers.
    Rights,
    /// Adapters with their versions.
    Adapters,
    /// The audit trail.
    Changes,
    /// Log offset that each daemon has applied.
    Lag,
    /// Operators.
    Operators,
    /// Rules on repeating calls of plain services.
    Services,
    /// Weights of the scheduling policy.
    Weights,
    /// Running and waiting requests.
    Requests,
}

impl TableName {
    /// Parses a table name; `None` if there is no such table.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        Some(match text {
            "targets" => Self::Targets,
            "loaded" => Self::Loaded,
            "waiting" => Self::Waiting,
            "vms" => Self::Vms,
            "callers" => Self::Callers,
            "rights" => Self::Rights,
            "adapters" => Self::Adapters,
            "changes" => Self::Changes,
            "lag" => Self::Lag,
            "operators" => Self::Operators,
            "services" => Self::Services,
            "weights" => Self::Weights,
            "requests" => Self::Requests,
            _ => return None,
        })
    }

    /// Whether each daemon holds only some rows of the table, so that a query has to ask all daemons.
    #[must_use]
    pub fn is_distributed(self) -> bool {
        matches!(
            self,
            Self::Loaded | Self::Waiting | Self::Requests | Self::Lag | Self::Targets
        )
    }
}

/// The daemons whose rows a query returns.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QueryScope {
    /// All daemons that can be reached.
    #[default]
    Fleet,
    /// Only the daemon that receives the query.
    Local,
}

/// Comparison of a column with a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConditionOperator {
    /// `=`
    Equal,
    /// `!=`
    NotEqual,
    /// `<`
    Less,
    /// `<=`
    AtMost,
    /// `>`
    Greater,
    /// `>=`
    AtLeast,
    /// `like`, with a pattern in which `*` stands for any text.
    Like,
}

/// One condition of a `where` clause.
#[derive(Clone, Debug, PartialEq)]
pub struct Condition {
    /// Name of the column.
    pub column: String,
    /// Comparison operator.
    pub operator: ConditionOperator,
    /// Value to compare the column with.
    pub value: CellValue,
}

/// The `order by` clause.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SortOrder {
    /// Name of the column.
    pub column: String,
    /// Whether the greatest value comes first.
    pub descending: bool,
}

/// A query of one table.
#[derive(Clone, Debug, PartialEq)]
pub struct ShowQuery {
    /// The table to query.
    pub table: TableName,
    /// The daemons to ask.
    pub scope: QueryScope,
    /// Conditions, all of which a row has to meet.
    pub filter: Vec<Condition>,
    /// Order of the rows; `None` leaves them as the daemons return them.
    pub order: Option<SortOrder>,
    /// Largest number of rows.
    pub limit: Option<usize>,
}

/// Commands as typed, and the changes that they make.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandList {
    /// The text, with secrets replaced by `***`.
    pub text: String,
    /// The changes, in the order of the commands.
    pub changes: Vec<ConfigChange>,
}

impl CommandList {
    /// The changes, each with the current revision of its object in `config`.
    #[must_use]
    pub fn change_parts(&self, config: &ConfigState) -> Vec<ChangePart> {
        let parts = self.changes.iter().map(|change| ChangePart {
            based_on: config.revision(&change.object()),
            change: change.clone(),
        });
        parts.collect()
    }

    /// The least role that an operator needs to make all the changes.
    #[must_use]
    pub fn required_role(&self) -> OperatorRole {
        let needs_admin = self
            .changes
            .iter()
            .any(|change| change.required_role() == OperatorRole::Admin);
        if needs_admin {
            OperatorRole::Admin
        } else {
            OperatorRole::Editor
        }
    }
}

impl fmt::Display for OperatorRole {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Reader => "reader",
            Self::Editor => "editor",
            Self::Admin => "admin",
        })
    }
}

impl OperatorRole {
    /// Whether this role includes another.
    #[must_use]
    pub fn includes(self, other: Self) -> bool {
        self as u8 >= other as u8
    }
}
