//! Runs a scenario against real processes.

mod checks;
mod faults;

use {
    super::line::Line,
    crate::{
        fleet::{Fleet, FleetOptions, Setting, live_host_entry, start_call},
        link::{Cut, Link},
        work::{SERVICE, THRIFT_CUSTOMER, Work},
    },
    checks::{check_honest, check_prefix, check_problem, check_whole},
    eyre::{bail, eyre},
    std::{collections::BTreeMap, fmt, time::Duration},
    tealshore_callers::client::CallRecord,
    tealshore_hosts::HostRole,
    tokio::{sync::watch, task::JoinHandle, time::timeout},
};

/// How long the runner waits for a step to be reached or an answer to end.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a caller waits for the next event before it reconnects to another entry host.
const CALLER_EVENT_TIMEOUT: Duration = Duration::from_secs(3);
/// How often the runner polls for a state.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The result of a scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// All expectations hold.
    Held,
    /// An expectation was violated.
    Broke(String),
    /// A step was not reached, so the scenario proves nothing.
    NotRun(String),
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Held => write!(f, "held"),
            Self::Broke(cause) => write!(f, "BROKE: {cause}"),
            Self::NotRun(cause) => write!(f, "not run: {cause}"),
        }
    }
}

struct ActiveCall {
    work: Work,
    progress: watch::Receiver<u64>,
    task: Option<JoinHandle<CallRecord>>,
    record: Option<CallRecord>,
}

struct Runner {
    fleet: Fleet,
    salts: u64,
    links: Vec<Link>,
    calls: BTreeMap<String, ActiveCall>,
    /// Run counts of engines that were killed, by request. They can't be read after the kill.
    lost_runs: BTreeMap<String, u32>,
}

/// Runs a scenario up to its end or to the first line that does not hold.
///
/// # Errors
/// Fails if a line can't be executed or the system does not start.
pub async fn run(lines: &[Line]) -> eyre::Result<Verdict> {
    let system = lines.first().filter(|line| line.verb == "system");
    let system = system.ok_or_else(|| eyre!("the first line must have the verb `system`"))?;
    let mut runner = Runner::start(system).await?;
    for line in &lines[1..] {
        let verdict = runner
            .execute(line)
            .await
            .map_err(|error| eyre!("{line}: {error:#}"))?;
        if verdict != Verdict::Held {
            return Ok(verdict);
        }
    }
    Ok(Verdict::Held)
}

impl Runner {
    async fn start(system: &Line) -> eyre::Result<Self> {
        let engines = system.number("engines", 4);
        let drain_ms = system.value("drain_ms", "300");
        let settings = vec![
            Setting::new("callers", "return_grace_ms", "3000"),
            Setting::new("table", "exchange_timeout_ms", "200"),
            Setting::new("table", "operation_timeout_ms", "800"),
            Setting::new("stop", "drain_timeout_ms", drain_ms),
        ];
        let options = FleetOptions {
            routers: system.number("entries", 3),
            engines,
            plain: system.number("plain", 0),
            engine_args: [
                "--prefill-per-step",
                system.value("prefill", "512"),
                "--step-ms",
                "10",
            ]
            .map(str::to_owned)
            .to_vec(),
            salted: true,
            settings,
            ..FleetOptions::default()
        };
        let fleet = Fleet::start(options).await?;
        let mut links = Vec::new();
        for (index, engine) in fleet.engines.iter().enumerate() {
            let link = Link::to(engine.address).await?;
            fleet
                .list(&[live_host_entry(
                    &engine.id,
                    HostRole::Engine,
                    SERVICE,
                    index as u64,
                    link.address,
                )])
                .await?;
            links.push(link);
        }
        fleet.wait_for_loads().await?;
        Ok(Self {
            fleet,
            salts: engines,
            links,
            calls: BTreeMap::new(),
            lost_runs: BTreeMap::new(),
        })
    }

    async fn execute(&mut self, line: &Line) -> eyre::Result<Verdict> {
        match line.verb.as_str() {
            "start" => self.start_call(line)?,
            "when" => return self.wait_until(line).await,
            "wait" => tokio::time::sleep(Duration::from_millis(line.word(0).parse()?)).await,
            "kill" => self.kill(line).await?,
            "freeze" => self.signal(line, true).await?,
            "thaw" => self.signal(line, false).await?,
            "cut" => {
                self.cut(
                    line,
                    Cut {
                        forward: line.word(1) != "back",
                        backward: line.word(1) != "forth",
                    },
                )
                .await?
            }
            "heal" => self.links.iter().for_each(|link| link.set(Cut::default())),
            "stop" => self
                .entry(line.word(0))
                .and_then(|index| self.fleet.routers[index].process.terminate())?,
            "table" => self.set_table_faults(line).await?,
            "hosts" => self.set_host_list_outage(line).await?,
            "expect" => return self.expect(line).await,
            verb => bail!("unknown verb: {verb}"),
        }
        Ok(Verdict::Held)
    }

