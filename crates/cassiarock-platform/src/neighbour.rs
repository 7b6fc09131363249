//! Fetches the state from other processes while the log is unavailable.

use crate::{Error, Follower};
use cassiarock_rule::State;
use rand::seq::IndexedRandom;
use reqwest::{Client, StatusCode};
use std::sync::Arc;
use std::time::Duration;

/// A neighbour answers in a millisecond, unless its VM is gone.
const TIMEOUT: Duration = Duration::from_secs(2);
/// The size limit of a response body: a state of 2,900 agents and 1,024 rules has 1 MB.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// The mean time between requests while a state is known. In an outage of the log all of 2,900
/// processes send requests, 580 requests a second over all neighbours, nearly all of them answered by
/// "nothing newer". A change is in force in a process that is cut off from the log within the
/// time to notice that, this time, and half of it again: 13 s and 7.5 s at most, and within
/// 7.5 s where the log refuses connections.
const PERIOD: Duration = Duration::from_secs(5);
/// The mean time between requests without a state, when the process cannot work.
const PERIOD_WITHOUT_STATE: Duration = Duration::from_secs(1);

/// Other processes that can be asked for the state, by the base URLs of their monitors.
#[derive(Clone, Debug)]
pub struct Neighbours {
    urls: Arc<[String]>,
    client: Client,
}

impl Neighbours {
    /// Neighbours at these base URLs, as `http://10.0.0.1:9090`.
    ///
    /// ```
    /// use cassiarock_platform::neighbour::Neighbours;
    /// assert!(Neighbours::new(["http://127.0.0.1:9090"]).is_ok());
    /// ```
    ///
    /// # Errors
    /// If the HTTP library finds no working system.
    pub fn new<T: Into<String>>(urls: impl IntoIterator<Item = T>) -> Result<Self, Error> {
        let client = Client::builder()
            .timeout(TIMEOUT)
            .no_proxy()
            .build()
            .map_err(Error::Client)?;
        Ok(Self {
            urls: urls.into_iter().map(Into::into).collect(),
            client,
        })
    }

    /// Asks one neighbour, chosen at random, for a state whose `next` is above `known`.
    pub async fn ask(&self, known: Option<u64>) -> Option<State> {
        let url = self.urls.choose(&mut rand::rng())?;
        let after = known.map(|next| format!("?after={next}"));
        let url = format!(
            "{}/state{}",
            url.trim_end_matches('/'),
            after.unwrap_or_default()
        );
        let mut response = self.client.get(url).send().await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let mut body = Vec::new();
        while let Some(chunk) = response.chunk().await.ok()? {
            body.extend_from_slice(&chunk);
            if body.len() > MAX_BODY_BYTES {
                return None;
            }
        }
        serde_json::from_slice(&body).ok()
    }

    /// Asks for as long as the follower runs, whenever it has no state, or may lack records.
    pub(crate) async fn run(self, mut asker: Asker) {
        while !self.urls.is_empty() {
            let without_state = asker.status.borrow().state.is_none();
            let mean = if without_state {
                PERIOD_WITHOUT_STATE
            } else {
                PERIOD
            };
            tokio::time::sleep(mean.mul_f64(0.5 + rand::random::<f64>())).await;
            let may_lack_records =
                |status: &crate::follow::Status| !status.reachable || status.searching;
            let known = match asker.status.wait_for(may_lack_records).await {
                Ok(status) => status.state.as_ref().map(|state| state.next),
                Err(_) => return,
            };
            if let Some(state) = self.ask(known).await {
                log::info!(next = state.next; "state learned from a neighbour");
                asker.offer(state);
            }
        }
    }
}

/// The handles of a follower that the polling of neighbours uses.
pub(crate) struct Asker {
    pub status: tokio::sync::watch::Receiver<crate::follow::Status>,
    pub offers: tokio::sync::mpsc::Sender<Arc<State>>,
}

impl Asker {
    fn offer(&self, state: State) {
        // A full queue holds other offers; the next response replaces this one.
        let _ = self.offers.try_send(Arc::new(state));
    }
}

impl Follower {
    /// The same, asking neighbours while the log does not answer, or after retention deleted
    /// records that were never read.
    #[must_use]
    pub fn with_neighbours(self, neighbours: Neighbours) -> Self {
        let asker = self.asker();
        self.with_polling(tokio::spawn(neighbours.run(asker)))
    }
}
