//! Parser of the operator language.

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

/// The source of the data that a query shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuerySource {
    /// The accepted configuration, stored on the platform.
    Accepted,
    /// The state that hosts and endpoints report.
    Now,
    /// Differences between the accepted and the reported state.
    Difference,
}

/// The table that a query selects from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TableKind {
    /// Adapters.
    Adapters,
    /// Accepted changes.
    Changes,
    /// Model engines and plain services.
    Endpoints,
    /// Hosts.
    Hosts,
    /// API keys.
    Keys,
    /// Models.
    Models,
    /// Routes to plain services.
    Routes,
    /// Shares of the allowances, by host incarnation.
    Shares,
    /// Workspaces.
    Workspaces,
}

/// A comparison in a filter condition.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CompareOperator {
    /// `=`: equal.
    Equal,
    /// `!=`: not equal.
    NotEqual,
    /// `<`: less than.
    Less,
    /// `<=`: less than or equal.
    LessOrEqual,
    /// `>`: greater than.
    Greater,
    /// `>=`: greater than or equal.
    GreaterOrEqual,
    /// `~`: contains the text.
    Contains,
}

/// The output format of a query.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum OutputFormat {
    /// Text in aligned columns.
    #[default]
    Table,
    /// A JSON array with one object per row.
    Json,
}

/// A word or quoted text of a script with its position.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SpannedText {
    /// The text, without quotes.
    pub text: Arc<str>,
    /// Byte range in the script.
    pub span: Range<usize>,
}

/// A condition of a query's filter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FilterCondition {
    /// Column whose value is compared.
    pub column: SpannedText,
    /// Comparison to apply.
    pub operator: CompareOperator,
    /// Value to compare with.
    pub value: SpannedText,
}

/// A `show` statement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShowQuery {
    /// Source of the data.
    pub source: QuerySource,
    /// Table to select from.
    pub kind: TableKind,
    /// Conditions that a row must all satisfy.
    pub conditions: Vec<FilterCondition>,
    /// Columns to show, or all columns if empty.
    pub columns: Vec<SpannedText>,
    /// Output format.
    pub format: OutputFormat,
}

/// The kind of object that a command changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ObjectKind {
    /// An adapter.
    Adapter,
    /// An endpoint.
    Endpoint,
    /// A model.
    Model,
    /// A route to plain services.
    Route,
    /// A workspace.
    Workspace,
}

/// A setting of a command, such as `rate:5000`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ObjectSetting {
    /// Name of the setting.
    pub name: SpannedText,
    /// Values of the setting. Most settings take one.
    pub values: Vec<SpannedText>,
}

/// The object of a command with its settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ObjectCommand {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Name of the object.
    pub name: SpannedText,
    /// Settings in the order of the script.
    pub settings: Vec<ObjectSetting>,
}

/// A parsed statement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Statement {
    /// Shows the result of a query.
    Show(ShowQuery),
    /// Explains which endpoints serve a model and take work for it.
    ExplainModel(SpannedText),
    /// Explains whether an endpoint takes new work.
    ExplainEndpoint(SpannedText),
    /// Declares an object, which must not exist yet.
    Declare(ObjectCommand),
    /// Changes settings of an existing object.
    Change(ObjectCommand),
    /// Removes an object.
    Remove(ObjectCommand),
    /// Rolls out a version of a model.
    Rollout {
        /// The model.
        model: SpannedText,
        /// The version.
        version: SpannedText,
    },
    /// Cancels a rollout whose version is not in force yet.
    Rollback(SpannedText),
    /// Issues an API key for a workspace.
    IssueKey(SpannedText),
    /// Withdraws an API key, given in plain text or by its hash.
    WithdrawKey(SpannedText),
    /// Stops sending new work to an endpoint.
    Drain(SpannedText),
    /// Resumes sending new work to an endpoint.
    Restore(SpannedText),
    /// Waits until a revision is in force on every live host.
    Wait(SpannedText),
}

/// A statement with its source text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SourcedStatement {
    /// The parsed statement.
    pub statement: Statement,
    /// Source text, which the change history records.
    pub source: Arc<str>,
}

/// An error in a script, with its position.
#[derive(Clone, Debug, Diagnostic, Eq, Error, PartialEq)]
#[error("the statement is invalid")]
pub struct LanguageError {
    /// What was expected at this position, or why the text there is invalid.
    #[help]
    pub expected: String,
    /// Position in the script.
    #[label("here")]
    pub span: SourceSpan,
}

impl LanguageError {
    /// Creates an error for a byte range of the script.
    pub fn at(span: &Range<usize>, expected: impl Into<String>) -> LanguageError {
        LanguageError {
            expected: expected.into(),
            span: SourceSpan::new(span.start.into(), span.len()),
        }
    }
}

/// Parses a script of statements separated by semicolons.
///
/// # Errors
///
/// Returns [`LanguageError`] with the position of the first error and what was
/// expected there.
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
    let mut pairs = LanguageParser::parse(Rule::script, text).map_err(convert_error)?;
    let script = pairs.next().map(Pair::into_inner).into_iter().flatten();
    script
        .filter(|pair| pair.as_rule() == Rule::statement)
        .map(|pair| {
            let source: Arc<str> = pair.as_str().trim().into();
            let inner = pair.into_inner().next();
            let missing = || LanguageError::at(&(0..text.len()), "a statement");
            let statement = inner.ok_or_else(missing).and_then(parse_statement)?;
            Ok(SourcedStatement { statement, source })
        })
        .collect()
}

