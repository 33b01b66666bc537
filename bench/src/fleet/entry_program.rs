//! What an entry process runs: the product, or a baseline of measurements.

/// Program of the entry processes, and its arguments beside the settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EntryProgram {
    /// `fescue-entry`.
    #[default]
    Product,
    /// The product under another policy, by its name on the command line.
    Policy(&'static str),
    /// The product without the shares that control works out.
    LocalShares,
}

impl EntryProgram {
    /// Name of the binary.
    pub(super) fn binary(self) -> &'static str {
        match self {
            Self::Product => "fescue-entry",
            Self::Policy(_) | Self::LocalShares => "fescue-entry-baseline",
        }
    }

    /// Arguments beside the settings.
    pub(super) fn args(self) -> Vec<String> {
        let args: &[&str] = match self {
            Self::Product => &[],
            Self::Policy(name) => &["--policy", name],
            Self::LocalShares => &["--policy", "flow-weighted", "--local-shares"],
        };
        args.iter().map(|arg| (*arg).to_owned()).collect()
    }
}
