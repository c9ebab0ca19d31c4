//! Parser of statements.
//!
//! Error messages, including the expected syntax, are sent to operators' tools.

use crate::{
    config::{
        CallerQuota, ConfigChange, LoadPolicy, OperatorRole, RequestRepeatability, RightPattern,
        TargetRole,
    },
    ids::{AdapterName, PriorityClass, ServiceName, TokenHash},
    language::{
        CellValue, CommandList, Condition, ConditionOperator, QueryScope, ShowQuery, SortOrder,
        Statement, TableName,
    },
    policy::WeightPreset,
};
use pest::{
    Parser,
    error::{Error as PestError, ErrorVariant, LineColLocation},
    iterators::{Pair, Pairs},
};
use std::collections::BTreeSet;

#[derive(pest_derive::Parser)]
#[grammar = "language/grammar.pest"]
struct StatementParser;

/// Limit on waiting requests for a `set quota` command without `waiting`.
const DEFAULT_MAX_WAITING: u32 = 4096;

/// Why a text is not a valid statement.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// A word does not match the grammar; lines and columns count from 1.
    #[error("{line}:{column}: at `{word}`: expected {expected}\n  {text}\n  {marker}")]
    Unexpected {
        line: usize,
        column: usize,
        word: String,
        expected: String,
        text: String,
        marker: String,
    },
    /// A number is too large for its type.
    #[error("`{0}` is out of range: use a smaller number")]
    OutOfRange(String),
    /// There is no preset of this name.
    #[error("preset `{0}` does not exist: use load-stalls-first or batch-efficiency-first")]
    UnknownPreset(String),
}

/// Parses one statement.
///
/// # Errors
/// Names the word that does not match the grammar and what was expected in its place.
pub fn parse(text: &str) -> Result<Statement, ParseError> {
    let mut pairs = StatementParser::parse(Rule::statement, text)
        .map_err(|error| unexpected_word(text, &error))?;
    let statement = pairs
        .next()
        .expect("a statement has one pair")
        .into_inner()
        .next()
        .expect("a statement has content");
    match statement.as_rule() {
        Rule::show => Ok(Statement::Show(parse_show(statement)?)),
        Rule::explain => Ok(parse_explain(statement)),
        _ => parse_commands(text, statement),
    }
}

fn unexpected_word(text: &str, error: &PestError<Rule>) -> ParseError {
    let (line, column) = match error.line_col {
        LineColLocation::Pos(position) | LineColLocation::Span(position, _) => position,
    };
    let source_line = text.lines().nth(line - 1).unwrap_or_default();
    let rest: String = source_line.chars().skip(column - 1).collect();
    let word = rest
        .split_whitespace()
        .next()
        .unwrap_or("end of text")
        .to_owned();
    let expected = match &error.variant {
        ErrorVariant::ParsingError { positives, .. } => expected_syntax(positives, text),
        ErrorVariant::CustomError { message } => message.clone(),
    };
    ParseError::Unexpected {
        line,
        column,
        expected,
        text: source_line.to_owned(),
        marker: format!(
            "{}{}",
            " ".repeat(column - 1),
            "^".repeat(word.chars().count())
        ),
        word,
    }
}

fn expected_syntax(rules: &[Rule], text: &str) -> String {
    let words: BTreeSet<&str> = rules.iter().map(|rule| expected_text(*rule)).collect();
    if words.is_empty() {
        return format!(
            "another word than in `{}`: see docs/LANGUAGE.md",
            text.trim()
        );
    }
    words.into_iter().collect::<Vec<_>>().join(", or ")
}

