//! Formats the records of an experiment as tables, charts and an HTML page.

use crate::chart::{draw_chart, Series};
use crate::spec::Spec;
use crate::stats::{bootstrap_interval, compare_paired, Verdict};
use crate::Record;
use std::fmt::Write;
use std::io;
use std::path::Path;

/// The service ([`Record::service`]) of each run of a policy at one combination of levels, in the order of the seeds.
fn services(records: &[Record], policy: &str, script: &str, nodes: usize, load: f64) -> Vec<f64> {
    let matches = |record: &&Record| {
        let cell = &record.cell;
        cell.policy == policy && cell.script == script && cell.nodes == nodes && cell.load == load
    };
    records.iter().filter(matches).map(|record| record.service).collect()
}

fn scripts(spec: &Spec) -> Vec<String> {
    ["calm".to_owned()].into_iter().chain(spec.scripts.iter().map(|script| script.name.clone())).collect()
}

/// A Markdown table for each script: the mean service of each policy, and the comparison of the first policy with the best of
/// the others, paired by seed.
pub fn markdown_table(spec: &Spec, records: &[Record]) -> String {
    let mut out = String::new();
    let first_policy = &spec.policies[0];
    for script in scripts(spec) {
        let _ = writeln!(out, "## {script}\n");
        let names = spec.policies.join(" | ");
        let _ = writeln!(out, "| nodes | load | {names} | best other | {first_policy} against it |");
        let _ = writeln!(out, "|{}", " --- |".repeat(spec.policies.len() + 4));
        for &nodes in &spec.nodes {
            for &load in &spec.loads {
                let policy_services = |policy: &str| services(records, policy, &script, nodes, load);
                let means: Vec<String> = spec
                    .policies
                    .iter()
                    .map(|policy| format!("{:.3}", bootstrap_interval(&policy_services(policy)).mean))
                    .collect();
                let others = spec.policies[1..].iter();
                let best = others.max_by(|a, b| {
                    bootstrap_interval(&policy_services(a))
                        .mean
                        .total_cmp(&bootstrap_interval(&policy_services(b)).mean)
                });
                let comparison = best.map_or_else(
                    || "| |".to_owned(),
                    |best| {
                        let (difference, verdict) =
                            compare_paired(&policy_services(first_policy), &policy_services(best));
                        format!(
                            "| {best} | {verdict}, {:+.3} ({:+.3} to {:+.3}) |",
                            difference.mean, difference.low, difference.high
                        )
                    },
                );
                let _ =
                    writeln!(out, "| {nodes} | {:.0} % | {} {comparison}", load * 100.0, means.join(" | "));
            }
        }
        out.push('\n');
    }
    out
}

/// A line of text: in how many comparisons (of all levels, with all other policies) the first policy is better, worse or not
/// distinguishable; the comparison in which it loses most; and the number of runs that violated an invariant.
pub fn summary(spec: &Spec, records: &[Record]) -> String {
    let (mut counts, mut worst) = ([0; 3], (f64::INFINITY, String::new()));
    let first_policy = &spec.policies[0];
    for script in scripts(spec) {
        for &nodes in &spec.nodes {
            for &load in &spec.loads {
                let policy_services = |policy: &str| services(records, policy, &script, nodes, load);
                for other in &spec.policies[1..] {
                    let (difference, verdict) =
                        compare_paired(&policy_services(first_policy), &policy_services(other));
                    counts[verdict as usize] += 1;
                    if difference.mean < worst.0 {
                        let description =
                            format!("{script}, {nodes} nodes, load {:.0} %, against {other}", load * 100.0);
                        worst = (difference.mean, description);
                    }
                }
            }
        }
    }
    let [better, worse, inconclusive] =
        [Verdict::Better, Verdict::Worse, Verdict::Inconclusive].map(|verdict| counts[verdict as usize]);
    let runs_with_violations = records.iter().filter(|record| !record.violations.is_empty()).count();
    format!(
        "{} runs; {first_policy} is better in {better} comparisons, worse in {worse}, and {inconclusive} are inconclusive. \
         Its worst difference: {:+.3} ({}). Runs that violated an invariant: {runs_with_violations}.\n",
        records.len(),
        worst.0,
        worst.1
    )
}

