//! A client whose connection was open before waits for its server, which is not in the list that the balancer
//! has, while discovery is down. Then the balancer is told to end with SIGTERM. Exits with 1 if the client's
//! connection is ended without an answer.

use marllink_review::*;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

fn main() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let code = tokio::task::LocalSet::new().block_on(&runtime, within_limit(run()));
    std::process::exit(code);
}

async fn run() -> i32 {
    let record = Record::create();
    let endpoint = start_server(|_| ()).await;
    let known = list_text(1, true, &[Listed { uid: "s-1".into(), endpoint, zone: "bkk", state: "SERVING" }]);
    let balancer = Balancer::new(&record, "n0", None);
    // Nobody listens at discovery's address.
    balancer.configure(0, 2, 0, free_address(), &known);
    if !balancer.start().await {
        return NOT_RUN;
    }
    let Ok(mut client) = TcpStream::connect(balancer.listen).await else { return NOT_RUN };
    record.note("client: OPEN ... at=s-9, a server that is not in the list");
    if client.write_all(b"OPEN 77 2f c=sheet-view,d=3600000,at=s-9\r\n").await.is_err() {
        return NOT_RUN;
    }
    sleep(2_000).await;
    if has_trouble() {
        balancer.signal("TERM");
    }
    let mut answer = String::new();
    // Without SIGTERM the client is answered after 40 s at the latest.
    let read = BufReader::new(client).read_line(&mut answer).await;
    record.note(&format!("the client reads {read:?}: {answer:?}"));
    if matches!(read, Ok(n) if n > 0) { HELD } else { BROKEN }
}
