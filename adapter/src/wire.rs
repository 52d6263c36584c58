//! The wire's records, read from and written to bytes.

use marllink::{
    Action, AttemptNo, CellId, ClassId, Event, ListKind, NewRequest, NodeId, Outcome, RequestId, ServerEntry,
    ServerId, ServerState, TenantId, TimerToken, ZoneId,
};
use std::fmt;

/// What is wrong with the input, and where it stands in its frame.
#[derive(Debug, PartialEq)]
pub struct Malformed {
    /// Bytes from the start of the frame, its length field included.
    pub offset: usize,
    /// What is wrong.
    pub what: String,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "byte {} of the frame: {}", self.offset, self.what)
    }
}

/// One record of a batch.
#[derive(Debug, PartialEq)]
pub enum Record<'a> {
    /// An instance starts, with its seed and its settings.
    Attach(u64, &'a [u8]),
    /// An instance has been killed.
    Detach,
    /// Something for its balancer.
    Event(Event),
    /// Well formed, but of no meaning to a balancer.
    Nothing,
}

/// Reads little-endian fields one after another.
pub struct Reader<'a> {
    frame: &'a [u8],
    at: usize,
}

impl<'a> Reader<'a> {
    /// Reads `frame` from byte `at` on.
    pub fn new(frame: &'a [u8], at: usize) -> Self {
        Self { frame, at }
    }

    /// True at the end of the frame.
    pub fn done(&self) -> bool {
        self.at == self.frame.len()
    }

    /// An error at the place reached.
    pub fn error(&self, what: impl Into<String>) -> Malformed {
        Malformed { offset: self.at, what: what.into() }
    }

    fn bytes(&mut self, n: usize, what: &str) -> Result<&'a [u8], Malformed> {
        let left = self.frame.len() - self.at;
        if n > left {
            return Err(self.error(format!("{what} takes {n} bytes, {left} are left")));
        }
        self.at += n;
        Ok(&self.frame[self.at - n..self.at])
    }

    fn array<const N: usize>(&mut self, what: &str) -> Result<[u8; N], Malformed> {
        let mut array = [0; N];
        array.copy_from_slice(self.bytes(N, what)?);
        Ok(array)
    }

    fn u8(&mut self, what: &str) -> Result<u8, Malformed> {
        Ok(self.array::<1>(what)?[0])
    }

    fn u16(&mut self, what: &str) -> Result<u16, Malformed> {
        self.array(what).map(u16::from_le_bytes)
    }

    fn u32(&mut self, what: &str) -> Result<u32, Malformed> {
        self.array(what).map(u32::from_le_bytes)
    }

    fn u64(&mut self, what: &str) -> Result<u64, Malformed> {
        self.array(what).map(u64::from_le_bytes)
    }

    fn f32(&mut self, what: &str) -> Result<f32, Malformed> {
        self.array(what).map(f32::from_le_bytes)
    }

    /// Reads a time or another number of eight bytes.
    pub fn f64(&mut self, what: &str) -> Result<f64, Malformed> {
        self.array(what).map(f64::from_le_bytes)
    }

    fn server(&mut self) -> Result<ServerId, Malformed> {
        let mut id = [0; 8];
        id[..6].copy_from_slice(self.bytes(6, "a host")?);
        Ok(ServerId(u64::from_le_bytes(id)))
    }

    fn request(&mut self) -> Result<RequestId, Malformed> {
        self.u32("a request id").map(|id| RequestId(id.into()))
    }

    fn attempt(&mut self) -> Result<AttemptNo, Malformed> {
        self.u8("an attempt").map(AttemptNo)
    }

    fn report(&mut self) -> Result<Vec<f32>, Malformed> {
        let n = self.u8("a report's length")?;
        (0..n).map(|_| self.f32("a report's value")).collect()
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
        let at = self.at;
        Ok(match self.u16("a verdict")? {
            0 => Outcome::Error,
            1 => Outcome::Ok,
            2 => Outcome::Full,
            3 => Outcome::TimedOut,
            4 => Outcome::ConnectFailed,
            5 => Outcome::Reset,
            6 => Outcome::Cancelled,
            7 => Outcome::NotSent,
            n => return Err(Malformed { offset: at, what: format!("{n} is no verdict") }),
        })
    }

    fn list(&mut self) -> Result<Event, Malformed> {
        self.u64("a list version")?;
        let at = self.at;
        let kind = match self.u8("a list kind")? {
            0 => ListKind::Delta,
            1 => ListKind::Full,
            2 => ListKind::Cached,
            3 => ListKind::Failed,
            n => return Err(Malformed { offset: at, what: format!("{n} is no list kind") }),
        };
        let n = self.u32("a list's length")? as usize;
        if n > (self.frame.len() - self.at) / 23 {
            return Err(self.error(format!("a list of {n} entries is longer than its frame")));
        }
        let entries = (0..n).map(|_| self.entry()).collect::<Result<_, _>>()?;
        Ok(Event::ServerList { kind, entries })
    }

    fn entry(&mut self) -> Result<ServerEntry, Malformed> {
        let server = self.server()?;
        let zone = ZoneId(self.u8("a zone")?);
        self.u8("a machine kind")?;
        let cell = CellId(self.u16("a cell")?);
        let at = self.at;
        let state = match self.u8("a state")? {
            0 => ServerState::Gone,
            1 => ServerState::Ready,
            2 => ServerState::Draining,
            n => return Err(Malformed { offset: at, what: format!("{n} is no state") }),
        };
        let weight = f64::from(self.f32("a weight")?);
        let started_at = self.f64("a start time")?;
        Ok(ServerEntry { server, zone, cell, state, weight, started_at })
    }

    /// Reads one record: the instance it is for, and what it says.
    pub fn record(&mut self) -> Result<(u16, Record<'a>), Malformed> {
        let at = self.at;
        let code = self.u8("a code")?;
        if !(16..=27).contains(&code) {
            return Err(Malformed { offset: at, what: format!("{code} is no event code") });
        }
        let instance = self.u16("an instance")?;
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
                let kind = self.u8("a note's kind")?;
                let value = f64::from(self.f32("a note's value")?);
                match kind {
                    1 => Event::ConnectionLoad { request, load: value },
                    2 => Event::MessageDelay { request, delay_ms: value },
                    // A kind that may come later.
                    _ => return Ok((instance, Record::Nothing)),
                }
            }
            19 => Event::Timer(TimerToken(self.u32("a timer")?)),
            20 => {
                let request = self.new_request()?;
                Event::OpenConnection { request, server: self.server()? }
            }
            21 => return Ok((instance, Record::Detach)),
            22 => Event::ClientGone(self.request()?),
            23 => {
                let from = NodeId(self.u16("a sender")?);
                let n = self.u16("a message's length")?;
                let payload = self.bytes(n.into(), "a message")?.to_vec();
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
                let n = self.u32("the settings' length")?;
                let settings = self.bytes(n as usize, "the settings")?;
                return Ok((instance, Record::Attach(seed, settings)));
            }
        };
        Ok((instance, Record::Event(event)))
    }
}

