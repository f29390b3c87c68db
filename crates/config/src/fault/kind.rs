//! One fault of a file.

use smol_str::SmolStr;

/// What is wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// The text is not INI.
    Syntax,
    /// The section has no meaning.
    UnknownSection,
    /// The key has no meaning in its section.
    UnknownKey,
    /// A key or section that is needed is missing.
    Missing,
    /// The value cannot be read.
    BadValue,
    /// The section or key stands twice.
    Duplicate,
    /// The value contradicts another one.
    Conflict,
}

impl FaultKind {
    /// Returns the number of the fault in docs/RESULT-CODES.md.
    pub fn number(self) -> u16 {
        match self {
            Self::Syntax => 5001,
            Self::UnknownSection => 5002,
            Self::UnknownKey => 5003,
            Self::Missing => 5004,
            Self::BadValue => 5005,
            Self::Duplicate => 5006,
            Self::Conflict => 5007,
        }
    }

    /// Returns a short title.
    pub fn title(self) -> &'static str {
        match self {
            Self::Syntax => "not INI",
            Self::UnknownSection => "unknown section",
            Self::UnknownKey => "unknown key",
            Self::Missing => "missing",
            Self::BadValue => "bad value",
            Self::Duplicate => "duplicate",
            Self::Conflict => "conflict",
        }
    }
}

/// One fault with its place, what was found and what was expected.
///
/// ```
/// use gentianridge_config::{Fault, FaultKind};
///
/// let fault = Fault::new(FaultKind::BadValue, 3, "target r.a")
///     .key("weight")
///     .found("200%")
///     .expected("a share from 0% to 100%");
/// assert!(fault.to_string().starts_with("line 3: [target r.a] weight: bad value (5005)"));
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    kind: FaultKind,
    line: usize,
    section: SmolStr,
    key: Option<SmolStr>,
    found: Option<String>,
    expected: Option<String>,
    nearest: Option<SmolStr>,
}

/// Building a fault.
impl Fault {
    /// Creates a fault at a line, counted from 1.
    pub fn new(kind: FaultKind, line: usize, section: &str) -> Self {
        Self {
            kind,
            line,
            section: section.into(),
            key: None,
            found: None,
            expected: None,
            nearest: None,
        }
    }

    /// Names the key at fault.
    pub fn key(mut self, key: &str) -> Self {
        self.key = Some(key.into());
        self
    }

    /// Shows what stands in the file.
    pub fn found(mut self, found: impl Into<String>) -> Self {
        self.found = Some(found.into());
        self
    }

    /// Says what may stand there.
    pub fn expected(mut self, expected: impl Into<String>) -> Self {
        self.expected = Some(expected.into());
        self
    }

    /// Suggests the word of `known` that is nearest to `word`.
    pub fn suggest(mut self, word: &str, known: &[&str]) -> Self {
        self.nearest = find_nearest(word, known).map(SmolStr::from);
        self
    }
}

/// Reading a fault.
impl Fault {
    /// Returns what is wrong.
    pub fn get_kind(&self) -> FaultKind {
        self.kind
    }

    /// Returns the line, counted from 1.
    pub fn get_line(&self) -> usize {
        self.line
    }

    /// Returns the suggested word.
    pub fn get_nearest(&self) -> Option<&str> {
        self.nearest.as_deref()
    }
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "line {}: [{}]", self.line, self.section)?;
        if let Some(key) = &self.key {
            write!(f, " {key}")?;
        }
        write!(f, ": {} ({})", self.kind.title(), self.kind.number())?;
        if let Some(found) = &self.found {
            write!(f, "\n    found:    {found}")?;
        }
        if let Some(expected) = &self.expected {
            write!(f, "\n    expected: {expected}")?;
        }
        if let Some(nearest) = &self.nearest {
            write!(f, "\n    did you mean: {nearest}")?;
        }
        Ok(())
    }
}

/// Similarity from which a known word is suggested.
const MIN_SIMILARITY: f64 = 0.7;

fn find_nearest<'a>(word: &str, known: &[&'a str]) -> Option<&'a str> {
    known
        .iter()
        .map(|candidate| (strsim::jaro_winkler(word, candidate), *candidate))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, candidate)| candidate)
}
