//! HTTP/1.1 as sidecars and the ledger speak it: bytes in, small typed values out. No socket is known here,
//! and the protocol's names end here.

use lynxtally_settings::BackendSettings;
use std::fmt;

/// Room for a message's head.
pub const HEAD_MOST: usize = 8 * 1024;
/// Room for a task's body.
pub const BODY_MOST: usize = 2 * 1024;
/// Tasks book less memory than this, in kilobytes.
const KB_MOST: f64 = 2000.0;
/// A mark or subject is no longer than this.
const MARK_MOST: usize = 64;
/// Room for what the ledger replies.
pub const REPLY_MOST: usize = 64 * 1024;
const FIELDS_MOST: usize = 64;

/// What a task is checked against.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// The stages' names.
    pub stages: Vec<String>,
    /// The customers' names.
    pub customers: Vec<String>,
    /// The longest time limit, in milliseconds: nobody waits for a task that came longer ago.
    pub longest_ms: u64,
}

impl Names {
    /// As the settings declare them.
    pub fn of(declared: &BackendSettings) -> Self {
        let longest = declared.settings.classes.iter().map(|stage| stage.deadline).max().unwrap_or_default();
        Self {
            stages: declared.class_names.clone(),
            customers: declared.tenant_names.clone(),
            longest_ms: longest.micros() / 1000,
        }
    }
}

/// A task as a sidecar sent it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sent {
    /// The name of this try: 16 hex digits.
    pub id: String,
    /// When it came to the machine, in Unix milliseconds.
    pub arrived_ms: u64,
    /// The stage's index.
    pub stage: usize,
    /// The customer's index.
    pub customer: Option<usize>,
    /// The sidecar's number.
    pub caller: u64,
    /// When the sidecar gives this try up, in Unix milliseconds, where it says so.
    pub limit_ms: Option<u64>,
    /// The expected work on a standard core, in milliseconds, where the sidecar says so.
    pub hint_ms: Option<f64>,
    /// Whether it is marked as a further try.
    pub further: bool,
    /// Its memory while held.
    pub kb: f64,
    /// Its place among all tasks, from 0 to under 1.
    pub place: f64,
    /// What a read is about.
    pub subject: Option<String>,
    /// The mark by which a fingerprinted task's repeats are known.
    pub mark: Option<String>,
    /// What the kernel gets, as it came.
    pub body: Vec<u8>,
}

/// What a sidecar asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Asked {
    /// Whether this node is well.
    Health,
    /// That a task be run.
    Task(Box<Sent>),
}

/// A message, and whether its sender wants no further one on the connection.
#[derive(Clone, Debug, PartialEq)]
pub struct Message<T> {
    /// What it says.
    pub what: T,
    /// Whether the connection ends with its answer.
    pub last: bool,
}

/// Why a message can't be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bad {
    /// Its head is no head.
    Head,
    /// Its length is missing, doubled or no number.
    Length,
    /// A field is missing, doubled or unreadable.
    Field(&'static str),
    /// No stage has this name.
    Stage,
    /// No customer has this name.
    Customer,
    /// Nothing is found under this path.
    Path,
    /// Nothing is done by this method.
    Method,
    /// Its head is too large.
    HeadLarge,
    /// Its body is too large.
    BodyLarge,
    /// Its body comes in a coding that is not taken.
    Coding,
}

impl Bad {
    /// The status that says so.
    pub fn status(self) -> u16 {
        match self {
            Self::Head | Self::Length | Self::Field(_) | Self::Stage | Self::Customer => 400,
            Self::Path => 404,
            Self::Method => 405,
            Self::BodyLarge => 413,
            Self::HeadLarge => 431,
            Self::Coding => 501,
        }
    }
}

impl fmt::Display for Bad {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Head => f.write_str("the head can't be read"),
            Self::Length => f.write_str("the length is missing, doubled or no number"),
            Self::Field(name) => write!(f, "`{name}` is missing, doubled or unreadable"),
            Self::Stage => f.write_str("no stage has this name"),
            Self::Customer => f.write_str("no customer has this name"),
            Self::Path => f.write_str("nothing is found under this path"),
            Self::Method => f.write_str("nothing is done by this method"),
            Self::HeadLarge => f.write_str("the head is too large"),
            Self::BodyLarge => f.write_str("the body is too large"),
            Self::Coding => f.write_str("the body's coding is not taken"),
        }
    }
}

/// What the ledger replied to a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// Its status.
    pub status: u16,
    /// Whether it says that the call never ran.
    pub untouched: bool,
    /// What goes to the kernel.
    pub body: Vec<u8>,
}

/// Bytes as they came, split anywhere, and the messages in them.
#[derive(Debug, Default)]
pub struct Reader {
    /// What was read and not understood yet.
    pub buffer: Vec<u8>,
}

