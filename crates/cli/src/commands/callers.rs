//! Commands for callers.

use {
    super::{number, text},
    crate::outcome::Outcome,
    clap::ArgMatches,
    rand::RngExt,
    std::{io::Write, net::SocketAddr, num::NonZeroU64, time::Duration},
    tealshore_callers::{
        client::{Call, CallEnd, Caller, CallerOptions},
        wire::{AddressResponse, CallerPrompt, CompletionRequest},
    },
    tealshore_core::answer::Ran,
};

/// How long the command waits for the next event before it reconnects to another entry host.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of connections for one request.
const MAX_CONNECTIONS: u32 = 8;

/// Runs `addresses`.
pub async fn addresses(args: &ArgMatches) -> Result<(), Outcome> {
    let answer = fetch_addresses(&caller(args)?, entry(args)?).await?;
    println!("keep for {} ms", answer.keep_ms);
    for entry in answer.addresses {
        println!("{} {}", entry.address, entry.hall);
    }
    Ok(())
}

/// Runs `complete`.
pub async fn complete(args: &ArgMatches) -> Result<(), Outcome> {
    let caller = caller(args)?;
    let answer = fetch_addresses(&caller, entry(args)?).await?;
    let entries: Vec<SocketAddr> = answer.addresses.iter().map(|entry| entry.address).collect();
    let call = call(args)?;
    eprintln!(
        "sending request {} to {}",
        call.id,
        entries.first().map(ToString::to_string).unwrap_or_default()
    );
    let record = caller
        .complete(&entries, &call, |arrival| {
            print!("{}", arrival.text);
            // Flushed so that the text appears as it arrives. A closed pipe is noticed at the end.
            let _ = std::io::stdout().flush();
        })
        .await;
    println!();
    match record.end {
        CallEnd::Complete => {
            eprintln!(
                "{} tokens received over {} connection(s)",
                record.arrivals.len(),
                record.connections
            );
            Ok(())
        }
        CallEnd::Problem(problem) => {
            let cause = format!(
                "{}: {} (ran: {:?})",
                problem.title, problem.detail, problem.ran
            );
            Err(if problem.ran == Ran::Unknown {
                Outcome::Unknown(cause)
            } else {
                Outcome::Failed(cause)
            })
        }
        CallEnd::GaveUp(cause) => Err(Outcome::Unknown(cause)),
    }
}

async fn fetch_addresses(caller: &Caller, entry: SocketAddr) -> Result<AddressResponse, Outcome> {
    caller.addresses(entry).await.map_err(Outcome::Failed)
}

fn caller(args: &ArgMatches) -> Result<Caller, Outcome> {
    let key = text(args, "key").or_else(|| std::env::var("TEALSHORE_KEY").ok());
    let key = key.ok_or_else(|| Outcome::Usage("--key or TEALSHORE_KEY is required".to_owned()))?;
    Ok(Caller::new(CallerOptions {
        key,
        read_timeout: EVENT_TIMEOUT,
        max_connections: MAX_CONNECTIONS,
        send_received: true,
        http2: false,
    }))
}

fn entry(args: &ArgMatches) -> Result<SocketAddr, Outcome> {
    args.get_one::<SocketAddr>("entry")
        .copied()
        .ok_or_else(|| Outcome::Usage("--entry is required".to_owned()))
}

fn call(args: &ArgMatches) -> Result<Call, Outcome> {
    let max_tokens = number(args, "max-tokens").and_then(NonZeroU64::new);
    let request = CompletionRequest {
        model: text(args, "model").unwrap_or_default(),
        prompt: CallerPrompt::Text(text(args, "prompt").unwrap_or_default()),
        max_tokens: max_tokens
            .ok_or_else(|| Outcome::Usage("--max-tokens must be 1 or more".to_owned()))?,
        seed: number(args, "seed").unwrap_or_default(),
        stream: true,
        received: None,
    };
    let id =
        text(args, "id").unwrap_or_else(|| format!("cli-{:016x}", rand::rng().random::<u64>()));
    let repeat = args.get_flag("once").then(|| "forbidden".to_owned());
    Ok(Call {
        id,
        request,
        repeat,
    })
}