fn convert_error(error: PestError<Rule>) -> LanguageError {
    let span = match error.location {
        InputLocation::Pos(offset) => offset..offset,
        InputLocation::Span((start, end)) => start..end,
    };
    let expected = match &error.variant {
        ErrorVariant::ParsingError { positives, .. } => {
            let mut rules: Vec<&str> = positives.iter().map(|rule| describe_rule(*rule)).collect();
            rules.sort_unstable();
            rules.dedup();
            if rules.is_empty() { "another word".to_owned() } else { rules.join(" or ") }
        }
        ErrorVariant::CustomError { message } => message.clone(),
    };
    LanguageError::at(&span, expected)
}

fn describe_rule(rule: Rule) -> &'static str {
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

fn parse_statement(pair: Pair<'_, Rule>) -> Result<Statement, LanguageError> {
    let rule = pair.as_rule();
    let span = pair.as_span().start()..pair.as_span().end();
    let missing = || LanguageError::at(&span, "a complete statement");
    match rule {
        Rule::show => Ok(Statement::Show(parse_query(pair))),
        Rule::declare => parse_object_command(pair).map(Statement::Declare).ok_or_else(missing),
        Rule::change => parse_object_command(pair).map(Statement::Change).ok_or_else(missing),
        Rule::remove => parse_object_command(pair).map(Statement::Remove).ok_or_else(missing),
        Rule::explain => {
            let inner = pair.into_inner().next().ok_or_else(missing)?;
            let is_model = inner.as_rule() == Rule::explain_model;
            let name = inner.into_inner().next().map(read_text).ok_or_else(missing)?;
            Ok(if is_model {
                Statement::ExplainModel(name)
            } else {
                Statement::ExplainEndpoint(name)
            })
        }
        _ => {
            let mut values = pair.into_inner().map(read_text);
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

fn read_text(pair: Pair<'_, Rule>) -> SpannedText {
    let span = pair.as_span().start()..pair.as_span().end();
    let text = match pair.as_rule() {
        Rule::value => pair.into_inner().next().map_or("", |inner| inner.as_str()).into(),
        _ => pair.as_str().into(),
    };
    SpannedText { text, span }
}

fn parse_query(pair: Pair<'_, Rule>) -> ShowQuery {
    let mut query = ShowQuery {
        source: QuerySource::Accepted,
        kind: TableKind::Models,
        conditions: Vec::new(),
        columns: Vec::new(),
        format: OutputFormat::Table,
    };
    for part in pair.into_inner() {
        match part.as_rule() {
            Rule::source => query.source = parse_source(part.as_str()),
            Rule::kind => query.kind = parse_table_kind(part.as_str()),
            Rule::filter => {
                query.conditions = part.into_inner().filter_map(parse_condition).collect()
            }
            Rule::columns => query.columns = part.into_inner().map(read_text).collect(),
            Rule::format if part.as_str().to_ascii_lowercase().ends_with("json") => {
                query.format = OutputFormat::Json;
            }
            _ => {}
        }
    }
    query
}

fn parse_source(word: &str) -> QuerySource {
    match word.to_ascii_lowercase().as_str() {
        "now" => QuerySource::Now,
        "difference" => QuerySource::Difference,
        _ => QuerySource::Accepted,
    }
}

fn parse_table_kind(word: &str) -> TableKind {
    match word.to_ascii_lowercase().as_str() {
        "adapters" => TableKind::Adapters,
        "changes" => TableKind::Changes,
        "endpoints" => TableKind::Endpoints,
        "hosts" => TableKind::Hosts,
        "keys" => TableKind::Keys,
        "routes" => TableKind::Routes,
        "shares" => TableKind::Shares,
        "workspaces" => TableKind::Workspaces,
        _ => TableKind::Models,
    }
}

fn parse_condition(pair: Pair<'_, Rule>) -> Option<FilterCondition> {
    let mut parts = pair.into_inner();
    let column = parts.next().map(read_text)?;
    let operator = match parts.next()?.as_str() {
        "!=" => CompareOperator::NotEqual,
        "<=" => CompareOperator::LessOrEqual,
        ">=" => CompareOperator::GreaterOrEqual,
        "<" => CompareOperator::Less,
        ">" => CompareOperator::Greater,
        "~" => CompareOperator::Contains,
        _ => CompareOperator::Equal,
    };
    Some(FilterCondition { column, operator, value: parts.next().map(read_text)? })
}

fn parse_object_command(pair: Pair<'_, Rule>) -> Option<ObjectCommand> {
    let mut parts = pair.into_inner();
    let kind = match parts.next()?.as_str().to_ascii_lowercase().as_str() {
        "adapter" => ObjectKind::Adapter,
        "endpoint" => ObjectKind::Endpoint,
        "route" => ObjectKind::Route,
        "workspace" => ObjectKind::Workspace,
        _ => ObjectKind::Model,
    };
    let name = parts.next().map(read_text)?;
    let settings = parts.filter_map(parse_setting).collect();
    Some(ObjectCommand { kind, name, settings })
}

fn parse_setting(pair: Pair<'_, Rule>) -> Option<ObjectSetting> {
    let mut parts = pair.into_inner();
    let name = parts.next().map(read_text)?;
    let values = parts.next()?.into_inner().map(read_text).collect();
    Some(ObjectSetting { name, values })
}