impl Reader {
    /// How much may be buffered of what a sidecar sends: one message whole, and a bit of the next.
    pub const ROOM: usize = HEAD_MOST + BODY_MOST;

    /// The next whole message from a sidecar, read at this time of the Unix clock.
    pub fn next_asked(&mut self, names: &Names, now_ms: u64) -> Result<Option<Message<Asked>>, Bad> {
        // Empty lines before a message are allowed for.
        let blank = self.buffer.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
        self.buffer.drain(..blank);
        let mut fields = [httparse::EMPTY_HEADER; FIELDS_MOST];
        let mut head = httparse::Request::new(&mut fields);
        let Some(start) = body_start(head.parse(&self.buffer), self.buffer.len())? else { return Ok(None) };
        let found = Fields::of(head.headers)?;
        let length = found.length.unwrap_or(0);
        if length > BODY_MOST {
            return Err(Bad::BodyLarge);
        }
        let last = found.last || head.version == Some(0);
        let path = head.path.unwrap_or("");
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        let what = match (path.rsplit_once('/'), head.method) {
            (Some(("", "alive")), Some("GET" | "HEAD")) => Asked::Health,
            (Some(("/ops", stage)), Some("POST")) => {
                if self.buffer.len() < start + length {
                    return Ok(None);
                }
                let body = self.buffer[start..start + length].to_vec();
                Asked::Task(Box::new(found.task(stage, names, now_ms, body)?))
            }
            (Some(("", "alive") | ("/ops", _)), _) => return Err(Bad::Method),
            _ => return Err(Bad::Path),
        };
        if self.buffer.len() < start + length {
            return Ok(None);
        }
        self.buffer.drain(..start + length);
        Ok(Some(Message { what, last }))
    }

    /// The next whole reply of the ledger. What only announces one (1xx) is passed over.
    pub fn next_reply(&mut self) -> Result<Option<Message<Reply>>, Bad> {
        loop {
            let mut fields = [httparse::EMPTY_HEADER; FIELDS_MOST];
            let mut head = httparse::Response::new(&mut fields);
            let parsed = head.parse(&self.buffer);
            let Some(start) = body_start(parsed, self.buffer.len())? else { return Ok(None) };
            match head.code {
                // After a change of protocols nothing here can be read.
                Some(101) => return Err(Bad::Head),
                Some(100..=199) => drop(self.buffer.drain(..start)),
                _ => return self.whole_reply(),
            }
        }
    }

    fn whole_reply(&mut self) -> Result<Option<Message<Reply>>, Bad> {
        let mut fields = [httparse::EMPTY_HEADER; FIELDS_MOST];
        let mut head = httparse::Response::new(&mut fields);
        let Some(start) = body_start(head.parse(&self.buffer), self.buffer.len())? else { return Ok(None) };
        let found = Fields::of(head.headers)?;
        let length = found.length.ok_or(Bad::Length)?;
        if length > REPLY_MOST {
            return Err(Bad::BodyLarge);
        }
        if self.buffer.len() < start + length {
            return Ok(None);
        }
        let status = head.code.ok_or(Bad::Head)?;
        let last = found.last || head.version == Some(0);
        let untouched = found.untouched;
        let body = self.buffer[start..start + length].to_vec();
        self.buffer.drain(..start + length);
        Ok(Some(Message { what: Reply { status, untouched, body }, last }))
    }
}

/// Where the body starts, once the head is whole.
fn body_start(parsed: httparse::Result<usize>, buffered: usize) -> Result<Option<usize>, Bad> {
    match parsed {
        Ok(httparse::Status::Complete(start)) if start <= HEAD_MOST => Ok(Some(start)),
        Ok(httparse::Status::Partial) if buffered < HEAD_MOST => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(Bad::HeadLarge),
        Err(_) => Err(Bad::Head),
    }
}

/// Writes a call to the ledger.
pub fn write_call(out: &mut Vec<u8>, id: &str, limit_ms: u64, body: &[u8]) {
    let length = body.len();
    let head = format!(
        "POST /post HTTP/1.1\r\nHost: ledger\r\nX-Txn-Ref: {id}\r\n\
         X-Limit-Ms: {limit_ms}\r\nContent-Length: {length}\r\n\r\n"
    );
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body);
}

/// The fields that we read, each as it stands.
#[derive(Default)]
struct Fields<'a> {
    length: Option<usize>,
    last: bool,
    untouched: bool,
    id: Option<&'a str>,
    arrived: Option<&'a str>,
    caller: Option<&'a str>,
    customer: Option<&'a str>,
    left: Option<&'a str>,
    hint: Option<&'a str>,
    further: Option<&'a str>,
    kb: Option<&'a str>,
    place: Option<&'a str>,
    subject: Option<&'a str>,
    mark: Option<&'a str>,
}

