//! Drafters at their clients, and thieves who show tokens that are not theirs.

use super::{Ledger, sleep};
use crate::model::{Drafter, Habits, Millis, Note, TokenKind, Wish};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::{Duration, timeout};

/// All drafters.
pub struct Clients {
    ledger: Rc<Ledger>,
    balancers: Vec<SocketAddr>,
    drafters: Vec<Rc<RefCell<Drafter>>>,
    thefts: Cell<u64>,
}

/// What a thief shows.
#[derive(Clone, Debug, PartialEq)]
pub struct Thief {
    /// At which balancers, all at the same moment.
    pub balancers: Vec<usize>,
    /// The token.
    pub token: String,
    /// What is wrong with it, if anything.
    pub kind: TokenKind,
    /// How long it stays if it is let in.
    pub stays_ms: Millis,
}

impl Clients {
    /// So many drafters who come over the first `over_ms`, at these balancers.
    #[must_use]
    pub fn start(
        ledger: Rc<Ledger>,
        balancers: Vec<SocketAddr>,
        count: usize,
        habits: Habits,
        seed: u64,
        over_ms: Millis,
    ) -> Rc<Self> {
        let now = ledger.now();
        let come = |n: usize| now + over_ms * n as f64 / count.max(1) as f64;
        let drafters = (0..count)
            .map(|n| Rc::new(RefCell::new(Drafter::new(n as u64 + 1, habits, seed, come(n)))))
            .collect();
        let this = Rc::new(Self { ledger, balancers, drafters, thefts: Cell::default() });
        for drafter in &this.drafters {
            let (clients, drafter) = (this.clone(), drafter.clone());
            tokio::task::spawn_local(async move { clients.run(drafter).await });
        }
        this
    }

    /// How many work now.
    #[must_use]
    pub fn working(&self) -> usize {
        self.drafters.iter().filter(|d| d.borrow().working()).count()
    }

    /// The tokens that they have now.
    #[must_use]
    pub fn tokens(&self) -> Vec<String> {
        self.drafters.iter().filter_map(|d| d.borrow().token().map(str::to_owned)).collect()
    }

    /// All of them see what they have through, and save nothing more.
    pub fn finish(&self) {
        self.drafters.iter().for_each(|d| d.borrow_mut().finish());
    }

    /// How many are not through yet.
    #[must_use]
    pub fn unsettled(&self) -> usize {
        self.drafters.iter().filter(|d| !d.borrow().settled()).count()
    }

    async fn run(&self, drafter: Rc<RefCell<Drafter>>) {
        let name = drafter.borrow().name();
        let mut connection: Option<(BufReader<OwnedReadHalf>, OwnedWriteHalf)> = None;
        let mut wake_at = 0.0;
        let mut line = Vec::new();
        loop {
            let mut wishes = Vec::new();
            let left = wake_at - self.ledger.now();
            let waiting = sleep(if wake_at.is_finite() { left.min(60_000.0) } else { 60_000.0 });
            let heard = async {
                match &mut connection {
                    Some((reader, _)) => Some(reader.read_until(b'\n', &mut line).await),
                    None => std::future::pending().await,
                }
            };
            let heard = tokio::select! {
                heard = heard => heard,
                () = waiting => None,
            };
            let now = self.ledger.now();
            match heard {
                Some(Ok(n)) if n > 0 && line.ends_with(b"\n") => {
                    let text = String::from_utf8_lossy(&line).trim_end().to_owned();
                    line.clear();
                    drafter.borrow_mut().line(now, &text, &mut wishes);
                }
                Some(end) => {
                    line.clear();
                    connection = None;
                    let how = if end.is_ok() { "closed" } else { "reset" };
                    drafter.borrow_mut().ended(now, how, &mut wishes);
                }
                None if wake_at <= now => {
                    wake_at = f64::INFINITY;
                    drafter.borrow_mut().wake(now, &mut wishes);
                }
                None => {}
            }
            let mut at = 0;
            while at < wishes.len() {
                match wishes[at].clone() {
                    Wish::Note(note) => self.ledger.write(&name, note),
                    Wish::Wake(when) => wake_at = wake_at.min(when),
                    Wish::Close => connection = None,
                    Wish::Line(text) => {
                        if let Some((_, writer)) = &mut connection {
                            // One that is broken is seen by who reads it.
                            let _ = writer.write_all(format!("{text}\r\n").as_bytes()).await;
                        }
                    }
                    Wish::Connect(balancer, text) => match TcpStream::connect(self.balancers[balancer]).await
                    {
                        Ok(stream) => {
                            let _ = stream.set_nodelay(true);
                            let (reader, mut writer) = stream.into_split();
                            let _ = writer.write_all(format!("{text}\r\n").as_bytes()).await;
                            connection = Some((BufReader::new(reader), writer));
                        }
                        Err(_) => drafter.borrow_mut().ended(self.ledger.now(), "refused", &mut wishes),
                    },
                }
                at += 1;
            }
        }
    }

    /// Shows a token at several balancers at the same moment.
    pub fn steal(self: &Rc<Self>, thief: &Thief) {
        for balancer in &thief.balancers {
            let number = self.thefts.replace(self.thefts.get() + 1);
            let (clients, balancer, thief) = (self.clone(), *balancer, thief.clone());
            tokio::task::spawn_local(async move { clients.show(number, balancer, thief).await });
        }
    }

    async fn show(&self, number: u64, balancer: usize, thief: Thief) {
        let name = format!("t{number}");
        let (connection, token) = (1, thief.kind);
        let Ok(stream) = TcpStream::connect(self.balancers[balancer]).await else { return };
        self.ledger.write(&name, Note::Asks { connection, balancer, token });
        let (reader, mut writer) = stream.into_split();
        let id = 0xffff_0000_0000_0000_u64 | number;
        let line = format!("OPEN {id:x} 1 c=field-save,d=4800,s={}\r\n", thief.token);
        let _ = writer.write_all(line.as_bytes()).await;
        let mut reader = BufReader::new(reader);
        let mut answer = String::new();
        let heard = timeout(Duration::from_secs(8), reader.read_line(&mut answer)).await;
        let word =
            if matches!(heard, Ok(Ok(_))) { answer.split_whitespace().next().unwrap_or("") } else { "" };
        self.ledger.write(&name, Note::Answered { connection, word: word.to_owned(), token });
        if word == "UP" {
            sleep(thief.stays_ms).await;
        }
    }
}
