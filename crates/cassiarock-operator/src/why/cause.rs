//! The decision that determined the outcome of a request, with its inputs.

use super::LogLine;

/// Describes the last line that gives the outcome of the request, the events before it and
/// the last disruption of a process nearby.
pub(super) fn cause(lines: &[LogLine], is_about: impl Fn(&LogLine) -> bool) -> String {
    let about: Vec<&LogLine> = lines.iter().filter(|line| is_about(line)).collect();
    let Some(outcome) = about.iter().rev().find(|line| is_outcome(line)) else {
        return missing_outcome(&about);
    };
    let description = describe_outcome(outcome);
    let preceding = preceding_events(outcome, &about);
    let disruption = lines
        .iter()
        .rev()
        .find(|line| !is_about(line) && is_disruption(line));
    let disruption = disruption.map(|line| format!("; meanwhile {line}"));
    format!("{description}{preceding}{}", disruption.unwrap_or_default())
}

/// Returns whether the line gives the outcome of a request at an entry.
fn is_outcome(line: &LogLine) -> bool {
    const OUTCOMES: [&str; 5] = ["completed", "failed", "refused", "impossible", "abandoned"];
    let malformed = line.what.starts_with("malformed") || line.what.starts_with("refused:");
    malformed || line.what == "no such queue" || OUTCOMES.contains(&line.what.as_str())
}

/// Returns whether the line is about a disruption of a process that may have affected its
/// requests.
fn is_disruption(line: &LogLine) -> bool {
    let kinds = [
        "lost",
        "link lost",
        "thawed",
        "all lost",
        "started",
        "leaving",
    ];
    kinds.iter().any(|kind| line.what.starts_with(kind))
}

fn describe_outcome(line: &LogLine) -> String {
    let value = |name: &str| line.field(name).unwrap_or_else(|| "?".to_owned());
    let process = &line.process;
    match line.what.as_str() {
        "completed" => format!(
            "completed at {process} after {} ms with {} retries; on time: {}",
            value("age_ms"),
            value("retries"),
            value("on_time")
        ),
        "failed" => format!(
            "given up at {process} after {} ms: {}{}; {} of {} tasks not done",
            value("age_ms"),
            value("reason"),
            crashed_upstreams(line),
            value("not_done"),
            value("tasks")
        ),
        "refused" => format!(
            "refused at {process} after {} ms: {} (predicted wait {} ms, {} jobs in the queue, \
             {} thousandths of a core free, configuration {})",
            value("age_ms"),
            value("reason"),
            value("wait_ms"),
            value("queue"),
            value("free_cpu"),
            value("version")
        ),
        "impossible" => format!(
            "failed at once at {process}: no upstream has {} thousandths of a core and {} MiB",
            value("cpu"),
            value("memory")
        ),
        "abandoned" => format!(
            "abandoned at {process} after {} ms: {}",
            value("age_ms"),
            value("reason")
        ),
        "no such queue" => format!(
            "answered 404 at {process}: configuration {} has no queue for {}{}",
            value("version"),
            value("host"),
            value("path")
        ),
        other => format!("{other} at {process}"),
    }
}

/// Names the upstreams that crashed while they ran a task of the request.
fn crashed_upstreams(line: &LogLine) -> String {
    let crashed = line.field("crashed").unwrap_or_default();
    if crashed.is_empty() {
        return crashed;
    }
    format!(
        " (crashed the upstreams of {})",
        crashed.replace(',', " and ")
    )
}

/// Lists what happened to the tasks of the request: ends, moves and lost upstreams.
fn preceding_events(outcome: &LogLine, about: &[&LogLine]) -> String {
    let mut events = Vec::new();
    for line in about {
        let agent = line.field("agent").unwrap_or_else(|| line.process.clone());
        match line.what.as_str() {
            "ended" => events.push(format!(
                "a task ended as {} at {} after {} ms (expected {} ms)",
                line.field("end").unwrap_or_default(),
                line.process,
                line.field("ran_ms").unwrap_or_default(),
                line.field("expected_ms").unwrap_or_default()
            )),
            "upstream lost" => events.push(format!(
                "the upstream of {agent} was lost with a task after {} ms (crashes under it: {}; \
                 others lost with it: {})",
                line.field("ran_ms").unwrap_or_default(),
                line.field("crashes").unwrap_or_default(),
                line.field("lost_together").unwrap_or_default()
            )),
            "moved" | "placing again" => events.push(format!(
                "{} from {agent}: {}",
                line.what,
                line.field("reason").unwrap_or_default()
            )),
            _ => {}
        }
    }
    if events.is_empty() || outcome.what == "completed" && events.len() > MAX_EVENTS {
        return String::new();
    }
    events.truncate(MAX_EVENTS);
    format!("; before: {}", events.join("; "))
}

/// Limit of preceding events that a cause lists.
const MAX_EVENTS: usize = 4;

/// Describes a request without an outcome by the last line about it.
fn missing_outcome(about: &[&LogLine]) -> String {
    let Some(last) = about.last() else {
        return "nothing is known".to_owned();
    };
    let stopped = about.iter().rev().find(|line| line.what == "stop");
    let stopped = stopped.map(|line| {
        let reason = line.field("reason").unwrap_or_default();
        format!("; its tasks were stopped at {}: {reason}", line.process)
    });
    let entry = about.iter().find(|line| line.what == "admitted");
    let entry = entry.map_or("its entry", |line| line.process.as_str());
    format!(
        "no outcome is logged: {entry} died, was frozen or was cut off with the request in hand, \
         or its line was dropped; the last that is known is `{}` at {}{}",
        last.what,
        last.process,
        stopped.unwrap_or_default()
    )
}
