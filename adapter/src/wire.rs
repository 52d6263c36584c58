//! Decoding and encoding of the records of the simulator's wire format.

use marllink::{
    Action, AttemptNo, CellId, ClassId, Event, ListKind, NewRequest, NodeId, Outcome, RequestId, ServerEntry,
    ServerId, ServerState, TenantId, TimerToken, ZoneId,
};
use std::fmt;

/// An error in the input, with its position in the frame.
#[derive(Debug, PartialEq)]
pub struct Malformed {
    /// Bytes from the start of the frame, including its length field.
    pub offset: usize,
    /// Description of the error.
    pub message: String,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "byte {} of the frame: {}", self.offset, self.message)
    }
}

/// One record of a batch.
#[derive(Debug, PartialEq)]
pub enum Record<'a> {
    /// An instance starts, with this seed and these settings.
    Attach(u64, &'a [u8]),
    /// An instance has been killed.
    Detach,
    /// An event for its balancer.
    Event(Event),
    /// Well-formed, but not relevant to a balancer.
    Ignored,
}

/// Reads little-endian fields sequentially.
pub struct Reader<'a> {
    frame: &'a [u8],
    position: usize,
}

impl<'a> Reader<'a> {
    /// Creates a reader that starts at byte `position` of `frame`.
    pub fn new(frame: &'a [u8], position: usize) -> Self {
        Self { frame, position }
    }

    /// Returns true at the end of the frame.
    pub fn done(&self) -> bool {
        self.position == self.frame.len()
    }

    /// Returns an error at the current position.
    pub fn error(&self, message: impl Into<String>) -> Malformed {
        Malformed { offset: self.position, message: message.into() }
    }

