//! What a parsed text means.

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
    /// Why an adapter is where it is.
    ExplainAdapter(AdapterName),
    /// Why a request waits.
    ExplainRequest(String),
    /// Commands that stand or fall together.
    Commands(CommandList),
}

/// The tables that can be asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TableName {
    /// Targets with holder and state.
    Targets,
    /// Which adapter is loaded where.
    Loaded,
    /// What waits, by target, adapter, class and caller.
    Waiting,
    /// VMs and what is believed of them.
    Vms,
    /// Callers with quotas.
    Callers,
    /// Rights of callers.
    Rights,
    /// Adapters with versions.
    Adapters,
    /// The audit trail.
    Changes,
    /// How far each daemon has read the log.
    Lag,
    /// Operators.
    Operators,
    /// Rules of plain services.
    Services,
    /// Weights of the policy.
    Weights,
    /// Requests that run or wait.
    Requests,
}

impl TableName {
    /// Parses a table's name.
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

    /// Whether each daemon knows only its part of the table.
    #[must_use]
    pub fn is_distributed(self) -> bool {
        matches!(
            self,
            Self::Loaded | Self::Waiting | Self::Requests | Self::Lag | Self::Targets
        )
    }
}

/// Whose rows are asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QueryScope {
    /// Those of all daemons that can be reached.
    #[default]
    Fleet,
    /// Those of the daemon asked.
    Local,
}

/// How a column is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConditionOperator {
    /// Equal.
    Equal,
    /// Not equal.
    NotEqual,
    /// Less.
    Less,
    /// Less or equal.
    AtMost,
    /// Greater.
    Greater,
    /// Greater or equal.
    AtLeast,
    /// Like a pattern in which `*` stands for any text.
    Like,
}

/// One condition of a query.
#[derive(Clone, Debug, PartialEq)]
pub struct Condition {
    /// The column.
    pub column: String,
    /// The comparison.
    pub operator: ConditionOperator,
    /// What it is compared with.
    pub value: CellValue,
}

/// The order of the rows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SortOrder {
    /// The column.
    pub column: String,
    /// Greatest first.
    pub descending: bool,
}

/// A query of one table.
#[derive(Clone, Debug, PartialEq)]
pub struct ShowQuery {
    /// The table.
    pub table: TableName,
    /// Whose rows.
    pub scope: QueryScope,
    /// Conditions that all have to hold.
    pub filter: Vec<Condition>,
    /// Order of the rows.
    pub order: Option<SortOrder>,
    /// Rows at the most.
    pub limit: Option<usize>,
}

/// Commands as typed, and the changes that they stand for.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandList {
    /// The text, with secrets struck out.
    pub text: String,
    /// The changes.
    pub changes: Vec<ConfigChange>,
}

impl CommandList {
    /// The changes with the revisions that they are based on.
    #[must_use]
    pub fn change_parts(&self, config: &ConfigState) -> Vec<ChangePart> {
        let parts = self.changes.iter().map(|change| ChangePart {
            based_on: config.revision(&change.object()),
            change: change.clone(),
        });
        parts.collect()
    }

    /// The role that an operator needs for all of them.
    #[must_use]
    pub fn required_role(&self) -> OperatorRole {
        let admin = self
            .changes
            .iter()
            .any(|change| change.required_role() == OperatorRole::Admin);
        if admin {
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
