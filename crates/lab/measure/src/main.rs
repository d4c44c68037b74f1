//! Measures one subsystem and writes a table under `docs/results`.

#![forbid(unsafe_code)]

mod baselines;
mod names;

use clap::Parser;
use std::path::PathBuf;

/// Measures a subsystem of lynxtally.
#[derive(Parser)]
enum What {
    /// The names server: structures, queries, updates, overload.
    Names {
        /// Where the table goes.
        #[arg(long, default_value = "docs/results/names.md")]
        out: PathBuf,
        /// Records of the largest zone.
        #[arg(long, default_value_t = 1_000_000)]
        largest: usize,
    },
    /// A file of a million records read again under way; written to standard output.
    Reread,
    /// What a decision takes, in process; written to standard output.
    Decisions,
    /// One structure of one size; the other command calls it.
    #[command(hide = true)]
    Structure {
        /// Which.
        what: String,
        /// How many names.
        size: usize,
    },
}

fn main() -> std::io::Result<()> {
    match What::parse() {
        What::Reread => {
            print!("{}", names::rereading(1_000_000)?);
            Ok(())
        }
        What::Decisions => {
            let mut out = String::new();
            names::decisions(&mut out)?;
            print!("{out}");
            Ok(())
        }
        What::Structure { what, size } => {
            println!("{}", names::structure(&what, size));
            Ok(())
        }
        What::Names { out, largest } => {
            let table = names::measure(largest)?;
            print!("{table}");
            std::fs::write(out, table)
        }
    }
}
