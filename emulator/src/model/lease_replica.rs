//! A keeper: what a form host stores of sessions that others hold. `docs/protocol-resume.md` has the
//! rules; this follows them word by word.

use super::{InjectedBug, Millis};
use marllink_lease_protocol::{
    Append, Ballot, Call, Claim, Confirm, Hold, Holder, Journal, Point, Pointer, Promised, Refused, Release,
    Renewed, Reply, SessionId, Stored, Why, call, reply,
};
use std::collections::HashMap;

/// A keeper's records and leases.
#[derive(Debug)]
pub struct LeaseReplica {
    /// By owner: until when its lease runs.
    leases: HashMap<u64, Millis>,
    records: HashMap<SessionId, Record>,
    /// Records at most.
    max_records: usize,
    swept_at: Millis,
    injected_bug: Option<InjectedBug>,
}

#[derive(Debug)]
struct Record {
    promised: Ballot,
    owner: u64,
    released: bool,
    holder: Option<Holder>,
    written: Ballot,
    configuration: u32,
    journal: Journal,
    confirmed: u64,
    pointers: Vec<Pointer>,
    keep_ms: Millis,
    touched_at: Millis,
}

/// How often records are looked for that nobody needs any more.
const SWEEP_INTERVAL_MS: Millis = 5_000.0;
/// Pointers that a record keeps: a token may be as many configurations old.
const MAX_POINTERS: usize = 8;

impl LeaseReplica {
    /// An empty one with max_records for so many records.
    #[must_use]
    pub fn new(max_records: usize, injected_bug: Option<InjectedBug>) -> Self {
        Self { leases: HashMap::new(), records: HashMap::new(), max_records, swept_at: 0.0, injected_bug }
    }

    /// Answers a call of this owner's.
    pub fn handle(&mut self, now: Millis, owner: u64, call: &Call) -> Option<Reply> {
        if now - self.swept_at > SWEEP_INTERVAL_MS {
            self.sweep(now);
        }
        let body = match call.body.as_ref()? {
            call::Body::Renew(renew) => {
                self.leases.insert(owner, now + f64::from(renew.ms));
                reply::Body::Renewed(Renewed { k: renew.k })
            }
            call::Body::Claim(claim) => self.claim(now, owner, claim),
            call::Body::Hold(hold) => self.hold(now, owner, hold),
            call::Body::Append(append) => self.append(now, append),
            call::Body::Confirm(confirm) => self.confirm(confirm),
            call::Body::Point(point) => self.point(owner, point),
            call::Body::Release(release) => {
                self.release(owner, release);
                return None;
            }
            // That is the holder's.
            call::Body::LetGo(_) => return None,
        };
        Some(Reply::new(body))
    }

    /// Records that are kept now.
    #[must_use]
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    fn sweep(&mut self, now: Millis) {
        self.swept_at = now;
        let leases = &self.leases;
        self.records.retain(|_, r| {
            let leased = !r.released && leases.get(&r.owner).is_some_and(|until| *until > now);
            leased || now - r.touched_at < r.keep_ms
        });
        self.leases.retain(|_, until| *until > now);
    }

    fn left(&self, now: Millis, owner: u64) -> Millis {
        self.leases.get(&owner).map_or(0.0, |until| (until - now).max(0.0))
    }

    fn claim(&mut self, now: Millis, owner: u64, claim: &Claim) -> reply::Body {
        let (session, ballot) = (claim.session, claim.ballot);
        let injected_bug = self.injected_bug == Some(InjectedBug::HeldTwice);
        let left = self.records.get(&session).map_or(0.0, |r| self.left(now, r.owner));
        let Some(record) = self.records.get_mut(&session) else {
            return refused(session, ballot, Why::Unknown, None);
        };
        if claim.token_epoch < record.confirmed && !injected_bug {
            return refused(session, ballot, Why::Stale, Some(record));
        }
        let free = record.released
            || record.owner == owner
            || left <= 0.0
            || claim.proof.is_some_and(|proof| record.promised <= proof);
        if !free && !injected_bug {
            let reply::Body::Refused(no) = refused(session, ballot, Why::Leased, Some(record)) else {
                unreachable!("it was just made")
            };
            return reply::Body::Refused(Refused { left_ms: left.ceil() as u32, ..no });
        }
        let again = record.promised == ballot && record.owner == owner;
        if ballot <= record.promised && !again && !injected_bug {
            return refused(session, ballot, Why::Outbid, Some(record));
        }
        record.promised = ballot;
        record.owner = owner;
        record.released = false;
        record.holder = None;
        record.touched_at = now;
        let pointers = record.pointers.iter().filter(|p| p.to.number > claim.configuration);
        reply::Body::Promised(Promised {
            session,
            ballot,
            written: record.written,
            journal: record.journal.clone(),
            confirmed: record.confirmed,
            pointers: pointers.cloned().collect(),
            configuration: record.configuration,
        })
    }

