//! A client that wants one connection for a while, and comes again until it has had it.

use super::super::Millis;
use rand::Rng;

/// A class of connections.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Part of all clients.
    pub share: f64,
    /// Worth of a second.
    pub worth: f64,
    /// Mean load, in standard cores.
    pub load: f64,
    /// Work in ms to set one up.
    pub set_up_ms: f64,
    /// A message is to be answered within this, in ms.
    pub message_aim_ms: Millis,
    /// How often a message's usual time goes into that.
    pub ease: f64,
}

impl Default for Class {
    fn default() -> Self {
        Self { share: 1.0, worth: 1.0, load: 0.05, set_up_ms: 8.0, message_aim_ms: 100.0, ease: 10.0 }
    }
}

/// How clients behave.
#[derive(Clone, Debug, PartialEq)]
pub struct Manners {
    /// This part of them heeds advice when to come again.
    pub honours: f64,
    /// Who was cut off comes again after between so many ms.
    pub rejoin_ms: (Millis, Millis),
    /// Who was refused, or found nobody, comes again after between so many ms, longer each time.
    pub back_off_ms: (Millis, Millis),
    /// Who was asked to move comes again after between so many ms.
    pub move_ms: (Millis, Millis),
    /// A try is given up after so many ms.
    pub deadline_ms: Millis,
}

/// Why a client has to come again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Gap {
    /// Cut off, or failed.
    CutOff,
    /// Refused, with advice in ms; 0 for none.
    Refused(Millis),
    /// Nobody was there.
    Nobody,
    /// Asked to move.
    Moved,
}

/// A client.
#[derive(Clone, Debug, PartialEq)]
pub struct Client {
    /// Its zone.
    pub zone: usize,
    /// Its class.
    pub class: usize,
    /// Its group; 0 for none.
    pub group: u64,
    /// Its connection's load now, in standard cores.
    pub load: f64,
    /// It wants its connection from then ...
    pub from: Millis,
    /// ... until then.
    pub until: Millis,
    /// Tries in a row that came to nothing.
    pub failures: u32,
}

impl Client {
    /// When it comes again, as of `now`; `None` once it is done.
    pub fn again(&mut self, now: Millis, gap: Gap, manners: &Manners, rng: &mut impl Rng) -> Option<Millis> {
        let mut between = |(low, high): (Millis, Millis)| low + (high - low) * rng.random::<f64>();
        let wait = match gap {
            Gap::Moved => between(manners.move_ms),
            Gap::CutOff => between(manners.rejoin_ms),
            Gap::Refused(_) | Gap::Nobody => {
                self.failures += 1;
                between(manners.back_off_ms) * f64::from(1u32 << self.failures.min(4).saturating_sub(1))
            }
        };
        let advised = match gap {
            Gap::Refused(advice) if advice > 0.0 && rng.random::<f64>() < manners.honours => advice,
            _ => 0.0,
        };
        Some(now + wait.max(advised)).filter(|at| *at < self.until)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;
    use rand::rngs::SmallRng;

    #[test]
    fn it_comes_again_until_it_is_done_and_later_after_each_refusal() {
        let manners = Manners {
            honours: 1.0,
            rejoin_ms: (100.0, 200.0),
            back_off_ms: (40.0, 40.0),
            move_ms: (20.0, 20.0),
            deadline_ms: 4_800.0,
        };
        let mut client =
            Client { zone: 0, class: 0, group: 0, load: 0.1, from: 0.0, until: 5_000.0, failures: 0 };
        let mut rng = SmallRng::seed_from_u64(3);
        assert_eq!(client.again(0.0, Gap::Refused(0.0), &manners, &mut rng), Some(40.0));
        assert_eq!(client.again(0.0, Gap::Nobody, &manners, &mut rng), Some(80.0));
        assert_eq!(client.again(0.0, Gap::Refused(900.0), &manners, &mut rng), Some(900.0));
        assert_eq!(client.again(0.0, Gap::Moved, &manners, &mut rng), Some(20.0));
        assert!(client.again(0.0, Gap::CutOff, &manners, &mut rng).is_some_and(|at| at >= 100.0));
        assert_eq!(client.again(4_990.0, Gap::Moved, &manners, &mut rng), None);
    }
}
