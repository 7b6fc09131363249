//! Plays one scenario of this review against the project's own programs.
//!
//! `stand-2 SCENARIO DAEMON RECORD`; `TROUBLE=0` leaves the disruption out. Exits with 1 if the rule
//! was broken, with 0 if it held and with 2 if the scenario could not run.

mod http;
mod json;
mod record;
mod scenario;
mod site;
mod store;
mod upstream;

use record::Record;
use std::path::PathBuf;
use std::process::ExitCode;

/// How a scenario ended.
pub enum Verdict {
    Held,
    Broken,
}

/// What a scenario gets.
pub struct Context {
    pub daemon: PathBuf,
    pub record: Record,
    pub has_trouble: bool,
    pub logs: Option<PathBuf>,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, daemon, record] = &args[..] else {
        eprintln!("usage: stand-2 SCENARIO DAEMON RECORD");
        return ExitCode::from(2);
    };
    let record = match Record::create(record.as_ref()) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{record}: {error}");
            return ExitCode::from(2);
        }
    };
    let context = Context {
        daemon: daemon.into(),
        record: record.clone(),
        has_trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
        logs: std::env::var_os("KEEP_LOGS").map(PathBuf::from),
    };
    let outcome = match scenario::find(name) {
        Some(play) => play(&context),
        None => Err(std::io::Error::other(format!("no scenario {name}"))),
    };
    match outcome {
        Ok(Verdict::Held) => {
            record.print("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.print("the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.print(format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
