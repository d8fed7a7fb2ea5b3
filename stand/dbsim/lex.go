package dbsim

import "strings"

type tokenKind uint8

const (
	tokenEnd tokenKind = iota
	tokenIdent
	tokenNumber
	tokenString
	tokenParam
	tokenSymbol
)

// token is a token of SQL text. The text of an identifier is in lower case unless it was quoted. The text
// of a parameter is its number.
type token struct {
	kind tokenKind
	text string
}

// lexer splits SQL text into tokens.
type lexer struct {
	src string
	pos int
}

// next returns the next token. At the end of the text its kind is tokenEnd.
func (l *lexer) next() (token, error) {
	if err := l.skipSpace(); err != nil {
		return token{}, err
	}
	if l.pos >= len(l.src) {
		return token{}, nil
	}
	c := l.src[l.pos]
	switch {
	case isIdentStart(c):
		return token{tokenIdent, strings.ToLower(l.takeWhile(isIdentPart))}, nil
	case isDigit(c):
		return token{tokenNumber, l.takeWhile(isNumberPart)}, nil
	case c == '$':
		l.pos++
		return token{tokenParam, l.takeWhile(isDigit)}, nil
	case c == '\'':
		s, err := l.quoted('\'')
		return token{tokenString, s}, err
	case c == '"':
		s, err := l.quoted('"')
		return token{tokenIdent, s}, err
	}
	return token{tokenSymbol, l.symbol()}, nil
}

// symbol consumes an operator or a single character.
func (l *lexer) symbol() string {
	for _, op := range [...]string{"<=", ">=", "<>", "!=", "::"} {
		if strings.HasPrefix(l.src[l.pos:], op) {
			l.pos += len(op)
			return op
		}
	}
	l.pos++
	return l.src[l.pos-1 : l.pos]
}

// takeWhile consumes bytes as long as accept returns true for them.
func (l *lexer) takeWhile(accept func(byte) bool) string {
	start := l.pos
	for l.pos < len(l.src) && accept(l.src[l.pos]) {
		l.pos++
	}
	return l.src[start:l.pos]
}

// quoted consumes quoted text, in which a doubled quote stands for one quote.
func (l *lexer) quoted(quote byte) (string, error) {
	l.pos++
	start := l.pos
	doubled := false
	for ; l.pos < len(l.src); l.pos++ {
		if l.src[l.pos] != quote {
			continue
		}
		if l.pos+1 < len(l.src) && l.src[l.pos+1] == quote {
			doubled = true
			l.pos++
			continue
		}
		s := l.src[start:l.pos]
		l.pos++
		if doubled {
			q := string(quote)
			s = strings.ReplaceAll(s, q+q, q)
		}
		return s, nil
	}
	return "", sqlErrorf(stateSyntax, "unterminated quoted text")
}

// skipSpace consumes white space and comments. Block comments nest.
func (l *lexer) skipSpace() error {
	for l.pos < len(l.src) {
		rest := l.src[l.pos:]
		switch {
		case strings.IndexByte(" \t\r\n\f", rest[0]) >= 0:
			l.pos++
		case strings.HasPrefix(rest, "--"):
			end := strings.IndexByte(rest, '\n')
			if end < 0 {
				end = len(rest)
			}
			l.pos += end
		case strings.HasPrefix(rest, "/*"):
			if err := l.skipBlock(); err != nil {
				return err
			}
		default:
			return nil
		}
	}
	return nil
}

func (l *lexer) skipBlock() error {
	depth := 0
	for l.pos < len(l.src) {
		rest := l.src[l.pos:]
		switch {
		case strings.HasPrefix(rest, "/*"):
			depth++
			l.pos += 2
		case strings.HasPrefix(rest, "*/"):
			depth--
			l.pos += 2
			if depth == 0 {
				return nil
			}
		default:
			l.pos++
		}
	}
	return sqlErrorf(stateSyntax, "unterminated comment")
}

func isDigit(c byte) bool      { return c >= '0' && c <= '9' }
func isNumberPart(c byte) bool { return isDigit(c) || c == '.' }
func isIdentStart(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80
}
func isIdentPart(c byte) bool { return isIdentStart(c) || isDigit(c) || c == '$' }
