//! Text tables.

use std::fmt;

/// A table with column headings, printed in aligned columns.
///
/// ```
/// use cassiarock_operator::Table;
/// let table = Table::new(["rule", "pool"]).with_row(["payments", "booking"]);
/// assert_eq!(table.to_string(), "RULE      POOL\npayments  booking\n");
/// ```
#[derive(Clone, Debug, Default)]
pub struct Table {
    header: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with these headings and no rows.
    pub fn new(header: impl IntoIterator<Item = impl Into<String>>) -> Self {
        let header = header.into_iter().map(|name| name.into().to_uppercase());
        Self {
            header: header.collect(),
            rows: Vec::new(),
        }
    }

    /// Adds a row and returns the table.
    #[must_use]
    pub fn with_row(mut self, row: impl IntoIterator<Item = impl Into<String>>) -> Self {
        self.push(row);
        self
    }

    /// Adds a row.
    ///
    /// ```
    /// let mut table = cassiarock_operator::Table::new(["rule"]);
    /// table.push(["payments"]);
    /// assert!(table.to_string().ends_with("payments\n"));
    /// ```
    pub fn push(&mut self, row: impl IntoIterator<Item = impl Into<String>>) {
        self.rows.push(row.into_iter().map(Into::into).collect());
    }

    fn width(&self, column: usize) -> usize {
        self.lines()
            .filter_map(|row| row.get(column))
            .map(|cell| cell.chars().count())
            .max()
            .unwrap_or(0)
    }

    fn lines(&self) -> impl Iterator<Item = &Vec<String>> {
        std::iter::once(&self.header).chain(&self.rows)
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths: Vec<usize> = (0..self.header.len())
            .map(|column| self.width(column))
            .collect();
        for row in self.lines() {
            let cells = row.iter().zip(&widths);
            let line: Vec<String> = cells
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            writeln!(f, "{}", line.join("  ").trim_end())?;
        }
        Ok(())
    }
}
