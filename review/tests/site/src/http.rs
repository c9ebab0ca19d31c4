//! The little HTTP/1.1 that the stand-ins need: blocking, one connection a thread.

use std::{
    collections::BTreeMap,
    io::{self, ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A request or a response as received.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    /// Headers; names in lower case, the last value of each.
    pub headers: BTreeMap<String, String>,
    /// The whole body.
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let mut words = self.start.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// Path and query.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

/// A connection with what was read of the next message.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        // Without it, the stand-ins would only be slower.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr, within: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, within)?))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Reads a message; `None` if the connection ended before its first byte.
    pub fn read(&mut self, is_response: bool) -> io::Result<Option<Message>> {
        let head_end = loop {
            if let Some(at) = find(&self.buffer, b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(ErrorKind::UnexpectedEof.into())
                };
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).into_owned();
        self.buffer.drain(..head_end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message {
            start: lines.next().unwrap_or_default().to_owned(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                let name = name.trim().to_ascii_lowercase();
                message.headers.insert(name, value.trim().to_owned());
            }
        }
        self.read_body(&mut message, is_response)?;
        Ok(Some(message))
    }

    fn read_body(&mut self, message: &mut Message, is_response: bool) -> io::Result<()> {
        if message.header("transfer-encoding").contains("chunked") {
            return self.read_chunks(message);
        }
        let length: Option<usize> = message.header("content-length").parse().ok();
        let length = match length {
            Some(length) => length,
            None if is_response => usize::MAX,
            None => 0,
        };
        while self.buffer.len() < length {
            match self.fill() {
                Ok(0) => break,
                Ok(_) => {}
                Err(error) if length == usize::MAX => return Err(error),
                Err(_) => break,
            }
        }
        message.is_whole = length == usize::MAX || self.buffer.len() >= length;
        let taken = length.min(self.buffer.len());
        message.body = self.buffer.drain(..taken).collect();
        Ok(())
    }

    fn read_chunks(&mut self, message: &mut Message) -> io::Result<()> {
        loop {
            let line_end = loop {
                if let Some(at) = find(&self.buffer, b"\r\n") {
                    break at;
                }
                if self.fill().unwrap_or(0) == 0 {
                    return Ok(());
                }
            };
            let size = String::from_utf8_lossy(&self.buffer[..line_end]).into_owned();
            let size = size.split(';').next().unwrap_or_default().trim().to_owned();
            let Ok(size) = usize::from_str_radix(&size, 16) else {
                return Err(ErrorKind::InvalidData.into());
            };
            while self.buffer.len() < line_end + 2 + size + 2 {
                if self.fill().unwrap_or(0) == 0 {
                    return Ok(());
                }
            }
            let data = &self.buffer[line_end + 2..line_end + 2 + size];
            message.body.extend_from_slice(data);
            self.buffer.drain(..line_end + 2 + size + 2);
            if size == 0 {
                message.is_whole = true;
                return Ok(());
            }
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// A response with a length; each header line ends with CRLF.
pub fn response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|part| part == pattern)
}
