//! The operators' query and command language.
//!
//! The grammar is in `grammar.pest`; docs/LANGUAGE.md explains it. A statement is either a query, which every daemon
//! answers from its own state, or a list of commands, which becomes one atomic change of the configuration.

mod parse;
mod statement;
mod table;

pub use parse::{ParseError, parse};
pub use statement::{
    CommandList, Condition, ConditionOperator, QueryScope, ShowQuery, SortOrder, Statement,
    TableName,
};
pub use table::{CellValue, DataTable, QueryError};
