//! HTTP/1.1 messages over blocking sockets.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the method and the target of a request.
    pub fn request(&self) -> (&str, &str) {
        let mut words = self.line.split(' ');
        (words.next().unwrap_or_default(), words.next().unwrap_or_default())
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads messages from a connection, with what was read beyond the last one.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        // It only costs some milliseconds if this fails.
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> Result<()> {
        let mut part = [0; 16 * 1024];
        match self.stream.read(&mut part)? {
            0 => Err(Error::from(ErrorKind::UnexpectedEof)),
            length => {
                self.buffer.extend_from_slice(&part[..length]);
                Ok(())
            }
        }
    }

    fn line(&mut self) -> Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).take(end).collect();
                return Ok(String::from_utf8_lossy(&line).into_owned());
            }
            self.fill()?;
        }
    }

    fn bytes(&mut self, length: usize) -> Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill()?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    pub fn read_message(&mut self) -> Result<Message> {
        let line = self.line()?;
        let mut message = Message { line, headers: Vec::new(), body: Vec::new() };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.to_owned(), value.trim().to_owned()));
            }
        }
        let length = message.header("content-length").and_then(|length| length.parse().ok());
        if let Some(length) = length {
            message.body = self.bytes(length)?;
        } else if message.header("transfer-encoding").is_some() {
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(size.trim(), 16);
                let size = size.map_err(|_| Error::from(ErrorKind::InvalidData))?;
                let part = self.bytes(size)?;
                message.body.extend(part);
                self.line()?;
                if size == 0 {
                    break;
                }
            }
        }
        Ok(message)
    }

    pub fn answer(&mut self, status: u16, headers: &[(&str, &str)], body: &[u8]) -> Result<()> {
        let mut head = format!("HTTP/1.1 {status} Status\r\ncontent-length: {}\r\n", body.len());
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        self.stream.write_all(&[head.as_bytes(), body].concat())
    }
}

/// Serves each connection in a thread of its own, for as long as the process runs.
pub fn serve(listener: TcpListener, handler: impl Fn(Connection) + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || handler(Connection::new(stream)));
        }
    });
}

/// Sends a request on a new connection and returns the whole response.
pub fn call(
    address: SocketAddr,
    line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    time_limit: Duration,
) -> Result<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(time_limit))?;
    let mut connection = Connection::new(stream);
    let mut head = format!("{line} HTTP/1.1\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    connection.stream.write_all(&[head.as_bytes(), body].concat())?;
    connection.read_message()
}
