//! Injects the faults of a scenario.

use {
    super::Runner,
    crate::{link::Cut, scenario::line::Line},
    eyre::bail,
    http::Method,
    tealshore_standin::table::TableFaults,
};

impl Runner {
    pub(super) async fn kill(&mut self, line: &Line) -> eyre::Result<()> {
        if line.word(0).starts_with("entry-") {
            let index = self.entry(line.word(0))?;
            return self.fleet.routers[index].process.kill().await;
        }
        // With `engine-of`, no engine may have the request yet. Then there is nothing to kill.
        let Ok(index) = self.engine(line).await else {
            return Ok(());
        };
        let counts: tealshore_standin::engine::WorkCounts = self
            .fleet
            .read(self.fleet.engines[index].address, "/control/work")
            .await?;
        for (request, runs) in counts.runs {
            *self.lost_runs.entry(request).or_default() += runs;
        }
        self.fleet.engines[index].process.kill().await
    }

    pub(super) async fn signal(&mut self, line: &Line, freeze: bool) -> eyre::Result<()> {
        if line.word(0) == "all" {
            let engines = self.fleet.engines.iter().map(|engine| &engine.process);
            let routers = self.fleet.routers.iter().map(|router| &router.process);
            engines
                .chain(routers)
                .filter(|process| process.is_running())
                .try_for_each(|process| process.thaw())?;
            return Ok(());
        }
        let process = if line.word(0).starts_with("entry-") {
            &self.fleet.routers[self.entry(line.word(0))?].process
        } else {
            let Ok(index) = self.engine(line).await else {
                return Ok(());
            };
            &self.fleet.engines[index].process
        };
        if freeze {
            process.freeze()
        } else {
            process.thaw()
        }
    }

    pub(super) async fn cut(&self, line: &Line, cut: Cut) -> eyre::Result<()> {
        let cut = if line.word(0) == "engine-of" {
            Cut {
                forward: line.word(2) != "back",
                backward: line.word(2) != "forth",
            }
        } else {
            cut
        };
        if let Ok(index) = self.engine(line).await {
            self.links[index].set(cut);
        }
        Ok(())
    }

    pub(super) async fn set_table_faults(&self, line: &Line) -> eyre::Result<()> {
        let faults = match line.word(0) {
            "outage" => TableFaults {
                outage: true,
                ..TableFaults::default()
            },
            "silent" => TableFaults {
                silent: true,
                ..TableFaults::default()
            },
            "slow" => TableFaults {
                slow_ms: line.word(1).parse()?,
                ..TableFaults::default()
            },
            "loses" => TableFaults {
                lose_answers: line.word(1).parse()?,
                ..TableFaults::default()
            },
            "fine" => TableFaults::default(),
            other => bail!("unknown state of the table: {other}"),
        };
        self.fleet.set_table_faults(&faults).await
    }

    pub(super) async fn set_host_list_outage(&self, line: &Line) -> eyre::Result<()> {
        let outage = line.word(0) == "outage";
        self.fleet
            .control(
                self.fleet.hosts.address,
                Method::PUT,
                "/control/outage",
                Some(&outage),
            )
            .await
    }
}
