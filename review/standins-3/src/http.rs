//! HTTP/1.1 messages on blocking sockets.

use std::io::{BufRead, BufReader, Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The head of a request or of an answer, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Method of a request.
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn broken(text: &str) -> Error {
    Error::new(ErrorKind::UnexpectedEof, text)
}

/// Reads the head of a message, or returns `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.line = line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(broken("the head was cut off"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        let (name, value) = line.split_once(':').ok_or_else(|| broken("no header"))?;
        message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Reads the body of a message with a length or in chunks. `sink` gets each part.
pub fn read_body(
    reader: &mut BufReader<TcpStream>,
    head: &Message,
    mut sink: impl FnMut(&[u8]),
) -> Result<()> {
    if head.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(broken("cut off before a chunk"));
            }
            let size = line.trim().split(';').next().unwrap_or_default();
            let size = usize::from_str_radix(size, 16).map_err(|_| broken("no chunk size"))?;
            let mut part = vec![0; size + 2];
            reader.read_exact(&mut part)?;
            if size == 0 {
                return Ok(());
            }
            sink(&part[..size]);
        }
    }
    let mut left: usize =
        head.header("content-length").and_then(|text| text.parse().ok()).unwrap_or_default();
    let mut part = [0; 4096];
    while left > 0 {
        let size = left.min(part.len());
        let read = reader.read(&mut part[..size])?;
        if read == 0 {
            return Err(broken("cut off in the body"));
        }
        sink(&part[..read]);
        left -= read;
    }
    Ok(())
}

/// Reads a whole message, or returns `None` at the end of the connection.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    let mut body = Vec::new();
    read_body(reader, &message, |part| body.extend_from_slice(part))?;
    message.body = body;
    Ok(Some(message))
}

/// Writes an answer with a length.
pub fn write_answer(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    stream.write_all(format!("{text}\r\n{body}").as_bytes())
}

/// Opens a connection, and gives reads a time limit.
pub fn connect(address: SocketAddr, limit: Duration) -> Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    Ok(stream)
}

/// Fetches a path over a connection of its own.
pub fn get(address: SocketAddr, path: &str) -> Result<Message> {
    let mut stream = connect(address, Duration::from_secs(1))?;
    let head = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(head.as_bytes())?;
    read_message(&mut BufReader::new(stream))?.ok_or_else(|| broken("no answer"))
}
