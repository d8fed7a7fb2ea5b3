package stmt

import "strings"

type tokenKind uint8

const (
	tokenEOF tokenKind = iota
	tokenWord
	tokenQuotedName
	tokenString
	tokenNumber
	tokenParam
	tokenPunct
	// tokenUnterminated is an unterminated string, name or comment. It extends to the end of the text.
	tokenUnterminated
)

// token is a piece of the text. For strings and quoted names, start and end include the quotes.
type token struct {
	kind       tokenKind
	punct      byte
	start, end int
}

// lexer splits SQL text into tokens, assuming standard_conforming_strings = on.
type lexer struct {
	text string
	pos  int
}

// wordBytes is the set of bytes that can occur inside a word. Bytes above 0x7f are letters, as in the
// server's lexer.
var wordBytes = func() (set [256]bool) {
	for c := range 256 {
		b := byte(c)
		set[c] = isLetter(b) || isDigit(b) || b == '$'
	}
	return set
}()

func isLetter(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isSpace(c byte) bool { return c == ' ' || c >= '\t' && c <= '\r' }

// next returns the next token, skipping whitespace and comments.
func (l *lexer) next() token {
	if !l.skipBlank() {
		return token{kind: tokenUnterminated, start: l.pos, end: len(l.text)}
	}
	start := l.pos
	if start >= len(l.text) {
		return token{kind: tokenEOF, start: start, end: start}
	}
	c := l.text[start]
	switch {
	case isLetter(c):
		return l.word(start)
	case c == '\'':
		return l.quoted(start, start, tokenString, false)
	case c == '"':
		return l.quoted(start, start, tokenQuotedName, false)
	case c == '$':
		return l.dollar(start)
	case isDigit(c):
		l.number()
		return token{kind: tokenNumber, start: start, end: l.pos}
	}
	l.pos++
	return token{kind: tokenPunct, punct: c, start: start, end: l.pos}
}

// skipBlank skips whitespace and comments. It returns false for an unterminated comment.
func (l *lexer) skipBlank() bool {
	for l.pos < len(l.text) {
		c := l.text[l.pos]
		switch {
		case isSpace(c):
			l.pos++
		case c == '-' && strings.HasPrefix(l.text[l.pos:], "--"):
			end := strings.IndexAny(l.text[l.pos:], "\r\n")
			if end < 0 {
				l.pos = len(l.text)
				return true
			}
			l.pos += end
		case c == '/' && strings.HasPrefix(l.text[l.pos:], "/*"):
			end := commentEnd(l.text, l.pos)
			if end < 0 {
				return false
			}
			l.pos = end
		default:
			return true
		}
	}
	return true
}

// commentEnd returns the index after the block comment at start, or -1. Block comments nest.
func commentEnd(text string, start int) int {
	depth := 1
	for i := start + 2; i+1 < len(text); {
		switch {
		case text[i] == '*' && text[i+1] == '/':
			i += 2
			depth--
			if depth == 0 {
				return i
			}
		case text[i] == '/' && text[i+1] == '*':
			i += 2
			depth++
		default:
			i++
		}
	}
	return -1
}

// word reads a word, or a string or name with a prefix such as E'...' or U&"...".
func (l *lexer) word(start int) token {
	i := start + 1
	for i < len(l.text) && wordBytes[l.text[i]] {
		i++
	}
	l.pos = i
	if i >= len(l.text) {
		return token{kind: tokenWord, start: start, end: i}
	}
	first := l.text[start] | 0x20
	switch {
	case l.text[i] == '\'' && i == start+1 && strings.IndexByte("bexn", first) >= 0:
		return l.quoted(start, i, tokenString, first == 'e')
	case l.text[i] == '&' && i == start+1 && first == 'u' && i+1 < len(l.text):
		switch l.text[i+1] {
		case '\'':
			return l.quoted(start, i+1, tokenString, false)
		case '"':
			return l.quoted(start, i+1, tokenQuotedName, false)
		}
	}
	return token{kind: tokenWord, start: start, end: i}
}

// quoted reads a string or quoted name whose opening quote is at open. The parts of a string that
// continues after a newline follow the escape rule of the first part.
func (l *lexer) quoted(start, open int, kind tokenKind, escapes bool) token {
	quote := l.text[open]
	i := open + 1
	for i < len(l.text) {
		c := l.text[i]
		i++
		if escapes && c == '\\' {
			i++
			continue
		}
		if c != quote {
			continue
		}
		if i < len(l.text) && l.text[i] == quote {
			i++
			continue
		}
		if escapes {
			if next := continuation(l.text, i); next > 0 {
				i = next
				continue
			}
		}
		l.pos = i
		return token{kind: kind, start: start, end: i}
	}
	l.pos = len(l.text)
	return token{kind: tokenUnterminated, start: start, end: l.pos}
}

// continuation returns the index after the opening quote of a string's next part, which must be preceded
// by whitespace with a newline. Without such a part it returns 0.
func continuation(text string, i int) int {
	newline := false
	for ; i < len(text) && isSpace(text[i]); i++ {
		newline = newline || text[i] == '\n' || text[i] == '\r'
	}
	if newline && i < len(text) && text[i] == '\'' {
		return i + 1
	}
	return 0
}

// dollar reads a parameter such as $1, or a dollar-quoted string.
func (l *lexer) dollar(start int) token {
	i := start + 1
	if i < len(l.text) && isDigit(l.text[i]) {
		for i < len(l.text) && isDigit(l.text[i]) {
			i++
		}
		l.pos = i
		return token{kind: tokenParam, start: start, end: i}
	}
	for i < len(l.text) && l.text[i] != '$' && wordBytes[l.text[i]] {
		i++
	}
	if i >= len(l.text) || l.text[i] != '$' {
		l.pos = start + 1
		return token{kind: tokenPunct, punct: '$', start: start, end: l.pos}
	}
	tag := l.text[start : i+1]
	end := strings.Index(l.text[i+1:], tag)
	if end < 0 {
		l.pos = len(l.text)
		return token{kind: tokenUnterminated, start: start, end: l.pos}
	}
	l.pos = i + 1 + end + len(tag)
	return token{kind: tokenString, start: start, end: l.pos}
}

func (l *lexer) number() {
	for l.pos < len(l.text) && (wordBytes[l.text[l.pos]] || l.text[l.pos] == '.') {
		l.pos++
	}
}

// maxWordLength is an upper limit of the length of all words that the classifier knows.
const maxWordLength = 32

// lower writes the lower-case form of the word into buf. It returns nil if the word is too long to be
// one that the classifier knows.
func lower(word string, buf *[maxWordLength]byte) []byte {
	if len(word) > maxWordLength {
		return nil
	}
	for i := range len(word) {
		c := word[i]
		if c >= 'A' && c <= 'Z' {
			c |= 0x20
		}
		buf[i] = c
	}
	return buf[:len(word)]
}

// unquote returns the value of a string, quoted name, word or number token.
func (l *lexer) unquote(t token) string {
	raw := l.text[t.start:t.end]
	switch t.kind {
	case tokenString:
		if raw[0] == '$' {
			tag := strings.IndexByte(raw[1:], '$') + 2
			return raw[tag : len(raw)-tag]
		}
		open := strings.IndexByte(raw, '\'')
		return strings.ReplaceAll(raw[open+1:len(raw)-1], "''", "'")
	case tokenQuotedName:
		open := strings.IndexByte(raw, '"')
		return strings.ReplaceAll(raw[open+1:len(raw)-1], `""`, `"`)
	case tokenWord:
		return strings.ToLower(raw)
	default:
		return raw
	}
}