    fn bytes(&mut self, count: usize, field: &str) -> Result<&'a [u8], Malformed> {
        let remaining = self.frame.len() - self.position;
        if count > remaining {
            return Err(self.error(format!("{field} needs {count} bytes, but only {remaining} remain")));
        }
        self.position += count;
        Ok(&self.frame[self.position - count..self.position])
    }

    fn array<const N: usize>(&mut self, field: &str) -> Result<[u8; N], Malformed> {
        let mut array = [0; N];
        array.copy_from_slice(self.bytes(N, field)?);
        Ok(array)
    }

    fn u8(&mut self, field: &str) -> Result<u8, Malformed> {
        Ok(self.array::<1>(field)?[0])
    }

    fn u16(&mut self, field: &str) -> Result<u16, Malformed> {
        self.array(field).map(u16::from_le_bytes)
    }

    fn u32(&mut self, field: &str) -> Result<u32, Malformed> {
        self.array(field).map(u32::from_le_bytes)
    }

    fn u64(&mut self, field: &str) -> Result<u64, Malformed> {
        self.array(field).map(u64::from_le_bytes)
    }

    fn f32(&mut self, field: &str) -> Result<f32, Malformed> {
        self.array(field).map(f32::from_le_bytes)
    }

    /// Reads a time or another 64-bit floating-point number.
    pub fn f64(&mut self, field: &str) -> Result<f64, Malformed> {
        self.array(field).map(f64::from_le_bytes)
    }

    fn server(&mut self) -> Result<ServerId, Malformed> {
        let mut id = [0; 8];
        id[..6].copy_from_slice(self.bytes(6, "a server id")?);
        Ok(ServerId(u64::from_le_bytes(id)))
    }

    fn request(&mut self) -> Result<RequestId, Malformed> {
        self.u32("a request id").map(|id| RequestId(id.into()))
    }

    fn attempt(&mut self) -> Result<AttemptNo, Malformed> {
        self.u8("an attempt number").map(AttemptNo)
    }

    fn report(&mut self) -> Result<Vec<f32>, Malformed> {
        let count = self.u8("a report's length")?;
        (0..count).map(|_| self.f32("a report's value")).collect()
    }

    fn new_request(&mut self) -> Result<NewRequest, Malformed> {
        let request = self.request()?;
        let class = ClassId(self.u16("a class")?);
        let tenant = TenantId(self.u16("a tenant")?);
        self.u64("a key")?;
        let time_left_ms = self.f64("a time budget")?;
        self.f64("a size hint")?;
        let group = self.u64("a group")?;
        let flags = self.u8("flags")?;
        Ok(NewRequest { request, class, tenant, time_left_ms, retry: flags & 2 != 0, group })
    }

    fn outcome(&mut self) -> Result<Outcome, Malformed> {
        let start = self.position;
        Ok(match self.u16("an outcome")? {
            0 => Outcome::Error,
            1 => Outcome::Ok,
            2 => Outcome::Full,
            3 => Outcome::TimedOut,
            4 => Outcome::ConnectFailed,
            5 => Outcome::Reset,
            6 => Outcome::Cancelled,
            7 => Outcome::NotSent,
            code => return Err(Malformed { offset: start, message: format!("unknown outcome code {code}") }),
        })
    }

    fn list(&mut self) -> Result<Event, Malformed> {
        self.u64("a list version")?;
        let start = self.position;
        let kind = match self.u8("a list kind")? {
            0 => ListKind::Delta,
            1 => ListKind::Full,
            2 => ListKind::Cached,
            3 => ListKind::Failed,
            code => return Err(Malformed { offset: start, message: format!("unknown list kind {code}") }),
        };
        let count = self.u32("a list's length")? as usize;
        if count > (self.frame.len() - self.position) / 23 {
            return Err(self.error(format!("a list of {count} entries does not fit in the frame")));
        }
        let entries = (0..count).map(|_| self.entry()).collect::<Result<_, _>>()?;
        Ok(Event::ServerList { kind, entries })
    }

    fn entry(&mut self) -> Result<ServerEntry, Malformed> {
        let server = self.server()?;
        let zone = ZoneId(self.u8("a zone")?);
        self.u8("a machine model")?;
        let cell = CellId(self.u16("a cell")?);
        let start = self.position;
        let state = match self.u8("a state")? {
            0 => ServerState::Gone,
            1 => ServerState::Ready,
            2 => ServerState::Draining,
            code => return Err(Malformed { offset: start, message: format!("unknown server state {code}") }),
        };
        let weight = f64::from(self.f32("a weight")?);
        let started_at = self.f64("a start time")?;
        Ok(ServerEntry { server, zone, cell, state, weight, started_at })
    }

    /// Reads one record. Returns its instance number and its content.
    pub fn record(&mut self) -> Result<(u16, Record<'a>), Malformed> {
        let start = self.position;
        let code = self.u8("an event code")?;
        if !(16..=27).contains(&code) {
            return Err(Malformed { offset: start, message: format!("unknown event code {code}") });
        }
        let instance = self.u16("an instance number")?;
        let event = match code {
            16 => {
                let server = self.server()?;
                let ok = self.outcome()? == Outcome::Ok;
                self.f64("a latency")?;
                Event::ProbeResult { server, ok, report: self.report()? }
            }
            17 => self.list()?,
            18 => {
                let request = self.request()?;
                self.attempt()?;
                self.server()?;
                let kind = self.u8("a connection update's kind")?;
                let value = f64::from(self.f32("a connection update's value")?);
                match kind {
                    1 => Event::ConnectionLoad { request, load: value },
                    2 => Event::MessageDelay { request, delay_ms: value },
                    // A kind that a future simulator may add.
                    _ => return Ok((instance, Record::Ignored)),
                }
            }
            19 => Event::Timer(TimerToken(self.u32("a timer token")?)),
            20 => {
                let request = self.new_request()?;
                Event::OpenConnection { request, server: self.server()? }
            }
            21 => return Ok((instance, Record::Detach)),
            22 => Event::ClientGone(self.request()?),
            23 => {
                let from = NodeId(self.u16("a sender")?);
                let length = self.u16("a message's length")?;
                let payload = self.bytes(length.into(), "a message")?.to_vec();
                Event::PeerMessage { from, payload }
            }
            24 => Event::Request(self.new_request()?),
            25 => {
                let (request, attempt) = (self.request()?, self.attempt()?);
                let latency_ms = self.f64("a latency")?;
                self.server()?;
                Event::Established { request, attempt, latency_ms }
            }
            26 => {
                let request = self.request()?;
                self.f64("a latency")?;
                let closed = self.u8("closed")? != 0;
                let outcome = self.outcome()?;
                let attempt = self.attempt()?;
                self.server()?;
                self.report()?;
                Event::AttemptEnded { request, attempt, outcome, closed }
            }
            _ => {
                let seed = self.u64("a seed")?;
                let length = self.u32("the settings' length")?;
                let settings = self.bytes(length as usize, "the settings")?;
                return Ok((instance, Record::Attach(seed, settings)));
            }
        };
        Ok((instance, Record::Event(event)))
    }
}