/// All records as comma-separated values with a header line.
pub fn csv(records: &[Record]) -> String {
    let mut out =
        "policy,script,nodes,load,seed,service,tasks,tries,rejected,latency_s,latency_99_s,broken\n"
            .to_owned();
    for record in records {
        let Record { cell, service, latency_99, .. } = record;
        let _ = writeln!(
            out,
            "{},{},{},{},{},{service:.5},{},{:.4},{:.4},{:.6},{latency_99:.6},{}",
            cell.policy,
            cell.script,
            cell.nodes,
            cell.load,
            cell.seed,
            record.requests,
            record.attempts_per_request,
            record.rejected_fraction,
            record.mean_latency,
            record.violations.len()
        );
    }
    out
}

/// Draws charts for the largest fleet to SVG files in `folder`: service against load without faults, if there is more than one
/// load, and service by second for each script, at the load closest to 1. Returns the names of the files.
///
/// # Errors
/// If a file can't be written.
pub fn charts(spec: &Spec, records: &[Record], folder: &Path) -> io::Result<Vec<String>> {
    let nodes = spec.nodes.iter().copied().max().unwrap_or(1);
    let mut files = Vec::new();
    if spec.loads.len() > 1 {
        let series: Vec<Series> = spec
            .policies
            .iter()
            .map(|policy| {
                let points = spec.loads.iter().map(|load| {
                    (*load, bootstrap_interval(&services(records, policy, "calm", nodes, *load)).mean)
                });
                Series { name: policy.clone(), points: points.collect() }
            })
            .collect();
        let file = format!("{}-load.svg", spec.name);
        draw_chart(&folder.join(&file), &format!("Service, {nodes} nodes, calm"), "load", false, &series)?;
        files.push(file);
    }
    for script in &spec.scripts {
        let load = spec
            .loads
            .iter()
            .copied()
            .min_by(|a, b| (a - 1.0).abs().total_cmp(&(b - 1.0).abs()))
            .unwrap_or(1.0);
        let series: Vec<Series> = spec
            .policies
            .iter()
            .map(|policy| {
                let runs: Vec<&Record> = records
                    .iter()
                    .filter(|record| {
                        let cell = &record.cell;
                        cell.policy == *policy
                            && cell.script == script.name
                            && cell.nodes == nodes
                            && cell.load == load
                    })
                    .collect();
                let seconds = runs.iter().map(|record| record.service_by_second.len()).max().unwrap_or(0);
                let mean = |second: usize| {
                    let sum: f64 =
                        runs.iter().filter_map(|record| record.service_by_second.get(second)).sum();
                    sum / runs.len().max(1) as f64
                };
                let from = spec.warm_up_s.ceil() as usize;
                let points = (from..seconds.saturating_sub(1)).map(|second| (second as f64, mean(second)));
                Series { name: policy.clone(), points: points.collect() }
            })
            .collect();
        let file = format!("{}-{}.svg", spec.name, script.name);
        let title = format!("{}, {nodes} nodes, load {:.0} %: service by second", script.name, load * 100.0);
        draw_chart(&folder.join(&file), &title, "seconds", false, &series)?;
        files.push(file);
    }
    Ok(files)
}

/// An HTML page without references to other files: the tables and paragraphs of `markdown`, followed by the SVG charts.
///
/// # Errors
/// If a chart file can't be read.
pub fn html_page(title: &str, markdown: &str, folder: &Path, files: &[String]) -> io::Result<String> {
    let mut out = format!(
        "<!doctype html><meta charset=utf-8><title>{title}</title>\
         <style>body{{font:15px sans-serif;margin:2em}}td,th{{padding:2px 9px;text-align:right}}\
         tr:nth-child(odd){{background:#f3f3f3}}</style><h1>{title}</h1>"
    );
    for line in markdown.lines() {
        if let Some(text) = line.strip_prefix("## ") {
            let _ = write!(out, "</table><h2>{text}</h2><table>");
        } else if line.starts_with("| ") {
            let cells = line.trim_matches('|').split('|').map(|cell| format!("<td>{}</td>", cell.trim()));
            let _ = write!(out, "<tr>{}</tr>", cells.collect::<String>());
        } else if !line.starts_with('|') && !line.is_empty() {
            let _ = write!(out, "<p>{line}</p>");
        }
    }
    out.push_str("</table>");
    for file in files {
        out.push_str(&std::fs::read_to_string(folder.join(file))?);
    }
    Ok(out)
}
