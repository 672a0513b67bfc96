//! Ranks of the leaves for all searchers.
//!
//! A change of one leaf costs one score for each searcher of its data centre, plus a scan of all leaves for the few
//! searchers that had it among their candidates. A full computation costs the product of both numbers.

mod update_tables;

use indexmap::IndexMap;

use crate::ids::DataCentreId;
use crate::ids::InstanceId;
use crate::ids::SearcherIndex;
use crate::process::membership::Role;
use crate::process::membership::State;
use crate::process::membership::View;
use crate::process::ownership::rank::NameHash;
use crate::process::ownership::rank::score;
use crate::version::tables::Tables;

/// Ranked leaves kept for each searcher. Two of them hold connections; the others serve requests of entries whose view
/// differs from that of the leaves.
pub const MAX_CANDIDATES: usize = 4;

/// Leaves with a rank below this hold connections.
pub const HOLDERS: usize = 2;

/// Other data centres whose best-ranked leaf may connect to a searcher if its own data centre has no live leaf.
pub const MAX_REMOTE_CENTRES: usize = 2;

type LeafIndex = u32;

/// Ranked leaves for all searchers of one revision of the configuration under one view.
#[derive(Debug, Clone, Default)]
pub struct Placement {
    centres: IndexMap<DataCentreId, Centre>,
    leaves: IndexMap<InstanceId, Leaf>,
    rankings: Vec<Ranking>,
    score_count: u64,
}

/// Candidate leaf for a searcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Name of the leaf.
    pub leaf: &'a InstanceId,
    /// Whether the leaf has rank 0. Requests to other leaves carry the `fallback` flag.
    pub first: bool,
    /// Whether the leaf is in another data centre than the searcher.
    pub remote: bool,
}

/// Rank of a leaf that holds a searcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Rank {
    /// Rank 0 in the searcher's data centre: dispatches requests.
    Owner,
    /// Rank 1 in the searcher's data centre: keeps connections open.
    Successor,
    /// Leaf in another data centre, used because the searcher's own has no live leaf.
    Remote,
}

#[derive(Debug, Clone)]
struct Centre {
    hash: NameHash,
    live: Vec<LeafIndex>,
    searchers: Vec<SearcherIndex>,
}

#[derive(Debug, Clone)]
struct Leaf {
    hash: NameHash,
    centre: usize,
    live: bool,
    suspect: bool,
}

#[derive(Debug, Clone)]
struct Ranking {
    hash: NameHash,
    centre: usize,
    remote: bool,
    len: u8,
    leaves: [LeafIndex; MAX_CANDIDATES],
}

impl Ranking {
    fn candidates(&self) -> &[LeafIndex] {
        &self.leaves[..usize::from(self.len)]
    }
}

impl Placement {
    /// Computes the ranks for all searchers of `tables`.
    #[must_use]
    pub fn new(tables: &Tables, view: &View) -> Self {
        let searchers = tables.searchers.values();
        Self::from_searchers(searchers.map(|searcher| (&*searcher.id, &*searcher.data_centre)), view)
    }