    fn hold(&mut self, now: Millis, owner: u64, hold: &Hold) -> reply::Body {
        let (session, ballot) = (hold.session, hold.ballot);
        if !self.records.contains_key(&session) && self.records.len() >= self.max_records {
            return refused(session, ballot, Why::Full, None);
        }
        let before = self.records.remove(&session);
        if let Some(record) = &before {
            let mine = record.owner == owner || record.owner == hold.from;
            let good = ballot > record.promised || ballot == record.promised && mine;
            if !good && self.injected_bug != Some(InjectedBug::HeldTwice) {
                let no = refused(session, ballot, Why::Outbid, Some(record));
                self.records.extend(before.map(|record| (session, record)));
                return no;
            }
        }
        let upto = hold.journal.upto;
        let record = Record {
            promised: ballot,
            owner,
            released: hold.holder == 0,
            holder: (hold.holder != 0).then_some(Holder { ballot, server: hold.holder }),
            written: ballot,
            configuration: hold.configuration,
            journal: hold.journal.clone(),
            confirmed: hold.confirmed.max(before.as_ref().map_or(0, |r| r.confirmed)),
            pointers: before.map_or_else(Vec::new, |r| r.pointers),
            keep_ms: hold.keep_ms as f64,
            touched_at: now,
        };
        self.records.insert(session, record);
        reply::Body::Stored(Stored { session, ballot, upto, pointer: 0, tag: hold.tag })
    }

    fn append(&mut self, now: Millis, append: &Append) -> reply::Body {
        let (session, ballot, n) = (append.session, append.ballot, append.field.n);
        let Some(record) = self.records.get_mut(&session) else {
            return refused(session, ballot, Why::Unknown, None);
        };
        if record.promised > ballot && self.injected_bug != Some(InjectedBug::HeldTwice) {
            return refused(session, ballot, Why::Outbid, Some(record));
        }
        if record.written != ballot || n > record.journal.upto + 1 {
            return refused(session, ballot, Why::Unwritten, Some(record));
        }
        record.touched_at = now;
        record.confirmed = record.confirmed.max(ballot.epoch);
        if n > record.journal.upto {
            record.journal.upto = n;
            if self.injected_bug != Some(InjectedBug::LostField) {
                let fields = &mut record.journal.fields;
                match fields.iter_mut().find(|f| f.name == append.field.name) {
                    Some(field) => *field = append.field.clone(),
                    None => fields.push(append.field.clone()),
                }
            }
        }
        reply::Body::Stored(Stored { session, ballot, upto: record.journal.upto, pointer: 0, tag: 0 })
    }

    fn confirm(&mut self, confirm: &Confirm) -> reply::Body {
        let (session, ballot) = (confirm.session, confirm.ballot);
        match self.records.get_mut(&session) {
            None => refused(session, ballot, Why::Unknown, None),
            Some(record) if record.promised > ballot => refused(session, ballot, Why::Outbid, Some(record)),
            Some(record) => {
                record.confirmed = record.confirmed.max(ballot.epoch);
                // It tells nothing of the journal, which may have been written under another ballot.
                let upto = if record.written == ballot { record.journal.upto } else { 0 };
                reply::Body::Stored(Stored { session, ballot, upto, pointer: 0, tag: 0 })
            }
        }
    }

    fn point(&mut self, owner: u64, point: &Point) -> reply::Body {
        let (session, ballot) = (point.session, point.pointer.ballot);
        let Some(record) = self.records.get_mut(&session) else {
            return refused(session, ballot, Why::Unknown, None);
        };
        if ballot < record.promised || ballot == record.promised && record.owner != owner {
            return refused(session, ballot, Why::Outbid, Some(record));
        }
        record.promised = ballot;
        record.owner = owner;
        let number = point.pointer.to.number;
        record.pointers.retain(|p| p.to.number != number);
        record.pointers.push(point.pointer.clone());
        if record.pointers.len() > MAX_POINTERS {
            record.pointers.remove(0);
        }
        let upto = if record.written == ballot { record.journal.upto } else { 0 };
        reply::Body::Stored(Stored { session, ballot, upto, pointer: number, tag: 0 })
    }

    fn release(&mut self, owner: u64, release: &Release) {
        let Some(record) = self.records.get_mut(&release.session) else { return };
        if record.owner == owner && record.promised.epoch == release.ballot.epoch {
            record.released = true;
            record.holder = None;
            if release.over {
                self.records.remove(&release.session);
            }
        }
    }
}

fn refused(session: SessionId, ballot: Ballot, why: Why, record: Option<&Record>) -> reply::Body {
    let promised = record.map_or_else(Ballot::default, |r| r.promised);
    let holder = record.and_then(|r| r.holder);
    reply::Body::Refused(Refused { session, ballot, why: why.into(), promised, holder, left_ms: 0 })
}
