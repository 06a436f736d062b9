//! Help texts of the tool and of each command.

/// A command, or the tool as a whole, that has a help text.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Topic {
    /// The command `check`.
    Check,
    /// The command `compact`.
    Compact,
    /// The command `diff`.
    Diff,
    /// The command `log`.
    Log,
    /// The command `patch`, with an overview of its commands.
    Patch,
    /// The command `patch add`.
    PatchAdd,
    /// The command `patch check`.
    PatchCheck,
    /// The command `patch diff`.
    PatchDiff,
    /// The command `patch new`.
    PatchNew,
    /// The command `show`.
    Show,
    /// The command `status`.
    Status,
    /// The tool itself, with an overview of all commands.
    Tool,
    /// The command `undo`.
    Undo,
}

impl Topic {
    /// All topics in the order of the documentation: first the tool, then its commands.
    pub const ALL: [Self; 13] = [
        Self::Tool,
        Self::Check,
        Self::Compact,
        Self::Diff,
        Self::Log,
        Self::Patch,
        Self::PatchAdd,
        Self::PatchCheck,
        Self::PatchDiff,
        Self::PatchNew,
        Self::Show,
        Self::Status,
        Self::Undo,
    ];

    /// Returns the command as typed after the program's name; empty for the tool itself.
    pub const fn command_name(self) -> &'static str {
        match self {
            Self::Check => "check",
            Self::Compact => "compact",
            Self::Diff => "diff",
            Self::Log => "log",
            Self::Patch => "patch",
            Self::PatchAdd => "patch add",
            Self::PatchCheck => "patch check",
            Self::PatchDiff => "patch diff",
            Self::PatchNew => "patch new",
            Self::Show => "show",
            Self::Status => "status",
            Self::Tool => "",
            Self::Undo => "undo",
        }
    }

    /// Returns the text that `--help` prints.
    ///
    /// ```
    /// use hawthornwall_cli::help::Topic;
    ///
    /// assert!(Topic::Tool.text().contains("Exit codes"));
    /// ```
    pub const fn text(self) -> &'static str {
        match self {
            Self::Check => include_str!("help/check.txt"),
            Self::Compact => include_str!("help/compact.txt"),
            Self::Diff => include_str!("help/diff.txt"),
            Self::Log => include_str!("help/log.txt"),
            Self::Patch => include_str!("help/patch.txt"),
            Self::PatchAdd => include_str!("help/patch-add.txt"),
            Self::PatchCheck => include_str!("help/patch-check.txt"),
            Self::PatchDiff => include_str!("help/patch-diff.txt"),
            Self::PatchNew => include_str!("help/patch-new.txt"),
            Self::Show => include_str!("help/show.txt"),
            Self::Status => include_str!("help/status.txt"),
            Self::Tool => include_str!("help/tool.txt"),
            Self::Undo => include_str!("help/undo.txt"),
        }
    }
}
