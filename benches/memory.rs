//! Resident memory per item of each kind of state.
//!
//! The figures are the growth of this process between two item counts, which excludes the memory of the program itself.
//! Run it without other benchmarks: `cargo bench --bench memory`.

use std::fs;
use std::mem;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use pimentoflow::connection::lane::Lane;
use pimentoflow::connection::lane::work::HANDOVER_PERIOD;
use pimentoflow::connection::lane::work::LaneConfig;
use pimentoflow::connection::lane::work::QUEUE_CAPACITY;
use pimentoflow::connection::session;
use pimentoflow::connection::share::Role as LaneRole;
use pimentoflow::connection::share::Share;
use pimentoflow::process::fleet::Fleet;
use pimentoflow::process::membership;
use pimentoflow::process::membership::ItemKind;
use pimentoflow::process::membership::ListItem;
use pimentoflow::process::membership::Membership;
use pimentoflow::process::membership::PlatformList;
use pimentoflow::process::membership::Role;
use pimentoflow::process::ownership::placement::Placement;
use pimentoflow::process::tickets;
use pimentoflow::process::tickets::TicketRegistry;
use pimentoflow::request::plan::plan;
use pimentoflow::request::query::Query;
use pimentoflow::request::query::Request;
use pimentoflow::version::tables::Claims;
use pimentoflow::version::tables::Tables;
use pimentoflow::wire::codec::PROTOCOL_VERSION;
use pimentoflow::wire::proto;
use pimentoflow::wire::proto::Class;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use testkit::ServiceShape;
use testkit::TablesBuilder;

const ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 7000);

/// Returns the resident set size of this process in bytes.
fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("/proc must be mounted");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
    kilobytes.expect("/proc/self/status must contain VmRSS") * 1024
}

/// Creates and retains the items of each count in turn, and prints the memory growth per item.
fn measure<T>(name: &str, counts: [usize; 3], make: impl Fn(usize) -> T) {
    let mut retained = Vec::new();
    let mut before = resident_bytes();
    for count in counts {
        retained.push(make(count));
        let after = resident_bytes();
        let bytes_per_item = after.saturating_sub(before) as f64 / count as f64;
        println!("{name}: {count} more, {bytes_per_item:.0} bytes each");
        before = after;
    }
    // The next measurement would reuse freed memory and report too little growth.
    mem::forget(retained);
}

fn tables(shards: usize) -> Arc<Tables> {
    let shape = ServiceShape::new("svc", shards as u32, &["dc-0", "dc-1", "dc-2"]);
    Arc::new(TablesBuilder::new(1).index("ix", &[shape]).build())
}

fn lanes(count: usize) -> Vec<Lane> {
    let now = Instant::now();
    let claims = Claims {
        tolerated_views: 4,
        remote_reserve: 4,
    };
    let config = LaneConfig {
        slots: 3,
        share: Share::from_cap(3, 30, claims).expect("the cap is large enough"),
        queue_capacity: QUEUE_CAPACITY,
        routine_share: 0.1,
        handover_period: HANDOVER_PERIOD,
    };
    let lanes = (0..count).map(|seed| {
        let mut lane = Lane::new(config, SmallRng::seed_from_u64(seed as u64), now);
        lane.on_role(LaneRole::Owner, false, now, &mut Vec::new());
        lane
    });
    lanes.collect()
}

fn members(count: usize) -> Membership {
    let now = Instant::now();
    let settings = membership::Settings {
        instance: "own".into(),
        role: Role::Leaf,
        data_centre: "dc-0".into(),
        address: ADDRESS.into(),
        incarnation: 1,
    };
    let entries = (0..count).map(|nth| ListItem {
        id: format!("leaf-dc-{}-{nth}", nth % 39).into(),
        kind: ItemKind::Instance(Role::Leaf),
        data_centre: format!("dc-{}", nth % 39).into(),
        address: ADDRESS.into(),
        leaving: false,
    });
    let list = PlatformList {
        version: 1,
        entries: entries.collect(),
    };
    let mut members = Membership::new(settings, SmallRng::seed_from_u64(1), now);
    members.on_list(list, now, &mut Vec::new());
    members
}

