//! A relay between two processes that speak HTTP: whole messages, each with its fate.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// What becomes of messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fate {
    /// Questions get lost: the connection is closed.
    pub lose_questions: bool,
    /// Answers get lost: the question arrives, and the connection is closed.
    pub lose_answers: bool,
    /// Questions are read and nothing comes back, nor does the connection end.
    pub stall: bool,
    /// Each question arrives so many times more.
    pub again: u32,
    /// Each waits for so long before it arrives.
    pub delay: Duration,
    /// A copy of each arrives so much later, behind what was sent after it.
    pub late_copy: Option<Duration>,
}

impl Fate {
    /// Nothing gets through.
    pub const CUT: Self = Self {
        lose_questions: true,
        lose_answers: true,
        stall: false,
        again: 0,
        delay: Duration::ZERO,
        late_copy: None,
    };
}

/// A relay.
#[derive(Clone)]
pub struct Relay {
    /// Where it listens.
    pub at: SocketAddr,
    fate: Arc<Mutex<Fate>>,
}

fn lock(fate: &Mutex<Fate>) -> MutexGuard<'_, Fate> {
    fate.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Relay {
    /// Relays to an address.
    ///
    /// # Panics
    /// There is no port.
    pub fn to(to: SocketAddr) -> Self {
        let listener = (0..100).find_map(|_| TcpListener::bind(crate::address()).ok()).expect("a port");
        let at = listener.local_addr().expect("an address");
        let fate: Arc<Mutex<Fate>> = Arc::default();
        let own = fate.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let fate = own.clone();
                // How a connection ends is the story's: nobody is told.
                thread::spawn(move || drop(pass(&stream, to, &fate)));
            }
        });
        Self { at, fate }
    }

    /// Changes what becomes of messages from now on.
    pub fn set(&self, fate: Fate) {
        *lock(&self.fate) = fate;
    }
}

/// One whole message: its head and its body.
pub(crate) fn message(from: &mut BufReader<&TcpStream>) -> io::Result<Vec<u8>> {
    let (mut all, mut length) = (Vec::new(), 0);
    loop {
        let start = all.len();
        if from.read_until(b'\n', &mut all)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = String::from_utf8_lossy(&all[start..]).to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().map_err(io::Error::other)?;
        }
        if line == "\r\n" {
            break;
        }
    }
    let head = all.len();
    all.resize(head + length, 0);
    from.read_exact(&mut all[head..])?;
    Ok(all)
}

fn pass(stream: &TcpStream, to: SocketAddr, fate: &Mutex<Fate>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut questions = BufReader::new(stream);
    loop {
        let question = message(&mut questions)?;
        let Fate { lose_questions, lose_answers, stall, again, delay, late_copy } = *lock(fate);
        thread::sleep(delay);
        if lose_questions {
            return Ok(());
        }
        if stall {
            // Until the other side gives up.
            let _ = questions.read(&mut [0]);
            return Ok(());
        }
        if let Some(later) = late_copy {
            let question = question.clone();
            thread::spawn(move || {
                thread::sleep(later);
                // Nobody waits for what comes of it.
                if let Ok(mut onward) = TcpStream::connect(to) {
                    let _ = onward.write_all(&question);
                    let _ = message(&mut BufReader::new(&onward));
                }
            });
        }
        let mut answer = Vec::new();
        for _ in 0..=again {
            let onward = TcpStream::connect(to)?;
            onward.set_nodelay(true)?;
            (&onward).write_all(&question)?;
            answer = message(&mut BufReader::new(&onward))?;
        }
        if lose_answers || lock(fate).lose_answers {
            return Ok(());
        }
        let mut back = stream;
        back.write_all(&answer)?;
    }
}
