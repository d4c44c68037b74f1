//! Starts coroutines and catches their panics.

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
        Self(message.unwrap_or_else(|| "panic without a text message".to_owned()))
    }
}

impl fmt::Display for Panic {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Panic {}

/// Calls a function and catches its panic.
///
/// # Errors
/// The function panicked.
pub fn catch_panic<T>(function: impl FnOnce() -> T) -> Result<T, Panic> {
    catch_unwind(AssertUnwindSafe(function)).map_err(|payload| Panic::from_payload(&*payload))
}

/// Starts a coroutine with a stack of `stack_words` machine words. If it panics, `on_panic` is called; without
/// it, the panic would end the coroutine and not be reported.
///
/// # Errors
/// The stack could not be allocated.
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
    // SAFETY: `may` has two requirements. A coroutine must not rely on thread-local storage across a point where it
    // waits; no coroutine of this project does. The stack must not overflow; all stack sizes include a reserve, and a
    // guard page turns an overflow into a fault.
    #[allow(unsafe_code)]
    unsafe {
        Builder::new().stack_size(stack_words).spawn(watched)
    }
}
