//! Bugs that are planted to see whether the checkers find them.

use serde::{Deserialize, Serialize};

/// A bug.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InjectedBug {
    /// Keepers promise a session to everybody who asks, and holders say that they let go and do not.
    HeldTwice,
    /// Keepers say that a save is kept and do not keep it.
    LostField,
    /// Holders apply a save again that they have applied.
    DoubleApply,
    /// A balancer still opens tokens of a key that was withdrawn.
    ForgedToken,
}

impl InjectedBug {
    /// All of them.
    pub const ALL: [Self; 4] = [Self::HeldTwice, Self::LostField, Self::DoubleApply, Self::ForgedToken];

    /// The name by which it is asked for.
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
            .find(|p| p.name() == name)
            .ok_or(format!("no plant \"{name}\"; there are {names}"))
    }
}
