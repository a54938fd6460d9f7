//! The syntax of YANG (RFC 7950 section 6): statements with a keyword, an argument and substatements. The module
//! `schema` interprets them.

/// A YANG statement.
#[derive(Debug, PartialEq)]
pub struct Statement {
    pub keyword: String,
    pub argument: String,
    pub line: u32,
    pub substatements: Vec<Statement>,
}

impl Statement {
    /// The substatements with this keyword.
    pub fn all<'a>(&'a self, keyword: &'a str) -> impl Iterator<Item = &'a Statement> {
        self.substatements.iter().filter(move |statement| statement.keyword == keyword)
    }

    /// The first substatement with this keyword.
    pub fn get(&self, keyword: &str) -> Option<&Statement> {
        self.substatements.iter().find(|statement| statement.keyword == keyword)
    }

    /// The argument of the first substatement with this keyword.
    pub fn argument_of(&self, keyword: &str) -> Option<&str> {
        self.get(keyword).map(|statement| statement.argument.as_str())
    }
}

/// Bounds the recursion of the parser. The built-in modules are nested less deeply.
const MAX_DEPTH: usize = 64;

#[derive(Debug, PartialEq)]
enum Token {
    /// A string, and whether it is quoted. A quoted string is not a keyword, and only quoted strings can be
    /// concatenated with `+`.
    Word(String, bool),
    OpenBrace,
    CloseBrace,
    Semicolon,
}

struct Parser<'a> {
    text: &'a str,
    /// The byte offset up to which the text is consumed.
    offset: usize,
    /// The line at `offset`, starting at 1.
    line: u32,
}

/// Parses the text of a module, which is a single statement.
pub fn parse(text: &str) -> Result<Statement, String> {
    let mut parser = Parser { text, offset: 0, line: 1 };
    let statement = parser.statement(0)?.ok_or("the text contains no statement")?;
    match parser.token()? {
        None => Ok(statement),
        Some(_) => Err(format!("line {}: unexpected text after the module", parser.line)),
    }
}

