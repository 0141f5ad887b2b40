//! Query results as tables: selection and output formats.

use serde_json::{Map, Value};

use crate::operator::language::{
    CompareOperator, FilterCondition, LanguageError, OutputFormat, ShowQuery,
};

/// A table with named columns.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueryTable {
    /// Names of the columns.
    pub columns: Vec<&'static str>,
    /// Rows. Each has one value per column.
    pub rows: Vec<Vec<Value>>,
}

impl QueryTable {
    /// Creates a table without rows.
    pub fn new(columns: &[&'static str]) -> QueryTable {
        QueryTable { columns: columns.to_vec(), rows: Vec::new() }
    }

    /// Returns the rows and columns that a query selects.
    ///
    /// # Errors
    ///
    /// Returns [`LanguageError`] if the query names a column that the table does not
    /// have.
    pub fn select(mut self, query: &ShowQuery) -> Result<QueryTable, LanguageError> {
        for condition in &query.conditions {
            let column = self.find_column(&condition.column)?;
            self.rows.retain(|row| is_match(&row[column], condition));
        }
        if query.columns.is_empty() {
            return Ok(self);
        }
        let selected = query.columns.iter().map(|name| self.find_column(name));
        let selected: Vec<usize> = selected.collect::<Result<_, _>>()?;
        let select_cells =
            |row: &Vec<Value>| selected.iter().map(|column| row[*column].clone()).collect();
        Ok(QueryTable {
            columns: selected.iter().map(|column| self.columns[*column]).collect(),
            rows: self.rows.iter().map(select_cells).collect(),
        })
    }

    /// Renders the table as text in the given format.
    pub fn render(&self, format: OutputFormat) -> String {
        match format {
            OutputFormat::Json => self.render_json(),
            OutputFormat::Table => self.render_table(),
        }
    }

    fn find_column(
        &self,
        name: &crate::operator::language::SpannedText,
    ) -> Result<usize, LanguageError> {
        let index = self.columns.iter().position(|column| *column == &*name.text);
        index.ok_or_else(|| {
            let expected = format!("one of the columns {}", self.columns.join(", "));
            LanguageError::at(&name.span, expected)
        })
    }

    fn render_json(&self) -> String {
        let build_object = |row: &Vec<Value>| {
            let fields = self.columns.iter().zip(row);
            let fields = fields.map(|(name, value)| ((*name).to_owned(), value.clone()));
            Value::Object(fields.collect::<Map<_, _>>())
        };
        let rows: Vec<Value> = self.rows.iter().map(build_object).collect();
        serde_json::to_string_pretty(&rows).unwrap_or_default()
    }

    fn render_table(&self) -> String {
        let cells: Vec<Vec<String>> =
            self.rows.iter().map(|row| row.iter().map(format_cell).collect()).collect();
        let column_width = |column: usize| {
            let widths = cells.iter().map(|row| row[column].chars().count());
            widths.chain([self.columns[column].len()]).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..self.columns.len()).map(column_width).collect();
        let header: Vec<String> = self.columns.iter().map(|name| (*name).to_owned()).collect();
        let format_line = |row: &Vec<String>| {
            let padded = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
            padded.collect::<Vec<_>>().join("  ").trim_end().to_owned()
        };
        let mut lines = vec![format_line(&header)];
        lines.extend(cells.iter().map(format_line));
        lines.join("\n")
    }
}

fn format_cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        Value::Array(items) => items.iter().map(format_cell).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}

/// Returns whether a value satisfies a condition.
///
/// Compares numerically if both sides are numbers, otherwise as text.
/// [`CompareOperator::Contains`] always compares as text.
fn is_match(value: &Value, condition: &FilterCondition) -> bool {
    let wanted = &*condition.value.text;
    let ordering = match (value.as_f64(), wanted.parse::<f64>()) {
        (Some(number), Ok(wanted)) => number.partial_cmp(&wanted),
        _ => Some(format_cell(value).as_str().cmp(wanted)),
    };
    let Some(ordering) = ordering else { return false };
    match condition.operator {
        CompareOperator::Equal => ordering.is_eq(),
        CompareOperator::NotEqual => ordering.is_ne(),
        CompareOperator::Less => ordering.is_lt(),
        CompareOperator::LessOrEqual => ordering.is_le(),
        CompareOperator::Greater => ordering.is_gt(),
        CompareOperator::GreaterOrEqual => ordering.is_ge(),
        CompareOperator::Contains => format_cell(value).contains(wanted),
    }
}
