//! Parses the lines of a scenario.

use {
    std::{collections::BTreeMap, fmt},
    winnow::{
        ModalResult, Parser,
        ascii::space0,
        combinator::{alt, preceded, repeat, separated_pair},
        token::take_while,
    },
};

/// A parsed line: a verb, its words, and its values by key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Line {
    /// The line number, from 1.
    pub number: usize,
    /// The action or check.
    pub verb: String,
    /// The positional arguments.
    pub words: Vec<String>,
    /// The arguments of the form `KEY=VALUE`.
    pub values: BTreeMap<String, String>,
}

impl Line {
    /// Returns a word by its index, or an empty string if there is none.
    #[must_use]
    pub fn word(&self, index: usize) -> &str {
        self.words.get(index).map_or("", String::as_str)
    }

    /// Returns the value of a key, or `default` if it is missing.
    #[must_use]
    pub fn value<'a>(&'a self, key: &str, default: &'a str) -> &'a str {
        self.values.get(key).map_or(default, String::as_str)
    }

    /// Returns the number of a key, or `default` if it is missing or not a number.
    #[must_use]
    pub fn number(&self, key: &str, default: u64) -> u64 {
        self.values
            .get(key)
            .and_then(|value| value.parse().ok())
            .unwrap_or(default)
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "line {}: {} {}",
            self.number,
            self.verb,
            self.words.join(" ")
        )
    }
}

/// A line that can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseError {
    /// The line number, from 1.
    pub number: usize,
    /// What is wrong with the line.
    pub cause: String,
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.number, self.cause)
    }
}

impl std::error::Error for ParseError {}

enum Part {
    Value(String, String),
    Word(String),
}

/// Parses a scenario; `#` starts a comment.
///
/// # Errors
/// Fails with the first line that can't be parsed.
pub fn parse(text: &str) -> Result<Vec<Line>, ParseError> {
    let mut lines = Vec::new();
    for (index, raw) in text.lines().enumerate() {
        let content = raw.split('#').next().unwrap_or_default().trim();
        if content.is_empty() {
            continue;
        }
        let number = index + 1;
        let parts = parts.parse(content).map_err(|error| ParseError {
            number,
            cause: error.to_string(),
        })?;
        lines.push(build_line(number, parts)?);
    }
    Ok(lines)
}

fn build_line(number: usize, parts: Vec<Part>) -> Result<Line, ParseError> {
    let mut line = Line {
        number,
        ..Line::default()
    };
    for part in parts {
        match part {
            Part::Value(key, value) => {
                line.values.insert(key, value);
            }
            Part::Word(word) if line.verb.is_empty() => line.verb = word,
            Part::Word(word) => line.words.push(word),
        }
    }
    if line.verb.is_empty() {
        return Err(ParseError {
            number,
            cause: "the line has no verb".to_owned(),
        });
    }
    Ok(line)
}

fn parts(input: &mut &str) -> ModalResult<Vec<Part>> {
    repeat(1.., preceded(space0, part)).parse_next(input)
}

fn part(input: &mut &str) -> ModalResult<Part> {
    let value = separated_pair(word, '=', word).map(|(key, value)| Part::Value(key, value));
    alt((value, word.map(Part::Word))).parse_next(input)
}

fn word(input: &mut &str) -> ModalResult<String> {
    let is_word =
        |letter: char| letter.is_ascii_alphanumeric() || matches!(letter, '-' | '_' | '.');
    take_while(1.., is_word)
        .map(str::to_owned)
        .parse_next(input)
}
