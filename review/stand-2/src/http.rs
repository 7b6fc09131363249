//! A small HTTP/1.1 server and client over blocking sockets.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A request that has been read.
#[derive(Debug, Default)]
pub struct Request {
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query(&self, name: &str) -> &str {
        find(&self.query, name)
    }

    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }
}

fn find<'a>(pairs: &'a [(String, String)], name: &str) -> &'a str {
    let found = pairs.iter().find(|(key, _)| key == name);
    found.map_or("", |(_, value)| value)
}

/// What a handler answers.
pub enum Answer {
    Body(u16, Vec<u8>),
    /// Nothing: the connection stays open and silent.
    Silence,
}

impl Answer {
    pub fn json(status: u16, text: impl Into<String>) -> Self {
        Self::Body(status, text.into().into_bytes())
    }
}

/// The open connections of a server, to break them as the end of its process does.
#[derive(Clone, Default)]
pub struct Connections {
    open: Arc<Mutex<HashMap<u64, TcpStream>>>,
    count: Arc<AtomicU64>,
    /// Whether new connections are closed at once.
    is_down: Arc<AtomicBool>,
}

impl Connections {
    /// Closes all connections, and new ones until `accept` is called.
    pub fn close(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        for (_, stream) in self.open.lock().unwrap().drain() {
            // It may have ended by itself.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn accept(&self) {
        self.is_down.store(false, Ordering::SeqCst);
    }

    /// Adds a connection and returns its number; `None` if it is not to be served.
    fn add(&self, stream: &TcpStream) -> Option<u64> {
        let number = self.count.fetch_add(1, Ordering::SeqCst);
        let copy = stream.try_clone().ok()?;
        let mut open = self.open.lock().unwrap();
        if self.is_down.load(Ordering::SeqCst) {
            return None;
        }
        open.insert(number, copy);
        Some(number)
    }

    fn remove(&self, number: u64) {
        self.open.lock().unwrap().remove(&number);
    }
}

/// Serves requests, one thread for each connection.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(&Request) -> Answer + Send + Sync + 'static,
) -> Connections {
    let handler = Arc::new(handler);
    let connections = Connections::default();
    let accepted = connections.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let Some(number) = accepted.add(&stream) else {
                continue;
            };
            let accepted = accepted.clone();
            let handler = handler.clone();
            std::thread::spawn(move || {
                // The peer may close at any time.
                let _ = handle(stream, &*handler);
                accepted.remove(number);
            });
        }
    });
    connections
}

fn handle(stream: TcpStream, handler: &dyn Fn(&Request) -> Answer) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    loop {
        let Some(request) = read_request(&mut reader)? else {
            return Ok(());
        };
        match handler(&request) {
            Answer::Body(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                writer.write_all(&[head.as_bytes(), &body].concat())?;
            }
            Answer::Silence => {
                let mut rest = [0; 1024];
                while reader.read(&mut rest)? > 0 {}
                return Ok(());
            }
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let target = words.nth(1).unwrap_or_default().to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(key, value)| (key.to_owned(), value.to_owned()));
    let mut request = Request {
        path: path.to_owned(),
        query: query.collect(),
        headers: read_headers(reader)?,
        body: Vec::new(),
    };
    let length = request.header("content-length").parse().unwrap_or(0);
    request.body = vec![0; length];
    reader.read_exact(&mut request.body)?;
    Ok(Some(request))
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Calls `address` over a connection of its own. An error means that no whole response came.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!(
        "content-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    ));
    stream.write_all(&[head.as_bytes(), body.as_bytes()].concat())?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let status = line
        .split_whitespace()
        .nth(1)
        .and_then(|code| code.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let headers = read_headers(&mut reader)?;
    let length = find(&headers, "content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}
