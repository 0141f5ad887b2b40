//! The operators' client: statements from the command line, a file or a prompt.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use gumdrop::Options;
use miette::{IntoDiagnostic, NamedSource, Report, WrapErr};
use rustyline::error::ReadlineError;
use skylarkgw::operator::{OperatorSession, OperatorSettings, Verdict, parse_script};

const EXIT_USAGE: u8 = 2;
/// Start of every key; lines with one stay out of the history.
const KEY_START: &str = "sk-";
const HISTORY_FILE: &str = ".skylarkctl_history";

/// Asks and changes what the fleet should be.
#[derive(Debug, Options)]
struct ClientOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "settings file, JSON with comments", meta = "FILE", required)]
    settings: PathBuf,
    #[options(help = "read statements from a file", meta = "FILE")]
    file: Option<PathBuf>,
    #[options(help = "identifier of the change, the same one for a second try", meta = "ID")]
    change: Option<String>,
    #[options(help = "only say what would change", no_short)]
    dry_run: bool,
    #[options(free, help = "statements; without any, a prompt opens")]
    statements: Vec<String>,
}

fn main() -> ExitCode {
    let options = ClientOptions::parse_args_default_or_exit();
    match run(&options) {
        Ok(verdict) => ExitCode::from(verdict.exit_code()),
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn run(options: &ClientOptions) -> Result<Verdict, Report> {
    let settings = OperatorSettings::read(&options.settings)?;
    let secret = read_secret(&settings.key_secret_file)?;
    let token = settings.operator_token_file.as_deref().map(read_secret).transpose()?;
    let change: Option<Arc<str>> = options.change.as_deref().map(Into::into);
    let token = token.map(Into::into);
    let session = OperatorSession::new(settings, &secret, token, change, options.dry_run)?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().into_diagnostic()?;
    if let Some(path) = &options.file {
        let text = std::fs::read_to_string(path)
            .into_diagnostic()
            .wrap_err_with(|| path.display().to_string())?;
        return Ok(runtime.block_on(run_script(&session, &path.display().to_string(), &text)));
    }
    if options.statements.is_empty() {
        return prompt(&runtime, &session);
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

/// Carries out statements in order and stops at the first that is not done.
async fn run_script(session: &OperatorSession, name: &str, text: &str) -> Verdict {
    let placed = |report: Report| report.with_source_code(NamedSource::new(name, text.to_owned()));
    let statements = match parse_script(text) {
        Ok(statements) => statements,
        Err(error) => {
            eprintln!("{:?}", placed(Report::new(error)));
            return Verdict::Refused;
        }
    };
    for statement in &statements {
        match session.execute(statement).await {
            Ok(answer) => {
                println!("{}", answer.text);
                if answer.verdict != Verdict::Done {
                    return answer.verdict;
                }
            }
            Err(error) => {
                let verdict = error.verdict();
                eprintln!("{:?}", placed(Report::new(error)));
                return verdict;
            }
        }
    }
    Verdict::Done
}

fn prompt(runtime: &tokio::runtime::Runtime, session: &OperatorSession) -> Result<Verdict, Report> {
    let mut editor = rustyline::DefaultEditor::new().into_diagnostic()?;
    let history = std::env::var_os("HOME").map(|home| Path::new(&home).join(HISTORY_FILE));
    if let Some(path) = &history {
        // There is none at the first start.
        let _ = editor.load_history(path);
    }
    let mut verdict = Verdict::Done;
    loop {
        match editor.readline("skylark> ") {
            Ok(line) if line.trim().is_empty() => {}
            Ok(line) => {
                if !line.contains(KEY_START) {
                    let _ = editor.add_history_entry(&line);
                }
                verdict = runtime.block_on(run_script(session, "prompt", &line));
            }
            Err(ReadlineError::Eof | ReadlineError::Interrupted) => break,
            Err(error) => return Err(error).into_diagnostic(),
        }
    }
    if let Some(path) = &history {
        editor.save_history(path).into_diagnostic()?;
    }
    Ok(verdict)
}
