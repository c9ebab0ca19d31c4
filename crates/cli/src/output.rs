//! Prints answers and errors as tables or JSON.

use crate::{
    args::OutputFormat,
    client::{StatementAnswer, StatementError},
};
use comfy_table::{ContentArrangement, Table, presets};
use hoplanding_core::language::{CellValue, DataTable};
use serde_json::{Map, Value, json};

/// Prints an answer to standard output.
pub fn print_answer(answer: &StatementAnswer, format: OutputFormat) {
    match (answer, format) {
        (StatementAnswer::Table(table), OutputFormat::Table) => println!("{}", format_table(table)),
        (StatementAnswer::Table(table), OutputFormat::Json) => println!("{}", table_json(table)),
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

/// Formats a table as aligned text, followed by the row count and the parts that could not be reached.
#[must_use]
pub fn format_table(table: &DataTable) -> String {
    let mut output = Table::new();
    output
        .load_preset(presets::NOTHING)
        .set_content_arrangement(ContentArrangement::Disabled);
    output.set_header(&table.columns);
    for row in &table.rows {
        output.add_row(row.iter().map(ToString::to_string));
    }
    let mut text = output.trim_fmt();
    text.push_str(&format!("\n({} rows)", table.rows.len()));
    for missing in &table.missing {
        text.push_str(&format!("\nmissing: {missing}"));
    }
    text
}

fn table_json(table: &DataTable) -> Value {
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
