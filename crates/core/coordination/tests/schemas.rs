//! Schemas and route documents. The compatibility check is compared with rendering and reading every document of small
//! schemas. The other tests publish documents while readers of different versions join and leave.

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

fn integer(min: i64, max: i64) -> Field {
    field(FieldKind::Integer { min, max })
}

fn enumeration(names: &[&str]) -> Field {
    field(FieldKind::Enumeration { names: names.iter().map(ToString::to_string).collect() })
}

/// Every value that a field allows; of a list field, the lists of up to two values. Use it for small kinds only.
fn values(field: &Field) -> Vec<Value> {
    let single: Vec<Value> = match &field.kind {
        FieldKind::Integer { min, max } => (*min..=*max).map(Value::from).collect(),
        FieldKind::Text { max_bytes } => (0..=*max_bytes as usize).map(|n| "a".repeat(n).into()).collect(),
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
    let mut documents = vec![json!({})];
    for (name, field) in fields {
        let mut extended = if field.required { Vec::new() } else { documents.clone() };
        for document in &documents {
            for value in values(field) {
                let mut document = document.clone();
                document[name] = value;
                extended.push(document);
            }
        }
        documents = extended;
    }
    documents
}

/// Whether the fields that both schemas have are equal in a document as it is read by each schema.
fn are_equal(newer: &Fields, older: &Fields, new: &Value, old: &Value) -> bool {
    older.iter().all(|(name, old_field)| {
        let same_name = newer.get_key_value(name);
        let counterpart =
            same_name.or_else(|| newer.iter().find(|(_, field)| field.renamed_from.as_ref() == Some(name)));
        let Some((new_name, new_field)) = counterpart else { return true };
        let as_list = |value: &Value, is_list: bool| if is_list { value.clone() } else { json!([value]) };
        match (new.get(new_name), old.get(name)) {
            (None, None) => true,
            (Some(a), Some(b)) => {
                let (a, b) = (as_list(a, new_field.is_list), as_list(b, old_field.is_list));
                let (a, b) = (a.as_array().expect("a list"), b.as_array().expect("a list"));
                let are_equal_items = |(a, b): (&Value, &Value)| match (&new_field.kind, &old_field.kind) {
                    (FieldKind::Record { fields: newer }, FieldKind::Record { fields: older }) => {
                        are_equal(newer, older, a, b)
                    }
                    _ => a == b,
                };
                a.len() == b.len() && a.iter().zip(b).all(are_equal_items)
            }
            _ => false,
        }
    })
}

/// Checks that each document of the newer schema, rendered in the older one, has the same content for a reader of the
/// older schema.
fn check_all_documents(newer: &Fields, older: &Fields) -> Result<(), String> {
    for document in documents(newer) {
        let new = read(newer, &document).expect("a document should conform to its own schema");
        let rendered = render(newer, older, &document).map_err(|error| format!("{document}: {error}"))?;
        let old =
            read(older, &rendered).map_err(|error| format!("{document} rendered as {rendered}: {error}"))?;
        if !are_equal(newer, older, &new, &old) {
            return Err(format!("{document} reads as {old} in the older schema, and as {new} in the newer"));
        }
    }
    Ok(())
}

/// Small fields of every kind, single and list, optional and required, with and without a default.
fn field_variants() -> Vec<Field> {
    let kinds = [
        integer(0, 1),
        integer(0, 2),
        integer(-1, 1),
        enumeration(&["a", "b"]),
        enumeration(&["a", "b", "aaa"]),
        field(FieldKind::Text { max_bytes: 1 }),
        field(FieldKind::Text { max_bytes: 2 }),
        field(FieldKind::Boolean {}),
        field(FieldKind::Record { fields: [("x".to_owned(), integer(0, 1))].into() }),
    ];
    let mut variants = Vec::new();
    for kind in kinds {
        for is_list in [false, true] {
            for required in [false, true] {
                let base = Field { is_list, required, ..kind.clone() };
                let defaults = values(&base).into_iter().take(2).map(Some).chain([None]);
                variants.extend(defaults.map(|default| Field { default, ..base.clone() }));
            }
        }
    }
    variants
}

#[test]
fn for_every_single_change_the_compatibility_check_agrees_with_rendering_all_documents() {
    let schema_of = |name: &str, field: &Field| -> Fields { [(name.to_owned(), field.clone())].into() };
    let mut pairs: Vec<(Fields, Fields)> = Vec::new();
    let variants = field_variants();
    for old in &variants {
        // The field is changed to every variant, removed, and renamed.
        pairs.extend(variants.iter().map(|new| (schema_of("f", new), schema_of("f", old))));
        pairs.push((Fields::new(), schema_of("f", old)));
        let renamed = Field { renamed_from: Some("f".into()), ..old.clone() };
        pairs.push((schema_of("g", &renamed), schema_of("f", old)));
        // The field is added, with and without `must_understand`.
        for must_understand in [false, true] {
            pairs.push((schema_of("f", &Field { must_understand, ..old.clone() }), Fields::new()));
        }
        // The field is changed inside a record and inside a list of records.
        for is_list in [false, true] {
            let in_record = |inner: &Field| {
                let record = field(FieldKind::Record { fields: schema_of("f", inner) });
                schema_of("r", &Field { is_list, ..record })
            };
            pairs.extend(variants.iter().step_by(7).map(|new| (in_record(new), in_record(old))));
        }
    }
    let mut compatible = 0;
    for (newer, older) in &pairs {
        let checked = check_compatibility(newer, older);
        let rendered = check_all_documents(newer, older);
        assert_eq!(
            checked.is_compatible(),
            rendered.is_ok(),
            "{newer:?} for {older:?}: {checked:?}, {rendered:?}"
        );
        compatible += usize::from(checked.is_compatible());
    }
    assert!(compatible > 500 && pairs.len() - compatible > 500, "{compatible} of {}", pairs.len());
}

proptest! {
    #[test]
    fn all_documents_of_compatible_schemas_with_several_fields_keep_their_content(
        old in proptest::collection::vec(0_usize..100, 1..4),
        new in proptest::collection::vec(0_usize..100, 1..4),
    ) {
        let variants = field_variants();
        let fields = |indexes: &[usize]| -> Fields {
            let names = ["a", "b", "c"].iter();
            let field = |n: &usize| variants[n % variants.len()].clone();
            names.zip(indexes).map(|(name, n)| ((*name).to_owned(), field(n))).collect()
        };
        let (newer, older) = (fields(&new), fields(&old));
        if check_compatibility(&newer, &older).is_compatible() && documents(&newer).len() < 2000 {
            prop_assert_eq!(check_all_documents(&newer, &older), Ok(()));
        }
    }
}

/// A route schema with the required field `limit` and additional fields.
fn route_schema(version: u32, additional: &[(&str, Field)]) -> Schema {
    let limit = Field { required: true, since_version: 1, ..integer(0, 100) };
    let fields = [("limit".to_owned(), limit)]
        .into_iter()
        .chain(additional.iter().map(|(name, field)| ((*name).to_owned(), field.clone())))
        .collect();
    Schema { version, fields }
}

fn is_applied(response: &AdminResponse) -> bool {
    matches!(response, AdminResponse::Applied { .. })
}

fn rejection_reason(response: AdminResponse) -> String {
    match response {
        AdminResponse::Rejected(Rejection::Invalid { reason }) => reason,
        other => panic!("expected a rejection, got {other:?}"),
    }
}

/// A log in which version 1 of the route schema is in force, and to which readers send requests.
struct RouteLog(Log);

impl RouteLog {
    fn new() -> Self {
        let mut log = Log::new(terms(1));
        assert!(is_applied(&log.admin("s1", AdminAction::ProposeSchema { schema: route_schema(1, &[]) })));
        Self(log)
    }

    fn admin(&mut self, token: &str, action: AdminAction) -> AdminResponse {
        self.0.admin(token, action)
    }

    fn publish(&mut self, token: &str, version: u32, body: Value) -> AdminResponse {
        self.admin(token, AdminAction::PublishDocument { version, body })
    }

    /// Lets a reader join and send its first request. Returns its incarnation.
    fn join(&mut self, name: &str, versions: &[u32]) -> u64 {
        let incarnation = self.0.join(name, 7);
        self.send(name, incarnation, 1, versions);
        incarnation
    }

    /// Sends a request of a reader that has not applied a document yet. Panics if the request is rejected.
    fn send(&mut self, name: &str, incarnation: u64, sequence: u64, versions: &[u32]) -> LeaseUpdate {
        match self.0.report_reader(name, incarnation, sequence, versions) {
            NodeResponse::Accepted(update) => update,
            NodeResponse::Rejected(rejection) => panic!("the request was rejected: {rejection:?}"),
        }
    }

    /// All reasons why a schema or document waits, in one string.
    fn waiting(&self) -> String {
        self.0.state.route_status().waiting.join("; ")
    }
}

#[test]
fn each_reader_gets_the_document_in_its_own_version_without_fields_that_it_does_not_know() {
    let mut log = RouteLog::new();
    let old = log.join("old", &[1]);
    let spill = Field { default: Some(json!(10)), ..integer(0, 50) };
    let schema = route_schema(2, &[("spill", spill)]);
    assert!(is_applied(&log.admin("s2", AdminAction::ProposeSchema { schema })));
    assert!(is_applied(&log.publish("d", 2, json!({"limit": 5, "spill": 20}))));
    let document = log.send("old", old, 2, &[1]).document.expect("the old reader should get a document");
    assert_eq!((document.version, document.body), (1, json!({"limit": 5})));
    let new = log.0.join("new", 9);
    let document = log.send("new", new, 1, &[1, 2]).document.expect("the new reader should get a document");
    assert_eq!((document.version, document.body), (2, json!({"limit": 5, "spill": 20})));
}

#[test]
fn a_schema_that_an_older_reader_cannot_be_served_with_waits_even_while_the_reader_is_suspected() {
    let mut log = RouteLog::new();
    let old = log.join("old", &[1]);
    log.0.write(lynxtally_coordination::Command::Suspect { incarnation: old, suspected: true });
    let drain = Field { must_understand: true, ..field(FieldKind::Boolean {}) };
    let schema = route_schema(2, &[("drain", drain)]);
    assert!(is_applied(&log.admin("s2", AdminAction::ProposeSchema { schema })));
    assert!(log.waiting().contains("`drain`: added, and has to be understood"), "{}", log.waiting());
    assert!(log.waiting().contains("read by") && log.waiting().contains("old"), "{}", log.waiting());
    let reason = rejection_reason(log.publish("d", 2, json!({"limit": 5})));
    assert!(reason.contains("is 2, which is not in force"), "{reason}");
    // The program could still be rolled back to one that reads version 1. The schema therefore waits until there are
    // readers and all of them read version 2.
    log.admin("over", AdminAction::EndIncarnation { incarnation: old });
    log.join("new", &[2]);
    log.0.tick();
    assert_eq!(log.0.state.route_status().schema_versions, [1, 2], "{}", log.waiting());
}

#[test]
fn an_older_reader_that_joins_between_the_schema_check_and_publication_makes_the_document_wait() {
    let mut log = RouteLog::new();
    let new = log.join("new", &[1, 2]);
    let schema = Schema { version: 2, fields: [("limit".to_owned(), integer(0, 1000))].into() };
    log.admin("s2", AdminAction::ProposeSchema { schema });
    assert_eq!(
        log.0.state.route_status().schema_versions,
        [1, 2],
        "the schema is in force, because all readers read version 2: {}",
        log.waiting()
    );
    let old = log.join("late", &[1]);
    assert!(is_applied(&log.publish("d", 2, json!({"limit": 500}))));
    assert!(log.waiting().contains("held for late"), "{}", log.waiting());
    assert_eq!(log.0.state.route_status().document_index, None, "no document is in force yet");
    assert_eq!(log.send("new", new, 2, &[1, 2]).document, None);
    log.admin("over", AdminAction::EndIncarnation { incarnation: old });
    log.0.tick();
    assert!(log.send("new", new, 3, &[1, 2]).document.is_some());
}

#[test]
fn an_invalid_document_or_schema_is_rejected_with_the_field_and_changes_nothing() {
    let mut log = RouteLog::new();
    assert!(is_applied(&log.publish("d", 1, json!({"limit": 5}))));
    for (body, fault) in [
        (json!({}), "`limit` is missing"),
        (json!({"limit": 101}), "`limit` is 101"),
        (json!({"limit": 1, "more": 2}), "`more` is no field"),
        (json!([1]), "`` is no record"),
    ] {
        let reason = rejection_reason(log.publish(fault, 1, body)).replace('\n', " ");
        assert!(reason.contains("`what.document.body`") && reason.contains(fault), "{reason}");
    }
    let bad = Field { default: Some(json!("x")), ..integer(0, 1) };
    let schema = route_schema(2, &[("bad", bad)]);
    let reason = rejection_reason(log.admin("s2", AdminAction::ProposeSchema { schema }));
    assert!(reason.contains("`what.schema.fields.bad.default`"), "{reason}");
    let reader = log.0.join("r", 7);
    assert_eq!(
        log.send("r", reader, 1, &[1]).document.map(|document| document.body),
        Some(json!({"limit": 5}))
    );
    let incompatible_reader = log.0.join("none", 8);
    assert!(log
        .send("none", incompatible_reader, 1, &[9])
        .unreadable_reason
        .is_some_and(|reason| reason.contains("in the versions 9")));
}
