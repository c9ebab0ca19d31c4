//! Tables of answers, and what `where`, `order by` and `limit` do to them.

use crate::language::{Condition, ConditionOperator, ShowQuery};
use serde::{Deserialize, Serialize};
use std::{cmp::Ordering, fmt};

/// One cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum CellValue {
    /// A truth value.
    Bool(bool),
    /// A number.
    Number(f64),
    /// A text.
    Text(String),
    /// Nothing known.
    Empty,
}

impl CellValue {
    /// A text cell.
    #[must_use]
    pub fn text(value: impl fmt::Display) -> Self {
        Self::Text(value.to_string())
    }

    /// A cell that may be empty.
    #[must_use]
    pub fn optional(value: Option<impl fmt::Display>) -> Self {
        value.map_or(Self::Empty, Self::text)
    }

    /// A number cell.
    #[must_use]
    pub fn count(value: usize) -> Self {
        Self::Number(value as f64)
    }

    fn compare(&self, other: &Self) -> Ordering {
        match (self, other) {
            (Self::Number(a), Self::Number(b)) => a.total_cmp(b),
            _ => self.to_string().cmp(&other.to_string()),
        }
    }
}

impl fmt::Display for CellValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bool(value) => value.fmt(f),
            Self::Number(value) if value.fract() == 0.0 => write!(f, "{value:.0}"),
            Self::Number(value) => write!(f, "{value:.3}"),
            Self::Text(value) => f.pad(value),
            Self::Empty => f.pad("-"),
        }
    }
}

/// Rows with named columns.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DataTable {
    /// Names of the columns.
    pub columns: Vec<String>,
    /// The rows, each as long as `columns`.
    pub rows: Vec<Vec<CellValue>>,
    /// VMs whose part is missing, each with the reason.
    #[serde(default)]
    pub missing: Vec<String>,
}

/// Why a query can't be answered.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum QueryError {
    /// No such column.
    #[error("the table has no column `{column}`: it has {known}")]
    UnknownColumn { column: String, known: String },
}

impl DataTable {
    /// An empty table.
    #[must_use]
    pub fn new(columns: &[&str]) -> Self {
        Self {
            columns: columns.iter().map(|column| (*column).to_owned()).collect(),
            rows: Vec::new(),
            missing: Vec::new(),
        }
    }

    /// Adds the rows of another daemon's part.
    pub fn merge(&mut self, part: Self) {
        self.rows.extend(part.rows);
        self.missing.extend(part.missing);
    }

    /// Filters, sorts and cuts the rows.
    ///
    /// # Errors
    /// Names a column that does not exist, and those that do.
    pub fn apply(mut self, query: &ShowQuery) -> Result<Self, QueryError> {
        for condition in &query.filter {
            let index = self.column(&condition.column)?;
            self.rows.retain(|row| holds(condition, &row[index]));
        }
        if let Some(order) = &query.order {
            let index = self.column(&order.column)?;
            self.rows.sort_by(|a, b| {
                let ordering = a[index].compare(&b[index]);
                if order.descending {
                    ordering.reverse()
                } else {
                    ordering
                }
            });
        }
        if let Some(limit) = query.limit {
            self.rows.truncate(limit);
        }
        Ok(self)
    }

    fn column(&self, name: &str) -> Result<usize, QueryError> {
        let position = self.columns.iter().position(|column| column == name);
        position.ok_or_else(|| QueryError::UnknownColumn {
            column: name.to_owned(),
            known: self.columns.join(", "),
        })
    }
}

fn holds(condition: &Condition, cell: &CellValue) -> bool {
    let ordering = cell.compare(&condition.value);
    match condition.operator {
        ConditionOperator::Equal => ordering == Ordering::Equal,
        ConditionOperator::NotEqual => ordering != Ordering::Equal,
        ConditionOperator::Less => ordering == Ordering::Less,
        ConditionOperator::AtMost => ordering != Ordering::Greater,
        ConditionOperator::Greater => ordering == Ordering::Greater,
        ConditionOperator::AtLeast => ordering != Ordering::Less,
        ConditionOperator::Like => is_like(&cell.to_string(), &condition.value.to_string()),
    }
}

/// Whether a text fits a pattern in which `*` stands for any text.
fn is_like(text: &str, pattern: &str) -> bool {
    let mut pieces = pattern.split('*');
    let first = pieces.next().unwrap_or_default();
    let Some(mut rest) = text.strip_prefix(first) else {
        return false;
    };
    let mut last = None;
    for piece in pieces {
        if let Some(middle) = last.replace(piece) {
            let Some(position) = rest.find(middle) else {
                return false;
            };
            rest = &rest[position + str::len(middle)..];
        }
    }
    match last {
        None => rest.is_empty(),
        Some(end) => rest.ends_with(end),
    }
}
