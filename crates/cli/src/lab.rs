//! The `lynxtally lab` commands: run, compare and explain experiments.

use crate::{Failed, Format};
use clap::Subcommand;
use lynxtally_experiment::spec::{Cell, Spec};
use lynxtally_experiment::{check, explain, report, run_all, search, stats, Record};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Commands for experiments.
#[derive(Subcommand)]
pub enum Verb {
    /// Run an experiment on the simulated fleet; runs whose records exist already are not repeated
    Run {
        /// The experiment's specification, a template
        file: PathBuf,
        /// Directory for records, tables and charts
        #[arg(long, default_value = "docs/results")]
        out: PathBuf,
        /// Number of threads
        #[arg(long, default_value_t = std::thread::available_parallelism().map_or(4, usize::from))]
        threads: usize,
    },
    /// Compare the records of two builds, over the runs that both have
    Compare {
        /// Records of the first build
        one: PathBuf,
        /// Records of the second build
        other: PathBuf,
    },
    /// Print what happened to one client request of a run
    Explain {
        /// The experiment's specification
        file: PathBuf,
        /// The number of the client request
        task: u32,
        /// The scheduling policy
        #[arg(long, default_value = "module")]
        policy: String,
        /// The fault script
        #[arg(long, default_value = "calm")]
        script: String,
        /// Number of nodes; by default the first one of the specification
        #[arg(long)]
        nodes: Option<usize>,
        /// Load; by default the first one of the specification
        #[arg(long)]
        load: Option<f64>,
        /// Seed; by default the first one of the specification
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Search for the scenario in which the first policy loses most against the best of the others
    Search {
        /// The experiment's specification, which sets the fleet, the request classes (`stages`), the policies and the
        /// seeds; the search varies the load between the lowest and the highest of the specification
        file: PathBuf,
        /// Number of starting points
        #[arg(long, default_value_t = 16)]
        starts: usize,
        /// Number of search steps from each starting point
        #[arg(long, default_value_t = 20)]
        steps: usize,
        /// Seed of the search itself
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of threads
        #[arg(long, default_value_t = std::thread::available_parallelism().map_or(4, usize::from))]
        threads: usize,
        /// File for the result table, which is also printed
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Check the simulator against closed-form results of queueing theory
    Check,
}

fn spec(path: &Path) -> Result<Spec, String> {
    let spec: Spec = lynxtally_template::read(path).map_err(|error| error.to_string())?;
    spec.check().map_err(|fault| format!("{}: {fault}", path.display()))?;
    Ok(spec)
}

fn records(path: &Path) -> Result<Vec<Record>, String> {
    let text = std::fs::read_to_string(path).map_err(|fault| format!("{}: {fault}", path.display()))?;
    serde_json::from_str(&text).map_err(|fault| format!("{}: {fault}", path.display()))
}

/// Runs a `lynxtally lab` command.
pub fn run(verb: Verb, format: Format) -> Result<(), Failed> {
    match verb {
        Verb::Run { file, out, threads } => run_experiment(&file, &out, threads),
        Verb::Compare { one, other } => {
            let (one, other) = (records(&one)?, records(&other)?);
            let pairs: Vec<(f64, f64)> = one
                .iter()
                .filter_map(|record| {
                    let counterpart = other.iter().find(|counterpart| counterpart.cell == record.cell)?;
                    Some((record.service, counterpart.service))
                })
                .collect();
            if pairs.is_empty() {
                return Err(Failed::Error("the two record files have no run in common".to_owned()));
            }
            let (a, b): (Vec<f64>, Vec<f64>) = pairs.into_iter().unzip();
            let (by, verdict) = stats::compare_paired(&a, &b);
            println!(
                "{} pairs: the first is {verdict}, by {:+.4} ({:+.4} to {:+.4})",
                a.len(),
                by.mean,
                by.low,
                by.high
            );
            Ok(())
        }
        Verb::Explain { file, task, policy, script, nodes, load, seed } => {
            let spec = spec(&file)?;
            let (nodes, load) = (nodes.unwrap_or(spec.nodes[0]), load.unwrap_or(spec.loads[0]));
            let cell = Cell { policy, nodes, load, script, seed: seed.unwrap_or(spec.seeds[0]) };
            let lines = explain(&spec, &cell, task);
            if lines.is_empty() {
                return Err(Failed::Error(format!("the run has no client request {task}")));
            }
            lines.iter().for_each(|line| println!("{line}"));
            Ok(())
        }
        Verb::Search { file, starts, steps, seed, threads, out } => {
            let spec = spec(&file)?;
            let found = search::search(&spec, starts, steps, seed, threads, |found| {
                eprintln!("{:+.3} against {}", -found.loss(), found.best_other.0);
            });
            let table = search_table(&file, &spec, &found);
            print!("{table}");
            if let Some(out) = out {
                std::fs::write(&out, &table).map_err(|fault| format!("{}: {fault}", out.display()))?;
            }
            Ok(())
        }
        Verb::Check => {
            let checks = check::run_all();
            for own in &checks {
                let (known, found, error) = (own.expected, own.simulated, own.error());
                match format {
                    Format::Text => println!(
                        "{}: known {known:.6}, found {found:.6}, error {:.1} %",
                        own.name,
                        error * 100.0
                    ),
                    Format::Json => println!(
                        "{}",
                        serde_json::json!({"what": own.name, "known": known, "found": found, "error": error})
                    ),
                }
            }
            match checks.iter().all(check::Check::passes) {
                true => Ok(()),
                false => Err(Failed::CheckFailed),
            }
        }
    }
}

fn search_table(file: &Path, spec: &Spec, found: &[search::FoundScenario]) -> String {
    let first = &spec.policies[0];
    let mut out = format!(
        "# Where {first} loses most\n\nMade by `lynxtally lab search {}`: simulated time, {} nodes, seeds {:?}; each row is the \
         best of one climb, cut down to the faults that matter.\n\n| {first} | best other | loss | load | sidecars, price of a \
         try | faults | afterwards |\n| --- | --- | --- | --- | --- | --- | --- |\n",
        file.display(),
        spec.nodes[0],
        spec.seeds,
    );
    for one in found {
        let steps: Vec<String> = one
            .fault_steps
            .iter()
            .map(|step| {
                let value = if step.value > 0.0 { format!(" {:.2}", step.value) } else { String::new() };
                let (part, from) = (step.node_fraction * 100.0, step.from_fraction * 100.0);
                format!("{:.1} s: {}{value}, {part:.0} % from {from:.0} %", step.at_s, step.fault)
            })
            .collect();
        let after = match one.recovery_ratio {
            Some(after) if one.metastable() => format!("stays down: {after:.2} of before"),
            Some(after) => format!("{after:.2} of before"),
            None => String::new(),
        };
        out.push_str(&format!(
            "| {:.3} | {} {:.3} | {:+.3} | {:.0} % | {}, {} | {} | {after} |\n",
            one.service,
            one.best_other.0,
            one.best_other.1,
            one.loss(),
            one.load * 100.0,
            one.balancing,
            one.successes_per_retry,
            if steps.is_empty() { "none".to_owned() } else { steps.join("; ") },
        ));
    }
    out
}

fn run_experiment(file: &Path, out: &Path, threads: usize) -> Result<(), Failed> {
    let spec = spec(file)?;
    let io = |fault: std::io::Error| format!("{}: {fault}", out.display());
    std::fs::create_dir_all(out).map_err(io)?;
    let kept = out.join(format!("{}.json", spec.name));
    // An unreadable record file is an error, so that its records are not overwritten.
    let done = if kept.exists() { records(&kept)? } else { Vec::new() };
    let (all, count) = (spec.cells().len(), AtomicUsize::new(0));
    let all_records = run_all(&spec, &done, threads, |record| {
        let n = count.fetch_add(1, Ordering::Relaxed) + 1;
        let cell = &record.cell;
        eprintln!(
            "{n}/{all} {} {} nodes {} load {:.2} seed {}: {:.3}",
            cell.policy, cell.script, cell.nodes, cell.load, cell.seed, record.service
        );
    });
    let text = serde_json::to_string(&all_records).map_err(|fault| fault.to_string())?;
    std::fs::write(&kept, text).map_err(io)?;
    let files = report::charts(&spec, &all_records, out).map_err(io)?;
    let title = format!("Experiment {}", spec.name);
    let mut page = format!(
        "# {title}\n\nMade by `lynxtally lab run {}`: simulated time, seeds {:?}, {} s a run of which the first {} s do not \
         count.\n\n{}\n",
        file.display(),
        spec.seeds,
        spec.duration_s,
        spec.warm_up_s,
        report::summary(&spec, &all_records)
    );
    page.push_str(&report::markdown_table(&spec, &all_records));
    for file in &files {
        page.push_str(&format!("![]({file})\n\n"));
    }
    let html = report::html_page(&title, &page, out, &files).map_err(io)?;
    for (ending, text) in [("md", &page), ("csv", &report::csv(&all_records)), ("html", &html)] {
        std::fs::write(out.join(format!("{}.{ending}", spec.name)), text).map_err(io)?;
    }
    print!("{}", report::summary(&spec, &all_records));
    let broken: Vec<&Record> = all_records.iter().filter(|record| !record.violations.is_empty()).collect();
    for record in broken.iter().take(5) {
        println!("{:?}: {}", record.cell, record.violations.join("; "));
    }
    // Only violations by the module count as failures: the baselines give no guarantees.
    match broken.iter().any(|record| record.cell.policy == "module") {
        true => Err(Failed::CheckFailed),
        false => Ok(()),
    }
}
