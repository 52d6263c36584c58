//! The command line.

use crate::operations::features;
use crate::serve::{Options, serve};
use clap::{CommandFactory, Parser, Subcommand, ValueEnum};
use marllink_config::Operators;
use marllink_sessions::Token;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A load balancer for long-lived connections.
///
/// Without a command it serves: the environment names its configuration (NODE_CONFIG, NODE_LISTEN,
/// NODE_DISCOVERY, NODE_ADMIN), and README.md tells more.
#[derive(Debug, Parser)]
#[command(name = "marllink", version)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    /// The operators' file, which switches on what is off by default. MARLLINK_OPERATORS comes first.
    #[arg(long, value_name = "FILE")]
    operators: Option<PathBuf>,
    /// How the log is written, to standard error.
    #[arg(long, value_enum, default_value_t = LogFormat::Text, env = "MARLLINK_LOG_FORMAT")]
    log_format: LogFormat,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum LogFormat {
    /// Lines to read.
    Text,
    /// One JSON object a line.
    Json,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Check an operators' file and the files that it names; or a balancer's configuration, and say which parts
    /// of the decisions are in force under it, and which are off and why.
    Check {
        /// The file.
        file: PathBuf,
        /// Print the parts as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Print the JSON schema of the operators' file.
    Schema,
    /// Look at tokens.
    Token {
        #[command(subcommand)]
        command: TokenCommand,
    },
    /// Look at what a balancer keeps on disk, and tidy it up.
    State {
        #[command(subcommand)]
        command: StateCommand,
    },
    /// Print what a shell needs to complete this command line.
    Completions {
        /// Which shell.
        shell: clap_complete::Shell,
    },
}

#[derive(Debug, Subcommand)]
enum TokenCommand {
    /// Print what a token says, and whether it is good now. Keys are never printed.
    Inspect {
        /// The token: what stands after `TOKEN ` in the line that brought it.
        token: String,
        /// The key file that it was sealed by.
        #[arg(long, value_name = "FILE")]
        keys: PathBuf,
    },
}

#[derive(Debug, Subcommand)]
enum StateCommand {
    /// Print what is in force in a folder, a line for each thing, and how old it is.
    Show {
        /// The folder.
        folder: PathBuf,
    },
    /// Check a folder; fails if a part is damaged.
    Check {
        /// The folder.
        folder: PathBuf,
    },
    /// Print all that is in force as JSON.
    Export {
        /// The folder.
        folder: PathBuf,
    },
    /// Write the log anew without what is outdated or damaged; while a balancer writes it, that is refused.
    Compact {
        /// The folder.
        folder: PathBuf,
    },
}

/// Does what the command line says.
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    let done = match cli.command {
        None => {
            let json_log = matches!(cli.log_format, LogFormat::Json);
            return serve(&Options { operators: cli.operators, json_log });
        }
        Some(Command::Check { file, json }) => check(&file, json),
        Some(Command::Schema) => Ok(format!("{:#}", marllink_config::schema())),
        Some(Command::Token { command: TokenCommand::Inspect { token, keys } }) => inspect(&token, &keys),
        Some(Command::State { command }) => state(&command),
        Some(Command::Completions { shell }) => {
            clap_complete::generate(shell, &mut Cli::command(), "marllink", &mut std::io::stdout());
            return ExitCode::SUCCESS;
        }
    };
    match done {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(message) => {
            eprintln!("marllink: {message}");
            ExitCode::FAILURE
        }
    }
}

fn check(file: &Path, json: bool) -> Result<String, String> {
    let name = file.display();
    let text = std::fs::read(file).map_err(|e| format!("{name}: {e}"))?;
    // An operators' file has no settings; what is no JSON at all is told of as one.
    let value = serde_json::from_slice::<serde_json::Value>(&text).unwrap_or_default();
    if value.get("settings").is_some() {
        return check_configuration(&name.to_string(), &text, json);
    }
    let features = features::load(Some(file))?;
    let Operators { sessions, store } = &features.operators;
    let on: Vec<_> = [sessions.as_ref().map(|_| "sessions on"), store.as_ref().map(|_| "store on")]
        .into_iter()
        .flatten()
        .collect();
    let on = if on.is_empty() { "nothing switched on".to_owned() } else { on.join(", ") };
    Ok(format!("{name}: sound, {on}"))
}

