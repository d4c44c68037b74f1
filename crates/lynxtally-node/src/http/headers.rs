//! The protocol's headers, and the validation of their values.

use super::{ParseError, ReceivedRequest, RequestSchema};
use std::str::FromStr;

const ID: &str = "X-Correlation-Id";
const ARRIVED_MS: &str = "X-Arrived-Ms";
const CLIENT: &str = "X-Upstream-Peer";
const TENANT: &str = "X-Org";
const TIME_LEFT_MS: &str = "X-Deadline-Ms";
const EXPECTED_WORK_MS: &str = "X-Estimate-Ms";
const RETRY: &str = "X-Resent";
const MEMORY_KB: &str = "X-Need-Kb";
const CRITICALITY: &str = "X-Criticality";
const SUBJECT: &str = "X-Subject";
const IDEMPOTENCY_KEY: &str = "X-Operation-Key";
const NOT_EXECUTED: &str = "X-Untouched";

/// Requests that declare this much memory or more are rejected, in kilobytes.
const MEMORY_LIMIT_KB: f64 = 2000.0;
/// The maximum length of an idempotency key or a subject.
const MAX_KEY_BYTES: usize = 64;
/// The number of hex digits in a request id.
const ID_DIGITS: usize = 16;

/// The headers of a message. The framing headers are parsed; the headers of a request are unparsed text.
#[derive(Default)]
pub(super) struct Headers<'a> {
    pub content_length: Option<usize>,
    pub connection_close: bool,
    pub not_executed: bool,
    request: RequestHeaders<'a>,
}

/// The unparsed values of a request's headers.
#[derive(Default)]
struct RequestHeaders<'a> {
    id: Option<&'a str>,
    arrived_ms: Option<&'a str>,
    client: Option<&'a str>,
    tenant: Option<&'a str>,
    time_left_ms: Option<&'a str>,
    expected_work_ms: Option<&'a str>,
    retry: Option<&'a str>,
    memory_kb: Option<&'a str>,
    criticality: Option<&'a str>,
    subject: Option<&'a str>,
    idempotency_key: Option<&'a str>,
}

impl<'a> RequestHeaders<'a> {
    /// Returns the canonical name of a header and the field for its value, or `None` if the header is ignored.
    fn slot(&mut self, name: &str) -> Option<(&'static str, &mut Option<&'a str>)> {
        let slots = [
            (ID, &mut self.id),
            (ARRIVED_MS, &mut self.arrived_ms),
            (CLIENT, &mut self.client),
            (TENANT, &mut self.tenant),
            (TIME_LEFT_MS, &mut self.time_left_ms),
            (EXPECTED_WORK_MS, &mut self.expected_work_ms),
            (RETRY, &mut self.retry),
            (MEMORY_KB, &mut self.memory_kb),
            (CRITICALITY, &mut self.criticality),
            (SUBJECT, &mut self.subject),
            (IDEMPOTENCY_KEY, &mut self.idempotency_key),
        ];
        slots.into_iter().find(|(known, _)| name.eq_ignore_ascii_case(known))
    }
}

