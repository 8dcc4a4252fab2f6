//! The fault matrix: one scenario for each combination of a kind of request, a step in its lifecycle,
//! and a fault.

use {
    super::{
        line::parse,
        runner::{Verdict, run},
    },
    futures::{StreamExt, stream},
    std::fmt,
};

/// How many cells run concurrently; each starts its own system.
const MAX_CONCURRENT_CELLS: usize = 4;

/// The kind of a request: whether it may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestKind {
    Repeatable,
    Once,
}

impl RequestKind {
    const ALL: [Self; 2] = [Self::Repeatable, Self::Once];

    fn name(self) -> &'static str {
        match self {
            Self::Repeatable => "repeatable",
            Self::Once => "once",
        }
    }

    fn start(self) -> &'static str {
        match self {
            Self::Repeatable => "start a template=assess tokens=100 prompt=150",
            Self::Once => "start a template=draft tokens=100 prompt=150",
        }
    }

    /// What must hold under every fault. A request that may be repeated is answered whole in the end,
    /// since enough engines and entry hosts remain.
    fn expectations(self) -> &'static str {
        match self {
            Self::Repeatable => "expect a whole\nexpect a honest\n",
            Self::Once => "expect a honest\nexpect a runs 1\n",
        }
    }
}

/// A step in the lifecycle of a request; the fault is injected when it is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Step {
    name: &'static str,
    /// Scenario lines before the call starts.
    before: &'static str,
    /// Scenario lines after the call starts, up to the step. `@FAULT` marks the place of the fault.
    after: &'static str,
}

const STEPS: [Step; 8] = [
    Step {
        name: "before",
        before: "@FAULT",
        after: "",
    },
    Step {
        name: "claiming",
        before: "table slow 150",
        after: "wait 60\n@FAULT",
    },
    Step {
        name: "prefill",
        before: "",
        after: "when a runs\n@FAULT",
    },
    Step {
        name: "first-token",
        before: "",
        after: "when a has 1\n@FAULT",
    },
    Step {
        name: "streaming",
        before: "",
        after: "when a has 40\n@FAULT",
    },
    Step {
        name: "suspect",
        before: "",
        after: "when a has 40\nfreeze engine-of a\nwait 300\n@FAULT",
    },
    Step {
        name: "resuming",
        before: "",
        after: "when a has 40\nkill engine-of a\n@FAULT",
    },
    Step {
        name: "last-token",
        before: "",
        after: "when a has 99\n@FAULT",
    },
];

/// A fault, with the scenario lines that inject and end it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Fault {
    name: &'static str,
    script: &'static str,
}

const FAULTS: [Fault; 16] = [
    Fault {
        name: "engine-kill",
        script: "kill engine-of a",
    },
    Fault {
        name: "engine-freeze",
        script: "freeze engine-of a\nwait 1500\nthaw all",
    },
    Fault {
        name: "entry-kill",
        script: "kill entry-0",
    },
    Fault {
        name: "entry-freeze",
        script: "freeze entry-0\nwait 4000\nthaw all",
    },
    Fault {
        name: "cut",
        script: "cut engine-of a\nwait 1500\nheal",
    },
    Fault {
        name: "cut-forth",
        script: "cut engine-of a forth\nwait 1500\nheal",
    },
    Fault {
        name: "cut-back",
        script: "cut engine-of a back\nwait 1500\nheal",
    },
    Fault {
        name: "table-outage",
        script: "table outage\nwait 1500\ntable fine",
    },
    Fault {
        name: "table-silent",
        script: "table silent\nwait 1500\ntable fine",
    },
    Fault {
        name: "table-slow",
        script: "table slow 150\nwait 1500\ntable fine",
    },
    Fault {
        name: "table-loses",
        script: "table loses 2",
    },
    Fault {
        name: "hosts-outage",
        script: "hosts outage\nwait 1500\nhosts fine",
    },
    Fault {
        name: "same-call",
        script: "@SAME",
    },
    Fault {
        name: "crossed-call",
        script: "start b template=summary customer=cedar id=a tokens=100 prompt=150 entry=0",
    },
    Fault {
        name: "entry-stop",
        script: "stop entry-0",
    },
    Fault {
        name: "entry-and-engine",
        script: "kill engine-of a\nkill entry-0",
    },
];

/// A cell of the matrix.
#[derive(Clone, Debug)]
pub struct Cell {
    /// The name, as KIND/STEP/FAULT.
    pub name: String,
    /// The text of its scenario.
    pub text: String,
}

/// Returns all cells whose name contains `filter`.
#[must_use]
pub fn cells(filter: &str) -> Vec<Cell> {
    let mut all = Vec::new();
    for kind in RequestKind::ALL {
        for step in STEPS {
            for fault in FAULTS {
                all.push(cell(kind, step, fault));
            }
        }
    }
    all.retain(|cell| cell.name.contains(filter));
    all
}

fn cell(kind: RequestKind, step: Step, fault: Fault) -> Cell {
    // A prompt of 150 words, prefilled at 5 words per step of 10 ms, takes about 300 ms.
    let lines = [
        "system entries=3 engines=4 prefill=5",
        step.before,
        kind.start(),
        step.after,
    ];
    let same_call = format!(
        "{} id=a entry=1",
        kind.start().replace("start a", "start b")
    );
    let script = fault.script.replace("@SAME", &same_call);
    let mut text = lines.join("\n").replace("@FAULT", &script);
    // Ends all remaining freezes and cuts, so that the call can end.
    text.push_str("\nthaw all\nheal\n");
    text.push_str(kind.expectations());
    if script.contains("start b") {
        text.push_str("expect b honest\n");
    }
    Cell {
        name: format!("{}/{}/{}", kind.name(), step.name, fault.name),
        text,
    }
}

/// Counts of cells by verdict.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MatrixCounts {
    /// Cells in total.
    pub cells: usize,
    /// Cells in which all expectations held.
    pub held: usize,
    /// Cells in which an expectation was violated.
    pub broke: usize,
    /// Cells in which the step was not reached.
    pub not_run: usize,
}

impl fmt::Display for MatrixCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            cells,
            held,
            broke,
            not_run,
        } = self;
        write!(
            f,
            "cells={cells} held={held} broke={broke} not_run={not_run}"
        )
    }
}

/// Runs all cells whose name contains `filter`; prints a line for each and the counts at the end.
/// Returns whether no expectation was violated.
///
/// # Errors
/// Fails if a cell's scenario can't be run or its system does not start.
pub async fn run_all(filter: &str) -> eyre::Result<bool> {
    let mut counts = MatrixCounts::default();
    let runs = stream::iter(cells(filter)).map(|cell| async move {
        let lines = parse(&cell.text)?;
        let verdict = run(&lines).await?;
        eyre::Ok((cell, verdict))
    });
    let mut results = runs.buffered(MAX_CONCURRENT_CELLS);
    while let Some(result) = results.next().await {
        let (cell, verdict) = result?;
        println!("{:44} {verdict}", cell.name);
        counts.cells += 1;
        match verdict {
            Verdict::Held => counts.held += 1,
            Verdict::Broke(_) => counts.broke += 1,
            Verdict::NotRun(_) => counts.not_run += 1,
        }
    }
    println!("{counts}");
    Ok(counts.broke == 0)
}
