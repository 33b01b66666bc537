//! Identifiers shared by every slice.

use std::fmt;
use std::sync::Arc;

use rand::RngExt;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Declares a cheaply cloned, ordered string identifier.
macro_rules! string_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

string_id! {
    /// A client account, as a document names it.
    AccountId
}
string_id! {
    /// A service; each has one document.
    ServiceName
}
string_id! {
    /// A machine that runs processes of this system.
    InstanceId
}
string_id! {
    /// A back end: a model engine or one replica of an application service. On a platform where a
    /// process may start again under its name, one lifetime of it; see [`EndpointId::of_lifetime`].
    EndpointId
}
string_id! {
    /// The name under which a platform lists an endpoint. A process that starts again may have the
    /// same one.
    EndpointName
}
string_id! {
    /// An availability zone.
    ZoneName
}
string_id! {
    /// A request, chosen by the caller (`X-Request-Id`) or made by the entry.
    RequestId
}
string_id! {
    /// An idempotency key, chosen by the caller.
    IdempotencyKey
}

/// Stands between the name and the start of an endpoint's process in its [`EndpointId`].
const LIFETIME_MARK: char = '@';

impl EndpointId {
    /// The lifetime of an endpoint's process that began at `born_unix_ms`, where that is known. What
    /// is known of one lifetime is keyed by this id, so that nothing of it is taken for the next one's.
    pub fn of_lifetime(name: &EndpointName, born_unix_ms: Option<u64>) -> Self {
        match born_unix_ms {
            Some(born_unix_ms) => Self::from(format!("{name}{LIFETIME_MARK}{born_unix_ms}")),
            // A name with the mark in it would be read as one with a start.
            None if name.as_str().contains(LIFETIME_MARK) => {
                Self::from(format!("{name}{LIFETIME_MARK}"))
            }
            None => Self::from(name.as_str()),
        }
    }

    /// The name under which the platform lists the endpoint.
    pub fn name(&self) -> EndpointName {
        let name = self.as_str().rsplit_once(LIFETIME_MARK);
        EndpointName::from(name.map_or(self.as_str(), |(name, _)| name))
    }

    /// When this lifetime of the process began, in Unix milliseconds, where that is known.
    pub fn started_unix_ms(&self) -> Option<u64> {
        let (_, born) = self.as_str().rsplit_once(LIFETIME_MARK)?;
        born.parse().ok()
    }
}

/// One process lifetime: 128 random bits, without order or clock meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(Uuid);

impl Incarnation {
    /// Draws a new incarnation.
    pub fn generate<R>(rng: &mut R) -> Self
    where
        R: rand::Rng,
    {
        Self(Uuid::from_u128(rng.random()))
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One attempt to answer a request with a model; every token step carries it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamId(Uuid);

impl StreamId {
    /// Draws a new stream id.
    pub fn generate<R>(rng: &mut R) -> Self
    where
        R: rand::Rng,
    {
        Self(Uuid::from_u128(rng.random()))
    }
}

impl fmt::Display for StreamId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