    /// Computes the ranks for searchers given as pairs of name and data centre, in the order of their index.
    #[must_use]
    pub fn from_searchers<'a>(searchers: impl Iterator<Item = (&'a str, &'a str)>, view: &View) -> Self {
        let mut placement = Self::default();
        for (id, data_centre) in searchers {
            let centre = placement.centre_index(data_centre);
            let ix = SearcherIndex::try_from(placement.rankings.len()).unwrap_or(SearcherIndex::MAX);
            placement.centres[centre].searchers.push(ix);
            placement.rankings.push(Ranking {
                hash: NameHash::of(id),
                centre,
                remote: false,
                len: 0,
                leaves: [0; MAX_CANDIDATES],
            });
        }
        placement.add_leaves(view);
        for searcher in 0..placement.rankings.len() {
            placement.rank_searcher(searcher);
        }
        placement
    }

    /// Applies a new view and returns the searchers whose candidates changed.
    pub fn update(&mut self, view: &View) -> Vec<SearcherIndex> {
        let mut changed = Vec::new();
        let departed: Vec<LeafIndex> = self.find_departed(view);
        let joined: Vec<LeafIndex> = self.register_joined(view);
        let mut empty_before: Vec<bool> = self.centres.values().map(|centre| centre.live.is_empty()).collect();
        // Joined leaves are inserted first, so that a data centre whose leaves are all replaced always has at least
        // one.
        for &leaf_ix in &joined {
            self.insert_leaf(leaf_ix, &mut changed);
        }
        for &leaf_ix in &departed {
            self.remove_leaf(leaf_ix, &mut changed);
        }
        empty_before.resize(self.centres.len(), true);
        if !departed.is_empty() || !joined.is_empty() {
            self.rerank_without_local_leaf(&empty_before, &mut changed);
        }
        self.compact_leaves();
        changed.sort_unstable();
        changed.dedup();
        changed
    }

    /// Returns the candidates for a searcher in the order in which an entry tries them: leaves that are up before
    /// suspect ones, then by rank.
    pub fn candidates(&self, searcher: SearcherIndex) -> impl Iterator<Item = Candidate<'_>> {
        let ranking = self.rankings.get(searcher as usize);
        let leaves = ranking.map_or(&[][..], Ranking::candidates);
        let remote = ranking.is_some_and(|ranking| ranking.remote);
        let at = move |suspect: bool| {
            let ranked = leaves.iter().enumerate();
            ranked.filter_map(move |(rank, &leaf_ix)| {
                let (leaf, info) = self.leaves.get_index(leaf_ix as usize)?;
                let first = rank == 0;
                (info.suspect == suspect).then_some(Candidate { leaf, first, remote })
            })
        };
        at(false).chain(at(true))
    }

    /// Returns the leaf of rank 0.
    #[must_use]
    pub fn owner(&self, searcher: SearcherIndex) -> Option<&InstanceId> {
        let ranking = self.rankings.get(searcher as usize)?;
        self.leaf_name(*ranking.candidates().first()?)
    }

    /// Returns the rank with which `leaf` holds the searcher, or `None` if it does not hold it.
    #[must_use]
    pub fn rank_of(&self, searcher: SearcherIndex, leaf: &str) -> Option<Rank> {
        let ranking = self.rankings.get(searcher as usize)?;
        let leaf_ix = LeafIndex::try_from(self.leaves.get_index_of(leaf)?).ok()?;
        let position = ranking.candidates().iter().position(|&other| other == leaf_ix)?;
        match (ranking.remote, position) {
            (true, _) => Some(Rank::Remote),
            (false, 0) => Some(Rank::Owner),
            (false, 1) => Some(Rank::Successor),
            (false, _) => None,
        }
    }

    /// Returns the number of searchers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rankings.len()
    }

    /// Returns whether there are no searchers.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rankings.is_empty()
    }

    /// Returns the number of scores computed since the placement was created.
    #[must_use]
    pub const fn score_count(&self) -> u64 {
        self.score_count
    }

    fn leaf_name(&self, leaf_ix: LeafIndex) -> Option<&InstanceId> {
        self.leaves.get_index(leaf_ix as usize).map(|(id, _)| id)
    }

    fn centre_index(&mut self, name: &str) -> usize {
        if let Some(ix) = self.centres.get_index_of(name) {
            return ix;
        }
        let centre = Centre {
            hash: NameHash::of(name),
            live: Vec::new(),
            searchers: Vec::new(),
        };
        self.centres.insert_full(name.into(), centre).0
    }

    fn add_leaves(&mut self, view: &View) {
        for leaf_ix in self.register_joined(view) {
            let centre = self.leaves[leaf_ix as usize].centre;
            self.leaves[leaf_ix as usize].live = true;
            self.centres[centre].live.push(leaf_ix);
        }
    }

    /// Returns the live leaves that are no longer live in the view, and updates the suspect state of all leaves.
    fn find_departed(&mut self, view: &View) -> Vec<LeafIndex> {
        let mut departed = Vec::new();
        for (leaf_ix, (id, leaf)) in self.leaves.iter_mut().enumerate() {
            let state = view.instances.get(id).map(|instance| instance.state);
            leaf.suspect = state == Some(State::Suspect);
            if leaf.live && !state.is_some_and(State::is_live) {
                departed.push(leaf_ix as LeafIndex);
            }
        }
        departed
    }

    /// Registers the leaves that are live in the view but not here, and returns their indexes.
    fn register_joined(&mut self, view: &View) -> Vec<LeafIndex> {
        let mut joined = Vec::new();
        for (id, instance) in &view.instances {
            if instance.role != Role::Leaf || !instance.state.is_live() {
                continue;
            }
            if self.leaves.get(id).is_some_and(|leaf| leaf.live) {
                continue;
            }
            let leaf = Leaf {
                hash: NameHash::of(id),
                centre: self.centre_index(&instance.data_centre),
                live: false,
                suspect: instance.state == State::Suspect,
            };
            joined.push(self.leaves.insert_full(id.clone(), leaf).0 as LeafIndex);
        }
        joined
    }

    fn remove_leaf(&mut self, leaf_ix: LeafIndex, changed: &mut Vec<SearcherIndex>) {
        let centre = self.leaves[leaf_ix as usize].centre;
        self.leaves[leaf_ix as usize].live = false;
        self.centres[centre].live.retain(|&other| other != leaf_ix);
        for at in 0..self.centres[centre].searchers.len() {
            let ix = self.centres[centre].searchers[at];
            let ranking = &self.rankings[ix as usize];
            if !ranking.remote && ranking.candidates().contains(&leaf_ix) {
                self.rank_searcher(ix as usize);
                changed.push(ix);
            }
        }
    }

    fn insert_leaf(&mut self, leaf_ix: LeafIndex, changed: &mut Vec<SearcherIndex>) {
        let centre = self.leaves[leaf_ix as usize].centre;
        self.leaves[leaf_ix as usize].live = true;
        self.centres[centre].live.push(leaf_ix);
        for at in 0..self.centres[centre].searchers.len() {
            let ix = self.centres[centre].searchers[at];
            if self.insert_candidate(ix as usize, leaf_ix) {
                changed.push(ix);
            }
        }
    }

    /// Recomputes the ranks for searchers whose data centre has or had no live leaf, because a change in any other data
    /// centre may affect them.
    fn rerank_without_local_leaf(&mut self, empty_before: &[bool], changed: &mut Vec<SearcherIndex>) {
        for (centre, was_empty) in empty_before.iter().enumerate() {
            if !self.centres[centre].live.is_empty() && !was_empty {
                continue;
            }
            for at in 0..self.centres[centre].searchers.len() {
                let ix = self.centres[centre].searchers[at];
                let before = self.rankings[ix as usize].clone();
                self.rank_searcher(ix as usize);
                let after = &self.rankings[ix as usize];
                if before.remote != after.remote || before.candidates() != after.candidates() {
                    changed.push(ix);
                }
            }
        }
    }

    /// Removes departed leaves and renumbers the others once the departed outnumber the live ones.
    fn compact_leaves(&mut self) {
        let live = self.leaves.values().filter(|leaf| leaf.live).count();
        if self.leaves.len() <= 2 * live + MAX_CANDIDATES {
            return;
        }
        let mut renumbered = vec![0; self.leaves.len()];
        let mut next = 0;
        for (leaf_ix, leaf) in self.leaves.values().enumerate() {
            renumbered[leaf_ix] = next;
            next += LeafIndex::from(leaf.live);
        }
        self.leaves.retain(|_, leaf| leaf.live);
        for centre in self.centres.values_mut() {
            centre
                .live
                .iter_mut()
                .for_each(|leaf_ix| *leaf_ix = renumbered[*leaf_ix as usize]);
        }
        for ranking in &mut self.rankings {
            let len = usize::from(ranking.len);
            ranking.leaves[..len]
                .iter_mut()
                .for_each(|leaf_ix| *leaf_ix = renumbered[*leaf_ix as usize]);
        }
    }

    /// Computes the candidates for one searcher from all live leaves.
    fn rank_searcher(&mut self, searcher: usize) {
        let centre = self.rankings[searcher].centre;
        self.rankings[searcher].len = 0;
        self.rankings[searcher].remote = self.centres[centre].live.is_empty();
        if self.rankings[searcher].remote {
            self.rank_remote_leaves(searcher);
            return;
        }
        for at in 0..self.centres[centre].live.len() {
            let leaf_ix = self.centres[centre].live[at];
            self.insert_candidate(searcher, leaf_ix);
        }
    }

    /// Uses the best-ranked leaf of each of the two best-ranked data centres that have a live one.
    fn rank_remote_leaves(&mut self, searcher: usize) {
        let key = self.rankings[searcher].hash;
        let mut centres: Vec<(u64, usize)> = Vec::new();
        for (ix, centre) in self.centres.values().enumerate() {
            if !centre.live.is_empty() {
                centres.push((score(key, centre.hash), ix));
            }
        }
        self.score_count += centres.len() as u64;
        centres
            .sort_unstable_by_key(|&(score, ix)| (std::cmp::Reverse(score), self.centres.get_index(ix).map(|c| c.0)));
        for &(_, centre) in centres.iter().take(MAX_REMOTE_CENTRES) {
            let live = &self.centres[centre].live;
            let best = live.iter().copied().max_by(|&a, &b| self.compare_leaves(key, a, b));
            self.score_count += 2 * live.len() as u64;
            let Some(leaf_ix) = best else { continue };
            let ranking = &mut self.rankings[searcher];
            ranking.leaves[usize::from(ranking.len)] = leaf_ix;
            ranking.len += 1;
        }
    }

    fn compare_leaves(&self, key: NameHash, a: LeafIndex, b: LeafIndex) -> std::cmp::Ordering {
        let score_of = |leaf_ix: LeafIndex| score(key, self.leaves[leaf_ix as usize].hash);
        let by_score = score_of(a).cmp(&score_of(b));
        by_score.then_with(|| self.leaf_name(b).cmp(&self.leaf_name(a)))
    }

    /// Inserts a leaf into the candidates for a searcher if its score is high enough. Returns whether it was inserted.
    fn insert_candidate(&mut self, searcher: usize, leaf_ix: LeafIndex) -> bool {
        let key = self.rankings[searcher].hash;
        self.score_count += 1;
        let current = self.rankings[searcher].candidates();
        let position = current
            .iter()
            .position(|&other| self.compare_leaves(key, leaf_ix, other).is_gt())
            .unwrap_or(current.len());
        if position == MAX_CANDIDATES {
            return false;
        }
        let ranking = &mut self.rankings[searcher];
        let len = (usize::from(ranking.len) + 1).min(MAX_CANDIDATES);
        ranking.leaves.copy_within(position..len - 1, position + 1);
        ranking.leaves[position] = leaf_ix;
        ranking.len = len as u8;
        true
    }
}
