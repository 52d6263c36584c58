//! A small world in virtual time: the real machines as balancers, between the emulator's form hosts and
//! drafters, with links that are slow, cut and late.
#![allow(missing_docs, dead_code, reason = "each test uses a part of it")]

use marllink::{RequestId, ServerId, ZoneId};
use marllink_emulator::checker::{Verdict, check};
use marllink_emulator::model::{
    ClientAction, Entry, HolderAction, InjectedBug, LeaseHolder, LeaseReplica, Note, SessionClient,
    SessionClientConfig,
};
use marllink_lease_protocol::{Ballot, Call, Field, Reply, SessionId, call, reply};
use marllink_sessions::{Command, Event, KeyRing, ListedServer, SessionRequest, Sessions, Settings};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap, HashSet};

pub const SECRET: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
const UNIX: f64 = 1_700_000_000_000.0;
const HOST_TICK: f64 = 10.0;

pub fn keys(id: u32) -> KeyRing {
    KeyRing::parse(format!(r#"{{"keys":[{{"id":{id},"secret":"{SECRET}"}}]}}"#).as_bytes(), UNIX)
        .expect("sound")
}

/// A process or a drafter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Place {
    Balancer(usize),
    Host(usize),
    Drafter(usize),
}

/// What arrives somewhere.
#[derive(Clone, Debug)]
enum What {
    // At a balancer.
    ClientOpens(usize, u64, String),
    ClientLine(u64, String),
    ClientEnds(u64),
    HostLine(u64, String),
    HostEnds(u64),
    HostRefused(u64),
    Linked(usize, u64),
    LinkEnds(usize),
    Heard(usize, Reply),
    Timer,
    Servers,
    HoldOver(u64, RequestId),
    // At a form host.
    Opened(u64, usize, SessionId, Ballot),
    Line(u64, String),
    Ended(u64),
    LinkAsked(usize, u64),
    Called(usize, u64, Call),
    Tick,
    // At a drafter.
    Answer(u64, String),
    Cut(u64, &'static str),
    Wake,
    // At the world.
    Fault(Fault),
}

#[derive(Clone, Debug)]
pub enum Fault {
    Kill(Place, f64),
    Stall(Place, f64),
    Split(Place, Place, f64),
    Keys(u32),
}

struct Balancer {
    sessions: Sessions,
    life: u64,
    up: bool,
    next: u64,
    requests: HashMap<RequestId, Request>,
    by_client: HashMap<u64, RequestId>,
    by_host: HashMap<u64, RequestId>,
}

#[derive(Debug)]
struct Request {
    drafter: usize,
    client: u64,
    host: Option<(u64, usize)>,
    standing: bool,
    over: bool,
    last_word: String,
    tried: Vec<usize>,
}

struct Host {
    keeper: LeaseReplica,
    holder: LeaseHolder,
    life: u64,
    up: bool,
    rate: f64,
    conns: HashMap<u64, usize>,
}

pub struct World {
    pub now: f64,
    seq: u64,
    queue: BTreeMap<(u64, u64), (Place, u64, What)>,
    rng: SmallRng,
    balancers: Vec<Balancer>,
    hosts: Vec<Host>,
    pub drafters: Vec<SessionClient>,
    client_of: Vec<Option<(usize, u64)>>,
    pub entries: Vec<Entry>,
    next_conn: u64,
    stalled: HashMap<Place, f64>,
    splits: Vec<(Place, Place, f64)>,
    fifo: HashMap<(Place, Place, u64), f64>,
    cuts: Vec<(usize, f64, f64)>,
    pub settings: Settings,
    pub latency: f64,
    plant: Option<InjectedBug>,
    key: u32,
    first_twin: usize,
}

pub fn habits(balancers: usize) -> SessionClientConfig {
    SessionClientConfig {
        save_interval_ms: 60.0,
        field_count: 8,
        value_bytes: 20,
        max_unconfirmed: 4,
        min_reconnect_delay_ms: 170.0,
        max_reconnect_delay_ms: 1_700.0,
        balancer_count: balancers,
        answer_timeout_ms: 4_800.0,
        resumes_after_taken: true,
    }
}

impl World {
    pub fn new(
        seed: u64,
        balancers: usize,
        hosts: usize,
        drafters: usize,
        settings: Settings,
        plant: Option<InjectedBug>,
    ) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let rate = |rng: &mut SmallRng| 1.0 + rng.random_range(-0.009..0.009);
        let hosts: Vec<_> = (0..hosts)
            .map(|_| Host {
                keeper: LeaseReplica::new(100_000, plant),
                holder: LeaseHolder::new(plant),
                life: 1,
                up: true,
                rate: rate(&mut rng),
                conns: HashMap::new(),
            })
            .collect();
        let mut world = Self {
            now: 1_000.0,
            seq: 0,
            queue: BTreeMap::new(),
            balancers: Vec::new(),
            hosts,
            drafters: Vec::new(),
            client_of: vec![None; drafters],
            entries: Vec::new(),
            next_conn: 1,
            stalled: HashMap::new(),
            splits: Vec::new(),
            fifo: HashMap::new(),
            cuts: Vec::new(),
            settings,
            latency: 1.0,
            plant,
            key: 1,
            first_twin: drafters,
            rng,
        };
        for b in 0..balancers {
            let sessions = world.machine();
            let (requests, by_client, by_host) = Default::default();
            world.balancers.push(Balancer {
                sessions,
                life: 1,
                up: true,
                next: 1,
                requests,
                by_client,
                by_host,
            });
            world.at(0.0, Place::Balancer(b), What::Servers);
        }
        for h in 0..world.hosts.len() {
            world.at(HOST_TICK, Place::Host(h), What::Tick);
        }
        for d in 0..drafters {
            let at = world.now + 200.0 + world.rng.random_range(0.0..500.0);
            world.drafters.push(SessionClient::new(d as u64 + 1, habits(balancers), seed, at));
            world.at(at - world.now, Place::Drafter(d), What::Wake);
        }
        world
    }

    fn machine(&mut self) -> Sessions {
        let mut seed = [0; 32];
        self.rng.fill(&mut seed);
        Sessions::new(self.settings.clone(), keys(self.key), seed, self.now, UNIX + self.now)
    }

    pub fn fault(&mut self, at: f64, fault: Fault) {
        self.at(at, Place::Drafter(usize::MAX), What::Fault(fault));
    }

    fn life(&self, place: Place) -> u64 {
        match place {
            Place::Balancer(b) => self.balancers[b].life,
            Place::Host(h) => self.hosts[h].life,
            Place::Drafter(_) => 0,
        }
    }

    /// Happens at a place in so long, if it lives the same life then.
    fn at(&mut self, after: f64, place: Place, what: What) {
        let life = self.life(place);
        self.seq += 1;
        let at = ((self.now + after.max(0.0)) * 1_000.0).ceil() as u64;
        self.queue.insert((at, self.seq), (place, life, what));
    }

    /// Goes from one place to another, in order on each channel, and late if they are split.
    fn send(&mut self, from: Place, to: Place, channel: u64, what: What) {
        let mut at = self.now + self.latency * self.rng.random_range(0.5..1.5);
        let apart = |(a, b, _): &&(Place, Place, f64)| (*a, *b) == (from, to) || (*b, *a) == (from, to);
        if let Some((.., until)) = self.splits.iter().filter(|(.., until)| *until > self.now).find(apart) {
            at = at.max(until + self.latency);
        }
        let last = self.fifo.entry((from, to, channel)).or_insert(0.0);
        at = at.max(*last + 0.002);
        *last = at;
        self.at(at - self.now, to, what);
    }

    fn apart(&self, a: Place, b: Place) -> bool {
        self.splits
            .iter()
            .any(|(x, y, until)| *until > self.now && ((*x, *y) == (a, b) || (*y, *x) == (a, b)))
    }

    pub fn run_for(&mut self, ms: f64) {
        let until = self.now + ms;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 as f64 / 1_000.0 > until {
                break;
            }
            let ((at, _), (place, life, what)) = entry.remove_entry();
            self.now = self.now.max(at as f64 / 1_000.0);
            if let Some(woken) = self.stalled.get(&place).copied().filter(|until| *until > self.now) {
                let after = woken - self.now;
                if life == self.life(place) {
                    self.at(after, place, what);
                }
                continue;
            }
            if life != self.life(place) {
                continue;
            }
            match place {
                Place::Balancer(b) => self.at_balancer(b, what),
                Place::Host(h) => self.at_host(h, what),
                Place::Drafter(d) => self.at_drafter(d, what),
            }
        }
        self.now = until;
    }

    /// Has all that was sent be confirmed, and judges.
    pub fn finish(&mut self) -> Verdict {
        self.drafters.iter_mut().for_each(SessionClient::stop_saving);
        for _ in 0..60 {
            self.run_for(500.0);
            if self.drafters[..self.first_twin].iter().all(SessionClient::is_settled) {
                break;
            }
        }
        let unsettled: Vec<_> = self.drafters[..self.first_twin]
            .iter()
            .filter(|d| !d.is_settled())
            .map(SessionClient::name)
            .collect();
        assert!(unsettled.is_empty(), "{unsettled:?} never got what they had confirmed");
        self.judge()
    }

    pub fn judge(&self) -> Verdict {
        let cuts = self.cuts.clone();
        check(&self.entries, |b, from, to| cuts.iter().any(|(c, f, t)| *c == b && *f <= to && *t >= from))
    }

    fn write(&mut self, by: String, note: Note) {
        self.entries.push(Entry { at: self.now, by, note });
    }

    // ---- Faults ---------------------------------------------------------------------------------

    fn on_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(place, for_ms) => self.kill(place, for_ms),
            Fault::Stall(place, for_ms) => {
                self.stalled.insert(place, self.now + for_ms);
                if let Place::Balancer(b) = place {
                    self.cuts.push((b, self.now, self.now + for_ms));
                }
            }
            Fault::Split(a, b, for_ms) => self.splits.push((a, b, self.now + for_ms)),
            Fault::Keys(id) => {
                self.key = id;
                let both = format!(
                    r#"{{"keys":[{{"id":1,"secret":"{SECRET}"}},{{"id":{id},"seals_from":1,"secret":"{SECRET}"}}]}}"#
                );
                for b in 0..self.balancers.len() {
                    let ring = KeyRing::parse(both.as_bytes(), UNIX).expect("sound");
                    self.feed(b, Event::Keys(ring));
                }
            }
        }
    }

    fn kill(&mut self, place: Place, for_ms: f64) {
        match place {
            Place::Host(h) => {
                let mut says = Vec::new();
                let local = self.now * self.hosts[h].rate;
                self.hosts[h].holder.kill(local, &mut says);
                self.hosts[h].life += 1;
                self.hosts[h].up = false;
                self.hosts[h].keeper = LeaseReplica::new(100_000, self.plant);
                let conns = std::mem::take(&mut self.hosts[h].conns);
                let mut conns: Vec<_> = conns.into_iter().collect();
                conns.sort_unstable();
                for (conn, b) in conns {
                    self.send(place, Place::Balancer(b), conn, What::HostEnds(conn));
                }
                for b in 0..self.balancers.len() {
                    self.send(place, Place::Balancer(b), 0, What::LinkEnds(h));
                }
                self.says(h, says);
                let back = self.now + for_ms;
                self.stalled.remove(&place);
                self.at(back - self.now, place, What::Tick);
                // The list tells of it a second later.
                for b in 0..self.balancers.len() {
                    self.at(1_000.0, Place::Balancer(b), What::Servers);
                    self.at(for_ms + 1_000.0, Place::Balancer(b), What::Servers);
                }
            }
            Place::Balancer(b) => {
                self.cuts.push((b, self.now, self.now + for_ms));
                let requests = std::mem::take(&mut self.balancers[b].requests);
                self.balancers[b].life += 1;
                self.balancers[b].up = false;
                self.balancers[b].by_client.clear();
                self.balancers[b].by_host.clear();
                let mut requests: Vec<_> = requests.into_iter().collect();
                requests.sort_unstable_by_key(|(id, _)| *id);
                for (_, request) in requests {
                    self.send(
                        place,
                        Place::Drafter(request.drafter),
                        request.client,
                        What::Cut(request.client, "reset"),
                    );
                    if let Some((conn, h)) = request.host {
                        self.send(place, Place::Host(h), conn, What::Ended(conn));
                    }
                }
                self.at(for_ms, place, What::Servers);
            }
            Place::Drafter(_) => {}
        }
    }

    // ---- Balancers --------------------------------------------------------------------------------

    fn servers(&self) -> Vec<ListedServer> {
        (0..self.hosts.len())
            .filter(|h| self.hosts[*h].up)
            .map(|h| ListedServer {
                server: ServerId(h as u64 + 1),
                zone: ZoneId((h % 2) as u8),
                ready: true,
            })
            .collect()
    }

    fn feed(&mut self, b: usize, event: Event) {
        let mut commands = Vec::new();
        let now = self.now;
        self.balancers[b].sessions.handle(now, event, &mut commands);
        for command in commands {
            self.carry_out(b, command);
        }
    }

    fn at_balancer(&mut self, b: usize, what: What) {
        let here = Place::Balancer(b);
        if !self.balancers[b].up && matches!(what, What::Servers) {
            self.balancers[b].up = true;
            self.balancers[b].sessions = self.machine();
        }
        match what {
            What::Servers => {
                let servers = self.servers();
                self.feed(b, Event::Servers(servers));
            }
            What::Timer => self.feed(b, Event::Timer),
            What::Linked(h, life) => {
                self.feed(b, Event::LinkUp { server: ServerId(h as u64 + 1), incarnation: life })
            }
            What::LinkEnds(h) => self.feed(b, Event::LinkDown { server: ServerId(h as u64 + 1) }),
            What::Heard(h, reply) => {
                self.feed(b, Event::ReplyReceived { server: ServerId(h as u64 + 1), reply })
            }
            What::ClientOpens(drafter, client, line) => {
                let request = RequestId(self.balancers[b].next);
                self.balancers[b].next += 1;
                let tried = Vec::new();
                let (host, last_word) = (None, String::new());
                let entry = Request { drafter, client, host, standing: false, over: false, last_word, tried };
                self.balancers[b].requests.insert(request, entry);
                self.balancers[b].by_client.insert(client, request);
                let token = line.rsplit_once("s=").expect("it asks for a session").1.to_owned();
                let session_request = if token == "new" {
                    SessionRequest::New
                } else {
                    SessionRequest::Resume(token.into_bytes())
                };
                self.feed(b, Event::SessionRequested { request, session_request, wait_ms: 4_800.0 });
            }
            What::ClientLine(client, line) => {
                let Some(request) = self.balancers[b].by_client.get(&client).copied() else { return };
                let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
                match word {
                    "SAVE" => {
                        let (n, field) = rest.split_once(' ').expect("a number");
                        let (name, value) = field.split_once('=').expect("a field");
                        let (name, value) = (name.to_owned(), value.as_bytes().to_vec());
                        let field = Field { name, n: n.parse().expect("a number"), value };
                        self.feed(b, Event::SaveReceived { request, field });
                    }
                    "HAVE" => self.feed(b, Event::TokenConfirmed { request }),
                    _ => {}
                }
            }
            What::ClientEnds(client) => {
                if let Some(request) = self.balancers[b].by_client.get(&client).copied() {
                    self.close(b, request);
                }
            }
            What::HostLine(conn, line) => self.host_line(b, conn, &line),
            What::HostEnds(conn) | What::HostRefused(conn) => self.host_ended(b, conn),
            What::HoldOver(conn, request) => {
                let until = self.balancers[b].sessions.hold_until(request);
                if self.balancers[b].by_host.contains_key(&conn) {
                    if until > self.now {
                        self.at(until - self.now + 0.1, here, What::HoldOver(conn, request));
                    } else {
                        self.host_ended(b, conn);
                    }
                }
            }
            _ => {}
        }
    }

    fn host_line(&mut self, b: usize, conn: u64, line: &str) {
        let Some(request) = self.balancers[b].by_host.get(&conn).copied() else { return };
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        let leased = self.balancers[b].sessions.has_lease(request);
        let Some(entry) = self.balancers[b].requests.get_mut(&request) else { return };
        let (drafter, client, over) = (entry.drafter, entry.client, entry.over);
        entry.last_word = word.into();
        let to_client = match word {
            "RENEW" => {
                self.feed(b, Event::LeaseRequested { request, k: rest.parse().expect("a number") });
                false
            }
            "UP" => {
                if leased && !over {
                    entry.standing = true;
                    self.client(b, request, line);
                    self.feed(b, Event::AttemptEstablished { request });
                }
                false
            }
            "SAVED" => {
                self.feed(b, Event::SavesApplied { request, n: rest.parse().expect("a number") });
                true
            }
            "BUSY" | "ERR" => false,
            _ => true,
        };
        if to_client && !over {
            self.send(Place::Balancer(b), Place::Drafter(drafter), client, What::Answer(client, line.into()));
        }
    }

    fn client(&mut self, b: usize, request: RequestId, line: &str) {
        let Some(entry) = self.balancers[b].requests.get(&request) else { return };
        let (drafter, client) = (entry.drafter, entry.client);
        self.send(Place::Balancer(b), Place::Drafter(drafter), client, What::Answer(client, line.into()));
    }

    /// The attempt is over, and its host holds nothing any more.
    fn host_ended(&mut self, b: usize, conn: u64) {
        let Some(request) = self.balancers[b].by_host.remove(&conn) else { return };
        let Some(entry) = self.balancers[b].requests.get_mut(&request) else { return };
        let host = entry.host.take();
        let (standing, over, bye) = (entry.standing, entry.over, entry.last_word == "BYE");
        if let Some((conn, h)) = host {
            self.send(Place::Balancer(b), Place::Host(h), conn, What::Ended(conn));
        }
        self.feed(b, Event::AttemptEnded { request, session_over: bye });
        if standing || over {
            self.finish_request(b, request);
        } else {
            self.attempt(b, request);
        }
    }

    /// The client has had its last line: it is cut off, and the request is over.
    fn finish_request(&mut self, b: usize, request: RequestId) {
        let Some(entry) = self.balancers[b].requests.get_mut(&request) else { return };
        if !std::mem::replace(&mut entry.over, true) {
            let (drafter, client) = (entry.drafter, entry.client);
            self.send(Place::Balancer(b), Place::Drafter(drafter), client, What::Cut(client, "closed"));
            self.balancers[b].by_client.remove(&client);
            self.feed(b, Event::RequestClosed { request });
        }
        let Some(entry) = self.balancers[b].requests.get(&request) else { return };
        if entry.host.is_none() {
            self.balancers[b].requests.remove(&request);
        }
    }

    /// The request is over; its attempt ends when its host does so, or its lease.
    fn close(&mut self, b: usize, request: RequestId) {
        let host = self.balancers[b].requests.get(&request).and_then(|e| e.host);
        self.finish_request(b, request);
        if let Some((conn, h)) = host {
            self.send(Place::Balancer(b), Place::Host(h), conn, What::Ended(conn));
            self.at(0.0, Place::Balancer(b), What::HoldOver(conn, request));
        }
    }

    fn attempt(&mut self, b: usize, request: RequestId) {
        let up: Vec<_> = self.servers().iter().map(|l| l.server.0 as usize - 1).collect();
        let Some(entry) = self.balancers[b].requests.get_mut(&request) else { return };
        let left: Vec<_> = up.into_iter().filter(|h| !entry.tried.contains(h)).collect();
        if entry.over || entry.tried.len() >= 5 || left.is_empty() {
            self.client(b, request, "BUSY 300");
            self.close(b, request);
            return;
        }
        let h = left[self.rng.random_range(0..left.len())];
        let conn = self.next_conn;
        self.next_conn += 1;
        entry.tried.push(h);
        entry.host = Some((conn, h));
        self.balancers[b].by_host.insert(conn, request);
        self.feed(b, Event::AttemptStarted { request, server: ServerId(h as u64 + 1) });
        let Some((session, ballot)) = self.balancers[b].sessions.session_ballot(request) else { return };
        self.send(Place::Balancer(b), Place::Host(h), conn, What::Opened(conn, b, session, ballot));
        // One that does not stand in time is given up.
        self.at(2_400.0, Place::Balancer(b), What::HoldOver(conn, request));
        if self.apart(Place::Balancer(b), Place::Host(h)) {
            self.at(200.0, Place::Balancer(b), What::HostRefused(conn));
        }
    }

    fn carry_out(&mut self, b: usize, command: Command) {
        let here = Place::Balancer(b);
        match command {
            Command::OpenLink(server) => {
                let h = server.0 as usize - 1;
                if self.apart(here, Place::Host(h)) {
                    self.at(500.0, here, What::LinkEnds(h));
                } else if self.hosts[h].up {
                    let life = self.balancers[b].life;
                    self.send(here, Place::Host(h), 0, What::LinkAsked(b, life));
                } else {
                    self.at(1.0, here, What::LinkEnds(h));
                }
            }
            Command::CloseLink(server) => self.at(0.0, here, What::LinkEnds(server.0 as usize - 1)),
            Command::Call { server, call } => {
                let owner = self.balancers[b].sessions.owner();
                let h = server.0 as usize - 1;
                self.send(here, Place::Host(h), 0, What::Called(b, owner, call));
            }
            Command::Proceed(request) => self.attempt(b, request),
            Command::ReplyBusy { request, retry_after_ms } => {
                self.client(b, request, &format!("BUSY {}", retry_after_ms.ceil()));
                self.close(b, request);
            }
            Command::ReplyError { request, .. } => {
                self.client(b, request, "ERR");
                self.close(b, request);
            }
            Command::SendToServer { request, lines } => {
                let Some((conn, h)) = self.balancers[b].requests.get(&request).and_then(|e| e.host) else {
                    return;
                };
                for line in String::from_utf8(lines).expect("text").lines() {
                    self.send(here, Place::Host(h), conn, What::Line(conn, line.into()));
                }
            }
            Command::SendToClient { request, lines } => {
                for line in String::from_utf8(lines).expect("text").lines() {
                    self.client(b, request, line);
                }
            }
            Command::Move(request) => {
                self.client(b, request, "MOVE");
                self.close(b, request);
            }
            Command::Taken(request) => {
                self.client(b, request, "TAKEN");
                self.close(b, request);
            }
            Command::SetTimer(ms) => self.at(ms + 0.01, here, What::Timer),
            Command::Log(_) => {}
        }
    }

    // ---- Form hosts -------------------------------------------------------------------------------

    fn at_host(&mut self, h: usize, what: What) {
        let here = Place::Host(h);
        let now = self.now * self.hosts[h].rate;
        let mut says = Vec::new();
        if !self.hosts[h].up {
            match what {
                What::Tick => {
                    self.hosts[h].up = true;
                    self.hosts[h].life += 1;
                    self.at(HOST_TICK, here, What::Tick);
                }
                What::Opened(conn, b, ..) => {
                    self.send(here, Place::Balancer(b), conn, What::HostRefused(conn))
                }
                What::LinkAsked(b, _) => self.send(here, Place::Balancer(b), 0, What::LinkEnds(h)),
                _ => {}
            }
            return;
        }
        match what {
            What::Tick => {
                self.hosts[h].holder.tick(now, &mut says);
                self.at(HOST_TICK, here, What::Tick);
            }
            What::Opened(conn, b, session, ballot) => {
                self.hosts[h].conns.insert(conn, b);
                self.hosts[h].holder.open(now, conn, session, ballot, &mut says);
            }
            What::Line(conn, line) => _ = self.hosts[h].holder.handle_line(now, conn, &line, &mut says),
            What::Ended(conn) => {
                self.hosts[h].holder.handle_close(now, conn, &mut says);
                if let Some(b) = self.hosts[h].conns.remove(&conn) {
                    self.send(here, Place::Balancer(b), conn, What::HostEnds(conn));
                }
            }
            What::LinkAsked(b, _) => {
                let life = self.hosts[h].life;
                self.send(here, Place::Balancer(b), 0, What::Linked(h, life));
            }
            What::Called(b, owner, call) => {
                if let Some(call::Body::LetGo(ask)) = &call.body {
                    self.hosts[h].holder.let_go(now, ask.session, ask.ballot, &mut says);
                    let reply = Reply::new(reply::Body::LetGo(*ask));
                    self.send(here, Place::Balancer(b), 0, What::Heard(h, reply));
                } else if let Some(reply) = self.hosts[h].keeper.handle(now, owner, &call) {
                    self.send(here, Place::Balancer(b), 0, What::Heard(h, reply));
                }
            }
            _ => {}
        }
        self.says(h, says);
    }

    fn says(&mut self, h: usize, says: Vec<HolderAction>) {
        let here = Place::Host(h);
        for say in says {
            match say {
                HolderAction::SendLine(conn, line) => {
                    if let Some(b) = self.hosts[h].conns.get(&conn).copied() {
                        self.send(here, Place::Balancer(b), conn, What::HostLine(conn, line));
                    }
                }
                HolderAction::Close(conn) => {
                    if let Some(b) = self.hosts[h].conns.remove(&conn) {
                        self.send(here, Place::Balancer(b), conn, What::HostEnds(conn));
                    }
                }
                HolderAction::Record(note) => self.write(format!("h{h}"), note),
            }
        }
    }

    // ---- Drafters ---------------------------------------------------------------------------------

    fn at_drafter(&mut self, d: usize, what: What) {
        let mut wishes = Vec::new();
        let now = self.now;
        match what {
            What::Fault(fault) => return self.on_fault(fault),
            What::Wake if d >= self.first_twin => wishes.push(ClientAction::Close),
            What::Wake => self.drafters[d].handle_timer(now, &mut wishes),
            What::Answer(client, line) if self.is_current(d, client) => {
                self.drafters[d].handle_line(now, &line, &mut wishes)
            }
            What::Cut(client, how) if self.is_current(d, client) => {
                self.client_of[d] = None;
                self.drafters[d].handle_close(now, how, &mut wishes);
            }
            _ => {}
        }
        for wish in wishes {
            self.fulfil(d, wish);
        }
    }

    fn is_current(&self, d: usize, client: u64) -> bool {
        self.client_of[d].is_some_and(|(_, c)| c == client)
    }

    fn fulfil(&mut self, d: usize, wish: ClientAction) {
        let here = Place::Drafter(d);
        match wish {
            ClientAction::Connect(b, line) => {
                let client = self.next_conn;
                self.next_conn += 1;
                self.client_of[d] = Some((b, client));
                if self.balancers[b].up {
                    self.send(here, Place::Balancer(b), client, What::ClientOpens(d, client, line));
                } else {
                    self.at(1.0, here, What::Cut(client, "refused"));
                }
            }
            ClientAction::SendLine(line) => {
                if let Some((b, client)) = self.client_of[d] {
                    self.send(here, Place::Balancer(b), client, What::ClientLine(client, line));
                }
            }
            ClientAction::Close => {
                if let Some((b, client)) = self.client_of[d].take() {
                    self.send(here, Place::Balancer(b), client, What::ClientEnds(client));
                }
            }
            ClientAction::Record(note) => {
                let name = self.drafters[d].name();
                self.write(name, note);
            }
            ClientAction::WakeAt(at) => self.at(at - self.now, here, What::Wake),
        }
    }

    /// Drafter `d` shows its token at these balancers at the same moment, from other machines.
    pub fn twins(&mut self, d: usize, at: &[usize]) -> Vec<usize> {
        let Some(token) = self.drafters[d].token().map(str::to_owned) else { return Vec::new() };
        let mut twins = Vec::new();
        for b in at {
            let habits = habits(self.balancers.len());
            let mut twin = SessionClient::new(10_000 + self.drafters.len() as u64, habits, 1, f64::INFINITY);
            twin.stop_saving();
            self.drafters.push(twin);
            self.client_of.push(None);
            let t = self.drafters.len() - 1;
            self.fulfil(t, ClientAction::Connect(*b, format!("OPEN 1 2 c=x,d=4800,s={token}")));
            // It only looks in.
            self.at(700.0, Place::Drafter(t), What::Wake);
            twins.push(t);
        }
        twins
    }

    pub fn holders(&self) -> usize {
        self.hosts.iter().map(|h| h.holder.session_count()).sum()
    }

    pub fn sessions(&self, b: usize) -> &Sessions {
        &self.balancers[b].sessions
    }

    pub fn hosts_with_notes(&self) -> HashSet<String> {
        self.entries
            .iter()
            .filter(|e| matches!(e.note, Note::LeaseAcquired { .. }))
            .map(|e| e.by.clone())
            .collect()
    }
}
