//! Measures one subsystem of lynxtally and writes the figures as a Markdown table under `docs/results`.

#![forbid(unsafe_code)]

mod coordination;
mod dns;
mod simulator;
mod streams;

use clap::Parser;
use std::path::PathBuf;

/// Measure a subsystem of lynxtally.
#[derive(Parser)]
enum Benchmark {
    /// The DNS server: data structures, queries, updates, overload.
    Names {
        /// The file that the table is written to.
        #[arg(long, default_value = "docs/results/names.md")]
        out: PathBuf,
        /// Number of records in the largest zone.
        #[arg(long, default_value_t = 1_000_000)]
        largest: usize,
    },
    /// The simulator: its event queue, and how fast it simulates a large fleet.
    Lab {
        /// The file that the table is written to.
        #[arg(long, default_value = "docs/results/lab.md")]
        out: PathBuf,
    },
    /// The stream server: memory, throughput, fairness, overload, interrupted transfers.
    Streams {
        /// The file that the table is written to; charts go into the same folder.
        #[arg(long, default_value = "docs/results/streams.md")]
        out: PathBuf,
        /// Run only this part: throughput, memory, fairness, overload or cuts. May be repeated.
        #[arg(long)]
        only: Vec<String>,
    },
    /// Leases of fleet-wide budgets and wallets: served calls, recovery after faults, and cost. The coordinators are measured
    /// only if `lynxtally-coordinator` was built into the same folder as this program.
    Shares {
        /// The file that the table is written to.
        #[arg(long, default_value = "docs/results/shares.md")]
        out: PathBuf,
    },
    /// Run a stream server until standard input ends; `streams` starts it as a child process.
    #[command(hide = true)]
    StreamServer {
        /// The settings of the server, as JSON.
        #[arg(long)]
        settings: String,
        /// Replace the scheduling policy by a first-come, first-served queue.
        #[arg(long)]
        plain: bool,
    },
    /// Run the copy loop that the stream server is compared with; `streams` starts it as a child process.
    #[command(hide = true)]
    StreamCopy {
        /// The address that the loop copies from.
        #[arg(long)]
        upstream: std::net::SocketAddr,
    },
    /// Reload a zone file of a million records under load, and print the figures to standard output.
    Reread,
    /// Measure the time of a scheduling decision in process, and print the figures to standard output.
    Decisions,
    /// Measure one data structure of one size; `names` starts it as a child process.
    #[command(hide = true)]
    Structure {
        /// The structure: trie, BTreeMap or HashMap.
        what: String,
        /// Number of names in the structure.
        size: usize,
    },
}

fn main() -> std::io::Result<()> {
    match Benchmark::parse() {
        Benchmark::Streams { out, only } => {
            let folder = out.parent().unwrap_or(&out);
            std::fs::create_dir_all(folder)?;
            let table = streams::measure(folder, &only)?;
            print!("{table}");
            std::fs::write(out, table)
        }
        Benchmark::Shares { out } => coordination::measure(&out),
        Benchmark::Lab { out } => {
            let table = simulator::measure()?;
            print!("{table}");
            std::fs::write(out, table)
        }
        Benchmark::StreamServer { settings, plain } => streams::serve(&settings, plain),
        Benchmark::StreamCopy { upstream } => streams::copy(upstream),
        Benchmark::Reread => {
            print!("{}", dns::reload(1_000_000)?);
            Ok(())
        }
        Benchmark::Decisions => {
            let mut out = String::new();
            dns::measure_decisions(&mut out)?;
            print!("{out}");
            Ok(())
        }
        Benchmark::Structure { what, size } => {
            println!("{}", dns::measure_structure(&what, size));
            Ok(())
        }
        Benchmark::Names { out, largest } => {
            let table = dns::measure(largest)?;
            print!("{table}");
            std::fs::write(out, table)
        }
    }
}