fn tickets(count: usize) -> TicketRegistry {
    let now = Instant::now();
    let mut registry = TicketRegistry::new(tickets::Settings::new("leaf-1", 1));
    for correlation in 0..count as u64 {
        let ticket = registry.issue("searcher-1", now, 0).expect("the registry is not full");
        let submit = proto::Submit {
            correlation,
            ticket: Some(ticket),
            request_id: "request-0123456789".to_owned(),
            class: Class::Routine.into(),
            remaining_us: 100_000,
            shard: "shard-1".to_owned(),
            key: 42,
            body: Bytes::from_static(b"body"),
        };
        let mut actions = Vec::new();
        registry
            .on_submit(1, &submit, Ok(()), now, &mut actions)
            .expect("the ticket is new");
    }
    registry
}

fn queries(count: usize) -> Vec<Query> {
    let now = Instant::now();
    let fleet = Arc::new(Fleet::new(tables(390), "dc-0", now));
    for searcher in 0..390 * 3 {
        fleet.holdings.on_reply(searcher, &[7], now);
    }
    let queries = (0..count as u64).map(|correlation| {
        let planned = plan(&fleet.tables, &["svc"], 10).expect("the service exists");
        let pin = fleet.pin(&planned, &[], now).expect("a snapshot is known");
        let request = Request {
            correlation,
            deadline: now + Duration::from_secs(1),
            min_coverage: 0.9,
        };
        let mut query = Query::new(Arc::clone(&fleet), planned, pin, request, SmallRng::seed_from_u64(1));
        query.on_start(now, &mut Vec::new());
        query
    });
    queries.collect()
}

fn hello(name: &str) -> proto::Hello {
    proto::Hello {
        protocol: PROTOCOL_VERSION,
        instance: name.to_owned(),
        incarnation: 1,
        data_centre: "dc-0".to_owned(),
        role: proto::Role::Leaf.into(),
        revision: 1,
    }
}

/// Opens sessions over the loopback interface. Both ends are in this process, so each pair counts as two sessions.
async fn sessions(count: usize) -> eyre::Result<Vec<impl Sized>> {
    let listener = tokio::net::TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    let mut open = Vec::new();
    for _ in 0..count / 2 {
        let connect = session::connect(address, hello("a"), Duration::from_secs(5));
        let accept = async {
            let (stream, _) = listener.accept().await?;
            session::open(stream, hello("b")).await.map_err(eyre::Report::from)
        };
        let (near, far) = tokio::join!(connect, accept);
        open.push((near?, far?));
    }
    Ok(open)
}

fn main() -> eyre::Result<()> {
    measure("shard of three searchers in tables", [3_000, 6_000, 12_000], tables);
    let large_tables = tables(26_667);
    let now = Instant::now();
    measure("searchers in the fleet of an entry (per 80001)", [1, 2, 2], |count| {
        let fleets = (0..count).map(|_| Fleet::new(Arc::clone(&large_tables), "dc-0", now));
        fleets.collect::<Vec<_>>()
    });
    let view = Arc::clone(members(1_000).view());
    measure("placement of 80001 searchers", [1, 2, 4], |count| {
        let placements = (0..count).map(|_| Placement::new(&large_tables, &view));
        placements.collect::<Vec<_>>()
    });
    measure("lane", [8_000, 16_000, 32_000], lanes);
    measure(
        "peer record and its place in the view",
        [11_000, 22_000, 44_000],
        members,
    );
    measure("ticket with a queued submission", [16_000, 32_000, 32_000], tickets);
    measure("query of 390 parts in flight", [100, 400, 800], queries);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    measure("session", [100, 200, 400], |count| runtime.block_on(sessions(count)));
    Ok(())
}
