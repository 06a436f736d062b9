//! Formats lines and aligned tables.

/// Concatenates lines, each followed by a newline.
pub(super) fn lines(lines: impl IntoIterator<Item = String>) -> String {
    lines
        .into_iter()
        .flat_map(|line| [line, "\n".to_owned()])
        .collect()
}

/// Formats rows with left-aligned columns, separated by two spaces.
pub(super) fn table<const N: usize>(rows: &[[String; N]]) -> String {
    let width = |column: usize| {
        let lengths = rows.iter().map(|row| row[column].chars().count());
        lengths.max().unwrap_or(0)
    };
    let widths: [usize; N] = std::array::from_fn(width);
    lines(rows.iter().map(|row| {
        let cells = row.iter().zip(widths);
        let cells: Vec<_> = cells
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        cells.join("  ").trim_end().to_owned()
    }))
}
