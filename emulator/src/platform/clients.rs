//! Clients of the platform: each opens once, waits for its answer, talks for a while and leaves.

use super::servers::pause;
use super::{Note, NoteLog};
use rand::Rng;
use rand::rngs::SmallRng;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// How the clients of a run behave.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientPopulation {
    /// How many come ...
    pub count: usize,
    /// ... evenly over so many ms.
    pub arrival_ms: f64,
    /// Their classes by name, each with the time in ms that its clients wait.
    pub classes: Vec<(String, f64)>,
    /// Their tenants by name; may be empty.
    pub tenants: Vec<String>,
    /// They belong to so many group_count; 0 for none.
    pub group_count: u64,
    /// Those that were served stay for so many ms at most.
    pub max_stay_ms: f64,
}

/// Plays all clients against a balancer; done when the last one is.
pub async fn run_clients(
    log: Rc<NoteLog>,
    balancer: SocketAddr,
    population: &ClientPopulation,
    rng: &mut SmallRng,
) {
    let mut clients = Vec::new();
    for n in 0..population.count {
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
        let from = n as f64 / population.count as f64 * population.arrival_ms;
        let stay = population.max_stay_ms * rng.random::<f64>();
        let (log, wait_ms) = (log.clone(), *wait_ms);
        clients.push(tokio::task::spawn_local(async move {
            pause(from).await;
            let _ = client(&log, balancer, id, &line, wait_ms, stay).await;
        }));
    }
    for client in clients {
        let _ = client.await;
    }
}

async fn client(
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
    // Longer than it says: what comes late is to be seen as late, and what never comes as missing.
    let answered = tokio::select! {
        read = stream.read_line(&mut answer) => read.map_or(0, |read| read) > 0,
        () = pause(wait_ms + 2_000.0) => return Ok(()),
    };
    let answer = if answered { answer.trim_end().to_owned() } else { "(end)".to_owned() };
    let up = answer.starts_with("UP ");
    log.record(Note::Answered { id, line: answer });
    if !up {
        return Ok(());
    }
    let until = log.now() + stay_ms;
    let mut said = 0;
    while log.now() < until {
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