fn expected_text(rule: Rule) -> &'static str {
    match rule {
        Rule::show => "`show TABLE`",
        Rule::explain => "`explain adapter NAME` or `explain request ID`",
        Rule::table => {
            "a table (targets, loaded, waiting, requests, vms, callers, rights, adapters, changes, lag, operators, services, weights)"
        }
        Rule::scope => "`here`",
        Rule::filter => "`where COLUMN = VALUE`",
        Rule::order => "`order by COLUMN`",
        Rule::limit => "`limit NUMBER`",
        Rule::comparison => "a comparison (=, !=, <, <=, >, >=, like)",
        Rule::column => "a column",
        Rule::value => "a value",
        Rule::direction => "asc or desc",
        Rule::EOI => "the end of the text",
        Rule::name => "a name",
        Rule::version => "a version",
        Rule::class => "a priority (urgent, normal, batch)",
        Rule::pattern => {
            "`all adapters`, `adapter NAME`, `adapters like PREFIX*` or `service NAME`"
        }
        Rule::integer => "a whole number",
        Rule::number => "a number",
        Rule::repeatability => "`repeatable` or `not repeatable`",
        Rule::target_role => "`engine slots N batch N` or `service NAME concurrency N`",
        Rule::fencing => "`checks fencing`",
        Rule::create_adapter => "`create adapter NAME [version VERSION]`",
        Rule::create_caller => "`create caller NAME token SECRET`",
        Rule::create_target => {
            "`create target NAME zone ZONE address IP:PORT ROLE [checks fencing]`"
        }
        Rule::create_operator => "`create operator NAME token SECRET role ROLE`",
        Rule::publish => "`publish version VERSION of ADAPTER`",
        Rule::make_current => {
            "`make current version VERSION of ADAPTER` or `go back to version VERSION of ADAPTER`"
        }
        Rule::retire_version => "`retire version VERSION of ADAPTER`",
        Rule::retire_adapter => "`retire adapter NAME`",
        Rule::allow => "`allow CALLER on PATTERN [priority CLASS]`",
        Rule::revoke => "`revoke CALLER on PATTERN`",
        Rule::mark_adapter => "`mark adapter NAME [not] repeatable`",
        Rule::mark_service => "`mark service NAME METHOD PATH [not] repeatable`",
        Rule::set_quota => "`set quota of CALLER to N per second [waiting N]`",
        Rule::set_weight => "`set weight NAME to NUMBER`",
        Rule::set_preset => "`set preset NAME`",
        Rule::drain => "`drain target NAME`",
        Rule::undrain => "`undrain target NAME`",
        Rule::remove_target => "`remove target NAME`",
        Rule::keep => "`keep adapter NAME ready`",
        Rule::release => "`release adapter NAME`",
        Rule::zone => "an availability zone",
        Rule::address => "an address such as 127.0.0.1:8000",
        Rule::secret => "a token of letters, digits and -_.:@/",
        Rule::role => "a role (reader, editor, admin)",
        Rule::method => "an HTTP method in capitals, or *",
        Rule::path => "a path that starts with /",
        Rule::prefix => "a prefix that ends with *",
        _ => "more of the statement",
    }
}

fn parse_show(pair: Pair<'_, Rule>) -> Result<ShowQuery, ParseError> {
    let mut query = ShowQuery {
        table: TableName::Targets,
        scope: QueryScope::Fleet,
        filter: Vec::new(),
        order: None,
        limit: None,
    };
    for part in pair.into_inner() {
        match part.as_rule() {
            Rule::table => {
                query.table = TableName::parse(part.as_str()).expect("the grammar lists the tables")
            }
            Rule::scope => query.scope = QueryScope::Local,
            Rule::filter => query.filter = part.into_inner().map(parse_condition).collect(),
            Rule::order => {
                let mut parts = part.into_inner();
                query.order = Some(SortOrder {
                    column: next_text(&mut parts),
                    descending: parts
                        .next()
                        .is_some_and(|direction| direction.as_str().eq_ignore_ascii_case("desc")),
                });
            }
            Rule::limit => query.limit = Some(next_integer(&mut part.into_inner())?),
            _ => {}
        }
    }
    Ok(query)
}

fn parse_condition(pair: Pair<'_, Rule>) -> Condition {
    let mut parts = pair.into_inner();
    let column = next_text(&mut parts);
    let operator = match next_text(&mut parts).as_str() {
        "=" => ConditionOperator::Equal,
        "!=" => ConditionOperator::NotEqual,
        "<" => ConditionOperator::Less,
        "<=" => ConditionOperator::AtMost,
        ">" => ConditionOperator::Greater,
        ">=" => ConditionOperator::AtLeast,
        _ => ConditionOperator::Like,
    };
    let value = parts
        .next()
        .and_then(|value| value.into_inner().next())
        .expect("a condition has a value");
    let value = match value.as_rule() {
        Rule::number => value
            .as_str()
            .parse()
            .map_or(CellValue::Empty, CellValue::Number),
        Rule::string => CellValue::text(value.as_str().trim_matches('"')),
        _ => match value.as_str() {
            "true" => CellValue::Bool(true),
            "false" => CellValue::Bool(false),
            text => CellValue::text(text),
        },
    };
    Condition {
        column,
        operator,
        value,
    }
}

