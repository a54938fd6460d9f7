//! YANG's statements, RFC 7950 section 6: a keyword, an argument, and statements below it. Nothing of their
//! meaning is known here.

#[derive(Debug, PartialEq)]
pub struct Statement {
    pub keyword: String,
    pub argument: String,
    pub line: u32,
    pub below: Vec<Statement>,
}

impl Statement {
    pub fn all<'a>(&'a self, keyword: &'a str) -> impl Iterator<Item = &'a Statement> {
        self.below.iter().filter(move |statement| statement.keyword == keyword)
    }

    pub fn get(&self, keyword: &str) -> Option<&Statement> {
        self.below.iter().find(|statement| statement.keyword == keyword)
    }

    pub fn text(&self, keyword: &str) -> Option<&str> {
        self.get(keyword).map(|statement| statement.argument.as_str())
    }
}

/// No module of ours is nested so deep.
const DEEPEST: usize = 64;

#[derive(Debug, PartialEq)]
enum Token {
    /// Quoted strings are no keywords, and only they are joined by `+`.
    Word(String, bool),
    Open,
    Close,
    End,
}

struct Reader<'a> {
    text: &'a str,
    at: usize,
    line: u32,
}

/// Reads the one statement that a module's text is.
pub fn read(text: &str) -> Result<Statement, String> {
    let mut reader = Reader { text, at: 0, line: 1 };
    let statement = reader.statement(0)?.ok_or("the text holds no statement")?;
    match reader.token()? {
        None => Ok(statement),
        Some(_) => Err(format!("line {}: something follows the module", reader.line)),
    }
}

impl Reader<'_> {
    fn statement(&mut self, depth: usize) -> Result<Option<Statement>, String> {
        let keyword = match self.token()? {
            None => return Ok(None),
            Some(Token::Close) if depth > 0 => return Ok(None),
            Some(Token::Word(keyword, false)) => keyword,
            Some(other) => return Err(format!("line {}: a keyword should stand here: {other:?}", self.line)),
        };
        let (line, mut argument, mut below) = (self.line, String::new(), Vec::new());
        if depth > DEEPEST {
            return Err(format!("line {line}: statements are nested too deep"));
        }
        let mut next = self.token()?;
        if let Some(Token::Word(first, quoted)) = next {
            argument = first;
            next = self.token()?;
            while quoted && next == Some(Token::Word("+".into(), false)) {
                match self.token()? {
                    Some(Token::Word(more, true)) => argument.push_str(&more),
                    _ => return Err(format!("line {}: a quoted string should follow the +", self.line)),
                }
                next = self.token()?;
            }
        }
        match next {
            Some(Token::End) => {}
            Some(Token::Open) => loop {
                let before = self.at;
                match self.statement(depth + 1)? {
                    Some(statement) => below.push(statement),
                    None if self.text[before..self.at].ends_with('}') => break,
                    None => return Err(format!("line {line}: {keyword} {argument:?} is not closed")),
                }
            },
            _ => return Err(format!("line {line}: {keyword} {argument:?} has no end")),
        }
        Ok(Some(Statement { keyword, argument, line, below }))
    }

    fn skip(&mut self, bytes: usize) {
        self.line += self.text[self.at..self.at + bytes].matches('\n').count() as u32;
        self.at += bytes;
    }

    fn token(&mut self) -> Result<Option<Token>, String> {
        loop {
            let rest = &self.text[self.at..];
            let blank = rest.len() - rest.trim_start().len();
            if blank > 0 {
                self.skip(blank);
            } else if rest.starts_with("//") {
                self.skip(rest.find('\n').unwrap_or(rest.len()));
            } else if let Some(comment) = rest.strip_prefix("/*") {
                let end = comment.find("*/").ok_or_else(|| format!("line {}: an open comment", self.line))?;
                self.skip(end + 4);
            } else {
                break;
            }
        }
        let rest = &self.text[self.at..];
        let single = |token| Ok(Some(token));
        match rest.chars().next() {
            None => Ok(None),
            Some(mark @ ('{' | '}' | ';')) => {
                self.skip(1);
                single(match mark {
                    '{' => Token::Open,
                    '}' => Token::Close,
                    _ => Token::End,
                })
            }
            Some('\'') => {
                let end = rest[1..].find('\'').ok_or_else(|| format!("line {}: an open quote", self.line))?;
                let word = rest[1..1 + end].to_string();
                self.skip(end + 2);
                single(Token::Word(word, true))
            }
            Some('"') => self.double().map(|word| Some(Token::Word(word, true))),
            Some(_) => {
                let ends = |c: char| c.is_whitespace() || matches!(c, '{' | '}' | ';' | '"' | '\'');
                let word = rest[..rest.find(ends).unwrap_or(rest.len())].to_string();
                self.skip(word.len());
                single(Token::Word(word, false))
            }
        }
    }

    /// A string in double quotes: escapes, and lines without their indentation (section 6.1.3).
    fn double(&mut self) -> Result<String, String> {
        let (line, start) = (self.line, self.at);
        let before = &self.text[..start];
        let column = start - before.rfind('\n').map_or(0, |end| end + 1) + 1;
        let (mut word, mut escaped) = (String::new(), false);
        for (place, c) in self.text[start + 1..].char_indices() {
            match c {
                c if escaped => {
                    word.push(match c {
                        'n' => '\n',
                        't' => '\t',
                        '"' | '\\' => c,
                        other => return Err(format!("line {line}: the escape \\{other} is not known")),
                    });
                    escaped = false;
                }
                '\\' => escaped = true,
                '"' => {
                    self.skip(place + 2);
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
        Err(format!("line {line}: an open quote"))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn statements_are_read_with_quotes_comments_and_joined_strings() {
        let text = "module a { // one\n  pattern \"x\\\\.\\\"y\" + 'z\\'; /* two\n */ leaf b { type string; }\n  description\n    \"one\n     two\"; }";
        let module = read(text).unwrap();
        assert_eq!((module.keyword.as_str(), module.argument.as_str()), ("module", "a"));
        assert_eq!(module.text("pattern"), Some("x\\.\"yz\\"));
        assert_eq!(module.get("leaf").unwrap().text("type"), Some("string"));
        assert_eq!(module.get("leaf").unwrap().line, 3);
        assert_eq!(module.text("description"), Some("one\ntwo"));
    }

    #[test]
    fn what_is_no_module_is_said_with_its_line() {
        for (text, why) in [
            ("", "no statement"),
            ("module a {\n leaf b;", "line 1: module \"a\" is not closed"),
            ("module a {\n leaf b }", "has no end"),
            ("module a;\n}", "line 2: something follows"),
            ("module \"a", "line 1: an open quote"),
            ("module a { /* }", "an open comment"),
            ("module a { d \"\\q\"; }", "the escape \\q"),
            ("module a { d \"b\" + c; }", "should follow the +"),
            ("\"module\" a;", "a keyword should stand here"),
        ] {
            let fault = read(text).unwrap_err();
            assert!(fault.contains(why), "{text:?}: {fault}");
        }
        assert!(read(&"a {".repeat(10_000)).unwrap_err().contains("too deep"));
    }
}
