//! Compact encoding of a set of upstreams: strings that many rows share are written once, and numbers as the difference
//! from the previous row.

use {
    crate::{
        edge::{Revision, StoreTime},
        feed::SetWatermark,
        peers::snapshot::{SetSnapshot, SnapshotRows},
        view::{UpstreamChanges, UpstreamRecord, UpstreamState},
    },
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, net::SocketAddr},
    tealshore_capacity::EngineKind,
    tealshore_core::ids::EngineId,
};

/// The index of a name in [`PackedUpstreams::names`].
type NameIndex = u32;

/// All upstreams that a host lists, or the changes since a version, as sent to another host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedUpstreams {
    watermark: SetWatermark,
    store_time: StoreTime,
    extent: Extent,
    /// Names of services, halls and versions, which rows refer to by index.
    names: Vec<String>,
    /// Sorted by revision, so that differences are small.
    rows: Vec<PackedRow>,
    /// Rows that no longer name an upstream; empty for a full set.
    gone: Vec<(Revision, EngineId)>,
}

/// What the set contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Extent {
    /// All upstreams.
    Full,
    /// The changes after a version.
    ChangesAfter(Revision),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct PackedRow {
    revision_step: i64,
    id: EngineId,
    born: PackedBirth,
    service: NameIndex,
    hall: NameIndex,
    version: NameIndex,
    address: SocketAddr,
    slots: u32,
    kind: EngineKind,
    state: UpstreamState,
}

/// Time of birth of an upstream's incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum PackedBirth {
    /// The upstream doesn't report it.
    Untold,
    /// Milliseconds since the time of birth in the previous row that has one.
    Step(i64),
}

/// A row refers to a name index that the set doesn't contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidNameIndex;

impl PackedUpstreams {
    /// Packs a snapshot of upstreams; `None` for any other set.
    #[must_use]
    pub fn pack(snapshot: SetSnapshot) -> Option<Self> {
        let (extent, mut rows, gone) = match snapshot.rows {
            SnapshotRows::Upstreams(rows) => (Extent::Full, rows, Vec::new()),
            SnapshotRows::UpstreamChanges(changes) => {
                let extent = Extent::ChangesAfter(changes.after);
                (extent, changes.listed, changes.gone)
            }
            SnapshotRows::Configuration { .. } | SnapshotRows::Runs(_) => return None,
        };
        rows.sort_unstable_by_key(|(revision, _)| *revision);
        let mut names = NameTable::default();
        let mut previous = PreviousNumbers::default();
        let rows = rows.into_iter().map(|(revision, record)| PackedRow {
            revision_step: previous.revision.difference_to(revision),
            id: record.id,
            born: record.born.map_or(PackedBirth::Untold, |born| {
                PackedBirth::Step(previous.born.difference_to(born))
            }),
            service: names.index_of(record.service),
            hall: names.index_of(record.hall),
            version: names.index_of(record.version),
            address: record.address,
            slots: record.slots,
            kind: record.kind,
            state: record.state,
        });
        let rows = rows.collect();
        Some(Self {
            watermark: snapshot.watermark,
            store_time: snapshot.store_time,
            extent,
            names: names.list,
            rows,
            gone,
        })
    }

    /// Unpacks the snapshot. Its rows are sorted by revision.
    ///
    /// # Errors
    /// A row refers to a name index that the set doesn't contain.
    pub fn unpack(self) -> Result<SetSnapshot, InvalidNameIndex> {
        let names = self.names;
        let name = |index: NameIndex| {
            let index = usize::try_from(index).map_err(|_| InvalidNameIndex)?;
            names.get(index).cloned().ok_or(InvalidNameIndex)
        };
        let mut previous = PreviousNumbers::default();
        let rows = self.rows.into_iter().map(|row| {
            let record = UpstreamRecord {
                id: row.id,
                born: match row.born {
                    PackedBirth::Untold => None,
                    PackedBirth::Step(step) => Some(previous.born.advance_by(step)),
                },
                service: name(row.service)?,
                address: row.address,
                hall: name(row.hall)?,
                version: name(row.version)?,
                slots: row.slots,
                kind: row.kind,
                state: row.state,
            };
            Ok((previous.revision.advance_by(row.revision_step), record))
        });
        let rows: Result<Vec<(Revision, UpstreamRecord)>, InvalidNameIndex> = rows.collect();
        Ok(SetSnapshot {
            watermark: self.watermark,
            store_time: self.store_time,
            rows: match self.extent {
                Extent::Full => SnapshotRows::Upstreams(rows?),
                Extent::ChangesAfter(after) => SnapshotRows::UpstreamChanges(UpstreamChanges {
                    after,
                    listed: rows?,
                    gone: self.gone,
                }),
            },
        })
    }
}

/// Interned names in the order of their first use.
#[derive(Default)]
struct NameTable {
    list: Vec<String>,
    indices: HashMap<String, NameIndex>,
}

impl NameTable {
    fn index_of(&mut self, name: String) -> NameIndex {
        if let Some(index) = self.indices.get(&name) {
            return *index;
        }
        let index = NameIndex::try_from(self.list.len()).unwrap_or(NameIndex::MAX);
        self.list.push(name.clone());
        self.indices.insert(name, index);
        index
    }
}

/// The previous row's value of each number that is encoded as a difference.
#[derive(Default)]
struct PreviousNumbers {
    revision: PreviousNumber,
    born: PreviousNumber,
}

#[derive(Default)]
struct PreviousNumber(u64);

impl PreviousNumber {
    fn difference_to(&mut self, number: u64) -> i64 {
        let step = number.wrapping_sub(self.0).cast_signed();
        self.0 = number;
        step
    }

    fn advance_by(&mut self, step: i64) -> u64 {
        self.0 = self.0.wrapping_add_signed(step);
        self.0
    }
}
