//! Splits a zone file into entries and tokens: quotes, comments and parentheses (RFC 1035 section 5.1).

use crate::record_data::Token;

/// A position in a text; line and column (in octets) are counted from 1.
#[derive(Clone, Copy, Debug)]
pub(super) struct Position {
    pub(super) line: u32,
    pub(super) column: u32,
}

/// Why an entry is refused, and at which position.
#[derive(Debug)]
pub(super) struct EntryError {
    pub(super) position: Position,
    pub(super) reason: String,
}

/// Whether a line starts with an owner field, or with a blank and takes the owner of the record before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LineStart {
    Owner,
    Blank,
}

impl EntryError {
    pub(super) fn new(position: Position, reason: impl Into<String>) -> Self {
        Self { position, reason: reason.into() }
    }
}

/// Splits a text into entries. An entry is one line, or several lines within parentheses.
pub(super) struct Scanner<'a> {
    text: &'a [u8],
    at: usize,
    line: u32,
    line_start: usize,
}

/// The position of an open parenthesis, and where parsing resumes if it is never closed.
#[derive(Clone, Copy)]
struct Paren {
    position: Position,
    /// The offset of the following line.
    resume_at: usize,
    /// The number of the following line.
    resume_line: u32,
}

impl<'a> Scanner<'a> {
    pub(super) fn new(text: &'a [u8]) -> Self {
        Self { text, at: 0, line: 1, line_start: 0 }
    }

    fn position(&self) -> Position {
        Position { line: self.line, column: (self.at - self.line_start) as u32 + 1 }
    }

    fn line_start_kind(&self) -> LineStart {
        match self.peek() {
            Some(b' ' | b'\t') => LineStart::Blank,
            _ => LineStart::Owner,
        }
    }

    fn peek(&self) -> Option<u8> {
        self.text.get(self.at).copied()
    }

    fn newline(&mut self) {
        self.at += 1;
        self.line += 1;
        self.line_start = self.at;
    }

    fn skip_line(&mut self) {
        while self.peek().is_some_and(|octet| octet != b'\n') {
            self.at += 1;
        }
        if self.peek().is_some() {
            self.newline();
        }
    }

    /// Skips to the next entry after an error. Within parentheses, parsing resumes after the closing one or, if
    /// that is missing, on the line after the opening one, so that the valid records there are not lost.
    fn recover(&mut self, paren: Option<Paren>) {
        let Some(Paren { resume_at, resume_line, .. }) = paren else { return self.skip_line() };
        loop {
            match self.peek() {
                Some(b')') => return self.skip_line(),
                Some(b'(') | None => {
                    self.at = resume_at;
                    self.line = resume_line;
                    self.line_start = self.at;
                    return;
                }
                Some(b'\n') => self.newline(),
                Some(b';') => self.skip_line(),
                Some(_) => self.at += 1,
            }
        }
    }

    /// Reads the tokens of the next entry and how its line starts; none at the end of the text.
    pub(super) fn entry(
        &mut self,
        tokens: &mut Vec<Token<'a>>,
        positions: &mut Vec<Position>,
    ) -> Option<Result<LineStart, EntryError>> {
        tokens.clear();
        positions.clear();
        let mut line_start = self.line_start_kind();
        let mut paren: Option<Paren> = None;
        loop {
            let position = self.position();
            let Some(octet) = self.peek() else {
                if let Some(open) = paren {
                    self.recover(paren);
                    return Some(Err(EntryError::new(open.position, "a parenthesis that is not closed")));
                }
                return (!tokens.is_empty()).then_some(Ok(line_start));
            };
            match octet {
                b' ' | b'\t' | b'\r' => self.at += 1,
                b';' => {
                    while self.peek().is_some_and(|octet| octet != b'\n') {
                        self.at += 1;
                    }
                }
                b'\n' => {
                    self.newline();
                    if paren.is_none() {
                        if !tokens.is_empty() {
                            return Some(Ok(line_start));
                        }
                        line_start = self.line_start_kind();
                    }
                }
                b'(' => {
                    if let Some(open) = paren {
                        self.recover(paren);
                        return Some(Err(EntryError::new(
                            open.position,
                            "a parenthesis that is not closed before the next one",
                        )));
                    }
                    let end = self.text[self.at..].iter().position(|octet| *octet == b'\n');
                    let resume_at = end.map_or(self.text.len(), |end| self.at + end + 1);
                    paren = Some(Paren { position, resume_at, resume_line: self.line + 1 });
                    self.at += 1;
                }
                b')' => {
                    if paren.take().is_none() {
                        self.recover(None);
                        return Some(Err(EntryError::new(position, "a parenthesis that was not opened")));
                    }
                    self.at += 1;
                }
                b'"' => {
                    let start = self.at + 1;
                    self.at = start;
                    loop {
                        match self.peek() {
                            Some(b'"') => break,
                            Some(b'\\') if self.text.get(self.at + 1).is_some_and(|o| *o != b'\n') => {
                                self.at += 2
                            }
                            None | Some(b'\n') => {
                                self.recover(paren);
                                return Some(Err(EntryError::new(
                                    position,
                                    "a quote that is not closed on its line",
                                )));
                            }
                            Some(_) => self.at += 1,
                        }
                    }
                    tokens.push(Token { text: &self.text[start..self.at], quoted: true });
                    positions.push(position);
                    self.at += 1;
                }
                _ => {
                    let start = self.at;
                    while let Some(octet) = self.peek() {
                        match octet {
                            b' ' | b'\t' | b'\r' | b'\n' | b';' | b'(' | b')' | b'"' => break,
                            b'\\' if self.text.get(self.at + 1).is_some_and(|o| *o != b'\n') => self.at += 2,
                            _ => self.at += 1,
                        }
                    }
                    tokens.push(Token { text: &self.text[start..self.at], quoted: false });
                    positions.push(position);
                }
            }
        }
    }
}
