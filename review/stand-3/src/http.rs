//! A small HTTP/1.1 server and client over blocking sockets, without dependencies.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// A request as a server has read it.
#[derive(Debug, Default)]
pub struct Request {
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// A parameter of the query. Values are plain names and numbers.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let mut pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

/// A response: `None` leaves the call without an answer.
pub type Response = Option<(u16, Vec<u8>)>;

/// Serves connections on threads of their own until the process ends.
pub fn serve(listener: TcpListener, handle: impl Fn(Request) -> Response + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || {
                // A peer that closes its connection ends the thread.
                let _ = answer_all(stream, &*handle);
            });
        }
    });
}

fn answer_all(mut stream: TcpStream, handle: &dyn Fn(Request) -> Response) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer)? {
        let Some((status, body)) = handle(request) else {
            // Without an answer, nothing further comes on this connection.
            std::thread::sleep(Duration::from_secs(600));
            return Ok(());
        };
        let head = format!(
            "HTTP/1.1 {status} -\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(&[head.as_bytes(), &body].concat())?;
    }
    Ok(())
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<bool> {
    let mut piece = [0; 16_384];
    let length = stream.read(&mut piece)?;
    buffer.extend_from_slice(&piece[..length]);
    Ok(length > 0)
}

/// The position after the header block.
fn end_of_head(buffer: &[u8]) -> Option<usize> {
    buffer
        .windows(4)
        .position(|four| four == b"\r\n\r\n")
        .map(|at| at + 4)
}

fn headers(text: &str) -> Vec<(String, String)> {
    let lines = text.lines().skip(1).filter_map(|line| line.split_once(':'));
    lines
        .map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()))
        .collect()
}

fn length(headers: &[(String, String)]) -> Option<usize> {
    let found = headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case("content-length"));
    found.and_then(|(_, value)| value.parse().ok())
}

fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Request>> {
    let head = loop {
        if let Some(head) = end_of_head(buffer) {
            break head;
        }
        if !fill(stream, buffer)? {
            return Ok(None);
        }
    };
    let text = String::from_utf8_lossy(&buffer[..head]).into_owned();
    let headers = headers(&text);
    let length = length(&headers).unwrap_or(0);
    while buffer.len() < head + length {
        if !fill(stream, buffer)? {
            return Ok(None);
        }
    }
    let body = buffer[head..head + length].to_vec();
    buffer.drain(..head + length);
    let mut words = text.lines().next().unwrap_or_default().split(' ');
    let target = words.nth(1).unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    Ok(Some(Request {
        path: path.to_owned(),
        query: query.to_owned(),
        headers,
        body,
    }))
}

/// The text of a request.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (key, value) in headers {
        text.push_str(&format!("{key}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    text
}

/// Reads one response: its status and its body. An error if the channel ends before.
pub fn read_response(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<(u16, String)> {
    let ended = || io::Error::from(io::ErrorKind::UnexpectedEof);
    let head = loop {
        if let Some(head) = end_of_head(buffer) {
            break head;
        }
        if !fill(stream, buffer)? {
            return Err(ended());
        }
    };
    let text = String::from_utf8_lossy(&buffer[..head]).into_owned();
    let length = length(&headers(&text)).unwrap_or(0);
    while buffer.len() < head + length {
        if !fill(stream, buffer)? {
            return Err(ended());
        }
    }
    let body = String::from_utf8_lossy(&buffer[head..head + length]).into_owned();
    buffer.drain(..head + length);
    let status = text.split(' ').nth(1).and_then(|word| word.parse().ok());
    Ok((status.unwrap_or(0), body))
}

/// Makes one call over a connection of its own.
pub fn call(address: SocketAddr, text: &str, limit: Duration) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(text.as_bytes())?;
    read_response(&mut stream, &mut Vec::new())
}

/// The number behind a key of a flat JSON object.
pub fn number(text: &str, key: &str) -> Option<u64> {
    let rest = &text[text.find(&format!("\"{key}\":"))? + key.len() + 3..];
    let digits: String = rest
        .trim_start()
        .chars()
        .take_while(char::is_ascii_digit)
        .collect();
    digits.parse().ok()
}

/// The string behind a key of a flat JSON object without escapes.
pub fn string(text: &str, key: &str) -> Option<String> {
    let rest = &text[text.find(&format!("\"{key}\":"))? + key.len() + 3..];
    let rest = rest.trim_start().strip_prefix('"')?;
    Some(rest[..rest.find('"')?].to_owned())
}
