//! Starting coroutines, and catching panics in them.

use may::coroutine::{Builder, JoinHandle};
use std::any::Any;
use std::fmt;
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// The message of a panic that was caught.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Panic(String);

impl Panic {
    fn from_payload(payload: &(dyn Any + Send)) -> Self {
        let literal = payload.downcast_ref::<&str>().map(|text| (*text).to_owned());
        let message = literal.or_else(|| payload.downcast_ref::<String>().cloned());
        Self(message.unwrap_or_else(|| "a panic".to_owned()))
    }
}

impl fmt::Display for Panic {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Panic {}

/// Runs a piece of work.
///
/// # Errors
/// The work panicked.
pub fn catch_panic<T>(work: impl FnOnce() -> T) -> Result<T, Panic> {
    catch_unwind(AssertUnwindSafe(work)).map_err(|payload| Panic::from_payload(&*payload))
}

/// Starts a coroutine with a stack of so many machine words. `on_panic` is called if it panics; without that, a
/// panic would end the coroutine silently.
///
/// # Errors
/// No stack could be allocated.
pub fn spawn<F, G>(stack_words: usize, work: F, on_panic: G) -> io::Result<JoinHandle<()>>
where
    F: FnOnce() + Send + 'static,
    G: FnOnce(Panic) + Send + 'static,
{
    let watched = move || {
        if let Err(panic) = catch_panic(work) {
            on_panic(panic);
        }
    };
    // SAFETY: may asks two things of a coroutine. It must not rely on thread-local storage across a point
    // where it waits, and none of ours does; and its stack must suffice, which is sized with room and guarded
    // by a page.
    #[allow(unsafe_code)]
    unsafe {
        Builder::new().stack_size(stack_words).spawn(watched)
    }
}
