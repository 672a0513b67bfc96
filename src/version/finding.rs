//! Findings of parsing and validation.

use std::fmt;
use std::str::FromStr;

/// Position in a YAML file. Lines and columns are counted from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// Line number.
    pub line: u64,
    /// Column number.
    pub column: u64,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, column {}", self.line, self.column)
    }
}

impl FromStr for Position {
    type Err = ParsePositionError;

    fn from_str(text: &str) -> Result<Self, ParsePositionError> {
        let parse = || {
            let (line, column) = text.strip_prefix("line ")?.split_once(", column ")?;
            Some(Self {
                line: line.parse().ok()?,
                column: column.parse().ok()?,
            })
        };
        parse().ok_or(ParsePositionError)
    }
}

/// Error of parsing a [`Position`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("invalid position; expected a form such as `line 3, column 5`")]
pub struct ParsePositionError;

/// A problem in a document or in settings, with the affected field and the remedy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Path of the affected field, such as `planportal.services[0].shards[2].range`. In a document it starts with
    /// `root` or the name of a part.
    pub path: Box<str>,
    /// Position in the file, if the parser reports one. Rules on parsed values know only the path.
    pub position: Option<Position>,
    /// Description of the problem.
    pub message: Box<str>,
    /// How to fix the problem.
    pub remedy: Box<str>,
}

impl Finding {
    /// Creates a finding without a position.
    #[must_use]
    pub fn new(path: impl Into<Box<str>>, message: impl Into<Box<str>>, remedy: impl Into<Box<str>>) -> Self {
        Self {
            path: path.into(),
            position: None,
            message: message.into(),
            remedy: remedy.into(),
        }
    }

    /// Sets the position in the file.
    #[must_use]
    pub const fn with_position(mut self, position: Option<Position>) -> Self {
        self.position = position;
        self
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.position {
            Some(position) => write!(f, "{} ({position}): {}; {}", self.path, self.message, self.remedy),
            None => write!(f, "{}: {}; {}", self.path, self.message, self.remedy),
        }
    }
}

/// All findings of a document or of settings. Never empty when returned as an error.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Returns `value` if there are no findings.
    ///
    /// # Errors
    ///
    /// Returns the findings if there is at least one.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.0.is_empty() { Ok(value) } else { Err(self) }
    }
}

impl From<Finding> for Findings {
    fn from(finding: Finding) -> Self {
        Self(vec![finding])
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (ix, finding) in self.0.iter().enumerate() {
            if ix > 0 {
                writeln!(f)?;
            }
            finding.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
