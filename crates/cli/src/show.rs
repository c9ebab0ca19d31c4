//! Tables and JSON.

use crate::{
    args::OutputFormat,
    client::{StatementAnswer, StatementError},
};
use comfy_table::{ContentArrangement, Table, presets};
use hoplanding_core::language::{CellValue, DataTable};
use serde_json::{Map, Value, json};

/// Prints an answer.
pub fn print_answer(answer: &StatementAnswer, format: OutputFormat) {
    match (answer, format) {
        (StatementAnswer::Table(table), OutputFormat::Table) => println!("{}", text_of(table)),
        (StatementAnswer::Table(table), OutputFormat::Json) => println!("{}", json_of(table)),
        (StatementAnswer::Accepted(change), OutputFormat::Table) => {
            println!("accepted as {} at offset {}", change.id, change.offset);
        }
        (StatementAnswer::Accepted(change), OutputFormat::Json) => {
            println!("{}", json!({ "accepted": change }))
        }
    }
}

/// Prints an error to standard error.
pub fn print_error(error: &StatementError, format: OutputFormat) {
    match format {
        OutputFormat::Table => eprintln!("{error}"),
        OutputFormat::Json => eprintln!("{}", json!({ "error": error.to_string() })),
    }
}

/// A table for people; the parts that could not be reached stand below it.
#[must_use]
pub fn text_of(table: &DataTable) -> String {
    let mut shown = Table::new();
    shown
        .load_preset(presets::NOTHING)
        .set_content_arrangement(ContentArrangement::Disabled);
    shown.set_header(&table.columns);
    for row in &table.rows {
        shown.add_row(row.iter().map(ToString::to_string));
    }
    let mut text = shown.trim_fmt();
    text.push_str(&format!("\n({} rows)", table.rows.len()));
    for missing in &table.missing {
        text.push_str(&format!("\nmissing: {missing}"));
    }
    text
}

fn json_of(table: &DataTable) -> Value {
    let rows = table.rows.iter().map(|row| {
        let cells = table.columns.iter().cloned().zip(row.iter().map(cell_json));
        Value::Object(cells.collect::<Map<_, _>>())
    });
    json!({ "rows": rows.collect::<Vec<_>>(), "missing": table.missing })
}

fn cell_json(cell: &CellValue) -> Value {
    match cell {
        CellValue::Bool(value) => json!(value),
        CellValue::Number(value) => json!(value),
        CellValue::Text(value) => json!(value),
        CellValue::Empty => Value::Null,
    }
}
