//! Answers as rows and columns.

use serde_json::{Map, Value};

use crate::operator::language::{
    CompareOperator, FilterCondition, LanguageError, OutputFormat, ShowQuery,
};

/// Rows under named columns.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FactTable {
    /// Names of the columns.
    pub columns: Vec<&'static str>,
    /// Rows; each as long as the columns.
    pub rows: Vec<Vec<Value>>,
}

impl FactTable {
    /// Creates an empty table.
    pub fn new(columns: &[&'static str]) -> FactTable {
        FactTable { columns: columns.to_vec(), rows: Vec::new() }
    }

    /// Keeps the rows and columns that a query wants.
    ///
    /// # Errors
    ///
    /// [`LanguageError`] points at a column that the table does not have.
    pub fn select(mut self, query: &ShowQuery) -> Result<FactTable, LanguageError> {
        for condition in &query.conditions {
            let column = self.column(&condition.column)?;
            self.rows.retain(|row| matches(&row[column], condition));
        }
        if query.columns.is_empty() {
            return Ok(self);
        }
        let kept = query.columns.iter().map(|name| self.column(name));
        let kept: Vec<usize> = kept.collect::<Result<_, _>>()?;
        let pick = |row: &Vec<Value>| kept.iter().map(|column| row[*column].clone()).collect();
        Ok(FactTable {
            columns: kept.iter().map(|column| self.columns[*column]).collect(),
            rows: self.rows.iter().map(pick).collect(),
        })
    }

    /// Writes the table as text.
    pub fn render(&self, format: OutputFormat) -> String {
        match format {
            OutputFormat::Json => self.render_json(),
            OutputFormat::Table => self.render_table(),
        }
    }

    fn column(&self, name: &crate::operator::language::PlacedText) -> Result<usize, LanguageError> {
        let found = self.columns.iter().position(|column| *column == &*name.text);
        found.ok_or_else(|| {
            let expected = format!("one of the columns {}", self.columns.join(", "));
            LanguageError::at(&name.span, expected)
        })
    }

    fn render_json(&self) -> String {
        let object = |row: &Vec<Value>| {
            let fields = self.columns.iter().zip(row);
            let fields = fields.map(|(name, value)| ((*name).to_owned(), value.clone()));
            Value::Object(fields.collect::<Map<_, _>>())
        };
        let rows: Vec<Value> = self.rows.iter().map(object).collect();
        serde_json::to_string_pretty(&rows).unwrap_or_default()
    }

    fn render_table(&self) -> String {
        let cells: Vec<Vec<String>> =
            self.rows.iter().map(|row| row.iter().map(cell).collect()).collect();
        let width = |column: usize| {
            let widths = cells.iter().map(|row| row[column].chars().count());
            widths.chain([self.columns[column].len()]).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..self.columns.len()).map(width).collect();
        let header: Vec<String> = self.columns.iter().map(|name| (*name).to_owned()).collect();
        let line = |row: &Vec<String>| {
            let padded = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
            padded.collect::<Vec<_>>().join("  ").trim_end().to_owned()
        };
        let mut lines = vec![line(&header)];
        lines.extend(cells.iter().map(line));
        lines.join("\n")
    }
}

fn cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        Value::Array(items) => items.iter().map(cell).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}

fn matches(value: &Value, condition: &FilterCondition) -> bool {
    let wanted = &*condition.value.text;
    let order = match (value.as_f64(), wanted.parse::<f64>()) {
        (Some(number), Ok(wanted)) => number.partial_cmp(&wanted),
        _ => Some(cell(value).as_str().cmp(wanted)),
    };
    let Some(order) = order else { return false };
    match condition.operator {
        CompareOperator::Equal => order.is_eq(),
        CompareOperator::NotEqual => order.is_ne(),
        CompareOperator::Less => order.is_lt(),
        CompareOperator::LessOrEqual => order.is_le(),
        CompareOperator::Greater => order.is_gt(),
        CompareOperator::GreaterOrEqual => order.is_ge(),
        CompareOperator::Contains => cell(value).contains(wanted),
    }
}
