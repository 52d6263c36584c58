//! Clients that connect once: each sends a request, waits for its answer, exchanges messages for a while and leaves.

use super::servers::pause;
use super::{Note, NoteLog};
use rand::Rng;
use rand::rngs::SmallRng;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// The clients of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientPopulation {
    /// Number of clients.
    pub count: usize,
    /// Time over which the clients arrive, evenly spaced, in ms.
    pub arrival_ms: f64,
    /// Classes by name, each with the time in ms that its clients wait for an answer.
    pub classes: Vec<(String, f64)>,
    /// Tenants by name; may be empty.
    pub tenants: Vec<String>,
    /// Number of affinity groups; 0 for none.
    pub group_count: u64,
    /// Maximum time that a client stays connected, in ms.
    pub max_stay_ms: f64,
}

/// Runs all clients against a balancer, until the last one has left.
pub async fn run_clients(
    log: Rc<NoteLog>,
    balancer: SocketAddr,
    population: &ClientPopulation,
    rng: &mut SmallRng,
) {
    let mut clients = Vec::new();
    for number in 0..population.count {
        let (class, wait_ms) = &population.classes[rng.random_range(0..population.classes.len())];
        let mut fields = format!("c={class}");
        if !population.tenants.is_empty() {
            fields += &format!(",t={}", population.tenants[rng.random_range(0..population.tenants.len())]);
        }
        if population.group_count > 0 {
            fields += &format!(",g={:016x}", 0x5c0f_6e1a + rng.random_range(0..population.group_count));
        }
        let id = rng.random::<u64>();
        let line = format!("OPEN {id:016x} {:016x} {fields},d={wait_ms:.0}\r\n", rng.random::<u64>());
        let start_ms = number as f64 / population.count as f64 * population.arrival_ms;
        let stay_ms = population.max_stay_ms * rng.random::<f64>();
        let (log, wait_ms) = (log.clone(), *wait_ms);
        clients.push(tokio::task::spawn_local(async move {
            pause(start_ms).await;
            let _ = run_client(&log, balancer, id, &line, wait_ms, stay_ms).await;
        }));
    }
    for client in clients {
        let _ = client.await;
    }
}

async fn run_client(
    log: &NoteLog,
    balancer: SocketAddr,
    id: u64,
    line: &str,
    wait_ms: f64,
    stay_ms: f64,
) -> std::io::Result<()> {
    let mut stream = BufReader::new(TcpStream::connect(balancer).await?);
    stream.get_ref().set_nodelay(true)?;
    stream.write_all(line.as_bytes()).await?;
    log.record(Note::Asked { id, wait_ms });
    let mut answer = String::new();
    // Waits longer than the request says, so that a late answer is recorded as late instead of missing.
    let answered = tokio::select! {
        read = stream.read_line(&mut answer) => read.map_or(0, |read| read) > 0,
        () = pause(wait_ms + 2_000.0) => return Ok(()),
    };
    let answer = if answered { answer.trim_end().to_owned() } else { "(end)".to_owned() };
    let accepted = answer.starts_with("UP ");
    log.record(Note::Answered { id, line: answer });
    if !accepted {
        return Ok(());
    }
    let until = log.now() + stay_ms;
    let mut message_count = 0;
    while log.now() < until {
        message_count += 1;
        stream.write_all(format!("field {message_count}\r\n").as_bytes()).await?;
        let mut reply = String::new();
        if stream.read_line(&mut reply).await? == 0 || reply.starts_with("MOVE") {
            return Ok(());
        }
        pause(150.0).await;
    }
    Ok(())
}
