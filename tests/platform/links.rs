//! A system of more entries than an agent links to.

use crate::job::{PATIENCE, Reply, completed, submit_at};
use crate::site::{Site, body};
use cassiarock_transient::roster::LINKS_PER_AGENT;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

const ENTRIES: usize = LINKS_PER_AGENT + 3;

const AGENTS: usize = 8;

/// How long all links may take on a busy machine.
const SOON: Duration = Duration::from_secs(20);

/// Waits until the agents together have as many links as they want, and each entry has one.
async fn all_linked(site: &Site) {
    let until = Instant::now() + SOON;
    loop {
        let mut open = Vec::new();
        for entry in &site.entries {
            open.push(entry.open().await.unwrap_or_default());
        }
        if open.iter().sum::<usize>() == AGENTS * LINKS_PER_AGENT && !open.contains(&0) {
            return;
        }
        assert!(Instant::now() < until, "{open:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Submits one job after the other at an entry until `is_over`.
fn call(url: String, caller: usize, is_over: Arc<AtomicBool>) -> JoinHandle<Vec<Reply>> {
    tokio::spawn(async move {
        let mut replies = Vec::new();
        while !is_over.load(Ordering::Relaxed) {
            let id = format!("{caller:08x}{:08x}", replies.len());
            let url = format!("{url}{id}");
            replies.push(submit_at(&url, &id, &body(2, 200), PATIENCE).await);
        }
        replies
    })
}

// One entry of many is restarted after a while. Its agents take another one in its place, come
// back to it, and drop the other again. The callers of all other entries notice nothing of it:
// a link that is dropped with a task on its way would cost its job more than a second.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn links_move_without_a_job_that_notices() {
    let mut site = Site::start_unlinked(ENTRIES, AGENTS).await;
    all_linked(&site).await;
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (1..ENTRIES)
        .map(|number| call(site.entries[number].job(""), number, is_over.clone()))
        .collect();
    site.entries[0].process.kill();
    tokio::time::sleep(Duration::from_secs(3)).await;
    site.entries[0].restart();
    let before = Instant::now();
    while site.entries[0].open().await.unwrap_or_default() == 0 {
        assert!(before.elapsed() < SOON, "its agents are back");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // What is one too many stays for ten seconds.
    tokio::time::sleep(Duration::from_secs(10)).await;
    all_linked(&site).await;
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        let replies = caller.await.unwrap();
        let other = replies.iter().find(|reply| **reply != completed());
        assert_eq!(other, None);
    }
    for entry in &site.entries[1..] {
        let output = entry.process.output();
        let lost = output.lines().find(|line| line.contains("placing again"));
        assert_eq!(lost, None);
    }
    site.assert_never_twice();
}