    fn start_call(&mut self, line: &Line) -> eyre::Result<()> {
        let name = line.word(0).to_owned();
        let template = line.value("template", "assess");
        let prompt = "word ".repeat(usize::try_from(line.number("prompt", 20))?);
        let mut work = Work::new(
            line.value("id", &name),
            template,
            &prompt,
            line.number("tokens", 100),
        );
        work.call.repeat = line.values.get("repeat").cloned();
        if line.value("customer", "") == "cedar" {
            work.customer = THRIFT_CUSTOMER.to_owned();
        }
        let mut entries = self.fleet.entries();
        let first = usize::try_from(line.number("entry", 0))?;
        entries.rotate_left(first % self.fleet.routers.len());
        let caller = Fleet::caller_with_event_timeout(work.key(), CALLER_EVENT_TIMEOUT);
        let (task, progress) = start_call(caller, entries, &work);
        self.calls.insert(
            name,
            ActiveCall {
                work,
                progress,
                task: Some(task),
                record: None,
            },
        );
        Ok(())
    }

    async fn wait_until(&mut self, line: &Line) -> eyre::Result<Verdict> {
        let reached = match line.word(1) {
            "has" => {
                self.wait_for_tokens(line.word(0), line.word(2).parse()?)
                    .await?
            }
            "runs" => self.wait_for_run(line.word(0)).await?,
            "ended" => self.record(line.word(0)).await.is_ok(),
            other => bail!("unknown state: {other}"),
        };
        Ok(if reached {
            Verdict::Held
        } else {
            Verdict::NotRun(line.to_string())
        })
    }

    async fn wait_for_tokens(&mut self, name: &str, tokens: u64) -> eyre::Result<bool> {
        let active_call = self
            .calls
            .get_mut(name)
            .ok_or_else(|| eyre!("no call {name}"))?;
        let reached = timeout(
            STEP_TIMEOUT,
            active_call.progress.wait_for(|seen| *seen >= tokens),
        )
        .await;
        Ok(matches!(reached, Ok(Ok(_))))
    }

    async fn wait_for_run(&self, name: &str) -> eyre::Result<bool> {
        let work = &self.active_call(name)?.work;
        let wait = async {
            while self.fleet.engines_of(work).await.is_empty() {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        Ok(timeout(STEP_TIMEOUT, wait).await.is_ok())
    }

    /// Resolves the engine that a line names. `engine-of NAME` is the running engine with the highest index
    /// among those that ran the call.
    async fn engine(&self, line: &Line) -> eyre::Result<usize> {
        match line.word(0) {
            "engine-of" => {
                let work = &self.active_call(line.word(1))?.work;
                self.fleet
                    .engines_of(work)
                    .await
                    .last()
                    .copied()
                    .ok_or_else(|| eyre!("no running engine has run call {}", work.call.id))
            }
            word => word
                .strip_prefix("engine-")
                .and_then(|index| index.parse().ok())
                .ok_or_else(|| eyre!("not an engine: {word}")),
        }
    }

    fn entry(&self, word: &str) -> eyre::Result<usize> {
        let index: Option<usize> = word
            .strip_prefix("entry-")
            .and_then(|index| index.parse().ok());
        index
            .filter(|index| *index < self.fleet.routers.len())
            .ok_or_else(|| eyre!("no such entry host: {word}"))
    }

    fn active_call(&self, name: &str) -> eyre::Result<&ActiveCall> {
        self.calls.get(name).ok_or_else(|| eyre!("no call {name}"))
    }

    async fn record(&mut self, name: &str) -> eyre::Result<&CallRecord> {
        let active_call = self
            .calls
            .get_mut(name)
            .ok_or_else(|| eyre!("no call {name}"))?;
        if let Some(task) = active_call.task.take() {
            active_call.record = Some(timeout(STEP_TIMEOUT, task).await??);
        }
        active_call
            .record
            .as_ref()
            .ok_or_else(|| eyre!("call {name} has not ended"))
    }

    async fn runs(&self, work: &Work) -> u32 {
        let lost = self
            .lost_runs
            .get(&work.engine_request_id())
            .copied()
            .unwrap_or(0);
        self.fleet.runs_of(work).await + lost
    }

    async fn expect(&mut self, line: &Line) -> eyre::Result<Verdict> {
        let name = line.word(0);
        let salts = self.salts;
        let work = self.active_call(name)?.work.clone();
        let record = match self.record(name).await {
            Ok(record) => record.clone(),
            Err(error) => return Ok(Verdict::Broke(format!("call {name} did not end: {error}"))),
        };
        let broken = match line.word(1) {
            "whole" => check_whole(&work, &record, salts),
            "honest" => {
                let runs = self.runs(&work).await;
                check_prefix(&work, &record, salts).or_else(|| check_honest(&record, runs))
            }
            "runs" => {
                let (runs, most) = (self.runs(&work).await, line.word(2).parse::<u32>()?);
                (runs > most).then(|| format!("it ran {runs} times, which is more than expected"))
            }
            "problem" => check_problem(&record, line.word(2)),
            other => bail!("unknown expectation: {other}"),
        };
        Ok(broken.map_or(Verdict::Held, |cause| {
            Verdict::Broke(format!("{name}: {cause}"))
        }))
    }
}
