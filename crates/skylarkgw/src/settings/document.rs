//! Deserialization of JSON with comments, with errors that show the position in
//! the text.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use jsonc_parser::ast::Value as AstValue;
use jsonc_parser::common::{Range, Ranged};
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use miette::{Diagnostic, NamedSource, SourceSpan};
use serde::de::DeserializeOwned;
use serde_path_to_error::{Path as FieldPath, Segment};
use thiserror::Error;

/// An error in a settings file.
#[derive(Debug, Diagnostic, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read {}", path.display())]
    #[diagnostic(help("set the path of an existing, readable file"))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Error of the operating system.
        #[source]
        source: std::io::Error,
    },
    /// The text is not JSON with comments.
    #[error("the text is not valid JSON with comments: {problem}")]
    #[diagnostic(help("write JSON; comments start with // or are enclosed in /* and */"))]
    Syntax {
        /// Error of the parser.
        problem: String,
        /// Text of the file.
        #[source_code]
        text: Arc<NamedSource<String>>,
        /// Position of the error.
        #[label("here")]
        span: SourceSpan,
    },
    /// A field is unknown, missing, or of the wrong type.
    #[error("{field}: {problem}")]
    #[diagnostic(help("see the example settings file for every field and its unit"))]
    Field {
        /// Path to the field.
        field: String,
        /// Error of the deserializer.
        problem: String,
        /// Text of the file.
        #[source_code]
        text: Arc<NamedSource<String>>,
        /// Position of the error.
        #[label("here")]
        span: SourceSpan,
    },
    /// A value is out of range or conflicts with other values.
    #[error("{field}: this value is invalid")]
    #[diagnostic(help("write {expected}"))]
    InvalidValue {
        /// Name of the field.
        field: String,
        /// Description of a valid value.
        expected: String,
        /// Text of the file.
        #[source_code]
        text: Arc<NamedSource<String>>,
        /// Position of the error.
        #[label("here")]
        span: SourceSpan,
    },
}

/// Reads a file of JSON with comments.
///
/// # Errors
///
/// Returns [`SettingsError`] if the file cannot be read or parsed, or does not
/// deserialize to `T`.
pub fn read_document<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    parse_document(path, &read_text(path)?)
}

/// Parses JSON with comments. `path` is only used in error messages.
///
/// # Errors
///
/// Returns [`SettingsError`] if the text cannot be parsed or does not deserialize
/// to `T`.
pub fn parse_document<T: DeserializeOwned>(path: &Path, text: &str) -> Result<T, SettingsError> {
    let root = parse_ast(path, text)?;
    let value: serde_json::Value = match &root {
        Some(root) => convert_to_json(root),
        None => serde_json::Value::Null,
    };
    serde_path_to_error::deserialize(value).map_err(|error| {
        let span = root.as_ref().map(|root| find_range(root, error.path()));
        SettingsError::Field {
            field: error.path().to_string(),
            problem: error.inner().to_string(),
            text: name_source(path, text),
            span: to_source_span(span.unwrap_or(Range { start: 0, end: 0 })),
        }
    })
}

/// Reads the text of a settings file.
pub(super) fn read_text(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path)
        .map_err(|source| SettingsError::Unreadable { path: path.into(), source })
}

/// Creates the error for a field with an invalid value.
pub(super) fn invalid_value_error(
    path: &Path,
    text: &str,
    field: &str,
    expected: &str,
) -> SettingsError {
    let range = parse_ast(path, text)
        .ok()
        .flatten()
        .and_then(|root| find_property_range(&root, field))
        .unwrap_or(Range { start: 0, end: 0 });
    SettingsError::InvalidValue {
        field: field.to_owned(),
        expected: expected.to_owned(),
        text: name_source(path, text),
        span: to_source_span(range),
    }
}

fn build_parse_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

fn parse_ast<'a>(path: &Path, text: &'a str) -> Result<Option<AstValue<'a>>, SettingsError> {
    parse_to_ast(text, &CollectOptions::default(), &build_parse_options())
        .map(|result| result.value)
        .map_err(|error| SettingsError::Syntax {
            problem: error.kind().to_string(),
            span: to_source_span(error.range()),
            text: name_source(path, text),
        })
}

fn convert_to_json(value: &AstValue<'_>) -> serde_json::Value {
    match value {
        AstValue::StringLit(text) => serde_json::Value::String(text.value.to_string()),
        AstValue::NumberLit(number) => {
            serde_json::from_str(number.value).unwrap_or(serde_json::Value::Null)
        }
        AstValue::BooleanLit(boolean) => serde_json::Value::Bool(boolean.value),
        AstValue::Object(object) => object
            .properties
            .iter()
            .map(|property| (property.name.as_str().to_owned(), convert_to_json(&property.value)))
            .collect::<serde_json::Map<_, _>>()
            .into(),
        AstValue::Array(array) => array.elements.iter().map(convert_to_json).collect(),
        AstValue::NullKeyword(_) => serde_json::Value::Null,
    }
}

/// Returns the range of the value at a path, or of its innermost existing parent.
fn find_range(root: &AstValue<'_>, path: &FieldPath) -> Range {
    let mut current = root;
    for segment in path.iter() {
        let next = match (segment, current) {
            (Segment::Map { key }, AstValue::Object(object)) => object
                .properties
                .iter()
                .find(|property| property.name.as_str() == key)
                .map(|property| &property.value),
            (Segment::Seq { index }, AstValue::Array(array)) => array.elements.get(*index),
            _ => None,
        };
        match next {
            Some(next) => current = next,
            None => break,
        }
    }
    current.range()
}

fn find_property_range(root: &AstValue<'_>, field: &str) -> Option<Range> {
    let AstValue::Object(object) = root else { return None };
    object
        .properties
        .iter()
        .find(|property| property.name.as_str() == field)
        .map(|property| property.value.range())
}

fn name_source(path: &Path, text: &str) -> Arc<NamedSource<String>> {
    Arc::new(NamedSource::new(path.display().to_string(), text.to_owned()))
}

fn to_source_span(range: Range) -> SourceSpan {
    SourceSpan::new(range.start.into(), range.end.saturating_sub(range.start))
}
