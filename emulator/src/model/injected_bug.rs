//! Bugs that are injected to verify that the checkers detect them.

use serde::{Deserialize, Serialize};

/// A bug that is injected to verify that the checkers detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InjectedBug {
    /// Replicas promise a session to every claim, and lease holders confirm a release without releasing.
    HeldTwice,
    /// Replicas confirm saves that they do not store.
    LostField,
    /// Lease holders apply some saves twice.
    DoubleApply,
    /// A balancer accepts tokens of a key that was withdrawn.
    ForgedToken,
}

impl InjectedBug {
    /// All bugs.
    pub const ALL: [Self; 4] = [Self::HeldTwice, Self::LostField, Self::DoubleApply, Self::ForgedToken];

    /// Returns the name of the bug on the command line.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::HeldTwice => "held-twice",
            Self::LostField => "lost-field",
            Self::DoubleApply => "double-apply",
            Self::ForgedToken => "forged-token",
        }
    }
}

impl std::str::FromStr for InjectedBug {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        let names = Self::ALL.map(Self::name).join(", ");
        Self::ALL
            .into_iter()
            .find(|bug| bug.name() == name)
            .ok_or(format!("unknown bug \"{name}\"; the available bugs are {names}"))
    }
}
