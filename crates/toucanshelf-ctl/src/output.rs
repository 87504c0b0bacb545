//! Output of results as text or JSON.

use serde::Serialize;

/// Printer for results, as text for people or as JSON.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Output {
    json: bool,
}

impl Output {
    pub(crate) fn new(json: bool) -> Self {
        Self { json }
    }

    /// Prints a value as JSON, or as the text that `to_text` returns for it.
    pub(crate) fn print<T: Serialize>(self, value: &T, to_text: impl FnOnce(&T) -> String) {
        if self.json {
            let json = serde_json::to_string_pretty(value);
            println!("{}", json.expect("results are serialisable"));
        } else {
            println!("{}", to_text(value).trim_end());
        }
    }

    /// Prints a progress message to standard error, unless the output is JSON.
    pub(crate) fn progress(self, text: &str) {
        if !self.json {
            eprintln!("{text}");
        }
    }
}

/// Formats a table with aligned columns.
pub(crate) fn table<const N: usize>(header: [&str; N], rows: &[[String; N]]) -> String {
    let mut widths = header.map(str::len);
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let line = |cells: [&str; N]| {
        let padded = cells
            .iter()
            .zip(widths)
            .map(|(cell, width)| format!("{cell:<width$}"));
        padded.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    };
    let mut out = vec![line(header)];
    out.extend(
        rows.iter()
            .map(|row| line(std::array::from_fn(|i| row[i].as_str()))),
    );
    out.join("\n")
}
