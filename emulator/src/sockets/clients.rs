//! Clients with resumable sessions, and impostors who present tokens that are not theirs.

use super::{EntryLog, sleep};
use crate::model::{ClientAction, Millis, Note, SessionClient, SessionClientConfig, TokenKind};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::{Duration, timeout};

/// All clients of an experiment.
pub struct SessionClients {
    log: Rc<EntryLog>,
    balancers: Vec<SocketAddr>,
    clients: Vec<Rc<RefCell<SessionClient>>>,
    impostor_count: Cell<u64>,
}

/// A client that presents a token that is not its own.
#[derive(Clone, Debug, PartialEq)]
pub struct Impostor {
    /// The balancers to which the token is presented at the same time.
    pub balancers: Vec<usize>,
    /// The token.
    pub token: String,
    /// The kind of token.
    pub kind: TokenKind,
    /// Time to stay connected if the token is accepted, in ms.
    pub stay_ms: Millis,
}

impl SessionClients {
    /// Starts `count` clients that arrive evenly over `arrival_ms`, at these balancers.
    #[must_use]
    pub fn start(
        log: Rc<EntryLog>,
        balancers: Vec<SocketAddr>,
        count: usize,
        config: SessionClientConfig,
        seed: u64,
        arrival_ms: Millis,
    ) -> Rc<Self> {
        let now = log.now();
        let connect_at = |n: usize| now + arrival_ms * n as f64 / count.max(1) as f64;
        let clients = (0..count)
            .map(|n| Rc::new(RefCell::new(SessionClient::new(n as u64 + 1, config, seed, connect_at(n)))))
            .collect();
        let this = Rc::new(Self { log, balancers, clients, impostor_count: Cell::default() });
        for client in &this.clients {
            let (clients, client) = (this.clone(), client.clone());
            tokio::task::spawn_local(async move { clients.run(client).await });
        }
        this
    }

    /// Returns the number of clients with an established connection.
    #[must_use]
    pub fn connected_count(&self) -> usize {
        self.clients.iter().filter(|client| client.borrow().is_connected()).count()
    }

    /// Returns the current tokens of all clients.
    #[must_use]
    pub fn tokens(&self) -> Vec<String> {
        self.clients.iter().filter_map(|client| client.borrow().token().map(str::to_owned)).collect()
    }

    /// Stops all clients from making saves. Unconfirmed saves are still sent.
    pub fn stop_saving(&self) {
        self.clients.iter().for_each(|client| client.borrow_mut().stop_saving());
    }

    /// Returns the number of clients that have unconfirmed saves or are not connected.
    #[must_use]
    pub fn unsettled_count(&self) -> usize {
        self.clients.iter().filter(|client| !client.borrow().is_settled()).count()
    }

    async fn run(&self, client: Rc<RefCell<SessionClient>>) {
        let name = client.borrow().name();
        let mut connection: Option<(BufReader<OwnedReadHalf>, OwnedWriteHalf)> = None;
        let mut wake_at = 0.0;
        let mut line = Vec::new();
        loop {
            let mut actions = Vec::new();
            let wait_ms = wake_at - self.log.now();
            let timer = sleep(if wake_at.is_finite() { wait_ms.min(60_000.0) } else { 60_000.0 });
            let reading = async {
                match &mut connection {
                    Some((reader, _)) => Some(reader.read_until(b'\n', &mut line).await),
                    None => std::future::pending().await,
                }
            };
            let read = tokio::select! {
                read = reading => read,
                () = timer => None,
            };
            let now = self.log.now();
            match read {
                Some(Ok(n)) if n > 0 && line.ends_with(b"\n") => {
                    let text = String::from_utf8_lossy(&line).trim_end().to_owned();
                    line.clear();
                    client.borrow_mut().handle_line(now, &text, &mut actions);
                }
                Some(end) => {
                    line.clear();
                    connection = None;
                    let how = if end.is_ok() { "closed" } else { "reset" };
                    client.borrow_mut().handle_close(now, how, &mut actions);
                }
                None if wake_at <= now => {
                    wake_at = f64::INFINITY;
                    client.borrow_mut().handle_timer(now, &mut actions);
                }
                None => {}
            }
            let mut index = 0;
            while index < actions.len() {
                match actions[index].clone() {
                    ClientAction::Record(note) => self.log.record(&name, note),
                    ClientAction::WakeAt(when) => wake_at = wake_at.min(when),
                    ClientAction::Close => connection = None,
                    ClientAction::SendLine(text) => {
                        if let Some((_, writer)) = &mut connection {
                            // A broken connection is detected by the read.
                            let _ = writer.write_all(format!("{text}\r\n").as_bytes()).await;
                        }
                    }
                    ClientAction::Connect(balancer, text) => {
                        match TcpStream::connect(self.balancers[balancer]).await {
                            Ok(stream) => {
                                let _ = stream.set_nodelay(true);
                                let (reader, mut writer) = stream.into_split();
                                let _ = writer.write_all(format!("{text}\r\n").as_bytes()).await;
                                connection = Some((BufReader::new(reader), writer));
                            }
                            Err(_) => {
                                client.borrow_mut().handle_close(self.log.now(), "refused", &mut actions)
                            }
                        }
                    }
                }
                index += 1;
            }
        }
    }

    /// Presents a token to several balancers at the same time.
    pub fn present_token(self: &Rc<Self>, impostor: &Impostor) {
        for balancer in &impostor.balancers {
            let number = self.impostor_count.replace(self.impostor_count.get() + 1);
            let (clients, balancer, impostor) = (self.clone(), *balancer, impostor.clone());
            tokio::task::spawn_local(async move { clients.present(number, balancer, impostor).await });
        }
    }

    async fn present(&self, number: u64, balancer: usize, impostor: Impostor) {
        let name = format!("t{number}");
        let (connection, token) = (1, impostor.kind);
        let Ok(stream) = TcpStream::connect(self.balancers[balancer]).await else { return };
        self.log.record(&name, Note::OpenSent { connection, balancer, token });
        let (reader, mut writer) = stream.into_split();
        let id = 0xffff_0000_0000_0000_u64 | number;
        let line = format!("OPEN {id:x} 1 c=field-save,d=4800,s={}\r\n", impostor.token);
        let _ = writer.write_all(line.as_bytes()).await;
        let mut reader = BufReader::new(reader);
        let mut answer = String::new();
        let read = timeout(Duration::from_secs(8), reader.read_line(&mut answer)).await;
        let word =
            if matches!(read, Ok(Ok(_))) { answer.split_whitespace().next().unwrap_or("") } else { "" };
        self.log.record(&name, Note::Answered { connection, word: word.to_owned(), token });
        if word == "UP" {
            sleep(impostor.stay_ms).await;
        }
    }
}
