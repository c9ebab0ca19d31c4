//! Result tables of queries, and the clauses `where`, `order by` and `limit`.

use crate::language::{Condition, ConditionOperator, ShowQuery};
use serde::{Deserialize, Serialize};
use std::{cmp::Ordering, fmt};

/// One cell of a table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum CellValue {
    /// A Boolean.
    Bool(bool),
    /// A number.
    Number(f64),
    /// A text.
    Text(String),
    /// No value, shown as `-`.
    Empty,
}

impl CellValue {
    /// Creates a text cell.
    #[must_use]
    pub fn text(value: impl fmt::Display) -> Self {
        Self::Text(value.to_string())
    }

    /// Creates a text cell, or an empty one for `None`.
    #[must_use]
    pub fn optional(value: Option<impl fmt::Display>) -> Self {
        value.map_or(Self::Empty, Self::text)
    }

    /// Creates a number cell.
    #[must_use]
    pub fn count(value: usize) -> Self {
        Self::Number(value as f64)
    }

    /// Compares numbers by value and everything else by its text.
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

/// Rows with named columns, the answer to a query.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DataTable {
    /// Names of the columns.
    pub columns: Vec<String>,
    /// The rows, each as long as `columns`.
    pub rows: Vec<Vec<CellValue>>,
    /// VMs whose rows are missing, each with the reason.
    #[serde(default)]
    pub missing: Vec<String>,
}

/// Why a query can't be answered. The message is sent to operators' tools.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum QueryError {
    /// The table has no column of this name.
    #[error("the table has no column `{column}`: it has {known}")]
    UnknownColumn { column: String, known: String },
}

impl DataTable {
    /// Creates a table without rows.
    #[must_use]
    pub fn new(columns: &[&str]) -> Self {
        Self {
            columns: columns.iter().map(|column| (*column).to_owned()).collect(),
            rows: Vec::new(),
            missing: Vec::new(),
        }
    }

    /// Appends the rows and the missing VMs of another daemon's answer.
    pub fn merge(&mut self, other: Self) {
        self.rows.extend(other.rows);
        self.missing.extend(other.missing);
    }

    /// Filters, sorts and limits the rows.
    ///
    /// # Errors
    /// Names an unknown column and the columns of the table.
    pub fn apply(mut self, query: &ShowQuery) -> Result<Self, QueryError> {
        for condition in &query.filter {
            let index = self.column_index(&condition.column)?;
            self.rows
                .retain(|row| matches_condition(condition, &row[index]));
        }
        if let Some(order) = &query.order {
            let index = self.column_index(&order.column)?;
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

    fn column_index(&self, name: &str) -> Result<usize, QueryError> {
        let index = self.columns.iter().position(|column| column == name);
        index.ok_or_else(|| QueryError::UnknownColumn {
            column: name.to_owned(),
            known: self.columns.join(", "),
        })
    }
}

fn matches_condition(condition: &Condition, cell: &CellValue) -> bool {
    let ordering = cell.compare(&condition.value);
    match condition.operator {
        ConditionOperator::Equal => ordering == Ordering::Equal,
        ConditionOperator::NotEqual => ordering != Ordering::Equal,
        ConditionOperator::Less => ordering == Ordering::Less,
        ConditionOperator::AtMost => ordering != Ordering::Greater,
        ConditionOperator::Greater => ordering == Ordering::Greater,
        ConditionOperator::AtLeast => ordering != Ordering::Less,
        ConditionOperator::Like => matches_pattern(&cell.to_string(), &condition.value.to_string()),
    }
}

/// Whether a text matches a pattern in which `*` stands for any text, including none.
fn matches_pattern(text: &str, pattern: &str) -> bool {
    let mut segments = pattern.split('*');
    let prefix = segments.next().unwrap_or_default();
    let Some(mut rest) = text.strip_prefix(prefix) else {
        return false;
    };
    // Every segment but the last is matched at its first position; the last one has to be at the end.
    let mut last = None;
    for segment in segments {
        if let Some(middle) = last.replace(segment) {
            let Some(position) = rest.find(middle) else {
                return false;
            };
            rest = &rest[position + str::len(middle)..];
        }
    }
    match last {
        None => rest.is_empty(),
        Some(suffix) => rest.ends_with(suffix),
    }
}
