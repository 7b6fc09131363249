//! Measures what rules, configuration and membership cost: bytes and memory by the number of
//! agents, the fold, the rules, a start from a long log, and a change's way to all followers.
//!
//! `cargo run --release -p cassiarock-platform --example state`

mod log;
mod memory;
mod recovery;
mod sample;

use std::error::Error;

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    memory::report()?;
    memory::largest()?;
    memory::rules();
    log::starts().await?;
    log::day()?;
    log::spread_of_a_change().await?;
    recovery::report().await?;
    Ok(())
}