const ID: &str = "X-Correlation-Id";
const ARRIVED: &str = "X-Arrived-Ms";
const CALLER: &str = "X-Upstream-Peer";
const CUSTOMER: &str = "X-Org";
const LEFT: &str = "X-Deadline-Ms";
const HINT: &str = "X-Estimate-Ms";
const FURTHER: &str = "X-Resent";
const KB: &str = "X-Need-Kb";
const PLACE: &str = "X-Criticality";
const SUBJECT: &str = "X-Subject";
const MARK: &str = "X-Operation-Key";

impl<'a> Fields<'a> {
    fn of(headers: &[httparse::Header<'a>]) -> Result<Self, Bad> {
        let mut found = Self::default();
        for field in headers {
            let is = |name: &str| field.name.eq_ignore_ascii_case(name);
            let text = std::str::from_utf8(field.value).map(str::trim);
            if is("Content-Length") {
                let text = text.map_err(|_| Bad::Length)?;
                if found.length.is_some() || text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
                    return Err(Bad::Length);
                }
                // Digits that make no number are too many.
                found.length = Some(text.parse().map_err(|_| Bad::BodyLarge)?);
            } else if is("Transfer-Encoding") {
                return Err(Bad::Coding);
            } else if is("Connection") {
                let text = text.map_err(|_| Bad::Field("Connection"))?;
                found.last |= text.split(',').any(|word| word.trim().eq_ignore_ascii_case("close"));
            } else if is("X-Untouched") {
                found.untouched |= text == Ok("1");
            } else {
                let slots = [
                    (ID, &mut found.id),
                    (ARRIVED, &mut found.arrived),
                    (CALLER, &mut found.caller),
                    (CUSTOMER, &mut found.customer),
                    (LEFT, &mut found.left),
                    (HINT, &mut found.hint),
                    (FURTHER, &mut found.further),
                    (KB, &mut found.kb),
                    (PLACE, &mut found.place),
                    (SUBJECT, &mut found.subject),
                    (MARK, &mut found.mark),
                ];
                if let Some((name, slot)) = slots.into_iter().find(|(name, _)| is(name)) {
                    let text = text.map_err(|_| Bad::Field(name))?;
                    if slot.replace(text).is_some() {
                        return Err(Bad::Field(name));
                    }
                }
            }
        }
        Ok(found)
    }

    fn task(&self, stage: &str, names: &Names, now_ms: u64, body: Vec<u8>) -> Result<Sent, Bad> {
        // Digits, and where fractions are meant a point: no signs, no exponents, nothing endless.
        fn number<T: std::str::FromStr>(text: Option<&str>, name: &'static str) -> Result<T, Bad> {
            let plain = |text: &&str| text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
            text.filter(plain).and_then(|text| text.parse().ok()).ok_or(Bad::Field(name))
        }
        fn within<T>(value: T, fits: bool, name: &'static str) -> Result<T, Bad> {
            fits.then_some(value).ok_or(Bad::Field(name))
        }
        let known = |names: &[String], name: &str| names.iter().position(|known| known == name);
        let hex = |text: &&str| text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let mark = |text: Option<&str>, name| {
            let fits = text.is_none_or(|text| !text.is_empty() && text.len() <= MARK_MOST);
            within(text.map(str::to_owned), fits, name)
        };
        let kb: f64 = number(self.kb, KB)?;
        let place: f64 = number(self.place, PLACE)?;
        let arrived_ms: u64 = number(self.arrived, ARRIVED)?;
        let left: Option<f64> = self.left.map(|left| number(Some(left), LEFT)).transpose()?;
        let hint: Option<f64> = self.hint.map(|hint| number(Some(hint), HINT)).transpose()?;
        let longest = names.longest_ms as f64;
        Ok(Sent {
            id: self.id.filter(hex).ok_or(Bad::Field(ID))?.to_owned(),
            // What came before anybody's limit or will come in the future would teach the module nonsense.
            arrived_ms: within(arrived_ms, arrived_ms.abs_diff(now_ms) <= names.longest_ms, ARRIVED)?,
            stage: known(&names.stages, stage).ok_or(Bad::Stage)?,
            customer: match self.customer {
                Some(name) => Some(known(&names.customers, name).ok_or(Bad::Customer)?),
                None => within(None, names.customers.is_empty(), CUSTOMER)?,
            },
            caller: number(self.caller, CALLER)?,
            // Nobody waits longer, and nothing that may last longer is worth a longer guess.
            limit_ms: left.map(|left| arrived_ms + left.min(longest) as u64),
            hint_ms: hint.map(|hint| hint.min(longest)).filter(|hint| *hint > 0.0),
            further: self.further.is_some_and(|further| further != "0"),
            kb: within(kb, kb > 0.0 && kb < KB_MOST, KB)?,
            place: within(place, (0.0..1.0).contains(&place), PLACE)?,
            subject: mark(self.subject, SUBJECT)?,
            mark: mark(self.mark, MARK)?,
            body,
        })
    }
}
