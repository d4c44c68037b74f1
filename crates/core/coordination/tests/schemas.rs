//! Schemas: the verdict against actually reading, and documents among readers that come and go.

mod support;

use lynxtally_coordination::schemas::{check_compatibility, read, render};
use lynxtally_messages::*;
use proptest::prelude::*;
use serde_json::{json, Value};
use support::{terms, Log};

fn field(kind: FieldKind) -> Field {
    Field {
        kind,
        is_list: false,
        required: false,
        default: None,
        since_version: 1,
        must_understand: false,
        renamed_from: None,
    }
}

fn whole(least: i64, most: i64) -> Field {
    field(FieldKind::Integer { min: least, max: most })
}

fn names(names: &[&str]) -> Field {
    field(FieldKind::Enumeration { names: names.iter().map(ToString::to_string).collect() })
}

/// Every value that a field may have, for small fields.
fn values(field: &Field) -> Vec<Value> {
    let single: Vec<Value> = match &field.kind {
        FieldKind::Integer { min: least, max: most } => (*least..=*most).map(Value::from).collect(),
        FieldKind::Text { max_bytes: longest } => {
            (0..=*longest as usize).map(|n| "a".repeat(n).into()).collect()
        }
        FieldKind::Boolean {} => vec![false.into(), true.into()],
        FieldKind::Enumeration { names } => names.iter().map(|name| name.as_str().into()).collect(),
        FieldKind::Record { fields } => documents(fields),
    };
    if !field.is_list {
        return single;
    }
    let pairs = single.iter().flat_map(|a| single.iter().map(move |b| json!([a, b])));
    [json!([])].into_iter().chain(single.iter().map(|one| json!([one]))).chain(pairs).collect()
}

/// Every document of a small schema.
fn documents(fields: &Fields) -> Vec<Value> {
    let mut all = vec![json!({})];
    for (name, field) in fields {
        let mut more = if field.required { Vec::new() } else { all.clone() };
        for document in &all {
            for value in values(field) {
                let mut document = document.clone();
                document[name] = value;
                more.push(document);
            }
        }
        all = more;
    }
    all
}

/// Whether what both know comes out equal.
fn equal(newer: &Fields, older: &Fields, new: &Value, old: &Value) -> bool {
    older.iter().all(|(name, old_field)| {
        let by_name = newer.get_key_value(name);
        let known =
            by_name.or_else(|| newer.iter().find(|(_, field)| field.renamed_from.as_ref() == Some(name)));
        let Some((now, new_field)) = known else { return true };
        let as_list = |value: &Value, list: bool| if list { value.clone() } else { json!([value]) };
        match (new.get(now), old.get(name)) {
            (None, None) => true,
            (Some(a), Some(b)) => {
                let (a, b) = (as_list(a, new_field.is_list), as_list(b, old_field.is_list));
                let (a, b) = (a.as_array().expect("a list"), b.as_array().expect("a list"));
                let same = |(a, b): (&Value, &Value)| match (&new_field.kind, &old_field.kind) {
                    (FieldKind::Record { fields: newer }, FieldKind::Record { fields: older }) => {
                        equal(newer, older, a, b)
                    }
                    _ => a == b,
                };
                a.len() == b.len() && a.iter().zip(b).all(same)
            }
            _ => false,
        }
    })
}

/// Whether each document of the newer schema, rendered down, means the same to a reader of the older one.
fn all_come_out_equal(newer: &Fields, older: &Fields) -> Result<(), String> {
    for document in documents(newer) {
        let new = read(newer, &document).expect("one of its own");
        let rendered = render(newer, older, &document).map_err(|why| format!("{document}: {why}"))?;
        let old = read(older, &rendered).map_err(|why| format!("{document} as {rendered}: {why}"))?;
        if !equal(newer, older, &new, &old) {
            return Err(format!("{document} reads as {old}, and as {new}"));
        }
    }
    Ok(())
}

/// Every way in which one field may be, small.
fn variants() -> Vec<Field> {
    let kinds = [
        whole(0, 1),
        whole(0, 2),
        whole(-1, 1),
        names(&["a", "b"]),
        names(&["a", "b", "aaa"]),
        field(FieldKind::Text { max_bytes: 1 }),
        field(FieldKind::Text { max_bytes: 2 }),
        field(FieldKind::Boolean {}),
        field(FieldKind::Record { fields: [("x".to_owned(), whole(0, 1))].into() }),
    ];
    let mut all = Vec::new();
    for kind in kinds {
        for list in [false, true] {
            for required in [false, true] {
                let base = Field { is_list: list, required, ..kind.clone() };
                let defaults = values(&base).into_iter().take(2).map(Some).chain([None]);
                all.extend(defaults.map(|default| Field { default, ..base.clone() }));
            }
        }
    }
    all
}

