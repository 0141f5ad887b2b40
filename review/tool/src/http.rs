//! A minimal HTTP/1.1 server and client on blocking sockets.

use std::io::{BufRead, BufReader, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads the head of a message, or `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message =
        Message { start: line.trim_end().to_owned(), headers: Vec::new(), body: Vec::new() };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that the head of a message announces.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> Result<()> {
    if message.header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| std::io::Error::from(std::io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(());
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)
}

/// Reads a whole message.
pub fn read_message(reader: &mut impl BufRead) -> Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    read_body(reader, &mut message)?;
    Ok(Some(message))
}

/// An answer of a stand-in.
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Answer {
        Answer { status, headers: Vec::new(), body: body.into() }
    }

    pub fn with(mut self, name: &str, value: impl ToString) -> Answer {
        self.headers.push((name.to_owned(), value.to_string()));
        self
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut head =
            format!("HTTP/1.1 {} X\r\nContent-Length: {}\r\n", self.status, self.body.len());
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// Serves whole requests, each connection in a thread of its own. A handler that returns
/// `None` breaks the connection off.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(Message, &TcpStream) -> Option<Answer> + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let handler = handler.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(copy) = stream.try_clone() else { return };
                let mut reader = BufReader::new(copy);
                while let Ok(Some(request)) = read_message(&mut reader) {
                    let Some(answer) = handler(request, &stream) else { return };
                    if (&stream).write_all(&answer.encode()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// Sends one request on a new connection and reads the answer.
pub fn call(address: SocketAddr, request: &[u8], timeout: Duration) -> Result<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(timeout))?;
    (&stream).write_all(request)?;
    let mut reader = BufReader::new(stream);
    read_message(&mut reader)?.ok_or_else(|| std::io::ErrorKind::UnexpectedEof.into())
}

/// Reads and drops everything until the end of a connection.
#[allow(dead_code)]
pub fn drain(stream: &mut TcpStream) {
    let mut buffer = [0; 4096];
    while matches!(stream.read(&mut buffer), Ok(count) if count > 0) {}
}
