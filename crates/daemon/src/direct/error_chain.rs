//! Errors with all their sources, for the log. The errors of `hyper` leave their sources out of their own text.

use std::{error::Error, fmt};

/// An error and its sources, joined by colons.
#[derive(Clone, Copy, Debug)]
pub struct ErrorChain<'a>(pub &'a (dyn Error + 'static));

impl fmt::Display for ErrorChain<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)?;
        let mut source = self.0.source();
        while let Some(error) = source {
            write!(f, ": {error}")?;
            source = error.source();
        }
        Ok(())
    }
}