#[test]
fn over_every_single_change_the_verdict_is_what_reading_shows() {
    let named = |name: &str, field: &Field| -> Fields { [(name.to_owned(), field.clone())].into() };
    let mut pairs: Vec<(Fields, Fields)> = Vec::new();
    let all = variants();
    for old in &all {
        // Changed in every way, removed, and renamed.
        pairs.extend(all.iter().map(|new| (named("f", new), named("f", old))));
        pairs.push((Fields::new(), named("f", old)));
        pairs.push((named("g", &Field { renamed_from: Some("f".into()), ..old.clone() }), named("f", old)));
        // Added, with and without having to be understood.
        for must_understand in [false, true] {
            pairs.push((named("f", &Field { must_understand, ..old.clone() }), Fields::new()));
        }
        // The same inside a record, single and a list.
        for list in [false, true] {
            let inside = |own: &Field| {
                let record = field(FieldKind::Record { fields: named("f", own) });
                named("r", &Field { is_list: list, ..record })
            };
            pairs.extend(all.iter().step_by(7).map(|new| (inside(new), inside(old))));
        }
    }
    let mut held = 0;
    for (newer, older) in &pairs {
        let verdict = check_compatibility(newer, older);
        let shown = all_come_out_equal(newer, older);
        assert_eq!(verdict.is_compatible(), shown.is_ok(), "{newer:?} for {older:?}: {verdict:?}, {shown:?}");
        held += usize::from(verdict.is_compatible());
    }
    assert!(held > 500 && pairs.len() - held > 500, "{held} of {}", pairs.len());
}

proptest! {
    #[test]
    fn what_a_verdict_of_several_fields_lets_through_means_the_same(
        old in proptest::collection::vec(0_usize..100, 1..4),
        new in proptest::collection::vec(0_usize..100, 1..4),
    ) {
        let all = variants();
        let fields = |of: &[usize]| -> Fields {
            ["a", "b", "c"].iter().zip(of).map(|(name, n)| ((*name).to_owned(), all[n % all.len()].clone())).collect()
        };
        let (newer, older) = (fields(&new), fields(&old));
        if check_compatibility(&newer, &older).is_compatible() && documents(&newer).len() < 2000 {
            prop_assert_eq!(all_come_out_equal(&newer, &older), Ok(()));
        }
    }
}

fn routes(version: u32, extra: &[(&str, Field)]) -> Schema {
    let limit = Field { required: true, since_version: 1, ..whole(0, 100) };
    let fields = [("limit".to_owned(), limit)]
        .into_iter()
        .chain(extra.iter().map(|(name, field)| ((*name).to_owned(), field.clone())))
        .collect();
    Schema { version, fields }
}

fn done(outcome: &AdminResponse) -> bool {
    matches!(outcome, AdminResponse::Applied { .. })
}

struct Readers(Log);

impl Readers {
    fn new() -> Self {
        let mut log = Log::new(terms(1));
        assert!(done(&log.admin("s1", AdminAction::ProposeSchema { schema: routes(1, &[]) })));
        Self(log)
    }

    fn order(&mut self, word: &str, what: AdminAction) -> AdminResponse {
        self.0.admin(word, what)
    }

    fn publish(&mut self, word: &str, version: u32, body: Value) -> AdminResponse {
        self.order(word, AdminAction::PublishDocument { version, body })
    }

    fn join(&mut self, name: &str, versions: &[u32]) -> u64 {
        let at = self.0.join(name, 7);
        self.say(name, at, 1, versions);
        at
    }

    /// What a reader that applied nothing yet is given.
    fn say(&mut self, name: &str, incarnation: u64, number: u64, versions: &[u32]) -> LeaseUpdate {
        match self.0.read(name, incarnation, number, versions) {
            NodeResponse::Accepted(granted) => granted,
            NodeResponse::Rejected(refusal) => panic!("{refusal:?}"),
        }
    }

    fn waits(&self) -> String {
        self.0.state.route_status().waiting.join("; ")
    }
}

