//! Playing scenarios.

use crate::{Error, Exit, Report, Simulate};
use cassiarock_lab::{Scenario, ScenarioResult};
use cassiarock_transient::scheduler::Mechanisms;
use serde::Serialize;

/// One scenario's figures.
#[derive(Debug, Serialize)]
struct Played {
    scenario: String,
    /// The mechanism that was left out, if one was.
    without: Option<&'static str>,
    figures: ScenarioResult,
}

/// Plays the scenarios. All are read first, so that nothing is played if one is wrong.
pub fn run(simulate: &Simulate) -> Result<Report, Error> {
    let scenarios = simulate.files.iter();
    let scenarios = scenarios.map(|file| Ok((file.display().to_string(), Scenario::load(file)?)));
    let scenarios: Vec<(String, Scenario)> = scenarios.collect::<Result<_, Error>>()?;
    let variants = variants(simulate)?;
    let mut played = Vec::new();
    for (file, scenario) in &scenarios {
        for (without, mechanisms) in &variants {
            played.push(Played {
                scenario: file.clone(),
                without: *without,
                figures: cassiarock_lab::simulate(scenario, *mechanisms),
            });
        }
    }
    let is_broken = played.iter().any(|one| !one.figures.violations.is_empty());
    let text = if simulate.ablate {
        table(&played)
    } else {
        let texts = played.iter();
        let texts = texts.map(|one| format!("{}\n{}\n", one.scenario, one.figures));
        texts.collect::<Vec<_>>().join("\n")
    };
    let exit = if is_broken { Exit::Failed } else { Exit::Done };
    Ok(Report::new(&played, text).with_exit(exit))
}

/// What is played of each scenario: all mechanisms, and what is left out.
fn variants(simulate: &Simulate) -> Result<Vec<(Option<&'static str>, Mechanisms)>, Error> {
    let whole = (None, Mechanisms::default());
    let without = |name| Mechanisms::without(name).map(|mechanisms| (Some(name), mechanisms));
    if simulate.ablate {
        let each = Mechanisms::names().filter_map(without);
        return Ok([whole].into_iter().chain(each).collect());
    }
    let Some(wanted) = &simulate.without else {
        return Ok(vec![whole]);
    };
    let name = Mechanisms::names().find(|name| name == wanted);
    let found = name.and_then(without).ok_or_else(|| Error::Input {
        input: "--without".to_owned(),
        reason: format!(
            "there is no mechanism {wanted:?}; name one of {}",
            Mechanisms::names().collect::<Vec<_>>().join(", ")
        ),
    })?;
    Ok(vec![found])
}

/// A row for each scenario and mechanism left out.
fn table(played: &[Played]) -> String {
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
    for one in played {
        let kinds = one.figures.totals_by_kind();
        let worst = kinds.iter().map(cassiarock_lab::KindResult::in_time_share);
        text += &format!(
            "{:<36} {:<14} {:>7.3} {:>8.3} {:>10.4} {:>8.3} {:>8.3} {:>8.3} {:>11.3}\n",
            one.scenario,
            one.without.unwrap_or("-"),
            one.figures.worth,
            one.figures.worth_deviation,
            one.figures.unserved,
            one.figures.in_time,
            one.figures.in_time_bound,
            one.figures.wasted_work,
            worst.fold(1.0, f64::min)
        );
        for fault in &one.figures.violations {
            text += &format!("BROKEN {fault}\n");
        }
    }
    text
}
