//! The hosts and callers of the model, and what happens to them.

use {
    crate::support::{CONTENT, FINGERPRINT, process, run_of, wanted},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    tealshore_core::ids::RequestId,
    tealshore_runs::{
        HostReply, Inquiry, KnownRun, Proof, RunLocation, RunLog, prove_own_run, sole_run,
    },
};

/// The number of hosts.
pub const HOSTS: usize = 4;
/// The number of callers.
pub const CALLERS: usize = 2;
/// Hosts that confirm that there is no other run.
const WITNESSES: usize = 2;
/// How long a caller waits for its whole answer.
const PATIENCE: Duration = Duration::from_secs(60);

/// What happens next. Hosts and callers are indexes.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// A caller sends its request anew. One host may miss the message that reports the run.
    Begin {
        caller: usize,
        host: usize,
        missed_by: Option<usize>,
    },
    /// A caller gets another event.
    Progress {
        caller: usize,
    },
    /// The connection of a caller breaks, which its host notices.
    Disconnect {
        caller: usize,
    },
    /// The connection of a caller breaks, and its host goes on.
    DisconnectUnnoticed {
        caller: usize,
    },
    /// A caller gets the whole answer, or all but its end.
    Finish {
        caller: usize,
        is_end_lost: bool,
    },
    /// A caller resumes its stream.
    Resume {
        caller: usize,
        host: usize,
    },
    Kill {
        host: usize,
    },
    KillAll,
    Restart {
        host: usize,
    },
    /// The host that writes for all others stores the runs that it knows.
    StoreRuns,
    /// A host goes on to answer callers, while no other host hears it or reaches it.
    CutOff {
        host: usize,
    },
    Heal {
        host: usize,
    },
    Wait {
        ms: u64,
    },
}

struct Host {
    log: RunLog,
    incarnation: u64,
    is_alive: bool,
    is_cut_off: bool,
}

/// A caller's current attempt.
#[derive(Clone, Debug)]
struct Attempt {
    request: RequestId,
    host: usize,
    incarnation: u64,
    last_event: u64,
    is_connected: bool,
    /// Until when the caller may resume.
    waits_until: Instant,
}

/// Hosts, and callers who all ask for the same.
pub struct World {
    now: Instant,
    hosts: Vec<Host>,
    attempts: [Option<Attempt>; CALLERS],
    owners: HashMap<RequestId, usize>,
    /// The running streams in the store, as of its last write.
    stored: Vec<KnownRun>,
    /// The ambiguous runs in the store, by the host that wrote them at once.
    stored_ambiguous: [Vec<KnownRun>; HOSTS],
    /// What proved the runs from which streams continued.
    pub proofs: Vec<Proof>,
}

fn name(host: usize) -> String {
    format!("host-{host}")
}

