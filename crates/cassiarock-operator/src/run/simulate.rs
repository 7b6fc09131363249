//! `simulate`.

use crate::{Error, Exit, Report, Simulate};
use cassiarock_lab::{Scenario, ScenarioResult};
use cassiarock_transient::scheduler::Mechanisms;
use serde::Serialize;

/// The figures of one simulation run.
#[derive(Debug, Serialize)]
struct Run {
    scenario: String,
    /// The disabled mechanism, if any.
    without: Option<&'static str>,
    figures: ScenarioResult,
}

/// Simulates the scenarios. All are read first, so that no simulation runs if one is invalid.
pub fn run(simulate: &Simulate) -> Result<Report, Error> {
    let scenarios = simulate.files.iter();
    let scenarios = scenarios.map(|file| Ok((file.display().to_string(), Scenario::load(file)?)));
    let scenarios: Vec<(String, Scenario)> = scenarios.collect::<Result<_, Error>>()?;
    let variants = variants(simulate)?;
    let mut runs = Vec::new();
    for (file, scenario) in &scenarios {
        for (without, mechanisms) in &variants {
            runs.push(Run {
                scenario: file.clone(),
                without: *without,
                figures: cassiarock_lab::simulate(scenario, *mechanisms),
            });
        }
    }
    let is_broken = runs.iter().any(|run| !run.figures.violations.is_empty());
    let text = if simulate.ablate {
        table(&runs)
    } else {
        let texts = runs.iter();
        let texts = texts.map(|run| format!("{}\n{}\n", run.scenario, run.figures));
        texts.collect::<Vec<_>>().join("\n")
    };
    let exit = if is_broken { Exit::Failed } else { Exit::Done };
    Ok(Report::new(&runs, text).with_exit(exit))
}

/// Lists the sets of mechanisms to simulate each scenario with.
fn variants(simulate: &Simulate) -> Result<Vec<(Option<&'static str>, Mechanisms)>, Error> {
    let complete = (None, Mechanisms::default());
    let without = |name| Mechanisms::without(name).map(|mechanisms| (Some(name), mechanisms));
    if simulate.ablate {
        let each = Mechanisms::names().filter_map(without);
        return Ok([complete].into_iter().chain(each).collect());
    }
    let Some(requested) = &simulate.without else {
        return Ok(vec![complete]);
    };
    let name = Mechanisms::names().find(|name| name == requested);
    let found = name.and_then(without).ok_or_else(|| Error::Input {
        input: "--without".to_owned(),
        reason: format!(
            "there is no mechanism {requested:?}; name one of {}",
            Mechanisms::names().collect::<Vec<_>>().join(", ")
        ),
    })?;
    Ok(vec![found])
}

/// Formats a row for each scenario and disabled mechanism.
fn table(runs: &[Run]) -> String {
    let mut text = format!(
        "{:<36} {:<14} {:>7} {:>8} {:>10} {:>8} {:>8} {:>8} {:>11}\n",
        "scenario",
        "without",
        "worth",
        "scatter",
        "not served",
        "in time",
        "at most",
        "thrown",
        "worst kind"
    );
    for run in runs {
        let kinds = run.figures.totals_by_kind();
        let worst = kinds.iter().map(cassiarock_lab::KindResult::in_time_share);
        text += &format!(
            "{:<36} {:<14} {:>7.3} {:>8.3} {:>10.4} {:>8.3} {:>8.3} {:>8.3} {:>11.3}\n",
            run.scenario,
            run.without.unwrap_or("-"),
            run.figures.worth,
            run.figures.worth_deviation,
            run.figures.unserved,
            run.figures.in_time,
            run.figures.in_time_bound,
            run.figures.wasted_work,
            worst.fold(1.0, f64::min)
        );
        for fault in &run.figures.violations {
            text += &format!("BROKEN {fault}\n");
        }
    }
    text
}
