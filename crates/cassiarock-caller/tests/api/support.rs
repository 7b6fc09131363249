//! An API server whose calls are answered by a closure.

use cassiarock_caller::{Answer, Call, Limit, router, serve};
use reqwest::{Client, RequestBuilder, Response};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

/// Capacity of the queue of calls.
const QUEUE: usize = 4;

pub struct Api {
    pub address: SocketAddr,
    pub calls: Arc<AtomicUsize>,
    pub stop: Option<oneshot::Sender<()>>,
    pub server: tokio::task::JoinHandle<()>,
}

impl Api {
    pub async fn new(limit: Limit, mut decide: impl FnMut(Call) + Send + 'static) -> Self {
        let (sender, mut receiver) = mpsc::channel(QUEUE);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (stop, stopped) = oneshot::channel::<()>();
        let server = tokio::spawn(async move {
            let routes = router(limit.clone(), sender);
            let shutdown = async {
                let _ = stopped.await;
            };
            serve(listener, routes, &limit, shutdown).await;
        });
        let calls = Arc::new(AtomicUsize::new(0));
        let count = calls.clone();
        tokio::spawn(async move {
            while let Some(call) = receiver.recv().await {
                count.fetch_add(1, Ordering::SeqCst);
                decide(call);
            }
        });
        Self {
            address,
            calls,
            stop: Some(stop),
            server,
        }
    }

    /// An API that gives every call the same answer.
    pub async fn answering(limit: Limit, answer: Answer) -> Self {
        Self::new(limit, move |call| reply(call, answer.clone())).await
    }

    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    pub fn post(&self, path: &str) -> RequestBuilder {
        Client::new().post(self.url(path))
    }

    /// Asks the server to shut down.
    pub fn stop(&mut self) {
        self.stop.take().unwrap().send(()).unwrap();
    }

    pub fn calls(&self) -> usize {
        self.calls.load(Ordering::SeqCst)
    }
}

/// Answers a call of any kind.
pub fn reply(call: Call, answer: Answer) {
    let (Call::Submit(_, sender) | Call::Find(_, _, sender) | Call::Cancel(_, sender)) = call;
    let _ = sender.send(answer);
}

/// A job that passes every check.
pub fn job() -> Value {
    json!({
        "id": id(),
        "kind": "seat-check",
        "team": "andes",
        "deadline_ms": 2000,
        "tasks": [{ "id": "a", "payload": { "class": 4 } }, { "id": "b", "payload": 7 }],
    })
}

pub fn id() -> String {
    cassiarock_id::Job::new(cassiarock_id::Wall::now()).to_string()
}

/// The status and the body of a response.
pub async fn read(response: Response) -> (u16, Value) {
    let status = response.status().as_u16();
    (status, response.json().await.unwrap())
}
