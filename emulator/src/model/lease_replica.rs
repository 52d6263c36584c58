//! A lease replica: the records of sessions that a server stores for the balancers that own them. It implements
//! `docs/protocol-resume.md` literally.

use super::{InjectedBug, Millis};
use marllink_lease_protocol::{
    Append, Ballot, Call, Claim, Confirm, Hold, Holder, Journal, Point, Pointer, Promised, Refused, Release,
    Renewed, Reply, SessionId, Stored, Why, call, reply,
};
use std::collections::HashMap;

/// The records and leases of a replica.
#[derive(Debug)]
pub struct LeaseReplica {
    /// Expiry time of the lease of each owner.
    leases: HashMap<u64, Millis>,
    records: HashMap<SessionId, Record>,
    /// Maximum number of records.
    max_records: usize,
    swept_at: Millis,
    injected_bug: Option<InjectedBug>,
}

#[derive(Debug)]
struct Record {
    /// Highest ballot that was promised or accepted. Lower ballots are refused.
    promised: Ballot,
    owner: u64,
    released: bool,
    holder: Option<Holder>,
    /// Ballot under which the journal was written.
    written: Ballot,
    configuration: u32,
    journal: Journal,
    /// Latest epoch that the client has confirmed. Claims with older tokens are refused.
    confirmed: u64,
    pointers: Vec<Pointer>,
    /// Time to keep the record after its last use, once its owner's lease has expired.
    keep_ms: Millis,
    touched_at: Millis,
}

/// Interval between removals of expired records.
const SWEEP_INTERVAL_MS: Millis = 5_000.0;
/// Maximum number of configuration pointers of a record: a token may be this many configurations old.
const MAX_POINTERS: usize = 8;

impl LeaseReplica {
    /// Returns an empty replica that stores up to `max_records` records.
    #[must_use]
    pub fn new(max_records: usize, injected_bug: Option<InjectedBug>) -> Self {
        Self { leases: HashMap::new(), records: HashMap::new(), max_records, swept_at: 0.0, injected_bug }
    }

    /// Handles a call of an owner. Returns the reply, if the call has one.
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
            // Handled by the lease holder.
            call::Body::LetGo(_) => return None,
        };
        Some(Reply::new(body))
    }

    /// Returns the number of stored records.
    #[must_use]
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    fn sweep(&mut self, now: Millis) {
        self.swept_at = now;
        let leases = &self.leases;
        self.records.retain(|_, record| {
            let leased =
                !record.released && leases.get(&record.owner).is_some_and(|expires_at| *expires_at > now);
            leased || now - record.touched_at < record.keep_ms
        });
        self.leases.retain(|_, expires_at| *expires_at > now);
    }

    fn lease_left_ms(&self, now: Millis, owner: u64) -> Millis {
        self.leases.get(&owner).map_or(0.0, |expires_at| (expires_at - now).max(0.0))
    }

    fn claim(&mut self, now: Millis, owner: u64, claim: &Claim) -> reply::Body {
        let (session, ballot) = (claim.session, claim.ballot);
        let held_twice = self.injected_bug == Some(InjectedBug::HeldTwice);
        let left_ms = self.records.get(&session).map_or(0.0, |record| self.lease_left_ms(now, record.owner));
        let Some(record) = self.records.get_mut(&session) else {
            return refused(session, ballot, Why::Unknown, None);
        };
        if claim.token_epoch < record.confirmed && !held_twice {
            return refused(session, ballot, Why::Stale, Some(record));
        }
        let free = record.released
            || record.owner == owner
            || left_ms <= 0.0
            || claim.proof.is_some_and(|proof| record.promised <= proof);
        if !free && !held_twice {
            let reply::Body::Refused(refusal) = refused(session, ballot, Why::Leased, Some(record)) else {
                unreachable!("refused() returns Refused")
            };
            return reply::Body::Refused(Refused { left_ms: left_ms.ceil() as u32, ..refusal });
        }
        let repeated = record.promised == ballot && record.owner == owner;
        if ballot <= record.promised && !repeated && !held_twice {
            return refused(session, ballot, Why::Outbid, Some(record));
        }
        record.promised = ballot;
        record.owner = owner;
        record.released = false;
        record.holder = None;
        record.touched_at = now;
        let pointers = record.pointers.iter().filter(|pointer| pointer.to.number > claim.configuration);
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
        let previous = self.records.remove(&session);
        if let Some(record) = &previous {
            let is_owner = record.owner == owner || record.owner == hold.from;
            let valid = ballot > record.promised || ballot == record.promised && is_owner;
            if !valid && self.injected_bug != Some(InjectedBug::HeldTwice) {
                let refusal = refused(session, ballot, Why::Outbid, Some(record));
                self.records.extend(previous.map(|record| (session, record)));
                return refusal;
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
            confirmed: hold.confirmed.max(previous.as_ref().map_or(0, |record| record.confirmed)),
            pointers: previous.map_or_else(Vec::new, |record| record.pointers),
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
                match fields.iter_mut().find(|field| field.name == append.field.name) {
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
                // The length of a journal that was written under another ballot says nothing about this one.
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
        record.pointers.retain(|pointer| pointer.to.number != number);
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
    let promised = record.map_or_else(Ballot::default, |record| record.promised);
    let holder = record.and_then(|record| record.holder);
    reply::Body::Refused(Refused { session, ballot, why: why.into(), promised, holder, left_ms: 0 })
}
