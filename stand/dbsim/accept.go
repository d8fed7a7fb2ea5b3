package dbsim

import (
	"crypto/tls"
	"encoding/binary"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// replicateParameter is the start-up parameter that marks a replication connection. Its value is ignored.
const replicateParameter = "snipewall.replicate"

// accept performs the start-up of a connection and serves it until it ends.
func (s *Server) accept(l *link) error {
	if err := l.SetDeadline(time.Now().Add(startupTimeout)); err != nil {
		return err
	}
	var c net.Conn = l
	be := newBackend(c)
	for {
		msg, err := be.ReceiveStartupMessage()
		if err != nil {
			return err
		}
		switch msg := msg.(type) {
		case *pgproto3.SSLRequest:
			if c, err = s.answerSSL(c); err != nil {
				return err
			}
			be = newBackend(c)
		case *pgproto3.GSSEncRequest:
			if _, err := c.Write([]byte{'N'}); err != nil {
				return err
			}
		case *pgproto3.StartupMessage:
			return s.start(l, c, be, msg.Parameters)
		case *pgproto3.CancelRequest:
			if err := l.admit(linkCaller); err != nil {
				return err
			}
			s.cancelStatement(msg.ProcessID, msg.SecretKey)
			return nil
		default:
			return nil
		}
	}
}

// maxMessageBytes limits the size of a client's message.
const maxMessageBytes = 64 << 20

func newBackend(c net.Conn) *pgproto3.Backend {
	be := pgproto3.NewBackend(c, c)
	be.SetMaxBodyLen(maxMessageBytes)
	return be
}

// answerSSL answers an SSLRequest. If TLS is configured, it returns the server side of a TLS connection,
// otherwise c itself.
func (s *Server) answerSSL(c net.Conn) (net.Conn, error) {
	if s.cfg.TLS == nil {
		_, err := c.Write([]byte{'N'})
		return c, err
	}
	if _, err := c.Write([]byte{'S'}); err != nil {
		return nil, err
	}
	return tls.Server(c, s.cfg.TLS), nil
}

// start serves a connection after its StartupMessage, as a replication, control or caller connection.
func (s *Server) start(l *link, c net.Conn, be *pgproto3.Backend, params map[string]string) error {
	if _, ok := params[replicateParameter]; ok {
		if err := l.admit(linkUpstream); err != nil {
			return err
		}
		return s.serveReplica(l, c, be)
	}
	if err := l.admit(linkCaller); err != nil {
		return err
	}
	control := params["application_name"] == ControlApplicationName
	count, limit := &s.callerConns, s.cfg.Connections
	if control {
		count, limit = &s.controlConns, s.cfg.Reserved
	}
	defer count.Add(-1)
	if n := count.Add(1); limit > 0 && n > int64(limit) {
		be.Send(errorResponse("FATAL", sqlErrorf(stateTooManyConnections, "sorry, too many clients already")))
		return be.Flush()
	}
	if err := sleep(l.ctx, s.faults.scale(s.cfg.ConnectTime)); err != nil {
		return err
	}
	ss := newSession(s, l, be, control)
	key := s.register(ss)
	defer s.unregister(key)
	if err := s.finishStartup(be, params, key); err != nil {
		return err
	}
	if err := l.SetDeadline(time.Time{}); err != nil {
		return err
	}
	defer ss.close()
	return ss.run()
}

// finishStartup sends the messages that end the start-up.
func (s *Server) finishStartup(be *pgproto3.Backend, params map[string]string, key sessionKey) error {
	be.Send(&pgproto3.AuthenticationOk{})
	for _, p := range startParameters {
		be.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	be.Send(&pgproto3.ParameterStatus{Name: "application_name", Value: params["application_name"]})
	be.Send(&pgproto3.BackendKeyData{ProcessID: key.pid, SecretKey: binary.BigEndian.AppendUint32(nil, key.secret)})
	be.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return be.Flush()
}

var startParameters = [][2]string{
	{"server_version", "17.0"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"standard_conforming_strings", "on"},
	{"integer_datetimes", "on"},
	{"DateStyle", "ISO, MDY"},
	{"TimeZone", "UTC"},
}

func errorResponse(severity string, err *SQLError) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                err.State,
		Message:             err.Message,
	}
}
