//! The operator client: executes statements from the command line, a file or a
//! prompt.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use gumdrop::Options;
use miette::{IntoDiagnostic, NamedSource, Report, WrapErr};
use rustyline::error::ReadlineError;
use skylarkgw::operator::{OperatorSession, OperatorSettings, StatementOutcome, parse_script};

/// Exit code for options, settings or files that cannot be used.
const EXIT_USAGE: u8 = 2;
/// Prefix of every API key. Lines that contain it are not added to the history.
const KEY_PREFIX: &str = "sk-";
const HISTORY_FILE: &str = ".skylarkctl_history";

/// Queries and changes the configuration of a fleet.
#[derive(Debug, Options)]
struct ClientOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "settings file, JSON with comments", meta = "FILE", required)]
    settings: PathBuf,
    #[options(help = "read statements from a file", meta = "FILE")]
    file: Option<PathBuf>,
    #[options(
        help = "identifier of the change; a retry with the same one is applied at most once",
        meta = "ID"
    )]
    change: Option<String>,
    #[options(help = "show what would change, without changing it", no_short)]
    dry_run: bool,
    #[options(free, help = "statements; without any, an interactive prompt opens")]
    statements: Vec<String>,
}

fn main() -> ExitCode {
    let options = ClientOptions::parse_args_default_or_exit();
    match run(&options) {
        Ok(outcome) => ExitCode::from(outcome.exit_code()),
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn run(options: &ClientOptions) -> Result<StatementOutcome, Report> {
    let settings = OperatorSettings::read(&options.settings)?;
    let secret = read_secret(&settings.key_secret_file)?;
    let token = settings.operator_token_file.as_deref().map(read_secret).transpose()?;
    let change_id: Option<Arc<str>> = options.change.as_deref().map(Into::into);
    let token = token.map(Into::into);
    let session = OperatorSession::new(settings, &secret, token, change_id, options.dry_run)?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().into_diagnostic()?;
    if let Some(path) = &options.file {
        let text = std::fs::read_to_string(path)
            .into_diagnostic()
            .wrap_err_with(|| path.display().to_string())?;
        return Ok(runtime.block_on(run_script(&session, &path.display().to_string(), &text)));
    }
    if options.statements.is_empty() {
        return run_prompt(&runtime, &session);
    }
    let text = options.statements.join(" ");
    Ok(runtime.block_on(run_script(&session, "command line", &text)))
}

fn read_secret(path: &Path) -> Result<String, Report> {
    let text = std::fs::read_to_string(path)
        .into_diagnostic()
        .wrap_err_with(|| path.display().to_string())?;
    Ok(text.trim().to_owned())
}

/// Executes statements in order and stops at the first that is not completed.
async fn run_script(session: &OperatorSession, name: &str, text: &str) -> StatementOutcome {
    let with_source =
        |report: Report| report.with_source_code(NamedSource::new(name, text.to_owned()));
    let statements = match parse_script(text) {
        Ok(statements) => statements,
        Err(error) => {
            eprintln!("{:?}", with_source(Report::new(error)));
            return StatementOutcome::Refused;
        }
    };
    for statement in &statements {
        match session.execute(statement).await {
            Ok(output) => {
                println!("{}", output.text);
                if output.outcome != StatementOutcome::Completed {
                    return output.outcome;
                }
            }
            Err(error) => {
                let outcome = error.outcome();
                eprintln!("{:?}", with_source(Report::new(error)));
                return outcome;
            }
        }
    }
    StatementOutcome::Completed
}

fn run_prompt(
    runtime: &tokio::runtime::Runtime,
    session: &OperatorSession,
) -> Result<StatementOutcome, Report> {
    let mut editor = rustyline::DefaultEditor::new().into_diagnostic()?;
    let history = std::env::var_os("HOME").map(|home| Path::new(&home).join(HISTORY_FILE));
    if let Some(path) = &history {
        // The file does not exist on the first run.
        let _ = editor.load_history(path);
    }
    let mut outcome = StatementOutcome::Completed;
    loop {
        match editor.readline("skylark> ") {
            Ok(line) if line.trim().is_empty() => {}
            Ok(line) => {
                if !line.contains(KEY_PREFIX) {
                    let _ = editor.add_history_entry(&line);
                }
                outcome = runtime.block_on(run_script(session, "prompt", &line));
            }
            Err(ReadlineError::Eof | ReadlineError::Interrupted) => break,
            Err(error) => return Err(error).into_diagnostic(),
        }
    }
    if let Some(path) = &history {
        editor.save_history(path).into_diagnostic()?;
    }
    Ok(outcome)
}
