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
/// Without a command, it serves clients. Environment variables specify the configuration (NODE_CONFIG,
/// NODE_LISTEN, NODE_DISCOVERY, NODE_ADMIN); see README.md for details.
#[derive(Debug, Parser)]
#[command(name = "marllink", version)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    /// The operators' file, which enables optional features. MARLLINK_OPERATORS takes precedence.
    #[arg(long, value_name = "FILE")]
    operators: Option<PathBuf>,
    /// Format of the log on standard error.
    #[arg(long, value_enum, default_value_t = LogFormat::Text, env = "MARLLINK_LOG_FORMAT")]
    log_format: LogFormat,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum LogFormat {
    /// Human-readable lines.
    Text,
    /// One JSON object per line.
    Json,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Check an operators' file and the files that it names, or a balancer's configuration. For a
    /// configuration, list which parts of the decision logic are enabled, and why the others are disabled.
    Check {
        /// The file to check.
        file: PathBuf,
        /// Print the list of parts as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Print the JSON schema of the operators' file.
    Schema,
    /// Inspect session tokens.
    Token {
        #[command(subcommand)]
        command: TokenCommand,
    },
    /// Inspect and compact the state that a balancer keeps on disk.
    State {
        #[command(subcommand)]
        command: StateCommand,
    },
    /// Print a completion script for a shell.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
}

#[derive(Debug, Subcommand)]
enum TokenCommand {
    /// Print the contents of a token and whether it is valid now. Keys are never printed.
    Inspect {
        /// The token: the text after `TOKEN ` in the line that delivered it.
        token: String,
        /// The file with the key that sealed the token.
        #[arg(long, value_name = "FILE")]
        keys: PathBuf,
    },
}

#[derive(Debug, Subcommand)]
enum StateCommand {
    /// Print the current records in a folder, one per line, with their ages.
    Show {
        /// The state folder.
        folder: PathBuf,
    },
    /// Check a folder for damage; fails if a part is damaged.
    Check {
        /// The state folder.
        folder: PathBuf,
    },
    /// Print all current records as JSON.
    Export {
        /// The state folder.
        folder: PathBuf,
    },
    /// Rewrite the log without outdated and damaged records; refused while a balancer is writing it.
    Compact {
        /// The state folder.
        folder: PathBuf,
    },
}

/// Runs the command given on the command line.
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    let result = match cli.command {
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
    match result {
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
    // An operators' file has no settings. A file that is not valid JSON is reported as an operators' file.
    let value = serde_json::from_slice::<serde_json::Value>(&text).unwrap_or_default();
    if value.get("settings").is_some() {
        return check_configuration(&name.to_string(), &text, json);
    }
    let features = features::load(Some(file))?;
    let Operators { sessions, store } = &features.operators;
    let enabled: Vec<_> =
        [sessions.as_ref().map(|_| "sessions enabled"), store.as_ref().map(|_| "store enabled")]
            .into_iter()
            .flatten()
            .collect();
    let enabled = if enabled.is_empty() { "no features enabled".to_owned() } else { enabled.join(", ") };
    Ok(format!("{name}: valid, {enabled}"))
}

/// Lists the parts that a balancer's configuration enables. The whole file is validated as at the start.
fn check_configuration(name: &str, text: &[u8], json: bool) -> Result<String, String> {
    let variable = |key: &str| (key == "NODE_CONFIG").then(|| name.to_owned());
    let config = crate::operations::config::load(variable, |_| Ok(text.to_vec()))?;
    let parts = marllink_settings::features(&config.settings);
    if json {
        return serde_json::to_string_pretty(&parts).map_err(|e| e.to_string());
    }
    let name_width = parts.iter().map(|part| part.name.len()).max().unwrap_or_default();
    let line = |part: &marllink_settings::Feature| {
        format!("\n{:name_width$}  {:3}  {}", part.name, if part.enabled { "on" } else { "off" }, part.reason)
    };
    Ok(format!("{name}: valid") + &parts.iter().map(line).collect::<String>())
}

fn state(command: &StateCommand) -> Result<String, String> {
    let (StateCommand::Show { folder }
    | StateCommand::Check { folder }
    | StateCommand::Export { folder }
    | StateCommand::Compact { folder }) = command;
    let name = folder.display();
    let describe = |error: marllink_store::Error| format!("{name}: {error}");
    let found = marllink_store::read(folder).map_err(describe)?;
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
                let servers = record.body.pointer("/list/targets").and_then(serde_json::Value::as_array);
                let servers = servers.map_or(String::new(), |all| format!(", {} servers", all.len()));
                format!("\n{}  {age:.0} s old{rev}{servers}", record.name)
            };
            Ok(format!("{name}: {counts}") + &found.latest.values().map(line).collect::<String>())
        }
        StateCommand::Check { .. } if found.damaged_bytes > 0 => Err(format!("{name}: {counts}")),
        StateCommand::Check { .. } => Ok(format!("{name}: no damage, {counts}")),
        StateCommand::Export { .. } => serde_json::to_string_pretty(&found.latest).map_err(|e| e.to_string()),
        StateCommand::Compact { .. } => {
            let disk = marllink_store::FileDisk::lock(folder).map_err(describe)?;
            let mut store = marllink_store::Store::open(disk).map_err(describe)?;
            store.compact().map_err(describe)?;
            let compacted = marllink_store::read(folder).map_err(describe)?;
            Ok(format!(
                "{name}: {counts}; now {} records, {} bytes",
                compacted.record_count, compacted.total_bytes
            ))
        }
    }
}

fn inspect(text: &str, keys: &Path) -> Result<String, String> {
    let keys = features::load_keys(keys)?;
    let token = Token::unseal(text.as_bytes(), &keys).map_err(|e| format!("the token is {e}"))?;
    let validity = match Token::validate(text.as_bytes(), &keys, features::unix_ms()) {
        Ok(_) => "valid now".to_owned(),
        Err(error) => error.to_string(),
    };
    let Token { session, epoch, upto, holder, replicas, issued_ms, expires_ms } = token;
    let members =
        replicas.members.iter().map(|m| format!("{:016x} (incarnation {:x})", m.server, m.incarnation));
    let members = members.collect::<Vec<_>>().join(", ");
    let key = Token::key_id(text.as_bytes()).unwrap_or_default();
    Ok(format!(
        "session    {session}\nepoch      {epoch}\nconfirmed  {upto}\nserver     {holder:016x}\n\
         replicas   {members} (configuration {})\nissued     {issued_ms} (Unix time, ms)\n\
         expires    {expires_ms}\nkey        {key}\nvalidity   {validity}",
        replicas.number
    ))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn checking_a_configuration_lists_its_parts_or_names_the_error() {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples/config.json");
        let table = check(&path, false).expect("the example is valid");
        assert!(table.lines().any(|line| line.starts_with("groups ") && line.contains("  off  ")), "{table}");
        let json = check(&path, true).expect("the example is valid");
        let parts: Vec<serde_json::Value> = serde_json::from_str(&json).expect("valid JSON");
        assert!(parts.iter().any(|part| part["name"] == "list" && part["on"] == true), "{json}");
        let text = std::fs::read_to_string(&path).expect("the example exists");
        let invalid = text.replace("\"maxAttempts\"", "\"attempts\"");
        let message =
            check_configuration("config.json", invalid.as_bytes(), false).expect_err("a key is missing");
        assert!(message.contains("maxAttempts"), "{message}");
    }

    #[test]
    fn the_command_line_definition_is_valid() {
        Cli::command().debug_assert();
    }
}
