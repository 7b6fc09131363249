//! Spelling suggestions for unknown names.

/// Names at a larger edit distance are not suggested: they mislead more than they help.
const MAX_DISTANCE: usize = 3;

/// The name in `known` with the smallest edit distance to `word`, if it is within the limit.
pub fn nearest<'a>(word: &str, known: &[&'a str]) -> Option<&'a str> {
    known
        .iter()
        .map(|name| (distance(word, name), *name))
        .filter(|(distance, name)| *distance <= MAX_DISTANCE.min(name.len() / 2 + 1))
        .min()
        .map(|(_, name)| name)
}

/// The Levenshtein distance, computed with a single row of the matrix.
fn distance(from: &str, to: &str) -> usize {
    let to: Vec<char> = to.chars().collect();
    let mut row: Vec<usize> = (0..=to.len()).collect();
    for (i, letter) in from.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, other) in to.iter().enumerate() {
            let replaced = diagonal + usize::from(letter != *other);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[to.len()]
}
