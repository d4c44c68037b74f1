//! Measures one subsystem and writes a table under `docs/results`.

#![forbid(unsafe_code)]

mod coordination;
mod dns;
mod simulator;
mod streams;

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
    /// The emulator: its queue, and how fast a large fleet runs.
    Lab {
        /// Where the table goes.
        #[arg(long, default_value = "docs/results/lab.md")]
        out: PathBuf,
    },
    /// The stream server: memory, throughput, fairness, overload, cuts.
    Streams {
        /// Where the table goes; charts go beside it.
        #[arg(long, default_value = "docs/results/streams.md")]
        out: PathBuf,
        /// Only these parts: throughput, memory, fairness, overload, cuts.
        #[arg(long)]
        only: Vec<String>,
    },
    /// Shares of the fleet: what they serve, how soon a share is in use again, what they cost. The keepers are measured
    /// where `lynxtally-coordinator` was built beside this program.
    Shares {
        /// Where the table goes.
        #[arg(long, default_value = "docs/results/shares.md")]
        out: PathBuf,
    },
    /// A stream server, for the other command.
    #[command(hide = true)]
    StreamServer {
        /// Its settings, as JSON.
        #[arg(long)]
        settings: String,
        /// First come, first served.
        #[arg(long)]
        plain: bool,
    },
    /// A plain loop that copies, for the other command.
    #[command(hide = true)]
    StreamCopy {
        /// From where.
        #[arg(long)]
        upstream: std::net::SocketAddr,
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
        What::Streams { out, only } => {
            let folder = out.parent().unwrap_or(&out);
            std::fs::create_dir_all(folder)?;
            let table = streams::measure(folder, &only)?;
            print!("{table}");
            std::fs::write(out, table)
        }
        What::Shares { out } => coordination::measure(&out),
        What::Lab { out } => {
            let table = simulator::measure()?;
            print!("{table}");
            std::fs::write(out, table)
        }
        What::StreamServer { settings, plain } => streams::serve(&settings, plain),
        What::StreamCopy { upstream } => streams::copy(upstream),
        What::Reread => {
            print!("{}", dns::rereading(1_000_000)?);
            Ok(())
        }
        What::Decisions => {
            let mut out = String::new();
            dns::decisions(&mut out)?;
            print!("{out}");
            Ok(())
        }
        What::Structure { what, size } => {
            println!("{}", dns::structure(&what, size));
            Ok(())
        }
        What::Names { out, largest } => {
            let table = dns::measure(largest)?;
            print!("{table}");
            std::fs::write(out, table)
        }
    }
}
