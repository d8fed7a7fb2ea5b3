package front

import (
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"snipewall/core"
)

// Codes of start-up packets.
const (
	codeSSL    = 80877103
	codeGSS    = 80877104
	codeCancel = 80877102
	// versionMajor is the supported major version of the protocol.
	versionMajor = 3
)

// maxStartupPackets limits the number of packets up to the start-up message. Callers that ask for GSS
// encryption and then for TLS need three.
const maxStartupPackets = 3

// startup runs the start-up phase. It returns false if the connection must be closed.
func (s *session) startup() bool {
	if err := s.conn.SetDeadline(time.Now().Add(s.srv.cfg.StartupTimeout)); err != nil {
		return false
	}
	for range maxStartupPackets {
		packet, err := s.rd.startup()
		if err != nil {
			s.startupFailed(err)
			return false
		}
		switch binary.BigEndian.Uint32(packet) {
		case codeSSL:
			if !s.startTLS() {
				return false
			}
		case codeGSS:
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return false
			}
		case codeCancel:
			if len(packet) == 12 {
				s.srv.cancel(binary.BigEndian.Uint32(packet[4:]), binary.BigEndian.Uint32(packet[8:]))
			}
			return false
		default:
			return s.startSession(packet)
		}
	}
	s.startupFailed(&protocolError{reason: "too many requests for encryption"})
	return false
}

func (s *session) startupFailed(err error) {
	var proto *protocolError
	if errors.As(err, &proto) {
		s.fatal(&callerError{State: core.StateProtocolViolation, Message: proto.reason})
		s.linger()
	}
}

// startTLS answers an SSLRequest.
func (s *session) startTLS() bool {
	if s.conn != s.raw {
		s.startupFailed(&protocolError{reason: "SSLRequest on an encrypted connection"})
		return false
	}
	if s.srv.cfg.TLS == nil {
		_, err := s.conn.Write([]byte{'N'})
		return err == nil
	}
	if s.rd.buffered() > 0 {
		// An attacker could have injected the bytes that came before the handshake in clear text.
		s.startupFailed(&protocolError{reason: "unencrypted data after SSLRequest"})
		return false
	}
	if _, err := s.conn.Write([]byte{'S'}); err != nil {
		return false
	}
	conn := tls.Server(s.conn, s.srv.cfg.TLS)
	if err := conn.HandshakeContext(s.srv.ctx); err != nil {
		return false
	}
	s.setConn(conn)
	return true
}

// startSession handles the start-up message. It returns false if the connection must be closed.
func (s *session) startSession(packet []byte) bool {
	params, negotiate, err := parseStartup(packet)
	if err != nil {
		s.startupFailed(err)
		return false
	}
	if s.srv.cfg.TLSRequired && s.conn == s.raw {
		s.fatal(errTLSRequired)
		s.linger()
		return false
	}
	if limit := s.srv.cfg.MaxConnections; limit > 0 && s.srv.sessionCount() > limit {
		s.fatal(&callerError{State: core.StateTooManyConnections,
			Message: fmt.Sprintf("more than %d connections to this entry VM", limit),
			Hint:    "Connect again, which may reach another entry VM."})
		s.linger()
		return false
	}
	if err := s.applyStartup(params); err != nil {
		s.fatal(asCallerError(err))
		s.linger()
		return false
	}
	var secret [4]byte
	if _, err := rand.Read(secret[:]); err != nil {
		return false
	}
	s.secret = binary.BigEndian.Uint32(secret[:])
	a := newAnswer(s, nil)
	if negotiate != nil {
		a.put(negotiate)
	}
	a.put(&pgproto3.AuthenticationOk{})
	for _, name := range reportedParams {
		p := fixedParams[name]
		value := p.value
		if name == "application_name" {
			value = params[name]
		}
		a.put(&pgproto3.ParameterStatus{Name: p.reportedName, Value: value})
	}
	a.put(&pgproto3.ParameterStatus{Name: "server_version", Value: s.srv.cfg.ServerVersion})
	a.put(&pgproto3.BackendKeyData{ProcessID: s.key, SecretKey: secret[:]})
	if !s.ready(a) {
		return false
	}
	return s.conn.SetDeadline(time.Time{}) == nil
}

