//! Clients of the platform: each opens once, waits for its answer, talks for a while and leaves.

use super::hosts::pause;
use super::{Book, Note};
use rand::Rng;
use rand::rngs::SmallRng;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// How the clients of a run behave.
#[derive(Clone, Debug, PartialEq)]
pub struct Habits {
    /// How many come ...
    pub count: usize,
    /// ... evenly over so many ms.
    pub over_ms: f64,
    /// Their classes by name, each with the time in ms that its clients wait.
    pub classes: Vec<(String, f64)>,
    /// Their tenants by name; may be empty.
    pub tenants: Vec<String>,
    /// They belong to so many groups; 0 for none.
    pub groups: u64,
    /// Those that were served stay for so many ms at most.
    pub stay_ms: f64,
}

/// Plays all clients against a balancer; done when the last one is.
pub async fn play(book: Rc<Book>, balancer: SocketAddr, habits: &Habits, rng: &mut SmallRng) {
    let mut clients = Vec::new();
    for n in 0..habits.count {
        let (class, wait_ms) = &habits.classes[rng.random_range(0..habits.classes.len())];
        let mut fields = format!("c={class}");
        if !habits.tenants.is_empty() {
            fields += &format!(",t={}", habits.tenants[rng.random_range(0..habits.tenants.len())]);
        }
        if habits.groups > 0 {
            fields += &format!(",g={:016x}", 0x5c0f_6e1a + rng.random_range(0..habits.groups));
        }
        let id = rng.random::<u64>();
        let line = format!("OPEN {id:016x} {:016x} {fields},d={wait_ms:.0}\r\n", rng.random::<u64>());
        let from = n as f64 / habits.count as f64 * habits.over_ms;
        let stay = habits.stay_ms * rng.random::<f64>();
        let (book, wait_ms) = (book.clone(), *wait_ms);
        clients.push(tokio::task::spawn_local(async move {
            pause(from).await;
            let _ = client(&book, balancer, id, &line, wait_ms, stay).await;
        }));
    }
    for client in clients {
        let _ = client.await;
    }
}

async fn client(
    book: &Book,
    balancer: SocketAddr,
    id: u64,
    line: &str,
    wait_ms: f64,
    stay_ms: f64,
) -> std::io::Result<()> {
    let mut stream = BufReader::new(TcpStream::connect(balancer).await?);
    stream.get_ref().set_nodelay(true)?;
    stream.write_all(line.as_bytes()).await?;
    book.write(Note::Asked { id, wait_ms });
    let mut answer = String::new();
    // Longer than it says: what comes late is to be seen as late, and what never comes as missing.
    let answered = tokio::select! {
        read = stream.read_line(&mut answer) => read.map_or(0, |read| read) > 0,
        () = pause(wait_ms + 2_000.0) => return Ok(()),
    };
    let answer = if answered { answer.trim_end().to_owned() } else { "(end)".to_owned() };
    let up = answer.starts_with("UP ");
    book.write(Note::Answered { id, line: answer });
    if !up {
        return Ok(());
    }
    let until = book.now() + stay_ms;
    let mut said = 0;
    while book.now() < until {
        said += 1;
        stream.write_all(format!("field {said}\r\n").as_bytes()).await?;
        let mut back = String::new();
        if stream.read_line(&mut back).await? == 0 || back.starts_with("MOVE") {
            return Ok(());
        }
        pause(150.0).await;
    }
    Ok(())
}