fn parse_explain(pair: Pair<'_, Rule>) -> Statement {
    let subject = pair.into_inner().next().expect("explain has a subject");
    let rule = subject.as_rule();
    let name = next_text(&mut subject.into_inner());
    match rule {
        Rule::explain_adapter => Statement::ExplainAdapter(AdapterName::new(&name)),
        _ => Statement::ExplainRequest(name),
    }
}

fn parse_commands(text: &str, pair: Pair<'_, Rule>) -> Result<Statement, ParseError> {
    let redacted = redact(text, pair.clone());
    let mut changes = Vec::new();
    for command in pair.into_inner() {
        let command = command.into_inner().next().expect("a command has content");
        add_changes(command, &mut changes)?;
    }
    Ok(Statement::Commands(CommandList {
        text: redacted,
        changes,
    }))
}

/// Replaces secrets by `***`, so that none is stored in the log.
fn redact(text: &str, pair: Pair<'_, Rule>) -> String {
    let mut redacted = String::with_capacity(text.len());
    let mut copied_to = 0;
    for secret in pair
        .into_inner()
        .flatten()
        .filter(|part| part.as_rule() == Rule::secret)
    {
        let span = secret.as_span();
        redacted.push_str(&text[copied_to..span.start()]);
        redacted.push_str("***");
        copied_to = span.end();
    }
    redacted.push_str(&text[copied_to..]);
    redacted
}

fn add_changes(command: Pair<'_, Rule>, changes: &mut Vec<ConfigChange>) -> Result<(), ParseError> {
    let rule = command.as_rule();
    let mut parts = command.into_inner();
    match rule {
        Rule::create_adapter => create_adapter(&mut parts, changes),
        Rule::set_preset => return set_preset(&mut parts, changes),
        Rule::create_target => changes.push(create_target(&mut parts)?),
        Rule::set_quota => changes.push(set_quota(&mut parts)?),
        _ => changes.push(simple_change(rule, &mut parts)),
    }
    Ok(())
}

fn create_adapter(parts: &mut Pairs<'_, Rule>, changes: &mut Vec<ConfigChange>) {
    let adapter = AdapterName::new(&next_text(parts));
    changes.push(ConfigChange::CreateAdapter {
        adapter: adapter.clone(),
    });
    if let Some(version) = parts.next() {
        changes.push(ConfigChange::PublishVersion {
            adapter,
            version: version.as_str().into(),
        });
    }
}

fn set_preset(
    parts: &mut Pairs<'_, Rule>,
    changes: &mut Vec<ConfigChange>,
) -> Result<(), ParseError> {
    let name = next_text(parts);
    let preset = WeightPreset::parse(&name).ok_or(ParseError::UnknownPreset(name))?;
    changes.extend(
        preset
            .overrides()
            .iter()
            .map(|(weight, value)| ConfigChange::SetWeight {
                weight: (*weight).to_owned(),
                value: *value,
            }),
    );
    Ok(())
}

fn create_target(parts: &mut Pairs<'_, Rule>) -> Result<ConfigChange, ParseError> {
    let target = next_text(parts).as_str().into();
    let zone = next_text(parts).as_str().into();
    let address = next_text(parts);
    let role = parts
        .next()
        .and_then(|role| role.into_inner().next())
        .expect("a target has a role");
    let is_engine = role.as_rule() == Rule::engine_role;
    let mut arguments = role.into_inner();
    let role = if is_engine {
        TargetRole::Engine {
            slots: next_integer(&mut arguments)?,
            batch: next_integer(&mut arguments)?,
        }
    } else {
        TargetRole::Service {
            service: next_text(&mut arguments).as_str().into(),
            concurrency: next_integer(&mut arguments)?,
        }
    };
    Ok(ConfigChange::CreateTarget {
        target,
        zone,
        address,
        role,
        checks_fencing: parts.next().is_some(),
    })
}

fn set_quota(parts: &mut Pairs<'_, Rule>) -> Result<ConfigChange, ParseError> {
    let caller = next_text(parts).as_str().into();
    let requests_per_second = next_number(parts);
    let waiting = match parts.peek() {
        Some(_) => next_integer(parts)?,
        None => DEFAULT_MAX_WAITING,
    };
    Ok(ConfigChange::SetQuota {
        caller,
        quota: CallerQuota {
            requests_per_second,
            waiting,
        },
    })
}

