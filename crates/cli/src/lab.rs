//! `lynxtally lab`.

use crate::{Failed, Format};
use clap::Subcommand;
use lynxtally_experiment::spec::{Cell, Spec};
use lynxtally_experiment::{check, explain, report, run_all, search, stats, Record};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};

/// What can be done in the lab.
#[derive(Subcommand)]
pub enum Verb {
    /// Do an experiment on the emulated fleet; what was done before is not done again.
    Run {
        /// What is compared, as a template.
        file: PathBuf,
        /// Where records, tables and charts go.
        #[arg(long, default_value = "docs/results")]
        out: PathBuf,
        /// Threads.
        #[arg(long, default_value_t = std::thread::available_parallelism().map_or(4, usize::from))]
        threads: usize,
    },
    /// Compare the records of two builds, pair by pair of the same runs.
    Compare {
        /// The records of the one.
        one: PathBuf,
        /// The records of the other.
        other: PathBuf,
    },
    /// Tell what happened to one task of a run.
    Explain {
        /// The experiment.
        file: PathBuf,
        /// The task, by its number.
        task: u32,
        /// What decides.
        #[arg(long, default_value = "module")]
        policy: String,
        /// The script.
        #[arg(long, default_value = "calm")]
        script: String,
        /// Nodes; else the first level.
        #[arg(long)]
        nodes: Option<usize>,
        /// Load; else the first level.
        #[arg(long)]
        load: Option<f64>,
        /// Seed; else the first.
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Search for the scenario on which the first policy loses most against the best of the others.
    Search {
        /// The experiment: its fleet, stages, policies and seeds; loads between its least and its most.
        file: PathBuf,
        /// So many starts.
        #[arg(long, default_value_t = 16)]
        starts: usize,
        /// Steps from each.
        #[arg(long, default_value_t = 20)]
        steps: usize,
        /// The search's own seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Threads.
        #[arg(long, default_value_t = std::thread::available_parallelism().map_or(4, usize::from))]
        threads: usize,
        /// Where the table goes, beside standard output.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Compare the emulator's models with results that are known.
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

/// Does it.
pub fn run(verb: Verb, format: Format) -> Result<(), Failed> {
    match verb {
        Verb::Run { file, out, threads } => experiment(&file, &out, threads),
        Verb::Compare { one, other } => {
            let (one, other) = (records(&one)?, records(&other)?);
            let pairs: Vec<(f64, f64)> = one
                .iter()
                .filter_map(|record| {
                    let twin = other.iter().find(|twin| twin.cell == record.cell)?;
                    Some((record.service, twin.service))
                })
                .collect();
            if pairs.is_empty() {
                return Err(Failed::Usage("the two have no run in common".to_owned()));
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
            let told = explain(&spec, &cell, task);
            if told.is_empty() {
                return Err(Failed::Usage(format!("the run has no task {task}")));
            }
            told.iter().for_each(|line| println!("{line}"));
            Ok(())
        }
        Verb::Search { file, starts, steps, seed, threads, out } => {
            let spec = spec(&file)?;
            let found = search::search(&spec, starts, steps, seed, threads, |found| {
                eprintln!("{:+.3} against {}", -found.loss(), found.best_other.0);
            });
            let table = searched(&file, &spec, &found);
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
                false => Err(Failed::Wrong),
            }
        }
    }
}

fn searched(file: &Path, spec: &Spec, found: &[search::FoundScenario]) -> String {
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

fn experiment(file: &Path, out: &Path, threads: usize) -> Result<(), Failed> {
    let spec = spec(file)?;
    let io = |fault: std::io::Error| format!("{}: {fault}", out.display());
    std::fs::create_dir_all(out).map_err(io)?;
    let kept = out.join(format!("{}.json", spec.name));
    // Records that can't be read are not thrown away unseen.
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
    // A baseline may break what it never promised; the module may not.
    match broken.iter().any(|record| record.cell.policy == "module") {
        true => Err(Failed::Wrong),
        false => Ok(()),
    }
}
