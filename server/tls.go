package server

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"

	"snipewall/conf"
	"snipewall/core"
)

// callerTLS returns the TLS configuration for callers, or nil if no certificate is set.
func callerTLS(s conf.CallerTLS) (*tls.Config, error) {
	if s.Certificate == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(s.Certificate, s.Key)
	if err != nil {
		return nil, core.ErrSettings.New("section [CallerTLS]: %v", err)
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}, nil
}

// upstreamTLS returns the TLS configuration for an upstream, or nil if no CA file is set.
func upstreamTLS(s conf.UpstreamTLS, info core.UpstreamInfo) (*tls.Config, error) {
	if s.CA == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(s.CA)
	if err != nil {
		return nil, core.ErrSettings.New("section [UpstreamTLS], key CA: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errNoCertificates(s.CA)
	}
	name := s.ServerName
	if name == "" {
		if name, _, err = net.SplitHostPort(info.Address); err != nil {
			return nil, core.ErrSettings.Wrap(err)
		}
	}
	return &tls.Config{RootCAs: pool, ServerName: name, MinVersion: tls.VersionTLS12}, nil
}