impl Parser<'_> {
    /// Parses the next statement with its substatements. Returns `None` at the end of the text or, with a depth above
    /// 0, after the closing brace of the parent.
    fn statement(&mut self, depth: usize) -> Result<Option<Statement>, String> {
        let keyword = match self.token()? {
            None => return Ok(None),
            Some(Token::CloseBrace) if depth > 0 => return Ok(None),
            Some(Token::Word(keyword, false)) => keyword,
            Some(other) => return Err(format!("line {}: expected a keyword, found {other:?}", self.line)),
        };
        let (line, mut argument, mut substatements) = (self.line, String::new(), Vec::new());
        if depth > MAX_DEPTH {
            return Err(format!("line {line}: statements are nested too deeply"));
        }
        let mut next = self.token()?;
        if let Some(Token::Word(first, quoted)) = next {
            argument = first;
            next = self.token()?;
            while quoted && next == Some(Token::Word("+".into(), false)) {
                match self.token()? {
                    Some(Token::Word(continuation, true)) => argument.push_str(&continuation),
                    _ => return Err(format!("line {}: expected a quoted string after +", self.line)),
                }
                next = self.token()?;
            }
        }
        match next {
            Some(Token::Semicolon) => {}
            Some(Token::OpenBrace) => loop {
                let start = self.offset;
                match self.statement(depth + 1)? {
                    Some(statement) => substatements.push(statement),
                    None if self.text[start..self.offset].ends_with('}') => break,
                    None => return Err(format!("line {line}: {keyword} {argument:?} is not closed")),
                }
            },
            _ => return Err(format!("line {line}: expected ; or {{ after {keyword} {argument:?}")),
        }
        Ok(Some(Statement { keyword, argument, line, substatements }))
    }

    /// Moves past this many bytes and counts the lines in them.
    fn skip(&mut self, bytes: usize) {
        self.line += self.text[self.offset..self.offset + bytes].matches('\n').count() as u32;
        self.offset += bytes;
    }

    /// Reads the next token, skipping white space and comments. Returns `None` at the end of the text.
    fn token(&mut self) -> Result<Option<Token>, String> {
        loop {
            let rest = &self.text[self.offset..];
            let whitespace = rest.len() - rest.trim_start().len();
            if whitespace > 0 {
                self.skip(whitespace);
            } else if rest.starts_with("//") {
                self.skip(rest.find('\n').unwrap_or(rest.len()));
            } else if let Some(comment) = rest.strip_prefix("/*") {
                let end = comment
                    .find("*/")
                    .ok_or_else(|| format!("line {}: a comment is not closed", self.line))?;
                self.skip(end + 4);
            } else {
                break;
            }
        }
        let rest = &self.text[self.offset..];
        let some = |token| Ok(Some(token));
        match rest.chars().next() {
            None => Ok(None),
            Some(delimiter @ ('{' | '}' | ';')) => {
                self.skip(1);
                some(match delimiter {
                    '{' => Token::OpenBrace,
                    '}' => Token::CloseBrace,
                    _ => Token::Semicolon,
                })
            }
            Some('\'') => {
                let end = rest[1..]
                    .find('\'')
                    .ok_or_else(|| format!("line {}: a quoted string is not closed", self.line))?;
                let word = rest[1..1 + end].to_string();
                self.skip(end + 2);
                some(Token::Word(word, true))
            }
            Some('"') => self.double_quoted().map(|word| Some(Token::Word(word, true))),
            Some(_) => {
                let ends_word = |c: char| c.is_whitespace() || matches!(c, '{' | '}' | ';' | '"' | '\'');
                let word = rest[..rest.find(ends_word).unwrap_or(rest.len())].to_string();
                self.skip(word.len());
                some(Token::Word(word, false))
            }
        }
    }

    /// Parses a double-quoted string: resolves escapes and removes the indentation of continuation lines (RFC 7950
    /// section 6.1.3).
    fn double_quoted(&mut self) -> Result<String, String> {
        let (line, start) = (self.line, self.offset);
        let before = &self.text[..start];
        let column = start - before.rfind('\n').map_or(0, |end| end + 1) + 1;
        let (mut word, mut escaped) = (String::new(), false);
        for (index, c) in self.text[start + 1..].char_indices() {
            match c {
                c if escaped => {
                    word.push(match c {
                        'n' => '\n',
                        't' => '\t',
                        '"' | '\\' => c,
                        other => return Err(format!("line {line}: unknown escape \\{other}")),
                    });
                    escaped = false;
                }
                '\\' => escaped = true,
                '"' => {
                    self.skip(index + 2);
                    let mut lines = word.split('\n');
                    let mut joined = lines.next().unwrap_or_default().trim_end_matches(' ').to_string();
                    if !word.contains('\n') {
                        return Ok(word);
                    }
                    for line in lines {
                        let indent = line.len() - line.trim_start_matches(' ').len();
                        joined.push('\n');
                        joined.push_str(&line[indent.min(column)..]);
                    }
                    return Ok(joined);
                }
                c => word.push(c),
            }
        }
        Err(format!("line {line}: a quoted string is not closed"))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn quotes_comments_and_concatenated_strings_are_parsed() {
        let text = "module a { // one\n  pattern \"x\\\\.\\\"y\" + 'z\\'; /* two\n */ leaf b { type string; }\n  description\n    \"one\n     two\"; }";
        let module = parse(text).unwrap();
        assert_eq!((module.keyword.as_str(), module.argument.as_str()), ("module", "a"));
        assert_eq!(module.argument_of("pattern"), Some("x\\.\"yz\\"));
        assert_eq!(module.get("leaf").unwrap().argument_of("type"), Some("string"));
        assert_eq!(module.get("leaf").unwrap().line, 3);
        assert_eq!(module.argument_of("description"), Some("one\ntwo"));
    }

    #[test]
    fn syntax_errors_name_their_line() {
        for (text, expected) in [
            ("", "no statement"),
            ("module a {\n leaf b;", "line 1: module \"a\" is not closed"),
            ("module a {\n leaf b }", "expected ; or { after leaf \"b\""),
            ("module a;\n}", "line 2: unexpected text after the module"),
            ("module \"a", "line 1: a quoted string is not closed"),
            ("module a { /* }", "a comment is not closed"),
            ("module a { d \"\\q\"; }", "unknown escape \\q"),
            ("module a { d \"b\" + c; }", "expected a quoted string after +"),
            ("\"module\" a;", "expected a keyword"),
        ] {
            let error = parse(text).unwrap_err();
            assert!(error.contains(expected), "{text:?}: {error}");
        }
        assert!(parse(&"a {".repeat(10_000)).unwrap_err().contains("too deeply"));
    }
}
