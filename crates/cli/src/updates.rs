//! Parses the steps of an update as an operator writes them, and sends the update.

use crate::output::print_answer;
use crate::{Failed, Format};
use lynxtally_dns::client::Client;
use lynxtally_dns::codec::OutgoingRequest;
use lynxtally_zones::record_data::{read_time, Token};
use lynxtally_zones::update::{UpdateClass, UpdateRecord};
use lynxtally_zones::{Name, RecordType};
use rand::Rng;
use std::path::Path;

/// The steps of one update.
#[derive(Debug, Default, PartialEq)]
pub struct Steps {
    /// The prerequisites.
    pub prerequisites: Vec<UpdateRecord>,
    /// The operations.
    pub operations: Vec<UpdateRecord>,
}

/// Splits a step into tokens; blanks within quotes do not separate tokens.
fn tokens(text: &str) -> Result<Vec<Token<'_>>, String> {
    let (mut all, mut rest) = (Vec::new(), text.trim_start());
    while !rest.is_empty() {
        let (token, after, quoted) = if let Some(inner) = rest.strip_prefix('"') {
            let mut escaped = false;
            let end = inner.find(|c| {
                let end = c == '"' && !escaped;
                escaped = c == '\\' && !escaped;
                end
            });
            let end = end.ok_or("a quote that is not closed")?;
            (&inner[..end], &inner[end + 1..], true)
        } else {
            let end = rest.find(char::is_whitespace).unwrap_or(rest.len());
            (&rest[..end], &rest[end..], false)
        };
        all.push(Token { text: token.as_bytes(), quoted });
        rest = after.trim_start();
    }
    Ok(all)
}

impl Steps {
    /// Parses a step and appends it. An operation is `add NAME TTL KIND DATA` or `del NAME [KIND [DATA]]`. A prerequisite is
    /// `need NAME [KIND [DATA]]`, records that must exist, or `need-not NAME [KIND]`, records that must not exist.
    pub fn add(&mut self, text: &str, zone: &Name) -> Result<(), String> {
        let tokens = tokens(text)?;
        let token = |n: usize| tokens.get(n).map(|token| String::from_utf8_lossy(token.text).into_owned());
        let verb = token(0).ok_or("an empty step")?;
        let name = tokens.get(1).ok_or("a name is missing")?;
        let name = Name::parse(name.text, Some(zone)).map_err(|error| error.to_string())?;
        let kind = |n: usize| {
            token(n)
                .map(|text| RecordType::parse(&text).ok_or_else(|| format!("{text:?} is not a record type")))
                .transpose()
        };
        let data = |kind: RecordType, from: usize| {
            kind.parse_data(&tokens[from..], Some(zone)).map_err(|error| error.reason)
        };
        let raw =
            |kind: RecordType, class, ttl, data| UpdateRecord { name: name.clone(), kind, class, ttl, data };
        match verb.as_str() {
            "add" => {
                let ttl = tokens
                    .get(2)
                    .and_then(|token| read_time(token.text))
                    .ok_or("the TTL is missing or invalid")?;
                let kind = kind(3)?.ok_or("the record type is missing")?;
                self.operations.push(raw(kind, UpdateClass::Zone, ttl, data(kind, 4)?));
            }
            "del" => self.operations.push(match kind(2)? {
                None => raw(RecordType::ANY, UpdateClass::Any, 0, Vec::new()),
                Some(kind) if tokens.len() == 3 => raw(kind, UpdateClass::Any, 0, Vec::new()),
                Some(kind) => raw(kind, UpdateClass::None, 0, data(kind, 3)?),
            }),
            "need" => self.prerequisites.push(match kind(2)? {
                None => raw(RecordType::ANY, UpdateClass::Any, 0, Vec::new()),
                Some(kind) if tokens.len() == 3 => raw(kind, UpdateClass::Any, 0, Vec::new()),
                Some(kind) => raw(kind, UpdateClass::Zone, 0, data(kind, 3)?),
            }),
            "need-not" => self.prerequisites.push(raw(
                kind(2)?.unwrap_or(RecordType::ANY),
                UpdateClass::None,
                0,
                Vec::new(),
            )),
            other => return Err(format!("unknown step {other:?}; expected add, del, need or need-not")),
        }
        Ok(())
    }
}

/// Sends an update and prints the response.
pub fn send(
    client: &Client,
    zone: &Name,
    lease: Option<u32>,
    file: Option<&Path>,
    steps: &[String],
    format: Format,
) -> Result<(), Failed> {
    let mut all = Steps::default();
    if let Some(path) = file {
        let text = std::fs::read_to_string(path).map_err(|fault| format!("{}: {fault}", path.display()))?;
        for (n, line) in text.lines().enumerate() {
            if !line.trim().is_empty() && !line.trim_start().starts_with([';', '#']) {
                all.add(line, zone).map_err(|what| format!("{}:{}: {what}", path.display(), n + 1))?;
            }
        }
    }
    for step in steps.join(" ").split(';').filter(|step| !step.trim().is_empty()) {
        all.add(step, zone).map_err(|what| format!("step {:?}: {what}", step.trim()))?;
    }
    if all == Steps::default() {
        return Err(Failed::Error("no steps given; pass steps or --file".to_owned()));
    }
    let question = OutgoingRequest {
        opcode: 5,
        prerequisites: &all.prerequisites,
        updates: &all.operations,
        lease,
        ..lynxtally_dns::client::query(rand::rng().random(), zone, RecordType::SOA)
    };
    let answered = client.exchange_tcp(&question).map_err(|fault| format!("{}: {fault}", client.server))?;
    print_answer(&answered, format);
    if answered.code == 0 {
        Ok(())
    } else {
        Err(Failed::CheckFailed)
    }
}