fn head(to: &mut Vec<u8>, code: u8, instance: u16) {
    to.push(code);
    to.extend_from_slice(&instance.to_le_bytes());
}

fn put_server(to: &mut Vec<u8>, server: ServerId) {
    to.extend_from_slice(&server.0.to_le_bytes()[..6]);
}

fn put_request(to: &mut Vec<u8>, request: RequestId) {
    to.extend_from_slice(&(request.0 as u32).to_le_bytes());
}

fn put_bytes(to: &mut Vec<u8>, bytes: &[u8], most: usize) {
    let bytes = &bytes[..bytes.len().min(most)];
    to.extend_from_slice(&(bytes.len() as u16).to_le_bytes());
    to.extend_from_slice(bytes);
}

/// Appends an action of an instance to a reply.
pub fn put_action(to: &mut Vec<u8>, instance: u16, action: &Action) {
    match action {
        Action::Log(text) => {
            head(to, 16, instance);
            put_bytes(to, text.as_bytes(), usize::from(u16::MAX));
        }
        Action::Probe(server) => {
            head(to, 18, instance);
            put_server(to, *server);
        }
        Action::SendToPeer { to: peer, payload } => {
            head(to, 19, instance);
            to.extend_from_slice(&peer.map_or(u16::MAX, |p| p.0).to_le_bytes());
            put_bytes(to, payload, 256);
        }
        Action::FetchList => head(to, 20, instance),
        Action::Cancel { request, attempt } => {
            head(to, 22, instance);
            put_request(to, *request);
            to.push(attempt.0);
        }
        Action::Fail(request) => {
            head(to, 23, instance);
            put_request(to, *request);
        }
        Action::Reject { request, retry_after_ms } => {
            head(to, 24, instance);
            put_request(to, *request);
            to.extend_from_slice(&retry_after_ms.to_le_bytes());
        }
        Action::Send { request, server, timeout_ms } => {
            head(to, 25, instance);
            put_request(to, *request);
            to.extend_from_slice(&timeout_ms.to_le_bytes());
            put_server(to, *server);
        }
        Action::WatchList => {
            head(to, 26, instance);
            to.push(1);
        }
        Action::Move(request) => {
            head(to, 27, instance);
            put_request(to, *request);
        }
        Action::SetTimer { delay_ms, token } => {
            head(to, 28, instance);
            to.extend_from_slice(&delay_ms.to_le_bytes());
            to.extend_from_slice(&token.0.to_le_bytes());
        }
    }
}

/// Appends word that an instance's decision code is broken.
pub fn put_crash(to: &mut Vec<u8>, instance: u16, text: &str) {
    head(to, 17, instance);
    put_bytes(to, text.as_bytes(), usize::from(u16::MAX));
}
