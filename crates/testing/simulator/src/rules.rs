//! The rules, checked on every run from outside: what was read and answered, what ran and when.

use std::fmt;

/// A rule that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Broken {
    /// A task that was read got no answer by its time limit, or more than one.
    Lost,
    /// What must not be done twice was.
    Twice,
    /// Something was run that came past the grace after the notice to leave.
    PastGrace,
    /// More ran on a node than it survives.
    Crowd,
    /// All nodes together had more calls in the hands of what they share than it survives.
    Below,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::Lost => "a task read got no answer, or more than one",
            Self::Twice => "an effect happened twice",
            Self::PastGrace => "a task that came past the grace was run",
            Self::Crowd => "more ran on a node than it survives",
            Self::Below => "what all nodes call held more calls than it survives",
        })
    }
}

/// What was found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rules {
    /// How often each was broken, and the first time: when, on which node, by which client's task.
    pub broken: Vec<(Broken, u64, (u64, u16, u32))>,
}

impl Rules {
    /// One was broken.
    pub fn broke(&mut self, what: Broken, at: u64, node: u16, task: u32) {
        match self.broken.iter_mut().find(|(own, ..)| *own == what) {
            Some((_, count, _)) => *count += 1,
            None => self.broken.push((what, 1, (at, node, task))),
        }
    }

    /// Whether this one was.
    pub fn has(&self, what: Broken) -> bool {
        self.broken.iter().any(|(own, ..)| *own == what)
    }
}
