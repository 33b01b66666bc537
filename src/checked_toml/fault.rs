//! What can be wrong with a text, and how to mend it.

use std::fmt;

use thiserror::Error;

/// Every fault of a text, by line.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct Faults {
    /// Never empty.
    pub faults: Vec<Fault>,
}

impl Faults {
    /// Returns one line a fault, each starting with the input's name and the line number.
    pub fn render(&self, input: &str) -> String {
        let lines = self.faults.iter();
        let lines: Vec<String> = lines.map(|fault| fault.render(input)).collect();
        lines.join("\n")
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.render("line"))
    }
}

/// One fault and its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line; the first is 1.
    pub line: usize,
    /// Keys that lead to the place, joined by dots; empty for the whole text.
    pub path: String,
    /// What is wrong.
    pub kind: FaultKind,
}

impl Fault {
    /// Returns the fault as one line that starts with the input's name and the line number.
    pub fn render(&self, input: &str) -> String {
        format!("{input}:{}: {self}", self.line)
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        write!(f, "{}; {}", self.kind, self.kind.remedy())
    }
}

/// What is wrong. No variant holds a secret.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FaultKind {
    /// The text is not TOML.
    #[error("not valid TOML: {message}")]
    Syntax {
        /// The parser's words.
        message: String,
    },
    /// The text is too long.
    #[error("{size_bytes} bytes long")]
    TooLarge {
        /// Size found.
        size_bytes: usize,
        /// Largest size taken.
        limit_bytes: usize,
    },
    /// A key that means nothing here.
    #[error("unknown key")]
    UnknownKey {
        /// Keys that would mean something; the nearest first.
        known: Vec<&'static str>,
    },
    /// A required key is not there.
    #[error("missing")]
    Missing,
    /// A value of another type.
    #[error("expected {expected}, found {found}")]
    WrongType {
        /// Type wanted, with its article.
        expected: &'static str,
        /// Type found.
        found: &'static str,
    },
    /// A number outside its range.
    #[error("out of range")]
    OutOfRange {
        /// The range, in words.
        range: &'static str,
    },
    /// A text that is not one of a few.
    #[error("unknown value `{found}`")]
    NotOneOf {
        /// Value found.
        found: String,
        /// Values taken.
        allowed: Vec<&'static str>,
    },
    /// A name with characters that names cannot have, or too long.
    #[error("`{found}` cannot be used as a name")]
    BadName {
        /// Name found, cut to its limit.
        found: String,
    },
    /// Not an IP address with a port.
    #[error("not an IP address with a port")]
    BadAddress,
    /// An address that nobody can connect to.
    #[error("an address that others cannot connect to")]
    WildcardAddress,
    /// Not the address of an HTTP service.
    #[error("not the address of an HTTP service")]
    BadUrl,
    /// A secret that could be guessed, or longer than a header may be.
    #[error("a key of a length that is not taken")]
    BadSecretLength,
    /// Not a digest of a key.
    #[error("not a digest of a key")]
    BadDigest,
    /// Not an HTTP method.
    #[error("`{found}` is not a method that can be non-idempotent")]
    BadMethod {
        /// Text found.
        found: String,
    },
    /// Not an absolute path.
    #[error("not an absolute path")]
    BadPath,
    /// Nothing where something must be.
    #[error("empty")]
    Empty,
    /// More than can be taken.
    #[error("{count} of them")]
    TooMany {
        /// How many were found.
        count: usize,
        /// Most that are taken.
        limit: usize,
    },
    /// The same thing stands in another place.
    #[error("the same as on line {first_line}")]
    Repeated {
        /// Line of the first.
        first_line: usize,
    },
    /// A key that does not go with the kind of the service.
    #[error("not for a service of kind `{kind}`")]
    NotForKind {
        /// Kind of the service.
        kind: &'static str,
    },
    /// More faults than are listed.
    #[error("{count} further faults")]
    MoreFaults {
        /// How many are not listed.
        count: usize,
    },
    /// Nobody could accept the next document.
    #[error("no operator has the role `editor`")]
    NoEditor,
}

impl FaultKind {
    /// How to mend it.
    pub fn remedy(&self) -> String {
        match self {
            Self::Syntax { .. } => "mend the line, or the one before it".to_owned(),
            Self::TooLarge { limit_bytes, .. } => format!("keep it within {limit_bytes} bytes"),
            Self::UnknownKey { known } => unknown_key_remedy(known),
            Self::Missing => "add it".to_owned(),
            Self::WrongType { expected, .. } => format!("write {expected}"),
            Self::OutOfRange { range } => format!("write {range}"),
            Self::NotOneOf { allowed, .. } => format!("write one of {}", quoted(allowed)),
            Self::BadName { .. } => "use 1 to 64 letters (a-z, A-Z), digits, `.`, `_` and `-`, \
                 a letter or digit first"
                .to_owned(),
            Self::BadAddress => "write it like \"127.0.0.1:7001\"".to_owned(),
            Self::WildcardAddress => {
                "write one address, with a port, that others can reach".to_owned()
            }
            Self::BadUrl => "write it like \"http://127.0.0.1:7100\", without a path".to_owned(),
            Self::BadSecretLength => {
                "use 16 to 512 characters; `fescuectl key new` makes one".to_owned()
            }
            Self::BadDigest => {
                "write \"sha256:\" and 64 hex digits; `fescuectl key new` prints both".to_owned()
            }
            Self::BadMethod { .. } => "write one of POST, PUT, PATCH, DELETE".to_owned(),
            Self::BadPath => {
                "start it with a slash; no spaces, `?`, `#`, `%`, `//` or `..`, at most 256 characters"
                    .to_owned()
            }
            Self::Empty => "write at least one".to_owned(),
            Self::TooMany { limit, .. } => format!("keep at most {limit}"),
            Self::Repeated { .. } => "remove one, or make them differ".to_owned(),
            Self::NotForKind { .. } => "remove it, or change `kind`".to_owned(),
            Self::MoreFaults { .. } => "mend those listed first".to_owned(),
            Self::NoEditor => {
                "give one the role `editor`, or nobody can accept the next document".to_owned()
            }
        }
    }
}

fn unknown_key_remedy(known: &[&'static str]) -> String {
    match known {
        [] => "remove it".to_owned(),
        _ => format!("remove it, or write one of {}", quoted(known)),
    }
}

fn quoted(words: &[&str]) -> String {
    let quoted: Vec<String> = words.iter().map(|word| format!("`{word}`")).collect();
    quoted.join(", ")
}
