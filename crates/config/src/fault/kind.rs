//! A fault in a configuration file.

use smol_str::SmolStr;

/// Kind of fault in a configuration file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// The text is not INI.
    Syntax,
    /// The section name is unknown.
    UnknownSection,
    /// The key is unknown in its section.
    UnknownKey,
    /// A required key or section is missing.
    Missing,
    /// The value cannot be parsed.
    BadValue,
    /// The section or key occurs twice.
    Duplicate,
    /// The value conflicts with another one.
    Conflict,
}

impl FaultKind {
    /// Returns the fault code, as listed in docs/RESULT-CODES.md.
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

    /// Returns the short description that precedes the code in a report.
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

/// One fault with its position, the value found and the value expected.
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

/// Builder methods.
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

    /// Sets the key that the fault refers to.
    pub fn key(mut self, key: &str) -> Self {
        self.key = Some(key.into());
        self
    }

    /// Sets the value found in the file.
    pub fn found(mut self, found: impl Into<String>) -> Self {
        self.found = Some(found.into());
        self
    }

    /// Sets the description of a valid value.
    pub fn expected(mut self, expected: impl Into<String>) -> Self {
        self.expected = Some(expected.into());
        self
    }

    /// Suggests the entry of `known` that is most similar to `name`, if any is similar enough.
    pub fn suggest(mut self, name: &str, known: &[&str]) -> Self {
        self.nearest = find_nearest(name, known).map(SmolStr::from);
        self
    }
}

/// Accessors.
impl Fault {
    /// Returns the kind of the fault.
    pub fn get_kind(&self) -> FaultKind {
        self.kind
    }

    /// Returns the line number, counted from 1.
    pub fn get_line(&self) -> usize {
        self.line
    }

    /// Returns the suggested name, if one is similar to the name found.
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

/// Least Jaro-Winkler similarity, from 0 to 1, at which a known name is suggested.
const MIN_SIMILARITY: f64 = 0.7;

fn find_nearest<'a>(name: &str, known: &[&'a str]) -> Option<&'a str> {
    known
        .iter()
        .map(|candidate| (strsim::jaro_winkler(name, candidate), *candidate))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, candidate)| candidate)
}
