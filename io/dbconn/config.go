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

// ControlName is the application_name of control connections, for which upstreams reserve connections.
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

// Config configures the connections to an upstream.
type Config struct {
	Info core.UpstreamInfo
	// User is the database user; empty means "snipewall".
	User     string
	Password string
	// Database is the database name; empty means the name of the group.
	Database string
	// TLS, if set, is used for all connections; an upstream without TLS is refused.
	TLS *tls.Config
	// Dial opens network connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// ControlTimeout limits control calls whose context has no deadline; 0 means 1 s.
	ControlTimeout time.Duration
	// RequestTimeout limits requests without a deadline in the context or the request, and Dial without
	// a deadline in the context; 0 means 30 s.
	RequestTimeout time.Duration
	// MaxPrepared limits the prepared statements of one connection; 0 means 256.
	MaxPrepared int
	// MaxMessage limits the size of a message from the upstream, such as a row, in bytes; 0 means 64 MiB.
	MaxMessage int
}

// New checks the configuration and returns the upstream. It opens no connection.
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
	u := &Upstream{cfg: c, controlConn: make(chan *Conn, 1), cancels: make(chan struct{}, maxCancels)}
	u.controlConn <- nil
	if u.dataConfig, err = c.connectConfig(host, uint16(port), dataName); err != nil {
		return nil, err
	}
	if u.controlConfig, err = c.connectConfig(host, uint16(port), ControlName); err != nil {
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

// connectConfig builds the configuration of pgconn, which performs dialing, TLS and authentication.
// It sets all fields that pgconn might otherwise take from the environment.
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

// keepAlive is the interval of TCP keep-alive probes, which detect idle connections whose other side
// no longer answers.
const keepAlive = 15 * time.Second