fn put_header(reply: &mut Vec<u8>, code: u8, instance: u16) {
    reply.push(code);
    reply.extend_from_slice(&instance.to_le_bytes());
}

fn put_server(reply: &mut Vec<u8>, server: ServerId) {
    reply.extend_from_slice(&server.0.to_le_bytes()[..6]);
}

fn put_request(reply: &mut Vec<u8>, request: RequestId) {
    reply.extend_from_slice(&(request.0 as u32).to_le_bytes());
}

fn put_bytes(reply: &mut Vec<u8>, bytes: &[u8], max_length: usize) {
    let bytes = &bytes[..bytes.len().min(max_length)];
    reply.extend_from_slice(&(bytes.len() as u16).to_le_bytes());
    reply.extend_from_slice(bytes);
}

/// Appends an action of an instance to a reply.
pub fn put_action(reply: &mut Vec<u8>, instance: u16, action: &Action) {
    match action {
        Action::Log(text) => {
            put_header(reply, 16, instance);
            put_bytes(reply, text.as_bytes(), usize::from(u16::MAX));
        }
        Action::Probe(server) => {
            put_header(reply, 18, instance);
            put_server(reply, *server);
        }
        Action::SendToPeer { to: peer, payload } => {
            put_header(reply, 19, instance);
            reply.extend_from_slice(&peer.map_or(u16::MAX, |p| p.0).to_le_bytes());
            put_bytes(reply, payload, 256);
        }
        Action::FetchList => put_header(reply, 20, instance),
        Action::Cancel { request, attempt } => {
            put_header(reply, 22, instance);
            put_request(reply, *request);
            reply.push(attempt.0);
        }
        Action::Fail(request) => {
            put_header(reply, 23, instance);
            put_request(reply, *request);
        }
        Action::Reject { request, retry_after_ms } => {
            put_header(reply, 24, instance);
            put_request(reply, *request);
            reply.extend_from_slice(&retry_after_ms.to_le_bytes());
        }
        Action::Send { request, server, timeout_ms } => {
            put_header(reply, 25, instance);
            put_request(reply, *request);
            reply.extend_from_slice(&timeout_ms.to_le_bytes());
            put_server(reply, *server);
        }
        Action::WatchList => {
            put_header(reply, 26, instance);
            reply.push(1);
        }
        Action::Move(request) => {
            put_header(reply, 27, instance);
            put_request(reply, *request);
        }
        Action::SetTimer { delay_ms, token } => {
            put_header(reply, 28, instance);
            reply.extend_from_slice(&delay_ms.to_le_bytes());
            reply.extend_from_slice(&token.0.to_le_bytes());
        }
    }
}

/// Appends a record that an instance's balancer panicked.
pub fn put_panic(reply: &mut Vec<u8>, instance: u16, text: &str) {
    put_header(reply, 17, instance);
    put_bytes(reply, text.as_bytes(), usize::from(u16::MAX));
}
