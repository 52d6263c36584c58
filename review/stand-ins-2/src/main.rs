//! The stand-ins and the checks of the second review's cases. `run-case-2.sh` starts it with the name of a case.

mod common;
mod model;
mod plain;
mod sessions;
mod sockets;

use common::{Env, Verdict};

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    common::watchdog();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let result = tokio::task::LocalSet::new().block_on(&runtime, async {
        let env = Env::new()?;
        env.note(format!("case {case}, TROUBLE={}", env.trouble));
        let verdict = match case.as_str() {
            "held-twice" => sessions::held_twice(&env).await,
            "rolling-restart" => sessions::rolling_restart(&env).await,
            "coming-back" => sessions::coming_back(&env).await,
            "repeat-window" => plain::repeat_window(&env).await,
            "moved-discovery" => plain::moved_discovery(&env).await,
            "more-zones" => plain::more_zones(&env).await,
            _ => Err(std::io::Error::other("no such case")),
        };
        let (status, text) = match verdict {
            Ok(Verdict::Held) => (0, "the rule held".to_owned()),
            Ok(Verdict::Broken) => (1, "the rule was BROKEN".to_owned()),
            Ok(Verdict::NotRun) => (2, "the case could not run".to_owned()),
            Err(error) => (2, format!("the case could not run: {error}")),
        };
        env.note(text);
        Ok::<_, std::io::Error>(status)
    });
    common::kill_all();
    std::process::exit(result.unwrap_or(2));
}