impl<'a> Headers<'a> {
    pub(super) fn parse(headers: &[httparse::Header<'a>]) -> Result<Self, ParseError> {
        let mut parsed = Self::default();
        for header in headers {
            parsed.add(header)?;
        }
        Ok(parsed)
    }

    fn add(&mut self, header: &httparse::Header<'a>) -> Result<(), ParseError> {
        let is = |name: &str| header.name.eq_ignore_ascii_case(name);
        let text = std::str::from_utf8(header.value).map(str::trim);
        if is("Content-Length") {
            return self.set_content_length(text.map_err(|_| ParseError::InvalidLength)?);
        }
        if is("Transfer-Encoding") {
            return Err(ParseError::UnsupportedEncoding);
        }
        if is("Connection") {
            let text = text.map_err(|_| ParseError::InvalidHeader("Connection"))?;
            let mut options = text.split(',').map(str::trim);
            self.connection_close |= options.any(|option| option.eq_ignore_ascii_case("close"));
            return Ok(());
        }
        if is(NOT_EXECUTED) {
            self.not_executed |= text == Ok("1");
            return Ok(());
        }
        if let Some((name, slot)) = self.request.slot(header.name) {
            let text = text.map_err(|_| ParseError::InvalidHeader(name))?;
            if slot.replace(text).is_some() {
                return Err(ParseError::InvalidHeader(name));
            }
        }
        Ok(())
    }

    fn set_content_length(&mut self, text: &str) -> Result<(), ParseError> {
        let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
        if self.content_length.is_some() || !is_number {
            return Err(ParseError::InvalidLength);
        }
        // Parsing digits fails only on overflow, so the announced body is too large.
        self.content_length = Some(text.parse().map_err(|_| ParseError::BodyTooLarge)?);
        Ok(())
    }

    /// Validates the headers and returns the request for the class with this name.
    pub(super) fn into_request(
        self,
        class: &str,
        schema: &RequestSchema,
        now_ms: u64,
        body: Vec<u8>,
    ) -> Result<ReceivedRequest, ParseError> {
        let headers = self.request;
        let memory_kb: f64 = number(headers.memory_kb, MEMORY_KB)?;
        let criticality: f64 = number(headers.criticality, CRITICALITY)?;
        let arrived_ms: u64 = number(headers.arrived_ms, ARRIVED_MS)?;
        let time_left_ms: Option<f64> = optional_number(headers.time_left_ms, TIME_LEFT_MS)?;
        let expected_work_ms: Option<f64> = optional_number(headers.expected_work_ms, EXPECTED_WORK_MS)?;
        let max_deadline_ms = schema.max_deadline_ms as f64;
        Ok(ReceivedRequest {
            id: headers.id.filter(is_id).ok_or(ParseError::InvalidHeader(ID))?.to_owned(),
            // The scheduler learns from the arrival time how long requests wait unread. An arrival time in the
            // future, or longer ago than any deadline allows, would corrupt that estimate.
            arrived_ms: checked(
                arrived_ms,
                arrived_ms.abs_diff(now_ms) <= schema.max_deadline_ms,
                ARRIVED_MS,
            )?,
            class: index_of(&schema.classes, class).ok_or(ParseError::UnknownClass)?,
            tenant: match headers.tenant {
                Some(name) => Some(index_of(&schema.tenants, name).ok_or(ParseError::UnknownTenant)?),
                None => checked(None, schema.tenants.is_empty(), TENANT)?,
            },
            client: number(headers.client, CLIENT)?,
            // The deadline and the expected work are capped at the longest deadline of any class, since no client waits
            // longer than that.
            deadline_ms: time_left_ms.map(|left| arrived_ms + left.min(max_deadline_ms) as u64),
            expected_work_ms: expected_work_ms
                .map(|work| work.min(max_deadline_ms))
                .filter(|work| *work > 0.0),
            is_retry: headers.retry.is_some_and(|retry| retry != "0"),
            memory_kb: checked(memory_kb, memory_kb > 0.0 && memory_kb < MEMORY_LIMIT_KB, MEMORY_KB)?,
            criticality: checked(criticality, (0.0..1.0).contains(&criticality), CRITICALITY)?,
            subject: optional_key(headers.subject, SUBJECT)?,
            idempotency_key: optional_key(headers.idempotency_key, IDEMPOTENCY_KEY)?,
            body,
        })
    }
}

/// Parses a number of decimal digits with an optional decimal point. Signs, exponents, infinities and NaN are
/// rejected.
fn number<T: FromStr>(text: Option<&str>, name: &'static str) -> Result<T, ParseError> {
    let is_plain = |text: &&str| text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let parsed = text.filter(is_plain).and_then(|text| text.parse().ok());
    parsed.ok_or(ParseError::InvalidHeader(name))
}

fn optional_number<T: FromStr>(text: Option<&str>, name: &'static str) -> Result<Option<T>, ParseError> {
    text.map(|text| number(Some(text), name)).transpose()
}

fn optional_key(text: Option<&str>, name: &'static str) -> Result<Option<String>, ParseError> {
    let is_valid = text.is_none_or(|text| !text.is_empty() && text.len() <= MAX_KEY_BYTES);
    checked(text.map(str::to_owned), is_valid, name)
}

fn checked<T>(value: T, is_valid: bool, name: &'static str) -> Result<T, ParseError> {
    is_valid.then_some(value).ok_or(ParseError::InvalidHeader(name))
}

fn is_id(text: &&str) -> bool {
    text.len() == ID_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}
