//! Cases of the review that need real processes: each starts a small deployment of the project's own
//! programs with stand-ins, disturbs it, and checks a rule by what clients and minions have seen.

mod cancelled;
mod dropped;
mod http;
mod minion;
mod pipelined;
mod repeated;
mod site;
mod store;

use site::Site;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// What a case has shown: a text that says how the rule was broken, if it was.
pub type Verdict = io::Result<Option<String>>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words[..] {
        ["minion", id, address, control] => {
            let addresses = address.parse().ok().zip(control.parse().ok());
            let ran = addresses.map(|(address, control)| minion::run(id, address, control));
            ExitCode::from(u8::from(!matches!(ran, Some(Ok(())))))
        }
        ["pipelined", folder, record] => play(folder, record, (2, 4), pipelined::play),
        ["repeated", folder, record] => play(folder, record, (2, 4), repeated::play),
        ["dropped", folder, record] => play(folder, record, (2, 4), dropped::play),
        ["cancelled", folder, record] => play(folder, record, (2, 4), cancelled::play),
        _ => {
            eprintln!("usage: stand-3 CASE FOLDER RECORD");
            ExitCode::from(2)
        }
    }
}

/// Plays a case. The exit status is 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
fn play(
    folder: &str,
    record: &str,
    (entries, agents): (usize, usize),
    case: fn(&mut Site, bool) -> Verdict,
) -> ExitCode {
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = PathBuf::from(folder);
    let played = Site::start(&folder, entries, agents).and_then(|mut site| {
        let verdict = case(&mut site, has_trouble);
        let outcome = match &verdict {
            Ok(Some(broken)) => format!("BROKEN: {broken}"),
            Ok(None) => "the rule held".to_owned(),
            Err(error) => format!("could not run: {error}"),
        };
        site.record.note(outcome);
        site.record.write(Path::new(record))?;
        verdict
    });
    match played {
        Ok(Some(broken)) => {
            println!("BROKEN: {broken}");
            ExitCode::from(1)
        }
        Ok(None) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}
