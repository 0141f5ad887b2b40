//! Parses the operators' language.

use std::ops::Range;
use std::sync::Arc;

use miette::{Diagnostic, SourceSpan};
use pest::Parser;
use pest::error::{Error as PestError, ErrorVariant, InputLocation};
use pest::iterators::Pair;
use pest_derive::Parser;
use thiserror::Error;

#[derive(Parser)]
#[grammar = "operator/grammar.pest"]
struct LanguageParser;

/// Where facts come from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FactSource {
    /// What operators declared and the platform holds.
    Accepted,
    /// What hosts and endpoints report.
    Now,
    /// Where the two differ.
    Difference,
}

/// What a query is about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FactKind {
    /// Adapters.
    Adapters,
    /// Accepted changes.
    Changes,
    /// Engines and plain services.
    Endpoints,
    /// Hosts.
    Hosts,
    /// Keys.
    Keys,
    /// Models.
    Models,
    /// Plain routes.
    Routes,
    /// Shares of allowances by process life.
    Shares,
    /// Workspaces.
    Workspaces,
}

/// How a value is compared.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CompareOperator {
    /// Equal.
    Equal,
    /// Not equal.
    NotEqual,
    /// Less.
    Less,
    /// Less or equal.
    LessOrEqual,
    /// Greater.
    Greater,
    /// Greater or equal.
    GreaterOrEqual,
    /// Contains the text.
    Contains,
}

/// How an answer is written.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum OutputFormat {
    /// Aligned columns.
    #[default]
    Table,
    /// An array of objects.
    Json,
}

/// A piece of the text and its place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlacedText {
    /// The text, without quotes.
    pub text: Arc<str>,
    /// Its bytes in the script.
    pub span: Range<usize>,
}

/// One condition of a filter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FilterCondition {
    /// Column to compare.
    pub column: PlacedText,
    /// How.
    pub operator: CompareOperator,
    /// With what.
    pub value: PlacedText,
}

/// A query.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShowQuery {
    /// Where facts come from.
    pub source: FactSource,
    /// What they are about.
    pub kind: FactKind,
    /// Which rows.
    pub conditions: Vec<FilterCondition>,
    /// Which columns; all if empty.
    pub columns: Vec<PlacedText>,
    /// How to write them.
    pub format: OutputFormat,
}

/// What a command changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ObjectKind {
    /// An adapter.
    Adapter,
    /// An endpoint.
    Endpoint,
    /// A model.
    Model,
    /// A plain route.
    Route,
    /// A workspace.
    Workspace,
}

/// One setting of a command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ObjectSetting {
    /// Its name.
    pub name: PlacedText,
    /// Its values; mostly one.
    pub values: Vec<PlacedText>,
}

/// An object that a command names, with its settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ObjectOrder {
    /// What it is.
    pub kind: ObjectKind,
    /// Its name.
    pub name: PlacedText,
    /// Its settings.
    pub settings: Vec<ObjectSetting>,
}

/// One statement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Statement {
    /// Shows facts.
    Show(ShowQuery),
    /// Says where a model is and why.
    ExplainModel(PlacedText),
    /// Says why an endpoint gets work or not.
    ExplainEndpoint(PlacedText),
    /// Declares an object that must not exist.
    Declare(ObjectOrder),
    /// Changes settings of an object that exists.
    Change(ObjectOrder),
    /// Removes an object.
    Remove(ObjectOrder),
    /// Rolls a version of a model out.
    Rollout {
        /// The model.
        model: PlacedText,
        /// The version.
        version: PlacedText,
    },
    /// Takes a rollout back that is not yet switched.
    Rollback(PlacedText),
    /// Issues a key for a workspace.
    IssueKey(PlacedText),
    /// Withdraws a key by its hash.
    WithdrawKey(PlacedText),
    /// Stops new work at an endpoint.
    Drain(PlacedText),
    /// Allows new work at an endpoint again.
    Restore(PlacedText),
    /// Waits until a revision is in force everywhere.
    Wait(PlacedText),
}

/// A statement and the text that it was read from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SourcedStatement {
    /// The statement.
    pub statement: Statement,
    /// Its text, for the history.
    pub source: Arc<str>,
}

