//! Measures wrongful refusals under each scheme of sharing an allowance.

use std::process::ExitCode;

use gumdrop::Options;
use standins::network::{DemandPattern, ShareScheme, measure_scheme};

/// Runs every scheme under every seeded demand pattern and prints the median,
/// lowest and highest percentage of refused requests over the seeds.
///
/// Exits with a failure if any run admitted more tokens than the bound.
#[derive(Debug, Options)]
struct SchemeOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "first seed", meta = "N", default = "1")]
    seed: u64,
    #[options(help = "number of seeds per demand pattern", meta = "N", default = "5")]
    seeds: u64,
    #[options(help = "run only the demand pattern with this name", meta = "NAME")]
    demand: Option<String>,
    #[options(help = "demand as a fraction of the rate", meta = "F", default = "0.8")]
    fraction: f64,
}

fn main() -> ExitCode {
    let options = SchemeOptions::parse_args_default_or_exit();
    println!(
        "{:<16} {:<14} {:>8} {:>8} {:>8}  bound",
        "demand", "scheme", "median", "least", "most"
    );
    let mut any_exceeded = false;
    let is_selected = |pattern: &DemandPattern| {
        options.demand.as_ref().is_none_or(|name| *name == format!("{pattern:?}"))
    };
    for pattern in DemandPattern::ALL.into_iter().filter(is_selected) {
        for scheme in ShareScheme::ALL {
            let reports: Vec<_> = (0..options.seeds.max(1))
                .map(|number| options.seed + number)
                .map(|seed| measure_scheme(scheme, pattern, options.fraction, seed))
                .collect();
            let mut refused_percentages: Vec<f64> = reports
                .iter()
                .map(|report| 100.0 * report.refused as f64 / report.asked.max(1) as f64)
                .collect();
            refused_percentages.sort_by(f64::total_cmp);
            let is_exceeded = reports.iter().any(|report| report.excess > 0.0);
            any_exceeded |= is_exceeded;
            println!(
                "{:<16} {:<14} {:>7.3}% {:>7.3}% {:>7.3}%  {}",
                format!("{pattern:?}"),
                format!("{scheme:?}"),
                refused_percentages[refused_percentages.len() / 2],
                refused_percentages[0],
                refused_percentages[refused_percentages.len() - 1],
                if is_exceeded { "EXCEEDED" } else { "kept" }
            );
        }
    }
    if any_exceeded { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}
