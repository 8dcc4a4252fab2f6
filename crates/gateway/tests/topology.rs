//! Distances between halls, and the selection of near hosts.

use {
    proptest::prelude::*,
    std::collections::BTreeMap,
    tealshore_core::{ids::HallId, settings::Settings},
    tealshore_gateway::topology::{Distance, Topology},
};

/// Two halls in `east`, two in `west`, one in `north`.
fn three_regions() -> Topology {
    let halls = [
        ("e1", "east"),
        ("e2", "east"),
        ("w1", "west"),
        ("w2", "west"),
        ("n1", "north"),
    ];
    let hosts_with_hall = |(hall, region): (&str, &str)| (hall.to_owned(), region.to_owned());
    Topology::new(halls.into_iter().map(hosts_with_hall).collect())
}

fn distance(topology: &Topology, hall: &str, other: &str) -> Distance {
    topology.distance(hall, other)
}

fn hosts(halls: &[(&str, usize)]) -> Vec<(HallId, String)> {
    let of_hall = |(hall, count): &(&str, usize)| {
        let hall = (*hall).to_owned();
        (0..*count).map(move |index| (hall.clone(), format!("{hall}-{index}")))
    };
    halls.iter().flat_map(of_hall).collect()
}

#[test]
fn halls_of_one_region_are_nearer_than_those_of_another() {
    let topology = three_regions();
    assert_eq!(distance(&topology, "e1", "e1"), Distance::SameHall);
    assert_eq!(distance(&topology, "e1", "e2"), Distance::SameRegion);
    assert_eq!(distance(&topology, "e1", "w1"), Distance::OtherRegion);
    assert!(Distance::SameHall < Distance::SameRegion);
    assert!(Distance::SameRegion < Distance::OtherRegion);
}

#[test]
fn unknown_halls_count_as_in_the_same_region() {
    let topology = three_regions();
    assert_eq!(distance(&topology, "e1", "new"), Distance::SameRegion);
    assert_eq!(distance(&topology, "new", "e1"), Distance::SameRegion);
    assert_eq!(distance(&topology, "new", "newer"), Distance::SameRegion);
    assert_eq!(distance(&topology, "new", "new"), Distance::SameHall);
    let unset = Topology::default();
    assert_eq!(distance(&unset, "e1", "w1"), Distance::SameRegion);
}

#[test]
fn a_caller_gets_the_hosts_of_its_region() {
    let all = hosts(&[("e1", 9), ("e2", 11), ("w1", 10), ("w2", 10), ("n1", 20)]);
    let selected = three_regions().same_region_or_all(&"e2".to_owned(), all);
    assert_eq!(selected.len(), 20);
    assert!(selected.iter().all(|host| host.starts_with('e')));
}

/// The few hosts that remain in a region would get the load of all hosts that died.
#[test]
fn a_caller_whose_region_has_few_hosts_left_gets_all_hosts() {
    let most_died = hosts(&[("e1", 3), ("e2", 4), ("w1", 10), ("w2", 10), ("n1", 20)]);
    assert_eq!(
        three_regions()
            .same_region_or_all(&"e2".to_owned(), most_died)
            .len(),
        47
    );
    // One of the two halls died; the other one takes its callers.
    let hall_died = hosts(&[("e1", 10), ("w1", 10), ("w2", 10), ("n1", 20)]);
    let selected = three_regions().same_region_or_all(&"e2".to_owned(), hall_died);
    assert_eq!(selected.len(), 10);
    let all_died = hosts(&[("w1", 10), ("w2", 10), ("n1", 20)]);
    assert_eq!(
        three_regions()
            .same_region_or_all(&"e1".to_owned(), all_died)
            .len(),
        40
    );
}

#[test]
fn a_caller_of_an_unknown_hall_gets_all_hosts() {
    let all = hosts(&[("e1", 10), ("w1", 10), ("n1", 10)]);
    assert_eq!(
        three_regions()
            .same_region_or_all(&"new".to_owned(), all)
            .len(),
        30
    );
}

#[test]
fn a_section_maps_halls_to_regions() {
    let text = "[halls]\ne1 = east\ne2 = east\nw1 = west\n";
    let settings = Settings::parse(text).unwrap();
    let topology = settings.read_section("halls", Topology::read).unwrap();
    assert_eq!(distance(&topology, "e1", "e2"), Distance::SameRegion);
    assert_eq!(distance(&topology, "e1", "w1"), Distance::OtherRegion);
}

#[test]
fn a_section_may_be_absent_or_empty() {
    for text in ["", "[halls]\n"] {
        let settings = Settings::parse(text).unwrap();
        let topology = settings.read_section("halls", Topology::read).unwrap();
        assert_eq!(topology, Topology::default());
    }
}

#[test]
fn a_hall_without_a_region_or_with_two_is_named() {
    for text in ["[halls]\ne1 =\n", "[halls]\ne1 = east\ne1 = west\n"] {
        let settings = Settings::parse(text).unwrap();
        let error = settings.read_section("halls", Topology::read).unwrap_err();
        let error = error.to_string();
        assert!(error.contains("[halls] e1"), "{error}");
    }
}

fn halls() -> impl Strategy<Value = HallId> {
    (0..6_u32).prop_map(|index| format!("h{index}"))
}

fn topologies() -> impl Strategy<Value = Topology> {
    let regions = prop::collection::btree_map(halls(), "[abc]", 0..6);
    regions.prop_map(|regions: BTreeMap<HallId, String>| Topology::new(regions))
}

proptest! {
    /// Distance is symmetric, and only a hall itself is at distance `SameHall`.
    #[test]
    fn distance_is_symmetric(topology in topologies(), a in halls(), b in halls()) {
        prop_assert_eq!(topology.distance(&a, &b), topology.distance(&b, &a));
        prop_assert_eq!(topology.distance(&a, &b) == Distance::SameHall, a == b);
    }

    /// A caller gets near hosts only, or all hosts, and never so few that they would get more than
    /// twice their share of the load.
    #[test]
    fn callers_get_near_hosts_or_all(
        topology in topologies(),
        caller in halls(),
        hosts in prop::collection::vec(halls(), 0..60),
    ) {
        let hosts_with_hall: Vec<(HallId, HallId)> =
            hosts.iter().map(|hall| (hall.clone(), hall.clone())).collect();
        let selected = topology.same_region_or_all(&caller, hosts_with_hall);
        let is_far = |hall: &HallId| topology.distance(&caller, hall) == Distance::OtherRegion;
        prop_assert!(selected.len() == hosts.len() || !selected.iter().any(is_far));
        prop_assert!(selected.len() * 2 * 3 >= hosts.len());
    }

    /// If all halls are in one region, every caller gets all hosts, as without a topology.
    #[test]
    fn one_region_equals_no_topology(caller in halls(), hosts in prop::collection::vec(halls(), 0..60)) {
        let hosts_with_hall: Vec<(HallId, HallId)> =
            hosts.iter().map(|hall| (hall.clone(), hall.clone())).collect();
        let one = Topology::new(hosts.iter().map(|hall| (hall.clone(), "one".into())).collect());
        prop_assert_eq!(one.same_region_or_all(&caller, hosts_with_hall.clone()), hosts);
        prop_assert_eq!(Topology::default().same_region_or_all(&caller, hosts_with_hall.clone()).len(), hosts_with_hall.len());
    }
}
