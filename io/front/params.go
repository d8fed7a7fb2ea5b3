package front

import (
	"fmt"
	"strings"

	"snipewall/core"
	"snipewall/core/stmt"
)

// Names of snipewall's own parameters.
const (
	paramSession   = stmt.Prefix + "session"
	paramKind      = stmt.Prefix + "kind"
	paramPosition  = stmt.Prefix + "position"
	paramRequestID = stmt.Prefix + "request_id"
)

// maxNameBytes limits the length of a session name and of a request id.
const maxNameBytes = 256

// fixedParam is a parameter that has the same value on all upstream connections. Setting it to a value
// with the same meaning has no effect; any other value is refused.
type fixedParam struct {
	// reportedName is the name in ParameterStatus messages; empty if the parameter isn't reported.
	reportedName string
	value        string
	// synonyms lists further values with the same meaning, normalized.
	synonyms []string
	// anyValue is set if every value is accepted.
	anyValue bool
}

// fixedParams holds the fixed parameters by their lower-case names.
var fixedParams = map[string]fixedParam{
	"application_name":            {reportedName: "application_name", anyValue: true},
	"client_encoding":             {reportedName: "client_encoding", value: "UTF8", synonyms: []string{"utf-8", "unicode"}},
	"server_encoding":             {reportedName: "server_encoding", value: "UTF8"},
	"datestyle":                   {reportedName: "DateStyle", value: "ISO, MDY", synonyms: []string{"iso"}},
	"intervalstyle":               {reportedName: "IntervalStyle", value: "postgres"},
	"timezone":                    {reportedName: "TimeZone", value: "UTC", synonyms: []string{"etc/utc", "gmt", "z", "0"}},
	"integer_datetimes":           {reportedName: "integer_datetimes", value: "on"},
	"standard_conforming_strings": {reportedName: "standard_conforming_strings", value: "on", synonyms: []string{"true", "1", "yes"}},
	// From PostgreSQL 12 on, all values above 0 give the same output.
	"extra_float_digits": {value: "1", synonyms: []string{"2", "3"}},
	// Drivers that need a server that accepts writes can use every entry VM.
	"in_hot_standby":                {reportedName: "in_hot_standby", value: "off"},
	"bytea_output":                  {value: "hex"},
	"client_min_messages":           {value: "notice"},
	"default_transaction_isolation": {value: "read committed"},
	"default_transaction_read_only": {reportedName: "default_transaction_read_only", value: "off", synonyms: []string{"false", "0", "no"}},
	"statement_timeout":             {value: "0"},
	"lock_timeout":                  {value: "0"},
	"search_path":                   {value: `"$user", public`, synonyms: []string{`$user,public`}},
}

// reportedParams lists the parameters that are reported at start-up, in that order.
var reportedParams = []string{"application_name", "client_encoding", "datestyle",
	"default_transaction_read_only", "in_hot_standby", "integer_datetimes", "intervalstyle", "server_encoding", "standard_conforming_strings",
	"timezone"}

// normalize returns the form in which two values are compared.
func normalize(v string) string {
	return strings.ToLower(strings.ReplaceAll(strings.TrimSpace(v), ", ", ","))
}

func (p fixedParam) accepts(v string) bool {
	if p.anyValue {
		return true
	}
	v = normalize(v)
	if v == normalize(p.value) {
		return true
	}
	for _, same := range p.synonyms {
		if v == same {
			return true
		}
	}
	return false
}

// setParam sets a parameter for the session.
func (s *session) setParam(name, value string) error {
	if strings.HasPrefix(name, stmt.Prefix) {
		return s.setSnipewallParam(name, value)
	}
	p, ok := fixedParams[name]
	switch {
	case !ok:
		return &callerError{State: core.StateUnsupported,
			Message: fmt.Sprintf("setting %q for the session is not supported", name),
			Hint:    "Use SET LOCAL inside a transaction, or set it for the database or the role."}
	case !p.accepts(value):
		return &callerError{State: core.StateUnsupported,
			Message: fmt.Sprintf("setting %q to %q for the session is not supported", name, value),
			Hint:    fmt.Sprintf("Leave it at %q, or use SET LOCAL inside a transaction.", p.value)}
	}
	return nil
}

// setSnipewallParam sets one of snipewall's own parameters.
func (s *session) setSnipewallParam(name, value string) error {
	switch name {
	case paramSession, paramRequestID:
		if len(value) > maxNameBytes {
			return invalidParameter(fmt.Sprintf("%s is longer than %d bytes", name, maxNameBytes))
		}
	}
	switch name {
	case paramSession:
		if core.SessionID(value) != s.name {
			s.name, s.positionGiven = core.SessionID(strings.Clone(value)), false
		}
	case paramRequestID:
		s.requestID = core.RequestID(strings.Clone(value))
	case paramKind:
		policy, ok := s.srv.cfg.Policies.Policy(core.Kind(value))
		if !ok {
			return unknownKind(value)
		}
		s.kind = policy.Kind
	case paramPosition:
		pos, err := core.ParsePosition(value)
		if err != nil {
			return invalidParameter(err.Error())
		}
		s.pos, s.positionGiven = s.pos.Max(pos), true
	default:
		return &callerError{State: stateUndefinedParameter,
			Message: fmt.Sprintf("unrecognized configuration parameter %q", name),
			Hint: "The parameters are snipewall.session, snipewall.kind, snipewall.position and" +
				" snipewall.request_id."}
	}
	return nil
}

// resetParam resets a parameter of the session, or all of them. The kind and the session name go back
// to their values from the start-up message.
func (s *session) resetParam(name string) error {
	switch name {
	case "all":
		s.kind, s.name, s.requestID, s.positionGiven = s.startKind, s.startName, "", false
	case paramSession:
		s.name, s.positionGiven = s.startName, false
	case paramKind:
		s.kind = s.startKind
	case paramRequestID:
		s.requestID = ""
	case paramPosition:
		s.positionGiven = false
	default:
		if strings.HasPrefix(name, stmt.Prefix) {
			return s.setSnipewallParam(name, "")
		}
	}
	return nil
}

// discardState executes DISCARD. Only DISCARD ALL affects state that the session holds.
func (s *session) discardState(what string) error {
	switch what {
	case "plans", "sequences", "temp", "temporary":
		return nil
	case "all":
	default:
		return &callerError{State: "42601", Message: fmt.Sprintf("syntax error at DISCARD %s", what)}
	}
	if s.tx != nil {
		return &callerError{State: "25001", Message: "DISCARD ALL cannot run inside a transaction block"}
	}
	for _, st := range s.stmts {
		s.srv.stmts.release(st)
	}
	s.stmts, s.unnamed = nil, nil
	return s.resetParam("all")
}

// showParam returns the value of one of snipewall's own parameters.
func (s *session) showParam(name string) (string, error) {
	switch name {
	case paramSession:
		return string(s.name), nil
	case paramKind:
		return string(s.srv.policy(s.kind).Kind), nil
	case paramPosition:
		return s.pos.String(), nil
	case paramRequestID:
		return string(s.requestID), nil
	}
	return "", s.setSnipewallParam(name, "")
}