// parseStartup decodes the start-up message. If the caller asks for a higher minor version or for
// options of the protocol, it also returns the message that answers this.
func parseStartup(packet []byte) (map[string]string, *pgproto3.NegotiateProtocolVersion, error) {
	version := binary.BigEndian.Uint32(packet)
	if version>>16 != versionMajor {
		return nil, nil, &protocolError{reason: fmt.Sprintf(
			"unsupported protocol version %d.%d", version>>16, version&0xffff)}
	}
	binary.BigEndian.PutUint32(packet, pgproto3.ProtocolVersion30)
	var msg pgproto3.StartupMessage
	if err := msg.Decode(packet); err != nil {
		return nil, nil, &protocolError{reason: "malformed start-up message"}
	}
	var options []string
	for name := range msg.Parameters {
		if strings.HasPrefix(name, "_pq_.") {
			options = append(options, name)
			delete(msg.Parameters, name)
		}
	}
	if version == pgproto3.ProtocolVersion30 && len(options) == 0 {
		return msg.Parameters, nil, nil
	}
	slices.Sort(options)
	return msg.Parameters, &pgproto3.NegotiateProtocolVersion{
		NewestMinorProtocol: 0, UnrecognizedOptions: options}, nil
}

// applyStartup applies the parameters of the start-up message to the session.
func (s *session) applyStartup(params map[string]string) error {
	user := params["user"]
	if user == "" {
		return &callerError{State: stateInvalidAuthorization, Message: "no user name in the start-up message"}
	}
	database := params["database"]
	if database == "" {
		database = user
	}
	if !s.srv.cfg.Groups.Has(core.GroupID(database)) {
		return &callerError{State: core.StateUnknownDatabase,
			Message: fmt.Sprintf("database %q does not exist", database)}
	}
	s.group = core.GroupID(database)
	if r := strings.ToLower(params["replication"]); r != "" && r != "false" && r != "off" && r != "0" && r != "no" {
		return &callerError{State: core.StateUnsupported, Message: "replication is not supported",
			Hint: "Connect to the database server directly."}
	}
	options, err := parseOptions(params["options"])
	if err != nil {
		return err
	}
	for name, value := range params {
		switch name {
		case "user", "database", "replication", "options":
		default:
			options = append(options, option{strings.ToLower(name), value})
		}
	}
	// The session name is set first, since setting it clears positionGiven.
	slices.SortStableFunc(options, func(a, b option) int { return optionOrder(a) - optionOrder(b) })
	for _, o := range options {
		if err := s.setParam(o.name, o.value); err != nil {
			return err
		}
	}
	s.startKind, s.startName = s.kind, s.name
	return nil
}

// option is a parameter from the start-up message.
type option struct{ name, value string }

func optionOrder(o option) int {
	if o.name == paramSession {
		return 0
	}
	return 1
}

// parseOptions parses the start-up parameter "options", which contains "-c name=value" and
// "--name=value". A backslash escapes the next character.
func parseOptions(text string) ([]option, error) {
	var options []option
	words := splitOptions(text)
	for i := 0; i < len(words); i++ {
		word := words[i]
		switch {
		case word == "-c" && i+1 < len(words):
			i++
			word = words[i]
		case strings.HasPrefix(word, "--"):
			word = word[2:]
		case strings.HasPrefix(word, "-c"):
			word = word[2:]
		default:
			return nil, invalidParameter(fmt.Sprintf("invalid option %q at start-up", word))
		}
		name, value, ok := strings.Cut(word, "=")
		if !ok {
			return nil, invalidParameter(fmt.Sprintf("option %q at start-up has no value", word))
		}
		options = append(options, option{strings.ToLower(strings.ReplaceAll(name, "-", "_")), value})
	}
	return options, nil
}

func splitOptions(text string) []string {
	var words []string
	var word strings.Builder
	inWord := false
	for i := 0; i < len(text); i++ {
		c := text[i]
		switch {
		case c == '\\' && i+1 < len(text):
			i++
			word.WriteByte(text[i])
			inWord = true
		case c == ' ' || c >= '\t' && c <= '\r':
			if inWord {
				words = append(words, word.String())
				word.Reset()
				inWord = false
			}
		default:
			word.WriteByte(c)
			inWord = true
		}
	}
	if inWord {
		words = append(words, word.String())
	}
	return words
}