fn simple_change(rule: Rule, parts: &mut Pairs<'_, Rule>) -> ConfigChange {
    let first = next_text(parts);
    let name = first.as_str();
    match rule {
        Rule::create_caller => ConfigChange::CreateCaller {
            caller: name.into(),
            token_hash: TokenHash::of(&next_text(parts)),
        },
        Rule::create_operator => ConfigChange::CreateOperator {
            operator: name.into(),
            token_hash: TokenHash::of(&next_text(parts)),
            role: parse_role(&next_text(parts)),
        },
        Rule::publish => ConfigChange::PublishVersion {
            version: name.into(),
            adapter: next_text(parts).as_str().into(),
        },
        Rule::make_current => ConfigChange::MakeCurrent {
            version: name.into(),
            adapter: next_text(parts).as_str().into(),
        },
        Rule::retire_version => ConfigChange::RetireVersion {
            version: name.into(),
            adapter: next_text(parts).as_str().into(),
        },
        Rule::retire_adapter => ConfigChange::RetireAdapter {
            adapter: name.into(),
        },
        Rule::allow => ConfigChange::Allow {
            caller: name.into(),
            pattern: parse_pattern(parts),
            priority: parts
                .next()
                .and_then(|class| PriorityClass::parse(&class.as_str().to_ascii_lowercase()))
                .unwrap_or_default(),
        },
        Rule::revoke => ConfigChange::Revoke {
            caller: name.into(),
            pattern: parse_pattern(parts),
        },
        Rule::mark_adapter => ConfigChange::MarkAdapter {
            adapter: name.into(),
            rule: parse_repeatability(&next_text(parts)),
        },
        Rule::mark_service => ConfigChange::MarkService {
            service: name.into(),
            method: next_text(parts),
            path: next_text(parts),
            rule: parse_repeatability(&next_text(parts)),
        },
        Rule::set_weight => ConfigChange::SetWeight {
            weight: first,
            value: next_number(parts),
        },
        Rule::drain => ConfigChange::SetDraining {
            target: name.into(),
            draining: true,
        },
        Rule::undrain => ConfigChange::SetDraining {
            target: name.into(),
            draining: false,
        },
        Rule::remove_target => ConfigChange::RemoveTarget {
            target: name.into(),
        },
        Rule::keep => ConfigChange::KeepReady {
            adapter: name.into(),
            ready: LoadPolicy::Kept,
        },
        _ => ConfigChange::KeepReady {
            adapter: name.into(),
            ready: LoadPolicy::ByDemand,
        },
    }
}

fn parse_pattern(parts: &mut Pairs<'_, Rule>) -> RightPattern {
    let pattern = parts
        .next()
        .and_then(|pattern| pattern.into_inner().next())
        .expect("a right has a pattern");
    let rule = pattern.as_rule();
    let mut inner = pattern.into_inner();
    match rule {
        Rule::all_adapters => RightPattern::All,
        Rule::on_service => RightPattern::Service(ServiceName::new(&next_text(&mut inner))),
        Rule::on_prefix => {
            RightPattern::Prefix(next_text(&mut inner).trim_end_matches('*').to_owned())
        }
        _ => RightPattern::Exact(AdapterName::new(&next_text(&mut inner))),
    }
}

fn parse_repeatability(text: &str) -> RequestRepeatability {
    if text.to_ascii_lowercase().starts_with("not") {
        RequestRepeatability::NotRepeatable
    } else {
        RequestRepeatability::Repeatable
    }
}

fn parse_role(text: &str) -> OperatorRole {
    match text.to_ascii_lowercase().as_str() {
        "admin" => OperatorRole::Admin,
        "editor" => OperatorRole::Editor,
        _ => OperatorRole::Reader,
    }
}

/// Text of the next pair; empty if there is none.
fn next_text(parts: &mut Pairs<'_, Rule>) -> String {
    parts
        .next()
        .map(|part| part.as_str().to_owned())
        .unwrap_or_default()
}

fn next_number(parts: &mut Pairs<'_, Rule>) -> f64 {
    next_text(parts).parse().unwrap_or_default()
}

fn next_integer<T: std::str::FromStr>(parts: &mut Pairs<'_, Rule>) -> Result<T, ParseError> {
    let text = next_text(parts);
    text.parse().map_err(|_| ParseError::OutOfRange(text))
}