/// What a balancer's configuration puts in force. The whole file is checked as at a start.
fn check_configuration(name: &str, text: &[u8], json: bool) -> Result<String, String> {
    let named = |variable: &str| (variable == "NODE_CONFIG").then(|| name.to_owned());
    let config = crate::operations::config::load(named, |_| Ok(text.to_vec()))?;
    let parts = marllink_settings::features(&config.settings);
    if json {
        return serde_json::to_string_pretty(&parts).map_err(|e| e.to_string());
    }
    let widest = parts.iter().map(|part| part.name.len()).max().unwrap_or_default();
    let line = |part: &marllink_settings::Feature| {
        format!("\n{:widest$}  {:3}  {}", part.name, if part.enabled { "on" } else { "off" }, part.reason)
    };
    Ok(format!("{name}: sound") + &parts.iter().map(line).collect::<String>())
}

fn state(command: &StateCommand) -> Result<String, String> {
    let (StateCommand::Show { folder }
    | StateCommand::Check { folder }
    | StateCommand::Export { folder }
    | StateCommand::Compact { folder }) = command;
    let name = folder.display();
    let said = |error: marllink_store::Error| format!("{name}: {error}");
    let found = marllink_store::read(folder).map_err(said)?;
    let counts = format!(
        "{} records, {} bytes, {} damaged",
        found.record_count, found.total_bytes, found.damaged_bytes
    );
    match command {
        StateCommand::Show { .. } => {
            let line = |record: &marllink_store::Record| {
                let age = (features::unix_ms() - record.at) / 1_000.0;
                let rev =
                    record.body.pointer("/list/rev").map_or(String::new(), |rev| format!(", version {rev}"));
                let hosts = record.body.pointer("/list/targets").and_then(serde_json::Value::as_array);
                let hosts = hosts.map_or(String::new(), |all| format!(", {} form hosts", all.len()));
                format!("\n{}  {age:.0} s old{rev}{hosts}", record.name)
            };
            Ok(format!("{name}: {counts}") + &found.latest.values().map(line).collect::<String>())
        }
        StateCommand::Check { .. } if found.damaged_bytes > 0 => Err(format!("{name}: {counts}")),
        StateCommand::Check { .. } => Ok(format!("{name}: sound, {counts}")),
        StateCommand::Export { .. } => serde_json::to_string_pretty(&found.latest).map_err(|e| e.to_string()),
        StateCommand::Compact { .. } => {
            let disk = marllink_store::FileDisk::lock(folder).map_err(said)?;
            let mut store = marllink_store::Store::open(disk).map_err(said)?;
            store.compact().map_err(said)?;
            let after = marllink_store::read(folder).map_err(said)?;
            Ok(format!("{name}: {counts}; now {} records, {} bytes", after.record_count, after.total_bytes))
        }
    }
}

fn inspect(text: &str, keys: &Path) -> Result<String, String> {
    let keys = features::keys(keys)?;
    let token = Token::read(text.as_bytes(), &keys).map_err(|e| format!("the token is {e}"))?;
    let good = match Token::open(text.as_bytes(), &keys, features::unix_ms()) {
        Ok(_) => "good now".to_owned(),
        Err(error) => error.to_string(),
    };
    let Token { session, epoch, upto, holder, keepers, issued_ms, expires_ms } = token;
    let kept = keepers.members.iter().map(|m| format!("{:016x} in life {:x}", m.server, m.incarnation));
    let kept = kept.collect::<Vec<_>>().join(", ");
    let key = Token::key_of(text.as_bytes()).unwrap_or_default();
    Ok(format!(
        "session    {session}\nepoch      {epoch}\nconfirmed  {upto}\nform host  {holder:016x}\n\
         keepers    {kept} (configuration {})\nissued     {issued_ms} (Unix time, ms)\n\
         expires    {expires_ms}\nkey        {key}\nstate      {good}",
        keepers.number
    ))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_configuration_is_told_by_its_parts_and_a_wrong_one_by_what_is_wrong() {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples/config.json");
        let table = check(&path, false).expect("the example is sound");
        assert!(table.lines().any(|line| line.starts_with("groups ") && line.contains("  off  ")), "{table}");
        let json = check(&path, true).expect("the example is sound");
        let parts: Vec<serde_json::Value> = serde_json::from_str(&json).expect("JSON");
        assert!(parts.iter().any(|part| part["name"] == "list" && part["on"] == true), "{json}");
        let text = std::fs::read_to_string(&path).expect("it is there");
        let wrong = text.replace("\"maxAttempts\"", "\"attempts\"");
        let message =
            check_configuration("config.json", wrong.as_bytes(), false).expect_err("a key is missing");
        assert!(message.contains("maxAttempts"), "{message}");
    }

    #[test]
    fn the_command_line_is_sound() {
        Cli::command().debug_assert();
    }
}
