package dbconn

import (
	"context"
	"crypto/tls"
	"net"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"snipewall/core"
)

// ControlName is the application_name of control connections. Upstreams reserve connections for it.
const ControlName = "snipewall-control"

// dataName is the application_name of connections for requests.
const dataName = "snipewall"

// Defaults of Config.
const (
	defaultUser           = "snipewall"
	defaultControlTimeout = time.Second
	defaultRequestTimeout = 30 * time.Second
	defaultMaxPrepared    = 256
	defaultMaxMessage     = 64 << 20
)

// Config describes how to reach an upstream.
type Config struct {
	Info core.UpstreamInfo
	// User is the database user; empty means "snipewall".
	User     string
	Password string
	// Database is the database name; empty means the name of the group.
	Database string
	// TLS, if set, is required of the upstream.
	TLS *tls.Config
	// Dial opens network connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// ControlTimeout limits a control call whose context has no deadline; 0 means 1 s.
	ControlTimeout time.Duration
	// RequestTimeout limits a request if neither its context nor the request has a deadline; 0 means
	// 30 s.
	RequestTimeout time.Duration
	// MaxPrepared limits the statements that a connection keeps prepared; 0 means 256.
	MaxPrepared int
	// MaxMessage limits a message of the upstream, for example a row, in bytes; 0 means 64 MiB.
	MaxMessage int
}

// New checks the configuration. It opens no connection.
func (c Config) New() (*Upstream, error) {
	c.setDefaults()
	if c.Info.ID == "" {
		return nil, core.ErrSettings.New("upstream without an id")
	}
	host, portText, err := net.SplitHostPort(c.Info.Address)
	if err != nil {
		return nil, core.ErrSettings.New("upstream %s: address %q: %v", c.Info.ID, c.Info.Address, err)
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, core.ErrSettings.New("upstream %s: port %q: %v", c.Info.ID, portText, err)
	}
	u := &Upstream{cfg: c, control: make(chan *Conn, 1), cancels: make(chan struct{}, cancelLimit)}
	u.control <- nil
	if u.data, err = c.connectConfig(host, uint16(port), dataName); err != nil {
		return nil, err
	}
	if u.controls, err = c.connectConfig(host, uint16(port), ControlName); err != nil {
		return nil, err
	}
	return u, nil
}

func (c *Config) setDefaults() {
	if c.User == "" {
		c.User = defaultUser
	}
	if c.Database == "" {
		c.Database = string(c.Info.Group)
	}
	if c.ControlTimeout <= 0 {
		c.ControlTimeout = defaultControlTimeout
	}
	if c.RequestTimeout <= 0 {
		c.RequestTimeout = defaultRequestTimeout
	}
	if c.MaxPrepared <= 0 {
		c.MaxPrepared = defaultMaxPrepared
	}
	if c.MaxMessage <= 0 {
		c.MaxMessage = defaultMaxMessage
	}
}

// connectConfig builds the settings for pgconn, which performs dialing, TLS and authentication.
// All fields that pgconn might take from the environment are set here.
func (c *Config) connectConfig(host string, port uint16, name string) (*pgconn.Config, error) {
	cc, err := pgconn.ParseConfig("host=unused port=1 user=unused password=unused sslmode=disable")
	if err != nil {
		return nil, core.ErrSettings.Wrap(err)
	}
	cc.Host = host
	cc.Port = port
	cc.User = c.User
	cc.Password = c.Password
	cc.Database = c.Database
	cc.TLSConfig = c.TLS
	cc.Fallbacks = nil
	cc.ConnectTimeout = 0
	cc.RuntimeParams = map[string]string{"application_name": name}
	cc.MaxProtocolMessageBodyLen = c.MaxMessage
	cc.ValidateConnect = nil
	cc.LookupFunc = func(_ context.Context, host string) ([]string, error) { return []string{host}, nil }
	cc.DialFunc = (&net.Dialer{KeepAlive: keepAlive}).DialContext
	if c.Dial != nil {
		cc.DialFunc = c.Dial
	}
	return cc, nil
}

// keepAlive makes the system notice idle connections whose other side has vanished.
const keepAlive = 15 * time.Second