#[test]
fn each_reader_has_a_document_in_its_own_version_and_an_older_one_loses_only_what_it_never_knew() {
    let mut world = Readers::new();
    let old = world.join("old", &[1]);
    let spill = Field { default: Some(json!(10)), ..whole(0, 50) };
    assert!(done(&world.order("s2", AdminAction::ProposeSchema { schema: routes(2, &[("spill", spill)]) })));
    assert!(done(&world.publish("d", 2, json!({"limit": 5, "spill": 20}))));
    let given = world.say("old", old, 2, &[1]).document.expect("a document");
    assert_eq!((given.version, given.body), (1, json!({"limit": 5})));
    let new = world.0.join("new", 9);
    let given = world.say("new", new, 1, &[1, 2]).document.expect("a document");
    assert_eq!((given.version, given.body), (2, json!({"limit": 5, "spill": 20})));
}

#[test]
fn a_schema_that_an_older_reader_cannot_bear_waits_for_it_also_while_it_is_cut_off() {
    let mut world = Readers::new();
    let old = world.join("old", &[1]);
    world.0.write(lynxtally_coordination::Command::Suspect { incarnation: old, suspected: true });
    let drain = Field { must_understand: true, ..field(FieldKind::Boolean {}) };
    let schema = routes(2, &[("drain", drain)]);
    assert!(done(&world.order("s2", AdminAction::ProposeSchema { schema })));
    assert!(world.waits().contains("`drain`: added, and has to be understood"), "{}", world.waits());
    assert!(world.waits().contains("read by") && world.waits().contains("old"), "{}", world.waits());
    let refused = world.publish("d", 2, json!({"limit": 5}));
    assert!(
        matches!(refused, AdminResponse::Rejected(Rejection::Invalid { reason: why }) if why.contains("is 2, which is not in force"))
    );
    // A program that is rolled back reads the version before, so it waits until all who are there read the new one.
    world.order("over", AdminAction::EndIncarnation { incarnation: old });
    world.join("new", &[2]);
    world.0.tick();
    assert_eq!(world.0.state.route_status().schema_versions, [1, 2], "{}", world.waits());
}

#[test]
fn an_older_node_that_joins_between_check_and_publishing_holds_the_document_back() {
    let mut world = Readers::new();
    let new = world.join("new", &[1, 2]);
    let wide = Schema { version: 2, fields: [("limit".to_owned(), whole(0, 1000))].into() };
    world.order("s2", AdminAction::ProposeSchema { schema: wide });
    assert_eq!(
        world.0.state.route_status().schema_versions,
        [1, 2],
        "all who are there read it: {}",
        world.waits()
    );
    let old = world.join("late", &[1]);
    assert!(done(&world.publish("d", 2, json!({"limit": 500}))));
    assert!(world.waits().contains("held for late"), "{}", world.waits());
    assert_eq!(world.0.state.route_status().document_index, None, "what was in force stays");
    assert_eq!(world.say("new", new, 2, &[1, 2]).document, None);
    world.order("over", AdminAction::EndIncarnation { incarnation: old });
    world.0.tick();
    assert!(world.say("new", new, 3, &[1, 2]).document.is_some());
}

#[test]
fn what_cannot_be_read_is_refused_with_its_place_and_changes_nothing() {
    let mut world = Readers::new();
    assert!(done(&world.publish("d", 1, json!({"limit": 5}))));
    let why = |outcome| match outcome {
        AdminResponse::Rejected(Rejection::Invalid { reason: why }) => why,
        other => panic!("{other:?}"),
    };
    for (body, place) in [
        (json!({}), "`limit` is missing"),
        (json!({"limit": 101}), "`limit` is 101"),
        (json!({"limit": 1, "more": 2}), "`more` is no field"),
        (json!([1]), "`` is no record"),
    ] {
        let told = why(world.publish(place, 1, body)).replace('\n', " ");
        assert!(told.contains("`what.document.body`") && told.contains(place), "{told}");
    }
    let bad = Field { default: Some(json!("x")), ..whole(0, 1) };
    let told = why(world.order("s2", AdminAction::ProposeSchema { schema: routes(2, &[("bad", bad)]) }));
    assert!(told.contains("`what.schema.fields.bad.default`"), "{told}");
    let reader = world.0.join("r", 7);
    assert_eq!(
        world.say("r", reader, 1, &[1]).document.map(|document| document.body),
        Some(json!({"limit": 5}))
    );
    let none = world.0.join("none", 8);
    assert!(world
        .say("none", none, 1, &[9])
        .unreadable_reason
        .is_some_and(|why| why.contains("in the versions 9")));
}
