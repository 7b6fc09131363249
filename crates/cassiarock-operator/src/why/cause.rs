//! Which decision settled a request, and which input decided it.

use super::LogLine;

/// The last line that settles a request, told with what led to it.
pub(super) fn cause(lines: &[LogLine], is_about: impl Fn(&LogLine) -> bool) -> String {
    let about: Vec<&LogLine> = lines.iter().filter(|line| is_about(line)).collect();
    let Some(settled) = about.iter().rev().find(|line| settles(line)) else {
        return unsettled(&about);
    };
    let told = sentence(settled);
    let before = led_to(settled, &about);
    let near = lines
        .iter()
        .rev()
        .find(|line| !is_about(line) && hurts(line));
    let near = near.map(|line| format!("; meanwhile {line}"));
    format!("{told}{before}{}", near.unwrap_or_default())
}

/// Lines that end a request's way through an entry.
fn settles(line: &LogLine) -> bool {
    const ENDS: [&str; 5] = ["completed", "failed", "refused", "impossible", "abandoned"];
    let malformed = line.what.starts_with("malformed") || line.what.starts_with("refused:");
    malformed || line.what == "no such queue" || ENDS.contains(&line.what.as_str())
}

/// What a process lost or met that may have hurt the requests it had.
fn hurts(line: &LogLine) -> bool {
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

fn sentence(line: &LogLine) -> String {
    let of = |name: &str| line.field(name).unwrap_or_else(|| "?".to_owned());
    let process = &line.process;
    match line.what.as_str() {
        "completed" => format!(
            "completed at {process} after {} ms with {} retries; on time: {}",
            of("age_ms"),
            of("retries"),
            of("on_time")
        ),
        "failed" => format!(
            "given up at {process} after {} ms: {}{}; {} of {} tasks not done",
            of("age_ms"),
            of("reason"),
            crashed(line),
            of("not_done"),
            of("tasks")
        ),
        "refused" => format!(
            "refused at {process} after {} ms: {} (predicted wait {} ms, {} jobs in the queue, \
             {} thousandths of a core free, configuration {})",
            of("age_ms"),
            of("reason"),
            of("wait_ms"),
            of("queue"),
            of("free_cpu"),
            of("version")
        ),
        "impossible" => format!(
            "failed at once at {process}: no upstream has {} thousandths of a core and {} MiB",
            of("cpu"),
            of("memory")
        ),
        "abandoned" => format!(
            "abandoned at {process} after {} ms: {}",
            of("age_ms"),
            of("reason")
        ),
        "no such queue" => format!(
            "answered 404 at {process}: configuration {} has no queue for {}{}",
            of("version"),
            of("host"),
            of("path")
        ),
        other => format!("{other} at {process}"),
    }
}

/// The upstreams that one of its tasks has crashed.
fn crashed(line: &LogLine) -> String {
    let crashed = line.field("crashed").unwrap_or_default();
    if crashed.is_empty() {
        return crashed;
    }
    format!(
        " (crashed the upstreams of {})",
        crashed.replace(',', " and ")
    )
}

/// What happened to its tasks before, by kind: ends, moves, losses.
fn led_to(settled: &LogLine, about: &[&LogLine]) -> String {
    let mut told = Vec::new();
    for line in about {
        let agent = line.field("agent").unwrap_or_else(|| line.process.clone());
        match line.what.as_str() {
            "ended" => told.push(format!(
                "a task ended as {} at {} after {} ms (expected {} ms)",
                line.field("end").unwrap_or_default(),
                line.process,
                line.field("ran_ms").unwrap_or_default(),
                line.field("expected_ms").unwrap_or_default()
            )),
            "upstream lost" => told.push(format!(
                "the upstream of {agent} was lost with a task after {} ms (crashes under it: {}; \
                 others lost with it: {})",
                line.field("ran_ms").unwrap_or_default(),
                line.field("crashes").unwrap_or_default(),
                line.field("lost_together").unwrap_or_default()
            )),
            "moved" | "placing again" => told.push(format!(
                "{} from {agent}: {}",
                line.what,
                line.field("reason").unwrap_or_default()
            )),
            _ => {}
        }
    }
    if told.is_empty() || settled.what == "completed" && told.len() > MOST {
        return String::new();
    }
    told.truncate(MOST);
    format!("; before: {}", told.join("; "))
}

/// Events named in a cause.
const MOST: usize = 4;

fn unsettled(about: &[&LogLine]) -> String {
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
