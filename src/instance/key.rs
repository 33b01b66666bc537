//! A key in a message.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A key as a caller presented it. Its text is in no debug output.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PresentedKey(String);

impl PresentedKey {
    /// The text of the key.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl From<String> for PresentedKey {
    fn from(text: String) -> Self {
        Self(text)
    }
}

impl fmt::Debug for PresentedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PresentedKey(..)")
    }
}