/// Why a text is not a script.
#[derive(Clone, Debug, Diagnostic, Eq, Error, PartialEq)]
#[error("the statement cannot be understood")]
pub struct LanguageError {
    /// What was expected, or what is wrong.
    #[help]
    pub expected: String,
    /// The place in the text.
    #[label("here")]
    pub span: SourceSpan,
}

impl LanguageError {
    /// Builds an error at a place.
    pub fn at(span: &Range<usize>, expected: impl Into<String>) -> LanguageError {
        LanguageError {
            expected: expected.into(),
            span: SourceSpan::new(span.start.into(), span.len()),
        }
    }
}

/// Parses a script: statements with semicolons between them.
///
/// # Errors
///
/// [`LanguageError`] points at the place and says what was expected there.
///
/// # Examples
///
/// ```
/// use skylarkgw::operator::{Statement, parse_script};
///
/// let script = parse_script("show accepted models; drain endpoint e-1")?;
/// assert!(matches!(script[0].statement, Statement::Show(_)));
/// assert_eq!(&*script[1].source, "drain endpoint e-1");
/// # Ok::<(), skylarkgw::operator::LanguageError>(())
/// ```
pub fn parse_script(text: &str) -> Result<Vec<SourcedStatement>, LanguageError> {
    let mut pairs = LanguageParser::parse(Rule::script, text).map_err(translate)?;
    let script = pairs.next().map(Pair::into_inner).into_iter().flatten();
    script
        .filter(|pair| pair.as_rule() == Rule::statement)
        .map(|pair| {
            let source: Arc<str> = pair.as_str().trim().into();
            let inner = pair.into_inner().next();
            let missing = || LanguageError::at(&(0..text.len()), "a statement");
            let statement = inner.ok_or_else(missing).and_then(statement)?;
            Ok(SourcedStatement { statement, source })
        })
        .collect()
}

fn translate(error: PestError<Rule>) -> LanguageError {
    let span = match error.location {
        InputLocation::Pos(at) => at..at,
        InputLocation::Span((start, end)) => start..end,
    };
    let expected = match &error.variant {
        ErrorVariant::ParsingError { positives, .. } => {
            let mut names: Vec<&str> = positives.iter().map(|rule| rule_name(*rule)).collect();
            names.sort_unstable();
            names.dedup();
            if names.is_empty() { "another word".to_owned() } else { names.join(" or ") }
        }
        ErrorVariant::CustomError { message } => message.clone(),
    };
    LanguageError::at(&span, expected)
}

fn rule_name(rule: Rule) -> &'static str {
    match rule {
        Rule::statement => {
            "a statement: show, explain, declare, change, remove, rollout, rollback, issue, \
             withdraw, drain, restore or wait"
        }
        Rule::kind => {
            "a kind: adapters, changes, endpoints, hosts, keys, models, routes, shares or \
             workspaces"
        }
        Rule::object => "an object: adapter, endpoint, model, route or workspace",
        Rule::source => "a source: accepted, now or difference",
        Rule::setting => "a setting such as rate:5000",
        Rule::operator => "one of = != < <= > >= ~",
        Rule::value | Rule::bare | Rule::quoted_text | Rule::list => "a value",
        Rule::name => "a name",
        Rule::condition => "a condition such as rate > 100",
        Rule::filter => "'where'",
        Rule::columns => "'columns'",
        Rule::format => "'as table' or 'as json'",
        Rule::explain_model | Rule::explain_endpoint => "'model NAME' or 'endpoint NAME'",
        Rule::EOI | Rule::terminator => "the end or ';'",
        _ => "another word",
    }
}