impl World {
    /// Starts all hosts, with no caller.
    pub fn new() -> Self {
        let host = |_| Host {
            log: RunLog::default(),
            incarnation: 1,
            is_alive: true,
            is_cut_off: false,
        };
        Self {
            now: Instant::now(),
            hosts: (0..HOSTS).map(host).collect(),
            attempts: [const { None }; CALLERS],
            owners: HashMap::new(),
            stored: Vec::new(),
            stored_ambiguous: [const { Vec::new() }; HOSTS],
            proofs: Vec::new(),
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        !self.hosts[from].is_cut_off && !self.hosts[to].is_cut_off
    }

    /// Begins a run at a host, which reports it to the others before the caller has an event of it.
    fn begin(
        &mut self,
        caller: usize,
        host: usize,
        last_event: u64,
        continues: Option<RequestId>,
        missed_by: Option<usize>,
    ) {
        let earlier = self.attempts[caller].as_ref();
        let waits_until = earlier.map_or(self.now + PATIENCE, |earlier| earlier.waits_until);
        let request = format!("attempt-{}", self.owners.len());
        let incarnation = self.hosts[host].incarnation;
        let mut run = run_of(&request, &name(host), CONTENT);
        let origin = run.origin.as_mut().unwrap();
        origin.process.incarnation = incarnation;
        origin.continues = continues;
        let waits = waits_until.saturating_duration_since(self.now);
        origin.waits_ms = u64::try_from(waits.as_millis()).unwrap();
        self.hosts[host].log.begin(run.clone(), self.now);
        self.owners.insert(request.clone(), caller);
        self.store_ambiguous(host);
        for other in (0..HOSTS).filter(|other| *other != host) {
            let is_received = self.hosts[other].is_alive && self.reaches(host, other);
            if is_received && missed_by != Some(other) {
                self.report(run.clone(), other);
            }
        }
        self.attempts[caller] = Some(Attempt {
            request,
            host,
            incarnation,
            last_event: last_event + 1,
            is_connected: true,
            waits_until,
        });
    }

    fn report(&mut self, run: KnownRun, to: usize) {
        let log = &mut self.hosts[to].log;
        log.record_peer(run, RunLocation::InGroup, Duration::ZERO, self.now);
        self.store_ambiguous(to);
    }

    fn store_ambiguous(&mut self, by: usize) {
        let ambiguous = self.hosts[by].log.ambiguous(self.now);
        if !ambiguous.is_empty() {
            self.stored_ambiguous[by] = ambiguous;
        }
    }

    fn store_runs(&mut self) {
        if let Some(writer) = self.hosts.iter().find(|host| host.is_alive) {
            self.stored = writer.log.running_in_group(self.now);
        }
    }

    /// Ends the answer to a caller at its host.
    fn end(&mut self, caller: usize, is_complete: bool) {
        let Some(attempt) = &self.attempts[caller] else {
            return;
        };
        let host = &mut self.hosts[attempt.host];
        if host.incarnation == attempt.incarnation {
            let last = Some(attempt.last_event);
            host.log
                .end(FINGERPRINT, &attempt.request, last, is_complete, self.now);
        }
    }

    fn disconnect(&mut self, caller: usize) {
        if let Some(attempt) = &mut self.attempts[caller] {
            attempt.is_connected = false;
        }
    }

    fn kill(&mut self, host: usize) {
        self.hosts[host].is_alive = false;
        for attempt in self.attempts.iter_mut().flatten() {
            if attempt.host == host {
                attempt.is_connected = false;
            }
        }
    }

    /// Starts a host that was killed. It learns what another host knows or, if none is alive, what the store holds.
    fn restart(&mut self, host: usize) {
        if self.hosts[host].is_alive {
            return;
        }
        let mut others = (0..HOSTS).filter(|other| {
            *other != host && self.hosts[*other].is_alive && self.reaches(host, *other)
        });
        let mut log = RunLog::default();
        match others.next().map(|other| &self.hosts[other].log) {
            Some(other) => {
                for report in other.all(self.now) {
                    log.record_peer(report.run, RunLocation::InGroup, report.age, self.now);
                }
                if let Some(loss) = other.loss(PATIENCE, self.now) {
                    log.record_loss(loss, self.now);
                }
            }
            None => {
                let ambiguous = self.stored_ambiguous.iter().flatten();
                let stored = self.stored.iter().chain(ambiguous).cloned();
                log.restore(stored.collect(), self.now);
            }
        }
        let restarted = &mut self.hosts[host];
        restarted.log = log;
        restarted.incarnation += 1;
        restarted.is_alive = true;
    }

    /// Asks other hosts as a host does whose caller resumes.
    fn inquire(&self, by: usize, run_host: &str) -> Inquiry {
        let others = || (0..HOSTS).filter(|other| *other != by);
        let is_heard = |other: &usize| self.hosts[*other].is_alive && self.reaches(by, *other);
        let witnesses: Vec<usize> = others()
            .filter(|other| is_heard(other) && name(*other) != run_host)
            .take(WITNESSES)
            .collect();
        let unheard: Vec<usize> = others().filter(|other| !is_heard(other)).collect();
        let of_run = others().filter(|other| name(*other) == run_host);
        let mut asked: Vec<usize> = witnesses.iter().chain(&unheard).copied().collect();
        asked.extend(of_run);
        asked.sort_unstable();
        asked.dedup();
        let mut replies: Vec<HostReply> =
            asked.into_iter().map(|host| self.reply(by, host)).collect();
        if name(by) == run_host {
            replies.push(HostReply::Runs {
                process: process(run_host, self.hosts[by].incarnation),
                runs: Vec::new(),
                is_partial: false,
            });
        }
        Inquiry {
            replies,
            has_witnesses: !witnesses.is_empty(),
            unheard: unheard.into_iter().map(name).collect(),
            loss: self.hosts[by].log.loss(PATIENCE, self.now),
        }
    }

    fn reply(&self, to: usize, host: usize) -> HostReply {
        let asked = &self.hosts[host];
        if !self.reaches(to, host) {
            return HostReply::Silent(name(host));
        }
        if !asked.is_alive {
            return HostReply::NotListening(name(host));
        }
        HostReply::Runs {
            process: process(&name(host), asked.incarnation),
            runs: asked.log.recent(wanted(), self.now),
            is_partial: false,
        }
    }

    /// A caller resumes at a host. Returns the caller whose run the stream continues from, if it does from any.
    fn resume(&mut self, caller: usize, host: usize) -> Option<usize> {
        let attempt = self.attempts[caller].clone()?;
        if attempt.is_connected || !self.hosts[host].is_alive {
            return None;
        }
        if self.now > attempt.waits_until {
            self.attempts[caller] = None;
            return None;
        }
        let known = self.hosts[host].log.recent(wanted(), self.now);
        let proven = sole_run(&known).and_then(|(_, origin)| {
            let inquiry = self.inquire(host, &origin.process.host);
            prove_own_run(&known, &inquiry, attempt.last_event)
        });
        let continued = proven.ok().map(|(run, proof)| {
            self.proofs.push(proof);
            run.trace.request
        });
        let owner = continued.as_ref().map(|request| self.owners[request]);
        self.begin(caller, host, attempt.last_event, continued, None);
        owner
    }

    /// Applies an event. Returns whether a stream continued from the run of another caller.
    pub fn apply(&mut self, event: Event) -> bool {
        match event {
            Event::Begin {
                caller,
                host,
                missed_by,
            } => {
                if self.attempts[caller].is_none() && self.hosts[host].is_alive {
                    self.begin(caller, host, 0, None, missed_by);
                }
            }
            Event::Progress { caller } => {
                let attempt = self.attempts[caller].as_mut();
                if let Some(attempt) = attempt.filter(|attempt| attempt.is_connected) {
                    attempt.last_event += 1;
                }
            }
            Event::Disconnect { caller } => {
                if self.is_connected(caller) {
                    self.end(caller, false);
                    self.disconnect(caller);
                }
            }
            Event::DisconnectUnnoticed { caller } => self.disconnect(caller),
            Event::Finish {
                caller,
                is_end_lost,
            } => {
                if self.is_connected(caller) {
                    self.end(caller, true);
                    self.disconnect(caller);
                    if !is_end_lost {
                        self.attempts[caller] = None;
                    }
                }
            }
            Event::Resume { caller, host } => {
                let owner = self.resume(caller, host);
                return owner.is_some_and(|owner| owner != caller);
            }
            Event::Kill { host } => self.kill(host),
            Event::KillAll => (0..HOSTS).for_each(|host| self.kill(host)),
            Event::Restart { host } => self.restart(host),
            Event::StoreRuns => self.store_runs(),
            Event::CutOff { host } => self.hosts[host].is_cut_off = true,
            Event::Heal { host } => self.heal(host),
            Event::Wait { ms } => self.now += Duration::from_millis(ms),
        }
        false
    }

    fn is_connected(&self, caller: usize) -> bool {
        let attempt = self.attempts[caller].as_ref();
        attempt.is_some_and(|attempt| attempt.is_connected)
    }

    /// Connects a host to the others again. All tell each other which callers they answer.
    fn heal(&mut self, host: usize) {
        self.hosts[host].is_cut_off = false;
        for from in 0..HOSTS {
            let own = self.hosts[from].log.own(self.now);
            for to in (0..HOSTS).filter(|to| *to != from) {
                let is_received =
                    self.hosts[from].is_alive && self.hosts[to].is_alive && self.reaches(from, to);
                for run in own.iter().filter(|_| is_received) {
                    self.report(run.clone(), to);
                }
            }
        }
    }
}
