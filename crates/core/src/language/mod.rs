//! The operators' query and command language.
//!
//! The grammar is `grammar.pest`; docs/LANGUAGE.md explains it. A statement is either a query, which every daemon
//! answers from its own state, or a list of commands, which become one change that stands or falls as a whole.

mod parse;
mod statement;
mod table;

pub use parse::{ParseError, parse};
pub use statement::{
    CommandList, Condition, ConditionOperator, QueryScope, ShowQuery, SortOrder, Statement,
    TableName,
};
pub use table::{CellValue, DataTable, QueryError};