fn statement(pair: Pair<'_, Rule>) -> Result<Statement, LanguageError> {
    let rule = pair.as_rule();
    let span = pair.as_span().start()..pair.as_span().end();
    let missing = || LanguageError::at(&span, "a complete statement");
    match rule {
        Rule::show => Ok(Statement::Show(show(pair))),
        Rule::declare => object_order(pair).map(Statement::Declare).ok_or_else(missing),
        Rule::change => object_order(pair).map(Statement::Change).ok_or_else(missing),
        Rule::remove => object_order(pair).map(Statement::Remove).ok_or_else(missing),
        Rule::explain => {
            let inner = pair.into_inner().next().ok_or_else(missing)?;
            let is_model = inner.as_rule() == Rule::explain_model;
            let name = inner.into_inner().next().map(placed).ok_or_else(missing)?;
            Ok(if is_model {
                Statement::ExplainModel(name)
            } else {
                Statement::ExplainEndpoint(name)
            })
        }
        _ => {
            let mut values = pair.into_inner().map(placed);
            let value = values.next().ok_or_else(missing)?;
            match rule {
                Rule::rollout => {
                    let version = values.next().ok_or_else(missing)?;
                    Ok(Statement::Rollout { model: value, version })
                }
                Rule::rollback => Ok(Statement::Rollback(value)),
                Rule::issue => Ok(Statement::IssueKey(value)),
                Rule::withdraw => Ok(Statement::WithdrawKey(value)),
                Rule::drain => Ok(Statement::Drain(value)),
                Rule::restore => Ok(Statement::Restore(value)),
                Rule::wait => Ok(Statement::Wait(value)),
                _ => Err(missing()),
            }
        }
    }
}

fn placed(pair: Pair<'_, Rule>) -> PlacedText {
    let span = pair.as_span().start()..pair.as_span().end();
    let text = match pair.as_rule() {
        Rule::value => pair.into_inner().next().map_or("", |inner| inner.as_str()).into(),
        _ => pair.as_str().into(),
    };
    PlacedText { text, span }
}

fn show(pair: Pair<'_, Rule>) -> ShowQuery {
    let mut query = ShowQuery {
        source: FactSource::Accepted,
        kind: FactKind::Models,
        conditions: Vec::new(),
        columns: Vec::new(),
        format: OutputFormat::Table,
    };
    for part in pair.into_inner() {
        match part.as_rule() {
            Rule::source => query.source = source(part.as_str()),
            Rule::kind => query.kind = fact_kind(part.as_str()),
            Rule::filter => query.conditions = part.into_inner().filter_map(condition).collect(),
            Rule::columns => query.columns = part.into_inner().map(placed).collect(),
            Rule::format if part.as_str().to_ascii_lowercase().ends_with("json") => {
                query.format = OutputFormat::Json;
            }
            _ => {}
        }
    }
    query
}

fn source(word: &str) -> FactSource {
    match word.to_ascii_lowercase().as_str() {
        "now" => FactSource::Now,
        "difference" => FactSource::Difference,
        _ => FactSource::Accepted,
    }
}

fn fact_kind(word: &str) -> FactKind {
    match word.to_ascii_lowercase().as_str() {
        "adapters" => FactKind::Adapters,
        "changes" => FactKind::Changes,
        "endpoints" => FactKind::Endpoints,
        "hosts" => FactKind::Hosts,
        "keys" => FactKind::Keys,
        "routes" => FactKind::Routes,
        "shares" => FactKind::Shares,
        "workspaces" => FactKind::Workspaces,
        _ => FactKind::Models,
    }
}

fn condition(pair: Pair<'_, Rule>) -> Option<FilterCondition> {
    let mut parts = pair.into_inner();
    let column = parts.next().map(placed)?;
    let operator = match parts.next()?.as_str() {
        "!=" => CompareOperator::NotEqual,
        "<=" => CompareOperator::LessOrEqual,
        ">=" => CompareOperator::GreaterOrEqual,
        "<" => CompareOperator::Less,
        ">" => CompareOperator::Greater,
        "~" => CompareOperator::Contains,
        _ => CompareOperator::Equal,
    };
    Some(FilterCondition { column, operator, value: parts.next().map(placed)? })
}

fn object_order(pair: Pair<'_, Rule>) -> Option<ObjectOrder> {
    let mut parts = pair.into_inner();
    let kind = match parts.next()?.as_str().to_ascii_lowercase().as_str() {
        "adapter" => ObjectKind::Adapter,
        "endpoint" => ObjectKind::Endpoint,
        "route" => ObjectKind::Route,
        "workspace" => ObjectKind::Workspace,
        _ => ObjectKind::Model,
    };
    let name = parts.next().map(placed)?;
    let settings = parts.filter_map(setting).collect();
    Some(ObjectOrder { kind, name, settings })
}

fn setting(pair: Pair<'_, Rule>) -> Option<ObjectSetting> {
    let mut parts = pair.into_inner();
    let name = parts.next().map(placed)?;
    let values = parts.next()?.into_inner().map(placed).collect();
    Some(ObjectSetting { name, values })
}
